"""Time in milliseconds: the clock that all components use, and a fake clock for tests."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable

T = TypeVar("T")

NANOSECONDS_PER_MILLISECOND = 1_000_000
MILLISECONDS_PER_SECOND = 1_000


class Clock:
    """Reads time and waits, in whole milliseconds.

    Intervals are read from CLOCK_BOOTTIME, which continues while the machine is suspended, so that
    a lease held across a suspension counts as lapsed.
    """

    def now(self) -> int:
        """Returns milliseconds since an arbitrary start; use only for intervals."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MILLISECOND

    def wall(self) -> int:
        """Returns milliseconds since the Unix epoch; use for records that people read."""
        return time.time_ns() // NANOSECONDS_PER_MILLISECOND

    async def sleep(self, milliseconds: float) -> None:
        """Sleeps for a time.

        Args:
            milliseconds: The time to sleep; zero or less only yields to other tasks.
        """
        await asyncio.sleep(max(0.0, milliseconds) / MILLISECONDS_PER_SECOND)

    async def wait_for(self, awaitable: Awaitable[T], timeout_ms: float) -> T:
        """Waits for a result with a timeout.

        Args:
            awaitable: Produces the result; cancelled on timeout.
            timeout_ms: The longest wait, in milliseconds.

        Returns:
            The result of the awaitable.

        Raises:
            TimeoutError: When the result does not arrive within the timeout.
        """
        work: asyncio.Future[T] = asyncio.ensure_future(awaitable)
        if work.done():
            return work.result()
        timer: asyncio.Future[Any] = asyncio.ensure_future(self.sleep(timeout_ms))
        try:
            futures: set[asyncio.Future[Any]] = {work, timer}
            await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                return work.result()
            raise TimeoutError(f"no result within {timeout_ms:g} ms")
        finally:
            timer.cancel()
            if not work.done():
                work.cancel()


class FakeClock(Clock):
    """A clock whose time moves only when a test advances it."""

    def __init__(self, now_ms: int = 1_000_000, wall_ms: int = 1_700_000_000_000) -> None:
        self._now = now_ms
        self._wall = wall_ms
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []

    def now(self) -> int:
        """Returns the time that the test has set."""
        return self._now

    def wall(self) -> int:
        """Returns the calendar time that the test has set."""
        return self._wall

    async def sleep(self, milliseconds: float) -> None:
        """Waits until the test has advanced the clock by this time."""
        if milliseconds <= 0:
            await asyncio.sleep(0)
            return
        wake: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._sleepers, (self._now + milliseconds, next(self._order), wake))
        await wake

    async def advance(self, milliseconds: int) -> None:
        """Advances the time, waking each sleeping task at its own due time.

        Args:
            milliseconds: The time to advance by.
        """
        end = self._now + milliseconds
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            due, _, wake = heapq.heappop(self._sleepers)
            if wake.done():
                continue
            self._step_to(int(due))
            wake.set_result(None)
            await self.settle()
        self._step_to(end)
        await self.settle()

    async def settle(self, rounds: int = 20) -> None:
        """Lets every runnable task run, without advancing the time."""
        for _ in range(rounds):
            await asyncio.sleep(0)

    def _step_to(self, now_ms: int) -> None:
        """Advances interval and calendar time until the interval time is ``now_ms``."""
        step = max(0, now_ms - self._now)
        self._now += step
        self._wall += step

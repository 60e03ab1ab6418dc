"""Exponential backoff with jitter, so that the instances of a fleet do not retry in step."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from mastickeel.clock import Clock

FIRST_BACKOFF_MS = 250
MAX_BACKOFF_MS = 8_000
MAX_DOUBLINGS = 16


class Backoff:
    """Exponential backoff that counts consecutive failures."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        *,
        first_ms: int = FIRST_BACKOFF_MS,
        max_ms: int = MAX_BACKOFF_MS,
    ) -> None:
        """Creates the backoff.

        Args:
            clock: Times the delays.
            rng: Draws the jitter.
            first_ms: Delay after the first failure, before jitter.
            max_ms: Longest delay, before jitter.
        """
        self._clock = clock
        self._rng = rng
        self._first_ms = first_ms
        self._max_ms = max_ms
        self._failures = 0

    @property
    def failures(self) -> int:
        """Number of consecutive failures."""
        return self._failures

    def reset(self) -> None:
        """Resets the failure count after a success."""
        self._failures = 0

    def next_delay_ms(self) -> float:
        """Counts a failure and returns the delay before the next try, in milliseconds."""
        doublings = min(self._failures, MAX_DOUBLINGS)
        limit_ms: float = min(self._max_ms, self._first_ms * (1 << doublings))
        self._failures += 1
        return limit_ms * (0.5 + 0.5 * self._rng.random())

    async def wait(self) -> None:
        """Counts a failure and waits for the delay."""
        await self._clock.sleep(self.next_delay_ms())

"""Bounded queue in front of dispatch: fair between accounts, ordered within each account."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mastickeel_router.admission.errors import OverloadedError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel.model import Account

QUEUED_PER_SLOT = 4
"""Requests that may wait, per request that may run."""
QUEUED_MIN = 64
WAIT_LIMIT_MS = 10_000
"""Longest time that a request may wait, whatever its deadline."""
COMPLETIONS_KEPT = 64
"""Number of completion times that the throughput is computed from."""
RETRY_MIN_MS = 1_000


@dataclass(order=True)
class Waiter:
    """A waiting request, ordered by priority, deadline and arrival."""

    priority: int
    deadline_ms: int
    order: int
    admitted: asyncio.Future[None] = field(compare=False)


class AccountQueue:
    """Waiting requests of one account."""

    def __init__(self) -> None:
        self.weight = 1
        """Weight of the account when slots are shared out."""
        self.weighted_starts = 0.0
        """Requests started, divided by weight; the account with the lowest value is next."""
        self.waiters: list[Waiter] = []
        """Heap of the waiting requests."""

    def pop_least_urgent(self) -> Waiter:
        """Removes and returns the request that would be served last."""
        last = max(self.waiters)
        self.waiters.remove(last)
        heapq.heapify(self.waiters)
        return last


class FairQueue:
    """Limits the number of running requests and queues the others by account."""

    def __init__(self, clock: Clock, rng: random.Random, limit: Callable[[], int]) -> None:
        """Creates an empty queue.

        Args:
            clock: Times the waits.
            rng: Adds jitter to the retry times of refused requests.
            limit: Returns how many requests may run at once.
        """
        self.running = 0
        """Number of running requests."""
        self.waiting = 0
        """Number of waiting requests."""
        self.queues_by_account: dict[str, AccountQueue] = {}
        """Queues of the accounts with waiting requests, by account id."""
        self._clock = clock
        self._rng = rng
        self._limit = limit
        self._order = itertools.count()
        self._completions_ms: deque[int] = deque(maxlen=COMPLETIONS_KEPT)
        self._last_weighted_starts = 0.0
        """Value of the account served last, at which the queue of an account that had no waiting
        requests begins, so that idle time earns no advance over the others."""

    async def acquire(self, account: Account, priority: int, deadline_ms: int | None) -> None:
        """Waits until a request may run; ``release`` must be called when the request has ended.

        Args:
            account: The account that sent the request.
            priority: Priority within the account; lower values are served earlier.
            deadline_ms: Latest time at which the request may start; None for WAIT_LIMIT_MS from
                now.

        Raises:
            OverloadedError: If the request is not expected to start in time, is dropped from a full
                queue, or has not started by its deadline; nothing ran.
        """
        if not self.waiting and self.running < self._limit():
            self.running += 1
            return
        now = self._clock.now()
        latest_ms = now + WAIT_LIMIT_MS
        start_by_ms = latest_ms if deadline_ms is None else min(deadline_ms, latest_ms)
        if now + self.expected_wait_ms() > start_by_ms:
            raise self._overloaded_error(
                "The request is not expected to start before its deadline."
            )
        waiter = self._enqueue(account, priority, start_by_ms)
        self._start_waiting()
        self._shed_excess()
        try:
            await self._clock.wait_for(waiter.admitted, start_by_ms - now)
        except BaseException as error:
            self._withdraw(account.id, waiter)
            if isinstance(error, TimeoutError):
                raise self._overloaded_error(
                    "The request did not start before its deadline."
                ) from error
            raise

    def release(self) -> None:
        """Ends a running request and starts the next waiting one."""
        self.running -= 1
        self._completions_ms.append(self._clock.now())
        self._start_waiting()

    def expected_wait_ms(self) -> int:
        """Returns the expected wait of a new request in ms, from the recent throughput."""
        excess = self.running + self.waiting + 1 - self._limit()
        if excess <= 0 or len(self._completions_ms) < 2:
            return 0
        span_ms = max(1, self._clock.now() - self._completions_ms[0])
        return int(excess * span_ms / len(self._completions_ms))

    def _enqueue(self, account: Account, priority: int, start_by_ms: int) -> Waiter:
        """Adds a request to the queue of its account."""
        queue = self.queues_by_account.get(account.id)
        if queue is None:
            queue = self.queues_by_account[account.id] = AccountQueue()
            queue.weighted_starts = self._last_weighted_starts
        queue.weight = max(1, account.weight)
        admitted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = Waiter(priority, start_by_ms, next(self._order), admitted)
        heapq.heappush(queue.waiters, waiter)
        self.waiting += 1
        return waiter

    def _shed_excess(self) -> None:
        """If the queue is full, refuses a request of the account with the most waiting per weight.

        Among the requests of that account, the one that would be served last is refused.
        """
        if self.waiting <= max(QUEUED_MIN, QUEUED_PER_SLOT * self._limit()):
            return
        longest = max(
            self.queues_by_account.values(), key=lambda queue: len(queue.waiters) / queue.weight
        )
        dropped = longest.pop_least_urgent()
        self.waiting -= 1
        dropped.admitted.set_exception(self._overloaded_error("The queue is full."))
        self._remove_empty_queues()

    def _start_waiting(self) -> None:
        """Starts waiting requests while the limit allows."""
        while self.waiting and self.running < self._limit():
            queue = min(self.queues_by_account.values(), key=lambda queue: queue.weighted_starts)
            waiter = heapq.heappop(queue.waiters)
            self.waiting -= 1
            self._last_weighted_starts = queue.weighted_starts
            queue.weighted_starts += 1 / queue.weight
            self._remove_empty_queues()
            if not waiter.admitted.done():
                self.running += 1
                waiter.admitted.set_result(None)

    def _withdraw(self, account_id: str, waiter: Waiter) -> None:
        """Removes a request whose caller no longer waits, or frees its slot if admitted."""
        queue = self.queues_by_account.get(account_id)
        if queue and waiter in queue.waiters:
            queue.waiters.remove(waiter)
            heapq.heapify(queue.waiters)
            self.waiting -= 1
            self._remove_empty_queues()
        elif _was_admitted(waiter):
            self.running -= 1
            self._start_waiting()

    def _remove_empty_queues(self) -> None:
        """Removes the queues of accounts without waiting requests."""
        for account_id in [
            account_id for account_id, queue in self.queues_by_account.items() if not queue.waiters
        ]:
            del self.queues_by_account[account_id]

    def _overloaded_error(self, detail: str) -> OverloadedError:
        """Returns an error whose retry time has jitter, so that callers do not retry at once."""
        expected = max(RETRY_MIN_MS, self.expected_wait_ms())
        return OverloadedError(detail, retry_after_ms=int(expected * self._rng.uniform(1.0, 2.0)))


def _was_admitted(waiter: Waiter) -> bool:
    """Returns whether a request was admitted, even if its caller has cancelled since."""
    admitted = waiter.admitted
    return admitted.done() and not admitted.cancelled() and admitted.exception() is None

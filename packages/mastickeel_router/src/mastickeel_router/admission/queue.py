"""A bounded queue in front of dispatch: fair between accounts, ordered within each."""

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
"""Requests that may wait for each one that may run."""
QUEUED_MIN = 64
WAIT_LIMIT_MS = 10_000
"""The longest wait of a request without a deadline."""
COMPLETIONS_KEPT = 64
"""Ends of requests that the pace is worked out from."""
RETRY_MIN_MS = 1_000


@dataclass(order=True)
class Waiter:
    """A request that waits."""

    priority: int
    deadline_ms: int
    order: int
    admitted: asyncio.Future[None] = field(compare=False)


class AccountQueue:
    """The waiting requests of one account."""

    def __init__(self) -> None:
        self.weight = 1
        """The account's share when the queue is full."""
        self.weighted_starts = 0.0
        """Requests started, divided by weight: the account with the least is next."""
        self.waiters: list[Waiter] = []
        """A heap."""

    def pop_least_urgent(self) -> Waiter:
        """Takes out the request that would be served last."""
        worst = max(self.waiters)
        self.waiters.remove(worst)
        heapq.heapify(self.waiters)
        return worst


class FairQueue:
    """Lets at most some requests run, and the others wait their turn."""

    def __init__(self, clock: Clock, rng: random.Random, limit: Callable[[], int]) -> None:
        """Makes an empty queue.

        Args:
            clock: Times the waits.
            rng: Spreads the times to come back.
            limit: How many may run at once.
        """
        self.running = 0
        """Requests that run."""
        self.waiting = 0
        """Requests that wait."""
        self.queues_by_account: dict[str, AccountQueue] = {}
        """The accounts that have requests waiting."""
        self._clock = clock
        self._draw = rng
        self._limit = limit
        self._order = itertools.count()
        self._ends_ms: deque[int] = deque(maxlen=COMPLETIONS_KEPT)
        self._started = 0.0

    async def acquire(self, account: Account, priority: int, deadline_ms: int | None) -> None:
        """Waits until a request may run; ``release`` when it has ended.

        Args:
            account: Whose request it is.
            priority: Lower is served earlier within the account.
            deadline_ms: By when it must have begun; None for WAIT_LIMIT_MS from now.

        Raises:
            OverloadedError: At once when it cannot begin in time or the queue is full, else when
                its time is over; nothing ran.
        """
        if not self.waiting and self.running < self._limit():
            self.running += 1
            return
        now = self._clock.now()
        latest = now + WAIT_LIMIT_MS
        due = latest if deadline_ms is None else min(deadline_ms, latest)
        if now + self.expected_wait_ms() > due:
            raise self._refusal("It could not begin before its deadline.")
        waiter = self._enqueue(account, priority, due)
        self._pump()
        self._bound()
        try:
            await self._clock.wait_for(waiter.admitted, due - now)
        except BaseException as error:
            self._withdraw(account.id, waiter)
            if isinstance(error, TimeoutError):
                raise self._refusal("Its time to begin is over.") from error
            raise

    def release(self) -> None:
        """Ends a request that ran, and lets the next one in."""
        self.running -= 1
        self._ends_ms.append(self._clock.now())
        self._pump()

    def expected_wait_ms(self) -> int:
        """Returns how long a new request would wait, from the pace of the last ends."""
        over = self.running + self.waiting + 1 - self._limit()
        if over <= 0 or len(self._ends_ms) < 2:
            return 0
        span_ms = max(1, self._clock.now() - self._ends_ms[0])
        return int(over * span_ms / len(self._ends_ms))

    def _enqueue(self, account: Account, priority: int, due_ms: int) -> Waiter:
        """Puts a request in its account's queue."""
        queue = self.queues_by_account.get(account.id)
        if queue is None:
            queue = self.queues_by_account[account.id] = AccountQueue()
            queue.weighted_starts = self._started
        queue.weight = max(1, account.weight)
        admitted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = Waiter(priority, due_ms, next(self._order), admitted)
        heapq.heappush(queue.waiters, waiter)
        self.waiting += 1
        return waiter

    def _bound(self) -> None:
        """Refuses the last request of the account with the most waiting for its weight."""
        if self.waiting <= max(QUEUED_MIN, QUEUED_PER_SLOT * self._limit()):
            return
        longest = max(
            self.queues_by_account.values(), key=lambda queue: len(queue.waiters) / queue.weight
        )
        worst = longest.pop_least_urgent()
        self.waiting -= 1
        worst.admitted.set_exception(self._refusal("The queue is full."))
        self._drop_empty()

    def _pump(self) -> None:
        """Starts waiting requests while there is room."""
        while self.waiting and self.running < self._limit():
            queue = min(self.queues_by_account.values(), key=lambda one: one.weighted_starts)
            waiter = heapq.heappop(queue.waiters)
            self.waiting -= 1
            self._started = queue.weighted_starts
            queue.weighted_starts += 1 / queue.weight
            self._drop_empty()
            if not waiter.admitted.done():
                self.running += 1
                waiter.admitted.set_result(None)

    def _withdraw(self, account_id: str, waiter: Waiter) -> None:
        """Takes a request out that no longer waits."""
        queue = self.queues_by_account.get(account_id)
        if queue and waiter in queue.waiters:
            queue.waiters.remove(waiter)
            heapq.heapify(queue.waiters)
            self.waiting -= 1
            self._drop_empty()
        elif _was_admitted(waiter):
            self.running -= 1
            self._pump()

    def _drop_empty(self) -> None:
        """Forgets accounts that have nothing waiting."""
        for account_id in [
            one for one, queue in self.queues_by_account.items() if not queue.waiters
        ]:
            del self.queues_by_account[account_id]

    def _refusal(self, why: str) -> OverloadedError:
        """Makes a refusal whose time to come back is spread, so that callers do not all return."""
        expected = max(RETRY_MIN_MS, self.expected_wait_ms())
        return OverloadedError(why, retry_after_ms=int(expected * self._draw.uniform(1.0, 2.0)))


def _was_admitted(waiter: Waiter) -> bool:
    """Says whether a request was let in, though it may have been given up since."""
    admitted = waiter.admitted
    return admitted.done() and not admitted.cancelled() and admitted.exception() is None

"""Lets requests in, and counts those that are open."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from typing import TYPE_CHECKING

from mastickeel.errors import UnavailableError
from mastickeel.model import Account
from mastickeel_router.requests import ChatRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from mastickeel.clock import Clock
    from mastickeel.model import View
    from mastickeel_router.admission.capacity import ConcurrencyLimit
    from mastickeel_router.admission.ceilings import Ceilings
    from mastickeel_router.admission.estimates import CostEstimates
    from mastickeel_router.admission.limits import AccountLimits
    from mastickeel_router.admission.queue import FairQueue
    from mastickeel_router.requests import Outcome, ServiceRequest

SHUTDOWN_RETRY_MS = 1_000
IDLE_RELEASE_INTERVAL_MS = 5_000
RUN_TIME_WEIGHT = 0.1
"""How much the last run counts in the usual length of a run; the first counts whole."""


class AdmissionGate:
    """The requests that are open on this instance, and what each new one must pass."""

    def __init__(
        self,
        *,
        view: Callable[[], View],
        clock: Clock,
        limits: AccountLimits,
        ceilings: Ceilings,
        queue: FairQueue,
        capacity: ConcurrencyLimit,
        estimates: CostEstimates,
        check_billing_capacity: Callable[[], None],
    ) -> None:
        """Makes the gate.

        Args:
            view: Gives the accounts.
            clock: Times the upkeep.
            limits: Rate and concurrency of each account.
            ceilings: Cost ceilings.
            queue: Where requests wait for their turn.
            capacity: Learns how many may run.
            estimates: What requests may cost.
            check_billing_capacity: Raises when a request could not be billed.
        """
        self.open_requests = 0
        """Requests let in and not ended, those that wait included."""
        self.stopping = False
        """Whether a stop was asked for: the balancer should send nothing more."""
        self.leaving = False
        """Whether the instance refuses new work because it stops."""
        self._view = view
        self._clock = clock
        self._limits = limits
        self._ceilings = ceilings
        self._queue = queue
        self._capacity = capacity
        self._estimates = estimates
        self._check_room = check_billing_capacity
        self._cost_by_request: Counter[str] = Counter()
        self._ended = asyncio.Event()
        self._usual_run_ms = 0.0

    @contextlib.asynccontextmanager
    async def admit(self, request: ChatRequest | ServiceRequest) -> AsyncIterator[None]:
        """Holds a place for a request while it runs; may wait for one.

        Args:
            request: What asks to be let in.

        Raises:
            UnavailableError: When the instance takes no new work; nothing ran.
            RateLimitedError: When the account's rate or concurrency is used up; nothing ran.
            CeilingReachedError: When the account's cost ceiling is; nothing ran.
            OverloadedError: When it cannot run in time; nothing ran.
        """
        if self.leaving:
            raise UnavailableError("This instance is leaving.", retry_after_ms=SHUTDOWN_RETRY_MS)
        self._check_room()
        account = self._view().committed.accounts_by_id.get(request.account_id)
        account = account or Account(request.account_id)
        self.open_requests += 1
        try:
            async with (
                self._limited(account),
                self._budgeted(account, request),
                self._placed(account, request),
            ):
                yield
        finally:
            self.open_requests -= 1
            self._ended.set()

    def observe(self, outcome: Outcome) -> None:
        """Learns from a run, and notes its cost for the ceiling."""
        if outcome.request_id in self._cost_by_request:
            self._cost_by_request[outcome.request_id] += outcome.cost
        if outcome.ok:
            share = RUN_TIME_WEIGHT if self._usual_run_ms else 1.0
            self._usual_run_ms += share * (outcome.total_ms - self._usual_run_ms)
        self._estimates.observe(outcome)
        self._capacity.observe(outcome, self._queue.waiting > 0)

    async def wait_until_drained(self) -> None:
        """Waits until no request is open."""
        while self.open_requests:
            self._ended.clear()
            await self._ended.wait()

    async def run_idle_release(self) -> None:
        """Hands back idle shares, for as long as the instance runs."""
        while True:
            await self._clock.sleep(IDLE_RELEASE_INTERVAL_MS)
            with contextlib.suppress(UnavailableError):
                await self._ceilings.release_idle()

    async def close(self) -> None:
        """Hands back all that is left of the ceilings, when the store is there."""
        with contextlib.suppress(UnavailableError):
            await self._ceilings.release_idle(0)

    @contextlib.asynccontextmanager
    async def _limited(self, account: Account) -> AsyncIterator[None]:
        """Holds a slot of the account's concurrency."""
        limited = await self._limits.acquire(account)
        try:
            yield
        finally:
            if limited:
                self._limits.release(account)

    @contextlib.asynccontextmanager
    async def _budgeted(
        self, account: Account, request: ChatRequest | ServiceRequest
    ) -> AsyncIterator[None]:
        """Holds a part of the account's ceiling, replaced by the true cost at the end."""
        if not account.cost_ceiling or not isinstance(request, ChatRequest):
            yield
            return
        amount = self._estimates.estimate_cost(request, self._view())
        share = await self._ceilings.reserve(account, amount)
        self._cost_by_request[request.id] = 0
        try:
            yield
        finally:
            self._ceilings.settle(share, amount, self._cost_by_request.pop(request.id))

    @contextlib.asynccontextmanager
    async def _placed(
        self, account: Account, request: ChatRequest | ServiceRequest
    ) -> AsyncIterator[None]:
        """Holds one of the places on the engines; calls of plain services need none."""
        if not isinstance(request, ChatRequest):
            yield
            return
        begin_by_ms = request.deadline_ms
        if begin_by_ms is not None:
            # What begins too late to end in time takes a place from one that would.
            begin_by_ms -= int(self._usual_run_ms)
        await self._queue.acquire(account, request.priority, begin_by_ms)
        try:
            yield
        finally:
            self._queue.release()

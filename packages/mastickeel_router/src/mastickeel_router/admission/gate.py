"""Admission gate: applies all limits to a request and counts open requests."""

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
"""Weight of the latest run in the moving average of run times; the first run has weight 1."""


class AdmissionGate:
    """Applies account limits, cost ceilings and the queue to each request of this instance."""

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
        """Creates the gate.

        Args:
            view: Returns the configuration with the accounts.
            clock: Times the release of idle grants.
            limits: Rate and concurrency limits of the accounts.
            ceilings: Cost ceilings of the accounts.
            queue: Queue of requests that wait for an engine.
            capacity: Concurrency limit, which is updated with the outcomes.
            estimates: Cost estimates, which are updated with the outcomes.
            check_billing_capacity: Raises an error if no further request could be billed.
        """
        self.open_requests = 0
        """Number of requests admitted and not ended, including those that wait."""
        self.stop_requested = False
        """Whether a stop was requested, so that the load balancer should send no more requests.

        Requests are still admitted until ``refuses_requests`` is set."""
        self.refuses_requests = False
        """Whether new requests are refused because the instance is shutting down."""
        self._view = view
        self._clock = clock
        self._limits = limits
        self._ceilings = ceilings
        self._queue = queue
        self._capacity = capacity
        self._estimates = estimates
        self._check_billing_capacity = check_billing_capacity
        self._cost_by_request: Counter[str] = Counter()
        self._request_ended = asyncio.Event()
        self._average_run_ms = 0.0

    @contextlib.asynccontextmanager
    async def admit(self, request: ChatRequest | ServiceRequest) -> AsyncIterator[None]:
        """Admits a request for the duration of the context; may wait in the queue.

        Args:
            request: The request to admit.

        Raises:
            UnavailableError: If the instance accepts no new requests; nothing ran.
            RateLimitedError: If the account's rate or concurrency limit is reached; nothing ran.
            CeilingReachedError: If the account's cost ceiling is reached; nothing ran.
            OverloadedError: If the request cannot start in time; nothing ran.
        """
        if self.refuses_requests:
            raise UnavailableError(
                "This instance is shutting down.", retry_after_ms=SHUTDOWN_RETRY_MS
            )
        self._check_billing_capacity()
        account = self._view().committed.accounts_by_id.get(request.account_id)
        account = account or Account(request.account_id)
        self.open_requests += 1
        try:
            async with (
                self._hold_account_slot(account),
                self._hold_budget(account, request),
                self._hold_engine_slot(account, request),
            ):
                yield
        finally:
            self.open_requests -= 1
            self._request_ended.set()

    def observe(self, outcome: Outcome) -> None:
        """Records the cost of a run and updates run time, cost estimates and capacity."""
        if outcome.request_id in self._cost_by_request:
            self._cost_by_request[outcome.request_id] += outcome.cost
        if outcome.ok:
            weight = RUN_TIME_WEIGHT if self._average_run_ms else 1.0
            self._average_run_ms += weight * (outcome.total_ms - self._average_run_ms)
        self._estimates.observe(outcome)
        self._capacity.observe(outcome, self._queue.waiting > 0)

    async def wait_until_drained(self) -> None:
        """Waits until no requests are open."""
        while self.open_requests:
            self._request_ended.clear()
            await self._request_ended.wait()

    async def run_idle_release(self) -> None:
        """Releases idle grants periodically until cancelled."""
        while True:
            await self._clock.sleep(IDLE_RELEASE_INTERVAL_MS)
            with contextlib.suppress(UnavailableError):
                await self._ceilings.release_idle()

    async def close(self) -> None:
        """Releases all unused grants, if the store is available."""
        with contextlib.suppress(UnavailableError):
            await self._ceilings.release_idle(0)

    @contextlib.asynccontextmanager
    async def _hold_account_slot(self, account: Account) -> AsyncIterator[None]:
        """Holds one of the account's concurrency slots."""
        holds_slot = await self._limits.acquire(account)
        try:
            yield
        finally:
            if holds_slot:
                self._limits.release(account)

    @contextlib.asynccontextmanager
    async def _hold_budget(
        self, account: Account, request: ChatRequest | ServiceRequest
    ) -> AsyncIterator[None]:
        """Reserves the estimated cost; at the end, replaces it by the actual cost."""
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
    async def _hold_engine_slot(
        self, account: Account, request: ChatRequest | ServiceRequest
    ) -> AsyncIterator[None]:
        """Holds one of the engine slots; calls of plain services need none."""
        if not isinstance(request, ChatRequest):
            yield
            return
        start_by_ms = request.deadline_ms
        if start_by_ms is not None:
            # A request that starts too late to end in time only takes a slot from others.
            start_by_ms -= int(self._average_run_ms)
        await self._queue.acquire(account, request.priority, start_by_ms)
        try:
            yield
        finally:
            self._queue.release()

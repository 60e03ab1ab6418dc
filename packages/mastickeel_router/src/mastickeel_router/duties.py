"""Duties: background tasks that only one instance of the fleet runs at a time.

The instances elect the holder of a duty by creating its key in the store under a lease. The
revision of that write is the holder's fencing token.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from mastickeel.errors import StoreError
from mastickeel.events import define_event
from mastickeel.keyvalue import Compare, Get, Put
from mastickeel.logs import log

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.clock import Clock
    from mastickeel.storeport import Store

LEASE_TTL_SECONDS = 10
RENEW_INTERVAL_MS = 3_000
CAMPAIGN_INTERVAL_MS = 5_000
CAMPAIGN_JITTER_MS = 250
"""Time over which standbys spread their campaigns for a vacant duty: about ten times as long as one
campaign takes."""
LEASE_SAFETY_MARGIN_MS = 1_000
"""Time before the earliest possible expiry of the lease at which the holder stops."""
HELD_POLL_INTERVAL_MS = 9_000
"""Interval at which a candidate that knows of a holder reads the duty's key, in case it was not
notified that the duty became vacant."""

OTHERS_POLL_FACTOR = 4
"""Factor of that interval for the candidates that are not preferred."""
PREFERENCE_MS = 1_000
"""Time for which the preferred instances campaign alone for a duty that may be vacant."""

DUTY_TAKEN = define_event(
    1005, "duty_taken", "info", "This instance became the holder of the duty named."
)
DUTY_LOST = define_event(
    1006,
    "duty_lost",
    "warning",
    "This instance no longer holds the duty named: the lease may have expired, or the work ended.",
)


@dataclass(frozen=True)
class DutyTiming:
    """Lease time and intervals of a duty."""

    ttl_seconds: int = LEASE_TTL_SECONDS
    renew_interval_ms: int = RENEW_INTERVAL_MS
    campaign_interval_ms: int = CAMPAIGN_INTERVAL_MS
    """Interval at which an instance without the duty campaigns for it."""


DEFAULT_TIMING = DutyTiming()


class Duty:
    """One duty, as seen by this instance: a candidate for it or its holder."""

    def __init__(
        self,
        name: str,
        *,
        instance_id: str,
        store: Store,
        prefix: str,
        clock: Clock,
        is_candidate: Callable[[], bool] = lambda: True,
        is_preferred: Callable[[], bool] = lambda: True,
        timing: DutyTiming = DEFAULT_TIMING,
    ) -> None:
        """Creates the duty; it is not held until ``run`` has won it.

        Args:
            name: The duty's name in the store.
            instance_id: This instance.
            store: The key-value service.
            prefix: Prefix of all keys of this deployment.
            clock: Times the lease.
            is_candidate: Returns whether this instance should campaign; limits the store calls of
                a large fleet.
            is_preferred: Returns whether this instance is one of the first that should campaign;
                the others do so only once the duty has had no holder for some time.
            timing: Lease time and intervals.
        """
        self.name = name
        """Name of the duty."""
        self.key = f"{prefix}/duties/{name}"
        """Key of the duty in the store; exists while the duty is held."""
        self._proofs_prefix = f"{prefix}/holds/{name}/"
        self._instance_id = instance_id
        self._store = store
        self._clock = clock
        self._is_candidate = is_candidate
        self._is_preferred = is_preferred
        self._vacant_since_ms: int | None = None
        self._timing = timing
        self._lease_id = 0
        self._fencing_token = 0
        self._proof_key = ""
        self._deadline_ms = 0
        self._vacancy = asyncio.Event()
        self._era_began = asyncio.Event()
        self._seen_held_ms: int | None = None

    @property
    def fencing_token(self) -> int | None:
        """Fencing token for each act under the duty; None unless the duty is certainly held."""
        return self._fencing_token if self._clock.now() < self._deadline_ms else None

    def held_condition(self) -> Compare:
        """Returns the condition for store writes that only the duty's holder may make.

        The condition names a key that no other hold has: a store that has come back from an older
        copy gives the revision of the duty's key out again.
        """
        return Compare(self._proof_key, "MOD", self._fencing_token)

    async def run(self, work: Callable[[], Awaitable[None]]) -> None:
        """Campaigns for the duty and runs the work while it is held, until cancelled.

        Args:
            work: Runs until cancelled; is cancelled when the lease may have expired.
        """
        while True:
            try:
                won = self._may_campaign() and await self._campaign()
            except StoreError:
                won = False
            if not won:
                await self._wait_to_campaign()
                continue
            log(DUTY_TAKEN, duty=self.name, fencing=self._fencing_token)
            await self._work_while_held(work)

    def record_holder(self) -> None:
        """Records that the duty has a holder, so that this instance seldom asks the store."""
        self._seen_held_ms = self._clock.now()

    def record_vacancy(self) -> None:
        """Records that the duty has no holder, so that this instance campaigns early."""
        self._seen_held_ms = None
        self._vacancy.set()

    def record_new_era(self) -> None:
        """Ends the hold: the store has come back from an older copy, and its leases may be gone."""
        self._deadline_ms = 0
        self._lease_id = 0
        self._seen_held_ms = None
        self._era_began.set()

    async def release(self) -> None:
        """Releases the duty by revoking its lease, so that another instance can hold it."""
        self._deadline_ms = 0
        if self._lease_id:
            lease, self._lease_id = self._lease_id, 0
            with contextlib.suppress(StoreError):
                await self._store.revoke(lease)

    def _may_campaign(self) -> bool:
        """Returns whether this instance should try to take the duty now."""
        now = self._clock.now()
        if not self._is_candidate() or not self._may_be_vacant():
            self._vacant_since_ms = None
            return False
        if self._vacant_since_ms is None:
            self._vacant_since_ms = now
        return self._is_preferred() or now - self._vacant_since_ms >= PREFERENCE_MS

    def _may_be_vacant(self) -> bool:
        """Returns whether the duty may have no holder, as far as this instance was told."""
        if self._seen_held_ms is None:
            return True
        interval_ms = HELD_POLL_INTERVAL_MS
        if not self._is_preferred():
            interval_ms *= OTHERS_POLL_FACTOR
        return self._clock.now() - self._seen_held_ms >= interval_ms

    async def _wait_to_campaign(self) -> None:
        """Waits for the campaign interval, or for a short jitter once the duty is vacant."""
        try:
            await self._clock.wait_for(self._vacancy.wait(), self._timing.campaign_interval_ms)
        except TimeoutError:
            return
        self._vacancy.clear()
        # With the jitter, later candidates find the duty held and make no transaction.
        await self._clock.sleep(
            xxhash.xxh3_64_intdigest(self._instance_id.encode()) % CAMPAIGN_JITTER_MS
        )

    async def _campaign(self) -> bool:
        """Tries to create the duty's key under a new lease; returns whether this succeeded."""
        if await self._store.get(self.key) is not None:
            if self._seen_held_ms is not None:
                self.record_holder()
            return False
        requested_ms, era = self._clock.now(), self._store.era.number
        lease = await self._store.grant(self._timing.ttl_seconds)
        proof_key = f"{self._proofs_prefix}{self._instance_id}.{self._clock.wall()}"
        holder = self._instance_id.encode()
        puts = (Put(self.key, holder, lease), Put(proof_key, holder, lease))
        vacant = Compare(self.key, "CREATE", 0)
        result = await self._store.txn((vacant,), puts, (Get(self.key),))
        if self._store.era.number != era:
            return False
        if not result.succeeded:
            await self._store.revoke(lease)
            return False
        self._lease_id = lease
        self._fencing_token = result.revision
        self._proof_key = proof_key
        self._era_began.clear()
        self._extend_hold(requested_ms)
        return True

    async def _work_while_held(self, work: Callable[[], Awaitable[None]]) -> None:
        """Runs the work until it ends or the lease may have expired."""
        task = asyncio.ensure_future(work())
        try:
            while not task.done() and await self._renew():
                timer = asyncio.ensure_future(self._clock.sleep(self._timing.renew_interval_ms))
                new_era = asyncio.ensure_future(self._era_began.wait())
                try:
                    await asyncio.wait([task, timer, new_era], return_when=asyncio.FIRST_COMPLETED)
                finally:
                    timer.cancel()
                    new_era.cancel()
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            log(DUTY_LOST, duty=self.name, fencing=self._fencing_token)
            await self.release()

    async def _renew(self) -> bool:
        """Renews the lease; returns False once it may have expired."""
        requested_ms, lease = self._clock.now(), self._lease_id
        if not lease:
            return False
        try:
            if not await self._store.keep_alive(lease) or lease != self._lease_id:
                return False
            self._extend_hold(requested_ms)
        except StoreError:
            pass
        return self.fencing_token is not None

    def _extend_hold(self, requested_ms: int) -> None:
        """Extends the hold, counting the lease from its request, the earliest possible start."""
        self._deadline_ms = requested_ms + self._timing.ttl_seconds * 1_000 - LEASE_SAFETY_MARGIN_MS

"""Duties that one instance at a time holds under a lease, with a fencing number for each act."""

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
"""Over how long standbys campaign once the duty is free: some ten times what a campaign takes."""
LEASE_SAFETY_MARGIN_MS = 1_000
"""The holder stops this long before the lease can lapse."""

DUTY_TAKEN = define_event(1005, "duty_taken", "info", "This instance holds a duty; see its name.")
DUTY_LOST = define_event(
    1006, "duty_lost", "warning", "A duty's lease could not be renewed; it stops."
)


@dataclass(frozen=True)
class DutyTiming:
    """The times of a duty's lease."""

    ttl_seconds: int = LEASE_TTL_SECONDS
    renew_interval_ms: int = RENEW_INTERVAL_MS
    campaign_interval_ms: int = CAMPAIGN_INTERVAL_MS
    """How often an instance that does not hold the duty tries."""


DEFAULT_TIMING = DutyTiming()


class Duty:
    """One duty, and whether this instance surely holds it now."""

    def __init__(
        self,
        name: str,
        *,
        instance_id: str,
        store: Store,
        prefix: str,
        clock: Clock,
        is_candidate: Callable[[], bool] = lambda: True,
        timing: DutyTiming = DEFAULT_TIMING,
    ) -> None:
        """Makes the duty, which is not held until ``run`` has won it.

        Args:
            name: What the duty is called in the store.
            instance_id: Who campaigns.
            store: The key-value service.
            prefix: What all keys of this deployment begin with.
            clock: Times the lease.
            is_candidate: Whether this instance should try; keeps a large fleet from asking.
            timing: How long the lease lasts and how often it is renewed.
        """
        self.name = name
        """What the duty is called."""
        self.key = f"{prefix}/duties/{name}"
        """Its key, for transactions that must fail when the duty has passed on."""
        self._instance_id = instance_id
        self._store = store
        self._clock = clock
        self._is_candidate = is_candidate
        self._timing = timing
        self._lease = 0
        self._fencing_token = 0
        self._deadline_ms = 0
        self._vacancy = asyncio.Event()

    @property
    def fencing_token(self) -> int | None:
        """The number that each act carries; None when the duty is not surely held."""
        return self._fencing_token if self._clock.now() < self._deadline_ms else None

    def held_condition(self) -> Compare:
        """Returns the condition that a write under this duty must carry."""
        return Compare(self.key, "MOD", self._fencing_token)

    async def run(self, work: Callable[[], Awaitable[None]]) -> None:
        """Campaigns, and does the work while the duty is held, for as long as the instance runs.

        Args:
            work: Runs until cancelled; cancelled when the duty may have passed on.
        """
        while True:
            try:
                won = self._is_candidate() and await self._campaign()
            except StoreError:
                won = False
            if not won:
                await self._wait_to_campaign()
                continue
            log(DUTY_TAKEN, duty=self.name, fencing=self._fencing_token)
            await self._work_while_held(work)

    def record_vacancy(self) -> None:
        """Notes that nobody holds the duty: this instance campaigns soon, not in its turn."""
        self._vacancy.set()

    async def release(self) -> None:
        """Gives the duty up at once, so that another instance can take it."""
        self._deadline_ms = 0
        if self._lease:
            lease, self._lease = self._lease, 0
            with contextlib.suppress(StoreError):
                await self._store.revoke(lease)

    async def _wait_to_campaign(self) -> None:
        """Waits for the next turn to campaign, or a moment after the duty has become free."""
        try:
            await self._clock.wait_for(self._vacancy.wait(), self._timing.campaign_interval_ms)
        except TimeoutError:
            return
        self._vacancy.clear()
        # The first takes it, and the others see that it is taken.
        await self._clock.sleep(
            xxhash.xxh3_64_intdigest(self._instance_id.encode()) % CAMPAIGN_JITTER_MS
        )

    async def _campaign(self) -> bool:
        """Tries to create the duty's key under a fresh lease."""
        if await self._store.get(self.key) is not None:
            return False
        requested_ms = self._clock.now()
        lease = await self._store.grant(self._timing.ttl_seconds)
        put = Put(self.key, self._instance_id.encode(), lease)
        is_free = Compare(self.key, "CREATE", 0)
        result = await self._store.txn((is_free,), (put,), (Get(self.key),))
        if not result.succeeded:
            await self._store.revoke(lease)
            return False
        self._lease = lease
        self._fencing_token = result.revision
        self._extend_hold(requested_ms)
        return True

    async def _work_while_held(self, work: Callable[[], Awaitable[None]]) -> None:
        """Runs the work until the lease can no longer be counted on."""
        task = asyncio.ensure_future(work())
        try:
            while not task.done() and await self._renew():
                pause = asyncio.ensure_future(self._clock.sleep(self._timing.renew_interval_ms))
                try:
                    await asyncio.wait([task, pause], return_when=asyncio.FIRST_COMPLETED)
                finally:
                    pause.cancel()
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            log(DUTY_LOST, duty=self.name, fencing=self._fencing_token)
            await self.release()

    async def _renew(self) -> bool:
        """Renews the lease; False once it may have lapsed."""
        requested_ms = self._clock.now()
        try:
            if not await self._store.keep_alive(self._lease):
                return False
            self._extend_hold(requested_ms)
        except StoreError:
            pass
        return self.fencing_token is not None

    def _extend_hold(self, requested_ms: int) -> None:
        """Counts the lease from when it was asked for, the earliest that it can have begun."""
        self._deadline_ms = requested_ms + self._timing.ttl_seconds * 1_000 - LEASE_SAFETY_MARGIN_MS

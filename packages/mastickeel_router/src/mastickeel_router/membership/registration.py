"""Registers this instance in the key-value service under a lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from mastickeel.errors import StoreError
from mastickeel.keyvalue import Put
from mastickeel_router.backoff import Backoff

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel.keyvalue import KeyValueClient
    from mastickeel_router.membership.member import Member

RENEW_INTERVAL_MS = 3_000
RENEWALS_PER_SECOND = 20
"""Limit over the whole fleet: a large fleet renews longer leases less often."""
RENEWALS_PER_TTL = 3.5


class Registration:
    """The registration key and lease of this instance."""

    def __init__(
        self,
        *,
        store: KeyValueClient,
        prefix: str,
        clock: Clock,
        rng: random.Random,
        local_member: Callable[[], Member],
        fleet_size: Callable[[], int],
    ) -> None:
        """Creates the registration without a lease.

        Args:
            store: The key-value service.
            prefix: The prefix of the members' keys.
            clock: Times the renewals.
            rng: Source of the jitter between renewals.
            local_member: Returns the record to write.
            fleet_size: Returns the number of instances in the fleet.
        """
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._rng = rng
        self._local_member = local_member
        self._fleet_size = fleet_size
        self._lease = 0
        self._interval_ms = 0

    async def run(self) -> None:
        """Renews the lease, or obtains a new one after it has expired, until cancelled."""
        backoff = Backoff(self._clock, self._rng)
        while True:
            try:
                await self._renew()
                backoff.reset()
                await self._clock.sleep(self._interval_ms * (0.8 + 0.4 * self._rng.random()))
            except StoreError:
                await backoff.pause()

    async def write(self) -> None:
        """Writes this instance's key again under the current lease, if there is a lease.

        Raises:
            StoreError: When the store did not answer.
        """
        if self._lease:
            member = self._local_member()
            put = Put(f"{self._prefix}{member.id}", msgspec.json.encode(member), self._lease)
            await self._store.txn((), (put,))

    async def revoke(self) -> None:
        """Revokes the lease, which also deletes the key.

        Raises:
            StoreError: When the store did not answer; the lease then expires by itself.
        """
        lease, self._lease = self._lease, 0
        if lease:
            await self._store.revoke(lease)

    async def _renew(self) -> None:
        """Renews the lease; replaces a lease that has expired or does not fit the fleet size."""
        needed_ms = max(RENEW_INTERVAL_MS, 1_000 * self._fleet_size() // RENEWALS_PER_SECOND)
        if self._lease and self._interval_ms / 2 < needed_ms < self._interval_ms * 2:
            if await self._store.keep_alive(self._lease):
                return
            self._lease = 0
        previous_lease, self._interval_ms = self._lease, needed_ms
        self._lease = await self._store.grant(int(needed_ms * RENEWALS_PER_TTL / 1_000))
        await self.write()
        if previous_lease:
            await self._store.revoke(previous_lease)

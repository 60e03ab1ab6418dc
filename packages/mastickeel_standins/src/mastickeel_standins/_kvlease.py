"""Leases of the key-value stand-in: granting, renewal, revocation and expiry by the clock."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any

from mastickeel_standins._kvjson import build_message, read_int
from mastickeel_standins._kvstate import (
    FAILED_PRECONDITION,
    NOT_FOUND,
    OUT_OF_RANGE,
    KeyValueError,
    Lease,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel_standins._kvstate import KeyValueState

MIN_TTL_S = 2
MAX_TTL_S = 9_000_000_000
FIRST_LEASE_ID = 7_587_862_094_571_110_401
MILLISECONDS_PER_SECOND = 1_000


class Leases:
    """Lease operations of one store, with an expiry timer for each lease."""

    def __init__(
        self, state: KeyValueState, clock: Clock, on_keys_deleted: Callable[[], None]
    ) -> None:
        """Creates an empty set of leases.

        Args:
            state: The store.
            clock: Times the expiry of leases.
            on_keys_deleted: Called after the end of a lease deleted keys.
        """
        self.min_ttl_s = MIN_TTL_S
        """Minimum TTL in seconds; shorter requests are granted this TTL, as in the real service."""
        self._state = state
        self._clock = clock
        self._on_keys_deleted = on_keys_deleted
        self._ids = itertools.count(FIRST_LEASE_ID)
        self._timers_by_id: dict[int, asyncio.Task[None]] = {}

    def grant(self, body: dict[str, Any]) -> dict[str, Any]:
        """Grants a lease.

        Args:
            body: A LeaseGrantRequest.

        Returns:
            A LeaseGrantResponse without its header.

        Raises:
            KeyValueError: If the id is in use or the TTL is too long.
        """
        lease_id = read_int(body, "ID") or next(self._ids)
        ttl_s = max(self.min_ttl_s, read_int(body, "TTL"))
        if ttl_s > MAX_TTL_S:
            raise KeyValueError(OUT_OF_RANGE, "etcdserver: too large lease TTL")
        if lease_id in self._state.leases_by_id:
            raise KeyValueError(FAILED_PRECONDITION, "etcdserver: lease already exists")
        lease = Lease(lease_id, ttl_s, self._compute_expiry_ms(ttl_s))
        self._state.leases_by_id[lease_id] = lease
        self._timers_by_id[lease_id] = asyncio.ensure_future(self._run_expiry(lease))
        return build_message(ID=lease_id, TTL=ttl_s)

    def revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        """Revokes a lease and deletes its keys.

        Args:
            body: A LeaseRevokeRequest.

        Returns:
            A LeaseRevokeResponse without its header.

        Raises:
            KeyValueError: If the lease does not exist.
        """
        lease_id = read_int(body, "ID")
        if lease_id not in self._state.leases_by_id:
            raise KeyValueError(NOT_FOUND, "etcdserver: requested lease not found")
        self._remove(lease_id)
        return {}

    def keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        """Renews a lease for its full TTL; the response for an unknown lease has no TTL.

        Args:
            body: A LeaseKeepAliveRequest.

        Returns:
            A LeaseKeepAliveResponse without its header.
        """
        lease_id = read_int(body, "ID")
        lease = self._state.leases_by_id.get(lease_id)
        if lease is None:
            return build_message(ID=lease_id)
        lease.expires_ms = self._compute_expiry_ms(lease.ttl_s)
        return build_message(ID=lease_id, TTL=lease.ttl_s)

    def time_to_live(self, body: dict[str, Any]) -> dict[str, Any]:
        """Returns a lease's remaining time to live; -1 for an unknown lease.

        Args:
            body: A LeaseTimeToLiveRequest.

        Returns:
            A LeaseTimeToLiveResponse without its header.
        """
        lease_id = read_int(body, "ID")
        lease = self._state.leases_by_id.get(lease_id)
        if lease is None:
            return build_message(ID=lease_id, TTL=-1)
        remaining_s = (lease.expires_ms - self._clock.now()) // MILLISECONDS_PER_SECOND
        keys = sorted(lease.keys) if body.get("keys") else []
        return build_message(ID=lease_id, TTL=remaining_s, grantedTTL=lease.ttl_s, keys=keys)

    def list_all(self, body: dict[str, Any]) -> dict[str, Any]:
        """Lists the existing leases.

        Args:
            body: A LeaseLeasesRequest, which is empty.

        Returns:
            A LeaseLeasesResponse without its header.
        """
        return build_message(
            leases=[build_message(ID=lease_id) for lease_id in sorted(self._state.leases_by_id)]
        )

    def expire_due(self) -> None:
        """Removes every lease whose TTL has passed."""
        now = self._clock.now()
        expired = [lease for lease in self._state.leases_by_id.values() if lease.expires_ms <= now]
        for lease in expired:
            self._remove(lease.lease_id)

    def stop(self) -> None:
        """Cancels the expiry timers."""
        for timer in self._timers_by_id.values():
            timer.cancel()
        self._timers_by_id.clear()

    def _compute_expiry_ms(self, ttl_s: int) -> int:
        """Returns the expiry time of a lease that is granted or renewed now."""
        return self._clock.now() + ttl_s * MILLISECONDS_PER_SECOND

    def _remove(self, lease_id: int) -> None:
        """Removes a lease with its timer and deletes its keys."""
        timer = self._timers_by_id.pop(lease_id, None)
        if timer is not None and timer is not asyncio.current_task():
            timer.cancel()
        if self._state.delete_lease(lease_id):
            self._on_keys_deleted()

    async def _run_expiry(self, lease: Lease) -> None:
        """Removes a lease once its TTL has passed since the last renewal."""
        while self._state.leases_by_id.get(lease.lease_id) is lease:
            remaining_ms = lease.expires_ms - self._clock.now()
            if remaining_ms <= 0:
                self._remove(lease.lease_id)
                return
            await self._clock.sleep(remaining_ms)

"""Directory of the fleet's instances; each has an entry in the store under its own lease."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import xxhash

from mastickeel.addresses import Address
from mastickeel.decoding import decode_json
from mastickeel.errors import StoreError
from mastickeel.events import define_event
from mastickeel.keyvalue import Compare, Get, Put
from mastickeel.logs import log
from mastickeel_router.discovery.feeds import WatchHandler
from mastickeel_router.fleet.broadcast import PeerTraits

if TYPE_CHECKING:
    from mastickeel._kvtypes import KeyValue
    from mastickeel.clock import Clock
    from mastickeel.peers import PeerLink
    from mastickeel.storeport import Store
    from mastickeel_router.discovery.feeds import OutageEnd

LEASE_TTL_SECONDS = 12
"""Lease of an instance's entry: the longest time for which peers send notifications to an ended
instance."""
RENEW_INTERVAL_MS = 4_000
"""Interval of lease renewals; two may be lost before the entry expires."""
RETRY_INTERVAL_MS = 1_000
"""Interval of retries while the store does not answer; no request waits for the notifications of
peers, which are only hints."""

REGISTER_JITTER_MS = 500
"""Time over which the instances spread their registrations after the store has come back from an
older copy."""
RECENT_MS = 15_000
"""Time for which a removed peer is still counted among the recent ones: above the lease, so that
all instances forget a peer only after each of them has lost it."""
OUTAGE_GRACE_MS = 5_000
"""Time after an outage of the store in which an entry may have gone with its lease: above the
interval of renewals, in which a live peer finds that and registers again."""
KEPT_MS = LEASE_TTL_SECONDS * 1_000
"""Time for which a peer whose entry went with an outage has to register again."""

PEER_FOUND = define_event(2370, "peer_found", "info", "Another instance registered itself.")
PEER_REMOVED = define_event(
    2371, "peer_gone", "info", "Another instance's entry was removed or is malformed."
)
PEER_KEPT = define_event(
    2376,
    "peer_kept",
    "info",
    "Another instance's entry went with an outage of the store; it may register again for a time.",
)
REGISTERED = define_event(2372, "registered", "info", "This instance has an entry in the store.")
NOT_REGISTERED = define_event(
    2373,
    "not_registered",
    "warning",
    "This instance's entry could not be written or renewed; it is retried.",
)


@dataclass(frozen=True)
class _Entry:
    """Entry of an instance in the store."""

    address: str
    data_centre: str = ""
    link_mbps: float = 0.0
    tunnels: str = ""
    """Address at which the instance opens tunnels to endpoints; empty for none."""
    exchanges_changes: bool = False
    """Whether the instance exchanges all changes of the store with its peers."""


class InstanceDirectory:
    """Maintains this instance's entry in the store, and the peer link's connections to others."""

    def __init__(
        self,
        store: Store,
        link: PeerLink,
        *,
        prefix: str,
        host: str,
        traits: PeerTraits,
        clock: Clock,
    ) -> None:
        """Creates the directory without registering this instance.

        Args:
            store: The store that holds the entries.
            link: Connects to the peers in the directory.
            prefix: Prefix of the fleet's keys.
            host: Host under which peers reach this instance.
            traits: Traits of this instance.
            clock: Times the renewals.
        """
        self._store = store
        self._link = link
        self.entries_prefix = f"{prefix}/instances/"
        """Prefix of the keys of entries."""
        self.traits_by_peer: dict[str, PeerTraits] = {}
        """Traits of the peers, as far as their entries name them."""
        self.tunnels_by_peer: dict[str, Address] = {}
        """Addresses at which the peers open tunnels to endpoints, as far as they name one."""
        self.tunnels_port = 0
        """Port at which this instance opens tunnels to endpoints; 0 for none."""
        self._removed_ms_by_peer: dict[str, int] = {}
        self._kept_until_ms: dict[str, int] = {}
        self._is_outage = False
        self._grace_deadline_ms = clock.now()
        self._host = host
        self._traits = traits
        self._clock = clock
        self._lease: int | None = None
        self._era: int | None = None
        self._entry_revision = 0
        self._is_registered = False
        """Whether the store holds this instance's entry, as far as is known."""
        self._changed = asyncio.Event()
        store.era.on_change.append(lambda era: self._changed.set())

    @property
    def recent_peer_ids(self) -> tuple[str, ...]:
        """The ids of the peers in the directory, and of those removed a short time ago."""
        oldest_ms = self._clock.now() - RECENT_MS
        self._removed_ms_by_peer = {
            peer_id: at_ms
            for peer_id, at_ms in self._removed_ms_by_peer.items()
            if at_ms > oldest_ms
        }
        return (*self._link.peer_ids, *self._removed_ms_by_peer)

    async def keep_registered(self) -> None:
        """Writes this instance's entry and renews its lease until cancelled."""
        while True:
            try:
                await self._renew()
                await self._wait_for_change()
            except StoreError as error:
                log(NOT_REGISTERED, error=str(error))
                await self._clock.sleep(RETRY_INTERVAL_MS)
            self.remove_expired()

    async def _renew(self) -> None:
        """Renews the lease, and writes the entry if the store does not hold it.

        A renewal whose answer is lost leaves the lease as it is, as it may have been executed.
        """
        if self._changed.is_set():
            self._changed.clear()
            if self._era != self._store.era.number:
                # The lease's id may have been given to another instance.
                self._lease = None
        if self._lease is not None and not await self._store.keep_alive(self._lease):
            self._lease = None
        if self._lease is None:
            self._is_registered = False
            self._lease = await self._store.grant(LEASE_TTL_SECONDS)
            self._era = self._store.era.number
        if not self._is_registered:
            await self._write_entry(self._lease)

    async def _wait_for_change(self) -> None:
        """Waits for the next renewal, or until the store may have lost the entry."""
        try:
            await self._clock.wait_for(self._changed.wait(), RENEW_INTERVAL_MS)
        except TimeoutError:
            return
        await self._clock.sleep(
            xxhash.xxh3_64_intdigest(self._link.instance_id.encode()) % REGISTER_JITTER_MS
        )

    def entry_handler(self) -> WatchHandler:
        """Returns the handler of the entries' keys in the store."""
        return WatchHandler(
            self._apply_all,
            self._apply_entry,
            self._remove_entry,
            self._begin_outage,
            self._end_outage,
        )

    def remove_expired(self) -> None:
        """Removes the peers that have not registered again in time after an outage."""
        if self._is_outage:
            return
        now = self._clock.now()
        for peer_id, until_ms in list(self._kept_until_ms.items()):
            if until_ms < now:
                self._remove_peer(peer_id)

    def _begin_outage(self) -> None:
        self._is_outage = True

    def _end_outage(self, end: OutageEnd) -> None:
        self._is_outage = False
        self._grace_deadline_ms = max(self._grace_deadline_ms, end.at_ms + OUTAGE_GRACE_MS)
        # They could not register while the store did not answer.
        self._kept_until_ms = {
            peer_id: max(until_ms, end.at_ms + KEPT_MS)
            for peer_id, until_ms in self._kept_until_ms.items()
        }

    async def _write_entry(self, lease: int) -> None:
        """Writes this instance's entry, unless it is there already under the lease.

        A write whose answer was lost may be executed later; its condition no longer holds once the
        entry has been written again.
        """
        address = f"{self._host}:{self._link.port}"
        key = f"{self.entries_prefix}{self._link.instance_id}"
        tunnels = f"{self._host}:{self.tunnels_port}" if self.tunnels_port else ""
        entry = _Entry(
            address,
            self._traits.data_centre,
            self._traits.link_mbps,
            tunnels,
            self._traits.exchanges_changes,
        )
        put = Put(key, msgspec.json.encode(entry), lease)
        while True:
            unchanged = Compare(key, "MOD", self._entry_revision)
            result = await self._store.txn((unchanged,), (put,), (Get(key),))
            if result.succeeded:
                self._entry_revision = result.revision
                break
            found = next((item for item in result.found if item.key == key), None)
            self._entry_revision = found.mod_revision if found else 0
            if found is not None and (found.lease, found.value) == (lease, put.value):
                break
        self._is_registered = True
        log(REGISTERED, address=address, lease=lease)

    def _record_loss(self, revision: int) -> None:
        """Records that the store does not hold this instance's entry as of a revision."""
        if self._is_registered and revision > self._entry_revision:
            self._is_registered = False
            self._changed.set()

    def _apply_all(self, items: tuple[KeyValue, ...], revision: int) -> None:
        present = {item.key.removeprefix(self.entries_prefix) for item in items}
        for peer_id in {*self._link.peer_ids, self._link.instance_id} - present:
            self._remove_entry(f"{self.entries_prefix}{peer_id}", revision)
        for item in items:
            self._apply_entry(item)

    def _apply_entry(self, item: KeyValue) -> None:
        peer_id = item.key.removeprefix(self.entries_prefix)
        if peer_id == self._link.instance_id:
            return
        try:
            entry = _parse_entry(item.value)
            address = Address.parse_remote(entry.address)
            tunnels = Address.parse_remote(entry.tunnels) if entry.tunnels else None
        except ValueError as error:
            log(PEER_REMOVED, peer=peer_id, error=str(error))
            return
        log(PEER_FOUND, peer=peer_id, address=str(address), revision=item.mod_revision)
        self._removed_ms_by_peer.pop(peer_id, None)
        self._kept_until_ms.pop(peer_id, None)
        self._link.connect(peer_id, address)
        if entry.data_centre:
            self.traits_by_peer[peer_id] = PeerTraits(
                entry.data_centre, entry.link_mbps, entry.exchanges_changes
            )
        self.tunnels_by_peer.pop(peer_id, None)
        if tunnels is not None:
            self.tunnels_by_peer[peer_id] = tunnels

    def _remove_entry(self, key: str, revision: int) -> None:
        """Removes a peer, unless its entry may have gone because the store lost the lease."""
        peer_id = key.removeprefix(self.entries_prefix)
        if peer_id == self._link.instance_id:
            self._record_loss(revision)
            return
        now = self._clock.now()
        may_be_live = self._is_outage or now < self._grace_deadline_ms
        if may_be_live and peer_id in self._link.peer_ids:
            if peer_id not in self._kept_until_ms:
                self._kept_until_ms[peer_id] = now + KEPT_MS
                log(PEER_KEPT, peer=peer_id)
            return
        self._remove_peer(peer_id)

    def _remove_peer(self, peer_id: str) -> None:
        log(PEER_REMOVED, peer=peer_id)
        self._kept_until_ms.pop(peer_id, None)
        if peer_id in self._link.peer_ids:
            self._removed_ms_by_peer[peer_id] = self._clock.now()
        self.traits_by_peer.pop(peer_id, None)
        self.tunnels_by_peer.pop(peer_id, None)
        self._link.disconnect(peer_id)


def _parse_entry(value: bytes) -> _Entry:
    """Decodes an entry; those of older versions of the program hold the address alone.

    Raises:
        ValueError: The entry cannot be decoded.
    """
    if value.startswith(b"{"):
        return decode_json(value, _Entry)
    return _Entry(value.decode())

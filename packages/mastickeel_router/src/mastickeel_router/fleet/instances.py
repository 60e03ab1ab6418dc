"""The instances of the fleet, each with an entry in the store under a lease of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.addresses import Address
from mastickeel.errors import StoreError
from mastickeel.events import define_event
from mastickeel.keyvalue import Put
from mastickeel.logs import log
from mastickeel_router.discovery.feeds import WatchHandler

if TYPE_CHECKING:
    from mastickeel._kvtypes import KeyValue
    from mastickeel.clock import Clock
    from mastickeel.peers import PeerLink
    from mastickeel.storeport import Store

LEASE_TTL_SECONDS = 12
"""An instance that has ended is told of nothing for longer than this: what it misses are hints."""
RENEW_INTERVAL_MS = 4_000
"""Two renewals may be lost before the entry lapses."""
RETRY_INTERVAL_MS = 1_000
"""Between tries while the store does not answer: what peers tell are hints, nothing waits."""

PEER_FOUND = define_event(2370, "peer_found", "info", "Another instance registered itself.")
PEER_GONE = define_event(2371, "peer_gone", "info", "Another instance's entry is gone.")
REGISTERED = define_event(2372, "registered", "info", "This instance has an entry in the store.")
NOT_REGISTERED = define_event(
    2373, "not_registered", "warning", "This instance's entry could not be kept; it is tried again."
)


class InstanceDirectory:
    """Keeps this instance's entry, and the link's addresses of the others."""

    def __init__(
        self,
        store: Store,
        link: PeerLink,
        *,
        prefix: str,
        host: str,
        clock: Clock,
    ) -> None:
        """Makes it without an entry.

        Args:
            store: Where the entries are.
            link: Told where each peer listens.
            prefix: What the keys of the fleet begin with.
            host: Where this instance is reached.
            clock: Times the renewals.
        """
        self._store = store
        self._link = link
        self.entries_prefix = f"{prefix}/instances/"
        """What the keys of entries begin with."""
        self._host = host
        self._clock = clock

    async def keep_registered(self) -> None:
        """Writes the entry, and renews its lease until cancelled."""
        while True:
            try:
                lease = await self._register()
                while await self._store.keep_alive(lease):
                    await self._clock.sleep(RENEW_INTERVAL_MS)
            except StoreError as error:
                log(NOT_REGISTERED, error=str(error))
                await self._clock.sleep(RETRY_INTERVAL_MS)

    def entry_handler(self) -> WatchHandler:
        """Returns what takes the entries of the others from the store."""
        return WatchHandler(
            self._apply_all, self._apply_entry, lambda key, revision: self._remove_entry(key)
        )

    async def _register(self) -> int:
        lease = await self._store.grant(LEASE_TTL_SECONDS)
        address = f"{self._host}:{self._link.port}"
        key = f"{self.entries_prefix}{self._link.instance_id}"
        await self._store.txn((), (Put(key, address.encode(), lease),))
        log(REGISTERED, address=address, lease=lease)
        return lease

    def _apply_all(self, items: tuple[KeyValue, ...], revision: int) -> None:
        present = {item.key.removeprefix(self.entries_prefix) for item in items}
        for peer_id in self._link.peer_ids:
            if peer_id not in present:
                self._remove_entry(f"{self.entries_prefix}{peer_id}")
        for item in items:
            self._apply_entry(item)

    def _apply_entry(self, item: KeyValue) -> None:
        peer_id = item.key.removeprefix(self.entries_prefix)
        if peer_id == self._link.instance_id:
            return
        try:
            address = Address.parse(item.value.decode())
        except ValueError as error:
            log(PEER_GONE, peer=peer_id, error=str(error))
            return
        log(PEER_FOUND, peer=peer_id, address=str(address), revision=item.mod_revision)
        self._link.connect(peer_id, address)

    def _remove_entry(self, key: str) -> None:
        peer_id = key.removeprefix(self.entries_prefix)
        log(PEER_GONE, peer=peer_id)
        self._link.disconnect(peer_id)

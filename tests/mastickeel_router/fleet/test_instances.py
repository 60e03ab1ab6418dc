"""The directory keeps peers that live while the store cannot say so, and forgets those that end."""

from __future__ import annotations

import unittest

import msgspec

from mastickeel._kvtypes import KeyValue
from mastickeel.clock import FakeClock
from mastickeel.metrics import Metrics
from mastickeel.peers import PeerLink
from mastickeel_router.discovery.feeds import OutageEnd
from mastickeel_router.fleet import InstanceDirectory, PeerTraits
from mastickeel_router.fleet.instances import KEPT_MS, OUTAGE_GRACE_MS
from tests.mastickeel_router.memorystore import MemoryStore


class OutageTest(unittest.IsolatedAsyncioTestCase):
    """A directory that knows two peers."""

    async def asyncSetUp(self) -> None:
        self.clock = FakeClock()
        link = PeerLink("edge-1", clock=self.clock, metrics=Metrics())
        self.addAsyncCleanup(link.close)
        self.link = link
        self.directory = InstanceDirectory(
            MemoryStore(),
            link,
            prefix="/m",
            host="127.0.0.1",
            traits=PeerTraits("dc"),
            clock=self.clock,
        )
        self.handler = self.directory.entry_handler()
        self.write("edge-2", 10)
        self.write("edge-3", 11)

    def write(self, peer: str, revision: int, port: int = 7_000) -> None:
        fields = {"address": f"127.0.0.1:{port}", "data_centre": "dc", "tunnels": "127.0.0.1:8000"}
        key = f"{self.directory.entries_prefix}{peer}"
        self.handler.on_put(KeyValue(key, msgspec.json.encode(fields), revision, revision, 0))

    def delete(self, peer: str) -> None:
        self.handler.on_delete(f"{self.directory.entries_prefix}{peer}", 20)

    def known(self) -> set[str]:
        self.directory.remove_expired()
        self.assertEqual(set(self.directory.tunnels_by_peer), set(self.link.peer_ids))
        return set(self.link.peer_ids)

    async def test_live_peers_are_forgotten_when_the_store_loses_their_leases(self) -> None:
        self.handler.on_outage()
        self.delete("edge-2")
        self.handler.on_recovery(OutageEnd(self.clock.now()))
        await self.clock.advance(OUTAGE_GRACE_MS - 1)
        self.delete("edge-3")
        self.assertEqual(self.known(), {"edge-2", "edge-3"})
        self.write("edge-2", 21, port=7_001)
        await self.clock.advance(KEPT_MS + 1)
        self.assertEqual(self.known(), {"edge-2"})

    async def test_live_peers_are_forgotten_by_a_list_after_an_outage(self) -> None:
        self.handler.on_outage()
        self.handler.on_recovery(OutageEnd(self.clock.now()))
        self.handler.on_list((), 20)
        self.assertEqual(self.known(), {"edge-2", "edge-3"})

    async def test_live_peers_are_forgotten_in_a_second_outage(self) -> None:
        self.handler.on_outage()
        self.delete("edge-2")
        self.handler.on_recovery(OutageEnd(self.clock.now()))
        self.handler.on_outage()
        await self.clock.advance(2 * KEPT_MS)
        self.assertEqual(self.known(), {"edge-2", "edge-3"})
        self.handler.on_recovery(OutageEnd(self.clock.now()))
        await self.clock.advance(KEPT_MS + 1)
        self.assertEqual(self.known(), {"edge-3"})

    async def test_peer_that_has_ended_is_kept_without_an_outage(self) -> None:
        self.delete("edge-2")
        self.assertEqual(self.known(), {"edge-3"})


if __name__ == "__main__":
    unittest.main()

"""Tests that instances share their work, sessions and evidence, and place requests accordingly."""

from __future__ import annotations

import asyncio
import random
import unittest

from mastickeel._kvtypes import KeyValue
from mastickeel.addresses import Address
from mastickeel.clock import Clock, FakeClock
from mastickeel.metrics import Metrics
from mastickeel.peers import PeerLink
from mastickeel.tasks import TaskGroup
from mastickeel_router.discovery import EndpointRecord, follow_prefix
from mastickeel_router.fleet import (
    Broadcast,
    InstanceDirectory,
    PeerTraits,
    share_evidence,
    share_loads,
    share_sessions,
)
from mastickeel_router.fleet.instances import RECENT_MS
from mastickeel_router.placement import Demand, EndpointLoads
from mastickeel_router.relay.types import PromptPart
from mastickeel_router.releases import EvidenceReport, SessionVersions
from mastickeel_router.sequential import Block
from tests.mastickeel_router.memorystore import MemoryStore

RECORDS = [EndpointRecord(f"e{n}", "s", Address("127.0.0.1", 1), "dc-a", "v1") for n in range(3)]
TRIES = 200


def prompt(name: str) -> Demand:
    parts = (PromptPart(f"shared-{name}", 100), PromptPart(f"own-{name}", 16_000))
    return Demand(16_100, parts, is_engine=True, work_factor=3.0)


class RecordedEvidence:
    """Replaces `Releases` and keeps the evidence of peers."""

    def __init__(self) -> None:
        self.on_report = []
        self.received = []

    def record_evidence(self, sender: str, evidence: EvidenceReport) -> None:
        """Keeps the evidence of a peer."""
        self.received.append((sender, evidence))


class BacklogTest(unittest.IsolatedAsyncioTestCase):
    """Endpoints with a backlog get no requests until the backlog is done."""

    async def test_busy_endpoint_is_skipped_until_it_is_idle(self) -> None:
        clock = FakeClock()
        loads = EndpointLoads(clock, random.Random(1), "dc-a")
        for endpoint_id in ("e0", "e1"):
            loads.add_backlog(endpoint_id, 2_000)
        chosen = {loads.choose(RECORDS, prompt(f"p{n}"), "m").id for n in range(20)}
        self.assertEqual(chosen, {"e2"})
        await clock.advance(2_000)
        chosen = {loads.choose(RECORDS, prompt(f"p{n}"), "m").id for n in range(20)}
        self.assertEqual(chosen, {"e0", "e1", "e2"})

    async def test_burst_of_long_prompts_is_spread_evenly(self) -> None:
        loads = EndpointLoads(FakeClock(), random.Random(1), "dc-a")
        placed = []
        for number in range(30):
            demand = prompt(f"p{number}")
            endpoint = loads.choose(RECORDS, demand, "m")
            assert endpoint is not None
            loads.record_start(endpoint, demand, "m")
            placed.append(endpoint.id)
        counts = sorted(placed.count(record.id) for record in RECORDS)
        self.assertLessEqual(counts[-1] - counts[0], 1)


class SharingTest(unittest.IsolatedAsyncioTestCase):
    """Two instances that find each other in the store and connect over loopback."""

    async def asyncSetUp(self) -> None:
        self.store = MemoryStore()
        self.links = []
        self.broadcasts = []
        self.loads = []
        self.tasks = []
        for number in range(2):
            clock = Clock()
            link = PeerLink(f"i{number}", clock=clock, metrics=Metrics())
            await link.bind(Address("127.0.0.1", 0))
            loads = EndpointLoads(clock, random.Random(number), "dc-a")
            instances = InstanceDirectory(
                self.store,
                link,
                prefix="/m",
                host="127.0.0.1",
                traits=PeerTraits("dc-a"),
                clock=clock,
            )
            group = TaskGroup()
            self.addAsyncCleanup(group.stop)
            broadcast = Broadcast(
                link,
                clock=clock,
                traits=PeerTraits("dc-a"),
                traits_by_peer=instances.traits_by_peer,
                tasks=group,
            )
            share_loads(broadcast, loads)
            entries, prefix = instances.entry_handler(), instances.entries_prefix
            following = follow_prefix(
                self.store, prefix, entries, clock=clock, rng=random.Random(number)
            )
            self.tasks += [
                asyncio.ensure_future(instances.keep_registered()),
                asyncio.ensure_future(following),
            ]
            self.links.append(link)
            self.broadcasts.append(broadcast)
            self.loads.append(loads)

    async def asyncTearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        for link in self.links:
            await link.close()

    async def until(self, condition) -> None:
        for _ in range(TRIES):
            if condition():
                return
            await asyncio.sleep(0.02)
        self.fail("the condition did not become true in time")

    async def test_work_of_one_instance_is_known_to_the_other(self) -> None:
        await self.until(lambda: all(link.peer_ids for link in self.links))
        added = []
        add_backlog = self.loads[1].add_backlog
        self.loads[1].add_backlog = lambda *work: (added.append(work), add_backlog(*work))
        self.loads[0].record_start(RECORDS[0], prompt("a"), "m")
        await self.until(lambda: added)
        self.assertEqual(added[0][0], "e0")
        again = self.loads[1].predict_first_event_ms([RECORDS[0]], prompt("a"), "m")
        other = self.loads[1].predict_first_event_ms([RECORDS[0]], prompt("b"), "m")
        self.assertLess(again, other)
        chosen = {self.loads[1].choose(RECORDS, prompt(f"p{n}"), "m").id for n in range(20)}
        self.assertNotIn("e0", chosen)

    async def test_work_on_an_unlisted_endpoint_is_ignored(self) -> None:
        await self.until(lambda: all(link.peer_ids for link in self.links))
        share_loads(self.broadcasts[1], self.loads[1], lambda endpoint_id: endpoint_id == "e1")
        for record in RECORDS[:2]:
            self.loads[0].record_start(record, prompt(record.id), "m")
        await self.until(lambda: "e1" in self.loads[1]._caches_by_id)
        self.assertNotIn("e0", self.loads[1]._caches_by_id)
        self.assertNotIn("e0", self.loads[1]._idle_at_ms)

    async def test_version_of_a_session_is_known_to_the_other_instance(self) -> None:
        await self.until(lambda: all(link.peer_ids for link in self.links))
        sessions = [SessionVersions(Clock(), gap_ms=60_000) for _ in self.links]
        for broadcast, versions in zip(self.broadcasts, sessions, strict=True):
            share_sessions(broadcast, versions)
        sessions[0].record_run("session-1", "v1")
        await self.until(lambda: sessions[1].version_of("session-1"))
        self.assertEqual(sessions[1].version_of("session-1"), "v1")
        self.assertEqual(sessions[1].version_of("session-2"), "")

    async def test_release_evidence_reaches_the_other_instance_with_its_sender(self) -> None:
        await self.until(lambda: all(link.peer_ids for link in self.links))
        releases = [RecordedEvidence() for _ in self.links]
        for broadcast, recorded in zip(self.broadcasts, releases, strict=True):
            share_evidence(broadcast, recorded)  # type: ignore[arg-type]
        evidence = EvidenceReport("s", 7, {"r": Block()})
        for notify in releases[0].on_report:
            notify(evidence)
        await self.until(lambda: releases[1].received)
        self.assertEqual(releases[1].received, [("i0", evidence)])

    async def test_entry_of_an_older_version_is_read_and_a_malformed_one_is_not(self) -> None:
        await self.until(lambda: self.links[0].peer_ids == ("i1",))
        self.store.put("/m/instances/i8", b"127.0.0.1:8")
        self.store.put("/m/instances/i9", b'{"address": 9}')
        self.store.put("/m/instances/i7", b'{"address": "127.0.0.1:7", "data_centre": "dc-b"}')
        await self.until(lambda: "i7" in self.links[0].peer_ids)
        self.assertEqual(set(self.links[0].peer_ids), {"i1", "i7", "i8"})

    async def test_peer_whose_entry_is_removed_is_disconnected(self) -> None:
        await self.until(lambda: self.links[0].peer_ids == ("i1",))
        self.store.delete("/m/instances/i1")
        await self.until(lambda: not self.links[0].peer_ids)


class RecentPeersTest(unittest.IsolatedAsyncioTestCase):
    async def test_removed_peer_is_recent_until_all_instances_have_lost_it(self) -> None:
        clock = FakeClock()
        link = PeerLink("i0", clock=clock, metrics=Metrics())
        self.addAsyncCleanup(link.close)
        directory = InstanceDirectory(
            MemoryStore(),  # type: ignore[arg-type]
            link,
            prefix="/m",
            host="127.0.0.1",
            traits=PeerTraits("dc-a"),
            clock=clock,
        )
        handler = directory.entry_handler()
        entry = KeyValue("/m/instances/i1", b"127.0.0.1:7", 1, 1, 0)
        handler.on_put(entry)
        self.assertEqual(directory.recent_peer_ids, ("i1",))
        handler.on_delete(entry.key, 2)
        self.assertEqual((link.peer_ids, directory.recent_peer_ids), ((), ("i1",)))
        handler.on_list((entry,), 3)
        handler.on_list((), 4)
        self.assertEqual(directory.recent_peer_ids, ("i1",))
        await clock.advance(RECENT_MS)
        self.assertEqual(directory.recent_peer_ids, ())


if __name__ == "__main__":
    unittest.main()

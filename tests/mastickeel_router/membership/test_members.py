"""Joins, leaves, crashes and leaving marks reach every instance, and no member is lost wrongly."""

from __future__ import annotations

import unittest

from bench.fleets.control_fleet import ControlFleet
from mastickeel.addresses import Address
from mastickeel.clock import Clock, FakeClock
from mastickeel.errors import StoreError
from mastickeel.httpclient import HttpClient
from mastickeel_router.membership import LeavingMarks, PlatformList
from mastickeel_router.membership.gossip import ITEMS_PER_MESSAGE, GossipTable
from mastickeel_router.membership.messages import EndpointMark, MemberState, MemberStatus
from mastickeel_standins.instances import InstanceListStandin

MAX_BYTES_PER_SECOND_PER_INSTANCE = 4_000


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """A fleet of six instances with faults of the network, the store and single instances."""

    async def asyncSetUp(self) -> None:
        self.fleet = ControlFleet(seed=9)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(6)

    def members(self, instance_id: str) -> set[str]:
        """Returns the ids of the members that an instance knows."""
        return set(self.fleet.nodes_by_id[instance_id].control.members.members_by_id)

    async def test_leaving_mark_is_known_everywhere_within_seconds(self) -> None:
        self.fleet.cut_store(*self.fleet.nodes_by_id)
        self.fleet.nodes_by_id["i-3"].control.members.set_leaving("engine-7", True)
        await self.fleet.advance(4_000)
        for instance_id, node in self.fleet.nodes_by_id.items():
            self.assertTrue(node.control.members.is_leaving("engine-7"), instance_id)

    async def test_lost_marks_are_resent(self) -> None:
        self.fleet.cut_peers("i-3")
        self.fleet.nodes_by_id["i-3"].control.members.set_leaving("engine-7", True)
        await self.fleet.advance(60_000)
        self.assertFalse(self.fleet.nodes_by_id["i-1"].control.members.is_leaving("engine-7"))
        self.fleet.cut_peers()
        await self.fleet.advance(30_000)
        for instance_id, node in self.fleet.nodes_by_id.items():
            self.assertTrue(node.control.members.is_leaving("engine-7"), instance_id)

    async def test_leaving_instance_gets_no_work_during_a_store_outage(self) -> None:
        self.fleet.store.faults.outage = True
        members = self.fleet.nodes_by_id["i-2"].control.members
        with self.assertRaises(StoreError):
            await self.fleet.until(members.announce_leaving())
        await self.fleet.advance(4_000)
        for instance_id in ("i-1", "i-3", "i-4", "i-5", "i-6"):
            live = {
                member.id for member in self.fleet.nodes_by_id[instance_id].control.members.live()
            }
            self.assertNotIn("i-2", live, instance_id)

    async def test_instance_that_the_platform_lists_as_leaving_gets_no_work(self) -> None:
        self.fleet.nodes_by_id["i-1"].control.members.set_leaving("i-2", True)
        await self.fleet.advance(4_000)
        for instance_id in ("i-1", "i-3", "i-6"):
            live = {
                member.id for member in self.fleet.nodes_by_id[instance_id].control.members.live()
            }
            self.assertNotIn("i-2", live, instance_id)

    async def test_crash_is_detected_and_a_graceful_leave_immediately(self) -> None:
        await self.fleet.leave("i-5")
        await self.fleet.advance(1_500)
        self.assertNotIn("i-5", self.members("i-1"))
        await self.fleet.kill("i-6")
        await self.fleet.advance(30_000)
        for instance_id in self.fleet.nodes_by_id:
            self.assertEqual(self.members(instance_id), set(self.fleet.nodes_by_id) - {instance_id})

    async def test_paused_instance_comes_back_with_a_new_lease(self) -> None:
        clock = self.fleet.nodes_by_id["i-6"].clock
        clock.pause()
        await self.fleet.advance(40_000)
        self.assertNotIn("i-6", self.members("i-1"))
        clock.resume()
        await self.fleet.advance(15_000)
        self.assertIn("i-6", self.members("i-1"))
        self.assertTrue(self.fleet.is_fresh("i-6"))

    async def test_one_way_cut_and_store_outage_remove_no_member(self) -> None:
        self.fleet.network.allow = lambda sender, receiver: (sender, receiver) != ("i-1", "i-2")
        await self.fleet.advance(60_000)
        self.fleet.store.faults.outage = True
        await self.fleet.advance(60_000)
        self.fleet.store.faults.outage = False
        await self.fleet.advance(10_000)
        for instance_id in self.fleet.nodes_by_id:
            self.assertEqual(self.members(instance_id), set(self.fleet.nodes_by_id) - {instance_id})

    async def test_idle_fleet_sends_bytes_within_the_budget(self) -> None:
        before = dict(self.fleet.network.bytes_by_instance)
        await self.fleet.advance(20_000)
        for instance_id, sent in self.fleet.network.bytes_by_instance.items():
            self.assertLess((sent - before[instance_id]) / 20, MAX_BYTES_PER_SECOND_PER_INSTANCE)


class JoinTest(unittest.IsolatedAsyncioTestCase):
    """Many instances start at the same time."""

    async def test_simultaneous_joins_stay_within_the_store_call_budget(self) -> None:
        fleet = ControlFleet(seed=2)
        self.addAsyncCleanup(fleet.stop)
        await fleet.add("i-1")
        before = fleet.store.calls
        for number in range(2, 21):
            await fleet.add(f"i-{number}", wait=False)
        await fleet.advance(20_000)
        self.assertTrue(all(fleet.is_fresh(instance_id) for instance_id in fleet.nodes_by_id))
        self.assertLess(fleet.store.calls - before, 20 * 20 * 3, "calls in 20 s")


class MarksTest(unittest.IsolatedAsyncioTestCase):
    """A mark from any source takes precedence over the lagging platform list."""

    async def test_platform_list_sets_marks_and_revokes_only_its_own(self) -> None:
        listing = InstanceListStandin(lag_ms=0)
        listing.put("engine-1", "127.0.0.1:1", "dc-1")
        listing.put("engine-2", "127.0.0.1:2", "dc-1", "leaving")
        await listing.start()
        self.addAsyncCleanup(listing.stop)
        clock = Clock()
        client = HttpClient(clock)
        self.addAsyncCleanup(client.close)
        marks = LeavingMarks(clock)
        import random

        polled = PlatformList(
            Address("127.0.0.1", listing.port),
            client=client,
            clock=clock,
            rng=random.Random(1),
            fleet_size=lambda: 1,
            on_state=marks.set_leaving,
        )
        marks.set_leaving("engine-1", True)
        await polled.poll()
        self.assertEqual(marks.leaving, {"engine-1", "engine-2"})
        listing.put("engine-2", "127.0.0.1:2", "dc-1", "live")
        await polled.poll()
        self.assertEqual(marks.leaving, {"engine-1"})

    async def test_older_mark_is_ignored_and_expired_marks_are_removed(self) -> None:
        clock = FakeClock()
        marks = LeavingMarks(clock)
        marks.set_leaving("engine-1", True)
        marks.merge(EndpointMark("engine-1", clock.wall() - 1, False))
        self.assertTrue(marks.is_leaving("engine-1"))
        await clock.advance(3_600_001)
        marks.remove_expired()
        self.assertFalse(marks.is_leaving("engine-1"))


class GossipTableTest(unittest.TestCase):
    """The precedence of member states, and the number of items in a probe."""

    def setUp(self) -> None:
        self.table = GossipTable(
            MemberState("me", 5, MemberStatus.ALIVE, "127.0.0.1:1", process="p")
        )

    def test_suspicion_is_refuted_with_a_newer_incarnation(self) -> None:
        self.table.merge(MemberState("me", 5, MemberStatus.SUSPECT))
        self.assertEqual(self.table.local_state.incarnation, 6)
        self.assertEqual(self.table.local_state.standing, MemberStatus.ALIVE)
        self.table.merge(MemberState("me", 5, MemberStatus.DEPARTED))
        self.assertEqual(self.table.local_state.incarnation, 6)

    def test_older_state_does_not_take_precedence(self) -> None:
        self.assertTrue(
            self.table.merge(MemberState("you", 3, MemberStatus.SUSPECT, "127.0.0.1:2"))
        )
        self.assertFalse(self.table.merge(MemberState("you", 3, MemberStatus.ALIVE)))
        self.assertTrue(self.table.merge(MemberState("you", 4, MemberStatus.ALIVE)))
        self.assertFalse(self.table.merge(MemberState("you", 3, MemberStatus.SUSPECT)))
        self.assertEqual(self.table.states_by_id["you"].address, "127.0.0.1:2")

    def test_leaving_is_final_for_a_process_but_not_for_its_successor(self) -> None:
        self.assertTrue(self.table.merge(MemberState("you", 9, MemberStatus.ALIVE, process="a")))
        self.assertTrue(self.table.merge(MemberState("you", 0, MemberStatus.LEAVING, process="a")))
        self.assertFalse(self.table.merge(MemberState("you", 10, MemberStatus.ALIVE, process="a")))
        self.assertTrue(self.table.merge(MemberState("you", 11, MemberStatus.ALIVE, process="b")))
        self.table.merge(MemberState("me", 0, MemberStatus.LEAVING, process="p"))
        self.assertEqual(self.table.local_state.standing, MemberStatus.LEAVING)

    def test_probe_carries_a_bounded_number_of_items_and_each_item_is_sent(self) -> None:
        for number in range(100):
            self.table.merge(MemberState(f"i-{number}", 1, MemberStatus.LEAVING, "127.0.0.1:2"))
        sent_ids = set()
        for _ in range(100):
            states, marks = self.table.next_items()
            self.assertLessEqual(len(states) + len(marks), ITEMS_PER_MESSAGE)
            sent_ids |= {state.id for state in states}
        self.assertEqual(len(sent_ids), 100)

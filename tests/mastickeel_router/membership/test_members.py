"""Joins, leaves, crashes, pauses, cuts and leaving marks, known everywhere and falsely nowhere."""

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

CONTROL_BYTES_PER_SECOND = 4_000


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Six instances."""

    async def asyncSetUp(self) -> None:
        self.fleet = ControlFleet(seed=9)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(6)

    def members(self, instance_id: str) -> set[str]:
        return set(self.fleet.nodes_by_id[instance_id].control.members.members_by_id)

    async def test_leaving_mark_is_known_everywhere_within_seconds(self) -> None:
        self.fleet.cut_store(*self.fleet.nodes_by_id)
        self.fleet.nodes_by_id["i-3"].control.members.set_leaving("engine-7", True)
        await self.fleet.advance(4_000)
        for one, node in self.fleet.nodes_by_id.items():
            self.assertTrue(node.control.members.is_leaving("engine-7"), one)

    async def test_lost_marks_are_made_up_for(self) -> None:
        self.fleet.cut_peers("i-3")
        self.fleet.nodes_by_id["i-3"].control.members.set_leaving("engine-7", True)
        await self.fleet.advance(60_000)
        self.assertFalse(self.fleet.nodes_by_id["i-1"].control.members.is_leaving("engine-7"))
        self.fleet.cut_peers()
        await self.fleet.advance(30_000)
        for one, node in self.fleet.nodes_by_id.items():
            self.assertTrue(node.control.members.is_leaving("engine-7"), one)

    async def test_leaving_instance_gets_no_work_although_the_store_is_out(self) -> None:
        self.fleet.store.faults.outage = True
        members = self.fleet.nodes_by_id["i-2"].control.members
        with self.assertRaises(StoreError):
            await self.fleet.until(members.announce_leaving())
        await self.fleet.advance(4_000)
        for one in ("i-1", "i-3", "i-4", "i-5", "i-6"):
            live = {member.id for member in self.fleet.nodes_by_id[one].control.members.live()}
            self.assertNotIn("i-2", live, one)

    async def test_instance_that_the_platform_calls_leaving_is_told_on(self) -> None:
        self.fleet.nodes_by_id["i-1"].control.members.set_leaving("i-2", True)
        await self.fleet.advance(4_000)
        for one in ("i-1", "i-3", "i-6"):
            live = {member.id for member in self.fleet.nodes_by_id[one].control.members.live()}
            self.assertNotIn("i-2", live, one)

    async def test_crash_is_noticed_and_a_graceful_leave_at_once(self) -> None:
        await self.fleet.leave("i-5")
        await self.fleet.advance(1_500)
        self.assertNotIn("i-5", self.members("i-1"))
        await self.fleet.kill("i-6")
        await self.fleet.advance(30_000)
        for one in self.fleet.nodes_by_id:
            self.assertEqual(self.members(one), set(self.fleet.nodes_by_id) - {one})

    async def test_paused_instance_comes_back_with_a_new_lease(self) -> None:
        clock = self.fleet.nodes_by_id["i-6"].clock
        clock.pause()
        await self.fleet.advance(40_000)
        self.assertNotIn("i-6", self.members("i-1"))
        clock.resume()
        await self.fleet.advance(15_000)
        self.assertIn("i-6", self.members("i-1"))
        self.assertTrue(self.fleet.is_fresh("i-6"))

    async def test_one_way_cut_and_store_outage_remove_nobody(self) -> None:
        self.fleet.network.allow = lambda sender, receiver: (sender, receiver) != ("i-1", "i-2")
        await self.fleet.advance(60_000)
        self.fleet.store.faults.outage = True
        await self.fleet.advance(60_000)
        self.fleet.store.faults.outage = False
        await self.fleet.advance(10_000)
        for one in self.fleet.nodes_by_id:
            self.assertEqual(self.members(one), set(self.fleet.nodes_by_id) - {one})

    async def test_bytes_at_rest_are_within_the_budget(self) -> None:
        before = dict(self.fleet.network.bytes_by_instance)
        await self.fleet.advance(20_000)
        for one, sent in self.fleet.network.bytes_by_instance.items():
            self.assertLess((sent - before[one]) / 20, CONTROL_BYTES_PER_SECOND)


class JoinTest(unittest.IsolatedAsyncioTestCase):
    """Many instances start in the same moment."""

    async def test_fleet_that_joins_at_once_keeps_to_its_calls(self) -> None:
        fleet = ControlFleet(seed=2)
        self.addAsyncCleanup(fleet.stop)
        await fleet.add("i-1")
        before = fleet.store.calls
        for number in range(2, 21):
            await fleet.add(f"i-{number}", wait=False)
        await fleet.advance(20_000)
        self.assertTrue(all(fleet.is_fresh(one) for one in fleet.nodes_by_id))
        self.assertLess(fleet.store.calls - before, 20 * 20 * 3, "calls in 20 s")


class MarksTest(unittest.IsolatedAsyncioTestCase):
    """A mark from any source wins over the lagging list."""

    async def test_list_sets_marks_and_only_its_own_change_takes_them_back(self) -> None:
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

    async def test_older_mark_changes_nothing_and_old_ones_are_forgotten(self) -> None:
        clock = FakeClock()
        marks = LeavingMarks(clock)
        marks.set_leaving("engine-1", True)
        marks.merge(EndpointMark("engine-1", clock.wall() - 1, False))
        self.assertTrue(marks.is_leaving("engine-1"))
        await clock.advance(3_600_001)
        marks.remove_expired()
        self.assertFalse(marks.is_leaving("engine-1"))


class NewsBoardTest(unittest.TestCase):
    """Which belief wins, and how much a probe carries."""

    def setUp(self) -> None:
        self.board = GossipTable(
            MemberState("me", 5, MemberStatus.ALIVE, "127.0.0.1:1", process="p")
        )

    def test_suspicion_is_contradicted_with_a_newer_incarnation(self) -> None:
        self.board.merge(MemberState("me", 5, MemberStatus.SUSPECT))
        self.assertEqual(self.board.local_state.incarnation, 6)
        self.assertEqual(self.board.local_state.standing, MemberStatus.ALIVE)
        self.board.merge(MemberState("me", 5, MemberStatus.DEPARTED))
        self.assertEqual(self.board.local_state.incarnation, 6)

    def test_older_belief_does_not_win(self) -> None:
        self.assertTrue(
            self.board.merge(MemberState("you", 3, MemberStatus.SUSPECT, "127.0.0.1:2"))
        )
        self.assertFalse(self.board.merge(MemberState("you", 3, MemberStatus.ALIVE)))
        self.assertTrue(self.board.merge(MemberState("you", 4, MemberStatus.ALIVE)))
        self.assertFalse(self.board.merge(MemberState("you", 3, MemberStatus.SUSPECT)))
        self.assertEqual(self.board.states_by_id["you"].address, "127.0.0.1:2")

    def test_leaving_is_final_for_a_process_and_not_for_the_next(self) -> None:
        self.assertTrue(self.board.merge(MemberState("you", 9, MemberStatus.ALIVE, process="a")))
        self.assertTrue(self.board.merge(MemberState("you", 0, MemberStatus.LEAVING, process="a")))
        self.assertFalse(self.board.merge(MemberState("you", 10, MemberStatus.ALIVE, process="a")))
        self.assertTrue(self.board.merge(MemberState("you", 11, MemberStatus.ALIVE, process="b")))
        self.board.merge(MemberState("me", 0, MemberStatus.LEAVING, process="p"))
        self.assertEqual(self.board.local_state.standing, MemberStatus.LEAVING)

    def test_probe_carries_a_bounded_number_and_each_item_often_enough(self) -> None:
        for number in range(100):
            self.board.merge(MemberState(f"i-{number}", 1, MemberStatus.LEAVING, "127.0.0.1:2"))
        told = set()
        for _ in range(100):
            news, marks = self.board.next_items()
            self.assertLessEqual(len(news) + len(marks), ITEMS_PER_MESSAGE)
            told |= {one.id for one in news}
        self.assertEqual(len(told), 100)

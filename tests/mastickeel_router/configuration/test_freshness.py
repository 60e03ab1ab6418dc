"""An instance that may have missed a change sends no work until it has caught up."""

from __future__ import annotations

import asyncio
import unittest

from bench.fleets.control_fleet import ControlFleet, withdraw
from mastickeel.errors import ExecutionStatus, NotFoundError, StoreError
from mastickeel_router.configuration import FRESHNESS_BOUND_MS, ChangeRefusedError, NotFreshError

OUTAGE_MS = 120_000


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Five instances that tests disconnect, pause or kill."""

    async def asyncSetUp(self) -> None:
        self.fleet = ControlFleet(seed=5)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(5)

    async def watch_until(self, task: asyncio.Future[int], instance_id: str) -> bool:
        """Advances the clock in small steps until a change is accepted.

        Returns whether an instance would have sent work to the withdrawn version at that time or
        later.
        """
        sent = False
        for _ in range(800):
            await self.fleet.advance(10)
            if task.done():
                sent = sent or bool(self.fleet.admits(instance_id, "small@1"))
                if task.exception():
                    raise task.exception() or AssertionError
        self.assertTrue(task.done())
        return sent

    def fresh(self) -> set[str]:
        """Returns the ids of the instances that have a valid freshness proof."""
        return {
            instance_id
            for instance_id in self.fleet.nodes_by_id
            if self.fleet.is_fresh(instance_id)
        }


class CommitWithoutMemberTest(FleetTest):
    """A change commits without a member that was disconnected or paused.

    Without the wait of one freshness bound, a member that renewed its freshness proof just before
    would still admit work for the withdrawn version.
    """

    async def test_member_that_renewed_just_before_the_cut_is_waited_for(self) -> None:
        task = await self.cut_after_renewal("i-5")
        began_ms = self.fleet.clock.now()
        self.assertFalse(await self.watch_until(task, "i-5"))
        self.assertEqual(self.fleet.revisions()["i-1"], 2)
        self.assertGreaterEqual(self.fleet.clock.now() - began_ms, FRESHNESS_BOUND_MS)

    async def test_paused_member_sends_nothing_after_it_resumes(self) -> None:
        clock = self.fleet.nodes_by_id["i-5"].clock
        clock.pause()
        await self.fleet.commit("i-1", withdraw("small@1"), base=1)
        clock.resume()
        self.assertFalse(self.fleet.admits("i-5", "small@1"))
        self.assertFalse(self.fleet.is_fresh("i-5"))
        await self.fleet.advance(3_000)
        self.assertTrue(self.fleet.is_fresh("i-5"))
        self.assertEqual(self.fleet.revisions()["i-5"], 2)

    async def cut_after_renewal(self, instance_id: str) -> asyncio.Future[int]:
        """Disconnects an instance right after it renewed its proof, and starts a change."""
        state = self.fleet.nodes_by_id[instance_id].control.configuration
        while (state.freshness.age_ms or 0) > 10:
            await self.fleet.advance(5)
        self.fleet.cut_store(instance_id)
        self.fleet.cut_peers(instance_id)
        task = asyncio.ensure_future(self.fleet.committing("i-1", withdraw("small@1"), base=1))
        await self.fleet.advance(0)
        return task


class OutageTest(FleetTest):
    """The store is unavailable, slow, or silent on its watches, for some or all instances.

    Guards against an outage that stops the whole fleet, and against an instance that cannot reach
    the store and still admits work under an outdated configuration.
    """

    async def test_fleet_serves_during_a_store_outage_and_recovers_within_the_call_budget(
        self,
    ) -> None:
        self.fleet.store.faults.outage = True
        await self.fleet.advance(8_000)
        for _ in range(OUTAGE_MS // 1_000):
            before = self.fleet.store.calls
            await self.fleet.advance(1_000)
            self.assertEqual(len(self.fresh()), 5)
        with self.assertRaises(StoreError) as caught:
            await self.fleet.commit("i-1", withdraw("small@1"), base=1)
        self.assertEqual(caught.exception.ran, ExecutionStatus.NO)
        self.fleet.store.faults.outage = False
        peak = 0
        for _ in range(20):
            before = self.fleet.store.calls
            await self.fleet.advance(1_000)
            peak = max(peak, self.fleet.store.calls - before)
        self.assertLessEqual(peak, 5 * 10, "calls in one second")
        revision = await self.fleet.commit("i-1", withdraw("small@1"), base=1)
        self.assertEqual(revision, 2)

    async def test_minority_without_the_store_stops_admitting(self) -> None:
        self.fleet.cut_store("i-4", "i-5")
        self.fleet.cut_peers("i-4", "i-5")
        await self.fleet.advance(FRESHNESS_BOUND_MS + 1)
        self.assertEqual(self.fresh(), {"i-1", "i-2", "i-3"})
        with self.assertRaises(NotFreshError) as caught:
            self.fleet.nodes_by_id["i-4"].control.configuration.fresh_view()
        self.assertIs(caught.exception.ran, ExecutionStatus.NO)
        self.assertGreater(caught.exception.retry_after_ms or 0, 0)

    async def test_instance_without_the_store_stays_fresh_and_receives_changes(self) -> None:
        self.fleet.cut_store("i-5")
        await self.fleet.advance(20_000)
        self.assertTrue(self.fleet.is_fresh("i-5"))
        await self.fleet.commit("i-1", withdraw("small@1"), base=1)
        await self.fleet.advance(500)
        self.assertEqual(self.fleet.revisions()["i-5"], 2)
        self.assertTrue(self.fleet.is_fresh("i-5"))

    async def test_majority_that_knows_of_a_stage_gives_no_proof(self) -> None:
        self.fleet.store.faults.silent_watches = True
        self.fleet.cut_store("i-4", "i-5")
        await self.fleet.advance(4_000)
        allowed = {"i-1", "i-2", "i-3"}
        self.fleet.network.allow = lambda a, b: {a, b} <= allowed or {a, b} <= {"i-4", "i-5"}
        task = asyncio.ensure_future(self.fleet.committing("i-1", withdraw("small@1"), base=1))
        await self.fleet.advance(500)
        self.fleet.network.allow = lambda a, b: True
        self.fleet.store.faults.outage = True
        renewal = self.fleet.nodes_by_id["i-5"].control.freshness_renewal
        self.assertFalse(await self.fleet.until(renewal.renew_from_majority()))
        self.fleet.store.faults.outage = False
        self.assertFalse(await self.watch_until(task, "i-5"))

    async def test_silent_watch_does_not_hide_a_change(self) -> None:
        self.fleet.store.faults.silent_watches = True
        await self.fleet.commit("i-1", withdraw("small@1"), base=1)
        await self.fleet.advance(2_500)
        self.assertEqual(set(self.fleet.revisions().values()), {2})

    async def test_slow_store_is_no_outage(self) -> None:
        self.fleet.store.faults.delay_ms = 500
        await self.fleet.advance(10_000)
        for _ in range(10):
            await self.fleet.advance(500)
            self.assertEqual(len(self.fresh()), 5)
        began_ms = self.fleet.clock.now()
        await self.fleet.commit("i-1", withdraw("small@1"), base=1)
        self.assertLess(self.fleet.clock.now() - began_ms, 5_000)


class RosterTest(FleetTest):
    """The majority is counted over the roster, also after all leases expired or all instances left.

    Counting only the instances that hold a lease would let the first instance after an outage
    commit alone; counting lost instances forever would block all changes.
    """

    async def test_first_instance_after_a_long_outage_is_no_majority(self) -> None:
        self.fleet.store.faults.outage = True
        await self.fleet.advance(OUTAGE_MS)
        held = self.fleet.store.state.select(b"/mastickeel/members/", b"/mastickeel/members0", 0)
        self.assertEqual(len(held), 0, "every lease has expired")
        self.fleet.cut_store("i-2", "i-3", "i-4", "i-5")
        self.fleet.cut_peers("i-1")
        self.fleet.store.faults.outage = False
        await self.fleet.advance(30_000)
        with self.assertRaises(ChangeRefusedError) as caught:
            await self.fleet.commit("i-1", withdraw("small@1"), base=1)
        self.assertIn("i-2, i-3, i-4, i-5", caught.exception.detail)
        self.assertEqual(self.fresh() - {"i-1"}, {"i-2", "i-3", "i-4", "i-5"})

    async def test_lost_fleet_is_replaced_when_the_platform_lists_it_as_gone(self) -> None:
        await self.replace_all_instances()
        for node in self.fleet.nodes_by_id.values():
            node.control.members.find_gone_by_platform = lambda roster: frozenset(
                instance_id
                for instance_id in roster.ids
                if instance_id not in self.fleet.nodes_by_id
            )
        await self.fleet.advance(40_000)
        self.assertEqual(self.fresh(), {"i-6", "i-7"})
        self.assertEqual(await self.fleet.commit("i-6", withdraw("small@1"), base=1), 2)

    async def test_lost_fleet_is_replaced_by_an_operator(self) -> None:
        await self.replace_all_instances()
        control = self.fleet.nodes_by_id["i-6"].control
        with self.assertRaises(NotFoundError):
            await control.replace_roster("i-1, i-6", "root")
        await self.fleet.until(control.replace_roster("i-6, i-7", "root"))
        await self.fleet.advance(10_000)
        table = await control.roster_table()
        self.assertEqual([row[0] for row in table.rows], ["i-6", "i-7"])
        records = await self.fleet.until(control.audit.read_records())
        self.assertIn("replace roster with i-6, i-7", [record.text for record in records])
        changes = await self.fleet.until(control.audit.read_changes())
        self.assertEqual([change.revision for change in changes], [1])
        self.assertEqual(self.fresh(), {"i-6", "i-7"})

    async def test_fleet_that_crashed_recovers_at_its_old_addresses(self) -> None:
        ports = {
            instance_id: node.link.port for instance_id, node in self.fleet.nodes_by_id.items()
        }
        for instance_id in ports:
            await self.fleet.kill(instance_id)
        for instance_id in ("i-1", "i-2", "i-3"):
            await self.fleet.add(instance_id, wait=False, port=ports[instance_id])
        began_ms = self.fleet.clock.now()
        while not self.fresh() and self.fleet.clock.now() < began_ms + 60_000:
            await self.fleet.advance(100)
        self.assertGreaterEqual(self.fleet.clock.now() - began_ms, FRESHNESS_BOUND_MS)
        await self.fleet.advance(60_000)
        self.assertEqual(self.fresh(), {"i-1", "i-2", "i-3"})
        self.assertEqual(await self.fleet.commit("i-1", withdraw("small@1"), base=1), 2)

    async def replace_all_instances(self) -> None:
        """Kills all instances and starts two new ones, which reach no majority of the roster."""
        for instance_id in list(self.fleet.nodes_by_id):
            await self.fleet.kill(instance_id)
        for instance_id in ("i-6", "i-7"):
            await self.fleet.add(instance_id, wait=False)
        await self.fleet.advance(30_000)
        self.assertEqual(self.fresh(), set())

    async def test_crashed_member_is_removed_and_a_leaving_one_immediately(self) -> None:
        await self.fleet.leave("i-4")
        self.assertEqual(self.roster(), {"i-1", "i-2", "i-3", "i-5"})
        await self.fleet.kill("i-5")
        await self.fleet.advance(40_000)
        self.assertEqual(self.roster(), {"i-1", "i-2", "i-3"})

    async def test_restarted_instance_does_not_acknowledge_for_its_paused_previous_process(
        self,
    ) -> None:
        old = self.fleet.nodes_by_id["i-5"]
        while (old.control.configuration.freshness.age_ms or 0) > 10:
            await self.fleet.advance(5)
        old.clock.pause()
        del self.fleet.nodes_by_id["i-5"]
        node = await self.fleet.add("i-5")
        await self.fleet.commit("i-1", withdraw("small@1"), base=1)
        old.clock.resume()
        with self.assertRaises(NotFreshError):
            old.control.configuration.fresh_view()
        self.assertTrue(node.control.configuration.is_member)
        self.fleet.nodes_by_id["i-9"] = old

    def roster(self) -> set[str]:
        return set(self.fleet.nodes_by_id["i-1"].control.configuration.head_state.roster.ids)

"""No crash, outage or lost answer lets the fleet spend more than the ceiling."""

from __future__ import annotations

import asyncio
import random
import unittest

from mastickeel.errors import UnavailableError
from mastickeel.model import Account, Configuration, View
from mastickeel.rendezvous import rank
from mastickeel_router.admission import CeilingCoordinator, CeilingReachedError, Ceilings
from mastickeel_router.admission.coordinator import CeilingRecord, GrantRequest, apply_grant_request
from tests.peers import Node, Nodes

CEILING = 40_000
ACCOUNT = Account("demo", cost_ceiling=CEILING)


class CeilingsTest(unittest.IsolatedAsyncioTestCase):
    """Five instances with one ceiling."""

    async def asyncSetUp(self) -> None:
        self.nodes = Nodes()
        self.addAsyncCleanup(self.nodes.stop)
        await self.nodes.start(5)
        self.account = ACCOUNT
        self.shares = [self.make(node) for node in self.nodes.nodes_by_id.values()]

    def make(self, node: Node) -> Ceilings:
        keeper = CeilingCoordinator(
            node.store,
            "/test",
            view=lambda: View(Configuration(accounts_by_id={"demo": self.account})),
            clock=self.nodes.clock,
            rng=random.Random(node.id),
            instance_count=lambda: 5,
        )
        return Ceilings(
            keeper,
            holder=f"{node.id}-1",
            link=node.link,
            members=node.get_members,
            clock=self.nodes.clock,
        )

    async def spend(self, index: int, amount: int = 200, share: float = 0.8) -> int:
        cost = int(amount * share)
        held = await self.shares[index].reserve(ACCOUNT, amount)
        await asyncio.sleep(0.002)
        self.shares[index].settle(held, amount, cost)
        return cost

    async def spend_all(self, index: int, amount: int = 200) -> int:
        spent = 0
        while True:
            try:
                spent += await self.spend(index, amount)
            except CeilingReachedError:
                return spent
            except UnavailableError as error:
                self.assertEqual(error.ran.value, "no")
                await asyncio.sleep(0.02)

    async def test_all_instances_together_stay_under_the_ceiling_and_use_most_of_it(self) -> None:
        spent = sum(await asyncio.gather(*(self.spend_all(index) for index in range(5))))
        self.assertLessEqual(spent, CEILING)
        self.assertGreater(spent, 0.95 * CEILING)

    async def test_lost_answers_grant_nothing_twice(self) -> None:
        self.nodes.store.faults.lose_answers = 12
        spent = sum(await asyncio.gather(*(self.spend_all(index) for index in range(5))))
        self.assertLessEqual(spent, CEILING)

    async def test_in_an_outage_the_share_is_used_up_and_no_more(self) -> None:
        await self.spend(0)
        held = self.shares[0].shares_by_account["demo"].granted
        self.nodes.store.faults.outage = True
        spent = 0
        with self.assertRaises(UnavailableError) as caught:
            while True:
                spent += await self.spend(0, share=1.0)
        self.assertEqual(caught.exception.ran.value, "no")
        self.assertGreater(caught.exception.retry_after_ms or 0, 0)
        self.assertLessEqual(spent, held)
        self.assertGreater(spent, 0)
        self.nodes.store.faults.outage = False
        await self.spend(0)

    async def test_an_idle_share_is_handed_back_for_others(self) -> None:
        used = await self.spend(0)
        await self.shares[0].release_idle(0)
        self.assertEqual(self.shares[0].shares_by_account["demo"].granted, used)
        spent = await self.spend_all(1)
        self.assertGreater(spent + used, 0.95 * CEILING)

    async def test_a_hand_back_whose_answer_is_lost_is_not_spent_again(self) -> None:
        await self.spend(0)
        self.nodes.store.faults.lose_answers = 1
        await self.shares[0].release_idle(0)
        spent = await self.spend_all(1) + await self.spend_all(0) + 160
        self.assertLessEqual(spent, CEILING)

    async def test_what_a_crashed_instance_held_stays_out_of_reach(self) -> None:
        await self.spend(0)
        lost = self.shares[0].shares_by_account["demo"].granted
        spent = await self.spend_all(1)
        self.assertLessEqual(spent, CEILING - lost)

    async def test_a_refusal_says_when_the_period_ends_and_spares_the_store(self) -> None:
        await self.spend_all(0)
        calls = self.nodes.store.calls
        for _ in range(20):
            with self.assertRaises(CeilingReachedError) as caught:
                await self.shares[0].reserve(ACCOUNT, 2_000)
        self.assertLessEqual(caught.exception.retry_after_ms or 0, ACCOUNT.ceiling_period_ms)
        self.assertLessEqual(self.nodes.store.calls - calls, 2)

    async def test_a_raised_ceiling_takes_hold_in_the_same_period(self) -> None:
        await self.spend_all(0)
        await asyncio.sleep(0)
        self.shares[0].shares_by_account["demo"].refused_until_ms = 0
        self.account = Account("demo", cost_ceiling=2 * CEILING)
        await self.shares[0].reserve(self.account, 100)

    async def test_without_its_keeper_the_ceiling_holds_on_both_sides(self) -> None:
        keeper = rank("ceiling/demo", self.nodes.nodes_by_id)[0]
        index = list(self.nodes.nodes_by_id).index(keeper)
        await self.spend(index)
        self.nodes.partitioned_ids.add(keeper)
        spent = sum(await asyncio.gather(*(self.spend_all(one) for one in range(5))))
        self.assertLessEqual(spent, CEILING - 160)
        self.assertGreater(spent, 0.9 * CEILING)

    def test_a_late_ask_does_not_undo_a_later_one(self) -> None:
        lower = GrantRequest("demo", "1/1", "a", 1, 10)
        raised = GrantRequest("demo", "1/1", "a", 2, 5_000)
        record = apply_grant_request(CeilingRecord(), raised, CEILING, 5)
        self.assertEqual(apply_grant_request(record, lower, CEILING, 5), record)

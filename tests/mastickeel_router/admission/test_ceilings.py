"""The fleet never exceeds a cost ceiling, through crashes, outages and lost replies."""

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
    """Five instances that share one ceiling."""

    async def asyncSetUp(self) -> None:
        self.nodes = Nodes()
        self.addAsyncCleanup(self.nodes.stop)
        await self.nodes.start(5)
        self.account = ACCOUNT
        self.shares = [self.make(node) for node in self.nodes.nodes_by_id.values()]

    def make(self, node: Node) -> Ceilings:
        coordinator = CeilingCoordinator(
            node.store,
            "/test",
            view=lambda: View(Configuration(accounts_by_id={"demo": self.account})),
            clock=self.nodes.clock,
            rng=random.Random(node.id),
            instance_count=lambda: 5,
        )
        return Ceilings(
            coordinator,
            holder=f"{node.id}-1",
            link=node.link,
            members=node.known,
            clock=self.nodes.clock,
        )

    async def spend(self, index: int, amount: int = 200, share: float = 0.8) -> int:
        cost = int(amount * share)
        reserved = await self.shares[index].reserve(ACCOUNT, amount)
        await asyncio.sleep(0.002)
        self.shares[index].settle(reserved, amount, cost)
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

    async def test_concurrent_spending_stays_under_the_ceiling_and_uses_most_of_it(self) -> None:
        spent = sum(await asyncio.gather(*(self.spend_all(index) for index in range(5))))
        self.assertLessEqual(spent, CEILING)
        self.assertGreater(spent, 0.95 * CEILING)

    async def test_lost_store_replies_grant_nothing_twice(self) -> None:
        self.nodes.store.faults.lose_answers = 12
        spent = sum(await asyncio.gather(*(self.spend_all(index) for index in range(5))))
        self.assertLessEqual(spent, CEILING)

    async def test_store_outage_limits_spending_to_the_granted_share(self) -> None:
        await self.spend(0)
        granted = self.shares[0].shares_by_account["demo"].granted
        self.nodes.store.faults.outage = True
        spent = 0
        with self.assertRaises(UnavailableError) as caught:
            while True:
                spent += await self.spend(0, share=1.0)
        self.assertEqual(caught.exception.ran.value, "no")
        self.assertGreater(caught.exception.retry_after_ms or 0, 0)
        self.assertLessEqual(spent, granted)
        self.assertGreater(spent, 0)
        self.nodes.store.faults.outage = False
        await self.spend(0)

    async def test_idle_share_is_released_for_other_instances(self) -> None:
        used = await self.spend(0)
        await self.shares[0].release_idle(0)
        self.assertEqual(self.shares[0].shares_by_account["demo"].granted, used)
        spent = await self.spend_all(1)
        self.assertGreater(spent + used, 0.95 * CEILING)

    async def test_release_with_lost_reply_is_not_spent_twice(self) -> None:
        await self.spend(0)
        self.nodes.store.faults.lose_answers = 1
        await self.shares[0].release_idle(0)
        spent = await self.spend_all(1) + await self.spend_all(0) + 160
        self.assertLessEqual(spent, CEILING)

    async def test_grant_of_a_crashed_instance_stays_reserved(self) -> None:
        await self.spend(0)
        lost = self.shares[0].shares_by_account["demo"].granted
        spent = await self.spend_all(1)
        self.assertLessEqual(spent, CEILING - lost)

    async def test_refusal_gives_the_end_of_the_period_and_avoids_store_calls(self) -> None:
        await self.spend_all(0)
        calls = self.nodes.store.calls
        for _ in range(20):
            with self.assertRaises(CeilingReachedError) as caught:
                await self.shares[0].reserve(ACCOUNT, 2_000)
        self.assertLessEqual(caught.exception.retry_after_ms or 0, ACCOUNT.ceiling_period_ms)
        self.assertLessEqual(self.nodes.store.calls - calls, 2)

    async def test_raised_ceiling_applies_in_the_same_period(self) -> None:
        await self.spend_all(0)
        await asyncio.sleep(0)
        self.shares[0].shares_by_account["demo"].refused_until_ms = 0
        self.account = Account("demo", cost_ceiling=2 * CEILING)
        await self.shares[0].reserve(self.account, 100)

    async def test_ceiling_holds_on_both_sides_of_a_partition_from_the_coordinator(self) -> None:
        coordinator = rank("ceiling/demo", self.nodes.nodes_by_id)[0]
        index = list(self.nodes.nodes_by_id).index(coordinator)
        await self.spend(index)
        self.nodes.cut_ids.add(coordinator)
        spent = sum(await asyncio.gather(*(self.spend_all(number) for number in range(5))))
        self.assertLessEqual(spent, CEILING - 160)
        self.assertGreater(spent, 0.9 * CEILING)

    def test_late_request_does_not_undo_a_newer_one(self) -> None:
        lower = GrantRequest("demo", "1/1", "a", 1, 10)
        raised = GrantRequest("demo", "1/1", "a", 2, 5_000)
        record = apply_grant_request(CeilingRecord(), raised, CEILING, 5)
        self.assertEqual(apply_grant_request(record, lower, CEILING, 5), record)

"""Rate and concurrency hold over all instances, through changes of the keeper."""

from __future__ import annotations

import asyncio
import unittest

from mastickeel.model import Account, Configuration, View
from mastickeel.rendezvous import rank
from mastickeel_router.admission import AccountLimits, RateLimitedError
from tests.peers import Nodes

SLOTS = Account("slots", concurrency=4)
RATE = Account("rate", rate_per_second=0.001)
FAST = Account("fast", rate_per_second=100.0)
FREE = Account("free")


class AccountLimitsTest(unittest.IsolatedAsyncioTestCase):
    """Four instances that all know each other."""

    async def asyncSetUp(self) -> None:
        self.nodes = Nodes()
        self.addAsyncCleanup(self.nodes.stop)
        await self.nodes.start(4)
        accounts = {one.id: one for one in (SLOTS, RATE, FAST, FREE)}
        view = View(Configuration(accounts_by_id=accounts))
        self.limits_by_id = {
            node.id: AccountLimits(
                link=node.link, members=node.get_members, view=lambda: view, clock=self.nodes.clock
            )
            for node in self.nodes.nodes_by_id.values()
        }

    async def take(self, node_id: str, account: Account) -> bool:
        try:
            await self.limits_by_id[node_id].acquire(account)
        except RateLimitedError as error:
            self.assertEqual(error.ran.value, "no")
            self.assertGreater(error.retry_after_ms or 0, 0)
            return False
        return True

    async def take_everywhere(self, account: Account, times: int) -> int:
        ids = [node_id for node_id in self.limits_by_id for _ in range(times)]
        return sum(await asyncio.gather(*(self.take(one, account) for one in ids)))

    async def test_concurrency_holds_over_all_instances(self) -> None:
        self.assertEqual(await self.take_everywhere(SLOTS, 5), 4)

    async def test_a_slot_given_back_can_be_used_elsewhere(self) -> None:
        for _ in range(4):
            self.assertTrue(await self.take("node-0", SLOTS))
        self.assertFalse(await self.take("node-1", SLOTS))
        self.limits_by_id["node-0"].release(SLOTS)
        await self.limits_by_id["node-0"]._borrow(
            SLOTS, self.limits_by_id["node-0"].shares_by_account["slots"]
        )
        self.assertTrue(await self.take("node-1", SLOTS))
        self.assertFalse(await self.take("node-2", SLOTS))

    async def test_a_new_keeper_learns_which_slots_are_in_use(self) -> None:
        keeper, *others = rank("slots", self.nodes.nodes_by_id)
        for _ in range(3):
            self.assertTrue(await self.take(others[0], SLOTS))
        await self.nodes.kill(self.nodes.nodes_by_id[keeper])
        del self.limits_by_id[keeper]
        self.assertEqual(await self.take_everywhere(SLOTS, 3), 1)

    async def test_a_keeper_that_is_silent_is_passed_over(self) -> None:
        keeper, first, *_ = rank("slots", self.nodes.nodes_by_id)
        self.nodes.partitioned_ids.add(keeper)
        self.assertTrue(await self.take(first, SLOTS))

    async def test_the_rate_holds_over_all_instances(self) -> None:
        self.assertEqual(await self.take_everywhere(RATE, 5), 1)

    async def test_tokens_come_back_with_time(self) -> None:
        while await self.take("node-0", FAST):
            pass
        await asyncio.sleep(0.05)
        self.assertTrue(await self.take("node-1", FAST))

    async def test_an_account_without_limits_asks_nobody(self) -> None:
        self.assertEqual(await self.take_everywhere(FREE, 10), 40)
        sent = [
            node.metrics.totals_by_name["peers.sent"] for node in self.nodes.nodes_by_id.values()
        ]
        self.assertEqual(sum(sent), 0)

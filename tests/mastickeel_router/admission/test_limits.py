"""Rate and concurrency limits hold over the fleet when the coordinator changes."""

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
    """Four instances that are connected to each other."""

    async def asyncSetUp(self) -> None:
        self.nodes = Nodes()
        self.addAsyncCleanup(self.nodes.stop)
        await self.nodes.start(4)
        accounts = {account.id: account for account in (SLOTS, RATE, FAST, FREE)}
        view = View(Configuration(accounts_by_id=accounts))
        self.limits_by_id = {
            node.id: AccountLimits(
                link=node.link, members=node.known, view=lambda: view, clock=self.nodes.clock
            )
            for node in self.nodes.nodes_by_id.values()
        }

    async def acquire(self, node_id: str, account: Account) -> bool:
        try:
            await self.limits_by_id[node_id].acquire(account)
        except RateLimitedError as error:
            self.assertEqual(error.ran.value, "no")
            self.assertGreater(error.retry_after_ms or 0, 0)
            return False
        return True

    async def acquire_on_all(self, account: Account, times: int) -> int:
        ids = [node_id for node_id in self.limits_by_id for _ in range(times)]
        return sum(await asyncio.gather(*(self.acquire(node_id, account) for node_id in ids)))

    async def test_concurrency_limit_holds_over_all_instances(self) -> None:
        self.assertEqual(await self.acquire_on_all(SLOTS, 5), 4)

    async def test_released_slot_can_be_used_by_another_instance(self) -> None:
        for _ in range(4):
            self.assertTrue(await self.acquire("node-0", SLOTS))
        self.assertFalse(await self.acquire("node-1", SLOTS))
        self.limits_by_id["node-0"].release(SLOTS)
        await self.limits_by_id["node-0"]._borrow(
            SLOTS, self.limits_by_id["node-0"].shares_by_account["slots"]
        )
        self.assertTrue(await self.acquire("node-1", SLOTS))
        self.assertFalse(await self.acquire("node-2", SLOTS))

    async def test_new_coordinator_collects_the_slots_in_use(self) -> None:
        coordinator, *others = rank("slots", self.nodes.nodes_by_id)
        for _ in range(3):
            self.assertTrue(await self.acquire(others[0], SLOTS))
        await self.nodes.kill(self.nodes.nodes_by_id[coordinator])
        del self.limits_by_id[coordinator]
        self.assertEqual(await self.acquire_on_all(SLOTS, 3), 1)

    async def test_unreachable_coordinator_is_skipped(self) -> None:
        coordinator, first, *_ = rank("slots", self.nodes.nodes_by_id)
        self.nodes.cut_ids.add(coordinator)
        self.assertTrue(await self.acquire(first, SLOTS))

    async def test_rate_limit_holds_over_all_instances(self) -> None:
        self.assertEqual(await self.acquire_on_all(RATE, 5), 1)

    async def test_tokens_are_refilled_over_time(self) -> None:
        while await self.acquire("node-0", FAST):
            pass
        await asyncio.sleep(0.05)
        self.assertTrue(await self.acquire("node-1", FAST))

    async def test_account_without_limits_sends_no_messages(self) -> None:
        self.assertEqual(await self.acquire_on_all(FREE, 10), 40)
        sent = [
            node.metrics.totals_by_name["peers.sent"] for node in self.nodes.nodes_by_id.values()
        ]
        self.assertEqual(sum(sent), 0)

"""The queue is fair, ordered and bounded, and refuses at once what it cannot serve in time."""

from __future__ import annotations

import asyncio
import random
import unittest

from mastickeel.clock import FakeClock
from mastickeel.model import Account
from mastickeel_router.admission import FairQueue, OverloadedError
from mastickeel_router.admission.queue import QUEUED_MIN, WAIT_LIMIT_MS

LIGHT, HEAVY = Account("light", weight=1), Account("heavy", weight=3)


class FairQueueTest(unittest.IsolatedAsyncioTestCase):
    """Queue with two slots."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.limit = 2
        self.queue = FairQueue(self.clock, random.Random(1), lambda: self.limit)
        self.served: list[str] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def asyncTearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def submit(
        self, account: Account, name: str = "", priority: int = 0, deadline_ms: int | None = None
    ) -> asyncio.Task[None]:
        async def work() -> None:
            await self.queue.acquire(account, priority, deadline_ms)
            self.served.append(name or account.id)

        task = asyncio.ensure_future(work())
        self.tasks.append(task)
        return task

    async def fill_slots(self) -> None:
        self.submit(LIGHT)
        self.submit(LIGHT)
        await self.clock.settle()
        self.served.clear()

    async def finish(self, count: int, interval_ms: int = 0) -> None:
        for _ in range(count):
            await self.clock.advance(interval_ms)
            self.queue.release()
            await self.clock.settle()

    async def test_accounts_are_served_in_proportion_to_their_weight(self) -> None:
        await self.fill_slots()
        for _ in range(20):
            self.submit(LIGHT)
        for _ in range(20):
            self.submit(HEAVY)
        await self.clock.settle()
        await self.finish(16)
        self.assertEqual(self.served.count("heavy"), 12)

    async def test_account_queue_is_ordered_by_priority_then_deadline(self) -> None:
        await self.fill_slots()
        now = self.clock.now()
        self.submit(LIGHT, "late", deadline_ms=now + 9_000)
        self.submit(LIGHT, "soon", deadline_ms=now + 1_000)
        self.submit(LIGHT, "urgent", priority=-1, deadline_ms=now + 9_500)
        await self.clock.settle()
        await self.finish(3)
        self.assertEqual(self.served, ["urgent", "soon", "late"])

    async def test_full_queue_drops_requests_of_the_account_with_the_most_waiting(self) -> None:
        await self.fill_slots()
        heavy_tasks = [self.submit(HEAVY, f"h{n}") for n in range(QUEUED_MIN)]
        await self.clock.settle()
        light_tasks = [self.submit(LIGHT, f"l{n}") for n in range(3)]
        await self.clock.settle()
        refused = [task for task in heavy_tasks if task.done()]
        self.assertEqual(len(refused), 3)
        self.assertFalse(any(task.done() for task in light_tasks))
        error = refused[0].exception()
        assert isinstance(error, OverloadedError)
        self.assertEqual(error.ran.value, "no")
        self.assertGreater(error.retry_after_ms or 0, 0)

    async def test_request_that_cannot_start_in_time_is_refused_at_once(self) -> None:
        await self.fill_slots()
        for _ in range(10):
            self.submit(LIGHT)
        await self.clock.settle()
        await self.finish(6, interval_ms=500)
        short_deadline = self.submit(LIGHT, deadline_ms=self.clock.now() + 500)
        long_deadline = self.submit(LIGHT, deadline_ms=self.clock.now() + 9_000)
        await self.clock.settle()
        self.assertIsInstance(short_deadline.exception(), OverloadedError)
        self.assertFalse(long_deadline.done())

    async def test_waiting_request_is_refused_at_its_deadline(self) -> None:
        await self.fill_slots()
        task = self.submit(LIGHT)
        await self.clock.advance(WAIT_LIMIT_MS + 1)
        self.assertIsInstance(task.exception(), OverloadedError)
        self.assertEqual(self.queue.waiting, 0)

    async def test_cancelled_requests_hold_no_slot(self) -> None:
        await self.fill_slots()
        waiting = self.submit(LIGHT)
        await self.clock.settle()
        waiting.cancel()
        await self.clock.settle()
        admitted = self.submit(LIGHT)
        await self.clock.settle()
        self.queue.release()
        admitted.cancel()
        await self.clock.settle()
        self.assertEqual((self.queue.running, self.queue.waiting), (1, 0))

    async def test_raised_limit_applies_when_a_request_ends(self) -> None:
        await self.fill_slots()
        for _ in range(4):
            self.submit(LIGHT)
        await self.clock.settle()
        self.limit = 4
        await self.finish(1)
        self.assertEqual(self.queue.running, 4)

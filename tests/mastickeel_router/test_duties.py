"""A duty's holder acts only while it holds the duty, also when revisions are given out again."""

from __future__ import annotations

import asyncio
import unittest

from mastickeel.clock import FakeClock
from mastickeel.keyvalue import KeyValue, Put
from mastickeel_router.duties import (
    CAMPAIGN_INTERVAL_MS,
    CAMPAIGN_JITTER_MS,
    PREFERENCE_MS,
    Duty,
)
from tests.mastickeel_router.memorystore import MemoryStore


class DutyEraTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = FakeClock()
        self.store = MemoryStore()
        self.store.era.observe(1)
        self.duty = Duty("d", instance_id="i0", store=self.store, prefix="/m", clock=self.clock)
        self.is_working = False
        self.running = asyncio.ensure_future(self.duty.run(self.work))
        self.addCleanup(self.running.cancel)
        await self.clock.advance(0)
        self.assertTrue(self.is_working)

    async def work(self) -> None:
        self.is_working = True
        try:
            await asyncio.Event().wait()
        finally:
            self.is_working = False

    async def test_token_given_out_again_does_not_let_the_former_holder_write(self) -> None:
        token = self.duty.fencing_token
        assert token is not None
        condition = self.duty.held_condition()
        self.assertTrue((await self.store.txn((condition,), (Put("a", b"1"),))).succeeded)
        other = KeyValue(self.duty.key, b"i1", token, token, 0)
        self.store._items = {self.duty.key: other, "/m/holds/d/i1.7": other}
        self.assertFalse((await self.store.txn((condition,), (Put("a", b"2"),))).succeeded)

    async def test_new_era_ends_the_work_at_once(self) -> None:
        # The lease's id may belong to another instance by now, which would renew it.
        self.store.put(self.duty.key, b"i1")
        self.duty.record_new_era()
        self.assertIsNone(self.duty.fencing_token)
        await self.clock.advance(0)
        self.assertFalse(self.is_working)
        self.store.delete(self.duty.key)
        await self.clock.advance(10_000)
        self.assertTrue(self.is_working)


class PreferenceTest(unittest.IsolatedAsyncioTestCase):
    """Ten candidates for one duty, of which two are preferred."""

    async def asyncSetUp(self) -> None:
        self.clock = FakeClock()
        self.store = MemoryStore()
        self.preferred = {0, 1}
        self.reads: list[int] = []
        self.held_by: list[int] = []

    def start(self, number: int, *, is_working: bool = True) -> Duty:
        duty = Duty(
            "d",
            instance_id=f"i{number}",
            store=self.store,
            prefix="/m",
            clock=self.clock,
            is_preferred=lambda: number in self.preferred,
        )
        campaign = duty._campaign

        async def count() -> bool:
            self.reads.append(number)
            return await campaign()

        async def work() -> None:
            self.held_by.append(number)
            await asyncio.Event().wait()

        duty._campaign = count  # type: ignore[method-assign]
        if is_working:
            running = asyncio.ensure_future(duty.run(work))
            self.addCleanup(running.cancel)
        return duty

    async def test_every_instance_of_a_large_fleet_reads_the_key_of_a_duty(self) -> None:
        duties = [self.start(number) for number in range(10)]
        await self.clock.advance(0)
        for duty in duties:
            duty.record_holder()
        await self.clock.advance(30_000)
        self.assertLessEqual(set(self.reads), self.preferred)
        self.assertLessEqual(set(self.held_by), self.preferred)

    async def test_duty_stays_vacant_when_those_preferred_are_lost(self) -> None:
        for number in range(2, 10):
            self.start(number)
        # One interval of campaigns after the time of preference, and its jitter.
        await self.clock.advance(PREFERENCE_MS + CAMPAIGN_INTERVAL_MS + CAMPAIGN_JITTER_MS)
        self.assertEqual(len(self.held_by), 1)


if __name__ == "__main__":
    unittest.main()

"""A duty's holder acts only while it holds the duty, also when revisions are given out again."""

from __future__ import annotations

import asyncio
import unittest

from mastickeel.clock import FakeClock
from mastickeel.keyvalue import KeyValue, Put
from mastickeel_router.duties import Duty
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


if __name__ == "__main__":
    unittest.main()

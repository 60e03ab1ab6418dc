"""Guards against a weight store stand-in that exceeds its bandwidth or counts gone readers."""

from __future__ import annotations

import asyncio
import unittest

from mastickeel.clock import FakeClock
from mastickeel_standins.weights import WeightStoreStandin
from tests.mastickeel_standins._calls import call


class WeightStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.store = WeightStoreStandin(self.clock, bytes_per_second=1_000, max_readers=2)
        self.store.put("m", "1", 2_000)
        await self.store.start()

    async def asyncTearDown(self):
        await self.store.stop()

    def start_read(self):
        return asyncio.ensure_future(call(f"{self.store.url}/weights/m/1"))

    async def wait_for_readers(self, count):
        while self.store.readers != count:
            await asyncio.sleep(0)

    async def test_readers_share_the_rate(self):
        first = self.start_read()
        await self.wait_for_readers(1)
        await self.clock.advance(1_000)
        second = self.start_read()
        await self.wait_for_readers(2)
        await self.clock.advance(1_999)
        self.assertEqual(self.store.readers, 2)
        await self.clock.advance(1)
        self.assertEqual(self.store.readers, 1)
        self.assertEqual(await first, (200, {"model": "m", "version": "1", "bytes": 2_000}))
        await self.clock.advance(999)
        self.assertEqual(self.store.readers, 1)
        await self.clock.advance(1)
        self.assertEqual((await second)[0], 200)
        self.assertEqual(self.store.reads_by_version, {"m/1": 2})

    async def test_refuses_readers_over_the_limit_and_unknown_weights(self):
        self.store.max_readers = 0
        self.assertEqual((await self.start_read())[0], 429)
        self.assertEqual((await call(f"{self.store.url}/weights/m/2"))[0], 404)
        self.store.faults.refuse = True
        self.assertEqual((await self.start_read())[0], 503)

    async def test_disconnected_reader_frees_its_share(self):
        work = self.start_read()
        await self.wait_for_readers(1)
        await self.store.stop()
        await self.wait_for_readers(0)
        await asyncio.gather(work, return_exceptions=True)


if __name__ == "__main__":
    unittest.main()

"""Guards against an instance list stand-in that shows changes before its lag has passed."""

from __future__ import annotations

import unittest

from mastickeel.clock import FakeClock
from mastickeel_standins.instances import InstanceListStandin
from tests.mastickeel_standins._calls import call


class InstanceListTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.list = InstanceListStandin(self.clock, lag_ms=5_000)
        await self.list.start()

    async def asyncTearDown(self):
        await self.list.stop()

    async def get_list(self):
        status, answer = await call(f"{self.list.url}/v1/instances")
        self.assertEqual(status, 200)
        self.assertEqual(answer["as_of_ms"], self.clock.wall() - 5_000)
        return [(entry["id"], entry["state"]) for entry in answer["instances"]]

    async def test_list_lags_behind_changes(self):
        self.list.put("i1", "127.0.0.1:1", "north")
        await self.clock.advance(4_999)
        self.assertEqual(await self.get_list(), [])
        await self.clock.advance(1)
        self.assertEqual(await self.get_list(), [("i1", "live")])
        self.list.put("i1", "127.0.0.1:1", "north", state="leaving")
        self.assertEqual(await self.get_list(), [("i1", "live")])
        await self.clock.advance(5_000)
        self.assertEqual(await self.get_list(), [("i1", "leaving")])
        self.list.remove("i1")
        await self.clock.advance(5_000)
        self.assertEqual(await self.get_list(), [])

    async def test_control_route_and_outage(self):
        url = f"{self.list.url}/control/instances"
        entry = {"id": "i2", "address": "127.0.0.1:2", "data_centre": "south"}
        self.assertEqual((await call(url, {"put": entry}))[0], 200)
        await self.clock.advance(5_000)
        _, answer = await call(f"{self.list.url}/v1/instances")
        self.assertEqual(answer["instances"], [{**entry, "state": "live"}])
        self.assertEqual((await call(url, {"put": {**entry, "state": "odd"}}))[0], 400)
        self.assertEqual((await call(url, {"remove": "i2"}))[0], 200)
        self.list.faults.outage = True
        with self.assertRaises(Exception) as caught:
            await self.get_list()
        self.assertIn("closed", str(caught.exception).lower())


if __name__ == "__main__":
    unittest.main()

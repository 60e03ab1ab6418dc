"""Guards against a plain stand-in that hides repeated calls, or runs calls that a fault refuses."""

from __future__ import annotations

import unittest

from mastickeel.clock import FakeClock
from mastickeel_standins.plain import PlainStandin

from ._engine_calls import call, send


class PlainStandinTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.service = PlainStandin("s1", FakeClock())
        await self.service.start()
        self.addAsyncCleanup(self.service.stop)

    async def is_dropped(self, **headers):
        reader, writer = await send(self.service.port, "POST", "/a", {}, headers)
        self.addCleanup(writer.close)
        return await reader.read() == b""

    async def test_echoes_and_records_calls(self):
        headers = {"Idempotency-Key": "k1", "X-Request-Id": "r1"}
        status, answer = await call(self.service.port, "PUT", "/a/b?c=1", [1], headers)
        self.assertEqual(status, 200)
        expected = {"service": "s1", "method": "PUT", "path": "/a/b?c=1", "ran": 1, "echo": "[1]"}
        self.assertEqual(answer, expected)
        runs = (await call(self.service.port, "GET", "/__control/runs"))[1]
        self.assertEqual(runs["runs_by_key"], {"k1": 1})
        self.assertEqual(runs["runs"][0]["request_id"], "r1")

    async def test_faults(self):
        control = "/__control/faults"
        await call(self.service.port, "POST", control, {"lose_answer": 1})
        self.assertTrue(await self.is_dropped(**{"Idempotency-Key": "k1"}))
        self.assertEqual((await call(self.service.port, "GET", "/a"))[1]["ran"], 2)
        await call(self.service.port, "POST", control, {"lose_answer": True})
        self.assertEqual([await self.is_dropped(), await self.is_dropped()], [True, True])
        self.assertEqual((len(self.service.runs), self.service.runs_by_key["k1"]), (4, 1))
        await call(self.service.port, "POST", control, {"lose_answer": False, "fail_status": 503})
        self.assertEqual((await call(self.service.port, "GET", "/a"))[0], 503)
        await call(self.service.port, "POST", control, {"down": True})
        self.assertTrue(await self.is_dropped())
        self.assertEqual(len(self.service.runs), 4)


if __name__ == "__main__":
    unittest.main()

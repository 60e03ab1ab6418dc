"""Guards against a fake clock that wakes tasks out of order, and timeouts without cancellation."""

from __future__ import annotations

import asyncio
import unittest

from mastickeel.clock import Clock, FakeClock


class FakeClockTest(unittest.IsolatedAsyncioTestCase):
    """The fake clock wakes sleeping tasks at their due times, and timeouts follow it."""

    async def test_sleepers_wake_in_order_at_their_own_time(self) -> None:
        clock = FakeClock(now_ms=0)
        woken: list[tuple[str, int]] = []

        async def sleep(name: str, milliseconds: int) -> None:
            await clock.sleep(milliseconds)
            woken.append((name, clock.now()))

        tasks = [asyncio.ensure_future(sleep("b", 20)), asyncio.ensure_future(sleep("a", 10))]
        await clock.advance(15)
        self.assertEqual(woken, [("a", 10)])
        await clock.advance(15)
        self.assertEqual(woken, [("a", 10), ("b", 20)])
        await asyncio.gather(*tasks)

    async def test_wait_for_times_out_by_the_fake_clock_and_cancels_the_work(self) -> None:
        clock = FakeClock()
        never: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = asyncio.ensure_future(clock.wait_for(never, 100))
        await clock.advance(99)
        self.assertFalse(waiting.done())
        await clock.advance(1)
        with self.assertRaises(TimeoutError):
            await waiting
        self.assertTrue(never.cancelled())

    async def test_wait_for_returns_the_result(self) -> None:
        self.assertEqual(await Clock().wait_for(asyncio.sleep(0, "done"), 1_000), "done")

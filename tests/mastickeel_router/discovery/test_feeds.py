"""Tests that a key prefix is followed through outages and compactions of the store."""

from __future__ import annotations

import asyncio
import random
import unittest

from mastickeel.clock import FakeClock
from mastickeel_router.discovery import follow_prefix
from mastickeel_router.discovery.feeds import MAX_BACKOFF_MS, WATCH_BATCH_INTERVAL_MS, WatchHandler
from tests.mastickeel_router.memorystore import MemoryStore


class FollowTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = FakeClock()
        self.store = MemoryStore()
        self.seen: list[object] = []
        handler = WatchHandler(
            lambda items, _: self.seen.append([item.key for item in items]),
            lambda item: self.seen.append(item.value),
            lambda key, _: self.seen.append(f"gone {key}"),
            lambda: self.seen.append("outage"),
            lambda end: self.seen.append(("return", end.is_certain)),
        )
        self.store.put("p/a", b"1")
        self.store.put("q/a", b"9")
        self.task = asyncio.ensure_future(
            follow_prefix(self.store, "p/", handler, clock=self.clock, rng=random.Random(1))
        )
        await self.clock.settle()

    async def asyncTearDown(self) -> None:
        self.task.cancel()

    async def test_list_is_followed_by_changes_in_order(self) -> None:
        self.store.put("p/b", b"2")
        self.store.put("q/b", b"9")
        self.store.delete("p/b")
        self.store.put("p/b", b"3")
        await self.clock.settle()
        self.assertEqual(self.seen, [["p/a"], b"2", "gone p/b", b"3"])

    async def test_outage_is_reported_once_and_changes_during_it_are_delivered(self) -> None:
        self.store.set_down(True)
        await self.clock.advance(5 * MAX_BACKOFF_MS)
        self.store.put("p/b", b"2")
        self.store.set_down(False)
        await self.clock.advance(MAX_BACKOFF_MS)
        self.assertEqual(self.seen, [["p/a"], "outage", ("return", True), b"2"])
        self.assertEqual(self.store.range_reads, 1)

    async def test_changes_in_quick_succession_do_not_cost_a_poll_each(self) -> None:
        # 72 endpoints that started at once made each of 58 instances poll 60 times a second.
        changes, seconds = 60, 2
        polls_before = self.store.watch_polls
        for number in range(seconds * changes):
            self.store.put("p/a", str(number).encode())
            await self.clock.advance(1_000 // changes)
        await self.clock.advance(WATCH_BATCH_INTERVAL_MS)
        self.assertEqual(self.seen[-1], str(seconds * changes - 1).encode())
        polls = self.store.watch_polls - polls_before
        self.assertLessEqual(polls, seconds * 1_000 // WATCH_BATCH_INTERVAL_MS + 2)

    async def test_single_change_is_delivered_at_once(self) -> None:
        await self.clock.advance(WATCH_BATCH_INTERVAL_MS)
        self.store.put("p/b", b"2")
        await self.clock.advance(0)
        self.assertEqual(self.seen[-1], b"2")

    async def test_prefix_is_listed_again_after_lost_history(self) -> None:
        self.store.set_down(True)
        await self.clock.settle()
        self.store.put("p/b", b"2")
        self.store.compact_history()
        self.store.set_down(False)
        await self.clock.advance(MAX_BACKOFF_MS)
        self.store.put("p/c", b"3")
        await self.clock.settle()
        self.assertEqual(self.seen[-2:], [["p/a", "p/b"], b"3"])


if __name__ == "__main__":
    unittest.main()

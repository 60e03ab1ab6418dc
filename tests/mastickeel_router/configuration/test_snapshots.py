"""Instances that join, restart or lag behind load the newest snapshot and the log after it."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.fleets.control_fleet import PREFIX, ControlFleet, restore, withdraw
from mastickeel.model import Account, Configuration, Delta, Operator, Version
from mastickeel_router.configuration.parts import PART_LIMIT_BYTES, join_parts, split_parts
from mastickeel_router.configuration.snapshots import SnapshotWriter
from mastickeel_router.duties import Duty


class PartsTest(unittest.TestCase):
    """A configuration survives splitting into parts and joining them."""

    @settings(max_examples=20, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 3_000), st.integers(0, 40), st.integers(0, 60))
    def test_parts_make_the_same_configuration(
        self, accounts: int, versions: int, keys: int
    ) -> None:
        hashes = tuple(f"{number:064x}" for number in range(keys))
        delta = Delta(
            accounts=tuple(Account(f"a-{number}", hashes) for number in range(accounts)),
            versions=tuple(Version(f"m@{number}", "m", "pool") for number in range(versions)),
            operators=(Operator("root", "0" * 64),),
        )
        configuration = Configuration().apply(delta, 9)
        parts = split_parts(configuration)
        self.assertEqual(join_parts(parts, 9), configuration)
        self.assertLess(max(map(len, parts)), PART_LIMIT_BYTES + 10_000)


class SnapshotTest(unittest.IsolatedAsyncioTestCase):
    """Three instances, a snapshot after every five changes, and a log whose old entries expire."""

    async def asyncSetUp(self) -> None:
        self.fleet = ControlFleet(seed=4)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(3)
        self.revision = 1

    async def change(self, times: int) -> None:
        """Makes a number of changes through one instance."""
        for _ in range(times):
            delta = (withdraw if self.revision % 2 else restore)("small@1")
            self.revision = await self.fleet.commit("i-2", delta, base=self.revision)

    async def write(self) -> bool:
        """Runs a snapshot check on one instance, and returns whether it wrote a snapshot."""
        node = self.fleet.nodes_by_id["i-1"]
        duty = Duty(
            "test",
            instance_id="i-1",
            store=node.store,
            prefix=PREFIX,
            clock=node.clock,
        )
        writer = SnapshotWriter(
            node.control.configuration,
            store=node.store,
            prefix=PREFIX,
            clock=node.clock,
            duty=duty,
            interval_changes=5,
            audit_retention_ms=1_000,
        )
        done: list[bool] = []

        async def work() -> None:
            done.append(await writer.write_if_due())

        running = asyncio.ensure_future(duty.run(work))
        while not done:
            await self.fleet.advance(50)
        running.cancel()
        await self.fleet.advance(100)
        return done[0]

    def select_items(self, part: str) -> list[Any]:
        """Returns the store items below a part of the key space."""
        start, end = f"{PREFIX}/{part}/".encode(), f"{PREFIX}/{part}0".encode()
        return self.fleet.store.state.select(start, end, 0)

    async def test_joining_restarted_and_lagging_instances_load_snapshot_and_log(self) -> None:
        """Three instances need changes that are no longer in the log.

        i-4 joins, i-3 was paused while snapshots were written, and i-1 restarts after the whole
        fleet has left. Without the snapshot, each would miss the deleted changes.
        """
        await self.change(6)
        self.assertTrue(await self.write())
        self.assertFalse(await self.write(), "no further changes, so no snapshot is due")
        lagging = self.fleet.nodes_by_id["i-3"]
        lagging.clock.pause()
        await self.fleet.advance(8_000)
        await self.change(6)
        self.assertTrue(await self.write())
        await self.change(1)
        self.fleet.store.state.compact(self.fleet.store.state.revision)
        self.assertLess(
            len(self.select_items("config/log")), self.revision, "old entries are deleted"
        )
        await self.fleet.add("i-4")
        expected = self.fleet.nodes_by_id["i-1"].control.configuration.view.committed
        joined = self.fleet.nodes_by_id["i-4"].control.configuration.view.committed
        self.assertEqual(joined, expected)
        lagging.clock.resume()
        await self.fleet.advance(40_000)
        self.assertEqual(set(self.fleet.revisions().values()), {self.revision})
        for instance_id in list(self.fleet.nodes_by_id):
            await self.fleet.leave(instance_id)
        await self.fleet.add("i-1")
        restarted = self.fleet.nodes_by_id["i-1"].control.configuration.view.committed
        self.assertEqual(restarted, expected)
        self.assertEqual(await self.fleet.commit("i-1", withdraw("large@1"), base=14), 15)

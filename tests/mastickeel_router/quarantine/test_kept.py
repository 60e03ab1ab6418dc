"""Crashes that instances have learned of outlive a kill of all of them."""

from __future__ import annotations

import asyncio
import random
import unittest

from mastickeel.clock import FakeClock
from mastickeel_router.discovery import follow_prefix
from mastickeel_router.quarantine.kept import (
    RETRY_MS,
    TURN_MS,
    WRITE_INTERVAL_MS,
    CrashRecords,
)
from mastickeel_router.quarantine.parts import MIN_CRASHES, PartRefusedError, PartSuspicions
from mastickeel_router.quarantine.reports import (
    REFUSED_AFTER_CRASHES,
    TRIAL_DELAYS_MS,
    ContentRefusedError,
    CrashReports,
)
from tests.mastickeel_router.memorystore import MemoryStore

CONTENT = 7
PARTS = ("s/first", "s/bad")
GAP_MS = 2_000


class Instance:
    """The crashes that one instance knows, and their records in the store."""

    def __init__(self, store: MemoryStore, clock: FakeClock, rank: int = 0) -> None:
        self.contents = CrashReports(clock, lambda fingerprint: rank == 0)
        self.parts = PartSuspicions(clock, lambda part: rank)
        self.records = CrashRecords(
            store, self.contents, self.parts, prefix="/m", clock=clock, rank_of=lambda key: rank
        )
        handler, rng = self.records.handler(), random.Random(rank)
        prefix = self.records.keys_prefix
        self.tasks = [
            asyncio.ensure_future(follow_prefix(store, prefix, handler, clock=clock, rng=rng)),
            asyncio.ensure_future(self.records.run()),
        ]

    def kill(self) -> None:
        for task in self.tasks:
            task.cancel()

    def refuses_content(self) -> bool:
        try:
            self.contents.check(CONTENT)
        except ContentRefusedError:
            return True
        return False

    def refuses_part(self) -> bool:
        try:
            self.parts.check(PARTS)
        except PartRefusedError:
            return True
        return False


class KeptCrashesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = FakeClock()
        self.store = MemoryStore()
        self.crashes = 0
        self.instances: list[Instance] = []
        self.instance = await self.start()

    async def asyncTearDown(self) -> None:
        for instance in self.instances:
            instance.kill()

    async def start(self, rank: int = 0) -> Instance:
        instance = Instance(self.store, self.clock, rank)
        self.instances.append(instance)
        await self.clock.settle()
        return instance

    async def restart_all(self) -> None:
        """Kills all instances; one starts again."""
        for instance in self.instances:
            instance.kill()
        self.instances.clear()
        self.instance = await self.start()

    async def crash(self, count: int = 1, gap_ms: int = GAP_MS) -> None:
        """Crashes endpoints with the content and the parts, one after the other."""
        for _ in range(count):
            self.crashes += 1
            lifetime = f"e{self.crashes}/1"
            self.instance.contents.record_crash(CONTENT, lifetime)
            self.instance.parts.record_crash(PARTS, CONTENT + self.crashes, lifetime)
            await self.clock.advance(gap_ms)

    async def keys(self) -> list[str]:
        return [item.key for item in (await self.store.range("/m/crashes/", prefix=True)).items]

    async def test_refused_content_runs_again_after_a_kill_of_all_instances(self) -> None:
        # Issue 69, review/10: crashes were known to the memory of processes only.
        await self.crash(REFUSED_AFTER_CRASHES)
        await self.restart_all()
        self.assertTrue(self.instance.refuses_content())

    async def test_crashes_before_the_refusal_are_lost_with_a_kill_of_all_instances(self) -> None:
        await self.crash(REFUSED_AFTER_CRASHES - 1)
        await self.restart_all()
        await self.crash()
        self.assertTrue(self.instance.refuses_content())

    async def test_refused_part_runs_again_after_a_kill_of_all_instances(self) -> None:
        await self.crash(MIN_CRASHES)
        await self.restart_all()
        self.assertTrue(self.instance.refuses_part())

    async def test_trials_begin_anew_with_each_process(self) -> None:
        await self.crash(REFUSED_AFTER_CRASHES)
        trials = 0
        for _ in range(120):
            await self.clock.advance(1_000)
            if not self.instance.refuses_content():
                trials += 1
                await self.crash(gap_ms=WRITE_INTERVAL_MS)
                await self.restart_all()
        self.assertEqual(trials, len(TRIAL_DELAYS_MS))

    async def test_trial_that_its_instance_does_not_survive_is_not_counted(self) -> None:
        await self.crash(REFUSED_AFTER_CRASHES)
        await self.clock.advance(TRIAL_DELAYS_MS[0])
        self.assertFalse(self.instance.refuses_content())
        await self.clock.advance(WRITE_INTERVAL_MS)
        await self.restart_all()
        self.assertTrue(self.instance.refuses_content())

    async def test_crashes_that_no_longer_count_are_removed(self) -> None:
        await self.crash(REFUSED_AFTER_CRASHES)
        self.assertEqual(len(await self.keys()), 3)
        self.instance.contents.record_success(CONTENT)
        self.instance.parts.record_success(PARTS[:1])
        await self.clock.advance(WRITE_INTERVAL_MS)
        self.assertEqual(len(await self.keys()), 1)
        await self.restart_all()
        self.assertFalse(self.instance.refuses_content())
        self.assertFalse(self.instance.parts.is_suspected(PARTS[:1]))

    async def test_endpoint_that_crashes_by_itself_costs_no_call(self) -> None:
        for content in range(60):
            self.instance.contents.record_crash(content, "e1/1")
            self.instance.parts.record_crash(("s/a", f"s/{content}"), content, "e1/1")
        await self.clock.advance(10 * WRITE_INTERVAL_MS)
        self.assertEqual(await self.keys(), [])

    async def test_crashes_while_the_store_is_away_are_written_after_it(self) -> None:
        self.store.set_down(True)
        await self.crash(REFUSED_AFTER_CRASHES)
        self.store.set_down(False)
        await self.clock.advance(RETRY_MS + WRITE_INTERVAL_MS)
        await self.restart_all()
        self.assertTrue(self.instance.refuses_content())

    async def test_store_that_comes_back_from_an_older_copy_lacks_the_crashes(self) -> None:
        await self.crash(REFUSED_AFTER_CRASHES)
        for key in await self.keys():
            self.store.delete(key)
        await self.clock.advance(2 * WRITE_INTERVAL_MS)
        await self.restart_all()
        self.assertTrue(self.instance.refuses_content())

    async def test_copy_has_crashes_of_a_content_that_has_completed_since(self) -> None:
        await self.crash(REFUSED_AFTER_CRASHES)
        copy = (await self.store.range("/m/crashes/", prefix=True)).items
        self.instance.contents.record_success(CONTENT)
        await self.clock.advance(WRITE_INTERVAL_MS)
        for item in copy:
            self.store.put(item.key, item.value)
        await self.clock.advance(2 * WRITE_INTERVAL_MS)
        await self.restart_all()
        self.assertFalse(self.instance.refuses_content())

    async def test_instance_that_writes_first_is_lost(self) -> None:
        self.instance.kill()
        self.instance = await self.start(rank=1)
        await self.crash(REFUSED_AFTER_CRASHES)
        await self.clock.advance(TURN_MS + WRITE_INTERVAL_MS)
        await self.restart_all()
        self.assertTrue(self.instance.refuses_content())

    async def test_two_instances_that_know_different_crashes_do_not_write_by_turns(self) -> None:
        other = await self.start(rank=1)
        await self.crash(REFUSED_AFTER_CRASHES)
        for instance in (self.instance, other):
            instance.contents.record_crash(CONTENT, f"e{id(instance)}/1")
        await self.clock.advance(2 * TURN_MS)
        revision = (await self.store.range("/m/", prefix=True)).revision
        await self.clock.advance(20 * TURN_MS)
        self.assertEqual((await self.store.range("/m/", prefix=True)).revision, revision)

    async def test_malformed_record_is_removed(self) -> None:
        self.store.put("/m/crashes/content-1", b"{")
        await self.clock.advance(2 * WRITE_INTERVAL_MS)
        self.assertEqual(await self.keys(), [])


if __name__ == "__main__":
    unittest.main()

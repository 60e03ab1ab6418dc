"""Store calls are counted by kind and result, and forwarded unchanged."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import Any

from mastickeel._kvtypes import KeyValue, WatchBatch
from mastickeel.clock import FakeClock
from mastickeel.errors import StoreError
from mastickeel.keyvalue import Put
from mastickeel_router.gateway.counted_store import CountedStore
from tests.mastickeel_router.memorystore import MemoryStore


class CountedStoreTest(unittest.IsolatedAsyncioTestCase):
    """A store in memory, wrapped by the counter."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.memory = MemoryStore()
        self.counts: Counter[tuple[str, str]] = Counter()
        self.store = CountedStore(
            self.memory, self.clock, self.count, lambda key: key.split("/")[1]
        )

        self.causes: Counter[str] = Counter()

    def count(self, kind: str, result: str, cause: str) -> None:
        self.counts[kind, result] += 1
        self.causes[f"{kind} {cause}"] += 1

    async def test_every_kind_of_call_is_counted_and_forwarded(self) -> None:
        lease = await self.store.grant(5)
        await self.store.txn((), (Put("/a", b"1", lease),))
        self.assertEqual((await self.store.get("/a")).value, b"1")
        self.assertEqual(len((await self.store.range("/", prefix=True)).items), 1)
        self.assertTrue(await self.store.keep_alive(lease))
        await self.store.revoke(lease)
        self.assertIsNone(await self.store.get("/a"))
        kinds = {"grant": 1, "txn": 1, "get": 2, "range": 1, "keep_alive": 1, "revoke": 1}
        self.assertEqual(self.counts, {(kind, "answered"): n for kind, n in kinds.items()})

    async def test_watch_forwards_events(self) -> None:
        await self.store.txn((), (Put("/a", b"1", 0),))
        async for batch in self.store.watch("/", 1):
            self.assertEqual([item.key for item in batch.puts], ["/a"])
            break
        self.assertEqual(self.counts["watch", "answered"], 1)

    async def test_watch_counts_each_changed_key_as_a_call(self) -> None:
        class Polled(MemoryStore):
            async def watch(self, prefix: str, revision: int, **options: object) -> Any:
                yield WatchBatch(2, (KeyValue("/duties/a", b"", 2, 2, 0),))
                yield WatchBatch(3, deletes=("/instances/b",))
                yield WatchBatch(3)
                yield WatchBatch(3)

        store = CountedStore(Polled(), self.clock, self.count, lambda key: key.split("/")[1])
        async for _ in store.watch("/", 1):
            pass
        self.assertEqual(self.causes, {"watch duties": 1, "watch idle": 1})

    async def test_renewals_are_counted_for_what_the_lease_holds(self) -> None:
        lease = await self.store.grant(5)
        await self.store.txn((), (Put("/duties/a", b"1", lease),))
        await self.store.keep_alive(lease)
        self.assertEqual(self.causes["keep_alive duties"], 1)

    async def test_failures_are_counted_by_code_and_do_not_reset_the_age(self) -> None:
        self.assertIsNone(self.store.age_ms())
        await self.store.get("/a")
        await self.clock.advance(300)
        self.memory.is_down = True
        with self.assertRaises(StoreError) as caught:
            await self.store.get("/a")
        self.assertEqual(self.counts["get", caught.exception.code], 1)
        self.assertEqual(self.store.age_ms(), 300)


if __name__ == "__main__":
    unittest.main()

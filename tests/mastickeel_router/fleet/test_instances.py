"""The directory keeps peers that live while the store cannot say so, and forgets those that end."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel._kvtypes import KeyValue
from mastickeel.clock import FakeClock
from mastickeel.errors import StoreOutcomeUnknownError
from mastickeel.metrics import Metrics
from mastickeel.peers import PeerLink
from mastickeel.tasks import TaskGroup
from mastickeel_router.discovery import follow_prefix
from mastickeel_router.discovery.feeds import OutageEnd
from mastickeel_router.fleet import InstanceDirectory, PeerTraits
from mastickeel_router.fleet.instances import KEPT_MS, LEASE_TTL_SECONDS, OUTAGE_GRACE_MS
from tests.mastickeel_router.memorystore import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class OutageTest(unittest.IsolatedAsyncioTestCase):
    """A directory that knows two peers."""

    async def asyncSetUp(self) -> None:
        self.clock = FakeClock()
        link = PeerLink("edge-1", clock=self.clock, metrics=Metrics())
        self.addAsyncCleanup(link.close)
        self.link = link
        self.directory = InstanceDirectory(
            MemoryStore(),
            link,
            prefix="/m",
            host="127.0.0.1",
            traits=PeerTraits("dc"),
            clock=self.clock,
        )
        self.handler = self.directory.entry_handler()
        self.write("edge-2", 10)
        self.write("edge-3", 11)

    def write(self, peer: str, revision: int, port: int = 7_000) -> None:
        fields = {"address": f"127.0.0.1:{port}", "data_centre": "dc", "tunnels": "127.0.0.1:8000"}
        key = f"{self.directory.entries_prefix}{peer}"
        self.handler.on_put(KeyValue(key, msgspec.json.encode(fields), revision, revision, 0))

    def delete(self, peer: str) -> None:
        self.handler.on_delete(f"{self.directory.entries_prefix}{peer}", 20)

    def known(self) -> set[str]:
        self.directory.remove_expired()
        self.assertEqual(set(self.directory.tunnels_by_peer), set(self.link.peer_ids))
        return set(self.link.peer_ids)

    async def test_live_peers_are_forgotten_when_the_store_loses_their_leases(self) -> None:
        self.handler.on_outage()
        self.delete("edge-2")
        self.handler.on_recovery(OutageEnd(self.clock.now()))
        await self.clock.advance(OUTAGE_GRACE_MS - 1)
        self.delete("edge-3")
        self.assertEqual(self.known(), {"edge-2", "edge-3"})
        self.write("edge-2", 21, port=7_001)
        await self.clock.advance(KEPT_MS + 1)
        self.assertEqual(self.known(), {"edge-2"})

    async def test_live_peers_are_forgotten_by_a_list_after_an_outage(self) -> None:
        self.handler.on_outage()
        self.handler.on_recovery(OutageEnd(self.clock.now()))
        self.handler.on_list((), 20)
        self.assertEqual(self.known(), {"edge-2", "edge-3"})

    async def test_live_peers_are_forgotten_in_a_second_outage(self) -> None:
        self.handler.on_outage()
        self.delete("edge-2")
        self.handler.on_recovery(OutageEnd(self.clock.now()))
        self.handler.on_outage()
        await self.clock.advance(2 * KEPT_MS)
        self.assertEqual(self.known(), {"edge-2", "edge-3"})
        self.handler.on_recovery(OutageEnd(self.clock.now()))
        await self.clock.advance(KEPT_MS + 1)
        self.assertEqual(self.known(), {"edge-3"})

    async def test_peer_that_has_ended_is_kept_without_an_outage(self) -> None:
        self.delete("edge-2")
        self.assertEqual(self.known(), {"edge-3"})


class LosingStore(MemoryStore):
    """Loses answers of writes for a time and executes these writes at once or seconds later."""

    def __init__(self, clock: FakeClock, rng: random.Random) -> None:
        super().__init__()
        self.loses_until_ms = 0
        self._clock = clock
        self._rng = rng
        self._ends_ms_by_lease: dict[int, int] = {}
        self._tasks = TaskGroup()

    async def grant(self, ttl_seconds: int) -> int:
        async def execute() -> int:
            lease = await MemoryStore.grant(self, ttl_seconds)
            self._ends_ms_by_lease[lease] = self._clock.now() + ttl_seconds * 1_000
            return lease

        return await self._execute(execute)

    async def keep_alive(self, lease: int) -> bool:
        async def execute() -> bool:
            is_live = self._ends_ms_by_lease[lease] > self._clock.now()
            if is_live:
                self._ends_ms_by_lease[lease] = self._clock.now() + LEASE_TTL_SECONDS * 1_000
            return is_live

        return await self._execute(execute)

    async def txn(self, compares: Any, success: Any, failure: Any = ()) -> Any:
        async def execute() -> Any:
            return await MemoryStore.txn(self, compares, success, failure)

        return await self._execute(execute)

    async def expire_leases(self) -> None:
        """Removes the keys of the leases that have ended."""
        for lease, end_ms in list(self._ends_ms_by_lease.items()):
            if end_ms <= self._clock.now():
                await self.revoke(lease)

    async def stop(self) -> None:
        await self._tasks.stop()

    async def _execute(self, execute: Callable[[], Awaitable[Any]]) -> Any:
        if self._clock.now() >= self.loses_until_ms or self._rng.random() < 0.5:
            return await execute()
        self._tasks.start(self._execute_late(execute, self._rng.choice((0, 1_000, 5_000))))
        raise StoreOutcomeUnknownError()

    async def _execute_late(self, execute: Callable[[], Awaitable[Any]], delay_ms: int) -> None:
        await self._clock.sleep(delay_ms)
        await execute()


class RegistrationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = FakeClock()
        self.rng = random.Random(4)
        self.running: list[Callable[[], Awaitable[None]]] = []
        self.addAsyncCleanup(self.stop)

    async def stop(self) -> None:
        for stop in self.running:
            await stop()
        self.running.clear()

    async def keep_registered(self, store: LosingStore) -> str:
        """Starts an instance that registers itself and follows the store; returns its key."""
        link = PeerLink("edge-1", clock=self.clock, metrics=Metrics())
        directory = InstanceDirectory(
            store,
            link,
            prefix="/m",
            host="127.0.0.1",
            traits=PeerTraits("dc"),
            clock=self.clock,
        )
        following = follow_prefix(
            store, "/m", directory.entry_handler(), clock=self.clock, rng=self.rng
        )
        tasks = TaskGroup()
        self.running += [tasks.stop, store.stop, link.close]
        tasks.start(following)
        tasks.start(directory.keep_registered())
        return f"{directory.entries_prefix}edge-1"

    async def advance(self, store: LosingStore, milliseconds: int) -> None:
        for _ in range(0, milliseconds, 500):
            await self.clock.advance(500)
            await store.expire_leases()

    async def test_lost_answer_removes_a_live_instance_from_the_directory(self) -> None:
        """Guards against an entry under a lease that nobody renews."""
        missing = 0
        for _ in range(40):
            store = LosingStore(self.clock, self.rng)
            key = await self.keep_registered(store)
            await self.advance(store, 5_000)
            for _ in range(3):
                store.loses_until_ms = self.clock.now() + 4_500
                await self.advance(store, self.rng.randrange(5_000, 9_000))
            await self.advance(store, 2 * LEASE_TTL_SECONDS * 1_000)
            missing += await store.get(key) is None
            await self.stop()
        self.assertEqual(missing, 0)

    async def test_entry_that_was_removed_is_missing_until_the_lease_ends(self) -> None:
        store = LosingStore(self.clock, self.rng)
        key = await self.keep_registered(store)
        await self.advance(store, 1_000)
        store.delete(key)
        await self.advance(store, 1_000)
        self.assertIsNotNone(await store.get(key))


if __name__ == "__main__":
    unittest.main()

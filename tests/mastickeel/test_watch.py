"""A silent watch is ended, and the changes it missed are read when it is opened again."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from mastickeel import keyvalue
from mastickeel.addresses import Address
from mastickeel.changes import Head, encode, head_key
from mastickeel.clock import Clock
from mastickeel.errors import StoreUnavailableError
from mastickeel.httpclient import HttpClient
from mastickeel.tasks import TaskGroup
from mastickeel_router.configuration import ConfigurationState, ConfigurationWatcher
from mastickeel_standins.keyvalue import KeyValueStandin

SILENCE_MS = 300
PREFIX = "/p"


class SilentWatchTest(unittest.IsolatedAsyncioTestCase):
    """Real sockets to a store stand-in; its progress interval exceeds the silence timeout."""

    async def asyncSetUp(self) -> None:
        self.store = KeyValueStandin()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.clock = Clock()
        http = HttpClient(self.clock)
        self.addAsyncCleanup(http.close)
        address = Address("127.0.0.1", self.store.port)
        self.client = keyvalue.KeyValueClient(http, (address,), clock=self.clock)
        patch = mock.patch.object(keyvalue, "WATCH_SILENCE_TIMEOUT_MS", SILENCE_MS)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_watch_with_a_slow_reader_is_ended_with_an_error(self) -> None:
        await self.client.put("/w/0", b"")
        with mock.patch.object(keyvalue, "MAX_BUFFERED_WATCH_MESSAGES", 4):
            watch = self.client.watch("/w/", 1)
            await anext(watch)
            for number in range(20):
                await self.client.put(f"/w/{number}", b"")
            with self.assertRaises(StoreUnavailableError):
                async for _ in watch:
                    pass

    async def test_silent_watch_is_ended(self) -> None:
        self.store.faults.silent_watches = True
        with self.assertRaises(StoreUnavailableError):
            async for _ in self.client.watch(PREFIX, 1):
                self.fail("a silent watch brings nothing")

    async def test_changes_missed_by_a_silent_watch_are_read_when_it_is_reopened(self) -> None:
        state = ConfigurationState(self.client, PREFIX, self.clock)
        watcher = ConfigurationWatcher(
            state, store=self.client, prefix=PREFIX, clock=self.clock, rng=random.Random(1)
        )
        tasks = TaskGroup()
        self.addAsyncCleanup(tasks.stop)
        self.store.faults.silent_watches = True
        tasks.start(watcher.run())
        await state.loaded.wait()
        await self.client.put(head_key(PREFIX), encode(Head(change_id="x")))
        await self.clock.wait_for(state.wait_for_position(2), 5_000)
        self.assertEqual(state.head_state.head.change_id, "x")

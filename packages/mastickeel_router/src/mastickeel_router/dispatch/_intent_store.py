"""Writes intents to the key-value service, all of a few milliseconds in one transaction."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from mastickeel.errors import StoreError, StoreOutcomeUnknownError, StoreUnavailableError
from mastickeel.keyvalue import Compare, Delete, Get, Put
from mastickeel_router.dispatch.intent import Intent

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.clock import Clock
    from mastickeel.keyvalue import KeyValueClient
    from mastickeel.tasks import TaskGroup

BATCH_DELAY_MS = 3
MAX_BATCH_SIZE = 50
"""Intents in one transaction; etcd's own limit is 128 steps."""
LEASE_REUSE_MS = 3_600_000
"""How long one lease is given to new intents."""


@dataclass(frozen=True)
class _Entry:
    """An intent on its way to the store."""

    key: str
    intent: Intent
    done: asyncio.Future[Intent]


class IntentStore:
    """Creates, writes, reads and deletes intents."""

    def __init__(
        self,
        store: KeyValueClient,
        prefix: str,
        clock: Clock,
        tasks: TaskGroup,
        retention_ms: int,
    ) -> None:
        """Makes the store.

        Args:
            store: The key-value service.
            prefix: What the keys of intents begin with.
            clock: Times groups and leases.
            tasks: Runs the writing.
            retention_ms: How long each intent is kept at least.
        """
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._retention_ms = retention_ms
        self._create_batcher = _Batcher(clock, tasks, self._create_batch)
        self._write_batcher = _Batcher(clock, tasks, self._write_batch)
        self._lease = 0
        self._lease_deadline_ms = 0
        self._lease_lock = asyncio.Lock()

    async def create(self, path: str, intent: Intent) -> Intent:
        """Creates an intent.

        Args:
            path: The end of its key.
            intent: The record.

        Returns:
            The record that the key holds now: this one, or the one that was there.

        Raises:
            StoreError: When it is not known to be there.
        """
        return await self._create_batcher.add(self._prefix + path, intent)

    async def write(self, path: str, intent: Intent) -> None:
        """Writes over an intent that this instance has created.

        Raises:
            StoreError: When it was not surely written.
        """
        await self._write_batcher.add(self._prefix + path, intent)

    async def read(self, path: str) -> Intent | None:
        """Reads an intent; None when there is none."""
        found = await self._store.get(self._prefix + path)
        return _decode(found.value) if found else None

    async def delete(self, path: str, intent: Intent) -> None:
        """Deletes an intent, unless it has become another."""
        key = self._prefix + path
        same = Compare(key, "VALUE", msgspec.json.encode(intent))
        await self._store.txn((same,), (Delete(key),))

    async def _create_batch(self, entries: list[_Entry]) -> None:
        """Creates intents in one transaction, first without those whose key is taken."""
        lease = await self._current_lease()
        while entries:
            absent = [Compare(entry.key, "CREATE", 0) for entry in entries]
            puts = [Put(entry.key, msgspec.json.encode(entry.intent), lease) for entry in entries]
            gets = [Get(entry.key) for entry in entries]
            try:
                result = await self._store.txn(absent, puts, gets)
            except StoreOutcomeUnknownError:
                await self._resolve_by_reading(entries)
                return
            if result.succeeded:
                _resolve_created(entries)
                return
            taken_by_key = {item.key: item.value for item in result.found}
            for entry in entries:
                if entry.key in taken_by_key:
                    entry.done.set_result(_decode(taken_by_key[entry.key]))
            entries = [entry for entry in entries if entry.key not in taken_by_key]

    async def _resolve_by_reading(self, entries: list[_Entry]) -> None:
        """Finds out by reading what became of a transaction whose answer was lost.

        It ran as a whole or not at all. Where it has not run yet it may still do so later; its
        requests are refused then, and nothing is ever sent for them.
        """
        gets = [Get(entry.key) for entry in entries]
        result = await self._store.txn((), gets)
        found_by_key = {item.key: item.value for item in result.found}
        for entry in entries:
            if entry.key in found_by_key:
                entry.done.set_result(_decode(found_by_key[entry.key]))
            else:
                entry.done.set_exception(StoreUnavailableError("The intent was not recorded."))

    async def _write_batch(self, entries: list[_Entry]) -> None:
        """Writes intents in one transaction; nobody else writes to their keys."""
        lease = await self._current_lease()
        puts = [Put(entry.key, msgspec.json.encode(entry.intent), lease) for entry in entries]
        await self._store.txn((), puts)
        _resolve_created(entries)

    async def _current_lease(self) -> int:
        """Returns the lease for new records, one for many of them."""
        async with self._lease_lock:
            if self._clock.now() >= self._lease_deadline_ms:
                asked_ms = self._clock.now()
                ttl_ms = self._retention_ms + 2 * LEASE_REUSE_MS
                self._lease = await self._store.grant(ttl_ms // 1_000)
                self._lease_deadline_ms = asked_ms + LEASE_REUSE_MS
            return self._lease


class _Batcher:
    """Gathers entries for a few milliseconds and hands them on together."""

    def __init__(
        self, clock: Clock, tasks: TaskGroup, commit: Callable[[list[_Entry]], Awaitable[None]]
    ) -> None:
        self._clock = clock
        self._tasks = tasks
        self._commit = commit
        self._waiting: list[_Entry] = []
        self._running = False

    async def add(self, key: str, intent: Intent) -> Intent:
        """Adds an entry and waits for what became of it."""
        done: asyncio.Future[Intent] = asyncio.get_running_loop().create_future()
        self._waiting.append(_Entry(key, intent, done))
        if not self._running:
            self._running = True
            self._tasks.start(self._run())
        return await asyncio.shield(done)

    async def _run(self) -> None:
        """Commits group after group until nothing waits."""
        try:
            await self._clock.sleep(BATCH_DELAY_MS)
            while self._waiting:
                group = self._waiting[:MAX_BATCH_SIZE]
                del self._waiting[:MAX_BATCH_SIZE]
                await self._commit_batch(group)
        finally:
            self._running = False

    async def _commit_batch(self, group: list[_Entry]) -> None:
        """Commits a group; an error is the answer to each entry that has none yet."""
        try:
            await self._commit(group)
        except (StoreError, asyncio.CancelledError) as error:
            for entry in group:
                if not entry.done.done():
                    entry.done.set_exception(
                        error
                        if isinstance(error, StoreError)
                        else StoreUnavailableError("The instance stops.")
                    )
            if isinstance(error, asyncio.CancelledError):
                raise


def _resolve_created(entries: list[_Entry]) -> None:
    """Answers entries that hold their keys."""
    for entry in entries:
        if not entry.done.done():
            entry.done.set_result(entry.intent)


def _decode(value: bytes) -> Intent:
    """Reads a record."""
    return msgspec.json.decode(value, type=Intent)

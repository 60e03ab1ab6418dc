"""Stores intents in the key-value service; one transaction writes those of a few milliseconds."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from mastickeel.decoding import decode_json
from mastickeel.errors import StoreError, StoreOutcomeUnknownError, StoreUnavailableError
from mastickeel.keyvalue import Compare, Delete, Get, Put
from mastickeel_router.dispatch.intent import Intent

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.clock import Clock
    from mastickeel.keyvalue import KeyValueClient
    from mastickeel.tasks import TaskGroup

BATCH_DELAY_MS = 3
"""How long a batch collects intents before its transaction."""
MAX_BATCH_SIZE = 50
"""Intents in one transaction; etcd limits a transaction to 128 operations."""
LEASE_REUSE_MS = 3_600_000
"""How long one lease is used for new intents."""


@dataclass(frozen=True)
class _Entry:
    """An intent waiting to be written."""

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
        """Creates the store.

        Args:
            store: The key-value service.
            prefix: The key prefix of intents.
            clock: Times batches and leases.
            tasks: Runs the writes.
            retention_ms: Minimum time for which each intent is kept, in milliseconds.
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
            path: The key of the intent, without the prefix.
            intent: The intent to create.

        Returns:
            The intent that the key holds now: the new one, or one that existed before.

        Raises:
            StoreError: When the intent is not known to be stored.
        """
        return await self._create_batcher.add(self._prefix + path, intent)

    async def write(self, path: str, intent: Intent) -> None:
        """Overwrites an intent that this instance has created.

        Raises:
            StoreError: When the intent is not known to be written.
        """
        await self._write_batcher.add(self._prefix + path, intent)

    async def read(self, path: str) -> Intent | None:
        """Returns a stored intent; None when the key does not exist."""
        found = await self._store.get(self._prefix + path)
        return _decode(found.value) if found else None

    async def delete(self, path: str, intent: Intent) -> None:
        """Deletes an intent, unless the key holds a different one now."""
        key = self._prefix + path
        unchanged = Compare(key, "VALUE", msgspec.json.encode(intent))
        await self._store.txn((unchanged,), (Delete(key),))

    async def _create_batch(self, entries: list[_Entry]) -> None:
        """Creates intents in one transaction; repeats it without those whose key exists."""
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
                _resolve_entries(entries)
                return
            existing_by_key = {item.key: item.value for item in result.found}
            for entry in entries:
                if entry.key in existing_by_key:
                    entry.done.set_result(_decode(existing_by_key[entry.key]))
            entries = [entry for entry in entries if entry.key not in existing_by_key]

    async def _resolve_by_reading(self, entries: list[_Entry]) -> None:
        """Reads the intents back after the answer to their transaction was lost.

        The transaction ran as a whole or not at all. If it has not run yet, it may still run later;
        the requests of its intents are refused, and nothing is ever sent for them.
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
        """Overwrites intents in one transaction; no other instance writes to their keys."""
        lease = await self._current_lease()
        puts = [Put(entry.key, msgspec.json.encode(entry.intent), lease) for entry in entries]
        await self._store.txn((), puts)
        _resolve_entries(entries)

    async def _current_lease(self) -> int:
        """Returns the lease for new intents; requests a new lease every LEASE_REUSE_MS."""
        async with self._lease_lock:
            if self._clock.now() >= self._lease_deadline_ms:
                requested_ms = self._clock.now()
                ttl_ms = self._retention_ms + 2 * LEASE_REUSE_MS
                self._lease = await self._store.grant(ttl_ms // 1_000)
                self._lease_deadline_ms = requested_ms + LEASE_REUSE_MS
            return self._lease


class _Batcher:
    """Collects entries for a few milliseconds and commits them together."""

    def __init__(
        self, clock: Clock, tasks: TaskGroup, commit: Callable[[list[_Entry]], Awaitable[None]]
    ) -> None:
        self._clock = clock
        self._tasks = tasks
        self._commit = commit
        self._pending: list[_Entry] = []
        self._running = False

    async def add(self, key: str, intent: Intent) -> Intent:
        """Adds an entry and returns its result after the commit."""
        done: asyncio.Future[Intent] = asyncio.get_running_loop().create_future()
        self._pending.append(_Entry(key, intent, done))
        if not self._running:
            self._running = True
            self._tasks.start(self._run())
        return await asyncio.shield(done)

    async def _run(self) -> None:
        """Commits batches until no entry is pending."""
        try:
            await self._clock.sleep(BATCH_DELAY_MS)
            while self._pending:
                batch = self._pending[:MAX_BATCH_SIZE]
                del self._pending[:MAX_BATCH_SIZE]
                await self._commit_batch(batch)
        finally:
            self._running = False

    async def _commit_batch(self, batch: list[_Entry]) -> None:
        """Commits a batch; passes an error to each entry without a result."""
        try:
            await self._commit(batch)
        except (StoreError, asyncio.CancelledError) as error:
            for entry in batch:
                if not entry.done.done():
                    entry.done.set_exception(
                        error
                        if isinstance(error, StoreError)
                        else StoreUnavailableError("The instance is stopping.")
                    )
            if isinstance(error, asyncio.CancelledError):
                raise


def _resolve_entries(entries: list[_Entry]) -> None:
    """Resolves entries with their own intents, which are stored now."""
    for entry in entries:
        if not entry.done.done():
            entry.done.set_result(entry.intent)


def _decode(value: bytes) -> Intent:
    """Decodes a stored intent."""
    return decode_json(value, Intent)

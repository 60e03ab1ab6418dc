"""In-memory store with outages and history compaction that tests control."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mastickeel.errors import StoreCompactedError, StoreUnavailableError
from mastickeel.keyvalue import (
    Compare,
    Delete,
    Get,
    KeyValue,
    Put,
    RangeResult,
    TxnResult,
    WatchBatch,
)
from mastickeel.storeera import StoreEra

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence


class MemoryStore:
    """Store shared by all instances of a test."""

    def __init__(self) -> None:
        self.era = StoreEra()
        self.is_receiving = False
        self.is_down = False
        self.compacted_revision = 0
        self.watch_polls = 0
        self.range_reads = 0
        self.key_reads = 0
        self._revision = 1
        self._items: dict[str, KeyValue] = {}
        self._history: list[WatchBatch] = []
        self._leases: set[int] = set()
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key without conditions, even during an outage."""
        self._revision += 1
        created = self._items[key].create_revision if key in self._items else self._revision
        item = KeyValue(key, value, self._revision, created, 0, lease)
        self._items[key] = item
        self._history.append(WatchBatch(self._revision, puts=(item,)))
        self._wake_watchers()
        return self._revision

    def delete(self, key: str) -> None:
        self._revision += 1
        del self._items[key]
        self._history.append(WatchBatch(self._revision, deletes=(key,)))
        self._wake_watchers()

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage, which also breaks the watches."""
        self.is_down = down
        self._wake_watchers()

    def compact_history(self) -> None:
        self._history.clear()
        self.compacted_revision = self._revision
        self._wake_watchers()

    async def get(self, key: str) -> KeyValue | None:
        self._raise_if_down()
        self.key_reads += 1
        return self._items.get(key)

    async def range(self, key: str, *, prefix: bool = False) -> RangeResult:
        self._raise_if_down()
        self.range_reads += 1
        found = [item for name, item in sorted(self._items.items()) if name.startswith(key)]
        return RangeResult(tuple(found), self._revision)

    async def txn(
        self,
        compares: Sequence[Compare],
        success: Sequence[Put | Delete | Get],
        failure: Sequence[Put | Delete | Get] = (),
    ) -> TxnResult:
        self._raise_if_down()
        for compare in compares:
            item = self._items.get(compare.key)
            if (item.mod_revision if item else 0) != compare.value:
                keys = [step.key for step in failure if isinstance(step, Get)]
                found = tuple(self._items[key] for key in keys if key in self._items)
                return TxnResult(False, self._revision, found)
        for operation in success:
            if isinstance(operation, Put):
                self.put(operation.key, operation.value, operation.lease)
            elif isinstance(operation, Delete) and operation.key in self._items:
                self.delete(operation.key)
        return TxnResult(True, self._revision)

    async def grant(self, ttl_seconds: int) -> int:
        self._raise_if_down()
        self._leases.add(len(self._leases) + 1)
        return len(self._leases)

    async def keep_alive(self, lease: int) -> bool:
        self._raise_if_down()
        return lease in self._leases

    async def revoke(self, lease: int) -> None:
        self._raise_if_down()
        for key in [key for key, item in self._items.items() if item.lease == lease]:
            self.delete(key)

    async def watch(
        self, prefix: str, revision: int, *, probe_timeout_ms: int | None = None
    ) -> AsyncIterator[WatchBatch]:
        after = revision - 1
        while True:
            self.watch_polls += 1
            self._raise_if_down()
            if after < self.compacted_revision:
                raise StoreCompactedError()
            newest = self._revision
            for batch in [batch for batch in self._history if batch.revision > after]:
                keys = [item.key for item in batch.puts] + list(batch.deletes)
                if keys[0].startswith(prefix):
                    yield batch
            after = max(after, newest)
            yield WatchBatch(after)
            while self._revision <= after and not self.is_down:
                await self._changed.wait()

    def _raise_if_down(self) -> None:
        if self.is_down:
            raise StoreUnavailableError()

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

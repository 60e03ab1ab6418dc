"""Reads the head, the log and the snapshots from the key-value service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.changes import (
    Change,
    Head,
    Proposal,
    Roster,
    SnapshotIndex,
    decode,
    head_key,
    log_key,
    roster_key,
    snapshot_index_key,
    snapshot_part_key,
    staged_key,
)
from mastickeel.errors import StoreUnavailableError
from mastickeel.keyvalue import Get
from mastickeel_router.configuration.messages import HeadState
from mastickeel_router.configuration.parts import join_parts

if TYPE_CHECKING:
    from mastickeel.keyvalue import KeyValue, KeyValueClient
    from mastickeel.model import Configuration

LOG_PAGE_SIZE = 500
LOAD_ATTEMPTS = 5


@dataclass(frozen=True)
class HeadItem:
    """The head as read, at its position."""

    position: int
    head: Head


@dataclass(frozen=True)
class LoadResult:
    """A standing, and the changes that lead to it from a configuration."""

    head_state: HeadState
    base: Configuration
    changes: tuple[Change, ...]


class ConfigurationReader:
    """Reads with few calls, whatever is missing."""

    def __init__(self, store: KeyValueClient, prefix: str) -> None:
        """Makes the reader.

        Args:
            store: The key-value service.
            prefix: What all keys of this deployment begin with.
        """
        self._store = store
        self._prefix = prefix

    async def read_head(self) -> HeadItem:
        """Reads the head alone, which is the cheapest proof.

        Raises:
            StoreError: When the store did not answer.
        """
        return _head_item(await self._store.get(head_key(self._prefix)))

    async def read_head_state(self) -> HeadState:
        """Reads head, roster and proposal in one transaction, so that they belong together.

        Raises:
            StoreError: When the store did not answer.
        """
        keys = (head_key(self._prefix), roster_key(self._prefix), staged_key(self._prefix))
        result = await self._store.txn((), tuple(Get(key) for key in keys))
        items_by_key = {item.key: item for item in result.found}
        found = _head_item(items_by_key.get(keys[0]))
        roster, staged = items_by_key.get(keys[1]), items_by_key.get(keys[2])
        return HeadState(
            found.position,
            found.head,
            decode(roster.value, Roster) if roster else Roster(),
            decode(staged.value, Proposal) if staged else None,
        )

    async def load(self, base: Configuration) -> LoadResult:
        """Reads all that is missing to work under the newest head.

        Args:
            base: The configuration that this instance has.

        Returns:
            The newest standing and what leads to it.

        Raises:
            StoreError: When the store did not answer.
        """
        for _ in range(LOAD_ATTEMPTS):
            standing = await self.read_head_state()
            changes = await self._read_log(base.revision, standing.head.revision)
            if len(changes) < standing.head.revision - base.revision:
                base = await self._read_snapshot(base)
                changes = await self._read_log(base.revision, standing.head.revision)
            if len(changes) == standing.head.revision - base.revision:
                return LoadResult(standing, base, changes)
        raise StoreUnavailableError("The log moved on faster than it could be read.")

    async def _read_log(self, after: int, last: int) -> tuple[Change, ...]:
        """Reads the changes after a revision, up to one; fewer when some were compacted away."""
        changes: list[Change] = []
        prefix = f"{self._prefix}/config/log/"
        start = log_key(self._prefix, after + 1)
        while after + len(changes) < last:
            page = await self._store.range(prefix, prefix=True, limit=LOG_PAGE_SIZE, start=start)
            found = [decode(item.value, Change) for item in page.items]
            changes += [change for change in found if change.revision <= last]
            if not page.more:
                break
            start = page.items[-1].key + "\0"
        is_whole = not changes or changes[0].revision == after + 1
        return tuple(changes) if is_whole else ()

    async def _read_snapshot(self, base: Configuration) -> Configuration:
        """Reads the newest snapshot that is whole."""
        item = await self._store.get(snapshot_index_key(self._prefix))
        if item is None:
            return base
        index = decode(item.value, SnapshotIndex)
        parts = []
        for part in range(index.parts):
            found = await self._store.get(snapshot_part_key(self._prefix, index.revision, part))
            if found is None:
                return base
            parts.append(found.value)
        return join_parts(parts, index.revision) if index.revision > base.revision else base


def _head_item(item: KeyValue | None) -> HeadItem:
    """Decodes the head; without a key it is the empty one."""
    return HeadItem(item.mod_revision, decode(item.value, Head)) if item else HeadItem(0, Head())

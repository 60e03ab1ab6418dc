"""Reads the head, the change log and the snapshots from the key-value service."""

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
    """The head and its position, as read from the store."""

    position: int
    head: Head


@dataclass(frozen=True)
class LoadResult:
    """A head state, a base configuration, and the changes from the base to the head."""

    head_state: HeadState
    base: Configuration
    changes: tuple[Change, ...]


class ConfigurationReader:
    """Reads the configuration from the store with few calls."""

    def __init__(self, store: KeyValueClient, prefix: str) -> None:
        """Creates the reader.

        Args:
            store: The key-value service.
            prefix: The prefix of all keys of this deployment.
        """
        self._store = store
        self._prefix = prefix

    async def read_head(self) -> HeadItem:
        """Reads only the head, which is the cheapest freshness proof.

        Raises:
            StoreError: When the store did not answer.
        """
        return _decode_head(await self._store.get(head_key(self._prefix)))

    async def read_head_state(self) -> HeadState:
        """Reads head, roster and proposal in one transaction, so that they are consistent.

        Raises:
            StoreError: When the store did not answer.
        """
        keys = (head_key(self._prefix), roster_key(self._prefix), staged_key(self._prefix))
        result = await self._store.txn((), tuple(Get(key) for key in keys))
        items_by_key = {item.key: item for item in result.found}
        found = _decode_head(items_by_key.get(keys[0]))
        roster, staged = items_by_key.get(keys[1]), items_by_key.get(keys[2])
        return HeadState(
            found.position,
            found.head,
            decode(roster.value, Roster) if roster else Roster(),
            decode(staged.value, Proposal) if staged else None,
        )

    async def load(self, base: Configuration) -> LoadResult:
        """Reads the newest head state and everything missing between a configuration and it.

        Uses the newest snapshot when the log no longer reaches back to the configuration.

        Args:
            base: The configuration that this instance already has.

        Returns:
            The newest head state with its base configuration and changes.

        Raises:
            StoreError: When the store did not answer, or the log was compacted faster than read.
        """
        for _ in range(LOAD_ATTEMPTS):
            head_state = await self.read_head_state()
            changes = await self._read_log(base.revision, head_state.head.revision)
            if len(changes) < head_state.head.revision - base.revision:
                base = await self._read_snapshot(base)
                changes = await self._read_log(base.revision, head_state.head.revision)
            if len(changes) == head_state.head.revision - base.revision:
                return LoadResult(head_state, base, changes)
        raise StoreUnavailableError("The change log advanced faster than it could be read.")

    async def _read_log(self, after: int, last: int) -> tuple[Change, ...]:
        """Reads the changes after one revision up to another; fewer if the log was compacted."""
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
        is_contiguous = not changes or changes[0].revision == after + 1
        return tuple(changes) if is_contiguous else ()

    async def _read_snapshot(self, base: Configuration) -> Configuration:
        """Returns the newest snapshot if it is complete and newer than the base, else the base."""
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


def _decode_head(item: KeyValue | None) -> HeadItem:
    """Decodes the head; without a stored head, returns an empty head at position 0."""
    return HeadItem(item.mod_revision, decode(item.value, Head)) if item else HeadItem(0, Head())

"""Bills in the key-value service: compressed segments, and for each source a cursor.

A segment and the cursor of its source move in one transaction that compares the cursor, so that
whoever stores the bills of a source, and however often, each is stored once.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from mastickeel.errors import StoreOutcomeUnknownError, StoreUnavailableError
from mastickeel.keyvalue import Compare, Get, Put
from mastickeel_router.billing.journal import JournalEntry  # noqa: TC001 (msgspec reads it)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from mastickeel.keyvalue import KeyValueClient

MAX_SEGMENT_BYTES = 256 * 1024
"""The most that a segment holds before it is compressed."""
MAX_SEGMENT_SPAN_MS = 3_600_000
"""The longest time between the earliest and the latest bill of a segment."""
MAX_SEGMENT_ENTRIES = 2_000
SEGMENTS_PER_READ = 16
MAX_CURSOR_ATTEMPTS = 4
TIME_DIGITS = 15
SEQUENCE_DIGITS = 12


@dataclass(frozen=True)
class Segment:
    """Consecutive bills of one source."""

    source: str
    entries: tuple[JournalEntry, ...]


class SegmentStore:
    """Writes and reads the segments of a deployment."""

    def __init__(self, store: KeyValueClient, prefix: str) -> None:
        """Makes the store.

        Args:
            store: The key-value service.
            prefix: What all keys of this deployment begin with.
        """
        self._store = store
        self._segments = f"{prefix}/bills/segments/"
        self._cursors = f"{prefix}/bills/cursors/"

    async def append(self, source: str, entries: Sequence[JournalEntry]) -> int:
        """Stores as many entries as fit one segment, leaving out those stored already.

        Args:
            source: Whose bills they are.
            entries: Consecutive entries.

        Returns:
            The last sequence of the source that is stored now.

        Raises:
            StoreError: When it is not known to be stored; append the same entries again.
        """
        cursor = entries[0].sequence - 1
        for _ in range(MAX_CURSOR_ATTEMPTS):
            batch = _fitting([entry for entry in entries if entry.sequence > cursor])
            if not batch:
                return cursor
            found = await self._move(source, cursor, batch)
            if found is None:
                return batch[-1].sequence
            cursor = found
        raise StoreUnavailableError(f"The cursor of {source} moved at each attempt.")

    async def read(self, from_ms: int, to_ms: int) -> AsyncIterator[Segment]:
        """Reads the segments that may hold bills of a period.

        Args:
            from_ms: The period's first moment, calendar time.
            to_ms: The first moment after it.

        Yields:
            Each segment.

        Raises:
            StoreError: When the read did not succeed.
        """
        start = self._segments + _digits(max(0, from_ms - MAX_SEGMENT_SPAN_MS), TIME_DIGITS)
        end = self._segments + _digits(to_ms, TIME_DIGITS)
        while True:
            page = await self._store.range(
                self._segments, prefix=True, start=start, limit=SEGMENTS_PER_READ
            )
            for item in page.items:
                if item.key >= end:
                    return
                yield msgspec.msgpack.decode(zlib.decompress(item.value), type=Segment)
            if not page.more:
                return
            start = page.items[-1].key + "\0"

    async def _move(self, source: str, cursor: int, batch: list[JournalEntry]) -> int | None:
        """Stores a batch if the cursor is where it was expected; else returns where it is."""
        key = f"{self._cursors}{source}"
        expected = Compare(key, "VALUE", b"%d" % cursor) if cursor else Compare(key, "CREATE", 0)
        last = batch[-1].sequence
        steps = (
            Put(self._segment_key(source, batch), _encode(source, batch)),
            Put(key, b"%d" % last),
        )
        try:
            result = await self._store.txn((expected,), steps, (Get(key),))
        except StoreOutcomeUnknownError:
            # The cursor tells whether the transaction took effect.
            kept = await self._store.get(key)
            return int(kept.value) if kept else 0
        if result.succeeded:
            return None
        return int(result.found[0].value) if result.found else 0

    def _segment_key(self, source: str, batch: list[JournalEntry]) -> str:
        """Returns a key that begins with the time of the earliest bill."""
        earliest_ms = min(entry.decode_bill().at_ms for entry in batch)
        first = _digits(batch[0].sequence, SEQUENCE_DIGITS)
        return f"{self._segments}{_digits(earliest_ms, TIME_DIGITS)}/{source}/{first}"


def _fitting(entries: list[JournalEntry]) -> list[JournalEntry]:
    """Returns the first entries that one segment may hold."""
    batch: list[JournalEntry] = []
    size = 0
    earliest = latest = entries[0].decode_bill().at_ms if entries else 0
    for entry in entries[:MAX_SEGMENT_ENTRIES]:
        at_ms = entry.decode_bill().at_ms
        earliest, latest = min(earliest, at_ms), max(latest, at_ms)
        size += len(entry.data)
        if batch and (size > MAX_SEGMENT_BYTES or latest - earliest > MAX_SEGMENT_SPAN_MS):
            break
        batch.append(entry)
    return batch


def _encode(source: str, batch: list[JournalEntry]) -> bytes:
    """Encodes a segment."""
    return zlib.compress(msgspec.msgpack.encode(Segment(source, tuple(batch))))


def _digits(number: int, width: int) -> str:
    """Writes a number so that keys sort as numbers do."""
    return str(number).zfill(width)

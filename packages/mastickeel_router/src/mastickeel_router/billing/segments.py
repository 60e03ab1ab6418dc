"""Bills in the key-value service: compressed segments, and a cursor per source.

The cursor of a source is its last stored sequence. One transaction compares the cursor, moves it
and writes the segment, so each bill is stored once, whichever instances store the bills of a source
and however often they try.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from mastickeel.decoding import decode_msgpack
from mastickeel.errors import StoreOutcomeUnknownError, StoreUnavailableError
from mastickeel.keyvalue import Compare, Get, Put
from mastickeel_router.billing.journal import JournalEntry  # noqa: TC001 (msgspec reads it)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from mastickeel.keyvalue import KeyValueClient

MAX_SEGMENT_BYTES = 256 * 1024
"""Maximum size of a segment before compression."""
MAX_SEGMENT_SPAN_MS = 3_600_000
"""Maximum time between the earliest and the latest bill of a segment."""
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
        """Creates the segment store.

        Args:
            store: The key-value service.
            prefix: Prefix of all keys of this deployment.
        """
        self._store = store
        self._segments_prefix = f"{prefix}/bills/segments/"
        self._cursors_prefix = f"{prefix}/bills/cursors/"

    async def append(self, source: str, entries: Sequence[JournalEntry]) -> int:
        """Stores as many entries as fit into one segment, skipping entries already stored.

        Args:
            source: Id of the source.
            entries: Consecutive entries of the source.

        Returns:
            The last stored sequence of the source.

        Raises:
            StoreError: If the write is not confirmed; append the same entries again.
        """
        cursor = entries[0].sequence - 1
        for _ in range(MAX_CURSOR_ATTEMPTS):
            batch = _take_batch([entry for entry in entries if entry.sequence > cursor])
            if not batch:
                return cursor
            actual_cursor = await self._store_batch(source, cursor, batch)
            if actual_cursor is None:
                return batch[-1].sequence
            cursor = actual_cursor
        raise StoreUnavailableError(
            f"The cursor of {source} was moved concurrently at each attempt."
        )

    async def read(self, from_ms: int, to_ms: int) -> AsyncIterator[Segment]:
        """Reads the segments that may hold bills of a period.

        Args:
            from_ms: Start of the period, wall-clock time.
            to_ms: End of the period, exclusive.

        Yields:
            Each segment; it may also hold bills outside the period.

        Raises:
            StoreError: If the read failed.
        """
        start = self._segments_prefix + _pad_number(
            max(0, from_ms - MAX_SEGMENT_SPAN_MS), TIME_DIGITS
        )
        end = self._segments_prefix + _pad_number(to_ms, TIME_DIGITS)
        while True:
            page = await self._store.range(
                self._segments_prefix, prefix=True, start=start, limit=SEGMENTS_PER_READ
            )
            for item in page.items:
                if item.key >= end:
                    return
                yield decode_msgpack(zlib.decompress(item.value), Segment)
            if not page.more:
                return
            start = page.items[-1].key + "\0"

    async def _store_batch(self, source: str, cursor: int, batch: list[JournalEntry]) -> int | None:
        """Stores a batch if the cursor has the expected value, else returns the actual cursor."""
        key = f"{self._cursors_prefix}{source}"
        expected = Compare(key, "VALUE", b"%d" % cursor) if cursor else Compare(key, "CREATE", 0)
        last = batch[-1].sequence
        puts = (
            Put(self._segment_key(source, batch), _encode_segment(source, batch)),
            Put(key, b"%d" % last),
        )
        try:
            result = await self._store.txn((expected,), puts, (Get(key),))
        except StoreOutcomeUnknownError:
            # The cursor shows whether the transaction took effect.
            stored_cursor = await self._store.get(key)
            return int(stored_cursor.value) if stored_cursor else 0
        if result.succeeded:
            return None
        return int(result.found[0].value) if result.found else 0

    def _segment_key(self, source: str, batch: list[JournalEntry]) -> str:
        """Returns the key of a segment, which starts with the time of its earliest bill."""
        earliest_ms = min(entry.decode_bill().at_ms for entry in batch)
        first = _pad_number(batch[0].sequence, SEQUENCE_DIGITS)
        return f"{self._segments_prefix}{_pad_number(earliest_ms, TIME_DIGITS)}/{source}/{first}"


def _take_batch(entries: list[JournalEntry]) -> list[JournalEntry]:
    """Returns the first entries, as many as fit into one segment."""
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


def _encode_segment(source: str, batch: list[JournalEntry]) -> bytes:
    """Returns a segment encoded and compressed."""
    return zlib.compress(msgspec.msgpack.encode(Segment(source, tuple(batch))))


def _pad_number(number: int, width: int) -> str:
    """Returns a number with leading zeros, so that keys sort numerically."""
    return str(number).zfill(width)

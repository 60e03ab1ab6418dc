"""Journal of one source: its bills in order, until they are in the key-value service."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from mastickeel.decoding import decode_msgpack
from mastickeel_router.requests import Bill

if TYPE_CHECKING:
    from collections.abc import Iterable

ENTRY_OVERHEAD_BYTES = 120
"""Memory used by an entry besides its data."""


@dataclass(frozen=True)
class JournalEntry:
    """A bill with its sequence among the bills of its source."""

    sequence: int
    """Position in the journal of the source, from 1 and without gaps."""
    data: bytes
    """Encoded bill."""

    def decode_bill(self) -> Bill:
        """Decodes and returns the bill."""
        return decode_msgpack(self.data, Bill)

    @property
    def size_bytes(self) -> int:
        """Memory used by the entry."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES


def encode_bill(bill: Bill) -> bytes:
    """Returns a bill encoded for a journal."""
    return msgspec.msgpack.encode(bill)


class Journal:
    """Entries of one source after the last stored sequence, without gaps."""

    def __init__(self, source: str, stored_sequence: int = 0) -> None:
        """Creates an empty journal.

        Args:
            source: Id of the source.
            stored_sequence: Last sequence stored in the key-value service.
        """
        self.source = source
        """Id of the source, which is one run of an instance."""
        self.stored_sequence = stored_sequence
        """Last sequence known to be stored in the key-value service."""
        self.size_bytes = 0
        """Memory used by the entries."""
        self._entries: deque[JournalEntry] = deque()

    @property
    def last_sequence(self) -> int:
        """Last sequence in the journal, or the last stored sequence if the journal is empty."""
        return self._entries[-1].sequence if self._entries else self.stored_sequence

    def __len__(self) -> int:
        return len(self._entries)

    def append(self, data: bytes) -> JournalEntry:
        """Appends an encoded bill; returns its entry."""
        entry = JournalEntry(self.last_sequence + 1, data)
        self._add(entry)
        return entry

    def extend(self, entries: Iterable[JournalEntry]) -> None:
        """Appends entries that continue the journal; ignores duplicates and entries after a gap."""
        for entry in entries:
            if entry.sequence == self.last_sequence + 1:
                self._add(entry)

    def entries_after(self, sequence: int, limit: int) -> tuple[JournalEntry, ...]:
        """Returns up to ``limit`` entries after a sequence."""
        if not self._entries:
            return ()
        start = max(0, sequence + 1 - self._entries[0].sequence)
        stop = min(len(self._entries), start + limit)
        return tuple(self._entries[index] for index in range(start, stop))

    def drop_through(self, sequence: int) -> None:
        """Drops the entries that are stored in the key-value service.

        Args:
            sequence: Last stored sequence.
        """
        while self._entries and self._entries[0].sequence <= sequence:
            self.size_bytes -= self._entries.popleft().size_bytes
        self.stored_sequence = max(self.stored_sequence, sequence)

    def _add(self, entry: JournalEntry) -> None:
        self._entries.append(entry)
        self.size_bytes += entry.size_bytes

"""The bills of one source in order, until the key-value service has them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from mastickeel_router.requests import Bill

if TYPE_CHECKING:
    from collections.abc import Iterable

ENTRY_OVERHEAD_BYTES = 120
"""What an entry takes in memory besides its data."""


@dataclass(frozen=True)
class JournalEntry:
    """A bill with its place among the bills of its source."""

    sequence: int
    """1 for the first bill of a source, without gaps."""
    data: bytes
    """The bill, encoded."""

    def decode_bill(self) -> Bill:
        """Returns the bill."""
        return msgspec.msgpack.decode(self.data, type=Bill)

    @property
    def size_bytes(self) -> int:
        """The bytes that the entry takes in memory."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES


def encode_bill(bill: Bill) -> bytes:
    """Encodes a bill for a journal."""
    return msgspec.msgpack.encode(bill)


class Journal:
    """The entries of one source that follow what is stored, without gaps."""

    def __init__(self, source: str, stored: int = 0) -> None:
        """Makes an empty journal.

        Args:
            source: Whose bills these are.
            stored: The last sequence that the key-value service has.
        """
        self.source = source
        """Whose bills these are: one run of one instance."""
        self.stored_sequence = stored
        """The last sequence that the key-value service is known to have."""
        self.size_bytes = 0
        """What the entries take in memory."""
        self._entries: deque[JournalEntry] = deque()

    @property
    def last_sequence(self) -> int:
        """The last sequence that is stored or held here."""
        return self._entries[-1].sequence if self._entries else self.stored_sequence

    def __len__(self) -> int:
        return len(self._entries)

    def append(self, data: bytes) -> JournalEntry:
        """Adds a bill as the next entry."""
        entry = JournalEntry(self.last_sequence + 1, data)
        self._add(entry)
        return entry

    def extend(self, entries: Iterable[JournalEntry]) -> None:
        """Adds the entries that continue this journal; known ones and those past a gap are not."""
        for entry in entries:
            if entry.sequence == self.last_sequence + 1:
                self._add(entry)

    def entries_after(self, sequence: int, limit: int) -> tuple[JournalEntry, ...]:
        """Returns up to ``limit`` entries that follow a sequence."""
        if not self._entries:
            return ()
        start = max(0, sequence + 1 - self._entries[0].sequence)
        stop = min(len(self._entries), start + limit)
        return tuple(self._entries[index] for index in range(start, stop))

    def drop_through(self, sequence: int) -> None:
        """Forgets the entries that the key-value service has.

        Args:
            sequence: The last one that it has.
        """
        while self._entries and self._entries[0].sequence <= sequence:
            self.size_bytes -= self._entries.popleft().size_bytes
        self.stored_sequence = max(self.stored_sequence, sequence)

    def _add(self, entry: JournalEntry) -> None:
        self._entries.append(entry)
        self.size_bytes += entry.size_bytes

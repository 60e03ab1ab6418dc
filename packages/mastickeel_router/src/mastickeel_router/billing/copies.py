"""Copies that this instance holds of other sources' journals, and their storing after a crash."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.errors import StoreError, UnavailableError
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.peers import message
from mastickeel_router.billing.journal import Journal, JournalEntry
from mastickeel_router.billing.segments import MAX_SEGMENT_ENTRIES

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel_router.billing.segments import SegmentStore

MAX_COPIES_BYTES = 8 * 1024 * 1024
"""All copies together; past it the sources turn to other peers."""
CHECK_INTERVAL_MS = 2_000
GONE_AFTER_MS = 5_000
"""How long a source that has left the members must have been silent."""
SILENT_AFTER_MS = 180_000
"""How long a member must have been silent before its copies are stored for it."""

BILLS_TAKEN_OVER = define_event(
    1600, "bills_taken_over", "info", "Bills of a source that is gone or cut off were stored."
)


@message("bills.append")
@dataclass(frozen=True)
class JournalAppendRequest:
    """Entries that a source asks a peer to keep until they are stored."""

    source: str
    stored: int
    """The last sequence that the source knows to be stored."""
    entries: tuple[JournalEntry, ...]


@message("bills.held")
@dataclass(frozen=True)
class JournalAppendReply:
    """The reply to JournalAppend: how far the peer's copy goes."""

    last: int
    """The last sequence held or stored; the next append continues after it."""
    stored: int
    """The last sequence that the peer knows to be stored."""


@message("bills.stored")
@dataclass(frozen=True)
class JournalStoredNotice:
    """Tells those who hold copies how far a source's bills are stored."""

    source: str
    stored: int


@dataclass
class JournalCopy:
    """A copy of one source's journal."""

    instance_id: str
    """The instance whose source it is."""
    journal: Journal
    last_contact_ms: int
    """When the source last sent anything."""


class JournalCopies:
    """The copies that this instance holds."""

    def __init__(
        self, segments: SegmentStore, clock: Clock, is_member: Callable[[str], bool]
    ) -> None:
        """Makes an empty table.

        Args:
            segments: Where bills are stored.
            clock: Times the silence of sources.
            is_member: Whether an instance is in the fleet.
        """
        self.copies_by_source: dict[str, JournalCopy] = {}
        """The copies, by source."""
        self._segments = segments
        self._clock = clock
        self._is_member = is_member

    @property
    def size_bytes(self) -> int:
        """What all copies take in memory."""
        return sum(copy.journal.size_bytes for copy in self.copies_by_source.values())

    async def on_journal_append(
        self, sender: str, request: JournalAppendRequest
    ) -> JournalAppendReply:
        """Keeps entries of a source.

        Args:
            sender: The source's instance.
            request: The entries.

        Returns:
            How far the copy goes now.

        Raises:
            UnavailableError: When the copies take all the memory that they may.
        """
        copy = self._copy_of(sender, request.source, request.stored)
        copy.last_contact_ms = self._clock.now()
        journal = copy.journal
        journal.drop_through(request.stored)
        if request.entries and self.size_bytes > MAX_COPIES_BYTES:
            raise UnavailableError("The copies of bills take all the memory that they may.")
        journal.extend(request.entries)
        return JournalAppendReply(journal.last_sequence, journal.stored_sequence)

    async def on_journal_stored(self, sender: str, notice: JournalStoredNotice) -> None:
        """Forgets what is stored."""
        copy = self.copies_by_source.get(notice.source)
        if copy is None:
            return
        copy.last_contact_ms = self._clock.now()
        copy.journal.drop_through(notice.stored)

    async def run_takeover(self) -> None:
        """Stores the bills of sources that are gone or cut off, for as long as the router runs."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            try:
                await self.store_abandoned()
            except StoreError:
                continue

    async def store_abandoned(self) -> None:
        """Stores the copies whose sources cannot be counted on to do so.

        Raises:
            StoreError: When the key-value service does not take them; they are kept.
        """
        for source, copy in list(self.copies_by_source.items()):
            silent_ms = self._clock.now() - copy.last_contact_ms
            gone = not self._is_member(copy.instance_id) and silent_ms >= GONE_AFTER_MS
            if gone or silent_ms >= SILENT_AFTER_MS:
                await self._store(source, copy)

    async def _store(self, source: str, copy: JournalCopy) -> None:
        """Stores one copy and drops it when nothing is left."""
        journal = copy.journal
        count = len(journal)
        while entries := journal.entries_after(journal.stored_sequence, MAX_SEGMENT_ENTRIES):
            journal.drop_through(await self._segments.append(source, entries))
        if count:
            log(BILLS_TAKEN_OVER, source=source, bills=count)
        self.copies_by_source.pop(source, None)

    def _copy_of(self, instance_id: str, source: str, stored: int) -> JournalCopy:
        """Returns the copy of a source, begun after what is stored."""
        copy = self.copies_by_source.get(source)
        if copy is None:
            copy = JournalCopy(instance_id, Journal(source, stored), self._clock.now())
            self.copies_by_source[source] = copy
        return copy

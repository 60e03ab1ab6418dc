"""Copies of the journals of other sources, whose bills are stored if the source is gone or cut off.

A source is one run of an instance: an instance that restarts is a new source.
"""

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
"""Memory limit of all copies; beyond it, sources choose other peers."""
CHECK_INTERVAL_MS = 2_000
GONE_AFTER_MS = 5_000
"""Silence after which the bills of a source that is no longer a member are stored."""
SILENT_AFTER_MS = 180_000
"""Silence after which the bills of a member are stored on its behalf."""

BILLS_TAKEN_OVER = define_event(
    1600,
    "bills_taken_over",
    "info",
    "Bills of another instance that is gone or cut off were stored from this instance's copy.",
)


@message("bills.append")
@dataclass(frozen=True)
class JournalAppendRequest:
    """Request to keep entries of a source until they are stored."""

    source: str
    stored: int
    """Last sequence that the source knows to be stored."""
    entries: tuple[JournalEntry, ...]


@message("bills.held")
@dataclass(frozen=True)
class JournalAppendReply:
    """Reply to JournalAppendRequest: the state of the peer's copy."""

    last: int
    """Last sequence copied or stored; the next request continues after it."""
    stored: int
    """Last sequence that the peer knows to be stored."""


@message("bills.stored")
@dataclass(frozen=True)
class JournalStoredNotice:
    """Notice to the peers with copies of the last stored sequence of a source."""

    source: str
    stored: int


@dataclass
class JournalCopy:
    """Copy of one source's journal."""

    instance_id: str
    """Instance that the source belongs to."""
    journal: Journal
    last_contact_ms: int
    """Time of the last message from the source."""


class JournalCopies:
    """Keeps copies of other sources' journals on this instance."""

    def __init__(
        self, segments: SegmentStore, clock: Clock, is_member: Callable[[str], bool]
    ) -> None:
        """Creates the table of copies, which starts empty.

        Args:
            segments: Store of the segments of bills.
            clock: Times the silence of sources.
            is_member: Returns whether the instance with an id is in the fleet.
        """
        self.copies_by_source: dict[str, JournalCopy] = {}
        """Copies, by source."""
        self._segments = segments
        self._clock = clock
        self._is_member = is_member

    @property
    def size_bytes(self) -> int:
        """Memory used by all copies."""
        return sum(copy.journal.size_bytes for copy in self.copies_by_source.values())

    async def on_journal_append(
        self, sender: str, request: JournalAppendRequest
    ) -> JournalAppendReply:
        """Adds entries to the copy of a source.

        Args:
            sender: The instance that the source belongs to.
            request: The entries.

        Returns:
            The last copied and the last stored sequence.

        Raises:
            UnavailableError: If the copies exceed MAX_COPIES_BYTES.
        """
        copy = self._find_or_create(sender, request.source, request.stored)
        copy.last_contact_ms = self._clock.now()
        journal = copy.journal
        journal.drop_through(request.stored)
        if request.entries and self.size_bytes > MAX_COPIES_BYTES:
            raise UnavailableError("The copies of bills have reached their memory limit.")
        journal.extend(request.entries)
        return JournalAppendReply(journal.last_sequence, journal.stored_sequence)

    async def on_journal_stored(self, sender: str, notice: JournalStoredNotice) -> None:
        """Drops the entries of a copy that are stored."""
        copy = self.copies_by_source.get(notice.source)
        if copy is None:
            return
        copy.last_contact_ms = self._clock.now()
        copy.journal.drop_through(notice.stored)

    async def run_takeover(self) -> None:
        """Stores the bills of sources that are gone or cut off periodically until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            try:
                await self.store_abandoned()
            except StoreError:
                continue

    async def store_abandoned(self) -> None:
        """Stores the copies of sources that are gone or cut off.

        Raises:
            StoreError: If the key-value service did not confirm the write; the copies are kept.
        """
        for source, copy in list(self.copies_by_source.items()):
            silent_ms = self._clock.now() - copy.last_contact_ms
            source_gone = not self._is_member(copy.instance_id) and silent_ms >= GONE_AFTER_MS
            if source_gone or silent_ms >= SILENT_AFTER_MS:
                await self._store_copy(source, copy)

    async def _store_copy(self, source: str, copy: JournalCopy) -> None:
        """Stores all entries of one copy and removes the copy."""
        journal = copy.journal
        count = len(journal)
        while entries := journal.entries_after(journal.stored_sequence, MAX_SEGMENT_ENTRIES):
            journal.drop_through(await self._segments.append(source, entries))
        if count:
            log(BILLS_TAKEN_OVER, source=source, bills=count)
        self.copies_by_source.pop(source, None)

    def _find_or_create(self, instance_id: str, source: str, stored_sequence: int) -> JournalCopy:
        """Returns the copy of a source; a new copy starts after the last stored sequence."""
        copy = self.copies_by_source.get(source)
        if copy is None:
            copy = JournalCopy(instance_id, Journal(source, stored_sequence), self._clock.now())
            self.copies_by_source[source] = copy
        return copy

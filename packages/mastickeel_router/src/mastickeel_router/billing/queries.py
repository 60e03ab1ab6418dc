"""Queries for bills in the key-value service and in the journals of the fleet."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import msgspec

from mastickeel.errors import MastickeelError
from mastickeel.model import DAY_MS
from mastickeel.peers import message
from mastickeel_router.billing.journal import JournalEntry  # noqa: TC001 (msgspec reads it)
from mastickeel_router.tables import Table

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from mastickeel.peers import PeerLink
    from mastickeel_router.billing.copies import JournalCopies
    from mastickeel_router.billing.journal import Journal
    from mastickeel_router.billing.segments import SegmentStore
    from mastickeel_router.membership import Members
    from mastickeel_router.requests import Bill

REQUEST_TIMEOUT_MS = 2_000
MAX_REPLY_ENTRIES = 2_000
"""Maximum number of entries in a reply, which must fit into one message."""
COLUMNS = ("account", "day", "bills", "prompt_tokens", "completion_tokens", "cost_micros")


@dataclass(frozen=True)
class SourceEntries:
    """Entries of one source that may not be stored yet."""

    source: str
    entries: tuple[JournalEntry, ...]


@message("bills.pending")
@dataclass(frozen=True)
class PendingBillsRequest:
    """Request to a peer for the bills in its journals that may not be stored yet."""

    after_by_source: dict[str, int]
    """Last sequence that the requesting instance already has, by source."""


@message("bills.pending_reply")
@dataclass(frozen=True)
class PendingBillsReply:
    """Reply to PendingBillsRequest."""

    sources: tuple[SourceEntries, ...]
    more: bool
    """Whether there are more entries, to be requested with an updated ``after_by_source``."""


@dataclass(frozen=True)
class ExportSummary:
    """Last line of an export."""

    account_id: str
    from_ms: int
    to_ms: int
    bills: int
    cost: int
    """Sum of the costs, in micros."""
    complete: bool
    """Whether every member answered the request for bills that are not stored yet."""
    not_asked: tuple[str, ...]
    """Ids of the members that did not answer; their latest bills may be missing."""


class BillQueries:
    """Finds bills in the store, in the local journals and at the other members."""

    def __init__(
        self,
        journal: Journal,
        copies: JournalCopies,
        segments: SegmentStore,
        link: PeerLink,
        members: Callable[[], Members],
    ) -> None:
        """Creates the queries.

        Args:
            journal: Journal of this instance.
            copies: Copies of the journals of other sources.
            segments: Store of the segments of bills.
            link: Connects to the other members.
            members: Returns the fleet members.
        """
        self._journal = journal
        self._copies = copies
        self._segments = segments
        self._link = link
        self._members = members

    async def on_pending_bills_request(
        self, sender: str, request: PendingBillsRequest
    ) -> PendingBillsReply:
        """Returns the entries in the local journals that the requesting instance lacks."""
        remaining = MAX_REPLY_ENTRIES
        sources = []
        for journal in self._journals():
            after = request.after_by_source.get(journal.source, 0)
            entries = journal.entries_after(max(after, journal.stored_sequence), remaining)
            if entries:
                sources.append(SourceEntries(journal.source, entries))
                remaining -= len(entries)
            if not remaining:
                return PendingBillsReply(tuple(sources), more=True)
        return PendingBillsReply(tuple(sources), more=False)

    async def find_bills(
        self, account_id: str | None, from_ms: int, to_ms: int, unreachable: list[str] | None = None
    ) -> AsyncIterator[Bill]:
        """Finds the bills of a period.

        Bills that are not stored are read first, so that a bill that is stored in between is still
        found; a bill that is found twice is yielded once.

        Args:
            account_id: The client account; None for all.
            from_ms: Start of the period, wall-clock time.
            to_ms: End of the period, exclusive.
            unreachable: List to which the ids of members that did not answer are added.

        Yields:
            Each bill once.

        Raises:
            StoreError: If the stored bills could not be read.
        """
        pending = await self._collect_pending([] if unreachable is None else unreachable)

        def matches(bill: Bill) -> bool:
            return from_ms <= bill.at_ms < to_ms and account_id in (None, bill.account_id)

        async for segment in self._segments.read(from_ms, to_ms):
            for entry in segment.entries:
                pending.get(segment.source, {}).pop(entry.sequence, None)
                bill = entry.decode_bill()
                if matches(bill):
                    yield bill
        for entries_by_sequence in pending.values():
            for entry in entries_by_sequence.values():
                bill = entry.decode_bill()
                if matches(bill):
                    yield bill

    async def export(self, account_id: str, from_ms: int, to_ms: int) -> AsyncIterator[bytes]:
        """Exports the bills of a period as JSON lines, with a summary as the last line."""
        count = cost = 0
        unreachable: list[str] = []
        async for bill in self.find_bills(account_id, from_ms, to_ms, unreachable):
            count += 1
            cost += bill.cost
            yield msgspec.json.encode({**asdict(bill), "cost": bill.cost}) + b"\n"
        total = ExportSummary(
            account_id, from_ms, to_ms, count, cost, not unreachable, tuple(unreachable)
        )
        yield msgspec.json.encode(total) + b"\n"

    async def table(self, now_ms: int) -> Table:
        """Returns the totals of each account for today and yesterday (UTC)."""
        today_ms = now_ms - now_ms % DAY_MS
        sums: dict[tuple[str, int], list[int]] = defaultdict(lambda: [0, 0, 0, 0])
        async for bill in self.find_bills(None, today_ms - DAY_MS, today_ms + DAY_MS):
            row = sums[bill.account_id, bill.at_ms // DAY_MS]
            row[0] += 1
            row[1] += sum(run.usage.prompt_tokens for run in bill.runs)
            row[2] += sum(run.usage.completion_tokens for run in bill.runs)
            row[3] += bill.cost
        return Table(COLUMNS, tuple((*key, *row) for key, row in sorted(sums.items())))

    async def _collect_pending(self, unreachable: list[str]) -> dict[str, dict[int, JournalEntry]]:
        """Collects the entries that may not be stored yet from all members."""
        entries_by_source: dict[str, dict[int, JournalEntry]] = defaultdict(dict)
        for journal in self._journals():
            for entry in journal.entries_after(journal.stored_sequence, len(journal)):
                entries_by_source[journal.source][entry.sequence] = entry
        peers = list(self._members().members_by_id)
        await asyncio.gather(
            *(self._collect_from(peer_id, entries_by_source, unreachable) for peer_id in peers)
        )
        return entries_by_source

    async def _collect_from(
        self,
        peer_id: str,
        entries_by_source: dict[str, dict[int, JournalEntry]],
        unreachable: list[str],
    ) -> None:
        """Adds the entries of one member, or its id to ``unreachable`` if it does not answer."""
        after_by_source: dict[str, int] = {}
        more = True
        while more:
            try:
                request = PendingBillsRequest(after_by_source)
                reply = await self._link.request(
                    peer_id, request, PendingBillsReply, REQUEST_TIMEOUT_MS
                )
            except MastickeelError:
                unreachable.append(peer_id)
                return
            more = reply.more
            for source_entries in reply.sources:
                after_by_source[source_entries.source] = source_entries.entries[-1].sequence
                entries_by_source[source_entries.source].update(
                    {entry.sequence: entry for entry in source_entries.entries}
                )

    def _journals(self) -> list[Journal]:
        """Returns the journal of this instance and its copies of other journals."""
        return [self._journal, *(copy.journal for copy in self._copies.copies_by_source.values())]

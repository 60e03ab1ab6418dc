"""Finds the bills of an account and period, stored or still with their sources."""

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
"""The most entries in one reply, which must fit a message."""
COLUMNS = ("account", "day", "bills", "prompt_tokens", "completion_tokens", "cost_micros")


@dataclass(frozen=True)
class SourceEntries:
    """Entries of one source that may not be stored yet."""

    source: str
    entries: tuple[JournalEntry, ...]


@message("bills.pending")
@dataclass(frozen=True)
class PendingBillsRequest:
    """Asks a peer for the bills that it holds and that may not be stored yet."""

    after_by_source: dict[str, int]
    """What the asker has of each source already."""


@message("bills.pending_reply")
@dataclass(frozen=True)
class PendingBillsReply:
    """The reply to PendingAsk."""

    sources: tuple[SourceEntries, ...]
    more: bool
    """Whether there are more; ask again with what has come."""


@dataclass(frozen=True)
class ExportSummary:
    """The last line of an export."""

    account_id: str
    from_ms: int
    to_ms: int
    bills: int
    cost: int
    """Micros."""
    complete: bool
    """Whether every member could be asked for bills that are not stored yet."""
    not_asked: tuple[str, ...]
    """Members that did not answer; their last bills may be missing."""


class BillQueries:
    """Reads bills wherever they are."""

    def __init__(
        self,
        journal: Journal,
        copies: JournalCopies,
        segments: SegmentStore,
        link: PeerLink,
        members: Callable[[], Members],
    ) -> None:
        """Makes the queries.

        Args:
            journal: The bills of this instance that are not stored.
            copies: The copies that it holds for others.
            segments: What is stored.
            link: Reaches the peers.
            members: The fleet.
        """
        self._journal = journal
        self._copies = copies
        self._segments = segments
        self._link = link
        self._members = members

    async def on_pending_bills_request(
        self, sender: str, request: PendingBillsRequest
    ) -> PendingBillsReply:
        """Gives the entries that this instance holds and the asker lacks."""
        room = MAX_REPLY_ENTRIES
        found = []
        for journal in self._held():
            after = request.after_by_source.get(journal.source, 0)
            entries = journal.entries_after(max(after, journal.stored_sequence), room)
            if entries:
                found.append(SourceEntries(journal.source, entries))
                room -= len(entries)
            if not room:
                return PendingBillsReply(tuple(found), more=True)
        return PendingBillsReply(tuple(found), more=False)

    async def find_bills(
        self, account_id: str | None, from_ms: int, to_ms: int, unreachable: list[str] | None = None
    ) -> AsyncIterator[Bill]:
        """Finds the bills of a period.

        What is not stored is read first: a bill that moves to the store in between is found
        there, and one that is found twice is given once.

        Args:
            account_id: The client account; None for all.
            from_ms: The period's first moment, calendar time.
            to_ms: The first moment after it.
            unreachable: Gets the members that did not answer.

        Yields:
            Each bill once.

        Raises:
            StoreError: When what is stored could not be read.
        """
        pending = await self._pending([] if unreachable is None else unreachable)

        def wanted(bill: Bill) -> bool:
            return from_ms <= bill.at_ms < to_ms and account_id in (None, bill.account_id)

        async for segment in self._segments.read(from_ms, to_ms):
            for entry in segment.entries:
                pending.get(segment.source, {}).pop(entry.sequence, None)
                bill = entry.decode_bill()
                if wanted(bill):
                    yield bill
        for entries_by_sequence in pending.values():
            for entry in entries_by_sequence.values():
                bill = entry.decode_bill()
                if wanted(bill):
                    yield bill

    async def export(self, account_id: str, from_ms: int, to_ms: int) -> AsyncIterator[bytes]:
        """Gives the bills of a period as JSON lines, and a last line with their sum."""
        count = cost = 0
        silent: list[str] = []
        async for bill in self.find_bills(account_id, from_ms, to_ms, silent):
            count += 1
            cost += bill.cost
            yield msgspec.json.encode({**asdict(bill), "cost": bill.cost}) + b"\n"
        total = ExportSummary(account_id, from_ms, to_ms, count, cost, not silent, tuple(silent))
        yield msgspec.json.encode(total) + b"\n"

    async def table(self, now_ms: int) -> Table:
        """Returns the sums of each account for today and yesterday, in universal time."""
        today_ms = now_ms - now_ms % DAY_MS
        sums: dict[tuple[str, int], list[int]] = defaultdict(lambda: [0, 0, 0, 0])
        async for bill in self.find_bills(None, today_ms - DAY_MS, today_ms + DAY_MS):
            row = sums[bill.account_id, bill.at_ms // DAY_MS]
            row[0] += 1
            row[1] += sum(run.usage.prompt_tokens for run in bill.runs)
            row[2] += sum(run.usage.completion_tokens for run in bill.runs)
            row[3] += bill.cost
        return Table(COLUMNS, tuple((*key, *row) for key, row in sorted(sums.items())))

    async def _pending(self, silent: list[str]) -> dict[str, dict[int, JournalEntry]]:
        """Gathers what may not be stored from all members."""
        found: dict[str, dict[int, JournalEntry]] = defaultdict(dict)
        for journal in self._held():
            for entry in journal.entries_after(journal.stored_sequence, len(journal)):
                found[journal.source][entry.sequence] = entry
        peers = list(self._members().members_by_id)
        await asyncio.gather(*(self._ask(peer_id, found, silent) for peer_id in peers))
        return found

    async def _ask(
        self, peer_id: str, found: dict[str, dict[int, JournalEntry]], silent: list[str]
    ) -> None:
        """Adds what one member holds."""
        after_by_source: dict[str, int] = {}
        more = True
        while more:
            try:
                ask = PendingBillsRequest(after_by_source)
                reply = await self._link.request(
                    peer_id, ask, PendingBillsReply, REQUEST_TIMEOUT_MS
                )
            except MastickeelError:
                silent.append(peer_id)
                return
            more = reply.more
            for part in reply.sources:
                after_by_source[part.source] = part.entries[-1].sequence
                found[part.source].update({entry.sequence: entry for entry in part.entries})

    def _held(self) -> list[Journal]:
        """Returns this instance's journal and its copies of others."""
        return [self._journal, *(copy.journal for copy in self._copies.copies_by_source.values())]

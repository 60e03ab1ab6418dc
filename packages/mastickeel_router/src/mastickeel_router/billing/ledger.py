"""Ledger: records each bill once and finds the bills of the whole fleet."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from typing import TYPE_CHECKING

from mastickeel.errors import StoreError, UnavailableError
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.tasks import TaskGroup
from mastickeel_router.billing.copies import (
    JournalAppendRequest,
    JournalCopies,
    JournalStoredNotice,
)
from mastickeel_router.billing.journal import Journal, encode_bill
from mastickeel_router.billing.queries import BillQueries, PendingBillsRequest
from mastickeel_router.billing.replication import Replicator
from mastickeel_router.billing.segments import MAX_SEGMENT_ENTRIES, SegmentStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from mastickeel.clock import Clock
    from mastickeel.keyvalue import KeyValueClient
    from mastickeel.metrics import Metrics
    from mastickeel.peers import PeerLink
    from mastickeel_router.membership import Members
    from mastickeel_router.requests import Bill
    from mastickeel_router.tables import Table

FLEET_WRITES_PER_SECOND = 10
"""Target of segment writes per second by the whole fleet, whatever its size."""
FLUSH_INTERVAL_MIN_MS = 1_000
FLUSH_INTERVAL_MAX_MS = 60_000
RECORD_TIMEOUT_MS = 1_000
"""Longest wait for copies at peers before the key-value service is tried."""
MAX_JOURNAL_BYTES = 8 * 1024 * 1024
"""Journal size at which new requests are refused before they run."""
CAPACITY_RETRY_MS = 5_000
CLOSE_RETRY_MS = 500

BILL_AT_RISK = define_event(
    1601,
    "bill_at_risk",
    "error",
    "A bill is only in this instance's memory: no peer or store accepted it; it will be retried.",
)
BILLS_LOST = define_event(
    1602,
    "bills_lost",
    "error",
    "The instance stopped with bills that neither peers nor the store accepted.",
)


class BillLedger:
    """Records the bills of this instance and finds the bills of the whole fleet."""

    def __init__(
        self,
        store: KeyValueClient,
        prefix: str,
        *,
        instance_id: str,
        clock: Clock,
        link: PeerLink,
        members: Callable[[], Members],
        metrics: Metrics,
    ) -> None:
        """Creates the ledger.

        Args:
            store: The key-value service.
            prefix: Prefix of all keys of this deployment.
            instance_id: Id of this instance.
            clock: Times the waits.
            link: Connects to the other members.
            members: Returns the fleet members.
            metrics: Counts recorded bills and bills at risk.
        """
        self.journal = Journal(f"{instance_id}-{secrets.token_hex(4)}")
        """Bills of this run of the instance that are not stored yet."""
        self.segments = SegmentStore(store, prefix)
        """Store of the segments of bills."""
        self.copies = JournalCopies(
            self.segments, clock, lambda member_id: member_id in members().members_by_id
        )
        """Copies of the journals of other sources."""
        self._clock = clock
        self._members = members
        self._metrics = metrics
        self._tasks = TaskGroup()
        self._replicator = Replicator(
            self.journal,
            link=link,
            members=members,
            clock=clock,
            metrics=metrics,
            tasks=self._tasks,
        )
        self._queries = BillQueries(self.journal, self.copies, self.segments, link, members)
        self._sequences_by_id: dict[str, int] = {}
        self._flush_lock = asyncio.Lock()
        link.register_handler(JournalAppendRequest, self.copies.on_journal_append)
        link.register_handler(JournalStoredNotice, self.copies.on_journal_stored)
        link.register_handler(PendingBillsRequest, self._queries.on_pending_bills_request)

    def check_capacity(self) -> None:
        """Checks that one more request can be billed.

        Raises:
            UnavailableError: If the journal has reached MAX_JOURNAL_BYTES.
        """
        if self.journal.size_bytes >= MAX_JOURNAL_BYTES:
            raise UnavailableError(
                "Too many bills are waiting for the key-value service.",
                retry_after_ms=CAPACITY_RETRY_MS,
            )

    async def record(self, bill: Bill) -> None:
        """Records a bill at two peers or in the store; recording the same bill again has no effect.

        If neither accepts the bill in time, it stays in memory and is retried, since the request
        has run.

        Args:
            bill: The bill of a request.
        """
        sequence = self._sequences_by_id.get(bill.id)
        if sequence is None:
            sequence = self.journal.append(encode_bill(bill)).sequence
            self._sequences_by_id[bill.id] = sequence
            self._metrics.count("billing.recorded")
        with contextlib.suppress(TimeoutError):
            if self._replicator.target_copies():
                copied = self._replicator.wait_until_copied(sequence)
                await self._clock.wait_for(copied, RECORD_TIMEOUT_MS)
                return
        with contextlib.suppress(StoreError):
            await self.flush(sequence)
        if self.journal.stored_sequence < sequence and not self._replicator.count_copies(sequence):
            self._metrics.count("billing.at_risk")
            log(BILL_AT_RISK, bill=bill.id, waiting=len(self.journal))

    async def flush(self, through: int | None = None) -> None:
        """Stores the bills of this instance in the key-value service.

        Args:
            through: Last sequence to store; None for all.

        Raises:
            StoreError: If the key-value service did not confirm the write; the bills are kept.
        """
        target = self.journal.last_sequence if through is None else through
        async with self._flush_lock:
            while self.journal.stored_sequence < target:
                entries = self.journal.entries_after(
                    self.journal.stored_sequence, MAX_SEGMENT_ENTRIES
                )
                stored = await self.segments.append(self.journal.source, entries)
                self.journal.drop_through(stored)
                self._replicator.announce_stored()
                self._remove_stored_ids()

    async def run(self) -> None:
        """Stores bills periodically until cancelled."""
        self._tasks.start_supervised(self._clock, "copies of bills", self.copies.run_takeover)
        while True:
            await self._clock.sleep(self.flush_interval_ms())
            self._metrics.gauge("billing.waiting", len(self.journal))
            self._metrics.gauge("billing.copies_bytes", self.copies.size_bytes)
            self._replicator.start_sending()
            with contextlib.suppress(StoreError):
                await self.flush()

    def flush_interval_ms(self) -> int:
        """Returns the flush interval, which grows with the fleet to bound its write rate."""
        share_ms = (len(self._members().members_by_id) + 1) * 1_000 // FLEET_WRITES_PER_SECOND
        return min(FLUSH_INTERVAL_MAX_MS, max(FLUSH_INTERVAL_MIN_MS, share_ms))

    async def close(self, timeout_ms: int) -> None:
        """Writes the last bills to the store, or copies them to two peers if the store fails.

        Args:
            timeout_ms: Longest time to wait.
        """
        with contextlib.suppress(TimeoutError):
            await self._clock.wait_for(self._store_or_replicate(), timeout_ms)
        last = self.journal.last_sequence
        if self.journal.stored_sequence < last and not self._replicator.count_copies(last):
            log(BILLS_LOST, bills=len(self.journal), source=self.journal.source)
        await self._tasks.stop()

    async def abandon(self) -> None:
        """Stops the background tasks without storing bills, as a crash does."""
        await self._tasks.stop()

    async def list_bills(self, account_id: str) -> list[Bill]:
        """Returns all bills of an account, whether stored or not."""
        return [bill async for bill in self._queries.find_bills(account_id, 0, _MAX_TIME_MS)]

    def export(self, account_id: str, from_ms: int, to_ms: int) -> AsyncIterator[bytes]:
        """Exports an account's bills of a period as JSON lines, with a summary as the last line.

        Args:
            account_id: The client account.
            from_ms: Start of the period, wall-clock time.
            to_ms: End of the period, exclusive.

        Returns:
            The lines, each with a trailing newline.
        """
        return self._queries.export(account_id, from_ms, to_ms)

    async def table(self) -> Table:
        """Returns the totals per account and day, for ``show bills``."""
        return await self._queries.table(self._clock.wall())

    async def _store_or_replicate(self) -> None:
        """Stores all bills; while the store fails, returns once enough peers have copies."""
        while self.journal.stored_sequence < self.journal.last_sequence:
            try:
                await self.flush()
            except StoreError:
                last = self.journal.last_sequence
                target_copies = self._replicator.target_copies()
                if target_copies and self._replicator.count_copies(last) >= target_copies:
                    return
                self._replicator.start_sending()
                await self._clock.sleep(CLOSE_RETRY_MS)

    def _remove_stored_ids(self) -> None:
        """Removes the ids of stored bills from the table of recorded bills."""
        stored = self.journal.stored_sequence
        recorded = list(self._sequences_by_id.items())
        for bill_id, sequence in recorded:
            if sequence > stored:
                return
            del self._sequences_by_id[bill_id]


_MAX_TIME_MS = 10**14
"""End of a period that includes every bill, wall-clock time."""

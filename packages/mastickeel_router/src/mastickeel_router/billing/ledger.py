"""The bills of the deployment: recorded once, found wherever they are."""

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
"""Segments that the whole fleet writes a second, whatever its size."""
FLUSH_INTERVAL_MIN_MS = 1_000
FLUSH_INTERVAL_MAX_MS = 60_000
RECORD_TIMEOUT_MS = 1_000
"""The longest wait for copies before the key-value service is tried."""
MAX_JOURNAL_BYTES = 8 * 1024 * 1024
"""Past it, new requests are refused before they run."""
CAPACITY_RETRY_MS = 5_000
CLOSE_RETRY_MS = 500

BILL_AT_RISK = define_event(
    1601,
    "bill_at_risk",
    "error",
    "A bill is only in this instance's memory: no peer and no store took it. It is tried again.",
)
BILLS_LOST = define_event(
    1602, "bills_lost", "error", "The instance stopped with bills that neither peer nor store took."
)


class BillLedger:
    """Records bills here, and finds those of the whole fleet."""

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
        """Makes the ledger.

        Args:
            store: The key-value service.
            prefix: What all keys of this deployment begin with.
            instance_id: This instance.
            clock: Times the waits.
            link: Reaches the peers.
            members: The fleet.
            metrics: Counts bills.
        """
        self.journal = Journal(f"{instance_id}-{secrets.token_hex(4)}")
        """The bills of this run of this instance that are not stored yet."""
        self.segments = SegmentStore(store, prefix)
        """What is stored."""
        self.copies = JournalCopies(
            self.segments, clock, lambda one: one in members().members_by_id
        )
        """Copies of other sources' bills."""
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
        self._flushing = asyncio.Lock()
        link.register_handler(JournalAppendRequest, self.copies.on_journal_append)
        link.register_handler(JournalStoredNotice, self.copies.on_journal_stored)
        link.register_handler(PendingBillsRequest, self._queries.on_pending_bills_request)

    def check_capacity(self) -> None:
        """Makes sure that one more request can be billed.

        Raises:
            UnavailableError: When too many bills wait for the key-value service.
        """
        if self.journal.size_bytes >= MAX_JOURNAL_BYTES:
            raise UnavailableError(
                "Too many bills wait for the key-value service.", retry_after_ms=CAPACITY_RETRY_MS
            )

    async def record(self, bill: Bill) -> None:
        """Keeps a bill at two peers or in the store; recording it again changes nothing.

        When neither can be had in time, the bill stays in memory and is tried again, since the
        request has run.

        Args:
            bill: What a request cost.
        """
        sequence = self._sequences_by_id.get(bill.id)
        if sequence is None:
            sequence = self.journal.append(encode_bill(bill)).sequence
            self._sequences_by_id[bill.id] = sequence
            self._metrics.count("billing.recorded")
        with contextlib.suppress(TimeoutError):
            if self._replicator.target_copies():
                waiting = self._replicator.wait_until_copied(sequence)
                await self._clock.wait_for(waiting, RECORD_TIMEOUT_MS)
                return
        with contextlib.suppress(StoreError):
            await self.flush(sequence)
        if self.journal.stored_sequence < sequence and not self._replicator.count_copies(sequence):
            self._metrics.count("billing.at_risk")
            log(BILL_AT_RISK, bill=bill.id, waiting=len(self.journal))

    async def flush(self, through: int | None = None) -> None:
        """Stores the bills of this instance.

        Args:
            through: The last sequence that must be stored; all when None.

        Raises:
            StoreError: When the key-value service does not take them; they are kept.
        """
        wanted = self.journal.last_sequence if through is None else through
        async with self._flushing:
            while self.journal.stored_sequence < wanted:
                entries = self.journal.entries_after(
                    self.journal.stored_sequence, MAX_SEGMENT_ENTRIES
                )
                stored = await self.segments.append(self.journal.source, entries)
                self.journal.drop_through(stored)
                self._replicator.announce_stored()
                self._forget_ids()

    async def run(self) -> None:
        """Stores bills at a steady interval, for as long as the instance runs."""
        self._tasks.start_supervised(self._clock, "copies of bills", self.copies.run_takeover)
        while True:
            await self._clock.sleep(self.flush_interval_ms())
            self._metrics.gauge("billing.waiting", len(self.journal))
            self._metrics.gauge("billing.copies_bytes", self.copies.size_bytes)
            self._replicator.start_sending()
            with contextlib.suppress(StoreError):
                await self.flush()

    def flush_interval_ms(self) -> int:
        """Returns how often this instance stores, so that the fleet's writes stay the same."""
        share_ms = (len(self._members().members_by_id) + 1) * 1_000 // FLEET_WRITES_PER_SECOND
        return min(FLUSH_INTERVAL_MAX_MS, max(FLUSH_INTERVAL_MIN_MS, share_ms))

    async def close(self, timeout_ms: int) -> None:
        """Sees the last bills to the store, or to two peers when the store is out.

        Args:
            timeout_ms: The longest wait.
        """
        with contextlib.suppress(TimeoutError):
            await self._clock.wait_for(self._hand_over(), timeout_ms)
        last = self.journal.last_sequence
        if self.journal.stored_sequence < last and not self._replicator.count_copies(last):
            log(BILLS_LOST, bills=len(self.journal), source=self.journal.source)
        await self._tasks.stop()

    async def abandon(self) -> None:
        """Ends the background tasks without storing anything, as a crash does."""
        await self._tasks.stop()

    async def list_bills(self, account_id: str) -> list[Bill]:
        """Returns all bills of an account, stored or not."""
        return [bill async for bill in self._queries.find_bills(account_id, 0, _END_OF_TIME_MS)]

    def export(self, account_id: str, from_ms: int, to_ms: int) -> AsyncIterator[bytes]:
        """Gives an account's bills of a period as JSON lines, and a last line with their sum.

        Args:
            account_id: The client account.
            from_ms: The period's first moment, calendar time.
            to_ms: The first moment after it.

        Returns:
            The lines, each with its newline.
        """
        return self._queries.export(account_id, from_ms, to_ms)

    async def table(self) -> Table:
        """Returns the sums of each account and day, for ``show bills``."""
        return await self._queries.table(self._clock.wall())

    async def _hand_over(self) -> None:
        """Tries the store until it has everything, contenting itself with peers when it is out."""
        while self.journal.stored_sequence < self.journal.last_sequence:
            try:
                await self.flush()
            except StoreError:
                last = self.journal.last_sequence
                wanted = self._replicator.target_copies()
                if wanted and self._replicator.count_copies(last) >= wanted:
                    return
                self._replicator.start_sending()
                await self._clock.sleep(CLOSE_RETRY_MS)

    def _forget_ids(self) -> None:
        """Forgets which bills were recorded, once they are stored."""
        stored = self.journal.stored_sequence
        recorded = list(self._sequences_by_id.items())
        for bill_id, sequence in recorded:
            if sequence > stored:
                return
            del self._sequences_by_id[bill_id]


_END_OF_TIME_MS = 10**14

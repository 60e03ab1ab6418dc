"""Each bill is stored exactly once, through crashes, partitions and store outages."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

import msgspec

from mastickeel.errors import StoreError, UnavailableError
from mastickeel_router.billing import copies as copies_module
from mastickeel_router.billing import ledger as ledger_module
from mastickeel_router.billing.journal import Journal, JournalEntry
from mastickeel_router.billing.replication import choose_peers
from mastickeel_router.membership import Member
from tests.ledgers import ACCOUNT, Ledgers, make_bill

HOUR_MS = 3_600_000


class LedgerTest(unittest.IsolatedAsyncioTestCase):
    """Four instances in three data centres; bills are only stored when a test does so."""

    async def asyncSetUp(self) -> None:
        self.fleet = Ledgers()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(4)
        self.ledgers = self.fleet.ledgers
        self.faults = self.fleet.nodes.store.faults

    async def record(self, index: int, count: int, name: str = "bill") -> set[str]:
        ids = {f"{name}-{number}" for number in range(count)}
        await asyncio.gather(*(self.ledgers[index].record(make_bill(bill_id)) for bill_id in ids))
        return ids

    async def store_abandoned(self, index: int) -> None:
        with patch.object(copies_module, "GONE_AFTER_MS", 0):
            await self.ledgers[index].copies.store_abandoned()

    async def assert_stored_once(self, ids: set[str]) -> None:
        self.assertEqual(await self.fleet.count_stored_bills(), dict.fromkeys(ids, 1))

    async def test_recorded_bill_has_copies_in_two_other_data_centres(self) -> None:
        await self.record(0, 20)
        holders = self.fleet.copy_holders(0)
        data_centres = {
            self.fleet.node(index).members.local_member.data_centre for index in holders
        }
        self.assertEqual(data_centres, {"dc-1", "dc-2"})
        for index in holders:
            source = self.ledgers[0].journal.source
            self.assertEqual(len(self.ledgers[index].copies.copies_by_source[source].journal), 20)
        self.assertEqual(self.fleet.nodes.store.writes, 0)

    async def test_bills_of_a_crashed_source_are_stored_once_by_two_peers(self) -> None:
        ids = await self.record(0, 30)
        holders = self.fleet.copy_holders(0)
        await self.fleet.kill(0)
        await asyncio.gather(*(self.store_abandoned(index) for index in holders))
        await self.assert_stored_once(ids)
        self.assertEqual(self.ledgers[1].copies.copies_by_source, {})

    async def test_crash_after_an_outage_and_a_lost_reply_loses_and_duplicates_no_bill(
        self,
    ) -> None:
        """The store is down, then loses a reply, and the source crashes right after the write."""
        self.faults.outage = True
        ids = await self.record(0, 30)
        with self.assertRaises(StoreError):
            await self.ledgers[0].flush()
        self.faults.outage = False
        self.faults.lose_answers = 1
        with (
            patch.object(
                ledger_module.BillLedger, "_remove_stored_ids", side_effect=asyncio.CancelledError
            ),
            self.assertRaises(asyncio.CancelledError),
        ):
            await self.ledgers[0].flush()
        holders = self.fleet.copy_holders(0)
        await self.fleet.kill(0)
        for index in holders:
            await self.store_abandoned(index)
        await self.assert_stored_once(ids)

    async def test_source_taken_over_while_paused_continues_without_duplicates(self) -> None:
        ids = await self.record(0, 10)
        holders = self.fleet.copy_holders(0)
        self.fleet.nodes.partitioned_ids.add("node-0")
        self.fleet.nodes.store_partitioned_ids.add("node-0")
        for index in holders:
            del self.fleet.node(index).members.members_by_id["node-0"]
            await self.store_abandoned(index)
        self.fleet.nodes.partitioned_ids.clear()
        self.fleet.nodes.store_partitioned_ids.clear()
        ids |= await self.record(0, 5, "later")
        await self.ledgers[0].flush()
        await self.assert_stored_once(ids)

    async def test_recording_a_bill_again_has_no_effect(self) -> None:
        await self.ledgers[0].record(make_bill("one"))
        await self.ledgers[0].record(make_bill("one"))
        await self.ledgers[0].flush()
        await self.assert_stored_once({"one"})

    async def test_unreachable_peer_is_replaced_and_its_copy_has_no_gap(self) -> None:
        await self.record(0, 5)
        lost = self.fleet.copy_holders(0)[0]
        self.fleet.nodes.partitioned_ids.add(f"node-{lost}")
        ids = {f"bill-{number}" for number in range(5)} | await self.record(0, 5, "later")
        holders = [index for index in self.fleet.copy_holders(0) if index != lost]
        self.assertEqual(len(holders), 2)
        await self.fleet.kill(0)
        for index in (*holders, lost):
            await self.store_abandoned(index)
        await self.assert_stored_once(ids)

    async def test_without_peers_the_bill_is_stored_before_record_returns(self) -> None:
        self.fleet.node(0).members.members_by_id.clear()
        ids = await self.record(0, 3)
        await self.assert_stored_once(ids)

    async def test_without_peers_and_store_the_bill_is_kept_and_stored_later(self) -> None:
        self.fleet.node(0).members.members_by_id.clear()
        self.faults.outage = True
        ids = await self.record(0, 3)
        self.assertEqual(self.fleet.node(0).metrics.totals_by_name["billing.at_risk"], 3)
        self.faults.outage = False
        await self.ledgers[0].flush()
        await self.assert_stored_once(ids)

    async def test_long_outage_refuses_requests_before_bills_are_lost(self) -> None:
        self.faults.outage = True
        with patch.object(ledger_module, "MAX_JOURNAL_BYTES", 2_000):
            await self.record(0, 8)
            with self.assertRaises(UnavailableError) as caught:
                self.ledgers[0].check_capacity()
            self.assertEqual(caught.exception.ran.value, "no")
            self.faults.outage = False
            await self.ledgers[0].flush()
            self.ledgers[0].check_capacity()

    async def test_peers_with_full_copies_are_skipped(self) -> None:
        with patch.object(copies_module, "MAX_COPIES_BYTES", 600):
            ids = await self.record(0, 40)
        await self.ledgers[0].flush()
        await self.assert_stored_once(ids)

    async def test_close_stores_the_last_bills(self) -> None:
        ids = await self.record(0, 5)
        await self.ledgers[0].close(1_000)
        await self.assert_stored_once(ids)


class CopiesTest(unittest.TestCase):
    """Entries accepted by a copy, and the choice of peers for copies."""

    def test_copy_has_no_gaps_and_no_duplicates(self) -> None:
        entries = [JournalEntry(number, b"x") for number in range(1, 8)]
        journal = Journal("source", stored_sequence=1)
        journal.extend(entries[:4])
        journal.extend(entries[2:5])
        journal.extend(entries[6:])
        self.assertEqual([entry.sequence for entry in journal.entries_after(0, 100)], [2, 3, 4, 5])

    def test_copies_are_placed_in_two_other_data_centres_where_possible(self) -> None:
        members = [Member(f"n{n}", "", f"dc-{n % 3}", "region-1") for n in range(9)]
        for number in range(50):
            chosen = choose_peers(members[0], members[1:], f"source-{number}")
            self.assertEqual({member.data_centre for member in chosen}, {"dc-1", "dc-2"})
        same_data_centre = choose_peers(members[0], [members[3], members[6]], "source")
        self.assertEqual(len(same_data_centre), 2)


class ExportTest(unittest.IsolatedAsyncioTestCase):
    """Queries find stored and pending bills, each bill once."""

    async def asyncSetUp(self) -> None:
        self.fleet = Ledgers()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(3)

    async def export(self, from_ms: int, to_ms: int, index: int = 2) -> list[dict[str, object]]:
        lines = self.fleet.ledgers[index].export(ACCOUNT, from_ms, to_ms)
        return [msgspec.json.decode(line) async for line in lines]

    async def test_export_has_stored_and_pending_bills_of_the_period_once(self) -> None:
        base = 1_700_000_000_000
        first, second, _ = self.fleet.ledgers
        for hour in range(6):
            await first.record(make_bill(f"stored-{hour}", base + hour * HOUR_MS))
        await first.flush()
        for hour in range(6):
            await second.record(make_bill(f"waiting-{hour}", base + hour * HOUR_MS))
        *bills, total = await self.export(base + HOUR_MS, base + 3 * HOUR_MS)
        names = sorted(str(bill["id"]) for bill in bills)
        self.assertEqual(names, ["stored-1", "stored-2", "waiting-1", "waiting-2"])
        self.assertEqual((total["bills"], total["cost"], total["complete"]), (4, 20, True))

    async def test_bill_stored_during_a_query_is_found_once(self) -> None:
        first = self.fleet.ledgers[0]
        await first.record(make_bill("one"))
        queries = self.fleet.ledgers[2]._queries
        pending = await queries._collect_pending([])
        await first.flush()
        with patch.object(queries, "_collect_pending", return_value=pending):
            found = await self.fleet.ledgers[2].list_bills(ACCOUNT)
        self.assertEqual([bill.id for bill in found], ["one"])

    async def test_export_lists_members_that_did_not_answer(self) -> None:
        await self.fleet.ledgers[0].record(make_bill("one"))
        self.fleet.nodes.partitioned_ids.add("node-0")
        with patch("mastickeel_router.billing.queries.REQUEST_TIMEOUT_MS", 50):
            *bills, total = await self.export(0, 10**14)
        self.assertEqual([bill["id"] for bill in bills], ["one"])
        self.assertEqual((total["complete"], total["not_asked"]), (False, ["node-0"]))

    async def test_long_replies_are_split(self) -> None:
        for number in range(7):
            await self.fleet.ledgers[0].record(make_bill(f"bill-{number}"))
        with patch("mastickeel_router.billing.queries.MAX_REPLY_ENTRIES", 3):
            found = await self.fleet.ledgers[1].list_bills(ACCOUNT)
        self.assertEqual(len(found), 7)

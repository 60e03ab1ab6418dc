"""Tests for changes of endpoints' entries, and for entries that expire during an outage."""

from __future__ import annotations

import unittest
from dataclasses import replace

from mastickeel.addresses import Address
from mastickeel.clock import FakeClock
from mastickeel_router.discovery import EndpointRecord, EndpointRegistry
from mastickeel_router.discovery.feeds import OutageEnd
from mastickeel_router.discovery.registry import OUTAGE_GRACE_MS, SUSPECTED_OUTAGE_GRACE_MS

RECORD = EndpointRecord("e1", "s", Address("127.0.0.1", 1), "dc-a", "v1", started_ms=7)


class RegistryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.registry = EndpointRegistry(self.clock)
        self.ended: list[str] = []
        self.registry.on_lifetime_end.append(self.ended.append)

    def usable(self) -> list[str]:
        return [record.id for record in self.registry.usable("s")]

    def test_draining_endpoint_is_unusable_at_once(self) -> None:
        self.registry.put(RECORD, 1)
        self.assertEqual(self.usable(), ["e1"])
        self.registry.put(replace(RECORD, draining=True), 2)
        self.assertEqual(self.usable(), [])
        self.assertIsNotNone(self.registry.get("e1"))

    def test_removed_endpoint_is_unusable_at_once(self) -> None:
        self.registry.put(RECORD, 1)
        self.registry.remove("e1", 2)
        self.assertEqual(self.usable(), [])
        self.assertEqual(self.ended, ["e1"])

    def test_restart_under_the_same_id_ends_the_earlier_lifetime(self) -> None:
        self.registry.put(RECORD, 1)
        self.registry.put(replace(RECORD, started_ms=9), 2)
        self.assertEqual((self.usable(), self.ended), (["e1"], ["e1"]))

    def test_endpoint_that_changes_its_service_is_usable_only_for_the_new_one(self) -> None:
        self.registry.put(RECORD, 1)
        self.registry.put(replace(RECORD, service="t"), 2)
        self.assertEqual(self.usable(), [])
        self.assertEqual([record.id for record in self.registry.usable("t")], ["e1"])

    def test_full_list_removes_missing_endpoints(self) -> None:
        self.registry.put(RECORD, 1)
        self.registry.replace([replace(RECORD, id="e2")], 2)
        self.assertEqual(self.usable(), ["e2"])
        self.assertTrue(self.registry.loaded)

    async def test_entry_that_expires_around_an_outage_is_kept_for_the_grace_time(self) -> None:
        self.registry.put(RECORD, 1)
        self.registry.begin_outage()
        self.registry.end_outage(OutageEnd(self.clock.now()))
        self.registry.remove("e1", 2)
        self.assertEqual(self.usable(), ["e1"])
        await self.clock.advance(OUTAGE_GRACE_MS)
        self.assertEqual(self.usable(), [])

    async def test_grace_time_begins_when_the_end_of_an_outage_becomes_known(self) -> None:
        ended_ms = self.clock.now()
        await self.clock.advance(3_400)
        self.registry.put(RECORD, 1)
        self.registry.begin_outage()
        self.registry.end_outage(OutageEnd(ended_ms))
        self.registry.remove("e1", 2)
        self.assertEqual(self.usable(), [])

    async def test_single_failed_call_shortens_the_grace_time_of_an_outage(self) -> None:
        self.registry.put(RECORD, 1)
        for is_certain in (True, False):
            self.registry.begin_outage()
            self.registry.end_outage(OutageEnd(self.clock.now(), is_certain))
        self.registry.remove("e1", 2)
        await self.clock.advance(SUSPECTED_OUTAGE_GRACE_MS)
        self.assertEqual(self.usable(), ["e1"])

    async def test_endpoint_that_registers_again_in_time_stays(self) -> None:
        self.registry.put(RECORD, 1)
        self.registry.begin_outage()
        self.registry.end_outage(OutageEnd(self.clock.now()))
        self.registry.replace([], 2)
        self.registry.put(RECORD, 3)
        await self.clock.advance(OUTAGE_GRACE_MS)
        self.assertEqual(self.usable(), ["e1"])

    def test_draining_endpoint_that_expires_during_an_outage_is_removed(self) -> None:
        self.registry.put(replace(RECORD, draining=True), 1)
        self.registry.begin_outage()
        self.registry.remove("e1", 2)
        self.assertIsNone(self.registry.get("e1"))

    def test_older_list_does_not_bring_back_an_endpoint_that_was_draining_or_gone(self) -> None:
        others = [replace(RECORD, id=f"e{number}") for number in (2, 3)]
        self.registry.replace([RECORD, *others], 1)
        self.registry.put(replace(RECORD, draining=True), 2)
        self.registry.remove("e2", 3)
        self.registry.put(replace(RECORD, id="e3", started_ms=8), 4)
        self.registry.begin_era()
        self.registry.replace([RECORD, *others], 1)
        self.assertEqual(self.usable(), ["e3"])
        self.assertEqual(self.registry.get("e3"), replace(RECORD, id="e3", started_ms=8))
        self.registry.put(replace(RECORD, id="e2", started_ms=9), 2)
        self.assertEqual(self.usable(), ["e3", "e2"])

    async def test_endpoint_that_an_older_list_lacks_has_the_grace_time(self) -> None:
        self.registry.replace([RECORD], 1)
        self.registry.begin_era()
        self.registry.replace([], 1)
        self.assertEqual(self.usable(), ["e1"])
        await self.clock.advance(OUTAGE_GRACE_MS)
        self.assertEqual(self.usable(), [])


if __name__ == "__main__":
    unittest.main()

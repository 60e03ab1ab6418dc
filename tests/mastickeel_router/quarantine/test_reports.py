"""Contents that crash endpoints are refused by every instance that received the reports."""

from __future__ import annotations

import asyncio
import unittest

from mastickeel.addresses import Address
from mastickeel.clock import Clock, FakeClock
from mastickeel.metrics import Metrics
from mastickeel.peers import PeerLink
from mastickeel.tasks import TaskGroup
from mastickeel_router.fleet import Broadcast, PeerTraits, share_crashes
from mastickeel_router.quarantine.replica import CRASH_TTL_MS
from mastickeel_router.quarantine.reports import (
    REFUSED_AFTER_CRASHES,
    RESEND_FOR_MS,
    RESEND_INTERVAL_MS,
    TRIAL_DELAYS_MS,
    TRIAL_RETRY_MS,
    ContentCrashReport,
    ContentRefusedError,
    ContentSuccessNotice,
    CrashReports,
    compute_relay_fingerprint,
)

TRIES = 200


def crash(reports: CrashReports, count: int, content: int = 1) -> None:
    for number in range(count):
        reports.record_crash(content, f"e{number}/0")


class ReportsTest(unittest.IsolatedAsyncioTestCase):
    """A single instance."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.reports = CrashReports(self.clock)
        self.reported: list[ContentCrashReport] = []
        self.reports.on_crash.append(self.reported.append)

    def refused(self, content: int = 1) -> bool:
        try:
            self.reports.check(content)
        except ContentRefusedError:
            return True
        return False

    def test_content_is_refused_after_the_third_endpoint(self) -> None:
        crash(self.reports, REFUSED_AFTER_CRASHES - 1)
        self.assertFalse(self.refused())
        crash(self.reports, REFUSED_AFTER_CRASHES)
        self.assertEqual((self.refused(), self.refused(content=2)), (True, False))

    def test_one_crash_seen_by_many_counts_once(self) -> None:
        for _ in range(5):
            self.reports.record_crash(1, "e0/0")
        self.assertFalse(self.refused())
        self.reports.record_crash(1, "e0/7")
        self.reports.record_crash(1, "e0/9")
        self.assertTrue(self.refused())

    def test_content_that_completed_since_is_no_suspect(self) -> None:
        crash(self.reports, REFUSED_AFTER_CRASHES - 1)
        self.reports.record_success(1)
        self.assertFalse(self.reports.has_suspects)
        self.reports.record_crash(1, "e9/0")
        self.assertFalse(self.refused())

    async def test_refusal_gives_its_end_as_retry_time(self) -> None:
        crash(self.reports, REFUSED_AFTER_CRASHES)
        await self.clock.advance(1_000)
        with self.assertRaises(ContentRefusedError) as caught:
            self.reports.check(1)
        self.assertEqual(caught.exception.retry_after_ms, TRIAL_DELAYS_MS[0] - 1_000)
        await self.clock.advance(CRASH_TTL_MS - 1_000)
        self.assertFalse(self.refused())

    async def test_refused_content_gets_a_limited_number_of_trials(self) -> None:
        crash(self.reports, REFUSED_AFTER_CRASHES)
        passed = []
        for second in range(1, CRASH_TTL_MS // 1_000):
            await self.clock.advance(1_000)
            if not self.refused():
                passed.append(second)
        self.assertEqual(passed, [after // 1_000 for after in TRIAL_DELAYS_MS])
        # The users' requirements allow three retries after the third crash.
        self.assertLess(len(TRIAL_DELAYS_MS), 3)

    async def test_only_one_instance_runs_trials(self) -> None:
        other = CrashReports(self.clock, lambda content: False)
        for reports in (self.reports, other):
            crash(reports, REFUSED_AFTER_CRASHES)
        await self.clock.advance(TRIAL_DELAYS_MS[0])
        with self.assertRaises(ContentRefusedError) as caught:
            other.check(1)
        self.assertEqual(caught.exception.retry_after_ms, TRIAL_RETRY_MS)
        self.assertFalse(self.refused())

    async def test_report_of_a_crash_before_a_success_is_answered_with_the_success(self) -> None:
        notices: list[ContentSuccessNotice] = []
        self.reports.on_success.append(notices.append)
        crash(self.reports, REFUSED_AFTER_CRASHES)
        await self.clock.advance(100)
        self.reports.apply_success(ContentSuccessNotice(1))
        for number in range(REFUSED_AFTER_CRASHES):
            self.reports.apply_crash_report(ContentCrashReport(1, f"e{number}/0", 5_000))
        self.assertEqual(
            (self.refused(), notices), (False, [ContentSuccessNotice(1)] * REFUSED_AFTER_CRASHES)
        )
        await self.clock.advance(100)
        crash(self.reports, REFUSED_AFTER_CRASHES)
        self.assertTrue(self.refused())

    def test_reported_crash_counts_from_its_age(self) -> None:
        for number in range(REFUSED_AFTER_CRASHES):
            self.reports.apply_crash_report(
                ContentCrashReport(1, f"e{number}/0", TRIAL_DELAYS_MS[0] - 5_000)
            )
            self.reports.apply_crash_report(ContentCrashReport(2, f"e{number}/0", CRASH_TTL_MS))
        with self.assertRaises(ContentRefusedError) as caught:
            self.reports.check(1)
        self.assertEqual(caught.exception.retry_after_ms, 5_000)
        self.assertFalse(self.refused(content=2))

    async def test_crash_reports_are_repeated_for_a_limited_time(self) -> None:
        task = asyncio.ensure_future(self.reports.run_resending())
        await self.clock.settle()
        crash(self.reports, 1)
        self.reported.clear()
        await self.clock.advance(RESEND_INTERVAL_MS)
        self.assertEqual(self.reported, [ContentCrashReport(1, "e0/0", RESEND_INTERVAL_MS)])
        await self.clock.advance(RESEND_FOR_MS)
        self.reported.clear()
        await self.clock.advance(RESEND_INTERVAL_MS)
        self.assertEqual(self.reported, [])
        task.cancel()

    def test_fingerprint_depends_on_account_target_and_body(self) -> None:
        first = compute_relay_fingerprint("a", "/x", b"body")
        self.assertEqual(first, compute_relay_fingerprint("a", "/x", b"body"))
        others = {("b", "/x", b"body"), ("a", "/y", b"body"), ("a", "/x", b"bod"), ("a/", "x", b"")}
        self.assertNotIn(first, {compute_relay_fingerprint(*arguments) for arguments in others})


class SharedReportsTest(unittest.IsolatedAsyncioTestCase):
    """Three instances connected over loopback."""

    async def asyncSetUp(self) -> None:
        self.reports = []
        links = []
        for number in range(3):
            link = PeerLink(f"i{number}", clock=Clock(), metrics=Metrics())
            await link.bind(Address("127.0.0.1", 0))
            self.addAsyncCleanup(link.close)
            links.append(link)
            self.reports.append(CrashReports(Clock()))
            group = TaskGroup()
            self.addAsyncCleanup(group.stop)
            broadcast = Broadcast(
                link,
                clock=Clock(),
                traits=PeerTraits("dc-a"),
                traits_by_peer={f"i{peer}": PeerTraits("dc-a") for peer in range(3)},
                tasks=group,
            )
            share_crashes(broadcast, self.reports[-1])
        for link in links:
            for other in links:
                if link is not other:
                    link.connect(other.instance_id, Address("127.0.0.1", other.port))

    async def wait_until_refused(self, reports: CrashReports) -> None:
        for _ in range(TRIES):
            try:
                reports.check(1)
            except ContentRefusedError:
                return
            await asyncio.sleep(0.02)
        self.fail("the content was not refused")

    async def test_crashes_seen_by_several_instances_add_up_on_all(self) -> None:
        for number, reports in enumerate(self.reports):
            reports.record_crash(1, f"e{number}/0")
        for reports in self.reports:
            await self.wait_until_refused(reports)

    async def test_success_clears_the_content_on_all_instances(self) -> None:
        crash(self.reports[0], REFUSED_AFTER_CRASHES)
        for reports in self.reports:
            await self.wait_until_refused(reports)
        self.reports[1].record_success(1)
        for _ in range(TRIES):
            if not any(reports.has_suspects for reports in self.reports):
                return
            await asyncio.sleep(0.02)
        self.fail("the content is still suspected")


if __name__ == "__main__":
    unittest.main()

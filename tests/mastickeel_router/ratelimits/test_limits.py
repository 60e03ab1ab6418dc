"""Limits that endpoints name are known while they are in force, and only then."""

from __future__ import annotations

import unittest
from dataclasses import replace

from tornado.httputil import HTTPHeaders

from mastickeel.addresses import Address
from mastickeel.clock import FakeClock
from mastickeel_router.discovery import EndpointRecord
from mastickeel_router.ratelimits import EndpointLimitNotice, EndpointLimits
from mastickeel_router.ratelimits.limits import LIFT_HOLD_MS, MAX_LIMITS, RENOTIFY_INTERVAL_MS
from mastickeel_router.relay.types import AnswerHead

ENDPOINT = EndpointRecord("e1", "s", Address("127.0.0.1", 1), "dc-a", "v1", started_ms=5)
ANSWER = AnswerHead(200, HTTPHeaders(), "a1", signed=True)


def naming(per_second: float) -> AnswerHead:
    return replace(ANSWER, rate_limit=per_second)


class EndpointLimitsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = FakeClock()
        self.limits = EndpointLimits(self.clock)
        self.notices: list[EndpointLimitNotice] = []
        self.limits.on_notice.append(self.notices.append)

    def answer(self, head: AnswerHead, sent_ago_ms: int = 0) -> None:
        self.limits.record_answer(ENDPOINT, head, self.clock.now() - sent_ago_ms)

    async def test_newest_value_counts(self) -> None:
        self.assertIsNone(self.limits.limit_of(ENDPOINT))
        self.answer(naming(1.6))
        self.answer(naming(0.5))
        self.assertEqual(self.limits.limit_of(ENDPOINT), 0.5)
        self.assertEqual([notice.per_second for notice in self.notices], [1.6, 0.5])

    async def test_answer_without_a_limit_lifts_it(self) -> None:
        self.answer(naming(1.0))
        await self.clock.advance(LIFT_HOLD_MS + 1)
        self.answer(ANSWER)
        self.assertIsNone(self.limits.limit_of(ENDPOINT))
        self.assertEqual(self.notices[-1], EndpointLimitNotice("e1", 5, None))

    async def test_answer_to_an_earlier_request_does_not_lift_the_limit(self) -> None:
        self.answer(naming(1.0))
        await self.clock.advance(LIFT_HOLD_MS + 1)
        self.answer(ANSWER, sent_ago_ms=LIFT_HOLD_MS + 1)
        self.assertEqual(self.limits.limit_of(ENDPOINT), 1.0)

    async def test_unsigned_and_foreign_answers_do_not_change_the_limit(self) -> None:
        self.answer(replace(naming(9.0), status=421))
        self.assertIsNone(self.limits.limit_of(ENDPOINT))
        self.answer(naming(1.0))
        await self.clock.advance(LIFT_HOLD_MS + 1)
        self.answer(replace(ANSWER, signed=False))
        self.answer(replace(ANSWER, status=421))
        self.assertEqual(self.limits.limit_of(ENDPOINT), 1.0)

    async def test_limit_ends_with_the_endpoints_process(self) -> None:
        self.answer(naming(1.0))
        restarted = replace(ENDPOINT, started_ms=6)
        self.assertIsNone(self.limits.limit_of(restarted))
        self.limits.record_answer(restarted, naming(3.0), self.clock.now())
        self.answer(naming(1.0))
        self.assertEqual(self.limits.limit_of(restarted), 3.0)
        self.assertIsNone(self.limits.limit_of(ENDPOINT))

    async def test_oldest_limits_are_dropped_when_there_are_too_many(self) -> None:
        self.answer(naming(1.0))
        for number in range(MAX_LIMITS):
            self.limits.apply_notice(EndpointLimitNotice(f"other-{number}", 5, 1.0))
        self.assertIsNone(self.limits.limit_of(ENDPOINT))
        self.assertEqual(self.limits.find("other-0", 5), 1.0)

    async def test_notice_of_a_peer_is_applied_and_not_repeated(self) -> None:
        self.limits.apply_notice(EndpointLimitNotice("e1", 5, 2.0))
        self.assertEqual(self.limits.limit_of(ENDPOINT), 2.0)
        await self.clock.advance(LIFT_HOLD_MS)
        self.limits.apply_notice(EndpointLimitNotice("e1", 4, None))
        self.assertEqual(self.limits.limit_of(ENDPOINT), 2.0)
        self.limits.apply_notice(EndpointLimitNotice("e1", 5, None))
        self.assertIsNone(self.limits.limit_of(ENDPOINT))
        self.assertEqual(self.notices, [])

    async def test_lift_soon_after_the_limit_was_named_is_lost(self) -> None:
        # A notice of the limit may be delayed, and is then younger than the answer that lifts it.
        for lift in (
            lambda: self.limits.apply_notice(EndpointLimitNotice("e1", 5, None)),
            lambda: self.answer(ANSWER, sent_ago_ms=-1),
        ):
            self.answer(naming(2.0))
            lift()
            self.assertEqual(self.limits.limit_of(ENDPOINT), 2.0)
            await self.clock.advance(LIFT_HOLD_MS)
            self.assertIsNone(self.limits.limit_of(ENDPOINT))

    async def test_limit_named_again_after_a_lift_stays_and_is_told_again(self) -> None:
        self.answer(naming(2.0))
        self.limits.apply_notice(EndpointLimitNotice("e1", 5, None))
        await self.clock.advance(LIFT_HOLD_MS - 1)
        self.answer(naming(2.0))
        await self.clock.advance(LIFT_HOLD_MS)
        self.assertEqual(self.limits.limit_of(ENDPOINT), 2.0)
        self.assertEqual([notice.per_second for notice in self.notices], [2.0, 2.0])

    async def test_unchanged_limit_is_told_again_once_a_second(self) -> None:
        for _ in range(4):
            self.answer(naming(1.0))
            await self.clock.advance(RENOTIFY_INTERVAL_MS // 2)
        self.assertEqual(len(self.notices), 2)


if __name__ == "__main__":
    unittest.main()

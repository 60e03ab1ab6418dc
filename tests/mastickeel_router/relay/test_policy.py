"""Tests that a request is sent again only when its route allows another run or it did not run, and
that an answer which is not provably the endpoint's is not delivered.
"""

from __future__ import annotations

import unittest
from dataclasses import replace

from tornado.httputil import HTTPHeaders

from mastickeel_router.relay.policy import (
    MAX_UNREACHED,
    NextStep,
    PlannedStop,
    RequestState,
    SendOutcome,
    SendResult,
    can_end,
    classify_answer,
    next_step,
    should_retry,
)
from mastickeel_router.relay.types import AnswerHead
from mastickeel_router.routes import Route, RouteKind, Split

SOUND = AnswerHead(200, HTTPHeaders(), "a1", signed=True)
STREAM = replace(SOUND, is_stream=True)
FIRST = RequestState(
    sends=1, unreached=0, remaining_ms=1_000, head_forwarded=False, may_have_run=True
)


def route(kind: RouteKind, attempts: int = 3, resumable: bool = True) -> Route:
    splits = (Split("s", 1),)
    return Route("r", "h", "/", kind, splits, 1_000, 200, attempts=attempts, resumable=resumable)


REPEATABLE = route(RouteKind.REPEATABLE)
ONCE = route(RouteKind.ONCE)


class ClassifyTest(unittest.TestCase):
    def test_outcome_of_each_kind_of_answer(self) -> None:
        cases = [
            (SOUND, False, SendOutcome.WHOLE),
            (replace(SOUND, signed=False), False, SendOutcome.BROKEN),
            (replace(SOUND, request_id=""), False, SendOutcome.BROKEN),
            (replace(SOUND, encoded=True), False, SendOutcome.BROKEN),
            (SOUND, True, SendOutcome.BROKEN),
            (STREAM, True, SendOutcome.WHOLE),
            (replace(SOUND, status=500), False, SendOutcome.WHOLE),
            (replace(SOUND, status=404), False, SendOutcome.WHOLE),
            (replace(SOUND, status=503, not_run=True), False, SendOutcome.NOT_RUN),
            (replace(SOUND, status=400, not_run=True), False, SendOutcome.NOT_RUN),
            (replace(SOUND, status=421), False, SendOutcome.NOT_RUN),
            (replace(SOUND, status=421, request_id=""), False, SendOutcome.BROKEN),
            (replace(SOUND, status=503, not_run=True, request_id=""), False, SendOutcome.BROKEN),
            (replace(SOUND, status=503), False, SendOutcome.BROKEN),
            (replace(SOUND, status=429), False, SendOutcome.BROKEN),
            (replace(SOUND, status=408), False, SendOutcome.BROKEN),
            (replace(SOUND, status=500, request_id=""), False, SendOutcome.BROKEN),
        ]
        for head, expects_stream, outcome in cases:
            with self.subTest(head=head, expects_stream=expects_stream):
                self.assertIs(classify_answer(head, expects_stream=expects_stream), outcome)


class RetryTest(unittest.TestCase):
    def test_once_route_is_retried_only_when_the_request_certainly_did_not_run(self) -> None:
        not_run, broken = SendResult(SendOutcome.NOT_RUN), SendResult(SendOutcome.BROKEN)
        untouched = replace(FIRST, may_have_run=False)
        self.assertTrue(should_retry(not_run, ONCE, untouched))
        self.assertFalse(should_retry(not_run, ONCE, FIRST))
        self.assertFalse(should_retry(broken, ONCE, FIRST))

    def test_stream_that_cannot_resume_is_not_retried_after_a_broken_answer(self) -> None:
        fixed = route(RouteKind.STREAM, resumable=False)
        self.assertFalse(should_retry(SendResult(SendOutcome.BROKEN), fixed, FIRST))

    def test_unreachable_endpoint_does_not_count_as_an_attempt(self) -> None:
        unreached = SendResult(SendOutcome.UNREACHED)
        for tested_route in (ONCE, REPEATABLE):
            self.assertTrue(
                should_retry(unreached, tested_route, replace(FIRST, sends=3, unreached=1))
            )
        self.assertFalse(should_retry(unreached, ONCE, replace(FIRST, unreached=MAX_UNREACHED)))

    def test_retries_end_with_the_attempts_or_the_time(self) -> None:
        broken = SendResult(SendOutcome.BROKEN)
        self.assertTrue(should_retry(broken, REPEATABLE, FIRST))
        self.assertFalse(should_retry(broken, REPEATABLE, replace(FIRST, sends=3)))
        self.assertFalse(should_retry(broken, REPEATABLE, replace(FIRST, remaining_ms=5)))

    def test_server_errors_are_retried_and_client_errors_are_not(self) -> None:
        failed = SendResult(SendOutcome.WHOLE, replace(SOUND, status=500))
        denied = SendResult(SendOutcome.WHOLE, replace(SOUND, status=404))
        self.assertTrue(should_retry(failed, REPEATABLE, FIRST))
        self.assertFalse(should_retry(failed, ONCE, FIRST))
        self.assertFalse(should_retry(denied, REPEATABLE, FIRST))


class NextStepTest(unittest.TestCase):
    def test_next_step_of_each_result(self) -> None:
        broken, not_run = SendResult(SendOutcome.BROKEN), SendResult(SendOutcome.NOT_RUN)
        cases = [
            (broken, FIRST, True, NextStep.SEND_AGAIN),
            (SendResult(SendOutcome.WHOLE, SOUND), FIRST, False, NextStep.DELIVER),
            (broken, FIRST, False, NextStep.FAIL),
            (broken, replace(FIRST, head_forwarded=True), False, NextStep.BREAK_OFF),
            (not_run, replace(FIRST, may_have_run=False), False, NextStep.REFUSE),
            (not_run, FIRST, False, NextStep.FAIL),
        ]
        for result, state, granted, step in cases:
            with self.subTest(result=result, state=state):
                self.assertIs(next_step(result, REPEATABLE, state, retry_granted=granted), step)


class PlannedStopTest(unittest.TestCase):
    """Requests while the instance stops at 8,000 ms, where 4,000 ms are enough for any of them."""

    def test_request_needs_its_own_time_or_enough_time(self) -> None:
        stop = PlannedStop(end_ms=8_000, enough_ms=4_000)
        cases = [
            (0, 800, True),
            (7_200, 800, True),
            (7_201, 800, False),
            (4_000, 20_000, True),
            (4_001, 20_000, False),
            (8_000, 1, False),
        ]
        for now_ms, limit_ms, fits in cases:
            with self.subTest(now_ms=now_ms, limit_ms=limit_ms):
                self.assertEqual(can_end(stop, now_ms, limit_ms), fits)

    def test_any_request_fits_before_a_stop_is_planned(self) -> None:
        self.assertTrue(can_end(None, 10_000, 20_000))


if __name__ == "__main__":
    unittest.main()

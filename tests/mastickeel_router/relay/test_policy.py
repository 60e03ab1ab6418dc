"""What follows a send, for each way it can end."""

from __future__ import annotations

import unittest
from dataclasses import replace

from tornado.httputil import HTTPHeaders

from mastickeel_router.relay.policy import (
    MOST_UNREACHED,
    Next,
    SendEnd,
    SendResult,
    Situation,
    classify,
    next_step,
    wants_repeat,
)
from mastickeel_router.relay.types import AnswerHead
from mastickeel_router.routes import Route, RouteKind, Split

SOUND = AnswerHead(200, HTTPHeaders(), "a1", signed=True)
STREAM = replace(SOUND, is_stream=True)
FIRST = Situation(sends=1, unreached=0, left_ms=1_000, head_passed=False, may_have_run=True)


def route(kind: RouteKind, attempts: int = 3, resumable: bool = True) -> Route:
    splits = (Split("s", 1),)
    return Route("r", "h", "/", kind, splits, 1_000, 200, attempts=attempts, resumable=resumable)


REPEATABLE = route(RouteKind.REPEATABLE)
ONCE = route(RouteKind.ONCE)


class ClassifyTest(unittest.TestCase):
    def test_answers(self) -> None:
        cases = [
            (SOUND, False, SendEnd.WHOLE),
            (replace(SOUND, signed=False), False, SendEnd.BROKEN),
            (replace(SOUND, request_id=""), False, SendEnd.BROKEN),
            (replace(SOUND, encoded=True), False, SendEnd.BROKEN),
            (SOUND, True, SendEnd.BROKEN),
            (STREAM, True, SendEnd.WHOLE),
            (replace(SOUND, status=500), False, SendEnd.WHOLE),
            (replace(SOUND, status=404), False, SendEnd.WHOLE),
            (replace(SOUND, status=503, not_run=True), False, SendEnd.NOT_RUN),
            (replace(SOUND, status=400, not_run=True), False, SendEnd.NOT_RUN),
            (replace(SOUND, status=421, request_id=""), False, SendEnd.NOT_RUN),
            (replace(SOUND, status=503), False, SendEnd.BROKEN),
            (replace(SOUND, status=429), False, SendEnd.BROKEN),
            (replace(SOUND, status=408), False, SendEnd.BROKEN),
            (replace(SOUND, status=500, request_id=""), False, SendEnd.BROKEN),
        ]
        for head, expects_stream, end in cases:
            with self.subTest(head=head, expects_stream=expects_stream):
                self.assertIs(classify(head, expects_stream=expects_stream), end)


class RepeatTest(unittest.TestCase):
    def test_once_is_sent_again_only_when_it_surely_did_not_run(self) -> None:
        not_run, broken = SendResult(SendEnd.NOT_RUN), SendResult(SendEnd.BROKEN)
        untouched = replace(FIRST, may_have_run=False)
        self.assertTrue(wants_repeat(not_run, ONCE, untouched))
        self.assertFalse(wants_repeat(not_run, ONCE, FIRST))
        self.assertFalse(wants_repeat(broken, ONCE, FIRST))

    def test_stream_that_cannot_resume_is_like_once(self) -> None:
        fixed = route(RouteKind.STREAM, resumable=False)
        self.assertFalse(wants_repeat(SendResult(SendEnd.BROKEN), fixed, FIRST))

    def test_unreached_endpoint_is_no_attempt(self) -> None:
        unreached = SendResult(SendEnd.UNREACHED)
        for kind in (ONCE, REPEATABLE):
            self.assertTrue(wants_repeat(unreached, kind, replace(FIRST, sends=3, unreached=1)))
        self.assertFalse(wants_repeat(unreached, ONCE, replace(FIRST, unreached=MOST_UNREACHED)))

    def test_attempts_and_time_end_the_repeats(self) -> None:
        broken = SendResult(SendEnd.BROKEN)
        self.assertTrue(wants_repeat(broken, REPEATABLE, FIRST))
        self.assertFalse(wants_repeat(broken, REPEATABLE, replace(FIRST, sends=3)))
        self.assertFalse(wants_repeat(broken, REPEATABLE, replace(FIRST, left_ms=5)))

    def test_failures_are_tried_elsewhere_and_refusals_of_the_service_are_not(self) -> None:
        failed = SendResult(SendEnd.WHOLE, replace(SOUND, status=500))
        denied = SendResult(SendEnd.WHOLE, replace(SOUND, status=404))
        self.assertTrue(wants_repeat(failed, REPEATABLE, FIRST))
        self.assertFalse(wants_repeat(failed, ONCE, FIRST))
        self.assertFalse(wants_repeat(denied, REPEATABLE, FIRST))


class NextStepTest(unittest.TestCase):
    def test_steps(self) -> None:
        broken, not_run = SendResult(SendEnd.BROKEN), SendResult(SendEnd.NOT_RUN)
        cases = [
            (broken, FIRST, True, Next.SEND_AGAIN),
            (SendResult(SendEnd.WHOLE, SOUND), FIRST, False, Next.DELIVER),
            (broken, FIRST, False, Next.FAIL),
            (broken, replace(FIRST, head_passed=True), False, Next.BREAK_OFF),
            (not_run, replace(FIRST, may_have_run=False), False, Next.REFUSE),
            (not_run, FIRST, False, Next.FAIL),
        ]
        for result, situation, paid, step in cases:
            with self.subTest(result=result, situation=situation):
                self.assertIs(next_step(result, REPEATABLE, situation, paid=paid), step)


if __name__ == "__main__":
    unittest.main()

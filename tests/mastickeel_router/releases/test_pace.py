"""Tests that failed answers count as bad, and slow ones only if slow for their route and model."""

from __future__ import annotations

import unittest

from tornado.httputil import HTTPHeaders

from mastickeel.addresses import Address
from mastickeel_router.discovery import EndpointRecord
from mastickeel_router.relay.context import SendObservation
from mastickeel_router.relay.policy import SendOutcome, SendResult
from mastickeel_router.relay.types import AnswerHead
from mastickeel_router.releases.pace import MAX_BASELINES, MIN_SAMPLES, SLOW_FACTOR, PaceBaseline
from mastickeel_router.routes import Route, RouteKind, Split

ENDPOINT = EndpointRecord("e1", "s", Address("127.0.0.1", 1), "dc-a", "v1")
ROUTE = Route("r", "h", "/", RouteKind.STREAM, (Split("s", 1),), 1_000, 200)


def observation(
    outcome: SendOutcome = SendOutcome.WHOLE,
    pace: float | None = 40.0,
    status: int = 200,
    model: str = "m",
) -> SendObservation:
    head = AnswerHead(status, HTTPHeaders(), "a1", signed=True)
    return SendObservation(ENDPOINT, ROUTE, SendResult(outcome, head), model, pace)


class PaceBaselineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.baseline = PaceBaseline()

    def record(self, pace: float = 40.0, model: str = "m") -> None:
        for _ in range(MIN_SAMPLES):
            self.baseline.record(observation(pace=pace, model=model))

    def test_failures_are_bad(self) -> None:
        self.assertTrue(self.baseline.is_bad(observation(SendOutcome.BROKEN)))
        self.assertTrue(self.baseline.is_bad(observation(status=500)))
        self.assertFalse(self.baseline.is_bad(observation(status=404)))

    def test_slow_answers_are_bad_only_relative_to_the_usual_pace(self) -> None:
        self.assertFalse(self.baseline.is_bad(observation(pace=9_000.0)))
        self.record()
        self.assertTrue(self.baseline.is_bad(observation(pace=40.0 * SLOW_FACTOR + 1)))
        self.assertFalse(self.baseline.is_bad(observation(pace=80.0)))
        self.assertFalse(self.baseline.is_bad(observation(pace=None)))

    def test_memory_is_bounded_when_routes_change(self) -> None:
        for number in range(MAX_BASELINES + 50):
            self.baseline.record(observation(model=f"m{number}"))
        self.assertEqual(len(self.baseline._samples), MAX_BASELINES)

    def test_each_model_has_its_own_pace(self) -> None:
        self.record(pace=4.0, model="small")
        self.record(pace=40.0, model="large")
        self.assertFalse(self.baseline.is_bad(observation(pace=60.0, model="large")))
        self.assertTrue(self.baseline.is_bad(observation(pace=60.0, model="small")))


if __name__ == "__main__":
    unittest.main()

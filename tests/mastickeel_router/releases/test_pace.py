"""Tests that failed answers count as bad, and slow ones only if slow for their route and model."""

from __future__ import annotations

import unittest
from dataclasses import replace

from tornado.httputil import HTTPHeaders

from mastickeel.addresses import Address
from mastickeel_router.discovery import EndpointRecord
from mastickeel_router.relay.context import OpenSend, SendObservation
from mastickeel_router.relay.policy import SendOutcome, SendResult
from mastickeel_router.relay.types import AnswerHead
from mastickeel_router.releases.pace import (
    BUCKET_RATIO,
    MAX_BASELINES,
    MIN_SAMPLES,
    SLOW_FACTOR,
    VERY_SLOW_FACTOR,
    Histogram,
    Pace,
    PaceBaseline,
    is_failure,
)
from mastickeel_router.routes import Route, RouteKind, Split

PRECISION = BUCKET_RATIO**0.5
"""Most by which the usual pace differs from its samples, as these are rounded to buckets."""
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

    def record(self, pace: float = 40.0, model: str = "m", count: int = MIN_SAMPLES) -> None:
        for _ in range(count):
            self.baseline.record(observation(pace=pace, model=model))
        self.update()

    def update(self, *reports: dict[str, dict[str, Histogram]]) -> None:
        self.baseline.update_usual("s", [self.baseline.summarize("s"), *reports])

    def test_failures_are_found(self) -> None:
        self.assertTrue(is_failure(observation(SendOutcome.BROKEN).result))
        self.assertTrue(is_failure(observation(status=500).result))
        self.assertFalse(is_failure(observation(status=404).result))

    def test_answers_are_slow_only_relative_to_the_usual_pace(self) -> None:
        self.assertIsNone(self.baseline.classify(observation(pace=9_000.0)))
        self.record()
        for pace, expected in (
            (40.0, Pace.USUAL),
            (80.0, Pace.USUAL),
            (40.0 / PRECISION * SLOW_FACTOR, Pace.USUAL),
            (40.0 * PRECISION * SLOW_FACTOR, Pace.SLOW),
            (40.0 / PRECISION * VERY_SLOW_FACTOR, Pace.SLOW),
            (40.0 * PRECISION * VERY_SLOW_FACTOR, Pace.VERY_SLOW),
            (None, Pace.USUAL),
        ):
            self.assertIs(self.baseline.classify(observation(pace=pace)), expected)

    def test_endpoint_that_warms_up_is_not_slow(self) -> None:
        self.record()
        warming = replace(ENDPOINT, warmup_ms=500)
        self.assertIs(
            self.baseline.classify(replace(observation(pace=9_000.0), endpoint=warming)),
            Pace.USUAL,
        )

    def test_usual_pace_is_that_of_all_instances(self) -> None:
        peers = [PaceBaseline() for _ in range(MIN_SAMPLES - 1)]
        for peer in peers:
            peer.record(observation())
        self.record(count=1)
        self.assertIsNone(self.baseline.classify(observation(pace=9_000.0)))
        self.update(*(peer.summarize("s") for peer in peers))
        self.assertIs(self.baseline.classify(observation(pace=9_000.0)), Pace.VERY_SLOW)

    def test_open_send_is_slow_as_soon_as_its_pace_cannot_be_usual(self) -> None:
        paces = iter((None, 40.0, 40.0 * BUCKET_RATIO * SLOW_FACTOR))
        send = OpenSend(ENDPOINT, ROUTE, "m", 0, lambda: next(paces))
        self.record()
        self.assertEqual(
            [self.baseline.classify_open(send) for _ in range(3)],
            [Pace.USUAL, Pace.USUAL, Pace.SLOW],
        )

    def test_memory_is_bounded_when_routes_change(self) -> None:
        for number in range(MAX_BASELINES + 50):
            self.baseline.record(observation(model=f"m{number}"))
        self.assertEqual(len(self.baseline._samples), MAX_BASELINES)

    def test_each_model_has_its_own_pace(self) -> None:
        self.record(pace=4.0, model="small")
        self.record(pace=40.0, model="large")
        self.update()
        large, small = (observation(pace=60.0, model=model) for model in ("large", "small"))
        self.assertIs(self.baseline.classify(large), Pace.USUAL)
        self.assertIs(self.baseline.classify(small), Pace.VERY_SLOW)


if __name__ == "__main__":
    unittest.main()

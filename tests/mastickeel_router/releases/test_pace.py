"""Which answers count as bad."""

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


def seen(
    end: SendOutcome = SendOutcome.WHOLE,
    pace: float | None = 40.0,
    status: int = 200,
    model: str = "m",
) -> SendObservation:
    head = AnswerHead(status, HTTPHeaders(), "a1", signed=True)
    return SendObservation(ENDPOINT, ROUTE, SendResult(end, head), model, pace)


class PacesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.paces = PaceBaseline()

    def learn(self, pace: float = 40.0, model: str = "m") -> None:
        for _ in range(MIN_SAMPLES):
            self.paces.record(seen(pace=pace, model=model))

    def test_failures_are_bad(self) -> None:
        self.assertTrue(self.paces.is_bad(seen(SendOutcome.BROKEN)))
        self.assertTrue(self.paces.is_bad(seen(status=500)))
        self.assertFalse(self.paces.is_bad(seen(status=404)))

    def test_slow_is_bad_only_against_what_is_usual(self) -> None:
        self.assertFalse(self.paces.is_bad(seen(pace=9_000.0)))
        self.learn()
        self.assertTrue(self.paces.is_bad(seen(pace=40.0 * SLOW_FACTOR + 1)))
        self.assertFalse(self.paces.is_bad(seen(pace=80.0)))
        self.assertFalse(self.paces.is_bad(seen(pace=None)))

    def test_routes_that_come_and_go_take_bounded_memory(self) -> None:
        for number in range(MAX_BASELINES + 50):
            self.paces.record(seen(model=f"m{number}"))
        self.assertEqual(len(self.paces._samples), MAX_BASELINES)

    def test_each_model_has_its_own_pace(self) -> None:
        self.learn(pace=4.0, model="small")
        self.learn(pace=40.0, model="large")
        self.assertFalse(self.paces.is_bad(seen(pace=60.0, model="large")))
        self.assertTrue(self.paces.is_bad(seen(pace=60.0, model="small")))


if __name__ == "__main__":
    unittest.main()

"""Sends that a brittle endpoint may refuse never add up to more refusals than it bears."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from mastickeel.addresses import Address
from mastickeel.clock import FakeClock
from mastickeel_router.discovery import EndpointRecord
from mastickeel_router.ratelimits import (
    AdmissionCounter,
    AdmissionOutcome,
    AdmissionReply,
    AdmissionRequest,
    EndpointLimits,
    SendAdmissions,
)
from mastickeel_router.ratelimits.admissions import (
    OPEN_TTL_MS,
    REFUSAL_WINDOW_MS,
    RETRY_MS,
    SUSPICION_MS,
)
from mastickeel_router.ratelimits.limits import REFUSAL_TOLERANCE, EndpointBrittleNotice

ENDPOINT = EndpointRecord("e1", "s", Address("127.0.0.1", 1), "dc-a", "v1", started_ms=7)
RESTARTED = replace(ENDPOINT, id="e2", started_ms=9)


class AdmissionCounterTest(unittest.TestCase):
    """One endpoint, of which the counter has known for a while."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.counter = AdmissionCounter(self.clock)
        self.admit()
        self.step(REFUSAL_WINDOW_MS)

    def step(self, milliseconds: int) -> None:
        self.clock._step_to(self.clock.now() + milliseconds)

    def admit(self, tolerance: float = 2, started_ms: int = 7) -> AdmissionReply:
        return self.counter.admit(AdmissionRequest("e1", started_ms, tolerance))

    def settle(self, reply: AdmissionReply, *, refused: bool) -> None:
        self.counter.settle(AdmissionOutcome("e1", 7, reply.number, refused))

    def test_sends_without_an_outcome_are_bounded(self) -> None:
        replies = [self.admit() for _ in range(3)]
        self.assertEqual([bool(reply.number) for reply in replies], [True, True, False])
        self.assertEqual(replies[2].wait_ms, RETRY_MS)
        self.settle(replies[0], refused=False)
        self.assertTrue(self.admit().number)

    def test_refusals_count_for_their_window(self) -> None:
        for _ in range(2):
            self.settle(self.admit(), refused=True)
        self.assertEqual(self.admit().wait_ms, REFUSAL_WINDOW_MS)
        self.step(REFUSAL_WINDOW_MS)
        self.assertTrue(self.admit().number)

    def test_send_whose_sender_ended_counts_as_refused(self) -> None:
        for _ in range(2):
            self.admit()
        self.step(OPEN_TTL_MS)
        self.assertFalse(self.admit().number)
        self.step(REFUSAL_WINDOW_MS)
        self.assertTrue(self.admit().number)

    def test_counter_that_has_just_begun_admits_nothing_for_a_window(self) -> None:
        self.assertFalse(self.admit(started_ms=8).number)
        self.step(REFUSAL_WINDOW_MS)
        self.assertTrue(self.admit(started_ms=8).number)

    def test_endpoint_that_bears_no_refusal_gets_nothing(self) -> None:
        self.assertFalse(self.admit(tolerance=0).number)

    def test_refusals_in_any_second_stay_within_the_tolerance(self) -> None:
        rng = random.Random(5)
        refusals_ms: list[int] = []
        open_replies: list[AdmissionReply] = []
        for _ in range(20_000):
            self.step(rng.randrange(0, 30))
            if (reply := self.admit()).number:
                open_replies.append(reply)
            if open_replies and rng.random() < 0.5:
                refused = rng.random() < 0.6
                self.settle(open_replies.pop(rng.randrange(len(open_replies))), refused=refused)
                refusals_ms += [self.clock.now()] * refused
        self.assertGreater(len(refusals_ms), 100)
        gaps = (b - a for a, b in zip(refusals_ms, refusals_ms[2:], strict=False))
        self.assertGreater(min(gaps), 1_000)


class SendAdmissionsTest(unittest.IsolatedAsyncioTestCase):
    """An instance without a connection to its peers."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.tolerances = EndpointLimits(self.clock, REFUSAL_TOLERANCE)
        self.peers: list[str] = []
        self.admissions = SendAdmissions(
            self.clock,
            self.tolerances,
            AdmissionCounter(self.clock),
            instance_id="edge-1",
            link=None,
            list_peers=lambda: self.peers,
            list_service=lambda service: [ENDPOINT, RESTARTED],
        )

    def name_tolerance(self) -> None:
        self.tolerances.apply_notice(EndpointBrittleNotice("e1", 7, 1.0))

    async def test_endpoint_is_brittle_while_answers_say_so(self) -> None:
        self.assertFalse(self.admissions.is_brittle(ENDPOINT))
        self.name_tolerance()
        self.assertTrue(self.admissions.is_brittle(ENDPOINT))

    async def test_endpoint_that_starts_is_taken_to_be_like_the_others(self) -> None:
        self.assertFalse(self.admissions.is_brittle(RESTARTED))
        self.name_tolerance()
        self.assertTrue(self.admissions.is_brittle(RESTARTED))
        self.assertIsNone((await self.admissions.acquire(RESTARTED))[0])

    async def test_instance_that_is_alone_uses_the_whole_tolerance(self) -> None:
        self.name_tolerance()
        admission, wait_ms = await self.admissions.acquire(ENDPOINT)
        self.assertEqual((admission, wait_ms), (None, REFUSAL_WINDOW_MS))
        await self.clock.advance(REFUSAL_WINDOW_MS)
        admission, _ = await self.admissions.acquire(ENDPOINT)
        assert admission is not None
        self.assertIsNone((await self.admissions.acquire(ENDPOINT))[0])
        self.admissions.settle(admission, refused=False)
        await self.clock.advance(RETRY_MS)
        self.assertIsNotNone((await self.admissions.acquire(ENDPOINT))[0])

    async def test_endpoint_whose_counter_is_silent_gets_nothing(self) -> None:
        self.name_tolerance()
        self.peers = [f"edge-{number}" for number in range(2, 30)]
        self.assertEqual(await self.admissions.acquire(ENDPOINT), (None, SUSPICION_MS))
        self.assertEqual(self.admissions.known_wait_ms(ENDPOINT), SUSPICION_MS)
        self.admissions.reset_endpoint("e1")
        self.assertEqual(self.admissions.known_wait_ms(ENDPOINT), 0)


if __name__ == "__main__":
    unittest.main()

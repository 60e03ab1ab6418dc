"""What an endpoint says of itself, in any order of answers, notices and starts, against an oracle.

The oracle keeps every statement with its time and looks each rule up in that list.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from tornado.httputil import HTTPHeaders

from mastickeel.addresses import Address
from mastickeel.clock import FakeClock
from mastickeel_router.availability import EndpointAvailability, EndpointLeavingNotice
from mastickeel_router.availability.availability import (
    MAX_AWAY_MS,
    MAX_RETURN_SPREAD_MS,
    MAX_STATEMENTS,
)
from mastickeel_router.discovery import EndpointRecord
from mastickeel_router.relay.types import AnswerHead

RECORD = EndpointRecord("e1", "s", Address("127.0.0.1", 1), "dc-a", "v1", started_ms=1)
STARTS = st.integers(1, 3)
AWAY_MS = st.sampled_from([None, 0, 1, 400, 3_000, MAX_AWAY_MS * 2])


class AvailabilityMachine(RuleBasedStateMachine):
    """One endpoint with several starts; ``now`` is what the oracle takes for the time."""

    @initialize(seed=st.integers(0, 1_000))
    def start(self, seed: int) -> None:
        self.clock = FakeClock()
        self.availability = EndpointAvailability(self.clock, random.Random(seed))
        self.notices: list[EndpointLeavingNotice] = []
        self.availability.on_notice.append(self.notices.append)
        self.leaving: list[int] = []
        self.away: list[tuple[int, int, int]] = []
        self.newest_start = 0

    @rule(start=STARTS, leaving=st.booleans(), away_ms=AWAY_MS, status=st.sampled_from([200, 503]))
    def answer(self, start: int, leaving: bool, away_ms: int | None, status: int) -> None:
        head = AnswerHead(status, HTTPHeaders(), "a1", leaving=leaving, away_ms=away_ms)
        self.availability.record_answer(replace(RECORD, started_ms=start), head)
        if leaving:
            self.record(start)
        if away_ms:
            self.record(start, away_ms)

    @rule(start=STARTS, leaving=st.booleans(), away_ms=AWAY_MS)
    def answer_of_another_endpoint(self, start: int, leaving: bool, away_ms: int | None) -> None:
        head = AnswerHead(421, HTTPHeaders(), "a1", leaving=leaving, away_ms=away_ms)
        self.availability.record_answer(replace(RECORD, started_ms=start), head)

    @rule(start=STARTS)
    def notice(self, start: int) -> None:
        self.availability.apply_notice(EndpointLeavingNotice("e1", start))
        self.record(start)

    @rule(milliseconds=st.sampled_from([1, 250, 2_000]))
    def wait(self, milliseconds: int) -> None:
        asyncio.run(self.clock.advance(milliseconds))

    def record(self, start: int, away_ms: int | None = None) -> None:
        """Adds a statement to the oracle; one of an older process than the newest is of no use."""
        if start < self.newest_start:
            return
        self.newest_start = start
        if away_ms is None:
            self.leaving.append(start)
        else:
            self.away.append((start, self.clock.now(), min(away_ms, MAX_AWAY_MS)))

    @invariant()
    def rules_hold(self) -> None:
        now, start = self.clock.now(), self.newest_start
        record = replace(RECORD, started_ms=start)
        if not start:
            assert self.availability.accepts(record)
            return
        assert self.availability.is_leaving(record) == (start in self.leaving)
        ends = [at + away for of, at, away in self.away if of == start]
        least_ms = max([0, *(end - now for end in ends)])
        wait_ms = self.availability.wait_ms(record)
        assert least_ms <= wait_ms <= max(0, *(end - now + MAX_RETURN_SPREAD_MS for end in ends), 0)
        assert self.availability.accepts(replace(RECORD, started_ms=start + 1))

    @invariant()
    def each_start_is_told_once(self) -> None:
        assert len(set(self.notices)) == len(self.notices)


class AvailabilityTest(unittest.IsolatedAsyncioTestCase):
    async def test_number_of_statements_is_bounded(self) -> None:
        availability = EndpointAvailability(FakeClock(), random.Random(1))
        for number in range(MAX_STATEMENTS + 10):
            availability.apply_notice(EndpointLeavingNotice(f"e{number}", 1))
        self.assertEqual(len(availability._statements_by_id), MAX_STATEMENTS)


AvailabilityMachineTest = AvailabilityMachine.TestCase
AvailabilityMachineTest.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)

if __name__ == "__main__":
    unittest.main()

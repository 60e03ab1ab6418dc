"""Which endpoint and which model a request gets."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from unittest.mock import patch

from mastickeel.addresses import Address
from mastickeel.clock import FakeClock
from mastickeel_router.discovery import EndpointRecord
from mastickeel_router.placement import Candidate, Demand, EndpointLoads, score, scoring
from mastickeel_router.placement.escalation import (
    BUSY_BACKLOG_MS,
    DEFAULT_EXTRA_MS,
    EXTRA_DECAY_MS,
    EscalationInput,
    FirstEventLatency,
    choose_escalation,
)
from mastickeel_router.placement.promptcache import MAX_PARTS, PART_TTL_MS, PromptCache
from mastickeel_router.relay.types import PromptPart
from tests.mastickeel_router.placement.replay import ideal_mean_wait_ms, recorded, replay

PARTS = (PromptPart("shared", 13_000), PromptPart("own", 4_000))
LONG = Demand(17_000, PARTS, is_engine=True)
IDLE = Candidate(slots=64, running=0, same_data_centre=True)


def record(name: str, data_centre: str = "dc-a") -> EndpointRecord:
    return EndpointRecord(name, "s", Address("127.0.0.1", 1), data_centre, "v1", slots=64)


class ScoreTest(unittest.TestCase):
    def test_held_parts_outweigh_the_way_and_some_load(self) -> None:
        far = Candidate(slots=64, running=3, same_data_centre=False, cached_tokens=13_000)
        self.assertLess(score(LONG, far), score(LONG, IDLE))

    def test_short_requests_stay_near(self) -> None:
        short = Demand(600, (PromptPart("own", 600),), is_engine=True)
        far = Candidate(slots=64, running=0, same_data_centre=False, cached_tokens=600)
        self.assertLess(score(short, IDLE), score(short, far))

    def test_busy_plain_endpoint_loses_to_an_idle_one_elsewhere(self) -> None:
        busy = Candidate(slots=6, running=12, same_data_centre=True)
        far = Candidate(slots=6, running=0, same_data_centre=False)
        self.assertLess(score(Demand(), far), score(Demand(), busy))


class LoadsTest(unittest.TestCase):
    def loads(self, seed: int, data_centre: str = "dc-a") -> EndpointLoads:
        return EndpointLoads(FakeClock(), random.Random(seed), data_centre)

    def test_instances_agree_on_the_home_of_a_large_prompt(self) -> None:
        records = [record(f"e{number}", f"dc-{'abc'[number % 3]}") for number in range(6)]
        chosen = set()
        for seed, data_centre in ((1, "dc-a"), (2, "dc-b"), (3, "dc-c")):
            one = self.loads(seed, data_centre).choose(records, LONG, "m")
            assert one is not None
            chosen.add(one.id)
        self.assertEqual(len(chosen), 1)

    def test_backlog_is_the_mean_over_engines_and_goes_with_time(self) -> None:
        clock = FakeClock()
        loads = EndpointLoads(clock, random.Random(1), "dc-a")
        records = [record("e1"), record("e2")]
        loads.add_backlog("e1", 600.0)
        self.assertEqual(loads.backlog_ms(records), 300.0)
        self.assertEqual(loads.backlog_ms([]), 0.0)
        clock._now += 600
        self.assertEqual(loads.backlog_ms(records), 0.0)

    def test_hot_prompt_spreads_once_its_home_is_loaded(self) -> None:
        loads = self.loads(1)
        records = [record(f"e{number}") for number in range(4)]
        counts: Counter[str] = Counter()
        for _ in range(40):
            one = loads.choose(records, LONG, "m")
            assert one is not None
            loads.record_start(one, LONG, "m")
            counts[one.id] += 1
        self.assertLessEqual(max(counts.values()), 20)

    def test_unreachable_endpoint_gets_nothing_while_others_live(self) -> None:
        loads = self.loads(1)
        records = [record("e1"), record("e2")]
        loads.breakers.record_failure("e1", unreachable=True)
        chosen = {loads.choose(records, Demand(), "").id for _ in range(20)}
        self.assertEqual(chosen, {"e2"})
        loads.breakers.record_failure("e2", unreachable=True)
        self.assertIsNotNone(loads.choose(records, Demand(), ""))

    def test_endpoints_that_come_and_go_leave_nothing_behind(self) -> None:
        loads = self.loads(1)
        for number in range(20):
            one = record(f"e{number}")
            loads.record_start(one, LONG, "m")
            loads.record_end(one.id)
            loads.reset_endpoint(one.id)
        self.assertEqual(len(loads._running_by_id), 0)
        self.assertEqual(len(loads._caches_by_id), 0)

    def test_no_endpoint(self) -> None:
        self.assertIsNone(self.loads(1).choose([], LONG, "m"))


class HeldPartsTest(unittest.TestCase):
    """What an engine's memory holds, worked out from what was sent there."""

    def read(self, held: PromptCache, part: str, tokens: int, memory: int = 100) -> None:
        held.add_prompt("m", [(part, tokens)], memory, 0)

    def tokens_of(self, held: PromptCache, part: str, model: str = "m", now_ms: int = 0) -> int:
        return held.cached_tokens(Demand(50, (PromptPart(part, 50),)), model, now_ms)

    def test_least_recently_used_goes_when_memory_is_full(self) -> None:
        held = PromptCache()
        for part in ("a", "b", "a", "c"):
            self.read(held, part, 50)
        self.assertEqual([self.tokens_of(held, part) for part in "abc"], [50, 0, 50])

    def test_models_share_nothing_but_the_memory(self) -> None:
        held = PromptCache()
        self.read(held, "a", 50)
        self.assertEqual(self.tokens_of(held, "a", model="other"), 0)
        held.add_prompt("other", [("a", 90)], 100, 0)
        self.assertEqual(self.tokens_of(held, "a"), 0)

    def test_old_parts_and_many_parts_are_forgotten(self) -> None:
        held = PromptCache()
        self.read(held, "a", 50)
        self.assertEqual(self.tokens_of(held, "a", now_ms=PART_TTL_MS), 0)
        for number in range(MAX_PARTS):
            self.read(held, f"p{number}", 1, memory=0)
        self.assertEqual(self.tokens_of(held, "a"), 0)

    def test_parts_count_up_to_the_first_that_is_missing(self) -> None:
        held = PromptCache()
        held.add_prompt("m", [("a", 10), ("c", 10)], 100, 0)
        parts = (PromptPart("a", 10), PromptPart("b", 10), PromptPart("c", 10))
        self.assertEqual(held.cached_tokens(Demand(30, parts), "m", 0), 10)


class RecordedLoadTest(unittest.TestCase):
    """The first 12 s of a day with twice the usual load, as the gateways' logs recorded them."""

    def test_what_peers_tell_shortens_the_waits(self) -> None:
        sends = recorded()
        alone, told = replay(sends, share=False), replay(sends, share=True)
        self.assertLess(told.mean_wait_ms, 0.75 * alone.mean_wait_ms)

    def test_most_of_what_an_ideal_placement_could_win_is_won(self) -> None:
        sends = recorded()
        ideal_ms = ideal_mean_wait_ms(sends)
        alone, told = replay(sends, share=False), replay(sends, share=True)
        won_ms = alone.mean_wait_ms - told.mean_wait_ms
        self.assertGreater(won_ms, 0.5 * (alone.mean_wait_ms - ideal_ms))

    def test_counting_the_delay_of_others_spares_reading_again(self) -> None:
        sends = recorded()
        with patch.object(scoring, "DELAYED_REQUESTS", 0.0):
            selfish = replay(sends, share=True)
        fair = replay(sends, share=True)
        self.assertLess(fair.read_again_tokens, 0.75 * selfish.read_again_tokens)
        self.assertLess(fair.mean_wait_ms, selfish.mean_wait_ms)


class ModelTest(unittest.IsolatedAsyncioTestCase):
    def opinion(self, confidence: int | None, **changes: float) -> EscalationInput:
        fields = {"model_index": 0, "model_count": 3, "waited_ms": 100.0, "objective_ms": 3_000.0}
        fields |= {"larger_first_event_ms": 600.0} | changes
        return EscalationInput(confidence, **fields)

    def test_doubt_asks_the_largest(self) -> None:
        self.assertEqual(choose_escalation(self.opinion(20)), 2)

    def test_confidence_no_opinion_and_the_largest_are_taken(self) -> None:
        self.assertIsNone(choose_escalation(self.opinion(90)))
        self.assertIsNone(choose_escalation(self.opinion(None)))
        self.assertIsNone(choose_escalation(self.opinion(0, model_index=2)))

    def test_slow_largest_is_asked_only_when_the_answer_is_surely_bad(self) -> None:
        slow = {"larger_first_event_ms": 6_000.0}
        self.assertIsNone(choose_escalation(self.opinion(30, **slow)))
        self.assertEqual(choose_escalation(self.opinion(30)), 2)

    def test_busy_engines_run_the_largest_only_for_answers_that_are_surely_bad(self) -> None:
        busy = {"backlog_ms": BUSY_BACKLOG_MS}
        self.assertEqual(choose_escalation(self.opinion(50)), 2)
        self.assertIsNone(choose_escalation(self.opinion(50, **busy)))
        self.assertEqual(choose_escalation(self.opinion(10, **busy)), 2)
        sizes = [
            choose_escalation(self.opinion(50, backlog_ms=share * BUSY_BACKLOG_MS))
            for share in (0.2, 0.9)
        ]
        self.assertEqual(sizes, [2, None])

    def test_answer_that_could_not_end_in_time_is_not_asked_for(self) -> None:
        short = {"remaining_ms": 3_000.0, "larger_rest_ms": 2_500.0}
        self.assertIsNone(choose_escalation(self.opinion(0, **short)))

    async def test_first_events_are_learned_and_forgotten(self) -> None:
        clock = FakeClock()
        seen = FirstEventLatency(clock)
        self.assertEqual(seen.extra_ms("m"), DEFAULT_EXTRA_MS)
        for _ in range(20):
            seen.record("m", 4_000, 100)
        self.assertGreater(seen.extra_ms("m"), 3_500)
        await clock.advance(round(EXTRA_DECAY_MS))
        self.assertEqual(seen.extra_ms("m"), DEFAULT_EXTRA_MS)


if __name__ == "__main__":
    unittest.main()

"""How far a release goes, by time and evidence."""

from __future__ import annotations

import random
import unittest

from mastickeel_router.releases.decision import (
    COMPLETE_FROM,
    FIRST_SHARE,
    FULL_SHARE_FROM,
    SECOND_SHARE,
    SECOND_SHARE_FROM,
    VersionComparison,
    advance_plan,
)
from mastickeel_router.releases.model import ReleaseOrder, ReleasePlan, ReleaseState
from mastickeel_router.releases.service import DUTY_TIMING
from mastickeel_router.sequential import Block

USUAL_DURATION_MS = 24_000
"""How long the users give a release."""
STANDBY_MS = 300
"""Until one of eight others campaigns, 1.8 s apart each, and one round of the store."""
ORDER = ReleaseOrder("s", "v2", 20_000, 5)
PLAN = ReleasePlan("s", "v2", 5)


def at(part: float, plan: ReleasePlan = PLAN, answers: int = 100, bad: bool = False) -> ReleasePlan:
    return advance_plan(
        plan, ORDER, elapsed_ms=part * ORDER.duration_ms, answers=answers, is_bad=bad
    )


class AdvanceTest(unittest.TestCase):
    def test_share_grows_with_time(self) -> None:
        self.assertEqual(at(0.01).share, FIRST_SHARE)
        self.assertEqual(at(SECOND_SHARE_FROM).share, SECOND_SHARE)
        self.assertEqual(at(FULL_SHARE_FROM).share, 1.0)

    def test_good_release_is_complete_before_its_end(self) -> None:
        self.assertIs(at(COMPLETE_FROM).state, ReleaseState.COMPLETE)
        self.assertLess(COMPLETE_FROM, 1.0)

    def test_holder_that_is_lost_at_the_end_is_replaced_in_time(self) -> None:
        left_ms = (1 - COMPLETE_FROM) * USUAL_DURATION_MS
        self.assertGreater(left_ms, 1_000 * DUTY_TIMING.ttl_seconds + STANDBY_MS)

    def test_without_answers_the_share_stays_small(self) -> None:
        self.assertEqual(at(0.95, answers=0).share, FIRST_SHARE)
        self.assertIs(at(0.95, answers=0).state, ReleaseState.RUNNING)

    def test_bad_release_is_reverted_at_any_moment(self) -> None:
        for part in (0.01, 0.5, 0.99):
            plan = at(part, bad=True)
            self.assertEqual((plan.state, plan.share), (ReleaseState.REVERTED, 0.0))

    def test_ends_are_final(self) -> None:
        for end in (at(0.99), at(0.1, bad=True)):
            self.assertEqual(at(0.2, plan=end, bad=True), end)

    def test_share_never_shrinks_while_it_runs(self) -> None:
        self.assertEqual(at(0.1, plan=at(FULL_SHARE_FROM)).share, 1.0)


class VerdictTest(unittest.TestCase):
    def play(self, seed: int, bad_by_route: dict[str, float], answers: int) -> tuple[bool, int]:
        """Gives answers one by one; returns whether the target was found bad, and when."""
        draw = random.Random(seed)
        verdict = VersionComparison()
        sums = {route: Block() for route in bad_by_route}
        bad_seen = 0
        for _ in range(answers):
            route = draw.choice(list(bad_by_route))
            for _ in range(6):
                sums[route] = sums[route].plus(Block(0, 0, 1, int(draw.random() < 0.01)))
            bad = draw.random() < bad_by_route[route]
            bad_seen += bad
            sums[route] = sums[route].plus(Block(1, int(bad)))
            verdict.add_totals(dict(sums))
            if verdict.is_bad:
                return True, bad_seen
        return False, bad_seen

    def test_failing_target_is_found_before_fifty_bad_answers(self) -> None:
        for seed in range(20):
            found, bad = self.play(seed, {"a": 0.4, "b": 0.4, "c": 0.4}, 200)
            self.assertTrue(found)
            self.assertLess(bad, 50)

    def test_target_that_fails_on_one_route_is_found(self) -> None:
        for seed in range(20):
            found, bad = self.play(seed, {"a": 0.5, "b": 0.01, "c": 0.01}, 300)
            self.assertTrue(found)
            self.assertLess(bad, 50)

    def test_sound_target_is_kept(self) -> None:
        found = [self.play(seed, {"a": 0.01, "b": 0.01, "c": 0.01}, 150)[0] for seed in range(40)]
        self.assertLessEqual(sum(found), 1)

    def test_counts_that_shrink_are_not_weighed(self) -> None:
        verdict = VersionComparison()
        verdict.add_totals({"a": Block(10, 0, 50, 0)})
        verdict.add_totals({"a": Block(4, 0, 20, 0)})
        self.assertFalse(verdict.is_bad)


if __name__ == "__main__":
    unittest.main()

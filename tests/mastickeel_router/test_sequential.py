"""The test that halts roll-outs: its bound is exact, and it sees what it is meant to see."""

from __future__ import annotations

import itertools
import math
import random
import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from mastickeel.model import Guard, Rollout
from mastickeel_router.rollouts.guards import ALPHA, Guards
from mastickeel_router.sequential import (
    Block,
    SequentialTest,
    alpha_share,
    log_ratio,
)


def chance(count: int, bad: int, share: float) -> float:
    """Returns the chance of so many bad answers."""
    return math.comb(count, bad) * share**bad * (1 - share) ** (count - bad)


class RatioTest(unittest.TestCase):
    """The likelihood ratio of one block, by summing over all of its outcomes."""

    @seed(1)
    @settings(max_examples=200, deadline=None)
    @given(
        st.integers(1, 4),
        st.integers(1, 6),
        st.floats(0.001, 0.9),
        st.floats(0.001, 0.9),
        st.floats(0, 0.2),
        st.floats(0, 1),
        st.floats(0, 1),
    )
    def test_mean_is_at_most_one_wherever_the_hypothesis_is_true(
        self,
        new: int,
        old: int,
        old_guess: float,
        effect: float,
        limit: float,
        old_true: float,
        part: float,
    ) -> None:
        new_guess = min(0.999, old_guess + limit + effect)
        new_true = part * min(1.0, old_true + limit)
        mean = 0.0
        for new_bad, old_bad in itertools.product(range(new + 1), range(old + 1)):
            block = Block(new, new_bad, old, old_bad)
            ratio = math.exp(log_ratio(block, old_guess, new_guess, limit))
            mean += ratio * chance(new, new_bad, new_true) * chance(old, old_bad, old_true)
        self.assertLessEqual(mean, 1 + 1e-5)

    def test_parts_of_alpha_add_up_to_no_more_than_alpha(self) -> None:
        self.assertLessEqual(sum(alpha_share(number) for number in range(1, 100_000)), 1.0)


class SequentialTestTest(unittest.TestCase):
    """Whole sequences."""

    def halted_after(self, new_bad: float, old_bad: float, *, draws: random.Random) -> int:
        """Returns after how many answers evidence of 1/ALPHA is there; 0 for never."""
        test = SequentialTest(0.02)
        for number in range(1, 1_501):
            old = sum(draws.random() < old_bad for _ in range(9))
            test.add(Block(1, draws.random() < new_bad, 9, old))
            if test.evidence >= 1 / ALPHA:
                return number
        return 0

    def test_good_versions_are_hardly_ever_halted(self) -> None:
        draws = random.Random(2)
        shares = [draws.uniform(0.0, 0.3) for _ in range(100)]
        halted = sum(bool(self.halted_after(share + 0.02, share, draws=draws)) for share in shares)
        self.assertLessEqual(halted, 3, "1 in 100 is expected at most; 4 has a chance of 2 %")

    def test_bad_versions_are_halted(self) -> None:
        draws = random.Random(3)
        plain = [self.halted_after(0.6, 0.01, draws=draws) for _ in range(30)]
        self.assertTrue(all(0 < after <= 30 for after in plain), plain)
        subtle = [self.halted_after(0.2, 0.05, draws=draws) for _ in range(30)]
        self.assertTrue(all(subtle), subtle)

    def test_outage_that_hits_both_versions_halts_nothing(self) -> None:
        draws = random.Random(4)
        self.assertFalse(any(self.halted_after(0.9, 0.9, draws=draws) for _ in range(20)))

    def test_version_that_goes_bad_late_is_noticed(self) -> None:
        draws = random.Random(5)
        test = SequentialTest(0.02)
        for _ in range(3_000):
            test.add(Block(1, draws.random() < 0.01, 9, draws.random() < 0.09))
        answers = 0
        while answers < 200 and test.evidence < 1 / ALPHA:
            test.add(Block(1, draws.random() < 0.6, 9, draws.random() < 0.09))
            answers += 1
        self.assertLess(answers, 60)


class GuardsTest(unittest.TestCase):
    """The tests of one plan share ALPHA."""

    def test_chances_of_all_tests_add_up_to_alpha(self) -> None:
        metrics = ("failures", "ratings", "latency")
        plan = Rollout("r", "m", "a", "b", guards=tuple(Guard(one, 0.02) for one in metrics))
        guards = Guards(plan)
        for account in range(200):
            guards.add_rating(f"a{account}", True, True)
        chances = sum(1 / verdict.threshold for verdict in guards.results())
        self.assertLessEqual(chances, ALPHA)


if __name__ == "__main__":
    unittest.main()

"""Sequential test that halts rollouts: its false-alarm bound, and its power on bad versions."""

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


def binomial_probability(count: int, bad: int, share: float) -> float:
    """Returns the binomial probability of this number of bad answers."""
    return math.comb(count, bad) * share**bad * (1 - share) ** (count - bad)


class LikelihoodRatioTest(unittest.TestCase):
    """Mean likelihood ratio of one block, summed over all of the block's outcomes."""

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
    def test_mean_ratio_is_at_most_one_under_the_hypothesis(
        self,
        new: int,
        old: int,
        old_share: float,
        effect: float,
        limit: float,
        true_old_share: float,
        part: float,
    ) -> None:
        new_share = min(0.999, old_share + limit + effect)
        true_new_share = part * min(1.0, true_old_share + limit)
        mean = 0.0
        for new_bad, old_bad in itertools.product(range(new + 1), range(old + 1)):
            block = Block(new, new_bad, old, old_bad)
            ratio = math.exp(log_ratio(block, old_share, new_share, limit))
            mean += (
                ratio
                * binomial_probability(new, new_bad, true_new_share)
                * binomial_probability(old, old_bad, true_old_share)
            )
        self.assertLessEqual(mean, 1 + 1e-5)

    def test_alpha_shares_sum_to_at_most_one(self) -> None:
        self.assertLessEqual(sum(alpha_share(number) for number in range(1, 100_000)), 1.0)


class SequentialTestSimulationTest(unittest.TestCase):
    """Simulated answers; guards against halting good versions by chance and missing bad ones."""

    def answers_until_halt(self, new_bad: float, old_bad: float, *, rng: random.Random) -> int:
        """Returns the number of answers until the evidence reaches 1/ALPHA; 0 if it never does."""
        test = SequentialTest(0.02)
        for number in range(1, 1_501):
            old = sum(rng.random() < old_bad for _ in range(9))
            test.add(Block(1, rng.random() < new_bad, 9, old))
            if test.evidence >= 1 / ALPHA:
                return number
        return 0

    def test_good_versions_are_rarely_halted(self) -> None:
        rng = random.Random(2)
        shares = [rng.uniform(0.0, 0.3) for _ in range(100)]
        halted = sum(
            bool(self.answers_until_halt(share + 0.02, share, rng=rng)) for share in shares
        )
        self.assertLessEqual(halted, 3, "1 in 100 is expected at most; 4 have a probability of 2 %")

    def test_bad_versions_are_halted(self) -> None:
        rng = random.Random(3)
        plain = [self.answers_until_halt(0.6, 0.01, rng=rng) for _ in range(30)]
        self.assertTrue(all(0 < after <= 30 for after in plain), plain)
        subtle = [self.answers_until_halt(0.2, 0.05, rng=rng) for _ in range(30)]
        self.assertTrue(all(subtle), subtle)

    def test_outage_of_both_versions_causes_no_halt(self) -> None:
        rng = random.Random(4)
        self.assertFalse(any(self.answers_until_halt(0.9, 0.9, rng=rng) for _ in range(20)))

    def test_version_that_turns_bad_late_is_detected(self) -> None:
        rng = random.Random(5)
        test = SequentialTest(0.02)
        for _ in range(3_000):
            test.add(Block(1, rng.random() < 0.01, 9, rng.random() < 0.09))
        answers = 0
        while answers < 200 and test.evidence < 1 / ALPHA:
            test.add(Block(1, rng.random() < 0.6, 9, rng.random() < 0.09))
            answers += 1
        self.assertLess(answers, 60)


class GuardsTest(unittest.TestCase):
    """The tests of one rollout split ALPHA."""

    def test_probabilities_of_all_tests_sum_to_at_most_alpha(self) -> None:
        metrics = ("failures", "ratings", "latency")
        plan = Rollout("r", "m", "a", "b", guards=tuple(Guard(metric, 0.02) for metric in metrics))
        guards = Guards(plan)
        for account in range(200):
            guards.add_rating(f"a{account}", True, True)
        total_probability = sum(1 / result.threshold for result in guards.results())
        self.assertLessEqual(total_probability, ALPHA)


if __name__ == "__main__":
    unittest.main()

"""Sequential test of a new version against the old one, valid at every look.

Answers of both versions from about the same time form a block. The hypothesis is that the new
version is worse by no more than the limit. A block's likelihood under an alternative (the new
version is worse by more than the limit), divided by its likelihood under the point of the
hypothesis nearest to that alternative, has a mean of at most 1 whenever the hypothesis is true. The
product over blocks is therefore a supermartingale, and by Ville's inequality it ever reaches
1/alpha with a probability of at most alpha, however often the test looks at it. This holds for any
alternative that is chosen from earlier answers only, for the mean over several alternatives, and
for the sum over several starts that split alpha. Later starts detect a version that goes bad late.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

EFFECTS = (0.05, 0.12, 0.5)
"""Excess of the new version's bad share over the limit, one for each alternative."""
EFFECT_WEIGHTS = (0.2, 0.6, 0.2)
"""Weight of each alternative in the evidence."""
ANSWERS_PER_START = 100
"""New answers after which another start is added to the earlier ones."""
MAX_STARTS = 6
MAX_WAITING_OLD_ANSWERS = 2_000
"""Limit of the old answers that wait to be compared with new ones; the excess is dropped."""
PRIOR_BAD_ANSWERS = 0.5
PRIOR_ANSWERS = 10.0
MIN_SHARE_MARGIN = 1e-4
"""Smallest distance of an assumed share from 0 and 1."""
MAX_NEW_SHARE = 0.95
"""Largest share of an alternative: above it a single good answer would refute the alternative."""
BISECTION_STEPS = 24
FIRST_ALPHA_SHARE = 0.8
"""Part of alpha that goes to the first of the tests that split it."""


def alpha_share(number: int) -> float:
    """Returns the part of alpha for the test with this number, from 1; all parts sum to 1."""
    if number == 1:
        return FIRST_ALPHA_SHARE
    return (1 - FIRST_ALPHA_SHARE) * 6 / (math.pi * (number - 1)) ** 2


@dataclass(frozen=True)
class Block:
    """Counts of answers, and of bad ones, of both versions from about the same time."""

    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0

    def plus(self, other: Block) -> Block:
        """Returns the sum of two blocks."""
        return Block(
            self.new + other.new,
            self.new_bad + other.new_bad,
            self.old + other.old,
            self.old_bad + other.old_bad,
        )


@dataclass
class _Start:
    """One start of the test: the log of its product of likelihood ratios, for each effect."""

    number: int
    weights: tuple[float, ...]
    log_ratios: list[float] = field(init=False)

    def __post_init__(self) -> None:
        self.log_ratios = [0.0] * len(self.weights)

    def evidence(self) -> float:
        """Returns the weighted mean of the products, times this start's part of alpha."""
        products = (math.exp(min(log, 500.0)) for log in self.log_ratios)
        mean = sum(part * product for part, product in zip(self.weights, products, strict=True))
        return mean * alpha_share(self.number)


class SequentialTest:
    """Evidence that a new version is worse than the old one by more than a limit."""

    def __init__(
        self,
        limit: float,
        *,
        effects: tuple[float, ...] = EFFECTS,
        weights: tuple[float, ...] = EFFECT_WEIGHTS,
    ) -> None:
        """Creates a test without answers.

        Args:
            limit: Allowed excess of the new version's share of bad answers over the old one's.
            effects: Excess over the limit, one for each alternative.
            weights: Weight of each alternative in the evidence; they sum to 1.
        """
        self.judged_answers = 0
        """New answers that have been compared with old ones."""
        self._limit = limit
        self._effects = effects
        self._weights = weights
        self._starts = [_Start(1, weights)]
        self._answers_since_start = 0
        self._waiting = Block()
        self._old_bad_answers = PRIOR_BAD_ANSWERS
        self._old_answers = PRIOR_ANSWERS

    @property
    def evidence(self) -> float:
        """Evidence against the new version.

        For a new version within the limit, the probability that the evidence ever reaches 1/alpha
        is at most alpha.
        """
        return sum(start.evidence() for start in self._starts)

    def add(self, block: Block, *, limit: float | None = None) -> None:
        """Adds answers from about the same time; answers of one version wait for the other's.

        Args:
            block: The answers.
            limit: Allowed excess for these answers; None for that of the test. It must not depend
                on the answers themselves.
        """
        self._limit = self._limit if limit is None else limit
        waiting = self._waiting.plus(block)
        if not waiting.new or not waiting.old:
            self._waiting = _limit_old_answers(waiting)
            return
        self._waiting = Block()
        self._multiply_ratios(waiting)
        self._old_answers += waiting.old
        self._old_bad_answers += waiting.old_bad
        self.judged_answers += waiting.new
        self._answers_since_start += waiting.new
        self._add_start()

    def _multiply_ratios(self, block: Block) -> None:
        """Multiplies a block's likelihood ratios into the products of all starts."""
        old_share = min(
            1 - MIN_SHARE_MARGIN, max(MIN_SHARE_MARGIN, self._old_bad_answers / self._old_answers)
        )
        for index, effect in enumerate(self._effects):
            new_share = min(MAX_NEW_SHARE, old_share + self._limit + effect)
            log = log_ratio(block, old_share, new_share, self._limit)
            for start in self._starts:
                start.log_ratios[index] += log

    def _add_start(self) -> None:
        """Adds a start after enough new answers, in place of the one with the least evidence."""
        if self._answers_since_start < ANSWERS_PER_START:
            return
        self._answers_since_start = 0
        number = max(start.number for start in self._starts) + 1
        if len(self._starts) >= MAX_STARTS:
            self._starts.remove(min(self._starts, key=_Start.evidence))
        self._starts.append(_Start(number, self._weights))


def log_ratio(block: Block, old_share: float, new_share: float, limit: float) -> float:
    """Returns the logarithm of a block's likelihood ratio, whose mean is at most 1.

    Args:
        block: The answers.
        old_share: Share of bad answers of the old version under the alternative.
        new_share: Share of bad answers of the new version under the alternative.
        limit: Allowed excess of the new version's share under the hypothesis.
    """
    if new_share <= old_share + limit:
        return 0.0
    nearest = _nearest_old_share(block.old, block.new, old_share, new_share, limit)
    old_log = _log_likelihood(block.old, block.old_bad, old_share)
    old_log -= _log_likelihood(block.old, block.old_bad, nearest)
    new_log = _log_likelihood(block.new, block.new_bad, new_share)
    new_log -= _log_likelihood(block.new, block.new_bad, nearest + limit)
    return old_log + new_log


def _nearest_old_share(
    old: int, new: int, old_share: float, new_share: float, limit: float
) -> float:
    """Returns the old version's share at the point of the hypothesis nearest to an alternative.

    Finds the minimum of the relative entropy by bisection, over the points where the new share is
    the old share plus the limit.
    """
    low, high = old_share, new_share - limit
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        slope = old * (middle - old_share) / (middle * (1 - middle))
        shifted = middle + limit
        slope += new * (shifted - new_share) / (shifted * (1 - shifted))
        low, high = (middle, high) if slope < 0 else (low, middle)
    return (low + high) / 2


def _log_likelihood(count: int, bad: int, share: float) -> float:
    return bad * math.log(share) + (count - bad) * math.log1p(-share)


def _limit_old_answers(block: Block) -> Block:
    """Limits the old answers that wait while the new version has none; keeps their bad share."""
    if block.old <= MAX_WAITING_OLD_ANSWERS:
        return block
    bad = round(block.old_bad * MAX_WAITING_OLD_ANSWERS / block.old)
    return Block(block.new, block.new_bad, MAX_WAITING_OLD_ANSWERS, bad)

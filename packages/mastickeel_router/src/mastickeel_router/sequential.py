"""A test of a new version against the old one that may be looked at after every answer.

Answers of both versions of about the same time form a block. A block's likelihood under an
alternative (the new version is worse by more than the limit), over its likelihood under the point
of the hypothesis that is nearest to that alternative, has a mean of at most 1 whenever the
hypothesis is true. So the product over blocks is a supermartingale, and reaches 1/alpha with a
chance of at most alpha, whenever one looks (Ville). That holds for whatever alternative is taken
from the past; the mean over several of them, and over fresh starts that share alpha, keeps it. The
fresh starts notice a version that goes bad late.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

EFFECTS = (0.05, 0.12, 0.5)
"""How much worse than the limit the alternatives take the new version to be."""
EFFECT_WEIGHTS = (0.2, 0.6, 0.2)
"""The part of the evidence that each alternative has."""
ANSWERS_PER_START = 100
"""New answers after which the test starts afresh beside the earlier starts."""
MAX_STARTS = 6
MAX_WAITING_OLD_ANSWERS = 2_000
"""Old answers that wait for new ones to be set against; older ones are left out."""
PRIOR_BAD_ANSWERS = 0.5
PRIOR_ANSWERS = 10.0
MIN_SHARE_MARGIN = 1e-4
"""No share is taken to be nearer to 0 or 1."""
BISECTION_STEPS = 24
FIRST_ALPHA_SHARE = 0.8
"""The part of alpha that goes to the first of the tests that share it."""


def alpha_share(number: int) -> float:
    """Returns the part of alpha that the n-th of endlessly many tests may use, counted from 1."""
    if number == 1:
        return FIRST_ALPHA_SHARE
    return (1 - FIRST_ALPHA_SHARE) * 6 / (math.pi * (number - 1)) ** 2


@dataclass(frozen=True)
class Block:
    """Answers of both versions, of about the same time."""

    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0

    def plus(self, other: Block) -> Block:
        """Returns both together."""
        return Block(
            self.new + other.new,
            self.new_bad + other.new_bad,
            self.old + other.old,
            self.old_bad + other.old_bad,
        )


@dataclass
class _Start:
    """The logarithm of the product so far, by effect."""

    number: int
    log_ratios: list[float] = field(default_factory=lambda: [0.0] * len(EFFECTS))

    def evidence(self) -> float:
        """Returns the mean of the products, less what this start's part of alpha takes away."""
        products = (math.exp(min(log, 500.0)) for log in self.log_ratios)
        mean = sum(part * product for part, product in zip(EFFECT_WEIGHTS, products, strict=True))
        return mean * alpha_share(self.number)


class SequentialTest:
    """Evidence that a new version is worse than the old one by more than a limit."""

    def __init__(self, limit: float) -> None:
        """Makes a test.

        Args:
            limit: By how much the share of bad answers may be higher.
        """
        self.judged_answers = 0
        """New answers that have been set against old ones."""
        self._limit = limit
        self._starts = [_Start(1)]
        self._answers_since_start = 0
        self._waiting = Block()
        self._old_bad_answers = PRIOR_BAD_ANSWERS
        self._old_answers = PRIOR_ANSWERS

    @property
    def evidence(self) -> float:
        """The evidence; at 1/alpha, a version no worse than the limit is there by chance alpha."""
        return sum(start.evidence() for start in self._starts)

    def add(self, block: Block) -> None:
        """Takes answers of about the same time; a part waits until there are some of both."""
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
        """Multiplies a block's ratios of likelihood into the products."""
        old_share = min(
            1 - MIN_SHARE_MARGIN, max(MIN_SHARE_MARGIN, self._old_bad_answers / self._old_answers)
        )
        for index, effect in enumerate(EFFECTS):
            new_share = min(1 - MIN_SHARE_MARGIN, old_share + self._limit + effect)
            log = log_ratio(block, old_share, new_share, self._limit)
            for start in self._starts:
                start.log_ratios[index] += log

    def _add_start(self) -> None:
        """Begins another start after enough answers, and drops the least promising."""
        if self._answers_since_start < ANSWERS_PER_START:
            return
        self._answers_since_start = 0
        number = max(start.number for start in self._starts) + 1
        if len(self._starts) >= MAX_STARTS:
            self._starts.remove(min(self._starts, key=_Start.evidence))
        self._starts.append(_Start(number))


def log_ratio(block: Block, old_share: float, new_share: float, limit: float) -> float:
    """Returns the logarithm of a block's likelihood ratio, whose mean is at most 1.

    Args:
        block: The answers.
        old_share: The alternative's share of bad answers of the old version.
        new_share: The alternative's share for the new version, above the limit.
        limit: By how much the hypothesis lets the new version be worse.
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

    Nearest by relative entropy, over the points where the new share is the old one and the limit.
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
    """Bounds the old answers that wait while the new version has no work."""
    if block.old <= MAX_WAITING_OLD_ANSWERS:
        return block
    bad = round(block.old_bad * MAX_WAITING_OLD_ANSWERS / block.old)
    return Block(block.new, block.new_bad, MAX_WAITING_OLD_ANSWERS, bad)

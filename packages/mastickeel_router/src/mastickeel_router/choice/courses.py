"""The courses that a request can take over its candidates, and the cheapest mix of them."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from mastickeel_router.choice.learning import Estimate

MILLISECONDS_PER_SECOND = 1_000
MAX_CASCADE_STEPS = 3


@dataclass(frozen=True)
class Candidate:
    """A version that a request may run on, with what is expected of it."""

    version_id: str
    cost: float
    """Micros for one answer."""
    wait_ms: float
    """Until the caller has something to read, when it is streamed."""
    total_ms: float
    """Until the answer is whole."""
    pass_rate: Estimate
    """How often its answer passes."""
    retry_pass_rate: Estimate
    """How often it passes on requests that a cheaper version has failed."""


@dataclass(frozen=True)
class Course:
    """Versions tried one after the other; all but the last are judged before they are released."""

    version_ids: tuple[str, ...]
    cost: float
    """Expected micros."""
    wait_ms: float
    """Expected wait of the caller."""
    pass_rate: float
    """The share of answers that pass, by the lower confidence bound."""

    def weighted_cost(self, latency_weight: int) -> float:
        """Returns the cost with the waiting priced in, in micros."""
        return self.cost + latency_weight * self.wait_ms / MILLISECONDS_PER_SECOND


@dataclass(frozen=True)
class Mix:
    """Two courses, each for a share of the requests; both are the same where one is enough."""

    first: Course
    second: Course
    second_share: float
    """The share of the requests that take the second."""

    def pick(self, draw: float) -> Course:
        """Returns the course of one request.

        Args:
            draw: A number from 0 to 1 that belongs to the request.
        """
        return self.second if draw < self.second_share else self.first

    @property
    def pass_rate(self) -> float:
        """The cautious share of answers that pass."""
        return self.first.pass_rate + self.second_share * (
            self.second.pass_rate - self.first.pass_rate
        )


def list_courses(
    candidates: Sequence[Candidate], *, deviations: float, judge_ms: float | None
) -> list[Course]:
    """Returns every course over the candidates.

    Args:
        candidates: In order of cost.
        deviations: How many standard deviations of caution.
        judge_ms: What a judgement takes; None when there are none, so that nothing is held.

    Returns:
        Single versions, and cascades from cheap to dear when answers can be judged.
    """
    longest = 1 if judge_ms is None else MAX_CASCADE_STEPS
    return [
        _course(steps, deviations, judge_ms or 0.0)
        for length in range(1, longest + 1)
        for steps in combinations(candidates, length)
    ]


def _course(steps: Sequence[Candidate], deviations: float, judge_ms: float) -> Course:
    """Works out what to expect of one course.

    A cascade passes whenever one of its steps would have passed alone, as far as judgements are
    right; so it is held to pass no less often than the surest of its steps.
    """
    cost = wait_ms = 0.0
    reached, failing, last = 1.0, 1.0, len(steps) - 1
    for index, step in enumerate(steps):
        estimate = step.retry_pass_rate if index else step.pass_rate
        cost += reached * step.cost
        wait_ms += reached * (step.wait_ms if index == last else step.total_ms + judge_ms)
        reached *= 1 - estimate.mean
        failing *= 1 - estimate.lower_bound(deviations)
    surest = max(step.pass_rate.lower_bound(deviations) for step in steps)
    version_ids = tuple(step.version_id for step in steps)
    return Course(version_ids, cost, wait_ms, max(surest, 1 - failing))


def find_cheapest_mix(courses: Sequence[Course], target: float, latency_weight: int) -> Mix:
    """Returns the cheapest mix whose answers pass often enough.

    With one constraint, an optimal mix needs no more than two courses. When none reaches the
    target, the one that comes closest is taken.

    Args:
        courses: At least one.
        target: The share of answers that must pass.
        latency_weight: What a second of waiting costs, in micros.

    Returns:
        The mix.
    """
    courses = drop_slow_cascades(courses, latency_weight)
    enough = [one for one in courses if one.pass_rate >= target]
    if not enough:
        best = max(courses, key=lambda one: (one.pass_rate, -one.weighted_cost(latency_weight)))
        return Mix(best, best, 0.0)
    short = [one for one in courses if one.pass_rate < target]
    cheapest = min(enough, key=lambda one: one.weighted_cost(latency_weight))
    best_mix = Mix(cheapest, cheapest, 0.0)
    best_price = cheapest.weighted_cost(latency_weight)
    for low in short:
        for high in enough:
            share = (target - low.pass_rate) / (high.pass_rate - low.pass_rate)
            price = (1 - share) * low.weighted_cost(latency_weight) + share * high.weighted_cost(
                latency_weight
            )
            if price < best_price:
                best_mix, best_price = Mix(low, high, share), price
    return best_mix


def drop_slow_cascades(courses: Sequence[Course], latency_weight: int) -> list[Course]:
    """Leaves out the cascades whose waiting costs more than they can save.

    A cascade stays when it is cheaper than the dearest single version, waiting included, or when
    the account holds its waiting cheaper than the answers themselves.
    """
    dearest = max(one.weighted_cost(latency_weight) for one in courses if len(one.version_ids) == 1)
    return [
        one
        for one in courses
        if len(one.version_ids) == 1
        or one.weighted_cost(latency_weight) <= dearest
        or one.weighted_cost(latency_weight) - one.cost <= one.cost
    ]

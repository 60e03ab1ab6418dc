"""Courses, which are cascades of one or more versions, and the cheapest mix of them."""

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
    """A version that a request may run on, with its expected cost, times and pass rates."""

    version_id: str
    cost: float
    """Expected micros for one answer."""
    wait_ms: float
    """Expected time until the caller receives data: the first piece when the answer is streamed."""
    total_ms: float
    """Expected time until the answer is complete."""
    pass_rate: Estimate
    """Estimated share of its answers that pass."""
    retry_pass_rate: Estimate
    """Estimated share of its answers that pass after a cheaper version has failed the request."""


@dataclass(frozen=True)
class Course:
    """Versions tried in order; the answers of all but the last are judged before release."""

    version_ids: tuple[str, ...]
    cost: float
    """Expected micros."""
    wait_ms: float
    """Expected time that the caller waits."""
    pass_rate: float
    """Lower confidence bound of the share of answers that pass."""

    def weighted_cost(self, latency_weight: int) -> float:
        """Returns the cost plus the price of the caller's waiting, in micros.

        Args:
            latency_weight: Price of one second of waiting, in micros.
        """
        return self.cost + latency_weight * self.wait_ms / MILLISECONDS_PER_SECOND


@dataclass(frozen=True)
class Mix:
    """Two courses that share the requests; both are the same when one suffices."""

    first: Course
    second: Course
    second_share: float
    """Share of the requests that take the second course."""

    def pick(self, draw: float) -> Course:
        """Returns the course of one request.

        Args:
            draw: A number from 0 to 1, fixed for the request or its session.
        """
        return self.second if draw < self.second_share else self.first

    @property
    def pass_rate(self) -> float:
        """Lower bound of the share of answers that pass."""
        return self.first.pass_rate + self.second_share * (
            self.second.pass_rate - self.first.pass_rate
        )


def list_courses(
    candidates: Sequence[Candidate], *, deviations: float, judge_ms: float | None
) -> list[Course]:
    """Lists the possible courses over a set of candidates.

    Args:
        candidates: Candidates, cheapest first.
        deviations: Standard deviations that estimated pass rates are lowered by.
        judge_ms: Mean duration of a judgement; None when answers cannot be judged.

    Returns:
        Every single version and, when answers can be judged, every cascade in order of cost.
    """
    max_steps = 1 if judge_ms is None else MAX_CASCADE_STEPS
    return [
        _make_course(steps, deviations, judge_ms or 0.0)
        for length in range(1, max_steps + 1)
        for steps in combinations(candidates, length)
    ]


def _make_course(steps: Sequence[Candidate], deviations: float, judge_ms: float) -> Course:
    """Returns a course with its expected cost, wait and pass rate.

    Provided that judgements are right, a cascade passes whenever one of its steps would pass alone.
    Its pass rate is therefore at least that of its best step.
    """
    cost = wait_ms = 0.0
    reach_probability, failure_probability, last = 1.0, 1.0, len(steps) - 1
    for index, step in enumerate(steps):
        estimate = step.retry_pass_rate if index else step.pass_rate
        cost += reach_probability * step.cost
        wait_ms += reach_probability * (step.wait_ms if index == last else step.total_ms + judge_ms)
        reach_probability *= 1 - estimate.mean
        failure_probability *= 1 - estimate.lower_bound(deviations)
    best_single = max(step.pass_rate.lower_bound(deviations) for step in steps)
    version_ids = tuple(step.version_id for step in steps)
    return Course(version_ids, cost, wait_ms, max(best_single, 1 - failure_probability))


def find_cheapest_mix(courses: Sequence[Course], target: float, latency_weight: int) -> Mix:
    """Returns the cheapest mix of courses that reaches the target pass rate.

    With a single constraint, an optimal mix needs no more than two courses.

    Args:
        courses: At least one course.
        target: Share of answers that must pass.
        latency_weight: Price of one second of waiting, in micros.

    Returns:
        The mix; only the course with the highest pass rate when none reaches the target.
    """
    courses = drop_slow_cascades(courses, latency_weight)
    sufficient = [course for course in courses if course.pass_rate >= target]
    if not sufficient:
        best = max(
            courses, key=lambda course: (course.pass_rate, -course.weighted_cost(latency_weight))
        )
        return Mix(best, best, 0.0)
    insufficient = [course for course in courses if course.pass_rate < target]
    cheapest = min(sufficient, key=lambda course: course.weighted_cost(latency_weight))
    best_mix = Mix(cheapest, cheapest, 0.0)
    best_cost = cheapest.weighted_cost(latency_weight)
    for low in insufficient:
        for high in sufficient:
            share = (target - low.pass_rate) / (high.pass_rate - low.pass_rate)
            cost = (1 - share) * low.weighted_cost(latency_weight) + share * high.weighted_cost(
                latency_weight
            )
            if cost < best_cost:
                best_mix, best_cost = Mix(low, high, share), cost
    return best_mix


def drop_slow_cascades(courses: Sequence[Course], latency_weight: int) -> list[Course]:
    """Drops the cascades whose waiting time costs more than they can save.

    A cascade is kept when it is no more expensive than the most expensive single version, waiting
    included, or when its waiting is priced no higher than its answers.
    """
    most_expensive = max(
        course.weighted_cost(latency_weight) for course in courses if len(course.version_ids) == 1
    )
    return [
        course
        for course in courses
        if len(course.version_ids) == 1
        or course.weighted_cost(latency_weight) <= most_expensive
        or course.weighted_cost(latency_weight) - course.cost <= course.cost
    ]

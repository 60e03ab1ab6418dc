"""Chooses the versions of each request: the cheapest mix that meets the quality target."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import xxhash

from mastickeel.errors import ModelNotFoundError, NoVersionError
from mastickeel_router.choice.courses import (
    Candidate,
    Course,
    Mix,
    find_cheapest_mix,
    list_courses,
)
from mastickeel_router.choice.decisions import Decision, Decisions
from mastickeel_router.choice.learning import Learner, Subject
from mastickeel_router.choice.plan import Plan, RolloutRouting
from mastickeel_router.choice.profiles import Profiles
from mastickeel_router.requests import AUTO_MODEL, Choice

if TYPE_CHECKING:
    from collections.abc import Sequence

    from mastickeel.clock import Clock
    from mastickeel.model import Account, Version, View
    from mastickeel_router.choice.learning import Tally
    from mastickeel_router.choice.profiles import Profile
    from mastickeel_router.choice.ratings import RatingClient
    from mastickeel_router.choice.sessions import Sessions
    from mastickeel_router.requests import ChatRequest, Outcome

CAUTION_DEVIATIONS = 1.3
"""Standard deviations that estimated pass rates are lowered by when compared with the target."""
RELAXED_DEVIATIONS = 0.5
"""Replaces CAUTION_DEVIATIONS once ratings show that delivered answers meet the target."""
PROVEN_RATINGS = 100
"""Ratings of delivered answers below which their mean is not relied on."""
PROVEN_DEVIATIONS = 1.0
"""Standard deviations by which the delivered pass rate must exceed the target to relax caution."""
SHORTFALL_FACTOR = 1.0
"""Fraction of a shortfall in the delivered pass rate that is added to the target until made up."""
SHORTFALL_RAISE_LIMIT = 0.04
"""Largest addition to the target."""
EXPLORATION_SHARE = 0.02
"""Share of requests without a session that may explore a cheaper version."""
MIX_CACHE_TTL_MS = 1_000
MIX_CACHE_LIMIT = 4_096
HASH_RANGE = float(1 << 64)


@dataclass(frozen=True)
class QualityConstraint:
    """Pass rate that a mix has to reach."""

    target: float
    deviations: float
    """Standard deviations that the pass rate of each course is lowered by."""


@dataclass(frozen=True)
class _CachedMix:
    """The mix for one kind of request, kept until it expires."""

    mix: Mix
    exploration: Course | None
    """Course of an exploring request; None when there is nothing to explore."""
    course_count: int
    """Courses that the mix was selected from."""
    expires_ms: int
    """Expiry time on the monotonic clock."""


class Chooser:
    """Plans which versions each request runs on."""

    def __init__(
        self,
        clock: Clock,
        learner: Learner,
        ratings: RatingClient | None = None,
        sessions: Sessions | None = None,
        rollouts: RolloutRouting | None = None,
    ) -> None:
        """Creates the chooser.

        Args:
            clock: Measures how long a mix is cached.
            learner: Estimates the pass rate of each version.
            ratings: Judges held answers; None when answers cannot be judged.
            sessions: Keeps each session on its version; None without session support.
            rollouts: Substitutes versions that are being rolled out; None without rollouts.
        """
        self.decisions = Decisions()
        """Recent decisions, for ``explain``."""
        self._clock = clock
        self._learner = learner
        self._ratings = ratings
        self._sessions = sessions
        self._rollouts = rollouts
        self._profiles = Profiles()
        self._cached_mixes_by_key: dict[tuple[object, ...], _CachedMix] = {}

    async def plan(self, request: ChatRequest, view: View) -> Plan:
        """Plans a request: the cheapest course that meets the account's quality target.

        Args:
            request: The request to run.
            view: The configuration in force.

        Returns:
            The plan of the request.

        Raises:
            ModelNotFoundError: When no model or version has the requested name.
            NoVersionError: When no version with that name is allowed and live.
        """
        allowed = find_allowed_versions(request, view)
        if not allowed:
            raise _make_no_version_error(request, view)
        if request.session and self._sessions:
            return await self._plan_session(request, view, allowed, self._sessions)
        return self._plan_unpinned(request, view, allowed)

    def observe(self, outcome: Outcome) -> None:
        """Updates the usage averages with the tokens and times of a successful run."""
        if outcome.ok:
            self._profiles.observe(outcome)

    async def _plan_session(
        self, request: ChatRequest, view: View, allowed: list[Version], sessions: Sessions
    ) -> Plan:
        """Plans a request on the pinned version of its session, pinning one when there is none."""
        pin = sessions.find_pin(request)
        allowed_ids = {version.id for version in allowed}
        moved_from = ""
        if pin is None or pin.version_id not in allowed_ids:
            proposed = self._plan_unpinned(request, view, allowed)
            previous = pin
            pin = await sessions.assign_version(request, proposed.first_step.version_id, previous)
            if pin.version_id not in allowed_ids:
                previous = pin
                pin = await sessions.assign_version(
                    request, proposed.first_step.version_id, previous
                )
            if previous and previous.version_id != pin.version_id:
                moved_from = previous.version_id
        course = Course((pin.version_id,), 0.0, 0.0, 0.0)
        reason = f"session moved from {moved_from}" if moved_from else "version of the session"
        plan = self._make_plan(request, course, reason, {})
        plan.headers.update(sessions.build_headers(pin, moved_from))
        return plan

    def _plan_unpinned(self, request: ChatRequest, view: View, allowed: list[Version]) -> Plan:
        """Plans a request without regard to a session's pinned version."""
        versions = self._rollouts.filter_candidates(allowed, view) if self._rollouts else allowed
        if len(versions) == 1:
            course = Course((versions[0].id,), 0.0, 0.0, 0.0)
            return self._apply_rollouts(request, view, course, "only version", {"candidates": 1})
        cached = self._find_mix(request, view, versions)
        draw = hash_to_fraction(request.session or request.id)
        may_explore = cached.exploration is not None and not request.session
        if (
            may_explore
            and cached.exploration
            and hash_to_fraction(f"probe {request.id}") < EXPLORATION_SHARE
        ):
            course, reason = cached.exploration, "tries a cheaper version"
        else:
            course, reason = cached.mix.pick(draw), "cheapest mix within the target"
        account = view.committed.accounts_by_id[request.account_id]
        if cached.mix.pass_rate < account.quality_target:
            reason = "closest to the target"
        figures = {
            "candidates": float(len(versions)),
            "courses": float(cached.course_count),
            "expected_cost_micros": course.cost,
            "expected_wait_ms": course.wait_ms,
            "cautious_passes": course.pass_rate,
            "mix_passes": cached.mix.pass_rate,
            "mix_share": cached.mix.second_share,
            "quality_target": account.quality_target,
        }
        return self._apply_rollouts(request, view, course, reason, figures)

    def _apply_rollouts(
        self,
        request: ChatRequest,
        view: View,
        course: Course,
        reason: str,
        figures: dict[str, float],
    ) -> Plan:
        """Makes a plan after substituting versions that are being rolled out."""
        if self._rollouts:
            version_ids = self._rollouts.substitute(request, course.version_ids, view)
            if version_ids != course.version_ids:
                course = replace(course, version_ids=version_ids)
                reason = f"{reason}; new version of a roll-out"
        return self._make_plan(request, course, reason, figures)

    def _make_plan(
        self, request: ChatRequest, course: Course, reason: str, figures: dict[str, float]
    ) -> Plan:
        """Records a decision and returns the plan for it."""
        last = len(course.version_ids) - 1
        steps = [
            Choice(version_id, reason, figures, held_back=index < last)
            for index, version_id in enumerate(course.version_ids)
        ]
        self.decisions.record(
            Decision(
                request.id,
                request.account_id,
                request.kind,
                request.session,
                course.version_ids,
                reason,
                self._clock.wall(),
                figures,
            )
        )
        return Plan(request, steps, self._ratings, self._rollouts)

    def _find_mix(
        self, request: ChatRequest, view: View, versions: Sequence[Version]
    ) -> _CachedMix:
        """Returns the mix for a kind of request, computing it when none is cached."""
        account = view.committed.accounts_by_id[request.account_id]
        judge_ms = self._judgement_ms(request)
        key = (
            request.account_id,
            request.kind,
            tuple(version.id for version in versions),
            judge_ms is None,
            request.stream,
            view.committed.revision,
        )
        now_ms = self._clock.now()
        cached = self._cached_mixes_by_key.get(key)
        if cached and now_ms < cached.expires_ms:
            return cached
        if len(self._cached_mixes_by_key) >= MIX_CACHE_LIMIT:
            self._cached_mixes_by_key.clear()
        candidates = self._list_candidates(request, versions)
        constraint = derive_constraint(
            account.quality_target, self._learner.delivered_tally(account.id, request.kind)
        )
        cached = _compute_mix(account, constraint, candidates, judge_ms, now_ms + MIX_CACHE_TTL_MS)
        self._cached_mixes_by_key[key] = cached
        return cached

    def _judgement_ms(self, request: ChatRequest) -> float | None:
        """Returns the mean duration of a judgement; None when the answer cannot be judged."""
        if self._ratings is None or not self._ratings.available or request.session:
            return None
        return self._ratings.judge_ms

    def _list_candidates(
        self, request: ChatRequest, versions: Sequence[Version]
    ) -> list[Candidate]:
        """Returns a candidate for each version, cheapest first."""
        find_profile = self._profiles.find
        profiles = [
            find_profile(request.account_id, request.kind, version.id) for version in versions
        ]
        ranked = [
            (profile.cost(version), version.id, profile)
            for version, profile in zip(versions, profiles, strict=True)
        ]
        ranked.sort(key=lambda entry: entry[:2])
        last_rank = max(1, len(ranked) - 1)
        return [
            self._make_candidate(request, version_id, cost, profile, index / last_rank)
            for index, (cost, version_id, profile) in enumerate(ranked)
        ]

    def _make_candidate(
        self,
        request: ChatRequest,
        version_id: str,
        cost: float,
        profile: Profile,
        price_rank: float,
    ) -> Candidate:
        """Returns a version with its expected cost, times and pass rates."""
        subject = Subject(request.account_id, request.kind, version_id, False)
        return Candidate(
            version_id,
            cost,
            profile.first_piece_ms if request.stream else profile.total_ms,
            profile.total_ms,
            self._learner.estimate(subject, price_rank),
            self._learner.estimate(subject._replace(retry=True), price_rank),
        )


def derive_constraint(target: float, delivered: Tally) -> QualityConstraint:
    """Derives the constraint for a mix from the ratings of the answers delivered so far.

    Args:
        target: The account's quality target.
        delivered: Ratings of the answers delivered to callers.

    Returns:
        The target, raised while delivered answers fall short of it, and the caution to apply.
    """
    if delivered.rated < PROVEN_RATINGS:
        return QualityConstraint(target, CAUTION_DEVIATIONS)
    mean = min(1.0, delivered.passed / delivered.rated)
    if mean < target:
        raised = min(SHORTFALL_RAISE_LIMIT, SHORTFALL_FACTOR * (target - mean))
        return QualityConstraint(min(1.0, target + raised), CAUTION_DEVIATIONS)
    deviation = math.sqrt(mean * (1 - mean) / delivered.rated)
    is_proven = mean - PROVEN_DEVIATIONS * deviation >= target
    return QualityConstraint(target, RELAXED_DEVIATIONS if is_proven else CAUTION_DEVIATIONS)


def _compute_mix(
    account: Account,
    constraint: QualityConstraint,
    candidates: list[Candidate],
    judge_ms: float | None,
    expires_ms: int,
) -> _CachedMix:
    """Computes the cheapest mix and the exploration course of a kind of request."""
    courses = list_courses(candidates, deviations=constraint.deviations, judge_ms=judge_ms)
    mix = find_cheapest_mix(courses, constraint.target, account.latency_weight)
    exploration = _select_exploration(candidates, courses, mix, account)
    return _CachedMix(mix, exploration, len(courses), expires_ms)


def _select_exploration(
    candidates: Sequence[Candidate], courses: Sequence[Course], mix: Mix, account: Account
) -> Course | None:
    """Returns a course that tries the cheaper version with the most uncertain pass rate.

    When answers can be judged, the course is a cascade that ends on the last version of the mix, so
    that exploring never gives a caller a worse answer. Otherwise the version is tried alone, and
    only when the mix exceeds the quality target by enough to absorb failures.

    Returns:
        The course; None when no cheaper version is unused or the mix has too little slack.
    """
    in_use = {*mix.first.version_ids, *mix.second.version_ids}
    most_expensive = max(mix.first, mix.second, key=lambda course: course.cost)
    untried = [
        candidate
        for candidate in candidates
        if candidate.version_id not in in_use and candidate.cost < most_expensive.cost
    ]
    if not untried:
        return None
    least_known = max(untried, key=lambda candidate: candidate.pass_rate.deviation)
    cascade_ids = (least_known.version_id, most_expensive.version_ids[-1])
    for course in courses:
        if course.version_ids == cascade_ids:
            return course
    slack = mix.pass_rate - account.quality_target
    if slack < EXPLORATION_SHARE * (1 - least_known.pass_rate.lower_bound(CAUTION_DEVIATIONS)):
        return None
    return next(course for course in courses if course.version_ids == (least_known.version_id,))


def _make_no_version_error(request: ChatRequest, view: View) -> NoVersionError:
    """Returns the error for a request without an allowed version."""
    versions = view.committed.versions_by_id.values()
    if any(_matches_model(request, version) for version in versions):
        return NoVersionError(f"No version that {request.model!r} names is allowed and live.")
    return ModelNotFoundError(f"There is no model or version {request.model!r}.")


def _matches_model(request: ChatRequest, version: Version) -> bool:
    """Returns whether a version has the name that a request asks for."""
    return request.model in (AUTO_MODEL, version.model, version.id)


def find_allowed_versions(request: ChatRequest, view: View) -> list[Version]:
    """Returns the versions that a request names and its account is allowed to use."""
    return [
        version
        for version in view.committed.versions_by_id.values()
        if _matches_model(request, version) and view.allows(request.account_id, version.id)
    ]


def hash_to_fraction(key: str) -> float:
    """Returns a number from 0 to 1 derived from a key, the same on every instance."""
    return xxhash.xxh3_64_intdigest(key.encode()) / HASH_RANGE

"""Chooses the course of each request among the versions that are allowed."""

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
"""The quality target is held against the mean less so many standard deviations."""
RELAXED_DEVIATIONS = 0.5
"""The same, once the answers given to callers are known to meet the target."""
PROVEN_RATINGS = 100
PROVEN_DEVIATIONS = 1.0
SHORTFALL_FACTOR = 1.0
"""By how much of a shortfall the target is raised, until it is made up."""
SHORTFALL_RAISE_LIMIT = 0.04
EXPLORATION_SHARE = 0.02
"""The share of requests without a session that may go to try a cheaper version."""
MIX_CACHE_TTL_MS = 1_000
MIX_CACHE_LIMIT = 4_096
HASH_RANGE = float(1 << 64)


@dataclass(frozen=True)
class QualityConstraint:
    """What a mix has to reach."""

    target: float
    deviations: float
    """How much caution its courses are reckoned with."""


@dataclass(frozen=True)
class _Weighed:
    """A mix worked out for one kind of request, with what it was worked out from."""

    mix: Mix
    probe: Course | None
    """What an exploring request does; None where there is nothing to find out."""
    courses: int
    until_ms: int


class Chooser:
    """Plans requests."""

    def __init__(
        self,
        clock: Clock,
        learner: Learner,
        ratings: RatingClient | None = None,
        sessions: Sessions | None = None,
        rollouts: RolloutRouting | None = None,
    ) -> None:
        """Makes the chooser.

        Args:
            clock: Times how long a mix is kept.
            learner: What is known of the ratings.
            ratings: Judges held answers; None when nothing can be judged.
            sessions: Keeps each session on its version; None when there are no sessions.
            rollouts: Puts new versions in the place of old ones; None when there are none.
        """
        self.decisions = Decisions()
        """The recent decisions, for ``explain``."""
        self._clock = clock
        self._learner = learner
        self._ratings = ratings
        self._sessions = sessions
        self._rollouts = rollouts
        self._profiles = Profiles()
        self._weighed_by_key: dict[tuple[object, ...], _Weighed] = {}

    async def plan(self, request: ChatRequest, view: View) -> Plan:
        """Plans a request: the cheapest course that meets the account's quality target.

        Args:
            request: What is to run.
            view: The configuration in force.

        Returns:
            Its plan.

        Raises:
            ModelNotFoundError: When nothing has the name that the request gives.
            NoVersionError: When no version is allowed and live.
        """
        allowed = find_allowed_versions(request, view)
        if not allowed:
            raise _nothing_allowed(request, view)
        if request.session and self._sessions:
            return await self._plan_session(request, view, allowed, self._sessions)
        return self._plan_alone(request, view, allowed)

    def observe(self, outcome: Outcome) -> None:
        """Learns what a run took."""
        if outcome.ok:
            self._profiles.observe(outcome)

    async def _plan_session(
        self, request: ChatRequest, view: View, allowed: list[Version], sessions: Sessions
    ) -> Plan:
        """Keeps a session on its version, or gives a new one its version."""
        pin = sessions.find_pin(request)
        usable = {version.id for version in allowed}
        moved_from = ""
        if pin is None or pin.version_id not in usable:
            drawn = self._plan_alone(request, view, allowed)
            before = pin
            pin = await sessions.assign_version(request, drawn.first_step.version_id, before)
            if pin.version_id not in usable:
                before = pin
                pin = await sessions.assign_version(request, drawn.first_step.version_id, before)
            if before and before.version_id != pin.version_id:
                moved_from = before.version_id
        course = Course((pin.version_id,), 0.0, 0.0, 0.0)
        reason = f"session moved from {moved_from}" if moved_from else "version of the session"
        plan = self._plan(request, course, reason, {})
        plan.headers.update(sessions.build_headers(pin, moved_from))
        return plan

    def _plan_alone(self, request: ChatRequest, view: View, allowed: list[Version]) -> Plan:
        """Plans a request that is bound to no version."""
        versions = self._rollouts.narrow(allowed, view) if self._rollouts else allowed
        if len(versions) == 1:
            course = Course((versions[0].id,), 0.0, 0.0, 0.0)
            return self._steered(request, view, course, "only version", {"candidates": 1})
        weighed = self._weigh(request, view, versions)
        draw = hash_to_fraction(request.session or request.id)
        probing = weighed.probe is not None and not request.session
        if (
            probing
            and weighed.probe
            and hash_to_fraction(f"probe {request.id}") < EXPLORATION_SHARE
        ):
            course, reason = weighed.probe, "tries a cheaper version"
        else:
            course, reason = weighed.mix.pick(draw), "cheapest mix within the target"
        account = view.committed.accounts_by_id[request.account_id]
        if weighed.mix.pass_rate < account.quality_target:
            reason = "closest to the target"
        figures = {
            "candidates": float(len(versions)),
            "courses": float(weighed.courses),
            "expected_cost_micros": course.cost,
            "expected_wait_ms": course.wait_ms,
            "cautious_passes": course.pass_rate,
            "mix_passes": weighed.mix.pass_rate,
            "mix_share": weighed.mix.second_share,
            "quality_target": account.quality_target,
        }
        return self._steered(request, view, course, reason, figures)

    def _steered(
        self,
        request: ChatRequest,
        view: View,
        course: Course,
        reason: str,
        figures: dict[str, float],
    ) -> Plan:
        """Makes a plan in which roll-outs have put new versions in the place of old ones."""
        if self._rollouts:
            version_ids = self._rollouts.substitute(request, course.version_ids, view)
            if version_ids != course.version_ids:
                course = replace(course, version_ids=version_ids)
                reason = f"{reason}; new version of a roll-out"
        return self._plan(request, course, reason, figures)

    def _plan(
        self, request: ChatRequest, course: Course, reason: str, figures: dict[str, float]
    ) -> Plan:
        """Notes a decision and makes its plan."""
        last = len(course.version_ids) - 1
        steps = [
            Choice(version_id, reason, figures, held=index < last)
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

    def _weigh(self, request: ChatRequest, view: View, versions: Sequence[Version]) -> _Weighed:
        """Returns the mix for a kind of request, worked out at most once a while."""
        account = view.committed.accounts_by_id[request.account_id]
        judge_ms = self._judge_ms(request)
        key = (
            request.account_id,
            request.kind,
            tuple(version.id for version in versions),
            judge_ms is None,
            request.stream,
            view.committed.revision,
        )
        now_ms = self._clock.now()
        weighed = self._weighed_by_key.get(key)
        if weighed and now_ms < weighed.until_ms:
            return weighed
        if len(self._weighed_by_key) >= MIX_CACHE_LIMIT:
            self._weighed_by_key.clear()
        candidates = self._candidates(request, versions)
        aim = derive_constraint(
            account.quality_target, self._learner.delivered_tally(account.id, request.kind)
        )
        weighed = _weigh_anew(account, aim, candidates, judge_ms, now_ms + MIX_CACHE_TTL_MS)
        self._weighed_by_key[key] = weighed
        return weighed

    def _judge_ms(self, request: ChatRequest) -> float | None:
        """Returns what a judgement takes; None when answers cannot be held for one."""
        if self._ratings is None or not self._ratings.available or request.session:
            return None
        return self._ratings.judge_ms

    def _candidates(self, request: ChatRequest, versions: Sequence[Version]) -> list[Candidate]:
        """Returns what is expected of each version, in order of cost."""
        find = self._profiles.find
        profiles = [find(request.account_id, request.kind, one.id) for one in versions]
        priced = [
            (profile.cost(version), version.id, profile)
            for version, profile in zip(versions, profiles, strict=True)
        ]
        priced.sort(key=lambda one: one[:2])
        dearest = max(1, len(priced) - 1)
        return [
            self._candidate(request, version_id, cost, profile, index / dearest)
            for index, (cost, version_id, profile) in enumerate(priced)
        ]

    def _candidate(
        self, request: ChatRequest, version_id: str, cost: float, profile: Profile, rank: float
    ) -> Candidate:
        """Returns what is expected of one version."""
        subject = Subject(request.account_id, request.kind, version_id, False)
        return Candidate(
            version_id,
            cost,
            profile.first_piece_ms if request.stream else profile.total_ms,
            profile.total_ms,
            self._learner.estimate(subject, rank),
            self._learner.estimate(subject._replace(retry=True), rank),
        )


def derive_constraint(target: float, delivered: Tally) -> QualityConstraint:
    """Returns what to aim at, from how the answers given so far have been rated.

    Args:
        target: The account's quality target.
        delivered: The ratings of the answers that callers were given.
    """
    if delivered.rated < PROVEN_RATINGS:
        return QualityConstraint(target, CAUTION_DEVIATIONS)
    mean = min(1.0, delivered.passed / delivered.rated)
    if mean < target:
        repaid = min(SHORTFALL_RAISE_LIMIT, SHORTFALL_FACTOR * (target - mean))
        return QualityConstraint(min(1.0, target + repaid), CAUTION_DEVIATIONS)
    deviation = math.sqrt(mean * (1 - mean) / delivered.rated)
    is_proven = mean - PROVEN_DEVIATIONS * deviation >= target
    return QualityConstraint(target, RELAXED_DEVIATIONS if is_proven else CAUTION_DEVIATIONS)


def _weigh_anew(
    account: Account,
    aim: QualityConstraint,
    candidates: list[Candidate],
    judge_ms: float | None,
    until_ms: int,
) -> _Weighed:
    """Works the mix out."""
    courses = list_courses(candidates, deviations=aim.deviations, judge_ms=judge_ms)
    mix = find_cheapest_mix(courses, aim.target, account.latency_weight)
    probe = _probe(candidates, courses, mix, account)
    return _Weighed(mix, probe, len(courses), until_ms)


def _probe(
    candidates: Sequence[Candidate], courses: Sequence[Course], mix: Mix, account: Account
) -> Course | None:
    """Returns the course that tries the least known cheaper version.

    Where answers can be judged, the try is a cascade that ends as the mix does, so that no caller
    gets a worse answer for it. Elsewhere it is made only where the mix leaves slack for it.
    """
    in_use = {*mix.first.version_ids, *mix.second.version_ids}
    dear = max(mix.first, mix.second, key=lambda one: one.cost)
    cheaper = [one for one in candidates if one.version_id not in in_use and one.cost < dear.cost]
    if not cheaper:
        return None
    least_known = max(cheaper, key=lambda one: one.pass_rate.deviation)
    wanted = (least_known.version_id, dear.version_ids[-1])
    for course in courses:
        if course.version_ids == wanted:
            return course
    slack = mix.pass_rate - account.quality_target
    if slack < EXPLORATION_SHARE * (1 - least_known.pass_rate.lower_bound(CAUTION_DEVIATIONS)):
        return None
    return next(one for one in courses if one.version_ids == (least_known.version_id,))


def _nothing_allowed(request: ChatRequest, view: View) -> NoVersionError:
    """Returns the error for a request that no version may run."""
    versions = view.committed.versions_by_id.values()
    if any(_names(request, version) for version in versions):
        return NoVersionError(f"Nothing that {request.model!r} names is allowed and in use.")
    return ModelNotFoundError(f"No model is called {request.model!r}.")


def _names(request: ChatRequest, version: Version) -> bool:
    """Whether the request's model names a version."""
    return request.model in (AUTO_MODEL, version.model, version.id)


def find_allowed_versions(request: ChatRequest, view: View) -> list[Version]:
    """Returns the versions that the request names and may run on."""
    return [
        version
        for version in view.committed.versions_by_id.values()
        if _names(request, version) and view.allows(request.account_id, version.id)
    ]


def hash_to_fraction(key: str) -> float:
    """Returns a number from 0 to 1 that every instance draws alike for a key."""
    return xxhash.xxh3_64_intdigest(key.encode()) / HASH_RANGE

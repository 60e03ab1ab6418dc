"""Cost at the quality target: ours against fixed policies and an oracle, on the same draws."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from bench.measure.measurement import Measurement
from bench.measure.mixes import (
    Drawn,
    User,
    draw_requests,
    fremantle,
    with_bad_version,
    with_drift,
    with_price_rise,
    wolanski,
)
from mastickeel.clock import FakeClock
from mastickeel_router.choice import Chooser, Learner
from mastickeel_router.choice.courses import Candidate, Course, Mix, find_cheapest_mix, list_courses
from mastickeel_router.choice.learning import Estimate, Subject, delivered_subject
from mastickeel_router.requests import ChatRequest, Outcome, Usage

if TYPE_CHECKING:
    from mastickeel.model import View

SEED = 20_261
REQUESTS_PER_KIND = 4_000
QUICK_REQUESTS_PER_KIND = 2_400
LEARNED_AFTER = 2_000
"""Requests of a kind after which the cost is compared with the oracle's."""
SAMPLED = 0.3
"""The share of the answers that the service rates."""
RATING_LATE_MS = 60_000
JUDGE_MS = 80.0
ORACLE_MARGIN = 1.10
DEAREST_MARGIN = 0.7
LATENCY_MARGIN = 1.05
MONTE_CARLO = 4_000
STEPS = 20
"""How often the oracle looks at qualities that move, over the whole mix."""

Policy = Callable[[Drawn, "View", float], Awaitable[tuple[str, ...]]]
"""Gives the versions to try for a request; all but the last are held for a judgement."""


@dataclass
class Tab:
    """What a policy has come to."""

    costs: list[float] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)
    direct_latencies: list[float] = field(default_factory=list)
    passed_by_account: dict[str, list[bool]] = field(default_factory=lambda: defaultdict(list))
    late_cost: float = 0.0
    late_count: int = 0

    def percentile(self, share: float) -> float:
        """Returns a percentile of the times to the first piece."""
        return sorted(self.latencies)[int(share * (len(self.latencies) - 1))]


class JudgeTimes:
    """Tells the chooser what a judgement takes, as the rating client would."""

    available = True
    judge_ms = JUDGE_MS


class Ours:
    """The real chooser, taught by sampled and late ratings."""

    def __init__(self, user: User) -> None:
        self.clock = FakeClock()
        self.learner = Learner()
        self.chooser = Chooser(self.clock, self.learner, JudgeTimes())  # type: ignore[arg-type]
        self._user = user
        self._sampling = random.Random(SEED)
        self._due: list[tuple[int, int, Subject, bool, bool]] = []
        self._number = 0
        self._position = 0

    async def choose(self, request: Drawn, view: View, progress: float) -> tuple[str, ...]:
        """Plans a request, after the ratings that are due."""
        self.clock._now = max(self.clock._now, 1_000_000 + request.at_ms)
        while self._due and self._due[0][0] <= request.at_ms:
            _, _, subject, passed, held = heapq.heappop(self._due)
            self._position += 1
            self.learner.record_rating(subject, passed, self._position)
            if passed or not held:
                given = delivered_subject(subject.account_id, subject.kind)
                self.learner.record_rating(given, passed, self._position)
        chat = ChatRequest(
            request.id,
            request.account_id,
            "auto",
            {},
            True,
            request.at_ms,
            kind=request.kind,
        )
        plan = await self.chooser.plan(chat, view)
        versions = [plan.first_step.version_id]
        step = plan.next_step(plan.first_step)
        while step:
            versions.append(step.version_id)
            step = plan.next_step(step)
        return tuple(versions)

    def ran(
        self,
        request: Drawn,
        version_id: str,
        place: int,
        passed: bool,
        cost: float,
        held: bool,
    ) -> None:
        """Notes a run: what it took at once, its rating later and not always."""
        user = self._user
        self.chooser.observe(
            Outcome(
                request.id,
                request.account_id,
                request.kind,
                "",
                version_id,
                "endpoint",
                True,
                first_event_ms=round(user.first_ms(request, version_id)),
                total_ms=round(user.total_ms(request, version_id)),
                usage=Usage(request.prompt_tokens, request.completion_tokens),
                cost=round(cost),
            )
        )
        if self._sampling.random() < SAMPLED:
            late = int(self._sampling.expovariate(1 / RATING_LATE_MS))
            subject = Subject(request.account_id, request.kind, version_id, place > 0)
            self._number += 1
            entry = (request.at_ms + late, self._number, subject, passed, held)
            heapq.heappush(self._due, entry)


class Oracle:
    """Knows the true qualities, tokens and times, and mixes courses as well as can be."""

    def __init__(self, user: User, requests: list[Drawn]) -> None:
        self._user = user
        self._requests = requests
        self._mixes: dict[tuple[str, str, int, int], Mix] = {}

    async def choose(self, request: Drawn, view: View, progress: float) -> tuple[str, ...]:
        """Plans a request."""
        steps = 2 if self._user.is_steady else STEPS
        step = int(progress * steps)
        key = (request.account_id, request.kind, view.committed.revision, step)
        if key not in self._mixes:
            self._mixes[key] = self._mix(request, view, (step + 0.5) / steps)
        draw = random.Random(request.id).random()
        return self._mixes[key].pick(draw).version_ids

    def _mix(self, like: Drawn, view: View, progress: float) -> Mix:
        """Works the best mix out from draws of the same kind of request."""
        same = [one for one in self._requests if one.kind == like.kind][:MONTE_CARLO]
        account = view.committed.accounts_by_id[like.account_id]
        user, ids = self._user, list(view.committed.versions_by_id)
        verdicts = {
            one: [user.passes(_as(like, request), one, progress) for request in same] for one in ids
        }
        candidates = []
        for one in ids:
            version = view.committed.versions_by_id[one]
            cost = _mean([version.compute_cost(r.prompt_tokens, r.completion_tokens) for r in same])
            wait = _mean([user.first_ms(request, one) for request in same])
            total = _mean([user.total_ms(request, one) for request in same])
            share = _mean([float(passed) for passed in verdicts[one]])
            sure = Estimate(share, 0.0)
            candidates.append(Candidate(one, cost, wait, total, sure, sure))
        candidates.sort(key=lambda candidate: candidate.cost)
        by_id = {candidate.version_id: candidate for candidate in candidates}
        courses = [
            _true_course(course.version_ids, by_id, verdicts)
            for course in list_courses(candidates, deviations=0.0, judge_ms=JUDGE_MS)
        ]
        return find_cheapest_mix(courses, account.quality_target, account.latency_weight)


def _as(like: Drawn, request: Drawn) -> Drawn:
    """Returns a request as if another account had sent it."""
    return replace(request, account_id=like.account_id)


def _true_course(
    version_ids: tuple[str, ...], by_id: dict[str, Candidate], verdicts: dict[str, list[bool]]
) -> Course:
    """Returns a course with its true cost, wait and share."""
    count = len(verdicts[version_ids[0]])
    cost = wait = 0.0
    open_requests = list(range(count))
    for place, version_id in enumerate(version_ids):
        candidate, is_last = by_id[version_id], place == len(version_ids) - 1
        reached = len(open_requests) / count
        cost += reached * candidate.cost
        wait += reached * (candidate.wait_ms if is_last else candidate.total_ms + JUDGE_MS)
        open_requests = [one for one in open_requests if not verdicts[version_id][one]]
    return Course(version_ids, cost, wait, 1 - len(open_requests) / count)


def _mean(values: list[float] | list[int]) -> float:
    return sum(values) / len(values)


def fixed(*version_ids: str) -> Policy:
    """Returns the policy that takes the same course for every request."""

    async def choose(request: Drawn, view: View, progress: float) -> tuple[str, ...]:
        return version_ids

    return choose


async def play(user: User, requests: list[Drawn], policy: Policy, ours: Ours | None = None) -> Tab:
    """Plays a mix under a policy.

    Args:
        user: Whose mix it is.
        requests: Its draws.
        policy: Chooses.
        ours: Told of each run, where the policy learns.

    Returns:
        What it has come to.
    """
    tab = Tab()
    seen: dict[tuple[str, str], int] = defaultdict(int)
    for number, request in enumerate(requests):
        progress = number / len(requests)
        view = user.view(progress)
        versions = await policy(request, view, progress)
        cost = wait = 0.0
        passed = False
        for place, version_id in enumerate(versions):
            version = view.committed.versions_by_id[version_id]
            step_cost = version.compute_cost(request.prompt_tokens, request.completion_tokens)
            passed = user.passes(request, version_id, progress)
            cost += step_cost
            if ours:
                held = place < len(versions) - 1
                ours.ran(request, version_id, place, passed, step_cost, held)
            if place == len(versions) - 1:
                wait += user.first_ms(request, version_id)
                break
            wait += user.total_ms(request, version_id) + JUDGE_MS
            if passed:
                break
        tab.costs.append(cost)
        tab.latencies.append(wait)
        tab.direct_latencies.append(user.first_ms(request, version_id))
        tab.passed_by_account[request.account_id].append(passed)
        key = (request.account_id, request.kind)
        seen[key] += 1
        if seen[key] > LEARNED_AFTER:
            tab.late_cost += cost
            tab.late_count += 1
    return tab


async def measure_user(user: User, count_per_kind: int) -> list[Measurement]:
    """Measures every policy on one mix."""
    requests = draw_requests(user, count_per_kind, SEED)
    ids = [version.id for version in user.versions]
    ours = Ours(user)
    oracle = Oracle(user, requests)
    tabs = {
        "ours": await play(user, requests, ours.choose, ours),
        "oracle": await play(user, requests, oracle.choose),
        "dearest": await play(user, requests, fixed(ids[-1])),
        "cheapest": await play(user, requests, fixed(ids[0])),
        "fixed_cascade": await play(user, requests, fixed(*ids)),
    }
    note = f"seed {SEED}, {count_per_kind} requests per kind and account"
    found = [
        measurement
        for name, tab in tabs.items()
        for measurement in _describe(user, name, tab, tabs, note)
    ]
    return found + _targets(user, tabs, note)


def _describe(
    user: User, name: str, tab: Tab, tabs: dict[str, Tab], note: str
) -> list[Measurement]:
    """Returns the plain figures of one policy."""
    prefix = f"quality.{user.name}.{name}"
    met = [
        _mean([float(one) for one in tab.passed_by_account[account.id]]) >= account.quality_target
        for account in user.accounts
    ]
    cost = _mean(tab.costs)
    return [
        Measurement(f"{prefix}.cost", cost, "micros", _mean(tabs["dearest"].costs), note=note),
        Measurement(f"{prefix}.accounts_at_target", _mean([float(one) for one in met]), "share"),
        *(
            Measurement(f"{prefix}.first_piece.p{share}", tab.percentile(share / 100), "ms")
            for share in (50, 95, 99)
        ),
    ]


def _targets(user: User, tabs: dict[str, Tab], note: str) -> list[Measurement]:
    """Returns the figures that have a target."""
    ours, oracle, dearest = tabs["ours"], tabs["oracle"], tabs["dearest"]
    prefix = f"quality.{user.name}"
    late = ours.late_cost / ours.late_count
    oracle_late = oracle.late_cost / oracle.late_count
    found = []
    for account in user.accounts:
        share = _mean([float(one) for one in ours.passed_by_account[account.id]])
        target = account.quality_target
        name = f"{prefix}.target.{account.id}"
        found.append(
            Measurement(name, share, "share", None, target, share >= target, "over the whole mix")
        )
    limit = ORACLE_MARGIN * oracle_late
    found.append(
        Measurement(
            f"{prefix}.late_cost",
            late,
            "micros",
            oracle_late,
            limit,
            late <= limit,
            f"after {LEARNED_AFTER} requests per kind, against the oracle; {note}",
        )
    )
    limit = DEAREST_MARGIN * dearest.late_cost / dearest.late_count
    found.append(
        Measurement(
            f"{prefix}.late_cost_dearest",
            late,
            "micros",
            dearest.late_cost / dearest.late_count,
            limit,
            late <= limit,
            f"after {LEARNED_AFTER} requests per kind, against always dearest",
        )
    )
    if user.name.startswith("fremantle"):
        direct = sorted(ours.direct_latencies)[int(0.95 * (len(ours.direct_latencies) - 1))]
        limit = LATENCY_MARGIN * direct
        p95 = ours.percentile(0.95)
        found.append(
            Measurement(
                f"{prefix}.first_piece.p95_against_direct",
                p95,
                "ms",
                direct,
                limit,
                p95 <= limit,
                "against the same versions without holding",
            )
        )
    return found


async def measure(quick: bool) -> list[Measurement]:
    """Measures both users' mixes, plain and with what goes wrong in the middle.

    Args:
        quick: Whether to leave out all but the plain mixes.

    Returns:
        The figures.
    """
    count = QUICK_REQUESTS_PER_KIND if quick else REQUESTS_PER_KIND
    users = [wolanski(), fremantle()]
    if not quick:
        for base in (wolanski(), fremantle()):
            users += [with_drift(base), with_price_rise(base)]
            users += [with_bad_version(base, how) for how in ("at_once", "slowly", "one_account")]
    found = []
    for user in users:
        found += await measure_user(user, count)
    return found

"""Choice of versions under quality targets, allowances and prices, with and without judgements."""

from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import replace

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from mastickeel.clock import FakeClock
from mastickeel.errors import NoVersionError
from mastickeel.model import Account, Configuration, Version, VersionState, View
from mastickeel_router.choice import Chooser, Learner
from mastickeel_router.choice.courses import (
    Candidate,
    drop_slow_cascades,
    find_cheapest_mix,
    list_courses,
)
from mastickeel_router.choice.learning import Estimate, Subject
from mastickeel_router.requests import ChatRequest, Choice

SMALL, MIDDLE, LARGE = "small@1", "middle@1", "large@1"
PRICES = {SMALL: 100, MIDDLE: 300, LARGE: 900}


class FakeRatings:
    """A rating client of which only the availability matters."""

    def __init__(self, available: bool = True) -> None:
        self.available = available
        self.judge_ms = 50.0


def make_view(account: Account, prices: dict[str, int] | None = None, revision: int = 1) -> View:
    """Returns a configuration with three versions."""
    versions = {
        version_id: Version(
            version_id, version_id.partition("@")[0], "pool", price_in=price, price_out=price
        )
        for version_id, price in (prices or PRICES).items()
    }
    return View(Configuration(revision, {account.id: account}, versions))


def make_account(**fields: object) -> Account:
    """Returns an account that may use every model."""
    given_fields = {"allowed": ("small", "middle", "large"), "quality_target": 0.9, **fields}
    return Account("gmina", **given_fields)  # type: ignore[arg-type]


def make_trained_learner(qualities: dict[str, float], ratings: int = 500) -> Learner:
    """Returns a learner after ratings drawn from a pass rate per version."""
    learner, rng, at = Learner(), random.Random(7), 0
    for version_id, quality in qualities.items():
        for retry in (False, True):
            for _ in range(ratings):
                at += 1
                subject = Subject("gmina", "draft", version_id, retry)
                learner.record_rating(subject, rng.random() < quality, at)
    return learner


def make_chooser(learner: Learner, ratings: FakeRatings | None = None) -> Chooser:
    """Returns a chooser with a clock that does not advance."""
    return Chooser(FakeClock(), learner, ratings)  # type: ignore[arg-type]


def make_request(number: int = 0, model: str = "auto", **fields: object) -> ChatRequest:
    """Returns a request."""
    given_fields = {"kind": "draft", **fields}
    return ChatRequest(f"r{number}", "gmina", model, {}, False, 0, **given_fields)  # type: ignore[arg-type]


async def plan_first_versions(chooser: Chooser, view: View, count: int = 200) -> list[str]:
    """Returns the first version in the plan of each of many requests."""
    return [
        (await chooser.plan(make_request(number), view)).first_step.version_id
        for number in range(count)
    ]


class ChooserTest(unittest.IsolatedAsyncioTestCase):
    """Plans with many, few or no ratings."""

    async def test_most_expensive_version_answers_without_ratings(self) -> None:
        view = make_view(make_account())
        for ratings in (None, FakeRatings(available=False)):
            versions = await plan_first_versions(make_chooser(Learner(), ratings), view)
            self.assertEqual(set(versions), {LARGE})

    async def test_cheap_answers_are_judged_as_long_as_there_are_no_ratings(self) -> None:
        chooser = make_chooser(Learner(), FakeRatings())
        for number in range(100):
            plan = await chooser.plan(make_request(number), make_view(make_account()))
            self.assertTrue(plan.first_step.held or plan.first_step.version_id == LARGE)

    async def test_cheapest_version_that_meets_the_target_answers(self) -> None:
        chooser = make_chooser(make_trained_learner({SMALL: 0.97, MIDDLE: 0.98, LARGE: 0.99}))
        self.assertEqual(
            set(await plan_first_versions(chooser, make_view(make_account()))), {SMALL}
        )

    async def test_cheap_answers_below_the_target_are_held_unless_waiting_is_expensive(
        self,
    ) -> None:
        learner = make_trained_learner({SMALL: 0.75, MIDDLE: 0.8, LARGE: 0.95})
        chooser = make_chooser(learner, FakeRatings())
        view = make_view(make_account())
        plans = [await chooser.plan(make_request(number), view) for number in range(200)]
        self.assertTrue(any(plan.first_step.held for plan in plans))
        impatient_view = make_view(make_account(latency_weight=1_000_000), revision=2)
        plans = [await chooser.plan(make_request(number), impatient_view) for number in range(500)]
        held = sum(plan.first_step.held for plan in plans)
        self.assertLess(held, 25, "only the share for exploring is held")

    async def test_next_request_follows_a_price_increase(self) -> None:
        chooser = make_chooser(make_trained_learner({SMALL: 0.96, MIDDLE: 0.97, LARGE: 0.98}))
        self.assertEqual(
            set(await plan_first_versions(chooser, make_view(make_account()))), {SMALL}
        )
        raised_view = make_view(make_account(), {SMALL: 500, MIDDLE: 300, LARGE: 900}, revision=2)
        self.assertEqual(set(await plan_first_versions(chooser, raised_view, 20)), {MIDDLE})

    async def test_request_for_a_version_runs_on_no_other(self) -> None:
        chooser = make_chooser(make_trained_learner({SMALL: 0.99, MIDDLE: 0.99, LARGE: 0.99}))
        plan = await chooser.plan(make_request(model=LARGE), make_view(make_account()))
        self.assertEqual((plan.first_step.version_id, plan.first_step.held), (LARGE, False))

    async def test_explanation_shows_the_figures_of_the_decision(self) -> None:
        chooser = make_chooser(make_trained_learner({SMALL: 0.97, MIDDLE: 0.98, LARGE: 0.99}))
        await chooser.plan(make_request(5), make_view(make_account()))
        row = (await chooser.decisions.explain_request("r5")).rows[0]
        self.assertIn("quality_target=0.9", row[-1])
        self.assertEqual((await chooser.decisions.explain_request("none")).rows, ())
        self.assertEqual(len((await chooser.decisions.explain_version(SMALL)).rows), 1)


class AllowanceTest(unittest.TestCase):
    """No plan runs a version that the committed or the staged configuration forbids."""

    @seed(8)
    @settings(max_examples=80, deadline=None)
    @given(
        st.dictionaries(st.sampled_from([*PRICES]), st.floats(0, 1), min_size=1),
        st.sets(st.sampled_from([*PRICES])),
        st.sets(st.sampled_from([*PRICES])),
        st.booleans(),
        st.floats(0, 1),
        st.integers(0, 10**7),
    )
    def test_every_step_is_allowed_by_both_configurations(
        self,
        qualities: dict[str, float],
        committed: set[str],
        staged: set[str],
        judged: bool,
        target: float,
        weight: int,
    ) -> None:
        account = make_account(quality_target=target, latency_weight=weight)
        views = []
        for live in (committed, staged):
            base = make_view(account).committed
            versions = {
                version.id: (
                    version
                    if version.id in live
                    else replace(version, state=VersionState.WITHDRAWN)
                )
                for version in base.versions_by_id.values()
            }
            views.append(replace(base, versions_by_id=versions))
        chooser = make_chooser(make_trained_learner(qualities, 20), FakeRatings(judged))
        asyncio.run(self.check_plans(chooser, View(*views), committed & staged))

    async def check_plans(self, chooser: Chooser, view: View, allowed_ids: set[str]) -> None:
        for number in range(12):
            if not allowed_ids:
                with self.assertRaises(NoVersionError):
                    await chooser.plan(make_request(number), view)
                continue
            plan = await chooser.plan(make_request(number), view)
            step: Choice | None = plan.first_step
            while step:
                self.assertIn(step.version_id, allowed_ids)
                step = plan.next_step(step)


class MixTest(unittest.TestCase):
    """The cheapest mix, compared with a search over pairs of courses and shares."""

    @seed(9)
    @settings(max_examples=150, deadline=None)
    @given(
        st.lists(st.tuples(st.floats(1, 100), st.floats(0, 1), st.floats(0, 1)), min_size=1),
        st.floats(0, 1),
        st.integers(0, 1_000),
    )
    def test_no_other_mix_is_cheaper(
        self, figures: list[tuple[float, float, float]], target: float, weight: int
    ) -> None:
        candidates = [
            Candidate(f"v{n}@1", cost, cost, cost, Estimate(p, 0.0), Estimate(q, 0.0))
            for n, (cost, p, q) in enumerate(sorted(figures)[:4])
        ]
        courses = list_courses(candidates, deviations=1.0, judge_ms=20.0)
        courses = drop_slow_cascades(courses, weight)
        mix = find_cheapest_mix(courses, target, weight)
        reachable = max(course.pass_rate for course in courses)
        if reachable < target:
            return
        self.assertGreaterEqual(mix.pass_rate, target - 1e-9)
        mix_cost = (1 - mix.second_share) * mix.first.weighted_cost(
            weight
        ) + mix.second_share * mix.second.weighted_cost(weight)
        for first in courses:
            for second in courses:
                for share in (0.0, 0.25, 0.5, 0.75, 1.0):
                    pass_rate = first.pass_rate + share * (second.pass_rate - first.pass_rate)
                    if pass_rate >= target:
                        cost = (1 - share) * first.weighted_cost(
                            weight
                        ) + share * second.weighted_cost(weight)
                        self.assertGreaterEqual(cost, mix_cost - 1e-6)


if __name__ == "__main__":
    unittest.main()

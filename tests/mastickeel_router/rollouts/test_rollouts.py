"""Rollouts on several instances: bounds, halts, and duty holders that stop, pause and resume."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from bench.fleets.rollout_fleet import ACCOUNTS, LEASE_MS, NEW, OLD, Quality, RolloutFleet
from bench.histories import rollouts as history_rollouts
from mastickeel.model import Guard, Rollout, RolloutState, Stage, Version, VersionState, View
from mastickeel_router.requests import ChatRequest
from mastickeel_router.rollouts.controller import EXPOSURE_GROWTH
from mastickeel_router.rollouts.messages import ExposureReply, ExposureRequest
from mastickeel_router.rollouts.selection import (
    DEFAULT_BUDGET,
    is_in_share,
    rollouts_in_force,
    waiting_rollouts,
)

BAD = Quality(fails=lambda version, account, now_ms: 0.6 if version == NEW else 0.005)
STAGES = (Stage(0.2, 10_000, 50), Stage(0.5, 10_000, 50))


def make_fleet(quality: Quality | None = None, **options: object) -> RolloutFleet:
    """Returns five instances with a rollout that has just started."""
    settings = {"seed": 1, "stages": STAGES, "requests_per_second": 40.0, **options}
    return RolloutFleet(5, quality or Quality(), **settings)  # type: ignore[arg-type]


class RolloutTest(unittest.IsolatedAsyncioTestCase):
    """Whole rollouts."""

    async def test_good_version_completes_its_rollout(self) -> None:
        fleet = make_fleet()
        await fleet.run(300_000, lambda: fleet.rollout.state is RolloutState.DONE)
        self.assertEqual(fleet.rollout.state, RolloutState.DONE)
        self.assertEqual(len(fleet.commits), 2)
        before = fleet.answers_by_version[OLD]
        await fleet.run(10_000)
        self.assertLess(fleet.answers_by_version[OLD] - before, 60)

    async def test_bad_version_is_withdrawn_and_gets_no_more_requests(self) -> None:
        fleet = make_fleet(BAD)
        await fleet.run(300_000, lambda: fleet.new_is_out)
        self.assertEqual(fleet.rollout.state, RolloutState.UNDONE)
        self.assertIn("failures", fleet.rollout.reason)
        await fleet.run(5_000)
        answers = fleet.answers_by_version[NEW]
        self.assertLess(answers, 3 * DEFAULT_BUDGET)
        await fleet.run(20_000)
        self.assertEqual(fleet.answers_by_version[NEW], answers)
        self.assertEqual(len(fleet.commits), 1)

    async def test_rollout_without_withdrawal_is_halted_and_sends_no_more_requests(self) -> None:
        fleet = make_fleet(BAD, withdraw=False)
        await fleet.run(300_000, lambda: fleet.rollout.state is RolloutState.HALTED)
        self.assertFalse(fleet.new_is_out)
        await fleet.run(5_000)
        answers = fleet.answers_by_version[NEW]
        await fleet.run(20_000)
        self.assertEqual(fleet.answers_by_version[NEW], answers)

    async def test_version_that_is_bad_for_one_account_is_halted(self) -> None:
        fails = Quality(
            fails=lambda version, account, now_ms: (
                0.8 if version == NEW and account == ACCOUNTS[0] else 0.005
            )
        )
        fleet = make_fleet(fails)
        await fleet.run(300_000, lambda: fleet.new_is_out)
        self.assertTrue(fleet.new_is_out)

    async def test_slow_version_is_halted_by_its_guard(self) -> None:
        slow = Quality(takes_ms=lambda version, account, now_ms: 1_000 + 900 * (version == NEW))
        fleet = make_fleet(slow, guards=(Guard("latency", 0.1),))
        await fleet.run(600_000, lambda: fleet.rollout.state is not RolloutState.RUNNING)
        self.assertIn("latency", fleet.rollout.reason)

    async def test_missing_ratings_keep_exposure_and_stage_unchanged(self) -> None:
        fleet = make_fleet(guards=(Guard("ratings", 0.03),), rated=1.0, rating_late_ms=10**9)
        await fleet.run(120_000)
        self.assertEqual(fleet.rollout.stage, 0)
        self.assertLessEqual(fleet.answers_by_version[NEW], 2 * DEFAULT_BUDGET)

    async def test_new_version_gets_no_requests_after_the_holder_stops(self) -> None:
        fleet = make_fleet()
        await fleet.run(20_000)
        fleet.instances[0].paused = True
        await fleet.run(2 * LEASE_MS)
        answers = fleet.answers_by_version[NEW]
        await fleet.run(30_000)
        self.assertEqual(fleet.answers_by_version[NEW], answers)

    async def test_next_holder_completes_the_rollout_despite_a_resumed_old_holder(self) -> None:
        fleet = make_fleet()
        await fleet.run(30_000, lambda: fleet.rollout.stage == 1)
        fleet.instances[0].paused = True
        await fleet.run(LEASE_MS)
        fleet.lease.give("i3", fleet.clock.now())
        fleet.instances[0].paused = False
        await fleet.run(300_000, lambda: fleet.rollout.state is RolloutState.DONE)
        self.assertEqual(fleet.rollout.state, RolloutState.DONE)
        self.assertEqual(len(set(fleet.commits)), len(fleet.commits))

    async def test_new_holder_grants_nothing_until_old_grants_have_lapsed(self) -> None:
        fleet = make_fleet()
        await fleet.run(20_000)
        fleet.lease.give("i3", fleet.clock.now())
        controller = fleet.instances[3].controller
        report = ExposureRequest("r1", fleet.rollout.stage, 7, fleet.lease.fencing, 0, 0, 0, 5)
        first = await controller.on_report("i9", report)
        self.assertEqual((first.holds, first.granted), (True, 0))
        fleet.clock._step_to(fleet.clock.now() + LEASE_MS)
        fleet.lease.renew(fleet.clock.now())
        later = await controller.on_report("i9", report)
        self.assertGreater(later.granted, 0)

    async def test_holder_whose_lease_has_lapsed_grants_nothing(self) -> None:
        fleet = make_fleet()
        await fleet.run(20_000)
        fleet.clock._step_to(fleet.clock.now() + LEASE_MS)
        report = ExposureRequest("r1", 0, 7, fleet.lease.fencing, 0, 0, 0, 5)
        self.assertEqual(
            await fleet.instances[0].controller.on_report("i9", report), ExposureReply(False)
        )

    async def test_bounds_hold_and_exposure_grows_with_lost_replies(self) -> None:
        fleet = make_fleet()
        message_numbers = iter(range(10**9))
        fleet.hub.allow = lambda sender, receiver: next(message_numbers) % 3 != 0
        await fleet.run(60_000)
        window = DEFAULT_BUDGET + EXPOSURE_GROWTH * fleet.answers_by_version[NEW] + 1
        self.assertLessEqual(fleet.most_open, window)
        self.assertGreater(fleet.answers_by_version[NEW], DEFAULT_BUDGET)

    async def test_histories_keep_every_promise(self) -> None:
        for number in range(4):
            result = await history_rollouts.run(number)
            self.assertEqual(result.violations_by_promise, {}, f"seed {number}")
            self.assertGreater(sum(result.faults_by_kind.values()), 5)


class RolloutSelectionTest(unittest.TestCase):
    """Decisions from the configuration alone, without a duty holder."""

    def setUp(self) -> None:
        self.fleet = make_fleet()
        self.configuration = self.fleet.configuration

    def test_keys_in_a_small_share_stay_in_a_larger_one(self) -> None:
        rollout = self.fleet.rollout
        later = replace(rollout, stage=1)
        keys = [f"s{number}" for number in range(2_000)]
        small = {key for key in keys if is_in_share(rollout, key)}
        large = {key for key in keys if is_in_share(later, key)}
        self.assertLess(small, large)
        self.assertAlmostEqual(len(small) / len(keys), 0.2, delta=0.04)

    def test_only_one_of_two_rollouts_of_a_model_is_in_force(self) -> None:
        other = Rollout("r2", "scribe", OLD, "scribe@3", STAGES, stage_since_ms=10**15)
        rollouts_by_id = {**self.configuration.rollouts_by_id, "r2": other}
        both = replace(self.configuration, rollouts_by_id=rollouts_by_id)
        self.assertEqual([rollout.id for rollout in rollouts_in_force(both)], ["r1"])
        self.assertEqual([rollout.id for rollout in waiting_rollouts(both)], ["r2"])
        ended = {**rollouts_by_id, "r1": replace(rollouts_by_id["r1"], state=RolloutState.UNDONE)}
        after = replace(both, rollouts_by_id=ended)
        self.assertEqual([rollout.id for rollout in rollouts_in_force(after)], ["r2"])

    def test_account_without_the_new_version_never_gets_it(self) -> None:
        accounts = dict(self.configuration.accounts_by_id)
        accounts["pilots"] = replace(accounts["pilots"], allowed=(OLD,))
        view = View(replace(self.configuration, accounts_by_id=accounts))
        participant = self.fleet.instances[0].participant
        asyncio.run(self.fleet.run(20_000))
        for number in range(300):
            request = ChatRequest(f"x{number}", "pilots", "scribe", {}, False, 0)
            self.assertEqual(participant.substitute(request, (OLD,), view), (OLD,))

    def test_new_version_is_no_candidate_until_its_rollout_is_done(self) -> None:
        participant = self.fleet.instances[0].participant
        versions = [*self.configuration.versions_by_id.values()]
        expected = {
            RolloutState.RUNNING: [OLD],
            RolloutState.PAUSED: [OLD],
            RolloutState.HALTED: [OLD],
            RolloutState.UNDONE: [OLD],
            RolloutState.DONE: [NEW],
        }
        for state, version_ids in expected.items():
            rollout = replace(self.fleet.rollout, state=state)
            view = View(replace(self.configuration, rollouts_by_id={"r1": rollout}))
            remaining = participant.filter_candidates(versions, view)
            self.assertEqual([version.id for version in remaining], version_ids, state)
            only_new = [version for version in versions if version.id == NEW]
            self.assertEqual(participant.filter_candidates(only_new, view), only_new)

    def test_later_rollout_supersedes_an_ended_one(self) -> None:
        participant = self.fleet.instances[0].participant
        third = Version("scribe@3", "scribe", "pool")
        versions = [*self.configuration.versions_by_id.values(), third]
        undone = replace(self.fleet.rollout, state=RolloutState.UNDONE)
        again = replace(undone, id="r2", state=RolloutState.DONE, stage_since_ms=10**15)
        view = View(replace(self.configuration, rollouts_by_id={"r1": undone, "r2": again}))
        remaining = participant.filter_candidates(versions, view)
        self.assertEqual([version.id for version in remaining], [NEW, "scribe@3"])
        self.assertEqual(third.state, VersionState.LIVE)


if __name__ == "__main__":
    unittest.main()

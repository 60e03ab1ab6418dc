"""Requests that a bad version answers before it is out, over the whole fleet."""

from __future__ import annotations

import logging
import random
import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog

from bench.fleets.rollout_fleet import ACCOUNTS, COMMIT_MS, NEW, Quality, RolloutFleet
from bench.measure.measurement import Measurement
from mastickeel.model import Guard, Rollout, RolloutState, Stage
from mastickeel_router.rollouts.guards import Guards
from mastickeel_router.rollouts.messages import AnswerCounts

if TYPE_CHECKING:
    from collections.abc import Callable

INSTANCES = (3, 9, 30)
SEEDS = 15
QUICK_SEEDS = 2
SHARE = 0.1
"""Of the first stage, and of the fixed-share roll-out."""
REQUESTS_PER_SECOND = 60.0
RATING_LATE_MS = 60_000
WINDOW_MS = 60_000
"""How often the baseline's alarm looks, and at how much."""
ALARM_FAILURES = 0.05
ALARM_RATINGS = 0.1
ALARM_ANSWERS = 50
"""The baseline's alarm looks at no fewer answers than these."""
FLEET_FALSE_RUNS = 20
GUARD_FALSE_RUNS = 400
QUICK_GUARD_FALSE_RUNS = 100
ANSWERS_PER_FALSE_RUN = 1_500
ANSWERS_A_REPORT = 5
LONGEST_MS = 3_600_000
PLAIN_TARGET = 0.1
RATINGS_TARGET = 1 / 3
FALSE_TARGET = 0.01
STAGES = (Stage(SHARE, 60_000), Stage(0.25, 60_000), Stage(0.5, 60_000))
BOTH_GUARDS = (Guard("failures", 0.02), Guard("ratings", 0.03))


@dataclass(frozen=True)
class Case:
    """A way in which the new version is bad."""

    name: str
    fails: Callable[[str, str, int], float]
    passes: Callable[[str, str, int], float]
    rated: float
    target: float


def _cases() -> tuple[Case, ...]:
    """Returns what is measured against the baseline."""

    def fails_well(version: str, account: str, now_ms: int) -> float:
        return 0.005

    def passes_well(version: str, account: str, now_ms: int) -> float:
        return 0.95

    def fails_half(version: str, account: str, now_ms: int) -> float:
        return 0.5 if version == NEW else 0.005

    def fails_all(version: str, account: str, now_ms: int) -> float:
        return 1.0 if version == NEW else 0.005

    def passes_less(version: str, account: str, now_ms: int) -> float:
        return 0.8 if version == NEW else 0.95

    def fails_one_account(version: str, account: str, now_ms: int) -> float:
        return 0.8 if version == NEW and account == ACCOUNTS[0] else 0.005

    return (
        Case("fails_all", fails_all, passes_well, 1.0, PLAIN_TARGET),
        Case("fails_half", fails_half, passes_well, 1.0, PLAIN_TARGET),
        Case("fails_one_account", fails_one_account, passes_well, 1.0, PLAIN_TARGET),
        Case("ratings_drop_15", fails_well, passes_less, 1.0, RATINGS_TARGET),
    )


async def exposed(case: Case, instances: int, seed: int) -> int:
    """Runs one bad roll-out and returns how many requests the new version answered."""
    quality = Quality(case.fails, case.passes)
    fleet = RolloutFleet(
        instances,
        quality,
        seed=seed,
        stages=STAGES,
        guards=BOTH_GUARDS,
        requests_per_second=REQUESTS_PER_SECOND,
        rating_late_ms=RATING_LATE_MS,
        rated=case.rated,
    )
    await fleet.run(LONGEST_MS, lambda: fleet.rollout.state is not RolloutState.RUNNING)
    await fleet.run(5_000)
    return fleet.answers_by_version[NEW]


def exposed_with_alarm(case: Case, seed: int) -> int:
    """Runs the baseline: a fixed share, and an alarm that looks once a minute at that minute."""
    draws = random.Random(seed)
    now_ms, answered = 0.0, 0
    look_ms = float(WINDOW_MS)
    failures = [0, 0]
    pending: list[tuple[float, bool]] = []
    while now_ms < LONGEST_MS:
        now_ms += draws.expovariate(REQUESTS_PER_SECOND * SHARE) * 1_000
        if now_ms >= look_ms:
            rated = [passed for at, passed in pending if at <= look_ms]
            pending = [one for one in pending if one[0] > look_ms]
            if _alarms(failures, rated):
                return answered + round(REQUESTS_PER_SECOND * SHARE * COMMIT_MS / 1_000)
            failures = [0, 0]
            look_ms += WINDOW_MS
        account = draws.choice(ACCOUNTS)
        failed = draws.random() < case.fails(NEW, account, 0)
        answered += 1
        failures[0] += 1
        failures[1] += failed
        if not failed:
            passed = draws.random() < case.passes(NEW, account, 0)
            pending.append((now_ms + draws.expovariate(1 / RATING_LATE_MS), passed))
    return answered


def _alarms(failures: list[int], rated: list[bool]) -> bool:
    """Says whether the last minute's failures or ratings are over the alarm's mark."""
    if failures[0] >= ALARM_ANSWERS and failures[1] / failures[0] > 0.005 + ALARM_FAILURES:
        return True
    return len(rated) >= ALARM_ANSWERS and sum(rated) / len(rated) < 0.95 - ALARM_RATINGS


def false_halt(seed: int) -> bool:
    """Feeds the guards of one roll-out with a version exactly as good as the old one."""
    draws = random.Random(seed)
    guards = Guards(Rollout("r1", "scribe", "old", "new", STAGES, BOTH_GUARDS))
    fails, passes = draws.uniform(0.001, 0.05), draws.uniform(0.8, 0.98)
    old_for_each = draws.choice((1, 3, 9, 19))
    for _ in range(ANSWERS_PER_FALSE_RUN // ANSWERS_A_REPORT):
        account = draws.choice(ACCOUNTS)
        new, old = ANSWERS_A_REPORT, ANSWERS_A_REPORT * old_for_each
        new_failed = sum(draws.random() < fails for _ in range(new))
        old_failed = sum(draws.random() < fails for _ in range(old))
        guards.add_counts(
            account, AnswerCounts(new=new, new_failed=new_failed, old=old, old_failed=old_failed)
        )
        for is_new, count in ((False, old), (True, new)):
            for _ in range(count):
                guards.add_rating(account, is_new, draws.random() < passes)
        if any(verdict.is_reached for verdict in guards.results()):
            return True
    return False


async def false_halt_of_a_fleet(seed: int) -> bool:
    """Runs a whole roll-out of a good version through a small fleet."""
    fleet = RolloutFleet(
        3,
        Quality(),
        seed=seed,
        stages=STAGES,
        guards=BOTH_GUARDS,
        requests_per_second=20.0,
        rating_late_ms=5_000,
        rated=1.0,
    )
    await fleet.run(LONGEST_MS, lambda: fleet.rollout.state is not RolloutState.RUNNING)
    return fleet.rollout.state in (RolloutState.UNDONE, RolloutState.HALTED)


async def measure(quick: bool) -> list[Measurement]:
    """Measures exposure and false halts.

    Args:
        quick: Whether to take fewer seeds.

    Returns:
        The figures.
    """
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    seeds = range(QUICK_SEEDS if quick else SEEDS)
    found = []
    for case in _cases():
        baseline = statistics.median(exposed_with_alarm(case, seed) for seed in seeds)
        medians = []
        for instances in INSTANCES:
            runs = [await exposed(case, instances, seed) for seed in seeds]
            median = float(statistics.median(runs))
            medians.append(median)
            limit = case.target * baseline
            note = f"seeds {len(runs)}, from {min(runs)} to {max(runs)}, alarm at {WINDOW_MS} ms"
            found.append(
                Measurement(
                    f"exposure.{case.name}.{instances}",
                    median,
                    "requests",
                    float(baseline),
                    limit,
                    median <= limit,
                    note,
                )
            )
        growth = medians[-1] / max(1.0, medians[0])
        found.append(
            Measurement(
                f"exposure.{case.name}.growth",
                growth,
                "ratio",
                note=f"{INSTANCES[-1]} instances against {INSTANCES[0]}",
            )
        )
    return found + await _false_halts(quick)


async def _false_halts(quick: bool) -> list[Measurement]:
    """Measures how often good versions are halted."""
    runs = QUICK_GUARD_FALSE_RUNS if quick else GUARD_FALSE_RUNS
    halts = sum(false_halt(seed) for seed in range(runs))
    found = [_false_share("guards", halts, runs, f"{ANSWERS_PER_FALSE_RUN} answers a roll-out")]
    if not quick:
        fleet_halts = 0
        for seed in range(FLEET_FALSE_RUNS):
            fleet_halts += await false_halt_of_a_fleet(seed)
        found.append(_false_share("fleet", fleet_halts, FLEET_FALSE_RUNS, "3 instances"))
    return found


def _false_share(name: str, halts: int, runs: int, note: str) -> Measurement:
    share = halts / runs
    return Measurement(
        f"exposure.false_halts.{name}",
        share,
        "share",
        None,
        FALSE_TARGET,
        share <= FALSE_TARGET,
        f"{halts} of {runs}; {note}",
    )

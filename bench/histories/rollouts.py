"""Runs roll-outs under pauses, replacements and cut links, and checks what they promise."""

from __future__ import annotations

import logging
import random
from collections import Counter
from typing import TYPE_CHECKING

import structlog

from bench.fleets.rollout_fleet import LEASE_MS, NEW, Quality, RolloutFleet
from bench.histories.types import HistoryResult
from mastickeel.model import RolloutState, Stage
from mastickeel_router.rollouts.controller import EXPOSURE_GROWTH
from mastickeel_router.rollouts.selection import DEFAULT_BUDGET

if TYPE_CHECKING:
    from bench.fleets.rollout_fleet import Instance

ROUNDS = 24
ROUND_MS = 5_000
STAGES = (Stage(0.2, 20_000), Stage(0.5, 20_000))


class RolloutHistory:
    """One run with faults drawn from its seed."""

    def __init__(self, seed: int) -> None:
        """Makes the run.

        Args:
            seed: Draws the faults and the traffic.
        """
        self.draw = random.Random(seed)
        self.faults: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()
        self.out_since_ms = 0
        self.most_answers_when_out = 0
        """What the new version may have answered once all that it runs now has ended."""
        bad_from_ms = 1_000_000 + self.draw.randrange(10_000, ROUNDS * ROUND_MS)
        self.is_bad = self.draw.random() < 0.7
        self.seed = seed
        quality = Quality(
            fails=lambda version, account, now_ms: (
                0.6 if self.is_bad and version == NEW and now_ms > bad_from_ms else 0.01
            )
        )
        self.fleet = RolloutFleet(5, quality, seed=seed, stages=STAGES, requests_per_second=30.0)

    async def run(self) -> HistoryResult:
        """Runs to the end and returns what was seen."""
        for _ in range(ROUNDS):
            self._fault()
            await self.fleet.run(ROUND_MS)
            self._check()
        return HistoryResult(
            self.seed,
            sum(self.fleet.answers_by_version.values()),
            dict(self.faults),
            dict(self.violations),
        )

    def _fault(self) -> None:
        """Brings about one fault, or ends earlier ones."""
        fault = self.draw.choice(
            [self._pause_holder, self._wake_all, self._pass_duty_on, self._cut, self._heal]
        )
        fault()

    def _pause_holder(self) -> None:
        """Pauses the holder, unaware; its lease lapses and another instance takes the duty."""
        holder = self._instance(self.fleet.lease.holder)
        awake = [one for one in self.fleet.instances if not one.paused and one is not holder]
        if holder is None or len(awake) < 2:
            return
        holder.paused = True
        self.faults["holder_paused"] += 1
        heir = self.draw.choice(awake)
        self.fleet.at(LEASE_MS, lambda: self._take_duty(heir))

    def _take_duty(self, heir: Instance) -> None:
        if not heir.paused:
            self.fleet.lease.give(heir.name, self.fleet.clock.now())

    def _wake_all(self) -> None:
        """Wakes paused instances, which go on where they stopped."""
        for instance in self.fleet.instances:
            self.faults["woken"] += instance.paused
            instance.paused = False

    def _pass_duty_on(self) -> None:
        """Gives the duty to another instance while the old holder still believes in its own."""
        awake = [one for one in self.fleet.instances if not one.paused]
        heir = self.draw.choice(awake)
        self.faults["duty_passed_on"] += 1
        self.fleet.lease.give(heir.name, self.fleet.clock.now())

    def _cut(self) -> None:
        """Cuts one instance off from its peers."""
        name = self.draw.choice(self.fleet.instances).name
        self.faults["cut_off"] += 1
        self.fleet.hub.allow = lambda sender, receiver: name not in (sender, receiver)

    def _heal(self) -> None:
        """Ends the cut."""
        self.fleet.hub.allow = lambda sender, receiver: True

    def _instance(self, name: str) -> Instance | None:
        return next((one for one in self.fleet.instances if one.name == name), None)

    def _check(self) -> None:
        """Checks the promises on what has happened so far."""
        fleet = self.fleet
        self.violations["allowance"] += sum(fleet.sent_outside.values())
        window = DEFAULT_BUDGET + EXPOSURE_GROWTH * fleet.answers_by_version[NEW] + 1
        # Once the plan is done the new version carries all traffic, and no budget holds.
        is_done = fleet.rollout.state is RolloutState.DONE
        if max(0 if is_done else fleet.new_open, fleet.most_open) > window:
            self.violations["exposure_budget"] += 1
        withdrawn_for_ms = fleet.clock.now() - self.out_since_ms if fleet.new_is_out else 0
        if not fleet.new_is_out:
            self.out_since_ms = fleet.clock.now()
            self._note_out()
        elif withdrawn_for_ms <= ROUND_MS:
            self._note_out()
        elif fleet.answers_by_version[NEW] > self.most_answers_when_out:
            self.violations["withdrawn"] += 1
        self._check_commits()

    def _note_out(self) -> None:
        """Notes what the new version may still answer: what it was running when it was out."""
        fleet = self.fleet
        self.most_answers_when_out = fleet.answers_by_version[NEW] + fleet.new_open

    def _check_commits(self) -> None:
        """Checks that no stage was moved twice."""
        texts = Counter(self.fleet.commits)
        self.violations["stage_moved_once"] += sum(count - 1 for count in texts.values())
        self.violations = +self.violations


async def run(seed: int) -> HistoryResult:
    """Runs one history.

    Args:
        seed: Gives the same run again.

    Returns:
        What was done and what was broken.
    """
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    return await RolloutHistory(seed).run()

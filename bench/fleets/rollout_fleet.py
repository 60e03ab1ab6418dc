"""Many instances with the real roll-outs, in one process, on a clock that the driver moves."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from mastickeel.clock import FakeClock
from mastickeel.errors import UnavailableError
from mastickeel.model import (
    Account,
    Configuration,
    Guard,
    Rollout,
    Stage,
    Version,
    VersionState,
    View,
)
from mastickeel_router.choice.ratings import RatingEntry
from mastickeel_router.requests import ChatRequest, Outcome
from mastickeel_router.rollouts.controller import RolloutController
from mastickeel_router.rollouts.participant import RolloutParticipant
from mastickeel_standins.links import LinkHub

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.model import Delta

OLD, NEW = "scribe@1", "scribe@2"
TICK_MS = 100
LEASE_MS = 10_000
COMMIT_MS = 500
"""From the holder's decision until the change is in force on every instance."""
ACCOUNTS = ("harbour", "pilots", "masters", "wardens")


@dataclass
class Quality:
    """What the versions are like; a test or measurement changes it on the way."""

    fails: Callable[[str, str, int], float] = lambda version, account, now_ms: 0.005
    """The chance that an answer fails, by version, account and time."""
    passes: Callable[[str, str, int], float] = lambda version, account, now_ms: 0.95
    """The chance that an answer passes its rating."""
    takes_ms: Callable[[str, str, int], float] = lambda version, account, now_ms: 1_000.0
    """The mean time of an answer."""


@dataclass
class Lease:
    """The duty as the store knows it, and as each instance believes."""

    holder: str = ""
    fencing: int = 0
    believed_by_instance: dict[str, tuple[int, int]] = field(default_factory=dict)

    def give(self, instance: str, now_ms: int) -> None:
        """Lets an instance win the duty."""
        self.holder, self.fencing = instance, self.fencing + 1
        self.renew(now_ms)

    def renew(self, now_ms: int) -> None:
        """Lets the holder renew its lease."""
        if self.holder:
            self.believed_by_instance[self.holder] = (self.fencing, now_ms + LEASE_MS)

    def believed(self, instance: str, now_ms: int) -> int | None:
        """Returns the number that an instance believes to hold."""
        fencing, until_ms = self.believed_by_instance.get(instance, (0, 0))
        return fencing if now_ms < until_ms else None


class Instance:
    """One instance's part."""

    def __init__(self, fleet: RolloutFleet, name: str) -> None:
        self.name = name
        self.paused = False
        link: Any = fleet.hub.add(name)
        self.participant = RolloutParticipant(
            link, fleet.clock, random.Random(f"{fleet.seed} {name}"), lambda: fleet.configuration
        )
        self.controller = RolloutController(
            link,
            fleet.clock,
            configuration=lambda: fleet.configuration,
            fencing=lambda: fleet.lease.believed(name, fleet.clock.now()),
            commit=lambda delta, base, text: fleet.commit(name, delta, base, text),
        )
        self.participant.report_locally = self.controller.on_report
        self.controller.on_announced = self.participant.record_holder


class RolloutFleet:
    """Instances, their traffic, and the configuration that they share."""

    def __init__(
        self,
        instances: int,
        quality: Quality,
        *,
        seed: int,
        stages: tuple[Stage, ...] = (Stage(0.05, 60_000), Stage(0.25, 60_000), Stage(0.5, 60_000)),
        guards: tuple[Guard, ...] = (Guard("failures", 0.02),),
        requests_per_second: float = 60.0,
        rating_late_ms: int = 60_000,
        rated: float = 0.0,
        withdraw: bool = True,
    ) -> None:
        """Makes the fleet with one roll-out that has just begun.

        Args:
            instances: How many.
            quality: What the versions are like.
            seed: Makes the run repeatable.
            stages: Of the plan.
            guards: Of the plan.
            requests_per_second: Over the whole fleet.
            rating_late_ms: The mean wait for a rating.
            rated: The share of answers that are rated.
            withdraw: Whether the plan withdraws what its guards halt.
        """
        self.seed = seed
        self.clock = FakeClock()
        self.hub = LinkHub(self.clock)
        self.quality = quality
        self.lease = Lease()
        self.answers_by_version: Counter[str] = Counter()
        self.sent_outside: Counter[str] = Counter()
        """Requests sent to a withdrawn version, by version."""
        self.most_open = 0
        """The most requests that a holder had granted to the new version and not seen ended."""
        self.new_open = 0
        """Requests that the new version is answering."""
        self.commits: list[str] = []
        rollout = Rollout(
            "r1",
            "scribe",
            OLD,
            NEW,
            stages,
            guards,
            stage_since_ms=self.clock.wall(),
            withdraw=withdraw,
        )
        self.configuration = Configuration(
            1,
            {name: Account(name, allowed=("scribe",)) for name in ACCOUNTS},
            {name: Version(name, "scribe", "pool") for name in (OLD, NEW)},
            rollouts_by_id={"r1": rollout},
        )
        self.instances = [Instance(self, f"i{number}") for number in range(instances)]
        self._draw = random.Random(seed)
        self._rate = requests_per_second
        self._late_ms = rating_late_ms
        self._rated = rated
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._next_request_ms = float(self.clock.now())
        self.lease.give("i0", self.clock.now())

    @property
    def rollout(self) -> Rollout:
        """The plan as it stands."""
        return self.configuration.rollouts_by_id["r1"]

    @property
    def new_is_out(self) -> bool:
        """Whether the new version gets no work any more."""
        return self.configuration.versions_by_id[NEW].state is VersionState.WITHDRAWN

    async def run(self, until_ms: int, stop: Callable[[], bool] = lambda: False) -> None:
        """Moves the fleet on.

        Args:
            until_ms: How long.
            stop: Ends it earlier.
        """
        end = self.clock.now() + until_ms
        while self.clock.now() < end and not stop():
            self.clock._step_to(self.clock.now() + TICK_MS)
            await self._tick()

    async def commit(self, name: str, delta: Delta, base: int, text: str) -> None:
        """Takes a change, if its author still holds the duty and nothing came first.

        Raises:
            UnavailableError: When it does not.
        """
        believed = self.lease.believed(name, self.clock.now())
        if believed != self.lease.fencing or base != self.configuration.revision:
            raise UnavailableError("The duty has passed on, or another change came first.")
        revision = self.configuration.revision + 1
        changed = self.configuration.apply(delta, revision)
        self.commits.append(text)
        self.at(COMMIT_MS, lambda: self._put_in_force(changed))

    def at(self, after_ms: float, act: Callable[[], None]) -> None:
        """Lets something happen later."""
        due = self.clock.now() + int(after_ms)
        heapq.heappush(self._events, (due, next(self._order), act))

    def _put_in_force(self, changed: Configuration) -> None:
        if changed.revision == self.configuration.revision + 1:
            self.configuration = changed

    async def _tick(self) -> None:
        """Does what is due at this moment."""
        now_ms = self.clock.now()
        while self._events and self._events[0][0] <= now_ms:
            heapq.heappop(self._events)[2]()
        while self._next_request_ms <= now_ms:
            self._send_request()
            self._next_request_ms += self._draw.expovariate(self._rate) * 1_000
        holder = next((one for one in self.instances if one.name == self.lease.holder), None)
        if holder and not holder.paused and now_ms % 1_000 < TICK_MS:
            self.lease.renew(now_ms)
        for instance in self.instances:
            if not instance.paused:
                await instance.controller.tick()
        for instance in self.instances:
            if not instance.paused and now_ms % 200 < TICK_MS:
                await instance.participant.run_round()
        await self.clock.settle(rounds=3)
        for instance in self.instances:
            for standing in instance.controller.statuses():
                self.most_open = max(self.most_open, standing.outstanding)

    def _send_request(self) -> None:
        """Sends one request through a random instance that is not paused."""
        instance = self._draw.choice([one for one in self.instances if not one.paused])
        account = self._draw.choice(ACCOUNTS)
        number = next(self._order)
        request = ChatRequest(f"q{self.seed}-{number}", account, "scribe", {}, False, 0)
        view = View(self.configuration)
        versions = [
            one for one in view.committed.versions_by_id.values() if view.allows(account, one.id)
        ]
        narrowed = instance.participant.filter_candidates(versions, view)
        version = instance.participant.substitute(request, (narrowed[0].id,), view)[0]
        if not view.allows(account, version):
            self.sent_outside[version] += 1
        self.new_open += version == NEW
        takes_ms = self._draw.expovariate(1) * 0.5 + 0.5
        takes_ms *= self.quality.takes_ms(version, account, self.clock.now())
        self.at(takes_ms, lambda: self._answer(instance, request, version, takes_ms))

    def _answer(
        self, instance: Instance, request: ChatRequest, version: str, takes_ms: float
    ) -> None:
        """Lets an answer come."""
        now_ms = self.clock.now()
        account = request.account_id
        failed = self._draw.random() < self.quality.fails(version, account, now_ms)
        self.answers_by_version[version] += 1
        self.new_open -= version == NEW
        outcome = Outcome(
            request.id,
            account,
            "default",
            "",
            version,
            "endpoint",
            not failed,
            "endpoint_failed" if failed else "",
            total_ms=round(takes_ms),
            cost=100,
        )
        instance.participant.observe(outcome)
        if not failed and self._draw.random() < self._rated:
            instance.participant.on_answer_submitted(account, version)
            passed = self._draw.random() < self.quality.passes(version, account, now_ms)
            entry = RatingEntry(f"{request.id}#0", account, "default", version, passed)
            late_ms = self._draw.expovariate(1 / self._late_ms)
            self.at(late_ms, lambda: self._rate_answer(entry))
        instance.participant.on_request_ended(request.id)

    def _rate_answer(self, entry: RatingEntry) -> None:
        """Gives a rating to whoever reads the log."""
        for instance in self.instances:
            if instance.name == self.lease.holder and not instance.paused:
                instance.controller.on_rating(entry)

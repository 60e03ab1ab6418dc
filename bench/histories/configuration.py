"""Concurrent operators, instances and requests under faults, and what each promise came to."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bench.fleets.control_fleet import VERSIONS, ControlFleet, restore, withdraw
from bench.histories.types import HistoryResult
from mastickeel.changes import Change, decode
from mastickeel.errors import MastickeelError
from mastickeel.model import Account, Configuration, Delta
from mastickeel_router.configuration import ChangeConflictError, ChangeRefusedError

if TYPE_CHECKING:
    from collections.abc import Callable

INSTANCES = (3, 5)
STEPS = 60
STEP_MS = (40, 400)
CALM_MS = 30_000
LONGEST_FAULT_MS = 15_000
IN_PLACE_SHARE = 0.5
"""Of the instances that restart under their own id, at their old address."""
OPERATE_SHARE = 0.3
FAULT_SHARE = 0.15
PAIR = ("north", "south")
"""Accounts that every block sets alike; unlike ones show a half-applied block."""

ADMITTED = "no request admitted that neither allowed configuration permits"
WITHDRAWN = "none sent on a withdrawn version after its acceptance"
KEPT = "no accepted change lost or reverted"
WHOLE = "no half-applied block"
TRUE = "no refused change made all the same"


@dataclass
class Operation:
    """One change that an operator asked for."""

    text: str
    delta: Delta
    task: asyncio.Future[int]
    outcome: str = "open"
    revision: int = 0


@dataclass
class History:
    """One run: what was done and what was seen."""

    fleet: ControlFleet
    draw: random.Random
    operations: list[Operation] = field(default_factory=list)
    admissions: int = 0
    faults_by_kind: Counter[str] = field(default_factory=Counter)
    violations_by_promise: Counter[str] = field(default_factory=Counter)
    revisions_by_instance: dict[str, int] = field(default_factory=dict)
    accepted: dict[int, Operation] = field(default_factory=dict)
    tasks: list[asyncio.Future[None]] = field(default_factory=list)
    next_number: int = 100

    def operate(self) -> None:
        """Begins a change on a random instance, on the base that this instance knows."""
        instance_id = self.draw.choice(sorted(self.fleet.nodes_by_id))
        node = self.fleet.nodes_by_id[instance_id]
        if node.clock.paused or not node.control.configuration.is_member:
            return
        base = node.control.configuration.revision
        text = f"block {len(self.operations)}"
        delta = self._draw_delta(text)
        task = asyncio.ensure_future(
            self.fleet.committing(instance_id, delta, base=base, text=text)
        )
        self.operations.append(Operation(text, delta, task))
        task.add_done_callback(lambda _: self.observe())

    def _draw_delta(self, text: str) -> Delta:
        """Draws a withdrawal, its end, or a block over two accounts."""
        version_id = self.draw.choice(VERSIONS)
        match self.draw.randrange(3):
            case 0:
                return withdraw(version_id)
            case 1:
                return restore(version_id)
            case _:
                allowed = tuple(self.draw.sample(VERSIONS, 2))
                return Delta(accounts=tuple(Account(one, (text,), allowed) for one in PAIR))

    def collect(self) -> None:
        """Notes the operations that ended."""
        for operation in self.operations:
            if operation.outcome != "open" or not operation.task.done():
                continue
            error = None if operation.task.cancelled() else operation.task.exception()
            if operation.task.cancelled():
                operation.outcome = "unknown"
            elif error is None:
                operation.outcome = "accepted"
                operation.revision = operation.task.result()
                self.accepted[operation.revision] = operation
            elif isinstance(error, ChangeConflictError | ChangeRefusedError):
                operation.outcome = "refused"
            else:
                is_known = isinstance(error, MastickeelError) and error.ran.value == "no"
                operation.outcome = "refused" if is_known else "unknown"

    def observe(self) -> None:
        """Lets each instance decide on requests, and checks each decision against the log."""
        self.collect()
        configurations = self.configurations()
        newest = max(self.accepted, default=0)
        for instance_id, node in sorted(self.fleet.nodes_by_id.items()):
            self._check_monotonic(instance_id, node.control.configuration.revision)
            if node.clock.paused or not self.fleet.is_fresh(instance_id):
                continue
            view = node.control.configuration.fresh_view()
            hashes = {
                view.committed.accounts_by_id[one].key_hashes
                for one in PAIR
                if one in view.committed.accounts_by_id
            }
            self.violations_by_promise[WHOLE] += len(hashes) > 1
            possible = configurations[newest:]
            for account_id in ("town", *PAIR):
                for version_id in VERSIONS:
                    if not view.allows(account_id, version_id):
                        continue
                    self.admissions += 1
                    allowed = any(one.allows(account_id, version_id) for one in possible)
                    self.violations_by_promise[ADMITTED] += not allowed
                    withdrawn = all(
                        version_id in one.versions_by_id
                        and one.versions_by_id[version_id].state == "withdrawn"
                        for one in possible
                    )
                    self.violations_by_promise[WITHDRAWN] += withdrawn

    def _check_monotonic(self, instance_id: str, revision: int) -> None:
        before = self.revisions_by_instance.get(instance_id, 0)
        self.violations_by_promise[KEPT] += 0 < revision < before
        self.revisions_by_instance[instance_id] = max(before, revision)

    def configurations(self) -> list[Configuration]:
        """Returns the configuration at each revision that the store has."""
        configurations = [Configuration()]
        for change in self.log():
            configurations.append(configurations[-1].apply(change.delta, change.revision))
        return configurations

    def log(self) -> list[Change]:
        """Returns the changes that the store has."""
        found = self.fleet.store.state.select(
            b"/mastickeel/config/log/", b"/mastickeel/config/log0", 0
        )
        return [decode(each.value, Change) for each in found]

    def finish(self) -> None:
        """Checks what is left when all is calm again."""
        self.collect()
        texts_by_revision = {change.revision: change.text for change in self.log()}
        for revision, operation in self.accepted.items():
            self.violations_by_promise[KEPT] += texts_by_revision.get(revision) != operation.text
        made = set(texts_by_revision.values())
        for operation in self.operations:
            is_false = operation.outcome == "refused" and operation.text in made
            self.violations_by_promise[TRUE] += is_false
        newest = max(texts_by_revision, default=0)
        for instance_id, revision in self.fleet.revisions().items():
            is_behind = self.fleet.is_fresh(instance_id) and revision != newest
            self.violations_by_promise[KEPT] += is_behind


async def run(seed: int) -> HistoryResult:
    """Runs one history.

    Args:
        seed: Draws everything.

    Returns:
        What was done, and how many times each promise was broken.
    """
    draw = random.Random(seed)
    fleet = ControlFleet(seed)
    history = History(fleet, draw)
    try:
        await fleet.start(draw.randint(*INSTANCES))
        for _ in range(STEPS):
            if draw.random() < OPERATE_SHARE and fleet.nodes_by_id:
                history.operate()
            if draw.random() < FAULT_SHARE:
                _inject(history)
            await fleet.advance(draw.randint(*STEP_MS))
            history.observe()
        await _calm(history)
        history.finish()
    finally:
        await fleet.stop()
    broken = {one: count for one, count in history.violations_by_promise.items() if count}
    operations = len(history.operations) + history.admissions
    return HistoryResult(seed, operations, dict(history.faults_by_kind), broken)


async def _calm(history: History) -> None:
    """Ends every fault and lets the fleet settle."""
    fleet = history.fleet
    fleet.cut_store()
    fleet.cut_peers()
    fleet.network.loss_ratio = 0.0
    fleet.store.faults.outage = False
    fleet.store.faults.delay_ms = 0
    fleet.store.faults.silent_watches = False
    for node in fleet.nodes_by_id.values():
        node.clock.resume()
    for _ in range(CALM_MS // 1_000):
        await fleet.advance(1_000)
        history.observe()


def _inject(history: History) -> None:
    """Brings about one random fault, which ends after a random time."""
    kind, fault = history.draw.choice(FAULTS)
    history.faults_by_kind[kind] += 1
    ending = fault(history)
    if ending:
        duration_ms = history.draw.randint(200, LONGEST_FAULT_MS)
        history.tasks.append(asyncio.ensure_future(_later(history, duration_ms, ending)))


async def _later(history: History, duration_ms: int, work: Callable[[], object]) -> None:
    await history.fleet.clock.sleep(duration_ms)
    work()


def _victims(history: History) -> list[str]:
    """Draws some of the instances, never all."""
    ids = sorted(history.fleet.nodes_by_id)
    return history.draw.sample(ids, history.draw.randint(1, max(1, len(ids) // 2)))


def _pause(history: History) -> Callable[[], object]:
    node = history.fleet.nodes_by_id[_victims(history)[0]]
    node.clock.pause()
    return node.clock.resume


def _cut_store(history: History) -> Callable[[], object]:
    history.fleet.cut_store(*_victims(history))
    return history.fleet.cut_store


def _cut_peers(history: History) -> Callable[[], object]:
    history.fleet.cut_peers(*_victims(history))
    return history.fleet.cut_peers


def _cut_one_way(history: History) -> Callable[[], object]:
    victim = _victims(history)[0]
    history.fleet.network.allow = lambda sender, receiver: receiver != victim
    return history.fleet.cut_peers


def _outage(history: History) -> Callable[[], object]:
    faults = history.fleet.store.faults
    faults.outage = True
    return lambda: setattr(faults, "outage", False)


def _slow_store(history: History) -> Callable[[], object]:
    faults = history.fleet.store.faults
    faults.delay_ms = history.draw.choice((100, 500, 2_500))
    return lambda: setattr(faults, "delay_ms", 0)


def _lost_answers(history: History) -> None:
    history.fleet.store.faults.lose_answers += history.draw.randint(1, 3)


def _silent_watches(history: History) -> Callable[[], object]:
    faults = history.fleet.store.faults
    faults.silent_watches = True
    return lambda: setattr(faults, "silent_watches", False)


def _lossy_network(history: History) -> Callable[[], object]:
    history.fleet.network.loss_ratio = 0.3
    return lambda: setattr(history.fleet.network, "loss", 0.0)


def _compact(history: History) -> None:
    state = history.fleet.store.state
    if state.revision > state.compacted_revision + 1:
        state.compact(state.revision)


def _replace(history: History) -> None:
    """Kills an instance and starts another under a new id or its own."""
    victim = _victims(history)[0]
    history.next_number += 1
    new_id = history.draw.choice((victim, f"i-{history.next_number}"))
    is_in_place = new_id == victim and history.draw.random() < IN_PLACE_SHARE
    history.tasks.append(asyncio.ensure_future(_restart(history, victim, new_id, is_in_place)))


def _restart_all(history: History) -> None:
    """Kills every instance at once and starts all of them at their old addresses."""
    for instance_id in sorted(history.fleet.nodes_by_id):
        work = _restart(history, instance_id, instance_id, True)
        history.tasks.append(asyncio.ensure_future(work))


async def _restart(history: History, victim: str, new_id: str, is_in_place: bool) -> None:
    """Kills an instance and starts one in its stead."""
    fleet = history.fleet
    if victim not in fleet.nodes_by_id or new_id in fleet.nodes_by_id.keys() - {victim}:
        return
    port = fleet.nodes_by_id[victim].link.port if is_in_place else 0
    history.revisions_by_instance.pop(victim, None)
    await fleet.kill(victim)
    await fleet.add(new_id, wait=False, port=port)


FAULTS: tuple[tuple[str, Callable[[History], Callable[[], object] | None]], ...] = (
    ("pause", _pause),
    ("cut from the store", _cut_store),
    ("cut from peers", _cut_peers),
    ("one-way cut", _cut_one_way),
    ("store outage", _outage),
    ("slow store", _slow_store),
    ("lost answers", _lost_answers),
    ("silent watches", _silent_watches),
    ("lossy network", _lossy_network),
    ("compaction", _compact),
    ("instance replaced", _replace),
    ("all restarted", _restart_all),
)
"""Every kind of fault, with what brings it about; what that returns ends it."""

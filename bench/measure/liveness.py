"""Two-path liveness against one path: who is taken off falsely, how long work is refused."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.fleets.control_fleet import ControlFleet
from bench.measure.measurement import Measurement
from mastickeel_router.membership import is_gone_on_two_paths

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SIZE = 6
FAULT_SECONDS = 40
AFTER_SECONDS = 30
STEP_MS = 1_000
VICTIM = "i-6"
JUDGES_BY_NAME: dict[str, Callable[[bool, bool], bool]] = {
    "two paths": is_gone_on_two_paths,
    "lease only": lambda leased, reachable: not leased,
    "probes only": lambda leased, reachable: not reachable,
}


@dataclass
class Tally:
    """What one way of judging cost over all scenarios."""

    false_removals: int = 0
    refused_seconds: int = 0
    noticed_seconds: int = 0
    """From a crash to the removal, which is the price of more caution."""


async def measure_liveness(seeds: range) -> list[Measurement]:
    """Runs every scenario under every judge.

    Args:
        seeds: One run of each scenario for each.

    Returns:
        False removals, refused seconds and seconds to notice a crash, each judge.
    """
    tallies = {name: await _tally(judge, seeds) for name, judge in JUDGES_BY_NAME.items()}
    baseline = tallies["lease only"]
    note = f"{SIZE} instances, {len(SCENARIOS)} scenarios, {len(seeds)} seeds, fake clock"
    figures = []
    for name, tally in tallies.items():
        label = name.replace(" ", "_")
        for what, unit in (
            ("false_removals", "count"),
            ("refused_seconds", "s"),
            ("noticed_seconds", "s"),
        ):
            value, other = float(getattr(tally, what)), float(getattr(baseline, what))
            figures.append(
                Measurement(f"control.liveness.{label}.{what}", value, unit, other, note=note)
            )
    return figures


async def _tally(judge: Callable[[bool, bool], bool], seeds: range) -> Tally:
    tally = Tally()
    for seed in seeds:
        for scenario in SCENARIOS:
            await _run(judge, seed, scenario, tally)
    return tally


async def _run(
    judge: Callable[[bool, bool], bool],
    seed: int,
    scenario: Callable[[ControlFleet], Awaitable[Callable[[], object] | None]],
    tally: Tally,
) -> None:
    """Runs one scenario, counting each second."""
    fleet = ControlFleet(seed, judge)
    try:
        await fleet.start(SIZE)
        await fleet.advance(5_000)
        roster = _roster(fleet)
        ending = await scenario(fleet)
        for second in range(FAULT_SECONDS + AFTER_SECONDS):
            if second == FAULT_SECONDS and ending:
                ending()
            await fleet.advance(STEP_MS)
            now = _roster(fleet)
            removed = roster - now
            tally.false_removals += len(removed & fleet.nodes_by_id.keys())
            if VICTIM in now and VICTIM not in fleet.nodes_by_id:
                tally.noticed_seconds += 1
            tally.refused_seconds += sum(
                not node.clock.paused and not fleet.is_fresh(one)
                for one, node in fleet.nodes_by_id.items()
            )
            roster = now
    finally:
        await fleet.stop()


def _roster(fleet: ControlFleet) -> frozenset[str]:
    """Returns the newest roster that any instance knows."""
    standings = [node.control.configuration.head_state for node in fleet.nodes_by_id.values()]
    return max(standings, key=lambda one: one.position).roster.ids


async def _pause(fleet: ControlFleet) -> Callable[[], object]:
    clock = fleet.nodes_by_id[VICTIM].clock
    clock.pause()
    return clock.resume


async def _cut_one_from_store(fleet: ControlFleet) -> Callable[[], object]:
    fleet.cut_store(VICTIM)
    return fleet.cut_store


async def _cut_one_from_peers(fleet: ControlFleet) -> Callable[[], object]:
    fleet.cut_peers(VICTIM)
    return fleet.cut_peers


async def _cut_one_way(fleet: ControlFleet) -> Callable[[], object]:
    fleet.network.allow = lambda sender, receiver: sender != VICTIM
    return fleet.cut_peers


async def _store_outage(fleet: ControlFleet) -> Callable[[], object]:
    fleet.store.faults.outage = True
    return lambda: setattr(fleet.store.faults, "outage", False)


async def _crash(fleet: ControlFleet) -> None:
    await fleet.kill(VICTIM)


SCENARIOS: tuple[Callable[[ControlFleet], Awaitable[Callable[[], object] | None]], ...] = (
    _pause,
    _cut_one_from_store,
    _cut_one_from_peers,
    _cut_one_way,
    _store_outage,
    _crash,
)

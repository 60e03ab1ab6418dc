"""What control costs and how soon a change is in force, over loopback in one process."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import psutil

from bench.fleets.control_fleet import first_delta, restore, withdraw
from bench.measure.liveness import measure_liveness
from bench.measure.measurement import Measurement
from mastickeel.addresses import Address
from mastickeel.clock import Clock
from mastickeel.httpclient import HttpClient
from mastickeel.keyvalue import KeyValueClient
from mastickeel.metrics import Metrics
from mastickeel.peers import PeerLink
from mastickeel_router.control import ControlPlane, InstanceIdentity
from mastickeel_standins.keyvalue import KeyValueStandin

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mastickeel.model import Delta

SEED = 1
SIZES = (3, 9, 30, 60)
"""A hundred do not fit: they would take more than the one core of one process."""
QUICK_SIZES = (3, 9)
DATA_CENTRES = 4
CHANGES = 40
QUICK_CHANGES = 10
SLOW_CHANGES = 6
SLOW_STORE_MS = 500
REST_SECONDS = 15
QUICK_REST_SECONDS = 5
SETTLE_SECONDS = 12
"""The news of the joins has been told by then."""
QUICK_SETTLE_SECONDS = 3
IN_FORCE_TARGET_MS = 5_000.0
BYTES_TARGET = 4_000.0
CORE_TARGET_PERCENT = 4.6
MEMORY_TARGET_MB = 32.0
CHANGES_PER_DAY = 5_400
SECONDS_PER_DAY = 86_400
BYTES_PER_MEGABYTE = 1024 * 1024
POLL_MS = 2


@dataclass
class Part:
    """The control part of one instance."""

    control: ControlPlane
    link: PeerLink
    metrics: Metrics
    client: HttpClient


@dataclass(frozen=True)
class Rest:
    """What control takes while nothing changes."""

    calls_per_second: float
    """Of the fleet."""
    bytes_per_second: float
    """Of an instance."""
    core_percent: float
    """Of an instance."""


class LoopbackFleet:
    """Control parts over real sockets, with one store."""

    def __init__(self, size: int) -> None:
        """Makes the parts.

        Args:
            size: How many.
        """
        self.clock = Clock()
        self.store = KeyValueStandin(self.clock)
        self.parts: list[Part] = []
        self._size = size

    async def start(self) -> None:
        """Starts the store and all parts, which join at the same time."""
        await self.store.start()
        for number in range(1, self._size + 1):
            self.parts.append(await self._make(number))
        await asyncio.gather(*(part.control.start("127.0.0.1", part.client) for part in self.parts))

    async def stop(self) -> None:
        """Stops all parts and the store."""
        for part in self.parts:
            await part.control.stop()
        for part in self.parts:
            await part.link.close()
            await part.client.close()
        await self.store.stop()

    async def change(self, delta: Delta, base: int) -> tuple[float, float]:
        """Makes a change.

        Returns:
            Milliseconds from the proposal, and from its acceptance, until it is in force
            everywhere.
        """
        part = self.parts[base % len(self.parts)]
        asked = time.perf_counter()
        await part.control.writer.commit(delta, base=base, author="bench", text="change")
        accepted = time.perf_counter()
        while any(one.control.configuration.revision <= base for one in self.parts):
            await asyncio.sleep(POLL_MS / 1_000)
        ended = time.perf_counter()
        return (ended - asked) * 1_000, (ended - accepted) * 1_000

    def bytes_sent(self) -> int:
        """Returns what all parts sent to peers so far, without the envelopes of TCP."""
        return sum(part.metrics.totals_by_name["peers.sent_bytes"] for part in self.parts)

    async def _make(self, number: int) -> Part:
        metrics = Metrics()
        link = PeerLink(f"i-{number}", clock=self.clock, metrics=metrics)
        await link.bind(Address("127.0.0.1", 0))
        client = HttpClient(self.clock)
        address = Address("127.0.0.1", self.store.port)
        store = KeyValueClient(client, (address,), clock=self.clock, name=f"i-{number}")
        control = ControlPlane(
            InstanceIdentity(f"i-{number}", f"dc-{number % DATA_CENTRES}", "region-1"),
            store=store,
            prefix="/bench",
            link=link,
            clock=self.clock,
            rng=random.Random(SEED * 1_000 + number),
        )
        return Part(control, link, metrics, client)


async def measure(quick: bool) -> list[Measurement]:
    """Measures control for fleets of several sizes, and the ways to judge liveness.

    Args:
        quick: Whether to take small fleets and few repetitions.

    Returns:
        The figures.
    """
    figures: list[Measurement] = []
    rest_by_size: dict[int, Rest] = {}
    for size in QUICK_SIZES if quick else SIZES:
        figures += await _measure_size(size, quick, rest_by_size)
    sizes = sorted(rest_by_size)
    grown = rest_by_size[sizes[-1]].calls_per_second - rest_by_size[sizes[0]].calls_per_second
    slope = grown / (sizes[-1] - sizes[0])
    note = f"calls a second that one more instance adds, {sizes[0]} to {sizes[-1]}"
    figures.append(Measurement("control.store_calls.slope", slope, "1/s", note=note))
    figures += await measure_liveness(range(1, 2 if quick else 4))
    return figures


async def _measure_size(size: int, quick: bool, rest_by_size: dict[int, Rest]) -> list[Measurement]:
    """Measures one fleet."""
    memory = psutil.Process().memory_info().rss
    fleet = LoopbackFleet(size)
    await fleet.start()
    try:
        deltas = _deltas()
        await fleet.change(first_delta(), 0)
        await asyncio.sleep(QUICK_SETTLE_SECONDS if quick else SETTLE_SECONDS)
        added = (psutil.Process().memory_info().rss - memory) / size / BYTES_PER_MEGABYTE
        figures = [
            Measurement(
                f"control.memory.n{size}",
                added,
                "MB",
                target=MEMORY_TARGET_MB,
                met=added <= MEMORY_TARGET_MB,
                note="resident, per control part, with its share of the store stand-in",
            )
        ]
        figures += await _measure_rest(fleet, size, quick, rest_by_size)
        figures += await _measure_changes(fleet, size, quick, deltas, rest_by_size[size])
        return figures
    finally:
        await fleet.stop()


async def _measure_rest(
    fleet: LoopbackFleet, size: int, quick: bool, rest_by_size: dict[int, Rest]
) -> list[Measurement]:
    """Measures calls, bytes and processor time without changes."""
    seconds = QUICK_REST_SECONDS if quick else REST_SECONDS
    calls, sent, used = fleet.store.calls, fleet.bytes_sent(), time.process_time()
    await asyncio.sleep(seconds)
    calls_per_second = (fleet.store.calls - calls) / seconds
    bytes_per_second = (fleet.bytes_sent() - sent) / seconds / size
    core_percent = (time.process_time() - used) / seconds / size * 100
    rest_by_size[size] = Rest(calls_per_second, bytes_per_second, core_percent)
    return [
        Measurement(f"control.store_calls.rest.n{size}", calls_per_second, "1/s"),
        Measurement(
            f"control.bytes.rest.n{size}",
            bytes_per_second,
            "B/s",
            target=BYTES_TARGET,
            met=bytes_per_second <= BYTES_TARGET,
            note="sent to peers, an instance",
        ),
        Measurement(
            f"control.core.rest.n{size}",
            core_percent,
            "%",
            target=CORE_TARGET_PERCENT,
            met=core_percent <= CORE_TARGET_PERCENT,
            note="of a core, an instance, with its share of the store stand-in",
        ),
    ]


async def _measure_changes(
    fleet: LoopbackFleet, size: int, quick: bool, deltas: Iterator[Delta], rest: Rest
) -> list[Measurement]:
    """Measures how soon changes are in force, and what each costs."""
    count = QUICK_CHANGES if quick else CHANGES
    calls, sent, used = fleet.store.calls, fleet.bytes_sent(), time.process_time()
    began = time.perf_counter()
    times = [await fleet.change(next(deltas), 1 + number) for number in range(count)]
    seconds = time.perf_counter() - began
    calls_per_change = (fleet.store.calls - calls - rest.calls_per_second * seconds) / count
    bytes_per_change = (
        (fleet.bytes_sent() - sent) / size - rest.bytes_per_second * seconds
    ) / count
    core_seconds = (time.process_time() - used) / size - rest.core_percent / 100 * seconds
    core_per_change = max(0.0, core_seconds) / count
    fleet.store.faults.delay_ms = SLOW_STORE_MS
    slow = [await fleet.change(next(deltas), 1 + count + one) for one in range(SLOW_CHANGES)]
    rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    note = f"{count} changes in {seconds:.1f} s, less what control takes at rest"
    return [
        _in_force(f"control.in_force.healthy.n{size}", [whole for whole, _ in times]),
        _in_force(f"control.in_force.after_acceptance.n{size}", [after for _, after in times]),
        _in_force(f"control.in_force.slow_store.n{size}", [whole for whole, _ in slow]),
        Measurement(f"control.store_calls.change.n{size}", calls_per_change, "", note=note),
        Measurement(
            f"control.store_calls.daily_changes.n{size}", calls_per_change * rate, "1/s", note=note
        ),
        Measurement(
            f"control.bytes.daily_changes.n{size}", bytes_per_change * rate, "B/s", note=note
        ),
        Measurement(
            f"control.core.daily_changes.n{size}", core_per_change * rate * 100, "%", note=note
        ),
    ]


def _in_force(name: str, times_ms: list[float]) -> Measurement:
    """Reports the time at 99 in 100; with fewer than 100 changes that is the longest."""
    ordered = sorted(times_ms)
    value = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    note = f"{len(ordered)} changes, median {ordered[len(ordered) // 2]:.0f} ms"
    return Measurement(
        name, value, "ms", target=IN_FORCE_TARGET_MS, met=value <= IN_FORCE_TARGET_MS, note=note
    )


def _deltas() -> Iterator[Delta]:
    """Yields changes without end."""
    while True:
        yield withdraw("small@1")
        yield restore("small@1")

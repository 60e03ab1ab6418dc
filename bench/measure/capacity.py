"""What control costs one instance and the key-value service, at growing fleets of processes."""

from __future__ import annotations

import asyncio
import statistics
import sys
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.fleets.client import HOST
from bench.fleets.operations import Operators, PlannedChange
from bench.fleets.processes import ProcessFleet
from bench.fleets.recorder import ChangeEnd, ChangeKind, Recorder
from bench.measure.measurement import Measurement
from mastickeel_router.demo import CHEAP_VERSION

if TYPE_CHECKING:
    from bench.fleets.processes import RouterProcess

FULL_SIZES = (3, 9, 30, 100)
QUICK_SIZES = (3, 9, 30)
FULL_WINDOW_MS = 15_000
QUICK_WINDOW_MS = 4_000
FULL_CHANGES = 20
QUICK_CHANGES = 6
SETTLE_MS = 4_000
CHANGE_PAUSE_MS = 250
POLL_MS = 20
IN_FORCE_LIMIT_MS = 30_000
MILLISECONDS_PER_SECOND = 1_000
BYTES_PER_MEGABYTE = 1024 * 1024

NODES = 350
"""The size to design for."""
CHANGES_PER_SECOND = 5_400 / 86_400
CPU_TARGET_PERCENT = 4.6
MEMORY_TARGET_MEGABYTES = 32
BYTES_TARGET_PER_SECOND = 4_096
READS_TARGET_PER_SECOND = 2_000
WRITES_TARGET_PER_SECOND = 300
"""The lowest of "several hundred"."""
IN_FORCE_TARGET_MS = 5_000
MEASURE_IMPORTS = (
    "import mastickeel_router.router, psutil; print(psutil.Process().memory_info().rss)"
)


class StatsdSink(asyncio.DatagramProtocol):
    """Adds up the counters that routers send."""

    def __init__(self) -> None:
        self.totals_by_name: Counter[str] = Counter()
        """Each counter over all routers."""

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Takes one packet of statsd lines."""
        for line in data.decode().splitlines():
            name, _, rest = line.partition(":")
            amount, _, kind = rest.partition("|")
            if kind == "c":
                self.totals_by_name[name] += int(float(amount))


@dataclass(frozen=True)
class SizeFigures:
    """What one size of the fleet gave; rates are for a second."""

    instances: int
    cpu_percent: float
    """Of one core, the median instance at rest."""
    cpu_percent_most: float
    """Of one core, the busiest instance at rest."""
    memory: float
    """Megabytes above the imported modules, the median instance."""
    peer_bytes: float
    """Sent by one instance a second at rest."""
    reads: float
    """Of the key-value service by the whole fleet at rest, waiting watches aside."""
    writes: float
    """Of the key-value service by the whole fleet at rest."""
    watches: float
    """Waiting at the key-value service, over the whole fleet."""
    reads_per_change: float
    writes_per_change: float
    peer_bytes_per_change: float
    """Sent by one instance."""
    cpu_ms_per_change: float
    """Spent by one instance."""
    in_force_ms: float
    """From the request to in force on every instance, the slowest change."""


async def measure(quick: bool) -> list[Measurement]:
    """Measures growing fleets, fits a line to each figure, and works out the design size.

    Args:
        quick: Whether to stop at small fleets and short windows.

    Returns:
        The figures at each size, the slopes, and what they come to at the design size.
    """
    imported = await _imported_megabytes()
    figures = []
    for size in QUICK_SIZES if quick else FULL_SIZES:
        figures.append(await _measure_size(size, quick, imported))
    return [
        *(found for one in figures for found in _at_size(one)),
        *_slopes(figures),
        *_at_design_size(figures),
    ]


async def _measure_size(size: int, quick: bool, imported: float) -> SizeFigures:
    """Measures one fleet, at rest and while changes are made."""
    loop = asyncio.get_running_loop()
    transport, sink = await loop.create_datagram_endpoint(StatsdSink, local_addr=(HOST, 0))
    port = transport.get_extra_info("sockname")[1]
    fleet = ProcessFleet()
    try:
        await fleet.start(size, extra=f'\n[metrics]\nstatsd = "{HOST}:{port}"\n')
        await fleet.fleet.clock.sleep(SETTLE_MS)
        bench = _SizeBench(fleet, sink)
        return await bench.run(quick, imported)
    finally:
        await fleet.stop()
        transport.close()


class _SizeBench:
    """The windows of one size."""

    def __init__(self, fleet: ProcessFleet, sink: StatsdSink) -> None:
        self._fleet = fleet
        self._clock = fleet.fleet.clock
        self._store = fleet.fleet.store
        self._sink = sink
        self._operators = Operators(fleet.fleet.http, Recorder(self._clock))

    async def run(self, quick: bool, imported: float) -> SizeFigures:
        """Measures at rest, then while changes are made."""
        routers = self._fleet.routers
        window_ms = QUICK_WINDOW_MS if quick else FULL_WINDOW_MS
        changes = QUICK_CHANGES if quick else FULL_CHANGES
        seconds = window_ms / MILLISECONDS_PER_SECOND
        before = self._counts()
        await self._clock.sleep(window_ms)
        rest = [now - then for now, then in zip(self._counts(), before, strict=True)]
        memory = [one.figures.memory_info().rss / BYTES_PER_MEGABYTE for one in routers]
        before, began_ms = self._counts(), self._clock.now()
        in_force_ms = [await self._change(number) for number in range(changes)]
        await self._clock.sleep(MILLISECONDS_PER_SECOND)
        took = (self._clock.now() - began_ms) / MILLISECONDS_PER_SECOND
        # What the same time at rest would have cost is taken off.
        busy = [
            (now - then - at_rest * took / seconds) / changes
            for now, then, at_rest in zip(self._counts(), before, rest, strict=True)
        ]
        cpu = [100 * one / seconds for one in rest[3:]]
        return SizeFigures(
            instances=len(routers),
            cpu_percent=statistics.median(cpu),
            cpu_percent_most=max(cpu),
            memory=statistics.median(memory) - imported,
            peer_bytes=rest[2] / seconds / len(routers),
            reads=rest[0] / seconds,
            writes=rest[1] / seconds,
            watches=len(self._store.watches.open_watches),
            reads_per_change=busy[0],
            writes_per_change=busy[1],
            peer_bytes_per_change=busy[2] / len(routers),
            cpu_ms_per_change=MILLISECONDS_PER_SECOND * statistics.mean(busy[3:]),
            in_force_ms=max(in_force_ms),
        )

    def _counts(self) -> list[float]:
        """Returns the counters: reads, writes, peer bytes, then each router's CPU seconds."""
        sent = self._sink.totals_by_name["mastickeel.peers.sent_bytes"]
        cpu = [one.cpu_seconds() for one in self._fleet.routers]
        return [self._store.reads, self._store.writes, sent, *cpu]

    async def _change(self, number: int) -> float:
        """Makes one change and returns how long it took to be in force everywhere."""
        await self._clock.sleep(CHANGE_PAUSE_MS)
        routers = self._fleet.routers
        kind = ChangeKind.RESTORE if number % 2 else ChangeKind.WITHDRAW
        change = PlannedChange(f"op-{number}", kind, CHEAP_VERSION)
        began_ms = self._clock.now()
        told = await self._operators.change(change, routers[number % len(routers)].admin_port)
        if told.end is not ChangeEnd.ACCEPTED:
            raise RuntimeError(f"a change was not accepted: {told}")
        waits = asyncio.gather(*(self._wait_for(one, told.revision) for one in routers))
        await self._clock.wait_for(waits, IN_FORCE_LIMIT_MS)
        return self._clock.now() - began_ms

    async def _wait_for(self, router: RouterProcess, revision: int) -> None:
        """Asks a router until it works under a revision."""
        while True:
            seen = await self._operators.read_revision(str(router.number), router.admin_port)
            if seen is not None and seen >= revision:
                return
            await self._clock.sleep(POLL_MS)


def _at_size(one: SizeFigures) -> list[Measurement]:
    """Returns the figures of one size, with the targets that hold for one instance."""
    size = one.instances
    rows: list[tuple[str, float, str, float | None]] = [
        ("cpu", one.cpu_percent, "% of a core", CPU_TARGET_PERCENT),
        ("cpu_busiest", one.cpu_percent_most, "% of a core", CPU_TARGET_PERCENT),
        ("memory", one.memory, "MB", MEMORY_TARGET_MEGABYTES),
        ("peer_bytes", one.peer_bytes, "B/s", BYTES_TARGET_PER_SECOND),
        ("store_reads", one.reads, "1/s", READS_TARGET_PER_SECOND),
        ("store_writes", one.writes, "1/s", WRITES_TARGET_PER_SECOND),
        ("store_watches", one.watches, "open", None),
        ("store_reads_per_change", one.reads_per_change, "calls", None),
        ("store_writes_per_change", one.writes_per_change, "calls", None),
        ("peer_bytes_per_change", one.peer_bytes_per_change, "B", None),
        ("cpu_per_change", one.cpu_ms_per_change, "ms", None),
        ("in_force", one.in_force_ms, "ms", IN_FORCE_TARGET_MS),
    ]
    return [
        Measurement(
            f"capacity.{size}.{name}",
            value,
            unit,
            target=target,
            met=None if target is None else value <= target,
        )
        for name, value, unit, target in rows
    ]


def _slopes(figures: list[SizeFigures]) -> list[Measurement]:
    """Returns how much each figure grows with one more instance."""
    return [
        Measurement(f"capacity.slope.{name}", _line(figures, name)[0], "for one more instance")
        for name in (
            "cpu_percent",
            "cpu_percent_most",
            "memory",
            "peer_bytes",
            "reads",
            "writes",
            "watches",
            "reads_per_change",
            "writes_per_change",
            "peer_bytes_per_change",
            "cpu_ms_per_change",
        )
    ]


def _at_design_size(figures: list[SizeFigures]) -> list[Measurement]:
    """Works out the design size from the lines: figures at rest, and those of its changes."""

    def at(name: str) -> float:
        slope, intercept = _line(figures, name)
        return max(0.0, intercept + slope * NODES)

    rate = CHANGES_PER_SECOND
    cpu = at("cpu_percent") + rate * at("cpu_ms_per_change") / MILLISECONDS_PER_SECOND * 100
    peer_bytes = at("peer_bytes") + rate * at("peer_bytes_per_change")
    reads = at("reads") + at("watches") + rate * at("reads_per_change")
    writes = at("writes") + rate * at("writes_per_change")
    rows = [
        ("cpu", cpu, "% of a core", CPU_TARGET_PERCENT),
        ("memory", at("memory"), "MB", MEMORY_TARGET_MEGABYTES),
        ("peer_bytes", peer_bytes, "B/s", BYTES_TARGET_PER_SECOND),
        ("store_reads_and_watches", reads, "1/s", READS_TARGET_PER_SECOND),
        ("store_writes", writes, "1/s", WRITES_TARGET_PER_SECOND),
    ]
    sizes = ", ".join(str(one.instances) for one in figures)
    note = f"line through {sizes} instances, at 5,400 changes a day"
    return [
        Measurement(
            f"capacity.at_{NODES}.{name}",
            value,
            unit,
            target=target,
            met=value <= target,
            note=note,
        )
        for name, value, unit, target in rows
    ]


def _line(figures: list[SizeFigures], name: str) -> tuple[float, float]:
    """Returns slope and intercept of a figure over the number of instances."""
    sizes = [float(one.instances) for one in figures]
    values = [float(getattr(one, name)) for one in figures]
    slope, intercept = statistics.linear_regression(sizes, values)
    return slope, intercept


async def _imported_megabytes() -> float:
    """Returns what a process holds that has imported the router and does nothing."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", MEASURE_IMPORTS, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    return int(output) / BYTES_PER_MEGABYTE

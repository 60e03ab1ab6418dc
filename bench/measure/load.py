"""Goodput and tail latency below and above capacity, against random choice without admission."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING
from unittest.mock import patch

from bench.measure.measurement import Measurement
from mastickeel.errors import MastickeelError
from mastickeel.model import EndpointState
from mastickeel_router.dispatch import EndpointTable
from tests.fleet import Fleet

if TYPE_CHECKING:
    from mastickeel.model import Delta, Endpoint, View

ROUTERS = 2
ENGINES = 2
BATCH = 4
TOKENS = 8
PIECE_MS = 40
CAPACITY = ENGINES * BATCH * 1_000 / (TOKENS * PIECE_MS)
"""Requests a second."""
LOADS = (0.5, 0.9, 1.5, 3.0)
"""Times the capacity."""
SECONDS = 6.0
QUICK_SECONDS = 2.0
USEFUL_MS = 2_000
"""An answer that comes later is of no use."""
UNBOUNDED = 100_000
SEED = 1


@dataclass(frozen=True)
class LoadResult:
    """How one load went."""

    goodput: float
    """Useful answers, as a share of what capacity allows or of what was asked, if less."""
    slowest_ms: float
    """99 in 100 of the answers came sooner."""


async def measure(quick: bool) -> list[Measurement]:
    """Measures each load with admission, and without it on random endpoints."""
    seconds = QUICK_SECONDS if quick else SECONDS
    found = []
    for load in LOADS:
        gated = await _run(load, seconds, gated=True)
        with patch.object(EndpointTable, "choose", _choose_randomly):
            free = await _run(load, seconds, gated=False)
        note = f"{load:g} times {CAPACITY:g} requests a second for {seconds:g} s, seed {SEED}"
        found += [
            Measurement(
                f"load.goodput_{load:g}", gated.goodput, "share", baseline=free.goodput, note=note
            ),
            Measurement(
                f"load.answer_99_{load:g}",
                gated.slowest_ms,
                "ms",
                baseline=free.slowest_ms,
                note=note,
            ),
        ]
    return found


async def _run(load: float, seconds: float, *, gated: bool) -> LoadResult:
    """Sends requests at a rate that does not wait for answers."""
    fleet = Fleet()
    draw = random.Random(SEED)
    started: list[asyncio.Task[float]] = []
    try:
        await fleet.start(
            ROUTERS, ENGINES, tokens=TOKENS, piece_ms=PIECE_MS, batch=BATCH, load_lag_ms=100
        )
        await _set_capacity(fleet, BATCH if gated else UNBOUNDED)
        ends = time.perf_counter() + seconds
        while time.perf_counter() < ends:
            text = f"request {len(started)}"
            started.append(asyncio.ensure_future(_ask(fleet, text, draw, gated)))
            await asyncio.sleep(draw.expovariate(load * CAPACITY))
        waits = sorted(one for one in await asyncio.gather(*started) if one)
    finally:
        await fleet.stop()
    useful = sum(one <= USEFUL_MS for one in waits)
    possible = min(len(started), CAPACITY * seconds)
    slowest = waits[len(waits) * 99 // 100] if waits else 0.0
    return LoadResult(useful / possible, slowest)


async def _ask(fleet: Fleet, text: str, draw: random.Random, gated: bool) -> float:
    """Sends one request; returns how long its whole answer took, 0 for a refusal."""
    began = time.perf_counter()
    headers = {"X-Deadline-Ms": str(USEFUL_MS)} if gated else {}
    router = draw.randrange(ROUTERS)
    try:
        answer = await fleet.chat(text, router=router, model="draft-small", headers=headers)
    except MastickeelError:
        return 0.0
    return (time.perf_counter() - began) * 1_000 if answer.status == 200 else 0.0


async def _set_capacity(fleet: Fleet, capacity: int) -> None:
    """Tells the routers how much an engine takes."""
    whole = fleet.default_delta()
    pools = tuple(replace(pool, capacity=capacity) for pool in whole.pools)
    delta: Delta = replace(whole, pools=pools, accounts=(), versions=(), services=())
    first = fleet.routers[0]
    change = await first.writer.commit(
        delta, base=first.configuration.revision, author="bench", text="capacity"
    )
    for router in fleet.routers:
        await router.configuration.wait_for_revision(change.revision)


def _choose_randomly(
    table: EndpointTable,
    view: View,
    pool_id: str,
    avoid: frozenset[str] = frozenset(),
    prefix: object = None,
) -> Endpoint:
    """Chooses any live endpoint."""
    endpoints = view.committed.pools_by_id[pool_id].endpoints
    live = [one for one in endpoints if one.state is EndpointState.LIVE]
    return random.choice(live)

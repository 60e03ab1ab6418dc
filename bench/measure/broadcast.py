"""Cost of notices between instances by fleet size, through hubs and sent to each peer."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.measure.measurement import Measurement
from mastickeel.addresses import Address
from mastickeel.clock import Clock
from mastickeel.metrics import Metrics
from mastickeel.peers import PeerLink
from mastickeel.tasks import TaskGroup
from mastickeel_router.fleet import Broadcast, PeerTraits
from mastickeel_router.fleet.sharing import SessionRunNotice

if TYPE_CHECKING:
    from collections.abc import Mapping

FLEET_SIZES = (9, 30, 58)
"""Today's fleet, one between, and a grown installation's."""
DATA_CENTRES = 4
NOTICES_PER_SECOND = 6
"""Notices of one instance: 3.6 requests a second, of which 0.8 are sends to engines too."""
SECONDS = 6
QUICK_SECONDS = 2
SETTLE_MS = 1_000
"""Time for connections to be made before the count, and for the last batches after it."""


@dataclass(frozen=True)
class _Cost:
    """Cost of one run."""

    processor_ms: float
    """Processor time of all instances for each notice, over senders and receivers."""
    messages: float
    """Messages of all instances for each notice."""
    received_bytes: float
    """Bytes that an instance receives in a second."""


async def measure(quick: bool) -> list[Measurement]:
    """Runs fleets of several sizes in this process, over loopback."""
    seconds = QUICK_SECONDS if quick else SECONDS
    rows = []
    for size in FLEET_SIZES:
        batched = await _run_fleet(size, seconds, through_hubs=True)
        direct = await _run_fleet(size, seconds, through_hubs=False)
        note = f"{size} instances, {NOTICES_PER_SECOND} notices a second each; against one by one"
        rows += [
            Measurement(
                f"broadcast.{size}.processor_per_notice",
                batched.processor_ms,
                "ms",
                baseline=direct.processor_ms,
                note=note,
            ),
            Measurement(
                f"broadcast.{size}.messages_per_notice",
                batched.messages,
                "messages",
                baseline=direct.messages,
                note=note,
            ),
            Measurement(
                f"broadcast.{size}.received_bytes",
                batched.received_bytes,
                "B/s",
                baseline=direct.received_bytes,
                note=note,
            ),
        ]
    return rows


async def _run_fleet(size: int, seconds: int, *, through_hubs: bool) -> _Cost:
    """Publishes notices at every instance, and returns what they cost."""
    clock, tasks = Clock(), TaskGroup()
    metrics = [Metrics() for _ in range(size)]
    links = [
        PeerLink(f"edge-{number}", clock=clock, metrics=metrics[number]) for number in range(size)
    ]
    traits = {
        link.instance_id: PeerTraits(f"dc-{number % DATA_CENTRES}")
        for number, link in enumerate(links)
    }
    known: Mapping[str, PeerTraits] = traits if through_hubs else {}
    broadcasts = []
    try:
        for link in links:
            await link.bind(Address("127.0.0.1", 0))
            broadcast = Broadcast(
                link,
                clock=clock,
                traits=traits[link.instance_id],
                traits_by_peer=known,
                tasks=tasks,
            )
            broadcast.register_handler(SessionRunNotice, lambda sender, notice: None)
            broadcasts.append(broadcast)
        for link in links:
            for other in links:
                if other is not link:
                    link.connect(other.instance_id, Address("127.0.0.1", other.port))
        await _publish(broadcasts, clock, 1)
        await clock.sleep(SETTLE_MS)
        before_s = time.process_time()
        messages_before = sum(one.totals_by_name["peers.sent"] for one in metrics)
        bytes_before = sum(one.totals_by_name["peers.received_bytes"] for one in metrics)
        notices = await _publish(broadcasts, clock, seconds)
        await clock.sleep(SETTLE_MS)
        messages = sum(one.totals_by_name["peers.sent"] for one in metrics) - messages_before
        received = sum(one.totals_by_name["peers.received_bytes"] for one in metrics)
        return _Cost(
            (time.process_time() - before_s) * 1_000 / notices,
            messages / notices,
            (received - bytes_before) / size / seconds,
        )
    finally:
        await tasks.stop()
        await asyncio.gather(*(link.close() for link in links))


async def _publish(broadcasts: list[Broadcast], clock: Clock, seconds: int) -> int:
    """Publishes notices at every instance, evenly over time; returns their number."""
    total = seconds * NOTICES_PER_SECOND * len(broadcasts)
    for number in range(total):
        broadcasts[number % len(broadcasts)].publish(SessionRunNotice(f"{number:012x}", "v1"))
        await clock.sleep(seconds * 1_000 / total)
    return total

"""What admission keeps and costs: a ceiling's overshoot and waste, and a send's permit."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from bench.measure.measurement import Measurement
from mastickeel.errors import MastickeelError
from mastickeel.model import Account, Configuration, Endpoint, View
from mastickeel_router.admission import CeilingCoordinator, CeilingReachedError, Ceilings
from mastickeel_router.quarantine.guard import Quarantine
from mastickeel_router.requests import ChatRequest
from tests.peers import Nodes

if TYPE_CHECKING:
    from tests.peers import Node

INSTANCES = 9
SEED = 1
MEAN_COST = 300
"""Micros."""
REQUESTS_IN_CEILING = 2_000
QUICK_REQUESTS_IN_CEILING = 300
UNDERESTIMATED = 0.05
"""The share of answers that are dearer than their estimate."""
RUN_SECONDS = 0.02
WORKERS = 4
"""Requests at once on each instance."""
OVERSHOOT_TARGET = 0.01
GUARDED = 600
QUICK_GUARDED = 100


async def measure(quick: bool) -> list[Measurement]:
    """Measures a ceiling that is spent to its end, and the wait for a permit."""
    count = QUICK_REQUESTS_IN_CEILING if quick else REQUESTS_IN_CEILING
    return [*await _measure_ceiling(count), *await _measure_permits(quick)]


async def _measure_ceiling(count: int) -> list[Measurement]:
    """Lets all instances spend one ceiling until it refuses."""
    nodes = Nodes()
    await nodes.start(INSTANCES)
    ceiling = count * MEAN_COST
    account = Account("demo", cost_ceiling=ceiling)
    shares = [_make_ceilings(nodes, node, account) for node in nodes.nodes_by_id.values()]
    before = nodes.store.calls
    draw = random.Random(SEED)
    spent = await asyncio.gather(
        *(_spend(one, account, draw) for one in shares for _ in range(WORKERS))
    )
    calls = nodes.store.calls - before
    await nodes.stop()
    costs = [cost for each in spent for cost in each]
    total = sum(costs)
    note = (
        f"{INSTANCES} instances, {len(costs)} requests, 5 in 100 over their estimate, seed {SEED}"
    )
    overshoot = max(0, total - ceiling) / ceiling
    return [
        Measurement(
            "admission.ceiling_overshoot",
            overshoot,
            "share",
            target=OVERSHOOT_TARGET,
            met=overshoot <= OVERSHOOT_TARGET,
            note=note,
        ),
        Measurement(
            "admission.ceiling_wasted", max(0, ceiling - total) / ceiling, "share", note=note
        ),
        Measurement(
            "admission.ceiling_store_calls_per_1000_requests",
            calls * 1_000 / len(costs),
            "calls",
            note=note,
        ),
    ]


async def _spend(ceilings: Ceilings, account: Account, draw: random.Random) -> list[int]:
    """Runs requests one after another until the ceiling refuses."""
    costs: list[int] = []
    while True:
        estimate = draw.randrange(MEAN_COST, 2 * MEAN_COST)
        dearer = draw.random() < UNDERESTIMATED
        cost = int(estimate * (draw.uniform(1.0, 2.0) if dearer else draw.uniform(0.2, 1.0)))
        try:
            share = await ceilings.reserve(account, estimate)
        except CeilingReachedError:
            return costs
        except MastickeelError:
            await asyncio.sleep(RUN_SECONDS)
            continue
        await asyncio.sleep(RUN_SECONDS)
        ceilings.settle(share, estimate, cost)
        costs.append(cost)


async def _measure_permits(quick: bool) -> list[Measurement]:
    """Sends contents that differ, one after another, through all instances."""
    nodes = Nodes()
    await nodes.start(INSTANCES)
    guards = [
        Quarantine(
            link=node.link,
            members=node.get_members,
            http=node.http,
            clock=nodes.clock,
            rng=random.Random(SEED),
        )
        for node in nodes.nodes_by_id.values()
    ]
    count = QUICK_GUARDED if quick else GUARDED
    endpoint = Endpoint("engine-1", "127.0.0.1:1", "dc-0")
    waits: list[float] = []
    for number in range(count):
        body = {"messages": [{"role": "user", "content": f"content {number}"}]}
        request = ChatRequest(f"request-{number}", "demo", "auto", body, False, 0)
        began = time.perf_counter()
        async with guards[number % INSTANCES].guard(request, "v", endpoint):
            waits.append((time.perf_counter() - began) * 1_000)
    await asyncio.sleep(RUN_SECONDS)
    metrics = [node.metrics.totals_by_name for node in nodes.nodes_by_id.values()]
    sent_bytes = sum(totals["peers.sent_bytes"] for totals in metrics)
    sent = sum(totals["peers.sent"] for totals in metrics)
    await nodes.stop()
    waits.sort()
    note = f"{INSTANCES} instances in one process, {count} contents one after another, loopback"
    figures = (
        ("permit_50", waits[count // 2], "ms"),
        ("permit_99", waits[count * 99 // 100], "ms"),
        ("permit_messages_per_request", sent / count, "messages"),
        ("permit_bytes_per_request", sent_bytes / count, "bytes"),
    )
    return [
        Measurement(f"quarantine.{name}", value, unit, note=note) for name, value, unit in figures
    ]


def _make_ceilings(nodes: Nodes, node: Node, account: Account) -> Ceilings:
    """Makes an instance's shares."""
    keeper = CeilingCoordinator(
        node.store,
        "/bench",
        view=lambda: View(Configuration(accounts_by_id={account.id: account})),
        clock=nodes.clock,
        rng=random.Random(f"{SEED}/{node.id}"),
        instance_count=lambda: INSTANCES,
    )
    return Ceilings(
        keeper, holder=f"{node.id}-1", link=node.link, members=node.get_members, clock=nodes.clock
    )

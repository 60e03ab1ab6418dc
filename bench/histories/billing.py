"""Histories of bills, ceilings and contents that crash endpoints, under faults."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from unittest.mock import patch

from bench.histories.types import HistoryResult
from mastickeel.errors import EndpointError, MastickeelError
from mastickeel.httpmessages import ConnectionFailedError
from mastickeel.model import Account, Configuration, Endpoint, View
from mastickeel_router.admission import CeilingCoordinator, Ceilings
from mastickeel_router.admission import ceilings as ceilings_module
from mastickeel_router.billing import copies as copies_module
from mastickeel_router.billing import ledger as ledger_module
from mastickeel_router.billing import replication as replication_module
from mastickeel_router.quarantine import guard as guard_module
from mastickeel_router.quarantine.guard import Quarantine
from mastickeel_router.quarantine.replica import MAX_CRASHES
from mastickeel_router.requests import ChatRequest
from tests.ledgers import Ledgers, make_bill

if TYPE_CHECKING:
    from mastickeel_router.billing import BillLedger
    from tests.peers import Node

INSTANCES = 5
STEPS = 24
CEILING = 20_000
ESTIMATE = 300
ACCOUNT = Account("demo", cost_ceiling=CEILING)
VIEW = View(Configuration(accounts_by_id={"demo": ACCOUNT}))
FAULTS = ("kill", "pause", "cut_from_peers", "cut_from_store", "outage", "lost_answers")
FAULT_SHARE = 0.25
SETTLE_MS = 300
PEER_TIMEOUT_MS = 60


@dataclass
class History:
    """What one run did and saw."""

    seed: int
    draw: random.Random
    fleet: Ledgers = field(default_factory=Ledgers)
    ceilings: list[Ceilings] = field(default_factory=list)
    guards: list[Quarantine] = field(default_factory=list)
    served: set[str] = field(default_factory=set)
    """Requests whose answer ended: each must be billed once."""
    begun: set[str] = field(default_factory=set)
    """Requests that ran, whether their answer ended or not: billed once at most."""
    spent: int = 0
    crashes: int = 0
    operations: int = 0
    faults: Counter[str] = field(default_factory=Counter)


async def run(seed: int) -> HistoryResult:
    """Runs one history.

    Args:
        seed: Gives the same faults and requests again.

    Returns:
        Its counts.
    """
    history = History(seed, random.Random(seed))
    await history.fleet.start(INSTANCES)
    try:
        with (
            patch.object(copies_module, "GONE_AFTER_MS", 0),
            patch.object(copies_module, "SILENT_AFTER_MS", 0),
            patch.object(guard_module, "REQUEST_TIMEOUT_MS", PEER_TIMEOUT_MS),
            patch.object(replication_module, "APPEND_TIMEOUT_MS", PEER_TIMEOUT_MS),
            patch.object(ledger_module, "RECORD_TIMEOUT_MS", 4 * PEER_TIMEOUT_MS),
            patch.object(ceilings_module, "REQUEST_TIMEOUT_MS", 2 * PEER_TIMEOUT_MS),
        ):
            return await _run(history)
    finally:
        await history.fleet.stop()


async def _run(history: History) -> HistoryResult:
    """Runs requests and faults, heals everything, and counts."""
    nodes = list(history.fleet.nodes.nodes_by_id.values())
    history.ceilings = [_make_ceilings(history, node) for node in nodes]
    history.guards = [_make_guard(history, node) for node in nodes]
    for guard in history.guards:
        # As the background task of a router does, which histories do not run.
        guard.observe_members()
    working: list[asyncio.Task[None]] = []
    for step in range(STEPS):
        if history.draw.random() < FAULT_SHARE:
            await _bring_about(history, history.draw.choice(FAULTS))
        index = history.draw.choice(_alive(history))
        work = history.draw.choice((_serve, _serve, _serve, _send_crashing, _store))
        history.operations += 1
        working.append(asyncio.ensure_future(work(history, index, step)))
        await asyncio.sleep(history.draw.uniform(0, 0.01))
    await asyncio.gather(*working)
    await _heal(history)
    return HistoryResult(
        history.seed, history.operations, dict(history.faults), await _violations(history)
    )


async def _serve(history: History, index: int, step: int) -> None:
    """Runs one request: reserves its cost, bills it, ends its answer."""
    name = f"request-{step}"
    cost = history.draw.randrange(50, ESTIMATE)
    ceilings, ledger = history.ceilings[index], history.fleet.ledgers[index]
    try:
        share = await ceilings.reserve(ACCOUNT, ESTIMATE)
    except MastickeelError:
        return
    if history.fleet.node(index).is_dead:
        return
    history.begun.add(name)
    history.spent += cost
    await ledger.record(make_bill(name, cost=cost))
    ceilings.settle(share, ESTIMATE, cost)
    if not history.fleet.node(index).is_dead:
        history.served.add(name)


async def _send_crashing(history: History, index: int, step: int) -> None:
    """Sends the one content that crashes whatever runs it."""
    body = {"messages": [{"role": "user", "content": "crash"}]}
    request = ChatRequest(f"crashing-{step}", "demo", "auto", body, False, 0)
    endpoint = Endpoint(f"engine-{step}", "127.0.0.1:1", "dc-0")
    request_limit = history.fleet.nodes.clock.now() + SETTLE_MS
    limited = ChatRequest(**{**request.__dict__, "deadline_ms": request_limit})
    try:
        async with history.guards[index].guard(limited, "v", endpoint):
            await asyncio.sleep(0.005)
            history.crashes += 1
            raise EndpointError() from ConnectionFailedError()
    except MastickeelError:
        return


async def _store(history: History, index: int, step: int) -> None:
    """Stores bills, its own and those of silent sources."""
    ledger = history.fleet.ledgers[index]
    for store in (ledger.flush, ledger.copies.store_abandoned):
        try:
            await store()
        except MastickeelError:
            continue


async def _bring_about(history: History, fault: str) -> None:
    """Brings one fault about, for a while where it can end."""
    alive = _alive(history)
    nodes = history.fleet.nodes
    if fault == "kill":
        if len(alive) <= 3:
            return
        index = history.draw.choice(alive)
        # A bill is whole once two others have it; only then may its answer have ended.
        await history.fleet.kill(index)
    elif fault == "outage":
        nodes.store.faults.outage = not nodes.store.faults.outage
    elif fault == "lost_answers":
        nodes.store.faults.lose_answers += history.draw.randrange(1, 4)
    else:
        node_id = f"node-{history.draw.choice(alive)}"
        if fault in ("pause", "cut_from_peers"):
            _turn(nodes.partitioned_ids, node_id)
        if fault in ("pause", "cut_from_store"):
            _turn(nodes.store_partitioned_ids, node_id)
    history.faults[fault] += 1


def _turn(cut: set[str], node_id: str) -> None:
    """Lets at most one instance be cut off at a time: two lose both copies of a third."""
    was = node_id in cut
    cut.clear()
    if not was:
        cut.add(node_id)


async def _heal(history: History) -> None:
    """Ends all faults that can end, and lets every bill reach the store."""
    nodes = history.fleet.nodes
    nodes.partitioned_ids.clear()
    nodes.store_partitioned_ids.clear()
    nodes.store.faults.outage = False
    nodes.store.faults.lose_answers = 0
    for index in _alive(history):
        ledger = history.fleet.ledgers[index]
        await _until_done(ledger)


async def _until_done(ledger: BillLedger) -> None:
    """Stores what an instance has; an address that failed before may fail once more."""
    for _ in range(3):
        try:
            await ledger.flush()
            await ledger.copies.store_abandoned()
            return
        except MastickeelError:
            continue


async def _violations(history: History) -> dict[str, int]:
    """Counts how often each promise was broken."""
    stored = await history.fleet.count_stored_bills()
    counts = {
        "a bill is missing": len(history.served - set(stored)),
        "a request is billed twice": sum(count > 1 for count in stored.values()),
        "a bill has no request": len(set(stored) - history.begun),
        "a ceiling was passed": int(history.spent > CEILING),
        "more than two endpoints crashed": int(history.crashes > MAX_CRASHES),
    }
    return {promise: count for promise, count in counts.items() if count}


def _alive(history: History) -> list[int]:
    """Returns the instances that have not been killed."""
    return [index for index in range(INSTANCES) if not history.fleet.node(index).is_dead]


def _make_ceilings(history: History, node: Node) -> Ceilings:
    """Makes an instance's shares of the ceiling."""
    clock = history.fleet.nodes.clock
    keeper = CeilingCoordinator(
        node.store,
        "/test",
        view=lambda: VIEW,
        clock=clock,
        rng=random.Random(f"{history.seed}/{node.id}"),
        instance_count=lambda: INSTANCES,
    )
    return Ceilings(
        keeper, holder=f"{node.id}-1", link=node.link, members=node.get_members, clock=clock
    )


def _make_guard(history: History, node: Node) -> Quarantine:
    """Makes an instance's part of the quarantine."""
    return Quarantine(
        link=node.link,
        members=node.get_members,
        http=node.http,
        clock=history.fleet.nodes.clock,
        rng=random.Random(f"{history.seed}/{node.id}"),
    )

"""What the choice of endpoints and the grouping of intents bring, against doing without."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from bench.fleets.client import HOST, Latencies
from bench.measure.measurement import Measurement
from mastickeel.addresses import Address
from mastickeel.clock import Clock
from mastickeel.errors import MastickeelError, UnavailableError
from mastickeel.httpclient import HttpClient
from mastickeel.keyvalue import KeyValueClient
from mastickeel.metrics import Metrics
from mastickeel.model import Account, Configuration, Delta, Endpoint, Pool, Version, View
from mastickeel.rendezvous import rank
from mastickeel.tasks import TaskGroup
from mastickeel_router.choice.cascade import BufferedSink
from mastickeel_router.dispatch import ChatDispatcher, EndpointTable
from mastickeel_router.dispatch.intent import IntentKey, IntentOutcome
from mastickeel_router.dispatch.intents import Claim, IntentTable
from mastickeel_router.listeners.memory import HeldMemory
from mastickeel_router.listeners.pieces import HeldPieces
from mastickeel_router.requests import ChatRequest, Choice
from mastickeel_standins.engine import EngineStandin
from mastickeel_standins.keyvalue import KeyValueStandin

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel_router.dispatch.prefixes import PromptPrefix

    Choose = Callable[[list[Endpoint], PromptPrefix | None], Endpoint]

SEED = 1
ENGINES = 6
MODEL = "draft@1"
POOL = "pool"
TOKENS = 8
PIECE_MS = 5.0
SLOW_FACTOR = 10.0
MEMORY_BYTES = 64_000_000
CALLERS = 16
NEVER_MS = 10_000_000.0
PROMPT_GROUPS = 40
GROUP_TEXT_BLOCKS = 20
BLOCK_CHARACTERS = 64
CACHE_BLOCKS = 250
FIRST_PIECE_MS = 20.0
KEYED_CALLERS = 50
PER_THOUSAND = 1_000
MICROSECONDS_PER_SECOND = 1_000_000


class PlainTable(EndpointTable):
    """Chooses by a function of the live endpoints alone, as a router without the rest would."""

    choose_plainly: Choose

    def choose(
        self,
        view: View,
        pool_id: str,
        avoid: frozenset[str] = frozenset(),
        prefix: PromptPrefix | None = None,
    ) -> Endpoint:
        """Chooses without load, breakers or caches."""
        pool = view.committed.pools_by_id[pool_id]
        live = [one for one in pool.endpoints if one.id not in avoid]
        if not live:
            raise UnavailableError("No endpoint is left.")
        return self.choose_plainly(live, prefix)


@dataclass
class Rig:
    """A dispatcher before six engines."""

    choose: Choose | None = None
    """How endpoints are chosen; None for the product's way."""

    def __post_init__(self) -> None:
        self.clock = Clock()
        self.http = HttpClient(self.clock)
        self.memory = HeldMemory(self.clock, MEMORY_BYTES)
        self.metrics = Metrics()
        self.tasks = TaskGroup()
        self.engines: list[EngineStandin] = []

    async def start(self, **engine: float) -> None:
        """Starts engines and dispatcher."""
        for number in range(ENGINES):
            one = EngineStandin(f"engine-{number}", models=(MODEL,), tokens=TOKENS, **engine)  # type: ignore[arg-type]
            await one.start(events_port=0, replay_port=0)
            self.engines.append(one)
        endpoints = tuple(_endpoint(one) for one in self.engines)
        delta = Delta(
            accounts=(Account("account", allowed=("draft",)),),
            versions=(Version(MODEL, "draft", POOL),),
            pools=(Pool(POOL, endpoints=endpoints),),
        )
        view = View(Configuration().apply(delta, 1))
        kind = EndpointTable if self.choose is None else PlainTable
        table = kind(random.Random(SEED), clock=self.clock, instance_id="bench")
        if isinstance(table, PlainTable) and self.choose is not None:
            table.choose_plainly = self.choose
        self.tasks.start(table.loads.poll(self.http, lambda: table.engine_subset(view)))
        self.tasks.start(table.caches.follow(lambda: table.engine_subset(view)))
        self.dispatcher = ChatDispatcher(
            self.http,
            table,
            lambda: view,
            lambda outcome: None,
            metrics=self.metrics,
            memory=self.memory,
            tasks=self.tasks,
        )
        await self.clock.sleep(200)

    async def send_all(self, prompts: list[str]) -> tuple[Latencies, int]:
        """Sends all prompts from some callers; returns the latencies and how many failed."""
        latencies = Latencies()
        failed = 0
        numbered = iter(list(enumerate(prompts)))

        async def caller() -> None:
            nonlocal failed
            for number, prompt in numbered:
                began = time.perf_counter()
                try:
                    await self._send(number, prompt)
                except MastickeelError:
                    failed += 1
                latencies.add((time.perf_counter() - began) * MICROSECONDS_PER_SECOND)

        await asyncio.gather(*(caller() for _ in range(CALLERS)))
        return latencies, failed

    async def _send(self, number: int, prompt: str) -> None:
        body = {"messages": [{"role": "user", "content": prompt}]}
        request = ChatRequest(f"r{number}", "account", MODEL, body, True, self.clock.now())
        with HeldPieces[bytes](self.memory) as events:
            await self.dispatcher.run(request, Choice(MODEL, "bench"), BufferedSink(events))

    def hit_share(self) -> float:
        """Returns the share of the prompts' blocks that the engines' caches held."""
        hits = sum(one._cache.hits_by_model[MODEL] for one in self.engines)
        return hits / sum(one._cache.queries_by_model[MODEL] for one in self.engines)

    async def stop(self) -> None:
        """Stops everything."""
        await self.tasks.stop()
        for one in self.engines:
            await one.stop()
        await self.http.close()


async def measure(quick: bool) -> list[Measurement]:
    """Measures tail latency with bad endpoints, prefix hits, and store calls of keyed calls.

    Args:
        quick: Whether to send fewer requests.

    Returns:
        The figures.
    """
    count = 300 if quick else 1_200
    return [*await _tails(count), *await _hits(count), await _store_calls()]


async def _tails(count: int) -> list[Measurement]:
    """Compares latencies with one slow and one dead endpoint of six."""
    draw = random.Random(SEED)
    chosen, chosen_failed = await _tail(None, count)
    plain, plain_failed = await _tail(lambda live, _: draw.choice(live), count)
    note = f"one slow ({SLOW_FACTOR:g} times) and one dead of {ENGINES}; baseline random choice"
    figures = [
        Measurement(
            f"dispatch.bad_endpoints.p{percentile}",
            chosen.milliseconds_at(percentile),
            "ms",
            baseline=plain.milliseconds_at(percentile),
            note=f"{note}; {count} requests, {CALLERS} callers",
        )
        for percentile in (50, 99)
    ]
    failed = Measurement(
        "dispatch.bad_endpoints.failed",
        chosen_failed / count,
        "share",
        baseline=plain_failed / count,
        note="under the same retry budget",
    )
    return [*figures, failed]


async def _tail(choose: Choose | None, count: int) -> tuple[Latencies, int]:
    rig = Rig(choose)
    await rig.start(piece_ms=PIECE_MS)
    try:
        rig.engines[0].faults.slow_factor = SLOW_FACTOR
        rig.engines[1].faults.restart_ms = NEVER_MS
        rig.engines[1].crash()
        return await rig.send_all([f"question {number}" for number in range(count)])
    finally:
        await rig.stop()


async def _hits(count: int) -> list[Measurement]:
    """Compares prefix hits where the caches together hold the groups, and each alone does not."""
    draw = random.Random(SEED)
    prompts = [_grouped_prompt(draw) for _ in range(count)]
    ways: dict[str, Choose | None] = {
        "chosen": None,
        "random": lambda live, _: draw.choice(live),
        "hashed": _hashed,
    }
    shares = {}
    for name, choose in ways.items():
        rig = Rig(choose)
        await rig.start(cache_blocks=CACHE_BLOCKS, first_piece_ms=FIRST_PIECE_MS, piece_ms=1)
        try:
            await rig.send_all(prompts)
            shares[name] = rig.hit_share()
        finally:
            await rig.stop()
    note = f"{PROMPT_GROUPS} groups with {GROUP_TEXT_BLOCKS} common blocks, {count} requests"
    return [
        Measurement(
            f"dispatch.prefix_hits.against_{name}",
            shares["chosen"],
            "share",
            baseline=shares[name],
            note=note,
        )
        for name in ("random", "hashed")
    ]


def _grouped_prompt(draw: random.Random) -> str:
    group = draw.randrange(PROMPT_GROUPS)
    common = random.Random(group).randbytes(GROUP_TEXT_BLOCKS * BLOCK_CHARACTERS // 2).hex()
    return common + draw.randbytes(BLOCK_CHARACTERS).hex()


def _hashed(live: list[Endpoint], prefix: PromptPrefix | None) -> Endpoint:
    key = prefix.key if prefix else ""
    home = rank(key, [one.id for one in live])[0]
    return next(one for one in live if one.id == home)


async def _store_calls() -> Measurement:
    """Counts calls of the key-value service for keyed calls, claimed and recorded."""
    store = KeyValueStandin()
    await store.start()
    clock = Clock()
    http = HttpClient(clock)
    tasks = TaskGroup()
    client = KeyValueClient(
        http, [Address(HOST, store.port)], clock=clock, calls_per_second=100_000
    )
    intents = IntentTable(client, "/bench", clock=clock, tasks=tasks)
    numbers = iter(range(PER_THOUSAND))
    name = IntentKey("account", "service", "")

    async def caller() -> None:
        for number in numbers:
            claim = await intents.claim(replace(name, key=str(number)), "f", f"r{number}")
            assert isinstance(claim, Claim)
            await claim.record_outcome(IntentOutcome(200, "text/plain", b"done"))

    try:
        await asyncio.gather(*(caller() for _ in range(KEYED_CALLERS)))
        return Measurement(
            "dispatch.store_calls_per_1000_keyed_calls",
            float(client.calls),
            "calls",
            baseline=2.0 * PER_THOUSAND,
            note=f"{KEYED_CALLERS} callers at once; baseline one call each to claim and record",
        )
    finally:
        await tasks.stop()
        await http.close()
        await store.stop()


def _endpoint(engine: EngineStandin) -> Endpoint:
    return Endpoint(
        engine.endpoint_id,
        f"{HOST}:{engine.port}",
        "dc",
        events_address=f"{HOST}:{engine.events.events_port}",
        replay_address=f"{HOST}:{engine.events.replay_port}",
    )

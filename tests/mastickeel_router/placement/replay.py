"""Replays recorded prompts through simulated instances and engines."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from mastickeel.addresses import Address
from mastickeel.clock import FakeClock
from mastickeel_router.discovery import EndpointRecord
from mastickeel_router.placement import Demand, EndpointLoads
from mastickeel_router.placement.promptcache import PromptCache
from mastickeel_router.placement.scoring import PREFILL_TOKENS_PER_MS
from mastickeel_router.relay.types import PromptPart

if TYPE_CHECKING:
    from collections.abc import Callable

RECORDED = Path(__file__).parent / "recorded_prompts.txt"
ENGINES = 6
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
MEMORY_TOKENS = 437_934
WORK_FACTOR_BY_MODEL_INDEX = {0: 0.3, 2: 3.0}
MESSAGE_DELAY_MS = 3
"""Delivery time of a message to another instance."""


@dataclass(frozen=True)
class RecordedSend:
    """One recorded send."""

    at_ms: int
    instance: int
    model_index: int
    """Index of the model, 0 for the smallest."""
    parts: tuple[PromptPart, ...]


@dataclass
class Tally:
    """Result of a replay."""

    waits_ms: list[float]
    """Time from each send to the end of its prefill."""
    read_tokens: int = 0
    read_again_tokens: int = 0
    """Tokens of shared parts that were read although an engine had read them for the same model."""

    @property
    def mean_wait_ms(self) -> float:
        return sum(self.waits_ms) / len(self.waits_ms)


def read_recorded_sends() -> list[RecordedSend]:
    """Returns the recorded sends."""
    sends = []
    for line in RECORDED.read_text().splitlines():
        if line.startswith("#"):
            continue
        at, instance, model_index, parts = line.split(" ")
        pairs = (part.split(":") for part in parts.split(","))
        named = tuple(PromptPart(part, int(tokens)) for part, tokens in pairs)
        sends.append(RecordedSend(int(at), int(instance), int(model_index), named))
    return sends


class Engine:
    """Simulated engine that reads prompts one at a time and caches the parts that fit."""

    def __init__(self) -> None:
        self._cache = PromptCache()
        self._idle_ms = 0.0

    def read(self, sent: RecordedSend, demand: Demand, now_ms: int) -> tuple[float, int, set[str]]:
        """Returns the wait in milliseconds, the tokens read and the ids of uncached parts."""
        model = str(sent.model_index)
        cached = self._cache.cached_tokens(demand, model, now_ms)
        tokens, missing, counted = demand.tokens_in - cached, set(), 0
        for part in demand.parts:
            counted += part.tokens
            if counted > cached:
                missing.add(part.id)
        pairs = [(part.id, part.tokens) for part in demand.parts]
        self._cache.add_prompt(model, pairs, MEMORY_TOKENS, now_ms)
        work_ms = tokens * demand.work_factor / PREFILL_TOKENS_PER_MS
        self._idle_ms = max(self._idle_ms, now_ms) + work_ms
        return self._idle_ms - now_ms, tokens, missing


def replay(sends: list[RecordedSend], *, share: bool) -> Tally:
    """Places each recorded send as its instance would.

    Args:
        sends: The sends, in the order of their times.
        share: Whether instances notify each other of their sends.
    """
    clock = FakeClock(now_ms=0)
    records = [
        EndpointRecord(f"e{n}", "s", Address("127.0.0.1", 1), DATA_CENTRES[n % 3], "v1", slots=64)
        for n in range(ENGINES)
    ]
    engines = {record.id: Engine() for record in records}
    count = 1 + max(sent.instance for sent in sends)
    loads = [EndpointLoads(clock, random.Random(n), DATA_CENTRES[n % 3]) for n in range(count)]
    order = itertools.count()
    waiting: list[tuple[int, int, Callable[[], None]]] = []

    def push(at_ms: int, callback: Callable[[], None]) -> None:
        heapq.heappush(waiting, (at_ms, next(order), callback))

    def notify_peers(sender: EndpointLoads, work: object) -> None:
        for other in loads:
            if other is not sender:
                push(clock.now() + MESSAGE_DELAY_MS, lambda other=other: other.apply_work(work))

    for sender in loads if share else ():
        sender.on_work_sent.append(lambda work, sender=sender: notify_peers(sender, work))
    tally = Tally([])
    seen: set[tuple[int, str]] = set()

    def place(sent: RecordedSend) -> None:
        own_loads = loads[sent.instance]
        tokens = sum(part.tokens for part in sent.parts)
        demand = Demand(
            tokens, sent.parts, True, WORK_FACTOR_BY_MODEL_INDEX[sent.model_index], MEMORY_TOKENS
        )
        chosen = own_loads.choose(records, demand, str(sent.model_index))
        assert chosen is not None
        own_loads.record_start(chosen, demand, str(sent.model_index))
        wait_ms, read, missing = engines[chosen.id].read(sent, demand, clock.now())
        push(clock.now() + round(wait_ms), lambda: own_loads.record_end(chosen.id))
        tally.waits_ms.append(wait_ms)
        tally.read_tokens += read
        for part in sent.parts[:-1]:
            if part.id in missing and (sent.model_index, part.id) in seen:
                tally.read_again_tokens += part.tokens
            seen.add((sent.model_index, part.id))

    for sent in sends:
        push(sent.at_ms, lambda sent=sent: place(sent))
    while waiting:
        at_ms, _, callback = heapq.heappop(waiting)
        clock._now = max(clock.now(), at_ms)
        callback()
    return tally


def unique_work_ms(sends: list[RecordedSend]) -> float:
    """Returns the total prefill time when each model reads each part once, in milliseconds."""
    work_by_part = {
        (sent.model_index, part.id): part.tokens
        * WORK_FACTOR_BY_MODEL_INDEX[sent.model_index]
        / PREFILL_TOKENS_PER_MS
        for sent in sends
        for part in sent.parts
    }
    return sum(work_by_part.values())


def ideal_mean_wait_ms(sends: list[RecordedSend]) -> float:
    """Returns the mean wait if the least busy engine read each part once for all engines.

    No placement does better without knowledge of future requests.
    """
    idle_ms = [0.0] * ENGINES
    read: set[tuple[int, str]] = set()
    waits_ms = []
    for sent in sends:
        fresh = [part for part in sent.parts if (sent.model_index, part.id) not in read]
        read |= {(sent.model_index, part.id) for part in fresh}
        tokens = sum(part.tokens for part in fresh)
        least = idle_ms.index(min(idle_ms))
        work_ms = tokens * WORK_FACTOR_BY_MODEL_INDEX[sent.model_index] / PREFILL_TOKENS_PER_MS
        idle_ms[least] = max(idle_ms[least], sent.at_ms) + work_ms
        waits_ms.append(idle_ms[least] - sent.at_ms)
    return sum(waits_ms) / len(waits_ms)

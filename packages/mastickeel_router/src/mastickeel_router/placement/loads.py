"""What this instance knows of the endpoints from its own sends."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.peers import message
from mastickeel.rendezvous import rank
from mastickeel_router.breaker import CircuitBreakers
from mastickeel_router.placement.escalation import FirstEventLatency
from mastickeel_router.placement.promptcache import PromptCache
from mastickeel_router.placement.scoring import (
    Candidate,
    Demand,
    first_event_wait_ms,
    prefill_ms,
    score,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from mastickeel.clock import Clock
    from mastickeel_router.discovery import EndpointRecord

TIE_TOLERANCE_MS = 2.0
"""Scores this near are drawn among, so that instances do not all take the first."""


@message("work_sent")
@dataclass(frozen=True)
class WorkSentNotice:
    """An instance has sent work to an endpoint."""

    endpoint: str
    work_ms: float
    """How long the endpoint is busy with it."""
    model: str = ""
    parts: tuple[tuple[str, int], ...] = ()
    """The parts of the prompt that it holds from now on, with their tokens."""
    memory_tokens: int = 0
    """What fits into its memory; 0 when not known."""


class EndpointLoads:
    """Requests under way, parts of prompts held, and failures, by endpoint."""

    def __init__(self, clock: Clock, rng: random.Random, data_centre: str) -> None:
        """Makes it with nothing known.

        Args:
            clock: Times what is forgotten.
            rng: Breaks ties between endpoints.
            data_centre: Where this instance stands.
        """
        self.breakers = CircuitBreakers(clock, rng)
        """Which endpoints get nothing for a while."""
        self.first_events = FirstEventLatency(clock)
        """How long first events take lately."""
        self.on_work_sent: list[Callable[[WorkSentNotice], None]] = []
        """Told of the work that this instance sends to engines."""
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._running_by_id: Counter[str] = Counter()
        self._idle_at_ms: dict[str, float] = {}
        self._caches_by_id: dict[str, PromptCache] = {}

    def record_start(self, record: EndpointRecord, demand: Demand, model: str) -> None:
        """Notes that a request goes to an endpoint."""
        self._running_by_id[record.id] += 1
        if not demand.is_engine:
            return
        work_ms = prefill_ms(demand, self._build_candidate(record, demand, model, home=""))
        parts = tuple((part.id, part.tokens) for part in demand.parts)
        sent = WorkSentNotice(record.id, work_ms, model, parts, demand.memory_tokens)
        self.apply_work(sent)
        for tell in self.on_work_sent:
            tell(sent)

    def apply_work(self, sent: WorkSentNotice) -> None:
        """Takes work that this instance or another has sent to an endpoint."""
        self.add_backlog(sent.endpoint, sent.work_ms)
        held = self._caches_by_id.setdefault(sent.endpoint, PromptCache())
        held.add_prompt(sent.model, sent.parts, sent.memory_tokens, self._clock.now())

    def add_backlog(self, endpoint_id: str, work_ms: float) -> None:
        """Notes how much longer an endpoint is busy."""
        now = self._clock.now()
        self._idle_at_ms[endpoint_id] = max(now, self._idle_at_ms.get(endpoint_id, now)) + work_ms

    def record_end(self, endpoint_id: str) -> None:
        """Notes that a request has ended there."""
        self._running_by_id[endpoint_id] -= 1
        if not self._running_by_id[endpoint_id]:
            # Endpoints come and go for as long as the process lives.
            del self._running_by_id[endpoint_id]

    def reset_endpoint(self, endpoint_id: str) -> None:
        """Forgets what an endpoint held: its lifetime has ended."""
        self._caches_by_id.pop(endpoint_id, None)
        self._idle_at_ms.pop(endpoint_id, None)

    def choose(
        self, records: Sequence[EndpointRecord], demand: Demand, model: str
    ) -> EndpointRecord | None:
        """Chooses the endpoint where a request costs least.

        Args:
            records: Those that may be given the request.
            demand: What it asks for.
            model: The model that it runs on.

        Returns:
            The endpoint; None when there are none.
        """
        admitted = [one for one in records if self.breakers.allows_request(one.id)] or list(records)
        if not admitted:
            return None
        home = self._home_endpoint(admitted, demand)
        scored = [
            (score(demand, self._build_candidate(one, demand, model, home)), one)
            for one in admitted
        ]
        best = min(cost for cost, _ in scored)
        return self._rng.choice([one for cost, one in scored if cost <= best + TIE_TOLERANCE_MS])

    def predict_first_event_ms(
        self, records: Sequence[EndpointRecord], demand: Demand, model: str
    ) -> float:
        """Returns how long a first event would take at the best endpoint; 0 without endpoints."""
        home = self._home_endpoint(records, demand) if records else ""
        candidates = (self._build_candidate(one, demand, model, home) for one in records)
        return min(
            (first_event_wait_ms(demand, candidate) for candidate in candidates), default=0.0
        )

    def backlog_ms(self, records: Sequence[EndpointRecord]) -> float:
        """Returns the work that waits at each of some endpoints, on average; 0 without any."""
        if not records:
            return 0.0
        now = self._clock.now()
        waits = (max(0.0, self._idle_at_ms.get(one.id, 0.0) - now) for one in records)
        return sum(waits) / len(records)

    def cached_tokens(self, endpoint_id: str, demand: Demand, model: str) -> int:
        """Counts the tokens of the parts that lie there, up to the first that does not."""
        held = self._caches_by_id.get(endpoint_id)
        return held.cached_tokens(demand, model, self._clock.now()) if held else 0

    def _home_endpoint(self, records: Sequence[EndpointRecord], demand: Demand) -> str:
        """Returns where all instances send such prompts first."""
        if not demand.parts:
            return ""
        near = [
            one.id
            for one in records
            if one.data_centre == self._data_centre or demand.allows_remote_home
        ]
        shared = demand.parts[-2] if len(demand.parts) > 1 else demand.parts[0]
        return rank(shared.id, near or [one.id for one in records])[0]

    def _build_candidate(
        self, record: EndpointRecord, demand: Demand, model: str, home: str
    ) -> Candidate:
        return Candidate(
            slots=record.slots,
            running=self._running_by_id[record.id],
            same_data_centre=record.data_centre == self._data_centre,
            backlog_ms=max(0.0, self._idle_at_ms.get(record.id, 0.0) - self._clock.now()),
            cached_tokens=self.cached_tokens(record.id, demand, model),
            is_home=record.id == home,
        )

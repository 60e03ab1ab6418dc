"""Tracks the load of each endpoint and selects the one where a request costs least."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from mastickeel.peers import message
from mastickeel.rendezvous import rank
from mastickeel_router.breaker import CircuitBreakers
from mastickeel_router.placement.figures import AnswerFigures, AnswerObservation
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
    from collections.abc import Callable, Mapping, Sequence

    from mastickeel.clock import Clock
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.placement.leaving import LeavingShares

TIE_TOLERANCE_MS = 2.0
"""Score difference within which endpoints are chosen from at random, so that instances do not all
pick the first."""


@message("work_sent")
@dataclass(frozen=True)
class WorkSentNotice:
    """Notification to peers that this instance has sent a request to an engine."""

    endpoint: str
    work_ms: float
    """Time for which the request keeps the endpoint busy."""
    model: str = ""
    parts: tuple[tuple[str, int], ...] = ()
    """Ids and token counts of the prompt parts that the endpoint caches from now on."""
    memory_tokens: int = 0
    """Tokens that fit into the endpoint's memory; 0 when not known."""
    observed: tuple[AnswerObservation, ...] = ()
    """What answers to this instance have shown since its last notices."""


class EndpointLoads:
    """Running requests, expected backlog, cached prompt parts and failures of each endpoint."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        data_centre: str,
        *,
        learns_over_fleet: bool = False,
        leaving: LeavingShares | None = None,
    ) -> None:
        """Creates the tracker without any load.

        Args:
            clock: Times the backlog, the cached parts and the circuit breakers.
            rng: Breaks ties between endpoints.
            data_centre: Data centre of this instance.
            learns_over_fleet: Whether the instances tell each other how long answers take.
            leaving: Decides which requests leave the data centre; None for a fixed price.
        """
        self.breakers = CircuitBreakers(clock, rng)
        """Circuit breakers of the endpoints."""
        self.figures = AnswerFigures(clock, over_fleet=learns_over_fleet)
        """What answers have shown of each model."""
        self.on_work_sent: list[Callable[[WorkSentNotice], None]] = []
        """Callbacks for each request that this instance sends to an engine."""
        self.leaving = leaving
        """Decides which requests leave the data centre; None for a fixed price."""
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._running_by_id: Counter[str] = Counter()
        self._idle_at_ms: dict[str, float] = {}
        self._caches_by_id: dict[str, PromptCache] = {}

    def record_start(self, record: EndpointRecord, demand: Demand, model: str) -> None:
        """Records that this instance sends a request to an endpoint."""
        self._running_by_id[record.id] += 1
        if not demand.is_engine:
            return
        work_ms = prefill_ms(demand, self._build_candidate(record, demand, model, home=""))
        parts = tuple((part.id, part.tokens) for part in demand.parts)
        sent = WorkSentNotice(record.id, work_ms, model, parts, demand.memory_tokens)
        self._add_work(sent)
        sent = replace(sent, observed=self.figures.take_pending())
        for notify in self.on_work_sent:
            notify(sent)

    def apply_work(self, sent: WorkSentNotice) -> None:
        """Adds a request that another instance has sent, and what its answers have shown."""
        for observation in sent.observed:
            self.figures.apply(observation)
        self._add_work(sent)

    def _add_work(self, sent: WorkSentNotice) -> None:
        """Adds a request that was sent to an endpoint."""
        self.add_backlog(sent.endpoint, sent.work_ms)
        cache = self._caches_by_id.setdefault(sent.endpoint, PromptCache())
        cache.add_prompt(sent.model, sent.parts, sent.memory_tokens, self._clock.now())

    def add_backlog(self, endpoint_id: str, work_ms: float) -> None:
        """Extends the time until an endpoint is expected to be idle."""
        now = self._clock.now()
        self._idle_at_ms[endpoint_id] = max(now, self._idle_at_ms.get(endpoint_id, now)) + work_ms

    def record_end(self, endpoint_id: str) -> None:
        """Records that a request of this instance has ended at an endpoint."""
        self._running_by_id[endpoint_id] -= 1
        if not self._running_by_id[endpoint_id]:
            # Endpoint ids change over the life of the process; zero entries would accumulate.
            del self._running_by_id[endpoint_id]

    def reset_endpoint(self, endpoint_id: str) -> None:
        """Clears the cached parts and the backlog of an endpoint that has ended or restarted."""
        self._caches_by_id.pop(endpoint_id, None)
        self._idle_at_ms.pop(endpoint_id, None)

    def choose(
        self, records: Sequence[EndpointRecord], demand: Demand, model: str
    ) -> EndpointRecord | None:
        """Selects the endpoint where a request costs least.

        Endpoints with an open circuit breaker are used only when every endpoint has one.

        Args:
            records: Endpoints that may serve the request.
            demand: Resources that the request needs.
            model: Name of the model that runs the request.

        Returns:
            The endpoint; None when `records` is empty.
        """
        admitted = [
            record for record in records if self.breakers.allows_request(record.id)
        ] or list(records)
        if not admitted:
            return None
        home = self._home_endpoint(admitted, demand)
        distances = self._draw_distances(admitted, demand)
        scored = [
            (score(demand, self._build_candidate(record, demand, model, home, distances)), record)
            for record in admitted
        ]
        best = min(cost for cost, _ in scored)
        return self._rng.choice(
            [record for cost, record in scored if cost <= best + TIE_TOLERANCE_MS]
        )

    def predict_first_event_ms(
        self, records: Sequence[EndpointRecord], demand: Demand, model: str
    ) -> float:
        """Returns the expected first-event latency at the best endpoint; 0 without endpoints."""
        home = self._home_endpoint(records, demand) if records else ""
        candidates = (self._build_candidate(record, demand, model, home) for record in records)
        return min(
            (first_event_wait_ms(demand, candidate) for candidate in candidates), default=0.0
        )

    def backlog_ms(self, records: Sequence[EndpointRecord]) -> float:
        """Returns the mean backlog of the endpoints in milliseconds; 0 without endpoints."""
        if not records:
            return 0.0
        now = self._clock.now()
        waits = (max(0.0, self._idle_at_ms.get(record.id, 0.0) - now) for record in records)
        return sum(waits) / len(records)

    def cached_tokens(self, endpoint_id: str, demand: Demand, model: str) -> int:
        """Returns the tokens of the longest prompt prefix that an endpoint has cached."""
        cache = self._caches_by_id.get(endpoint_id)
        return cache.cached_tokens(demand, model, self._clock.now()) if cache else 0

    def _home_endpoint(self, records: Sequence[EndpointRecord], demand: Demand) -> str:
        """Returns the id of the endpoint to which all instances send a new shared prefix first.

        Rendezvous hashing lets all instances agree on the endpoint without communication. The id is
        empty when the request has no prompt parts.
        """
        if not demand.parts:
            return ""
        near = [
            record.id
            for record in records
            if record.data_centre == self._data_centre or demand.allows_remote_home
        ]
        shared = demand.parts[-2] if len(demand.parts) > 1 else demand.parts[0]
        return rank(shared.id, near or [record.id for record in records])[0]

    def _draw_distances(
        self, records: Sequence[EndpointRecord], demand: Demand
    ) -> Mapping[str, float]:
        """Returns what the way to each other data centre costs a request; empty for the usual."""
        if self.leaving is None or not demand.is_engine:
            return {}
        records_by_data_centre: dict[str, list[EndpointRecord]] = {}
        for record in records:
            records_by_data_centre.setdefault(record.data_centre, []).append(record)
        own = records_by_data_centre.pop(self._data_centre, None)
        if own is None or not records_by_data_centre:
            return {}
        return self.leaving.draw(
            own[0].service,
            demand.objective_ms,
            demand.traffic_bytes,
            self.backlog_ms(own),
            {name: self.backlog_ms(others) for name, others in records_by_data_centre.items()},
        )

    def _build_candidate(
        self,
        record: EndpointRecord,
        demand: Demand,
        model: str,
        home: str,
        distances: Mapping[str, float] | None = None,
    ) -> Candidate:
        return Candidate(
            slots=record.slots,
            running=self._running_by_id[record.id],
            same_data_centre=record.data_centre == self._data_centre,
            backlog_ms=max(0.0, self._idle_at_ms.get(record.id, 0.0) - self._clock.now()),
            cached_tokens=self.cached_tokens(record.id, demand, model),
            is_home=record.id == home,
            distance_ms=distances.get(record.data_centre) if distances else None,
        )

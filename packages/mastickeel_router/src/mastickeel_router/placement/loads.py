"""What this instance knows of the endpoints from its own sends."""

from __future__ import annotations

from collections import Counter, OrderedDict, defaultdict
from typing import TYPE_CHECKING

from mastickeel.rendezvous import rank
from mastickeel_router.breaker import Breakers
from mastickeel_router.placement.models import FirstEvents
from mastickeel_router.placement.scoring import Candidate, Demand, read_ms, score, wait_ms

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from mastickeel.clock import Clock
    from mastickeel_router.discovery import EndpointRecord

PARTS_KEPT = 512
"""Parts of prompts remembered for each endpoint; about what an engine's memory holds."""
PART_AGE_MS = 30_000
"""How long a part is believed to be held; engines forget the least recently used."""
TIE_MS = 2.0
"""Scores this near are drawn among, so that instances do not all take the first."""


class EndpointLoads:
    """Requests under way, parts of prompts held, and failures, by endpoint."""

    def __init__(self, clock: Clock, draw: random.Random, data_centre: str) -> None:
        """Makes it with nothing known.

        Args:
            clock: Times what is forgotten.
            draw: Decides ties.
            data_centre: Where this instance stands.
        """
        self.breakers = Breakers(clock, draw)
        """Which endpoints get nothing for a while."""
        self.first_events = FirstEvents(clock)
        """How long first events take lately."""
        self.on_work: list[Callable[[str, float], None]] = []
        """Told of the work that this instance sends: the endpoint and its milliseconds."""
        self._clock = clock
        self._draw = draw
        self._data_centre = data_centre
        self._running_by_id: Counter[str] = Counter()
        self._idle_at_ms: dict[str, float] = {}
        self._parts_by_id: dict[str, OrderedDict[tuple[str, str], int]] = defaultdict(OrderedDict)

    def begin(self, record: EndpointRecord, demand: Demand, model: str) -> None:
        """Notes that a request goes to an endpoint."""
        endpoint_id = record.id
        self._running_by_id[endpoint_id] += 1
        if demand.is_engine:
            work_ms = read_ms(demand, self._candidate(record, demand, model, home=""))
            self.note_work(endpoint_id, work_ms)
            for tell in self.on_work:
                tell(endpoint_id, work_ms)
        held = self._parts_by_id[endpoint_id]
        now = self._clock.now()
        for part in demand.parts:
            held[model, part.id] = now
            held.move_to_end((model, part.id))
        while len(held) > PARTS_KEPT:
            held.popitem(last=False)

    def note_work(self, endpoint_id: str, work_ms: float) -> None:
        """Notes work that this instance or another has sent to an endpoint."""
        now = self._clock.now()
        self._idle_at_ms[endpoint_id] = max(now, self._idle_at_ms.get(endpoint_id, now)) + work_ms

    def end(self, endpoint_id: str) -> None:
        """Notes that a request has ended there."""
        self._running_by_id[endpoint_id] -= 1
        if not self._running_by_id[endpoint_id]:
            # Endpoints come and go for as long as the process lives.
            del self._running_by_id[endpoint_id]

    def forget(self, endpoint_id: str) -> None:
        """Forgets what an endpoint held: its lifetime has ended."""
        self._parts_by_id.pop(endpoint_id, None)
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
        admitted = [one for one in records if self.breakers.admits(one.id)] or list(records)
        if not admitted:
            return None
        home = self._home(admitted, demand)
        scored = [
            (score(demand, self._candidate(one, demand, model, home)), one) for one in admitted
        ]
        best = min(cost for cost, _ in scored)
        return self._draw.choice([one for cost, one in scored if cost <= best + TIE_MS])

    def foresee_ms(self, records: Sequence[EndpointRecord], demand: Demand, model: str) -> float:
        """Returns how long a first event would take at the best endpoint; 0 without endpoints."""
        home = self._home(records, demand) if records else ""
        candidates = (self._candidate(one, demand, model, home) for one in records)
        return min((wait_ms(demand, candidate) for candidate in candidates), default=0.0)

    def _home(self, records: Sequence[EndpointRecord], demand: Demand) -> str:
        """Returns where all instances send such prompts first."""
        if not demand.parts:
            return ""
        near = [
            one.id
            for one in records
            if one.data_centre == self._data_centre or demand.worth_a_journey
        ]
        shared = demand.parts[-2] if len(demand.parts) > 1 else demand.parts[0]
        return rank(shared.id, near or [one.id for one in records])[0]

    def _candidate(
        self, record: EndpointRecord, demand: Demand, model: str, home: str
    ) -> Candidate:
        return Candidate(
            slots=record.slots,
            running=self._running_by_id[record.id],
            same_data_centre=record.data_centre == self._data_centre,
            backlog_ms=max(0.0, self._idle_at_ms.get(record.id, 0.0) - self._clock.now()),
            held_tokens=self._held_tokens(record.id, demand, model),
            is_home=record.id == home,
        )

    def _held_tokens(self, endpoint_id: str, demand: Demand, model: str) -> int:
        """Counts the tokens of the parts that lie there, up to the first that does not."""
        held = self._parts_by_id.get(endpoint_id)
        oldest = self._clock.now() - PART_AGE_MS
        tokens = 0
        for part in demand.parts if held else ():
            if held is None or held.get((model, part.id), oldest) <= oldest:
                break
            tokens += part.tokens
        return tokens

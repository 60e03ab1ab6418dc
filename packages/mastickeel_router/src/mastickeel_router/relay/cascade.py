"""Model cascade of a request: starts at the smallest model and may escalate to a larger one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel_router.placement import Demand
from mastickeel_router.placement.escalation import EscalationInput, choose_escalation
from mastickeel_router.relay.types import ANY_MODEL

if TYPE_CHECKING:
    from collections.abc import Sequence

    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.placement import EndpointLoads
    from mastickeel_router.relay.types import AnswerHead, CallerRequest
    from mastickeel_router.routes import EngineTraits, Route

LARGEST_WORK_FACTOR = 3.0
"""Time per token of the largest model, relative to the engine's data sheet."""
SMALLEST_WORK_FACTOR = 0.3
"""Minimum work factor of a model; the smallest model's price understates its time per token."""
TOKEN_BYTES = 8
"""Size of a generated token in an answer, with its share of an event's framing."""
PRIORITY_STEP_PER_MODEL = 3
"""Increase of the priority number for each larger model: prompts that are read fast go first."""
MAX_ENGINE_PRIORITY = 9
"""Largest priority number that engines accept, which is the least urgent."""


class Cascade:
    """Models that may run one request, and the model of the next send; empty for plain services."""

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        *,
        traits: EngineTraits | None,
        loads: EndpointLoads,
        priority: int = 0,
        body_bytes: int = 0,
    ) -> None:
        """Creates a cascade that starts at the smallest model.

        Args:
            request: The caller's request.
            route: The request's route, which may name models to choose from.
            traits: Traits of the service's engines; None when not known.
            loads: Predicts first-event latencies.
            priority: Priority of the request; 0 is the most urgent.
            body_bytes: Size of the request's body.
        """
        self.model_index = 0
        """Index of the model of the next send, 0 for the smallest."""
        self.confidence: int | None = None
        """Confidence that the newest answer's model reported; None when not reported."""
        self._prompt = request.prompt
        self._objective_ms = route.objective_ms
        self._traits = traits
        self._loads = loads
        self._priority = priority
        self._body_bytes = body_bytes
        self._models = _candidate_models(request, route)

    @property
    def model(self) -> str:
        """Name of the model of the next send; empty for plain services."""
        return self._models[self.model_index] if self._models else ""

    @property
    def engine_priority(self) -> int:
        """Priority with which the next send goes to an engine."""
        return self._engine_priority(self.model_index)

    def record_first_event(self, first_event_ms: float, predicted_ms: float) -> None:
        """Records the measured and the predicted time from a send to its first event."""
        figures = self._loads.figures
        figures.record_first_event(self.model, self.engine_priority, first_event_ms, predicted_ms)

    def record_rest(self, rest_ms: float) -> None:
        """Records the time from the answer's first event to its end, or until it was cut off."""
        if self._prompt is not None:
            tokens = self._prompt.tokens_out
            self._loads.figures.record_rest(self.model, self.engine_priority, tokens, rest_ms)

    @property
    def demand(self) -> Demand:
        """Resources that the next send needs at an endpoint."""
        return self._demand(self.model_index)

    def choose_larger(
        self,
        head: AnswerHead,
        records: Sequence[EndpointRecord],
        *,
        waited_ms: float,
        remaining_ms: float,
    ) -> int | None:
        """Returns the index of the model that should answer instead; None to keep the answer.

        Args:
            head: Status and headers of the current answer.
            records: Endpoints that may run the larger model.
            waited_ms: Time since the request arrived.
            remaining_ms: Time left until the caller's deadline.
        """
        self.confidence = head.confidence
        if not self._models or self._prompt is None:
            return None
        escalation_input = EscalationInput(
            confidence=head.confidence,
            model_index=self.model_index,
            model_count=len(self._models),
            waited_ms=waited_ms,
            objective_ms=self._objective_ms,
            largest_first_event_ms=self._predict_largest_ms(records),
            largest_rest_ms=self._loads.figures.token_ms(self._models[-1])
            * self._prompt.tokens_out,
            remaining_ms=remaining_ms,
            backlog_ms=self._loads.backlog_ms(records),
            crowding=self._loads.figures.crowding,
        )
        return choose_escalation(escalation_input)

    def _predict_largest_ms(self, records: Sequence[EndpointRecord]) -> float:
        """Returns the expected first-event latency of the largest model."""
        model, index = self._models[-1], len(self._models) - 1
        demand = self._demand(index)
        predicted_ms = self._loads.predict_first_event_ms(records, demand, model)
        extra_ms = self._loads.figures.extra_ms(model, self._engine_priority(index))
        return predicted_ms + extra_ms

    def _engine_priority(self, model_index: int) -> int:
        return min(self._priority + PRIORITY_STEP_PER_MODEL * model_index, MAX_ENGINE_PRIORITY)

    def _demand(self, model_index: int) -> Demand:
        if self._prompt is None:
            return Demand()
        work_factor = self._work_factor(model_index)
        return Demand(
            self._prompt.tokens_in,
            self._prompt.parts,
            is_engine=True,
            work_factor=work_factor,
            memory_tokens=self._traits.memory_tokens if self._traits else 0,
            objective_ms=self._objective_ms,
            traffic_bytes=self._body_bytes + TOKEN_BYTES * self._prompt.tokens_out,
        )

    def _work_factor(self, model_index: int) -> float:
        """Estimates a model's time per token from its price relative to the largest model's."""
        if self._traits is None or len(self._models) < 2:
            return 1.0
        models_by_name = self._traits.models_by_name
        costs = [models_by_name[name].cost for name in self._models if name in models_by_name]
        if len(costs) < len(self._models) or not costs[-1]:
            return 1.0
        return max(SMALLEST_WORK_FACTOR, LARGEST_WORK_FACTOR * costs[model_index] / costs[-1])


def _candidate_models(request: CallerRequest, route: Route) -> tuple[str, ...]:
    """Returns the names of the models that may run the request, smallest first.

    These are the route's models when the caller leaves the choice to the router, and otherwise the
    model that the caller named.
    """
    if request.prompt is None:
        return ()
    if request.prompt.model == ANY_MODEL and route.models:
        return route.models
    return (request.prompt.model,)

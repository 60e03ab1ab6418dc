"""The models that may run one request, and whether a larger one is asked in place of an answer."""

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
"""How long the largest model takes for a token, against the engine's sheet."""
SMALLEST_WORK_FACTOR = 0.3
"""As above for the smallest model, where its price says less."""
LARGEST_TOKEN_MS = 16.0
"""How long the largest model takes for a generated token, as the engines' sheets say."""


class Cascade:
    """Which model is asked next; empty for plain services."""

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        *,
        traits: EngineTraits | None,
        loads: EndpointLoads,
    ) -> None:
        """Makes it at the smallest model.

        Args:
            request: What was asked.
            route: Its route, which may name models to choose from.
            traits: What is known of the service's engines; None when nothing is.
            loads: Foresees first events.
        """
        self.model_index = 0
        """The place of the model that is asked next, 0 for the smallest."""
        self.confidence: int | None = None
        """The newest opinion that a model had of its answer."""
        self._prompt = request.prompt
        self._objective_ms = route.objective_ms
        self._traits = traits
        self._loads = loads
        self._models = _models(request, route)

    @property
    def model(self) -> str:
        """The model that is asked next; empty for plain services."""
        return self._models[self.model_index] if self._models else ""

    @property
    def demand(self) -> Demand:
        """What the next send asks of an endpoint."""
        return self._demand(self.model_index)

    def choose_larger(
        self,
        head: AnswerHead,
        records: Sequence[EndpointRecord],
        *,
        waited_ms: float,
        remaining_ms: float,
    ) -> int | None:
        """Returns the place of the model that should answer instead; None to take the answer.

        Args:
            head: The answer's head.
            records: Where the larger model would run.
            waited_ms: Since the request arrived.
            remaining_ms: Time left until the caller's deadline.
        """
        self.confidence = head.confidence
        if not self._models or self._prompt is None:
            return None
        opinion = EscalationInput(
            confidence=head.confidence,
            model_index=self.model_index,
            model_count=len(self._models),
            waited_ms=waited_ms,
            objective_ms=self._objective_ms,
            larger_first_event_ms=self._predict_largest_ms(records),
            larger_rest_ms=LARGEST_TOKEN_MS * self._prompt.tokens_out,
            remaining_ms=remaining_ms,
            backlog_ms=self._loads.backlog_ms(records),
        )
        return choose_escalation(opinion)

    def _predict_largest_ms(self, records: Sequence[EndpointRecord]) -> float:
        """Returns how long the largest model's first event would take now."""
        model = self._models[-1]
        demand = self._demand(len(self._models) - 1)
        foreseen_ms = self._loads.predict_first_event_ms(records, demand, model)
        return foreseen_ms + self._loads.first_events.extra_ms(model)

    def _demand(self, size: int) -> Demand:
        if self._prompt is None:
            return Demand()
        work = self._work_factor(size)
        return Demand(
            self._prompt.tokens_in,
            self._prompt.parts,
            is_engine=True,
            work_factor=work,
            memory_tokens=self._traits.memory_tokens if self._traits else 0,
        )

    def _work_factor(self, size: int) -> float:
        """Estimates how long the model takes for a token from its price against the largest's."""
        if self._traits is None or len(self._models) < 2:
            return 1.0
        models_by_name = self._traits.models_by_name
        costs = [models_by_name[one].cost for one in self._models if one in models_by_name]
        if len(costs) < len(self._models) or not costs[-1]:
            return 1.0
        return max(SMALLEST_WORK_FACTOR, LARGEST_WORK_FACTOR * costs[size] / costs[-1])


def _models(request: CallerRequest, route: Route) -> tuple[str, ...]:
    """Returns the models that may run the request, smallest first: the caller's, or the route's."""
    if request.prompt is None:
        return ()
    if request.prompt.model == ANY_MODEL and route.models:
        return route.models
    return (request.prompt.model,)

"""Decides when an answer is discarded so that the largest model of the route answers instead."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

    from mastickeel.clock import Clock

LARGEST_QUALITY_PROBABILITY = 0.95
"""Probability that an answer of the largest model meets the quality target."""
LATE_ANSWER_VALUE = 0.3
"""Value of an answer after the latency objective, relative to one within it."""
LARGEST_RUN_COST = 0.12
"""Cost of running the largest model, relative to the value of a good answer."""
IDLE_MARGIN = 0.2
"""Expected gain in value that justifies the largest model while engines have no backlog."""
BUSY_MARGIN = 0.6
"""Expected gain in value that justifies the largest model while engines are busy, as its run then
delays other requests."""
BUSY_BACKLOG_MS = 1_000.0
"""Mean backlog of an engine from which on the full `BUSY_MARGIN` applies."""
CROWDED_FROM = 1.3
CROWDED_FULLY = 2.5
"""Crowding of the engines from which on the margin grows, and from which on it is `BUSY_MARGIN`: a
run of the largest model slows the answers beside it."""
ON_TIME_SPREAD = 0.5
"""Fraction of the latency objective over which the probability of a timely answer falls from 1 to
0."""
DEFAULT_EXTRA_MS = 100.0
"""Excess of the first-event latency over the predicted latency that is assumed for a model without
recent first events."""
NEWEST_WEIGHT = 0.3
"""Weight of the newest first event in the moving average."""
EXTRA_DECAY_MS = 8_000.0
"""Time over which the average decays to `DEFAULT_EXTRA_MS`: about the length of a burst."""


@dataclass(frozen=True)
class EscalationInput:
    """State of a request when the head of an answer has arrived."""

    confidence: int | None
    """Confidence of the model in its answer, 0 to 100; None when it reports none."""
    model_index: int
    """Index of the model among the route's models, 0 for the smallest."""
    model_count: int
    """Number of models of the route."""
    waited_ms: float
    """Time since the request arrived."""
    objective_ms: float
    largest_first_event_ms: float
    """Expected first-event latency of the largest model."""
    largest_rest_ms: float = 0.0
    """Maximum time for the rest of the largest model's answer."""
    remaining_ms: float = 60_000.0
    """Time left until the caller's deadline."""
    backlog_ms: float = 0.0
    """Mean backlog of the engines."""
    crowding: float = 1.0
    """Time for a token at the engines, relative to that of engines with few requests."""


def choose_escalation(request: EscalationInput) -> int | None:
    """Returns the index of the model that should answer instead; None to keep the answer."""
    if request.confidence is None or request.model_index + 1 >= request.model_count:
        return None
    if request.largest_first_event_ms + request.largest_rest_ms > request.remaining_ms:
        return None
    in_time = request.waited_ms <= request.objective_ms
    kept_value = request.confidence / 100 * (1.0 if in_time else LATE_ANSWER_VALUE)
    expected_ms = request.waited_ms + request.largest_first_event_ms
    on_time = 0.5 + (request.objective_ms - expected_ms) / (ON_TIME_SPREAD * request.objective_ms)
    on_time = min(1.0, max(0.0, on_time))
    largest_value = (
        LARGEST_QUALITY_PROBABILITY * (on_time + LATE_ANSWER_VALUE * (1 - on_time))
        - LARGEST_RUN_COST
    )
    crowded = (request.crowding - CROWDED_FROM) / (CROWDED_FULLY - CROWDED_FROM)
    busy = min(1.0, max(0.0, crowded, request.backlog_ms / BUSY_BACKLOG_MS))
    margin = IDLE_MARGIN + busy * (BUSY_MARGIN - IDLE_MARGIN)
    return request.model_count - 1 if largest_value > kept_value + margin else None


class FirstEventLatency:
    """Moving average, by model, of the first-event latency's excess over the predicted latency.

    The average decays to `DEFAULT_EXTRA_MS` while no first events arrive.
    """

    def __init__(self, clock: Clock, newest_weight: float = NEWEST_WEIGHT) -> None:
        """Creates the averages without any first event.

        Args:
            clock: Times the decay.
            newest_weight: Weight of the newest first event.
        """
        self._clock = clock
        self._newest_weight = newest_weight
        self._average_by_model: dict[Hashable, tuple[float, int]] = {}

    def record(self, model: Hashable, first_event_ms: float, predicted_ms: float) -> None:
        """Adds the measured and the predicted time from a send to its first event."""
        average = self.extra_ms(model)
        now = self._clock.now()
        extra = max(0.0, first_event_ms - predicted_ms)
        self._average_by_model[model] = (average + self._newest_weight * (extra - average), now)

    def extra_ms(self, model: Hashable) -> float:
        """Returns the expected excess of the first-event latency over the predicted latency."""
        known = self._average_by_model.get(model)
        if known is None:
            return DEFAULT_EXTRA_MS
        average, at_ms = known
        kept = max(0.0, 1 - (self._clock.now() - at_ms) / EXTRA_DECAY_MS)
        return DEFAULT_EXTRA_MS + kept * (average - DEFAULT_EXTRA_MS)

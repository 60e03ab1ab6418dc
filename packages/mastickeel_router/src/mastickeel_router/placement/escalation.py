"""Which of a route's models runs a request, and when its answer is given up for a larger one's."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel.clock import Clock

LARGEST_QUALITY_PROBABILITY = 0.95
"""How likely an answer of the largest model meets the quality target; nothing tells it better."""
LATE_ANSWER_VALUE = 0.3
"""What an answer after the latency objective is worth, against one in time."""
LARGEST_RUN_COST = 0.12
"""What a run of the largest model costs, against the worth of a good answer."""
IDLE_MARGIN = 0.2
"""How much more must be expected of the larger model while engines have nothing waiting."""
BUSY_MARGIN = 0.6
"""As above while they are busy: its run then delays the others."""
BUSY_BACKLOG_MS = 1_000.0
"""The work that waits at an engine, on average, from which on the margin is the whole."""
ON_TIME_SPREAD = 0.5
"""The part of the objective over which the chance to be in time goes from 1 to 0."""
DEFAULT_EXTRA_MS = 100.0
"""What a first event takes beyond reading and backlog, before one has been seen."""
NEWEST_WEIGHT = 0.3
"""The weight of the newest first event in the average."""
EXTRA_DECAY_MS = 8_000.0
"""How fast what was seen is forgotten: about how long a burst lasts."""


@dataclass(frozen=True)
class EscalationInput:
    """What is known when the head of an answer has come."""

    confidence: int | None
    """The model's own opinion, 0 to 100; None when it gives none."""
    model_index: int
    """The model's place among the route's, 0 for the smallest."""
    model_count: int
    """How many models the route has."""
    waited_ms: float
    """Since the request arrived."""
    objective_ms: float
    larger_first_event_ms: float
    """How long the largest model's first event is expected to take."""
    larger_rest_ms: float = 0.0
    """How long the rest of its answer takes at most."""
    remaining_ms: float = 60_000.0
    """What is left of the caller's time."""
    backlog_ms: float = 0.0
    """The work that waits at each of the engines, on average."""


def choose_escalation(opinion: EscalationInput) -> int | None:
    """Returns the place of the model that should answer instead; None to take the answer."""
    if opinion.confidence is None or opinion.model_index + 1 >= opinion.model_count:
        return None
    if opinion.larger_first_event_ms + opinion.larger_rest_ms > opinion.remaining_ms:
        return None
    in_time = opinion.waited_ms <= opinion.objective_ms
    taken = opinion.confidence / 100 * (1.0 if in_time else LATE_ANSWER_VALUE)
    expected_ms = opinion.waited_ms + opinion.larger_first_event_ms
    chance = 0.5 + (opinion.objective_ms - expected_ms) / (ON_TIME_SPREAD * opinion.objective_ms)
    chance = min(1.0, max(0.0, chance))
    larger = (
        LARGEST_QUALITY_PROBABILITY * (chance + LATE_ANSWER_VALUE * (1 - chance)) - LARGEST_RUN_COST
    )
    busy = min(1.0, opinion.backlog_ms / BUSY_BACKLOG_MS)
    margin = IDLE_MARGIN + busy * (BUSY_MARGIN - IDLE_MARGIN)
    return opinion.model_count - 1 if larger > taken + margin else None


class FirstEventLatency:
    """What first events take lately beyond what was foreseen, by model.

    What is old counts less and less.
    """

    def __init__(self, clock: Clock) -> None:
        """Makes it with nothing seen.

        Args:
            clock: Times the forgetting.
        """
        self._clock = clock
        self._seen_by_model: dict[str, tuple[float, int]] = {}

    def record(self, model: str, first_ms: float, foreseen_ms: float) -> None:
        """Takes the time from a send to its first event, and what was foreseen."""
        average = self.extra_ms(model)
        now = self._clock.now()
        extra = max(0.0, first_ms - foreseen_ms)
        self._seen_by_model[model] = (average + NEWEST_WEIGHT * (extra - average), now)

    def extra_ms(self, model: str) -> float:
        """Returns what to expect beyond reading and backlog, in milliseconds."""
        seen = self._seen_by_model.get(model)
        if seen is None:
            return DEFAULT_EXTRA_MS
        average, at_ms = seen
        kept = max(0.0, 1 - (self._clock.now() - at_ms) / EXTRA_DECAY_MS)
        return DEFAULT_EXTRA_MS + kept * (average - DEFAULT_EXTRA_MS)

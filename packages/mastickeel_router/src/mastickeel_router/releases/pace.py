"""Says of each answer whether it was bad: a failure, or several times slower than usual."""

from __future__ import annotations

from collections import deque
from statistics import median
from typing import TYPE_CHECKING

from mastickeel_router.relay.policy import SendOutcome

if TYPE_CHECKING:
    from mastickeel_router.relay.context import SendObservation

SLOW_FACTOR = 3.5
"""How many times the usual pace is slow; load alone slows engines by under twice."""
MAX_SAMPLES = 64
MAX_BASELINES = 1_024
"""Routes and models whose pace is remembered; configurations bring new routes all the time."""
MIN_SAMPLES = 8
"""The fewest samples that tell what is usual."""


class PaceBaseline:
    """The usual pace of each route's answers, by model."""

    def __init__(self) -> None:
        self._samples: dict[tuple[str, str], deque[float]] = {}

    def is_bad(self, observation: SendObservation) -> bool:
        """Says whether an answer was bad."""
        result = observation.result
        if result.outcome is SendOutcome.BROKEN:
            return True
        if result.head is not None and result.head.status >= 500:
            return True
        samples = self._samples.get((observation.route.name, observation.model), ())
        if observation.pace_ms is None or len(samples) < MIN_SAMPLES:
            return False
        return observation.pace_ms > SLOW_FACTOR * median(samples)

    def record(self, observation: SendObservation) -> None:
        """Takes a sound answer of a version that is not on trial."""
        if observation.pace_ms is None or observation.result.outcome is not SendOutcome.WHOLE:
            return
        samples = self._samples.setdefault(
            (observation.route.name, observation.model), deque(maxlen=MAX_SAMPLES)
        )
        samples.append(observation.pace_ms)
        while len(self._samples) > MAX_BASELINES:
            del self._samples[next(iter(self._samples))]

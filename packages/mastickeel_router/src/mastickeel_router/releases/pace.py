"""Classifies answers as bad: failures, and answers several times slower than usual."""

from __future__ import annotations

from collections import deque
from statistics import median
from typing import TYPE_CHECKING

from mastickeel_router.relay.policy import SendOutcome

if TYPE_CHECKING:
    from mastickeel_router.relay.context import SendObservation

SLOW_FACTOR = 3.5
"""Multiple of the usual pace from which an answer is slow; load alone slows engines by a factor of
less than two."""
MAX_SAMPLES = 64
"""Maximum number of samples for each pair of route and model."""
MAX_BASELINES = 1_024
"""Maximum number of pairs of route and model; bounds the memory as configurations add routes."""
MIN_SAMPLES = 8
"""Minimum number of samples from which the usual pace is known."""


class PaceBaseline:
    """Recent paces of sound answers, by route and model."""

    def __init__(self) -> None:
        self._samples: dict[tuple[str, str], deque[float]] = {}

    def is_bad(self, observation: SendObservation) -> bool:
        """Returns whether an answer was bad."""
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
        """Adds the pace of a complete answer of a version that is not under test."""
        if observation.pace_ms is None or observation.result.outcome is not SendOutcome.WHOLE:
            return
        samples = self._samples.setdefault(
            (observation.route.name, observation.model), deque(maxlen=MAX_SAMPLES)
        )
        samples.append(observation.pace_ms)
        while len(self._samples) > MAX_BASELINES:
            del self._samples[next(iter(self._samples))]

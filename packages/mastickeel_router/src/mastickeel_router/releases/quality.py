"""Says of each answer whether it was bad: a failure, or several times slower than usual."""

from __future__ import annotations

from collections import deque
from statistics import median
from typing import TYPE_CHECKING

from mastickeel_router.relay.policy import SendEnd

if TYPE_CHECKING:
    from mastickeel_router.relay.context import Observed

SLOW_FACTOR = 3.5
"""How many times the usual pace is slow; load alone slows engines by under twice."""
SAMPLES_KEPT = 64
ROUTES_KEPT = 1_024
"""Routes and models whose pace is remembered; configurations bring new routes all the time."""
SAMPLES_NEEDED = 8
"""The fewest samples that tell what is usual."""


class Paces:
    """The usual pace of each route's answers, by model."""

    def __init__(self) -> None:
        self._samples: dict[tuple[str, str], deque[float]] = {}

    def is_bad(self, seen: Observed) -> bool:
        """Says whether an answer was bad."""
        result = seen.result
        if result.end is SendEnd.BROKEN:
            return True
        if result.head is not None and result.head.status >= 500:
            return True
        samples = self._samples.get((seen.route.name, seen.model), ())
        if seen.pace_ms is None or len(samples) < SAMPLES_NEEDED:
            return False
        return seen.pace_ms > SLOW_FACTOR * median(samples)

    def learn(self, seen: Observed) -> None:
        """Takes a sound answer of a version that is not on trial."""
        if seen.pace_ms is None or seen.result.end is not SendEnd.WHOLE:
            return
        samples = self._samples.setdefault(
            (seen.route.name, seen.model), deque(maxlen=SAMPLES_KEPT)
        )
        samples.append(seen.pace_ms)
        while len(self._samples) > ROUTES_KEPT:
            del self._samples[next(iter(self._samples))]

"""Repeats are paid from the requests of the last seconds, so that a fault cannot multiply load."""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel.clock import Clock

INSTANCES_SHARING = 16
"""Instances over which the fleet's slack is handed out: today's largest fleet with its spares."""
RATIO_SAFETY_FACTOR = 0.9
"""The part of the fleet's ratio that is used; the rest covers windows that slide."""


@dataclass(frozen=True)
class RetryLimits:
    """How many repeats a service may get over the whole fleet."""

    ratio: float = 0.2
    """Repeats for each request of the window."""
    slack: float = 20.0
    """Repeats beyond that, over all instances."""
    window_ms: int = 10_000


class RetryBudget:
    """What this instance may still send a second time, by service."""

    def __init__(self, clock: Clock, limits: RetryLimits) -> None:
        """Makes a budget that nothing has been taken from.

        Args:
            clock: Times the window.
            limits: The fleet's limits.
        """
        self.limits = limits
        """The fleet's limits; may be replaced while it runs."""
        self.granted = 0
        """Repeats taken so far."""
        self.refused = 0
        """Repeats that were wanted and not taken."""
        self._clock = clock
        self._request_times_ms: dict[str, deque[int]] = defaultdict(deque)
        self._retry_times_ms: dict[str, deque[int]] = defaultdict(deque)

    def record_request(self, service: str) -> None:
        """Counts a request for a service."""
        self._request_times_ms[service].append(self._clock.now())
        self._trim(service)

    def try_acquire(self, service: str) -> bool:
        """Takes one repeat; False when none is left in the window."""
        self._trim(service)
        requests = len(self._request_times_ms[service])
        allowed = RATIO_SAFETY_FACTOR * self.limits.ratio * requests
        allowed += self.limits.slack / INSTANCES_SHARING
        if len(self._retry_times_ms[service]) + 1 > allowed:
            self.refused += 1
            return False
        self.granted += 1
        self._retry_times_ms[service].append(self._clock.now())
        return True

    def _trim(self, service: str) -> None:
        oldest = self._clock.now() - self.limits.window_ms
        for times in (self._request_times_ms[service], self._retry_times_ms[service]):
            while times and times[0] < oldest:
                times.popleft()

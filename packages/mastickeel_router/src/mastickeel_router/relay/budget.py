"""Limits retries to a share of recent requests, so that a fault cannot multiply the load."""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock

MIN_INSTANCES_SHARING = 16
"""Minimum number of instances that divide the fleet's slack, so that instances which start later
find a share."""
RATIO_SAFETY_FACTOR = 0.9
"""Fraction of the fleet's ratio that instances use; the rest covers retries granted for requests
that have since left the sliding window."""


@dataclass(frozen=True)
class RetryLimits:
    """Limits on the retries of a service over the whole fleet."""

    ratio: float = 0.2
    """Retries for each request within the window."""
    slack: float = 20.0
    """Retries allowed in addition to the ratio, over all instances."""
    window_ms: int = 10_000


class RetryBudget:
    """Retry budget of this instance, by service."""

    def __init__(
        self,
        clock: Clock,
        limits: RetryLimits,
        count_instances: Callable[[], int] = lambda: MIN_INSTANCES_SHARING,
    ) -> None:
        """Creates an unused budget.

        Args:
            clock: Times the window.
            limits: Limits of the whole fleet.
            count_instances: Returns the number of instances that are known now.
        """
        self.limits = limits
        """Limits of the whole fleet; may be replaced at run time."""
        self.granted = 0
        """Retries granted since the start."""
        self.refused = 0
        """Retries refused since the start."""
        self._clock = clock
        self._count_instances = count_instances
        self._most_instances = MIN_INSTANCES_SHARING
        self._request_times_ms: dict[str, deque[int]] = defaultdict(deque)
        self._retry_times_ms: dict[str, deque[int]] = defaultdict(deque)

    def record_request(self, service: str) -> None:
        """Counts a request for a service."""
        self._request_times_ms[service].append(self._clock.now())
        self._trim(service)
        self._update_sharing()

    def try_acquire(self, service: str) -> bool:
        """Acquires one retry; returns False when the window's budget is used up."""
        self._trim(service)
        self._update_sharing()
        requests = len(self._request_times_ms[service])
        allowed = RATIO_SAFETY_FACTOR * self.limits.ratio * requests
        allowed += self.limits.slack / self._most_instances
        if len(self._retry_times_ms[service]) + 1 > allowed:
            self.refused += 1
            return False
        self.granted += 1
        self._retry_times_ms[service].append(self._clock.now())
        return True

    def _update_sharing(self) -> None:
        """Remembers the largest fleet: entries that lapse in an outage of the store still share."""
        self._most_instances = max(self._most_instances, self._count_instances())

    def _trim(self, service: str) -> None:
        oldest = self._clock.now() - self.limits.window_ms
        for times in (self._request_times_ms[service], self._retry_times_ms[service]):
            while times and times[0] < oldest:
                times.popleft()

"""Concurrency limit of an instance: its share of the pools' capacity, adjusted by latency."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

from mastickeel.model import EndpointState, PoolKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.model import View
    from mastickeel_router.requests import Outcome

HEADROOM = 1.25
"""Factor on the instance's share, because load balancers spread requests unevenly."""
LIMIT_MIN = 2
UNLIMITED = 1_000_000
"""Limit while no engine pool is configured, in requests."""
WINDOW_SAMPLES = 20
"""Times to the first piece that one adjustment is based on."""
SLOW_RATIO = 3.0
"""Ratio of the median to the fastest time to the first piece, above which the engines' queues are
growing."""
SLOW_MARGIN_MS = 100
DECREASE = 0.9
INCREASE = 1.05
FACTOR_MIN = 0.25
FACTOR_MAX = 2.0
FASTEST_GROWTH = 1.02
"""Growth of the fastest known time at each adjustment, so that an old value expires."""


class ConcurrencyLimit:
    """Limits concurrent requests and adjusts the limit to the time to the first piece."""

    def __init__(
        self,
        view: Callable[[], View],
        instance_count: Callable[[], int],
        is_leaving: Callable[[str], bool],
    ) -> None:
        """Creates the limit.

        Args:
            view: Returns the configuration with the pools.
            instance_count: Returns how many instances share the pools.
            is_leaving: Returns whether the endpoint with an id accepts no new work.
        """
        self.factor = 1.0
        """Factor on the configured capacity of the pools."""
        self._view = view
        self._instance_count = instance_count
        self._is_leaving = is_leaving
        self._window_ms: list[int] = []
        self._fastest_ms = 0.0

    def max_running(self) -> int:
        """Returns how many requests may run at once on this instance."""
        configuration = self._view().committed
        pools = [
            pool for pool in configuration.pools_by_id.values() if pool.kind is PoolKind.ENGINE
        ]
        if not pools:
            return UNLIMITED
        capacity = sum(
            pool.capacity
            for pool in pools
            for endpoint in pool.endpoints
            if endpoint.state is EndpointState.LIVE and not self._is_leaving(endpoint.id)
        )
        share = capacity * HEADROOM * self.factor / max(1, self._instance_count())
        return max(LIMIT_MIN, round(share))

    def observe(self, outcome: Outcome, is_busy: bool) -> None:
        """Adjusts the limit after WINDOW_SAMPLES runs.

        Args:
            outcome: The result of a run.
            is_busy: Whether requests are waiting at the limit; otherwise the effect of a higher
                limit would not show.
        """
        if not outcome.first_event_ms:
            return
        self._window_ms.append(outcome.first_event_ms)
        if len(self._window_ms) < WINDOW_SAMPLES:
            return
        median_ms = statistics.median(self._window_ms)
        self._window_ms.clear()
        fastest_ms = self._fastest_ms * FASTEST_GROWTH if self._fastest_ms else median_ms
        self._fastest_ms = max(1.0, min(fastest_ms, median_ms))
        if median_ms > self._fastest_ms * SLOW_RATIO + SLOW_MARGIN_MS:
            self.factor = max(FACTOR_MIN, self.factor * DECREASE)
        elif is_busy or self.factor < 1.0:
            self.factor = min(FACTOR_MAX, self.factor * INCREASE)

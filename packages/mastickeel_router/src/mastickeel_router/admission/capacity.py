"""How many requests this instance lets run at once: its part of the pools, corrected by latency."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

from mastickeel.model import EndpointState, PoolKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.model import View
    from mastickeel_router.requests import Outcome

HEADROOM = 1.25
"""Room for a balancer that spreads requests unevenly."""
LIMIT_MIN = 2
UNLIMITED = 1_000_000
"""The limit while no engine pool is configured."""
WINDOW_SAMPLES = 20
"""First pieces that one correction looks at."""
SLOW_RATIO = 3.0
"""How much longer than at its fastest the first piece takes when the engines' queues grow."""
SLOW_MARGIN_MS = 100
DECREASE = 0.9
INCREASE = 1.05
FACTOR_MIN = 0.25
FACTOR_MAX = 2.0
FLOOR_GROWTH = 1.02
"""Lets the fastest known first piece be forgotten in time."""


class ConcurrencyLimit:
    """The limit, and what has been learned of it."""

    def __init__(
        self,
        view: Callable[[], View],
        instance_count: Callable[[], int],
        is_leaving: Callable[[str], bool],
    ) -> None:
        """Makes the limit.

        Args:
            view: Gives the pools.
            instance_count: How many instances share them.
            is_leaving: Whether an endpoint takes no new work.
        """
        self.factor = 1.0
        """What the pools' own numbers are multiplied by."""
        self._view = view
        self._instances = instance_count
        self._is_leaving = is_leaving
        self._window_ms: list[int] = []
        self._floor_ms = 0.0

    def max_running(self) -> int:
        """Returns how many requests may run on this instance."""
        configuration = self._view().committed
        pools = [one for one in configuration.pools_by_id.values() if one.kind is PoolKind.ENGINE]
        if not pools:
            return UNLIMITED
        total = sum(
            pool.capacity
            for pool in pools
            for endpoint in pool.endpoints
            if endpoint.state is EndpointState.LIVE and not self._is_leaving(endpoint.id)
        )
        share = total * HEADROOM * self.factor / max(1, self._instances())
        return max(LIMIT_MIN, round(share))

    def observe(self, outcome: Outcome, is_busy: bool) -> None:
        """Learns from a run.

        Args:
            outcome: How it went.
            is_busy: Whether the limit was reached, without which a higher one teaches nothing.
        """
        if not outcome.first_event_ms:
            return
        self._window_ms.append(outcome.first_event_ms)
        if len(self._window_ms) < WINDOW_SAMPLES:
            return
        median = statistics.median(self._window_ms)
        self._window_ms.clear()
        floor = self._floor_ms * FLOOR_GROWTH if self._floor_ms else median
        self._floor_ms = max(1.0, min(floor, median))
        if median > self._floor_ms * SLOW_RATIO + SLOW_MARGIN_MS:
            self.factor = max(FACTOR_MIN, self.factor * DECREASE)
        elif is_busy or self.factor < 1.0:
            self.factor = min(FACTOR_MAX, self.factor * INCREASE)

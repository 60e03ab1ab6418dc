"""Circuit breakers: stop sending to a failing endpoint, then ramp its traffic up again."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from mastickeel.clock import Clock

FAILURES_TO_OPEN = 3
"""Consecutive failures that open the breaker."""
FIRST_OPEN_MS = 1_000
MAX_OPEN_MS = 30_000
RAMP_MS = 10_000
"""Time in which a share grows by 1 after the open state: from INITIAL_SHARE to 1 takes 9 s."""
INITIAL_SHARE = 0.1

ENDPOINT_PAUSED = define_event(
    2382, "endpoint_paused", "warning", "Requests to a failing endpoint stop for pause_ms."
)
ENDPOINT_TRUSTED = define_event(
    2383, "endpoint_trusted", "info", "An endpoint that was paused gets its full share again."
)


@dataclass
class _Breaker:
    """State of one endpoint's circuit breaker."""

    failures: int = 0
    open_until_ms: int | None = None
    open_ms: int = FIRST_OPEN_MS


class CircuitBreakers:
    """Circuit breakers by endpoint, kept only for endpoints that have failed."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Creates the breakers, all closed.

        Args:
            clock: Times the open state and the ramp.
            rng: Draws which requests pass during the ramp.
        """
        self._clock = clock
        self._rng = rng
        self._breakers_by_id: dict[str, _Breaker] = {}

    def is_open(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint's breaker is open, so that it gets no requests."""
        return self.remaining_open_ms(endpoint_id) > 0

    def remaining_open_ms(self, endpoint_id: str) -> int:
        """Returns the milliseconds until an endpoint's breaker stops being open; 0 if not open."""
        breaker = self._breakers_by_id.get(endpoint_id)
        if breaker is None or breaker.open_until_ms is None:
            return 0
        return max(0, breaker.open_until_ms - self._clock.now())

    def allows_request(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint may get this request; draws by its share during the ramp."""
        share = self.share(endpoint_id)
        return share >= 1 or self._rng.random() < share

    def share(self, endpoint_id: str) -> float:
        """Returns the share of its usual requests that an endpoint gets, from 0 to 1."""
        breaker = self._breakers_by_id.get(endpoint_id)
        if breaker is None or breaker.open_until_ms is None:
            return 1.0
        ramp_elapsed_ms = self._clock.now() - breaker.open_until_ms
        if ramp_elapsed_ms < 0:
            return 0.0
        return min(1.0, INITIAL_SHARE + ramp_elapsed_ms / RAMP_MS)

    def record_failure(self, endpoint_id: str, *, unreachable: bool = False) -> None:
        """Records a failure and opens the breaker if needed.

        ``FAILURES_TO_OPEN`` consecutive failures open the breaker, as does a single one during
        the ramp, which also doubles the open time.

        Args:
            endpoint_id: The endpoint.
            unreachable: Whether no connection could be made; this opens the breaker at once.
        """
        breaker = self._breakers_by_id.setdefault(endpoint_id, _Breaker())
        breaker.failures += 1
        ramping = breaker.open_until_ms is not None
        if self.is_open(endpoint_id):
            return
        if unreachable or ramping or breaker.failures >= FAILURES_TO_OPEN:
            if ramping:
                breaker.open_ms = min(MAX_OPEN_MS, breaker.open_ms * 2)
            breaker.open_until_ms = self._clock.now() + breaker.open_ms
            log(
                ENDPOINT_PAUSED,
                endpoint=endpoint_id,
                failures=breaker.failures,
                unreachable=unreachable,
                pause_ms=breaker.open_ms,
            )

    def reset(self, endpoint_ids: Collection[str]) -> None:
        """Closes the breakers of endpoints whose failures were those of the path to them."""
        for endpoint_id in endpoint_ids:
            self._breakers_by_id.pop(endpoint_id, None)

    def record_success(self, endpoint_id: str) -> None:
        """Resets the failure count, and removes the breaker once the ramp is complete."""
        breaker = self._breakers_by_id.get(endpoint_id)
        if breaker is None:
            return
        breaker.failures = 0
        if self.share(endpoint_id) < 1:
            return
        if breaker.open_until_ms is not None:
            log(ENDPOINT_TRUSTED, endpoint=endpoint_id)
        del self._breakers_by_id[endpoint_id]

"""Breakers: an endpoint that fails gets nothing for a while, then a share that grows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log

if TYPE_CHECKING:
    import random

    from mastickeel.clock import Clock

FAILURES_TO_OPEN = 3
"""Failures in a row after which an endpoint gets nothing."""
FIRST_OPEN_MS = 1_000
MAX_OPEN_MS = 30_000
RAMP_MS = 10_000
"""How long the share of an endpoint that is back takes to grow to the whole."""
INITIAL_SHARE = 0.1

ENDPOINT_PAUSED = define_event(
    2382, "endpoint_paused", "warning", "An endpoint that fails gets nothing for pause_ms."
)
ENDPOINT_TRUSTED = define_event(
    2383, "endpoint_trusted", "info", "An endpoint that was paused gets its whole share again."
)


@dataclass
class _Breaker:
    """How one endpoint has done lately."""

    failures: int = 0
    open_until_ms: int | None = None
    pause_ms: int = FIRST_OPEN_MS


class CircuitBreakers:
    """The breakers of all endpoints that have failed; the others have none."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Makes breakers that are all closed.

        Args:
            clock: Times the pauses and the growing share.
            rng: Decides who gets through while the share grows.
        """
        self._clock = clock
        self._rng = rng
        self._breakers_by_id: dict[str, _Breaker] = {}

    def is_open(self, endpoint_id: str) -> bool:
        """Says whether an endpoint gets nothing at the moment."""
        return self.remaining_open_ms(endpoint_id) > 0

    def remaining_open_ms(self, endpoint_id: str) -> int:
        """Returns how long an endpoint still gets nothing; 0 when it may get something."""
        breaker = self._breakers_by_id.get(endpoint_id)
        if breaker is None or breaker.open_until_ms is None:
            return 0
        return max(0, breaker.open_until_ms - self._clock.now())

    def allows_request(self, endpoint_id: str) -> bool:
        """Says whether an endpoint gets this request: after a pause only a share goes there."""
        share = self.share(endpoint_id)
        return share >= 1 or self._rng.random() < share

    def share(self, endpoint_id: str) -> float:
        """Returns the part of its requests that an endpoint gets, 0 to 1."""
        breaker = self._breakers_by_id.get(endpoint_id)
        if breaker is None or breaker.open_until_ms is None:
            return 1.0
        ramp_elapsed_ms = self._clock.now() - breaker.open_until_ms
        if ramp_elapsed_ms < 0:
            return 0.0
        return min(1.0, INITIAL_SHARE + ramp_elapsed_ms / RAMP_MS)

    def record_failure(self, endpoint_id: str, *, unreachable: bool = False) -> None:
        """Counts a failure; enough of them, or one while the share grows, open the breaker.

        Args:
            endpoint_id: The endpoint.
            unreachable: Whether no connection could be made, which one failure shows.
        """
        breaker = self._breakers_by_id.setdefault(endpoint_id, _Breaker())
        breaker.failures += 1
        ramping = breaker.open_until_ms is not None
        if self.is_open(endpoint_id):
            return
        if unreachable or ramping or breaker.failures >= FAILURES_TO_OPEN:
            if ramping:
                breaker.pause_ms = min(MAX_OPEN_MS, breaker.pause_ms * 2)
            breaker.open_until_ms = self._clock.now() + breaker.pause_ms
            log(
                ENDPOINT_PAUSED,
                endpoint=endpoint_id,
                failures=breaker.failures,
                unreachable=unreachable,
                pause_ms=breaker.pause_ms,
            )

    def record_success(self, endpoint_id: str) -> None:
        """Forgets the failures; the share goes on growing until it is whole."""
        breaker = self._breakers_by_id.get(endpoint_id)
        if breaker is None:
            return
        breaker.failures = 0
        if self.share(endpoint_id) < 1:
            return
        if breaker.open_until_ms is not None:
            log(ENDPOINT_TRUSTED, endpoint=endpoint_id)
        del self._breakers_by_id[endpoint_id]

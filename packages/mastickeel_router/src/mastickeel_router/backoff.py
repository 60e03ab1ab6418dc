"""Pauses between retries: longer after each failure, and spread, so that a fleet does not
come back all at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from mastickeel.clock import Clock

FIRST_BACKOFF_MS = 250
MAX_BACKOFF_MS = 8_000
MAX_DOUBLINGS = 16


class Backoff:
    """Counts the failures in a row."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        *,
        first_ms: int = FIRST_BACKOFF_MS,
        max_ms: int = MAX_BACKOFF_MS,
    ) -> None:
        """Makes the backoff.

        Args:
            clock: Times the pauses.
            rng: Spreads them.
            first_ms: The pause after the first failure, before it is spread.
            max_ms: The longest pause, before it is spread.
        """
        self._clock = clock
        self._rng = rng
        self._first_ms = first_ms
        self._max_ms = max_ms
        self._failures = 0

    @property
    def failures(self) -> int:
        """Failures in a row."""
        return self._failures

    def reset(self) -> None:
        """Begins anew after a success."""
        self._failures = 0

    def next_delay_ms(self) -> float:
        """Counts a failure and returns how long to pause."""
        doublings = min(self._failures, MAX_DOUBLINGS)
        limit: float = min(self._max_ms, self._first_ms * (1 << doublings))
        self._failures += 1
        return limit * (0.5 + 0.5 * self._rng.random())

    async def wait(self) -> None:
        """Counts a failure and waits."""
        await self._clock.sleep(self.next_delay_ms())

"""A limit on calls in any second."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel.clock import Clock

WINDOW_MS = 1_000


class RateLimit:
    """Admits so many calls in any second, and no more."""

    def __init__(self, clock: Clock, calls_per_second: int) -> None:
        """Makes the limit.

        Args:
            clock: Tells the time.
            calls_per_second: How many to admit; 0 for all.
        """
        self.calls_per_second = calls_per_second
        """How many to admit in a second; 0 for all."""
        self._clock = clock
        self._admitted_ms: deque[int] = deque()

    def try_acquire(self) -> bool:
        """Returns whether one more call is within the limit, and counts it if so."""
        if self.calls_per_second <= 0:
            return True
        now = self._clock.now()
        while self._admitted_ms and self._admitted_ms[0] <= now - WINDOW_MS:
            self._admitted_ms.popleft()
        if len(self._admitted_ms) >= self.calls_per_second:
            return False
        self._admitted_ms.append(now)
        return True

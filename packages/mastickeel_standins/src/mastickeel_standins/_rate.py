"""Rate limit on calls."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel.clock import Clock

WINDOW_MS = 1_000


class RateLimit:
    """Sliding-window limit on the number of calls per second."""

    def __init__(self, clock: Clock, calls_per_second: int) -> None:
        """Creates the limit.

        Args:
            clock: Source of time.
            calls_per_second: Maximum number of calls in any second; 0 for no limit.
        """
        self.calls_per_second = calls_per_second
        """Maximum number of calls in any second; 0 for no limit."""
        self._clock = clock
        self._admitted_ms: deque[int] = deque()

    def try_acquire(self) -> bool:
        """Returns whether another call is within the limit, and counts the call if so."""
        if self.calls_per_second <= 0:
            return True
        now = self._clock.now()
        while self._admitted_ms and self._admitted_ms[0] <= now - WINDOW_MS:
            self._admitted_ms.popleft()
        if len(self._admitted_ms) >= self.calls_per_second:
            return False
        self._admitted_ms.append(now)
        return True

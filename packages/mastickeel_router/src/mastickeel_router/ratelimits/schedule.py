"""Schedules the requests that one endpoint accepts from the whole fleet."""

from __future__ import annotations

MIN_PER_SECOND = 0.1
"""Minimum rate at which a limited endpoint is used: its answers show when the limit is lifted."""
BURST = 2
"""Requests that may be sent at once after a pause."""
MILLISECONDS_PER_SECOND = 1_000


class SendSchedule:
    """A token bucket whose tokens may be reserved ahead of time.

    The bucket starts empty: the requests of the last seconds are not known to a new schedule.
    """

    def __init__(self, now_ms: float, per_second: float) -> None:
        """Creates an empty schedule.

        Args:
            now_ms: Current clock time in milliseconds.
            per_second: Requests a second that may be sent.
        """
        self._interval_ms = interval_ms(per_second)
        self._full_ms = now_ms + BURST * self._interval_ms
        """Clock time at which the bucket is full unless more requests are scheduled."""

    def reserve(self, now_ms: float, per_second: float, max_wait_ms: float) -> tuple[bool, float]:
        """Reserves the next time at which a request may be sent.

        Args:
            now_ms: Current clock time in milliseconds.
            per_second: Requests a second that may be sent from now on.
            max_wait_ms: Longest acceptable time until the request may be sent.

        Returns:
            Whether the time is reserved, and the milliseconds until then.
        """
        self._apply_rate(now_ms, per_second)
        next_ms = max(now_ms, self._full_ms - (BURST - 1) * self._interval_ms)
        wait_ms = next_ms - now_ms
        if wait_ms > max_wait_ms:
            return False, wait_ms
        self._full_ms = max(self._full_ms, now_ms) + self._interval_ms
        return True, wait_ms

    def _apply_rate(self, now_ms: float, per_second: float) -> None:
        """Changes the rate and keeps the number of tokens that are missing."""
        new_interval_ms = interval_ms(per_second)
        if new_interval_ms != self._interval_ms:
            missing_ms = max(0.0, self._full_ms - now_ms)
            self._full_ms = now_ms + missing_ms * new_interval_ms / self._interval_ms
            self._interval_ms = new_interval_ms


def interval_ms(per_second: float) -> float:
    """Returns the time between two requests in milliseconds."""
    return MILLISECONDS_PER_SECOND / max(per_second, MIN_PER_SECOND)

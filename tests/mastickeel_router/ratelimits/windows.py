"""Counts events in sliding windows."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def most_in_window(times_ms: Iterable[float], window_ms: float) -> int:
    """Returns the largest number of events in any half-open window of a length."""
    most, window = 0, deque[float]()
    for at_ms in sorted(times_ms):
        window.append(at_ms)
        while window[0] <= at_ms - window_ms:
            window.popleft()
        most = max(most, len(window))
    return most

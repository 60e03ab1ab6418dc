"""Ledger of an instance's calls to the store: how many of which kind, and what caused them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mastickeel.clock import Clock

REPORT_INTERVAL_MS = 5_000
"""Interval at which an instance logs its calls."""

STORE_CALLS = define_event(
    2355,
    "store_calls",
    "info",
    "Calls of the store since the last such record, by kind and cause; failed ones included.",
)


def find_subject(key: str, subjects_by_prefix: Mapping[str, str]) -> str:
    """Returns what a key of the store is about; ``other`` when no prefix matches."""
    for prefix, subject in subjects_by_prefix.items():
        if key.startswith(prefix):
            return subject
    return "other"


class StoreCalls:
    """Counts calls by kind and cause, and logs the counts."""

    def __init__(self, clock: Clock) -> None:
        """Creates a ledger without calls."""
        self._clock = clock
        self._counts: Counter[str] = Counter()

    def record(self, kind: str, cause: str) -> None:
        """Counts a call."""
        self._counts[f"{kind} {cause}".rstrip()] += 1

    async def run(self) -> None:
        """Logs the counts at each interval, until cancelled."""
        while True:
            await self._clock.sleep(REPORT_INTERVAL_MS)
            self.report()

    def report(self) -> None:
        """Logs the calls since the last report; nothing if there were none."""
        if self._counts:
            log(STORE_CALLS, calls=dict(self._counts))
            self._counts.clear()

"""Metrics, aggregated in memory and sent to statsd in batches."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    from mastickeel.addresses import Address
    from mastickeel.clock import Clock

FLUSH_INTERVAL_MS = 1_000
MAX_PENDING_TIMINGS = 1_000


class Metrics:
    """The counters, gauges and timings of one instance."""

    def __init__(self, address: Address | None = None, prefix: str = "mastickeel") -> None:
        """Creates the metrics.

        Args:
            address: The address of statsd; None keeps the values in memory only.
            prefix: The prefix of each metric name.
        """
        self.totals_by_name: Counter[str] = Counter()
        """Total of each counter since the start."""
        self.gauges_by_name: dict[str, float] = {}
        """The last value of each gauge."""
        self._pending: Counter[str] = Counter()
        self._timings: list[tuple[str, float]] = []
        self._client = (
            statsd.StatsClient(address.host, address.port, prefix=prefix) if address else None
        )

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self.totals_by_name[name] += amount
        if self._client:
            self._pending[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self.gauges_by_name[name] = value

    def timing(self, name: str, milliseconds: float) -> None:
        """Records a duration; durations beyond MAX_PENDING_TIMINGS a flush are dropped."""
        if self._client and len(self._timings) < MAX_PENDING_TIMINGS:
            self._timings.append((name, milliseconds))

    def flush(self) -> None:
        """Sends the gauges, and the counts and timings since the last flush."""
        if not self._client:
            return
        with self._client.pipeline() as pipe:
            for name, amount in self._pending.items():
                pipe.incr(name, amount)
            for name, value in self.gauges_by_name.items():
                pipe.gauge(name, value)
            for name, milliseconds in self._timings:
                pipe.timing(name, milliseconds)
        self._pending.clear()
        self._timings.clear()

    async def run(self, clock: Clock) -> None:
        """Flushes every FLUSH_INTERVAL_MS until cancelled."""
        while True:
            await clock.sleep(FLUSH_INTERVAL_MS)
            self.flush()

"""Counters and latency histograms of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from mastickeel_router.gateway.pages import Page

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel_router.relay.context import Finished, Observed

LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 20.0)
"""Around the latency objectives of the deployments' sheets: 0.15 to 3 s."""
PATH = "/metrics"


class Figures:
    """What a gateway counts."""

    def __init__(self) -> None:
        """Makes them at zero."""
        self.registry = CollectorRegistry()
        """Everything that is served."""
        self._requests = Counter(
            "mastickeel_requests",
            "Requests by how they ended",
            ("kind", "outcome"),
            registry=self.registry,
        )
        self._first = Histogram(
            "mastickeel_first_event_seconds",
            "From the request to its first event, or to a whole answer",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._whole = Histogram(
            "mastickeel_request_seconds",
            "From the request to the end of its answer",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._sends = Counter(
            "mastickeel_sends",
            "Sends to endpoints by how they ended",
            ("end",),
            registry=self.registry,
        )

    def watch(self, name: str, meaning: str, read: Callable[[], float]) -> None:
        """Serves a value that is read when it is asked for."""
        Gauge(f"mastickeel_{name}", meaning, registry=self.registry).set_function(read)

    def note_request(self, finished: Finished) -> None:
        """Counts a request that has come to its end."""
        kind = finished.route.kind.value
        self._requests.labels(kind, finished.outcome).inc()
        if finished.outcome == "served":
            self._first.labels(kind).observe(finished.first_ms / 1_000)
            self._whole.labels(kind).observe(finished.took_ms / 1_000)

    def note_send(self, seen: Observed) -> None:
        """Counts a send that has come to its end."""
        self._sends.labels(seen.result.end.value).inc()

    def page(self) -> Page:
        """Returns the figures as text."""
        return Page(200, generate_latest(self.registry), CONTENT_TYPE_LATEST)

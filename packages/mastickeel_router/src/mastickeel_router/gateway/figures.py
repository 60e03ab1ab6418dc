"""Counters and latency histograms of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from mastickeel_router.gateway.pages import Page
from mastickeel_router.routes import RouteKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel_router.relay.context import RequestSummary, SendObservation

LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 20.0)
"""Around the latency objectives of the deployments' sheets: 0.15 to 3 s."""
GAP_BUCKETS_S = (0.01, 0.02, 0.03, 0.046, 0.07, 0.1, 0.2, 0.5, 1.0)
"""Around the time between events that the users aim at, 46 ms, and their longest pause."""
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
        self._gap = Histogram(
            "mastickeel_event_gap_seconds",
            "Mean time between a stream's events",
            buckets=GAP_BUCKETS_S,
            registry=self.registry,
        )
        self._codes = Counter(
            "mastickeel_unserved",
            "Requests that got no endpoint's answer, by the error's code",
            ("code",),
            registry=self.registry,
        )
        self._store_calls = Counter(
            "mastickeel_store_calls",
            "Calls of the store by kind and how they ended",
            ("kind", "end"),
            registry=self.registry,
        )
        self._sends = Counter(
            "mastickeel_sends",
            "Sends to endpoints by how they ended",
            ("end",),
            registry=self.registry,
        )

    def watch(self, name: str, meaning: str, read: Callable[[], float | bool]) -> None:
        """Serves a value that is read when it is asked for."""
        Gauge(f"mastickeel_{name}", meaning, registry=self.registry).set_function(
            lambda: float(read())
        )

    def note_request(self, finished: RequestSummary) -> None:
        """Counts a request that has come to its end."""
        kind = finished.route.kind.value
        self._requests.labels(kind, finished.outcome).inc()
        if finished.outcome == "served":
            self._first.labels(kind).observe(finished.first_event_ms / 1_000)
            self._whole.labels(kind).observe(finished.duration_ms / 1_000)

    def note_send(self, seen: SendObservation) -> None:
        """Counts a send that has come to its end."""
        self._sends.labels(seen.result.outcome.value).inc()
        if seen.pace_ms is not None and seen.route.kind is RouteKind.STREAM:
            self._gap.observe(seen.pace_ms / 1_000)

    def note_unserved(self, code: str) -> None:
        """Counts a request that is answered with an error of ours."""
        self._codes.labels(code).inc()

    def note_store_call(self, kind: str, end: str) -> None:
        """Counts a call of the store."""
        self._store_calls.labels(kind, end).inc()

    def page(self) -> Page:
        """Returns the figures as text."""
        return Page(200, generate_latest(self.registry), CONTENT_TYPE_LATEST)

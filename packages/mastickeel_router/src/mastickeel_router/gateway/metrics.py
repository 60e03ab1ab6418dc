"""Prometheus metrics of a gateway."""

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
"""Bounds around the latency objectives of the deployments, 0.15 to 3 s."""
GAP_BUCKETS_S = (0.01, 0.02, 0.03, 0.046, 0.07, 0.1, 0.2, 0.5, 1.0)
"""Bounds around the users' target for the time between events, 46 ms, and their longest pause."""
METRICS_PATH = "/metrics"


class GatewayMetrics:
    """Counters, histograms and gauges of a gateway."""

    def __init__(self) -> None:
        """Creates the metrics with all counts at zero."""
        self.registry = CollectorRegistry()
        """Registry of all metrics on the page."""
        self._requests = Counter(
            "mastickeel_requests",
            "Requests by how they ended",
            ("kind", "outcome"),
            registry=self.registry,
        )
        self._first_event_seconds = Histogram(
            "mastickeel_first_event_seconds",
            "From the request to its first event, or to a whole answer",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._request_seconds = Histogram(
            "mastickeel_request_seconds",
            "From the request to the end of its answer",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._event_gap_seconds = Histogram(
            "mastickeel_event_gap_seconds",
            "Mean time between a stream's events",
            buckets=GAP_BUCKETS_S,
            registry=self.registry,
        )
        self._unserved = Counter(
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

        self._answers = Counter(
            "mastickeel_answers",
            "Answers of endpoints by their framing and how the connection ended",
            ("framing", "connection_end"),
            registry=self.registry,
        )

    def add_gauge(self, name: str, description: str, read: Callable[[], float | bool]) -> None:
        """Adds a gauge whose value is read on each scrape."""
        Gauge(f"mastickeel_{name}", description, registry=self.registry).set_function(
            lambda: float(read())
        )

    def record_request(self, summary: RequestSummary) -> None:
        """Counts a finished request, and observes its latencies when it was served."""
        kind = summary.route.kind.value
        self._requests.labels(kind, summary.outcome).inc()
        if summary.outcome == "served":
            self._first_event_seconds.labels(kind).observe(summary.first_event_ms / 1_000)
            self._request_seconds.labels(kind).observe(summary.duration_ms / 1_000)

    def record_send(self, observation: SendObservation) -> None:
        """Counts a finished send and how its answer ended, and observes a stream's event gap."""
        self._sends.labels(observation.result.outcome.value).inc()
        if (end := observation.result.end) is not None:
            self._answers.labels(end.framing.value, end.connection.value).inc()
        if observation.pace_ms is not None and observation.route.kind is RouteKind.STREAM:
            self._event_gap_seconds.observe(observation.pace_ms / 1_000)

    def record_error_reply(self, code: str) -> None:
        """Counts a request that the router answers with an error, by the error's code."""
        self._unserved.labels(code).inc()

    def record_store_call(self, kind: str, result: str) -> None:
        """Counts a finished call to the store."""
        self._store_calls.labels(kind, result).inc()

    def render_page(self) -> Page:
        """Returns a page with all metrics in the Prometheus text format."""
        return Page(200, generate_latest(self.registry), CONTENT_TYPE_LATEST)

"""Counters and latency histograms of a gateway, and the listener that serves them as text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.addresses import Address
    from mastickeel_router.relay.exchange import Finished, Observed

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


class FiguresListener:
    """Serves the figures as text."""

    def __init__(self, figures: Figures) -> None:
        """Makes a listener that does not listen yet."""
        self._figures = figures
        self._server = HTTPServer(self._answer)

    def listen(self, address: Address) -> int:
        """Opens the listener and returns its port."""
        sockets = bind_sockets(address.port, address.host)
        self._server.add_sockets(sockets)
        port: int = sockets[0].getsockname()[1]
        return port

    async def close(self) -> None:
        """Ends the listener and its connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def _answer(self, request: HTTPServerRequest) -> None:
        status, reason, body = 404, "Not Found", b""
        if request.path == PATH:
            status, reason, body = 200, "OK", generate_latest(self._figures.registry)
        assert request.connection is not None
        headers = HTTPHeaders({"Content-Type": CONTENT_TYPE_LATEST})
        headers["Content-Length"] = str(len(body))
        line = ResponseStartLine("HTTP/1.1", status, reason)
        request.connection.write_headers(line, headers, body)
        request.connection.finish()

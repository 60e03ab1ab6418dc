"""Polls engines for their load, and weights each report less as it ages."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from prometheus_client.parser import text_string_to_metric_families

from mastickeel.addresses import Address
from mastickeel.httpmessages import (
    ConnectionFailedError,
    ExchangeBrokenError,
    HttpRequest,
    Timeouts,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mastickeel.clock import Clock
    from mastickeel.httpclient import HttpClient
    from mastickeel.model import Endpoint

POLL_INTERVAL_MS = 500
"""Each poll reads only the endpoint polled longest ago, so that traffic stays constant."""
DECAY_MS = 5_000
"""Age at which a report counts for a third (1/e)."""
SAMPLING_LAG_MS = 1_000
"""Assumed age of a metrics page when it is read."""
POLL_TIMEOUTS = Timeouts(
    connect_ms=500, first_byte_ms=1_000, between_bytes_ms=1_000, total_ms=3_000
)
MAX_PAGE_BYTES = 4 * 1024 * 1024
REQUEST_METRICS = frozenset({"vllm:num_requests_running", "vllm:num_requests_waiting"})


@dataclass(frozen=True)
class LoadReport:
    """The load on an endpoint, from one metrics page."""

    at_ms: int
    other_requests: float
    """Requests of other instances on the endpoint."""


class LoadReports:
    """Holds the last load report of each endpoint."""

    def __init__(self, clock: Clock, in_flight: Callable[[str], int]) -> None:
        """Creates an empty table.

        Args:
            clock: Times polls and the age of reports.
            in_flight: Returns the number of this instance's own requests on an endpoint.
        """
        self._clock = clock
        self._in_flight = in_flight
        self._reports_by_id: dict[str, LoadReport] = {}
        self._polled_ms_by_id: dict[str, int] = {}

    def other_requests(self, endpoint_id: str) -> float:
        """Returns the requests of other instances on an endpoint, discounted by the report age."""
        report = self._reports_by_id.get(endpoint_id)
        if report is None:
            return 0.0
        age_ms = self._clock.now() - report.at_ms + SAMPLING_LAG_MS
        return report.other_requests * math.exp(-age_ms / DECAY_MS)

    def record_page(self, endpoint_id: str, page: str) -> None:
        """Stores the load that a metrics page reports.

        Args:
            endpoint_id: The endpoint that served the page.
            page: The page, in the Prometheus text format.

        Raises:
            ValueError: When the page cannot be parsed.
        """
        total = sum(
            sample.value
            for family in text_string_to_metric_families(page)
            for sample in family.samples
            if sample.name in REQUEST_METRICS
        )
        others = max(0.0, total - self._in_flight(endpoint_id))
        self._reports_by_id[endpoint_id] = LoadReport(self._clock.now(), others)

    async def poll(self, client: HttpClient, endpoints: Callable[[], Sequence[Endpoint]]) -> None:
        """Polls the endpoints one after another, until cancelled.

        Args:
            client: Fetches the metrics pages.
            endpoints: Returns the endpoints to poll.
        """
        while True:
            await self._clock.sleep(POLL_INTERVAL_MS)
            candidates = list(endpoints())
            if not candidates:
                continue
            stalest = min(
                candidates, key=lambda endpoint: self._polled_ms_by_id.get(endpoint.id, 0)
            )
            self._polled_ms_by_id[stalest.id] = self._clock.now()
            await self._poll_endpoint(client, stalest)

    async def _poll_endpoint(self, client: HttpClient, endpoint: Endpoint) -> None:
        """Fetches one metrics page; on failure the last report stays and ages."""
        request = HttpRequest("GET", "/metrics")
        try:
            answer = await client.call(
                Address.parse(endpoint.address), request, POLL_TIMEOUTS, limit_bytes=MAX_PAGE_BYTES
            )
            if answer.status == 200:
                self.record_page(endpoint.id, answer.body.decode())
        except (ConnectionFailedError, ExchangeBrokenError, ValueError):
            return

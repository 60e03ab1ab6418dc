"""What engines report of their load: read rarely, late, and believed less as it ages."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from prometheus_client.parser import text_string_to_metric_families

from mastickeel.addresses import Address
from mastickeel.httpmessages import ConnectionFailedError, ExchangeBrokenError, HttpRequest, Waits

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mastickeel.clock import Clock
    from mastickeel.httpclient import HttpClient
    from mastickeel.model import Endpoint

POLL_INTERVAL_MS = 500
"""One page is read each time, of the endpoint whose page is oldest: bytes stay flat."""
DECAY_MS = 5_000
"""After this long a report counts for a third."""
SAMPLING_LAG_MS = 1_000
"""How old a page is when it is read."""
POLL_TIMEOUTS = Waits(connect_ms=500, first_byte_ms=1_000, between_ms=1_000)
REQUEST_METRICS = frozenset({"vllm:num_requests_running", "vllm:num_requests_waiting"})


@dataclass(frozen=True)
class LoadReport:
    """One page."""

    at_ms: int
    other_requests: float
    """Requests on the engine that are not this instance's."""


class LoadReports:
    """The last page of each endpoint."""

    def __init__(self, clock: Clock, in_flight: Callable[[str], int]) -> None:
        """Makes an empty table.

        Args:
            clock: Ages the pages.
            in_flight: Gives this instance's own requests on an endpoint.
        """
        self._clock = clock
        self._in_flight = in_flight
        self._reports_by_id: dict[str, LoadReport] = {}
        self._polled_ms_by_id: dict[str, int] = {}

    def other_requests(self, endpoint_id: str) -> float:
        """Returns the requests of other instances on an endpoint, as far as still believed."""
        report = self._reports_by_id.get(endpoint_id)
        if report is None:
            return 0.0
        age_ms = self._clock.now() - report.at_ms + SAMPLING_LAG_MS
        return report.other_requests * math.exp(-age_ms / DECAY_MS)

    def record_page(self, endpoint_id: str, page: str) -> None:
        """Keeps what a page says.

        Args:
            endpoint_id: Whose page it is.
            page: The page, in the Prometheus text format.

        Raises:
            ValueError: When the page cannot be read.
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
        """Reads one page after another for as long as the instance runs.

        Args:
            client: Reads the pages.
            endpoints: Gives the endpoints of interest.
        """
        while True:
            await self._clock.sleep(POLL_INTERVAL_MS)
            wanted = list(endpoints())
            if not wanted:
                continue
            oldest = min(wanted, key=lambda one: self._polled_ms_by_id.get(one.id, 0))
            self._polled_ms_by_id[oldest.id] = self._clock.now()
            await self._poll_endpoint(client, oldest)

    async def _poll_endpoint(self, client: HttpClient, endpoint: Endpoint) -> None:
        """Reads one page; a page that cannot be had is left to age."""
        page = HttpRequest("GET", "/metrics")
        try:
            answer = await client.call(Address.parse(endpoint.address), page, POLL_TIMEOUTS)
            if answer.status == 200:
                self.record_page(endpoint.id, answer.body.decode())
        except (ConnectionFailedError, ExchangeBrokenError, ValueError):
            return

"""What the relay works with, and what it tells of each send and each request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from mastickeel.events import define_event

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from mastickeel.clock import Clock
    from mastickeel.httpclient import HttpClient
    from mastickeel.tasks import TaskGroup
    from mastickeel_router.discovery import EndpointRecord, EndpointRegistry
    from mastickeel_router.placement import EndpointLoads
    from mastickeel_router.quarantine.reports import CrashReports
    from mastickeel_router.relay.budget import RetryBudget
    from mastickeel_router.relay.policy import SendResult
    from mastickeel_router.relay.types import CallerRequest, Dialect
    from mastickeel_router.releases.sessions import SessionVersions
    from mastickeel_router.routes import Route, RouteTable

REQUEST_SERVED = define_event(2340, "request_served", "info", "A request got an endpoint's answer.")
REQUEST_REFUSED = define_event(
    2341, "request_refused", "info", "A request was refused; it did not run. See code and sends."
)
REQUEST_FAILED = define_event(
    2342, "request_failed", "warning", "A request failed after it may have run. See the sends."
)
REQUEST_LEFT = define_event(
    2343, "request_left", "info", "The caller left before the answer's end."
)
REQUEST_PLACED = define_event(
    2345, "request_placed", "info", "A request goes to an endpoint; says what was known of it."
)
SEND_ENDED = define_event(
    2344, "send_ended", "info", "A send brought no whole answer; says why and what follows."
)


@dataclass(frozen=True)
class SendObservation:
    """What one send showed of an endpoint."""

    endpoint: EndpointRecord
    route: Route
    result: SendResult
    model: str = ""
    """The model that was asked; empty for plain services."""
    pace_ms: float | None = None
    """Time for each event after a stream's first, or for a whole answer; None when not known."""


@dataclass(frozen=True)
class RequestSummary:
    """How a request of a route came to its end."""

    route: Route
    outcome: str
    """``served``, ``refused``, ``failed`` or ``left``."""
    took_ms: int
    first_event_ms: int
    """Until the first event; the whole time when there was none."""


@dataclass(frozen=True)
class Context:
    """What the relay works with."""

    clock: Clock
    rng: random.Random
    client: HttpClient
    dialect: Dialect
    table: RouteTable
    registry: EndpointRegistry
    loads: EndpointLoads
    budget: RetryBudget
    crashes: CrashReports
    """Refuses contents that crash endpoints."""
    tasks: TaskGroup
    """Runs what goes on beside requests."""
    select_endpoints: EndpointSelector
    """Keeps the endpoints whose version the request may run on."""
    sessions: SessionVersions
    """Which version each session ran on last."""
    store_age_ms: Callable[[], int | None]
    """How old the newest word of the store is; None before the first."""
    on_send: Callable[[SendObservation], None]
    """Told of each send."""
    on_request_end: Callable[[RequestSummary], None]
    """Told of each request that a route was found for."""
    on_error_reply: Callable[[str], None]
    """Told the code of each error that a caller is answered with."""


class EndpointSelector(Protocol):
    """Keeps the endpoints whose version a request may run on."""

    def __call__(
        self,
        service: str,
        request: CallerRequest,
        records: Sequence[EndpointRecord],
        *,
        pin: str = "",
        failed: bool = False,
    ) -> Sequence[EndpointRecord]:
        """Returns those of the records that may be sent the request."""

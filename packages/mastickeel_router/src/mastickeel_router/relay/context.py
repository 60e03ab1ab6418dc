"""Dependencies of the relay, and the records that it emits for each send and each request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from mastickeel.events import define_event

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Mapping, Sequence

    from mastickeel.clock import Clock
    from mastickeel.tasks import TaskGroup
    from mastickeel_router.availability import EndpointAvailability
    from mastickeel_router.discovery import EndpointRecord, EndpointRegistry
    from mastickeel_router.evacuation import Evacuations
    from mastickeel_router.listeners.memory import HeldMemory
    from mastickeel_router.paths import EndpointPaths
    from mastickeel_router.placement import EndpointLoads
    from mastickeel_router.quarantine.parts import PartSuspicions
    from mastickeel_router.quarantine.reports import CrashReports
    from mastickeel_router.ratelimits import EndpointLimits, SendAdmissions, SendPermits
    from mastickeel_router.relay.budget import RetryBudget
    from mastickeel_router.relay.policy import PlannedStop, SendResult
    from mastickeel_router.relay.types import AnswerHead, CallerRequest, Dialect
    from mastickeel_router.releases.sessions import SessionVersions
    from mastickeel_router.routes import Route, RouteTable

REQUEST_SERVED = define_event(2340, "request_served", "info", "A request got an endpoint's answer.")
REQUEST_REFUSED = define_event(
    2341,
    "request_refused",
    "info",
    "A request was refused and did not run; the fields code and sends give the reason.",
)
REQUEST_FAILED = define_event(
    2342,
    "request_failed",
    "warning",
    "A request failed and may have run; its send_ended events give the reasons.",
)
REQUEST_LEFT = define_event(
    2343, "request_left", "info", "The caller disconnected before the answer was complete."
)
REQUEST_PLACED = define_event(
    2345,
    "request_placed",
    "info",
    "A request is about to be sent to an endpoint; the fields describe the endpoint's load.",
)
SEND_ENDED = define_event(
    2344,
    "send_ended",
    "info",
    "A send returned no deliverable answer; see the fields reason (cause) and then (next step).",
)


@dataclass(eq=False)
class OpenSend:
    """A send whose answer has not ended."""

    endpoint: EndpointRecord
    route: Route
    model: str
    """Name of the model; empty for plain services."""
    started_ms: int
    """Clock time at which the send started."""
    min_pace_ms: Callable[[], float | None]
    """Returns the least pace that the answer can still have if it ends now; None if unknown."""
    counted_pace: int = 0
    """Pace, as ``releases.pace.Pace``, that has been counted for the send before its end."""


@dataclass(frozen=True)
class SendObservation:
    """Observation of an endpoint from one send."""

    endpoint: EndpointRecord
    route: Route
    result: SendResult
    model: str = ""
    """Name of the model that was used; empty for plain services."""
    pace_ms: float | None = None
    """Mean time per event after a stream's first, or time of a plain answer; None if unknown."""
    counted_pace: int = 0
    """Pace, as ``releases.pace.Pace``, that was counted for the send before its end."""
    started_ms: int = 0
    """Clock time at which the send started."""


@dataclass(frozen=True)
class RequestSummary:
    """Summary of a finished request."""

    route: Route
    outcome: str
    """``served``, ``refused``, ``failed`` or ``left``."""
    duration_ms: int
    first_event_ms: int
    """Time until the first event; equals `duration_ms` when the answer had no events."""


@dataclass(frozen=True)
class Context:
    """Dependencies of the relay."""

    clock: Clock
    rng: random.Random
    paths: EndpointPaths
    """Opens connections to endpoints."""
    dialect: Dialect
    table: RouteTable
    registry: EndpointRegistry
    loads: EndpointLoads
    budget: RetryBudget
    crashes: CrashReports
    """Reports of contents that crash endpoints; refuses such contents."""
    crashing_parts: PartSuspicions
    """Parts of prompts that are suspected of crashing endpoints; refuses such parts."""
    limits: EndpointLimits
    """Rate limits that endpoints have named."""
    availability: EndpointAvailability
    """What endpoints have said about taking further requests."""
    evacuations: Evacuations
    """Data centres whose endpoints get no requests."""
    regions_by_data_centre: Mapping[str, str]
    """Region of each data centre, as far as the settings name them."""
    accepts: Callable[[EndpointRecord], bool]
    """Returns whether an endpoint may be sent a request now."""
    tolerances: EndpointLimits
    """Refusals a second that brittle endpoints tolerate."""
    admissions: SendAdmissions
    """Admissions of sends to brittle endpoints."""
    permits: SendPermits
    """Permits to send requests to endpoints with a rate limit."""
    held_memory: HeldMemory
    """Memory that callers and endpoints make this instance hold."""
    tasks: TaskGroup
    """Task group of the background work beside requests."""
    select_endpoints: EndpointSelector
    """Filters endpoints by the versions that the request may run on."""
    sessions: SessionVersions
    """Latest version of each session."""
    store_age_ms: Callable[[], int | None]
    """Returns the time since the store's last answer; None before the first one."""
    knowledge_age_ms: Callable[[], int | None]
    """Returns the age of what is known of the store; None before the first list."""
    confirm_knowledge: Callable[[], Awaitable[bool]]
    """Returns whether what is known of the store is recent enough to refuse a caller by it."""
    planned_stop: Callable[[], PlannedStop | None]
    """Returns the planned stop of this instance; None while there is none."""
    open_sends: set[OpenSend]
    """Sends whose answers have not ended."""
    on_send: Callable[[SendObservation], None]
    """Callback for each finished send."""
    on_send_abandoned: Callable[[OpenSend], None]
    """Callback for each send that the deadline or the caller's disconnect ended."""
    on_tunnelled_head: Callable[[EndpointRecord, AnswerHead, str], None]
    """Callback for each answer's head that came through another instance, with its id."""
    on_request_end: Callable[[RequestSummary], None]
    """Callback for each finished request that matched a route."""
    on_error_reply: Callable[[str], None]
    """Callback with the code of each error that ends a request."""


class EndpointSelector(Protocol):
    """Filters endpoints by the versions that a request may run on."""

    def __call__(
        self,
        service: str,
        request: CallerRequest,
        records: Sequence[EndpointRecord],
        *,
        pin: str = "",
        failed: bool = False,
    ) -> Sequence[EndpointRecord]:
        """Returns the records of the endpoints that may serve the request."""

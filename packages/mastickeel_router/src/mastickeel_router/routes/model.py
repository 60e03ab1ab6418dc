"""The routing configuration as frozen data: routes, services, client accounts and limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """Kind of a route, which decides whether its requests may be retried."""

    REPEATABLE = "repeatable"
    """A request may run more than once."""
    ONCE = "once"
    """A request runs at most once for each attempt of the caller."""
    STREAM = "stream"
    """The answer is a stream of events."""


@dataclass(frozen=True)
class Split:
    """Share of a route's requests that one service gets, relative to the route's other splits."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Rules for the requests with one host and path prefix."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout_ms: int
    """Maximum time that a caller waits."""
    objective_ms: int
    """Latency objective; for a stream, until its first event."""
    attempts: int = 1
    """Maximum number of sends for one attempt of a caller."""
    priority: int = 0
    """Priority of the requests; 0 is the most urgent."""
    public: bool = False
    """Whether requests need no API key."""
    prompt_affinity: bool = False
    """Whether requests carry prompts whose parts endpoints cache."""
    resumable: bool = False
    """Whether a stream may be resumed at another endpoint."""
    max_event_gap_ms: int = 0
    """Maximum time between two events of a stream within its objective; 0 when not configured."""
    models: tuple[str, ...] = ()
    """Names of the models to choose from, smallest first; empty when the caller names the model."""
    homes: tuple[str, ...] = ()
    """Regions in which the requests may run; empty for all."""

    @property
    def allows_retry(self) -> bool:
        """Whether a request may be sent again although an earlier send may have run."""
        return self.kind is RouteKind.REPEATABLE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True)
class ModelTraits:
    """Name and price of a model that a service's engines run."""

    name: str
    cost: float
    """Price of 1,000 generated tokens; prompt tokens cost a quarter."""


@dataclass(frozen=True)
class EngineTraits:
    """Capacity of each model engine of a service."""

    slots: int
    """Maximum number of concurrent requests."""
    memory_tokens: int
    """Tokens of prompts and answers that fit into the engine's memory."""
    models_by_name: dict[str, ModelTraits] = field(default_factory=dict)


@dataclass(frozen=True)
class WarmupTraits:
    """What an endpoint of a service bears while it warms up."""

    per_second: float
    """Requests a second from all instances."""
    duration_ms: int
    """Time from the start of an endpoint until it is warm."""


@dataclass(frozen=True)
class ServiceTraits:
    """Service that requests are sent to."""

    name: str
    connections: int
    """Maximum number of connections from all instances to one endpoint."""
    engine: EngineTraits | None = None
    """Traits of the service's model engines; None for a plain service."""
    warmup: WarmupTraits | None = None
    """What an endpoint bears while it warms up; None if it bears any load."""


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of callers' requests and on the time to send them."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class Caller:
    """Client account that a request's API key identifies."""

    name: str
    priority: int | None = None
    """Overrides the route's priority; None keeps it."""
    homes: tuple[str, ...] = ()
    """Regions in which the account's requests may run; empty for all."""


@dataclass(frozen=True)
class Account:
    """Client account as a configuration lists it, with its keys."""

    caller: Caller
    keys: tuple[str, ...]


@dataclass(frozen=True)
class RoutingConfiguration:
    """One version of the routing configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services_by_name: dict[str, ServiceTraits] = field(default_factory=dict)
    callers_by_key: dict[str, Caller] | None = None
    """Client accounts by API key; None when the deployment has none and requires no key."""
    limits: CallerLimits = CallerLimits()

"""The routing configuration as frozen data: routes, services, client accounts and limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    REPEATABLE = "repeatable"
    """A request may run more than once."""
    ONCE = "once"
    """A request runs at most once for each attempt of its caller."""
    STREAM = "stream"
    """The answer is a series of events."""


@dataclass(frozen=True)
class Split:
    """A part of a route's requests that goes to one service."""

    service: str
    weight: int


@dataclass(frozen=True)
class Route:
    """What is done with the requests of one host and path prefix."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout_ms: int
    """The longest that a caller is kept waiting."""
    objective_ms: int
    """The latency objective, up to the first event of a stream."""
    attempts: int = 1
    """Endpoints to which one attempt of a caller may be sent."""
    priority: int = 0
    """Rank; 0 is the most urgent."""
    public: bool = False
    """Whether requests need no key."""
    prompt_affinity: bool = False
    """Whether requests carry prompts whose parts endpoints keep."""
    resumable: bool = False
    """Whether a stream may go on at another endpoint."""
    max_event_gap_ms: int = 0
    """The longest pause between events that is still on time; 0 when not said."""
    models: tuple[str, ...] = ()
    """Models to choose from, smallest first; empty when the caller names the model."""

    @property
    def allows_retry(self) -> bool:
        """Whether a request may run again when an earlier run may have begun."""
        return self.kind is RouteKind.REPEATABLE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True)
class ModelSize:
    """A model that a service's engines hold."""

    name: str
    cost: float
    """Price of 1,000 generated tokens; tokens read cost a quarter."""


@dataclass(frozen=True)
class EngineTraits:
    """What one model engine of a service can take."""

    slots: int
    """Requests that run at once."""
    memory_tokens: int
    """Tokens of prompts and answers that fit into its memory."""
    models_by_name: dict[str, ModelSize] = field(default_factory=dict)


@dataclass(frozen=True)
class ServiceTraits:
    """A service that routes lead to."""

    name: str
    connections: int
    """Connections that one endpoint takes from all instances together."""
    engine: EngineTraits | None = None
    """None for a plain service."""


@dataclass(frozen=True)
class CallerLimits:
    """What callers may send, and for how long they may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class Caller:
    """A client account as requests name it: by a key."""

    name: str
    priority: int | None = None
    """Goes before the route's priority; None leaves the route's."""


@dataclass(frozen=True)
class RoutingConfiguration:
    """Everything that the operator has set, in one version."""

    version: int
    routes: tuple[Route, ...] = ()
    services_by_name: dict[str, ServiceTraits] = field(default_factory=dict)
    callers_by_key: dict[str, Caller] | None = None
    """None when the deployment has no client accounts, so that no key is asked for."""
    limits: CallerLimits = CallerLimits()

"""Types of a request from its arrival to its bill, shared by all parts of the router."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Awaitable

AUTO_MODEL = "auto"
"""Model name with which a caller leaves the choice of a version to the router."""


@dataclass(frozen=True)
class ChatRequest:
    """A caller's request for a model's answer."""

    id: str
    account_id: str
    model: str
    """The caller's choice: AUTO_MODEL, a model or a version."""
    body: dict[str, Any]
    """The caller's JSON body."""
    stream: bool
    arrived_ms: int
    """Arrival time on the monotonic clock."""
    kind: str = "default"
    """Kind of request; the quality of each version is learned by kind."""
    session: str = ""
    """The caller's session; empty for none."""
    priority: int = 0
    """Lower values run earlier."""
    deadline_ms: int | None = None
    """Deadline on the monotonic clock; None for no deadline."""
    idempotency_key: str = ""
    include_usage: bool = False
    """Whether a streamed answer ends with an event for its usage."""


@dataclass(frozen=True)
class ServiceRequest:
    """A caller's request to a plain service."""

    id: str
    account_id: str
    service_id: str
    method: str
    path: str
    """Path within the service, without the query."""
    query: str
    body: bytes
    headers: dict[str, str]
    repeatable: bool
    arrived_ms: int
    idempotency_key: str = ""


@dataclass(frozen=True)
class Usage:
    """Token counts of one run, as reported by the engine."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


@dataclass(frozen=True)
class Run:
    """One run of a request on a version, as recorded in the bill."""

    version_id: str
    endpoint_id: str
    usage: Usage
    cost: int
    """Cost in micros."""
    continued: bool = False
    """Whether the run continued the answer of the run before it."""


@dataclass(frozen=True)
class Bill:
    """Cost of one request; each request has exactly one bill."""

    id: str
    """Id of the request."""
    account_id: str
    at_ms: int
    """Wall-clock time at which the bill was created."""
    runs: tuple[Run, ...] = ()
    service_id: str = ""
    kind: str = "default"

    @property
    def cost(self) -> int:
        """Total cost of the runs, in micros."""
        return sum(run.cost for run in self.runs)

    @property
    def answer_usage(self) -> Usage:
        """Token counts of the final answer, over the runs that continued one another."""
        completion = 0
        for run in reversed(self.runs):
            completion += run.usage.completion_tokens
            if not run.continued:
                break
        return Usage(self.runs[-1].usage.prompt_tokens, completion)


@dataclass(frozen=True)
class Choice:
    """The version chosen for a request, with the reason."""

    version_id: str
    reason: str
    figures: dict[str, float] = field(default_factory=dict)
    """Figures behind the decision, for ``explain``."""
    held_back: bool = False
    """Whether the answer is held back until it has been rated, as in a cascade."""


@dataclass(frozen=True)
class Outcome:
    """Outcome of one run of a request, for the chooser, the admission gate and the rollouts."""

    request_id: str
    account_id: str
    kind: str
    session: str
    version_id: str
    endpoint_id: str
    ok: bool
    error_code: str = ""
    """Code of the error; empty after a success."""
    first_event_ms: int = 0
    """Time from the send to the first event of the answer; 0 if none arrived."""
    total_ms: int = 0
    """Time from the send to the end of the answer; 0 after a failure."""
    usage: Usage = field(default_factory=lambda: Usage())
    cost: int = 0
    """Cost in micros."""


class Sink(Protocol):
    """Receiver of the events of an answer."""

    def start(self, version_id: str) -> None:
        """Announces the answering version, before the first event."""

    def write_event(self, event: bytes) -> Awaitable[None] | None:
        """Writes one complete server-sent event; may return an awaitable as backpressure."""

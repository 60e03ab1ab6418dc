"""What one request is, from its arrival to its bill; every slice reads these types."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Awaitable

AUTO_MODEL = "auto"
"""The model name that leaves the choice to the router."""


@dataclass(frozen=True)
class ChatRequest:
    """A caller's request for a model's answer."""

    id: str
    account_id: str
    model: str
    """What the caller named: AUTO_MODEL, a model, or a version."""
    body: dict[str, Any]
    """The caller's JSON body."""
    stream: bool
    arrived_ms: int
    """On the clock for intervals."""
    kind: str = "default"
    """What sort of work it is, which qualities are learned by."""
    session: str = ""
    """The caller's session, or empty."""
    priority: int = 0
    """Lower runs earlier."""
    deadline_ms: int | None = None
    """On the clock for intervals; None for no deadline."""
    idempotency_key: str = ""
    include_usage: bool = False
    """Whether a streamed answer ends with its usage."""


@dataclass(frozen=True)
class ServiceRequest:
    """A caller's call of a plain service."""

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
    """Tokens of one run, as the engine counted them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


@dataclass(frozen=True)
class Run:
    """One run of a request on a version, as it goes on the bill."""

    version_id: str
    endpoint_id: str
    usage: Usage
    cost: int
    """Micros."""
    continued: bool = False
    """Whether it went on with an answer that the run before it had begun."""


@dataclass(frozen=True)
class Bill:
    """What one request cost; there is one for each request."""

    id: str
    """The request's id."""
    account_id: str
    at_ms: int
    """Calendar time."""
    runs: tuple[Run, ...] = ()
    service_id: str = ""
    kind: str = "default"

    @property
    def cost(self) -> int:
        """The sum of its runs, in micros."""
        return sum(run.cost for run in self.runs)

    @property
    def answer_usage(self) -> Usage:
        """The tokens of the answer that was given, whichever runs it took."""
        completion = 0
        for run in reversed(self.runs):
            completion += run.usage.completion_tokens
            if not run.continued:
                break
        return Usage(self.runs[-1].usage.prompt_tokens, completion)


@dataclass(frozen=True)
class Choice:
    """The version that a request is to run on, and why."""

    version_id: str
    reason: str
    figures: dict[str, float] = field(default_factory=dict)
    """What the decision used, for ``explain``."""
    held_back: bool = False
    """Whether the answer is held back until it has been judged, as in a cascade."""


@dataclass(frozen=True)
class Outcome:
    """How one run of a request went, for those who learn from it."""

    request_id: str
    account_id: str
    kind: str
    session: str
    version_id: str
    endpoint_id: str
    ok: bool
    error_code: str = ""
    """Empty when it went well."""
    first_event_ms: int = 0
    """From the send to the first piece; 0 when none came."""
    total_ms: int = 0
    """From the send to the end."""
    usage: Usage = field(default_factory=lambda: Usage())
    cost: int = 0
    """Micros."""


class Sink(Protocol):
    """Where the pieces of an answer go."""

    def start(self, version_id: str) -> None:
        """Tells which version answers, before the first piece."""

    def write_event(self, event: bytes) -> Awaitable[None] | None:
        """Takes one server-sent event, whole; may return an awaitable to slow the sender."""

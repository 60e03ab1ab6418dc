"""What a request, a send and an answer are inside the relay, however they look on the wire."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPHeaders

    from mastickeel.errors import MastickeelError
    from mastickeel.httpmessages import HttpHead, HttpRequest
    from mastickeel_router.discovery.registry import EndpointRecord
    from mastickeel_router.routes.model import Caller


MAX_LOGGED_PARTS = 6
"""Parts of a prompt that a log line names; callers send two or three."""


@dataclass(frozen=True)
class RequestHead:
    """A request's first line and headers."""

    method: str
    target: str
    """Path and query, byte for byte."""
    headers: HTTPHeaders

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """What a request says of its work for a model engine."""

    model: str
    """As the caller named it; ``ANY_MODEL`` leaves it to the router."""
    tokens_in: int = 0
    tokens_out: int = 0
    """The most that may be generated."""
    parts: tuple[PromptPart, ...] = ()

    @property
    def summary(self) -> str:
        """The first parts, for logs: bounded, as callers choose how many there are."""
        return ",".join(f"{part.id[:16]}:{part.tokens}" for part in self.parts[:MAX_LOGGED_PARTS])


ANY_MODEL = "*"


@dataclass(frozen=True)
class CallerRequest:
    """A request as a caller sent it."""

    id: str
    head: RequestHead
    host: str
    key: str
    """The API key; empty for none."""
    deadline_ms: int | None
    """How long the caller waits from when it sent the request; None when not said."""
    prompt: Prompt | None = None
    last_event: int | None = None
    """The last event that the caller has of an earlier answer."""
    session: str = ""


@dataclass(frozen=True)
class Send:
    """One request to one endpoint."""

    request: CallerRequest
    endpoint: EndpointRecord
    caller: Caller | None
    remaining_ms: int
    """What is left of the time that the caller waits."""
    body: bytes = b""
    model: str = ""
    """The model that the router chose; empty for the caller's."""
    after_event: int | None = None
    """The event after which a stream goes on; None from its start."""
    engine_priority: int | None = None
    """The rank that an engine is told; None for none."""


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an endpoint's answer."""

    status: int
    headers: HTTPHeaders
    """Those that the caller gets."""
    request_id: str
    """The request that it says it answers; empty when it does not say."""
    not_run: bool = False
    """Whether it states that the request did not run."""
    is_stream: bool = False
    encoded: bool = False
    """Whether the body is in an encoding that nobody asked for."""
    signed: bool = False
    """Whether it carries the endpoint's signature."""
    closes: bool = False
    """Whether the connection ends after it."""
    confidence: int | None = None
    """The model's own opinion of the answer, 0 to 100."""


@dataclass(frozen=True)
class Dialect:
    """How a deployment writes requests and answers."""

    read_request: Callable[[RequestHead], CallerRequest]
    """May raise ``BadRequestError``."""
    write_send: Callable[[Send], HttpRequest]
    read_answer: Callable[[HttpHead], AnswerHead]
    write_refusal: Callable[[MastickeelError, str], tuple[int, dict[str, str], bytes]]
    """Takes the error and the request's id; gives status, headers and body."""


@dataclass
class Progress:
    """What has happened to one request so far."""

    started_ms: int
    sends: int = 0
    unreached: int = 0
    """Endpoints to which no connection could be made; they are no sends."""
    tried_ids: list[str] = field(default_factory=list)
    """Endpoints that it was sent to, in order."""
    failures: int = 0
    """Sends that brought a failure or nothing."""
    may_have_run: bool = False
    last_event: int | None = None
    """The newest event that the caller has been given."""
    head_forwarded: bool = False
    """Whether the caller has been given the head of an answer."""

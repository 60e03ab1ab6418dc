"""Requests, sends and answers inside the relay, independent of their form on the wire."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPHeaders

    from mastickeel.errors import MastickeelError
    from mastickeel.httpmessages import HttpHead, HttpRequest
    from mastickeel_router.discovery.registry import EndpointRecord
    from mastickeel_router.listeners import RequestHead
    from mastickeel_router.routes.model import Caller


MAX_LOGGED_PARTS = 6
"""Maximum number of prompt parts in a log line; callers send two or three."""


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """Prompt of a request for a model engine, as the caller describes it."""

    model: str
    """Model that the caller named; ``ANY_MODEL`` leaves the choice to the router."""
    tokens_in: int = 0
    tokens_out: int = 0
    """Maximum number of tokens to generate."""
    parts: tuple[PromptPart, ...] = ()

    @property
    def summary(self) -> str:
        """The first parts, for logs; bounded because callers choose the number of parts."""
        return ",".join(f"{part.id[:16]}:{part.tokens}" for part in self.parts[:MAX_LOGGED_PARTS])


ANY_MODEL = "*"


@dataclass(frozen=True)
class CallerRequest:
    """A request as sent by a caller."""

    id: str
    head: RequestHead
    host: str
    key: str
    """The API key; empty for none."""
    timeout_ms: int | None
    """Time for which the caller waits after sending the request; None when not given."""
    prompt: Prompt | None = None
    last_event: int | None = None
    """Number of the last event that the caller has received of an earlier answer."""
    session: str = ""


@dataclass(frozen=True)
class Send:
    """A request as sent to one endpoint."""

    request: CallerRequest
    endpoint: EndpointRecord
    caller: Caller | None
    remaining_ms: int
    """Time left until the caller's deadline."""
    body: bytes = b""
    model: str = ""
    """Model that the router chose; empty to keep the caller's."""
    after_event: int | None = None
    """Number of the event after which the stream resumes; None to start at its beginning."""
    engine_priority: int | None = None
    """Priority sent to a model engine, 0 for the most urgent; None for plain services."""


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an endpoint's answer."""

    status: int
    headers: HTTPHeaders
    """Headers that are forwarded to the caller."""
    request_id: str
    """Id of the request that the answer names; empty when it names none."""
    not_run: bool = False
    """Whether the answer states that the request did not run."""
    is_stream: bool = False
    encoded: bool = False
    """Whether the body has a content encoding that was not requested."""
    signed: bool = False
    """Whether the answer carries the endpoint's signature."""
    closes_connection: bool = False
    """Whether the endpoint closes the connection after the answer."""
    confidence: int | None = None
    """Confidence of the model in its answer, 0 to 100; None when not reported."""
    rate_limit: float | None = None
    """Requests a second that the endpoint accepts from all instances; None when it names none."""
    refusal_tolerance: float | None = None
    """Refusals a second that the endpoint tolerates from all instances; None when it names none."""
    leaving: bool = False
    """Whether the endpoint says that it is about to leave."""
    away_ms: int | None = None
    """Time for which the endpoint wants no requests from this instance; None when not stated."""


@dataclass(frozen=True)
class Dialect:
    """Translates between a deployment's wire format and the relay's types."""

    read_request: Callable[[RequestHead], CallerRequest]
    """Parses a caller's request; may raise ``BadRequestError``."""
    write_send: Callable[[Send], HttpRequest]
    read_answer: Callable[[HttpHead], AnswerHead]
    write_error: Callable[[MastickeelError, str], tuple[int, dict[str, str], bytes]]
    """Returns status, headers and body of the answer that reports an error to the caller.

    Takes the error and the id of its request.
    """


@dataclass
class Progress:
    """Progress of one request."""

    started_ms: int
    sends: int = 0
    unreached: int = 0
    """Endpoints to which no connection could be made; not counted in `sends`."""
    tried_ids: list[str] = field(default_factory=list)
    """Ids of the endpoints tried, in order."""
    refused_by: set[tuple[str, int]] = field(default_factory=set)
    """Ids and starts of the endpoints that have refused the request."""
    failures: int = 0
    """Sends with a broken answer or a server error."""
    may_have_run: bool = False
    last_event: int | None = None
    """Number of the newest event forwarded to the caller."""
    head_forwarded: bool = False
    """Whether the head of an answer has been forwarded to the caller."""

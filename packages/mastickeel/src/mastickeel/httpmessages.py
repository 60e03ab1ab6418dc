"""Requests and answers of our HTTP clients, the limits on their waits, and what may go wrong."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mastickeel.errors import ExecutionStatus, MastickeelError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tornado.httputil import HTTPHeaders

CONNECT_TIMEOUT_MS = 2_000
FIRST_BYTE_TIMEOUT_MS = 30_000
BETWEEN_BYTES_TIMEOUT_MS = 15_000


class ConnectionFailedError(MastickeelError):
    """Raised when no connection could be made: nothing of the request left."""

    code = "connection_failed"
    status = 502
    title = "No connection could be made."
    remedy = "Check that the process at this address runs."
    ran = ExecutionStatus.NO
    refused = False
    """Whether the machine answered that nobody listens there."""


class ExchangeBrokenError(MastickeelError):
    """Raised when a connection broke after the request may have left."""

    code = "exchange_broken"
    status = 502
    title = "The connection broke before the answer was whole."
    remedy = "Send the request again if it may be repeated."
    ran = ExecutionStatus.UNKNOWN


class ForeignAnswerError(MastickeelError):
    """Raised by the receiving side when the answer belongs to another request: it is skipped."""

    code = "foreign_answer"
    status = 502
    title = "The answer belongs to another request."
    remedy = "Check the endpoint: it answers requests twice or late."
    ran = ExecutionStatus.UNKNOWN


class ExchangeTimeoutError(ExchangeBrokenError):
    """Raised when a connection was silent for longer than its limit."""

    code = "exchange_timeout"
    status = 504
    title = "The answer did not come in time."


@dataclass(frozen=True)
class HttpRequest:
    """A request as it is sent."""

    method: str
    path: str
    """Path and query."""
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True)
class HttpHead:
    """Status and headers of an answer."""

    status: int
    headers: HTTPHeaders


@dataclass(frozen=True)
class HttpAnswer:
    """A whole answer."""

    status: int
    headers: HTTPHeaders
    body: bytes


@dataclass(frozen=True)
class Timeouts:
    """The limits on each wait of one exchange, in milliseconds."""

    connect_ms: float = CONNECT_TIMEOUT_MS
    first_byte_ms: float = FIRST_BYTE_TIMEOUT_MS
    between_bytes_ms: float = BETWEEN_BYTES_TIMEOUT_MS

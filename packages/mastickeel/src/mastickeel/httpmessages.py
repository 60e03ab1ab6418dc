"""Requests, answers, timeouts and errors of the HTTP clients."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders, HTTPInputError, parse_response_start_line

from mastickeel.errors import ExecutionStatus, MastickeelError

if TYPE_CHECKING:
    from collections.abc import Mapping

CONNECT_TIMEOUT_MS = 2_000
FIRST_BYTE_TIMEOUT_MS = 30_000
BETWEEN_BYTES_TIMEOUT_MS = 15_000
VERSION_PREFIX = "HTTP/1."
VALID_STATUSES = range(100, 600)
INFORMATIONAL_STATUSES = range(100, 200)
SWITCHING_PROTOCOLS = 101
BODILESS_STATUSES = frozenset({204, 304})


class BodyFraming(Enum):
    """What marks the end of an answer's body."""

    NONE = "none"
    """The status has no body."""
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"
    """The body has neither a length nor chunks and lasts until the server closes the connection."""


class ConnectionEnd(Enum):
    """State of a connection after an exchange, or how it ended."""

    OPEN = "open"
    CLOSED = "closed"
    """The server closed the connection in order."""
    EARLY = "early"
    """The server closed the connection in order, before it had received the whole request. What it
    sent may be cut off: it resets the connection once more of the request arrives."""
    RESET = "reset"
    """The connection broke without an orderly close."""
    TIMEOUT = "timeout"
    """The client closed the connection because its deadline passed."""
    ABORTED = "aborted"
    """The client closed the connection for another reason."""


class ConnectionFailedError(MastickeelError):
    """Raised when no connection could be made, so that no part of the request was sent."""

    code = "connection_failed"
    status = 502
    title = "No connection could be made."
    remedy = "Check that the process at this address runs."
    ran = ExecutionStatus.NO
    refused = False
    """Whether the host refused the connection because no process listens on the port."""


class TunnelRefusedError(ConnectionFailedError):
    """Raised when another instance did not open a tunnel to the server."""

    code = "tunnel_refused"
    title = "Another instance did not open a tunnel."
    remedy = "Check the path from that instance to the address."

    def __init__(self, detail: str, reason: str) -> None:
        """Creates the error.

        Args:
            detail: Describes the attempt.
            reason: Error type of the answer's `Proxy-Status` header; empty when it has none.
        """
        super().__init__(detail)
        self.reason = reason
        """Error type of the answer's `Proxy-Status` header."""
        # An endpoint that the other instance no longer lists has ended for it.
        self.refused = reason in ("connection_refused", "destination_ip_prohibited")


class ExchangeBrokenError(MastickeelError):
    """Raised when a connection broke after the request may have been sent."""

    code = "exchange_broken"
    status = 502
    title = "The connection broke before the answer was complete."
    remedy = "Send the request again if it may be repeated."
    ran = ExecutionStatus.UNKNOWN


class InvalidHeadError(ExchangeBrokenError):
    """Raised when the head of an answer is none that HTTP allows."""

    code = "invalid_head"
    title = "The head of the answer is not valid."
    remedy = "Check the server: what it has sent is no answer in HTTP/1."


class ForeignAnswerError(MastickeelError):
    """Raised by ``on_head`` for an answer that belongs to another request and is skipped."""

    code = "foreign_answer"
    status = 502
    title = "The answer belongs to another request."
    remedy = "Check the endpoint: it answers requests twice or late."
    ran = ExecutionStatus.UNKNOWN


class AnswerTooLargeError(ExchangeBrokenError):
    """Raised when an answer, or a part that has to be buffered, is larger than its limit."""

    code = "answer_too_large"
    title = "The answer is larger than its limit."
    remedy = "Check the server: its answer may not end."


class ExchangeTimeoutError(ExchangeBrokenError):
    """Raised when no data arrived on a connection within the timeout."""

    code = "exchange_timeout"
    status = 504
    title = "The answer did not come in time."


@dataclass(frozen=True)
class HttpRequest:
    """An HTTP request."""

    method: str
    path: str
    """Path and query string."""
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True)
class HttpHead:
    """Status and headers of an HTTP answer."""

    status: int
    headers: HTTPHeaders

    @property
    def framing(self) -> BodyFraming:
        """What marks the end of the body."""
        if self.status in BODILESS_STATUSES:
            return BodyFraming.NONE
        if "Transfer-Encoding" in self.headers:
            return BodyFraming.CHUNKED
        if "Content-Length" in self.headers:
            return BodyFraming.LENGTH
        return BodyFraming.CONNECTION


def accept_head(version: str, status: int, headers: HTTPHeaders) -> HttpHead | None:
    """Returns the head of an answer, or None for that of an interim one, which is skipped.

    Whatever reads an answer decides here whether its head is valid. ``HTTPHeaders`` has checked the
    names and values of the fields.

    Args:
        version: The protocol's name and version, such as `HTTP/1.1`.
        status: The status, of three digits.
        headers: The fields of the head.

    Raises:
        InvalidHeadError: When the head is not valid, so that nothing of the answer may be used.
    """
    if not version.startswith(VERSION_PREFIX):
        raise InvalidHeadError(f"The protocol is {version}.")
    if status not in VALID_STATUSES:
        raise InvalidHeadError(f"The status is {status:03}.")
    if status == SWITCHING_PROTOCOLS:
        raise InvalidHeadError("It switches to a protocol that was not requested.")
    return None if status in INFORMATIONAL_STATUSES else HttpHead(status, headers)


def parse_head(data: bytes) -> HttpHead | None:
    """Parses the head of an answer, up to its blank line; returns None for that of an interim one.

    Raises:
        InvalidHeadError: When the head is not valid.
    """
    line, _, fields = data.decode("latin1").partition("\r\n")
    try:
        start = parse_response_start_line(line)
        headers = HTTPHeaders.parse(fields)
    except HTTPInputError as error:
        raise InvalidHeadError(f"It cannot be parsed: {error}.") from error
    return accept_head(start.version, start.code, headers)


@dataclass(frozen=True)
class HttpAnswer:
    """A complete HTTP answer."""

    status: int
    headers: HTTPHeaders
    body: bytes


@dataclass(frozen=True)
class Timeouts:
    """Timeouts of the phases of one exchange, in milliseconds."""

    connect_ms: float = CONNECT_TIMEOUT_MS
    first_byte_ms: float = FIRST_BYTE_TIMEOUT_MS
    between_bytes_ms: float = BETWEEN_BYTES_TIMEOUT_MS
    total_ms: float = math.inf
    """Time for the whole answer, however steadily it arrives."""

"""Base handler for callers and operators: request ids, typed errors and bounded bodies."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING, Any

import msgspec
from tornado.web import HTTPError, RequestHandler, stream_request_body

from mastickeel.decoding import decode_json, is_over
from mastickeel.errors import (
    BadRequestError,
    BodyTooLargeError,
    ExecutionStatus,
    MastickeelError,
    MethodNotAllowedError,
    NotFoundError,
    UnauthorizedError,
)
from mastickeel.events import define_event
from mastickeel.logs import log

if TYPE_CHECKING:
    from collections.abc import Awaitable

PROBLEM_TYPE = "https://mastickeel.example/problems/"
REQUEST_ID_HEADER = "X-Request-Id"
MAX_REQUEST_ID_LENGTH = 128
BODY_DRAIN_FACTOR = 16
"""A body over the limit is read and discarded up to this many times the limit, so that the sender
gets the refusal; for larger bodies the connection is closed."""

HANDLER_FAILED = define_event(
    1200,
    "handler_failed",
    "error",
    "A request failed with an unexpected error, a bug in Mastickeel; report it.",
)


@stream_request_body
class BaseHandler(RequestHandler):
    """Reads a bounded body, answers typed errors as problem+json, and echoes the request id."""

    body_limit_bytes = 0
    """Largest allowed body in bytes; set by the application."""

    def initialize(self, body_limit_bytes: int, **state: Any) -> None:
        """Sets the arguments that the application passes to each handler.

        Args:
            body_limit_bytes: Largest allowed body.
            **state: Values to set as attributes.
        """
        self.body_limit_bytes = body_limit_bytes
        for name, value in state.items():
            setattr(self, name, value)
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._task: asyncio.Task[Any] | None = None

    def prepare(self) -> None:
        """Assigns the request id and refuses a body whose declared length is over the limit."""
        requested_id = self.request.headers.get(REQUEST_ID_HEADER, "")
        usable = 0 < len(requested_id) <= MAX_REQUEST_ID_LENGTH and requested_id.isprintable()
        self.caller_request_id = requested_id if usable else ""
        self.request_id = secrets.token_hex(12)
        self.set_header(REQUEST_ID_HEADER, self.caller_request_id or self.request_id)
        self.request.connection.set_max_body_size(  # type: ignore[union-attr]
            self.body_limit_bytes * BODY_DRAIN_FACTOR
        )
        length = self.request.headers.get("Content-Length", "0")
        if length.isdigit() and is_over(length, self.body_limit_bytes):
            self._raise_body_too_large()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Buffers a chunk of the body; discards the excess over the limit."""
        self._received_bytes += len(chunk)
        if self._received_bytes <= self.body_limit_bytes:
            self._chunks.append(chunk)
        return None

    @property
    def body(self) -> bytes:
        """The complete body.

        Raises:
            BodyTooLargeError: When the body is over the limit.
        """
        if self._received_bytes > self.body_limit_bytes:
            self._raise_body_too_large()
        return b"".join(self._chunks)

    def json_body(self) -> dict[str, Any]:
        """Returns the body as a JSON object.

        Raises:
            BadRequestError: When the body is not a JSON object.
        """
        try:
            decoded = decode_json(self.body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise BadRequestError(f"The body is not JSON: {error}.") from error
        if not isinstance(decoded, dict):
            raise BadRequestError(
                "The body is not a JSON object; send one with the fields of the request."
            )
        return decoded

    def bearer_token(self) -> str:
        """Returns the API key or operator token of the request.

        Raises:
            UnauthorizedError: When the request has no bearer token.
        """
        scheme, _, value = self.request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not value.strip():
            raise UnauthorizedError()
        return value.strip()

    async def run_cancellable(self, work: Awaitable[None]) -> None:
        """Runs the handler's work, which is cancelled when the client disconnects."""
        self._task = asyncio.ensure_future(work)
        await self._task

    def on_connection_close(self) -> None:
        """Cancels the work of a request whose client has disconnected."""
        if self._task and not self._task.done():
            self._task.cancel()

    def write_json(self, value: Any, status: int = 200) -> None:
        """Answers with a value as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(value))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers with an error as problem+json, with its code, remedy and whether the work ran."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        problem = _to_typed_error(error, status_code, self.request.path)
        # send_error has cleared the headers.
        self.set_header(REQUEST_ID_HEADER, self.caller_request_id or self.request_id)
        if isinstance(problem, BodyTooLargeError):
            # Tornado closes a connection if it answers before it has read the whole body.
            self.set_header("Connection", "close")
        if problem.retry_after_ms is not None:
            self.set_header("Retry-After", str(-(-problem.retry_after_ms // 1_000)))
        self.set_status(problem.status)
        self.set_header("Content-Type", "application/problem+json")
        self.finish(msgspec.json.encode(self.problem_body(problem)))

    def problem_body(self, error: MastickeelError) -> dict[str, Any]:
        """Returns the problem+json body, with the ``error`` object that client libraries read."""
        message = f"{error.detail} {error.remedy}"
        return {
            "type": PROBLEM_TYPE + error.code,
            "title": error.title,
            "status": error.status,
            "code": error.code,
            "detail": error.detail,
            "remedy": error.remedy,
            "ran": error.ran.value,
            "request_id": self.caller_request_id or self.request_id,
            "error": {"message": message, "type": error.code, "code": error.code, "param": None},
        }

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs unexpected errors only; the callers' handlers count refusals in a metric."""
        if not isinstance(value, MastickeelError | HTTPError | asyncio.CancelledError):
            log(HANDLER_FAILED, error=repr(value), path=self.request.path, exc_info=value)

    def _raise_body_too_large(self) -> None:
        raise BodyTooLargeError(
            f"The body is larger than the limit of {self.body_limit_bytes} bytes."
        )


class UnknownPathHandler(BaseHandler):
    """Answers requests for unknown paths."""

    async def get(self) -> None:
        """Refuses the request as not found."""
        raise NotFoundError(f"There is no resource at {self.request.path}.")

    post = put = delete = patch = head = options = get


def _to_typed_error(error: BaseException | None, status_code: int, path: str) -> MastickeelError:
    """Returns the typed error for an exception that a handler raised."""
    if isinstance(error, MastickeelError):
        return error
    if status_code == 405:
        return MethodNotAllowedError(f"{path} does not support this method.")
    if status_code == 404:
        return NotFoundError(f"There is no resource at {path}.")
    if isinstance(error, HTTPError) and status_code < 500:
        return BadRequestError(error.log_message or str(error))
    return MastickeelError(ran=ExecutionStatus.UNKNOWN)

"""What the handlers of callers and operators share: request ids, typed errors, bounded bodies."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING, Any

import msgspec
from tornado.web import HTTPError, RequestHandler, stream_request_body

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
"""A body over the limit is read and dropped up to this many times the limit, so that its sender
gets the refusal; beyond it the connection is closed."""

HANDLER_FAILED = define_event(
    1200, "handler_failed", "error", "A request met an error that is a fault of ours; report it."
)


@stream_request_body
class BaseHandler(RequestHandler):
    """Reads a bounded body, answers typed errors as problem+json, and echoes the request id."""

    body_limit_bytes = 0
    """The largest body in bytes; set when the application is made."""

    def initialize(self, body_limit_bytes: int, **state: Any) -> None:
        """Takes what the application gives to each handler.

        Args:
            body_limit_bytes: The largest body.
            **state: Set as attributes.
        """
        self.body_limit_bytes = body_limit_bytes
        for name, value in state.items():
            setattr(self, name, value)
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._task: asyncio.Task[Any] | None = None

    def prepare(self) -> None:
        """Gives the request its id and refuses a body that says it is too large."""
        requested_id = self.request.headers.get(REQUEST_ID_HEADER, "")
        usable = 0 < len(requested_id) <= MAX_REQUEST_ID_LENGTH and requested_id.isprintable()
        self.caller_request_id = requested_id if usable else ""
        self.request_id = secrets.token_hex(12)
        self.set_header(REQUEST_ID_HEADER, self.caller_request_id or self.request_id)
        self.request.connection.set_max_body_size(  # type: ignore[union-attr]
            self.body_limit_bytes * BODY_DRAIN_FACTOR
        )
        length = self.request.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self.body_limit_bytes:
            self._raise_body_too_large()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Keeps a part of the body."""
        self._received_bytes += len(chunk)
        if self._received_bytes <= self.body_limit_bytes:
            self._chunks.append(chunk)
        return None

    @property
    def body(self) -> bytes:
        """The whole body.

        Raises:
            BodyTooLargeError: When it is over the limit.
        """
        if self._received_bytes > self.body_limit_bytes:
            self._raise_body_too_large()
        return b"".join(self._chunks)

    def json_body(self) -> dict[str, Any]:
        """The body as a JSON object.

        Raises:
            BadRequestError: When it is none.
        """
        try:
            decoded = msgspec.json.decode(self.body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise BadRequestError(f"The body is not JSON: {error}.") from error
        if not isinstance(decoded, dict):
            raise BadRequestError("The body is no JSON object; send one with 'model'.")
        return decoded

    def bearer_token(self) -> str:
        """The key or token that the request carries.

        Raises:
            UnauthorizedError: When it carries none.
        """
        scheme, _, value = self.request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not value.strip():
            raise UnauthorizedError()
        return value.strip()

    async def run_cancellable(self, work: Awaitable[None]) -> None:
        """Runs the handler's work; it is cancelled when the other end goes away."""
        self._task = asyncio.ensure_future(work)
        await self._task

    def on_connection_close(self) -> None:
        """Ends the work of a request whose caller has gone."""
        if self._task and not self._task.done():
            self._task.cancel()

    def write_json(self, value: Any, status: int = 200) -> None:
        """Answers with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(value))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers an error as problem+json with code, remedy and whether the work ran."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        problem = _to_typed_error(error, status_code, self.request.path)
        # send_error has cleared the headers.
        self.set_header(REQUEST_ID_HEADER, self.caller_request_id or self.request_id)
        if isinstance(problem, BodyTooLargeError):
            # Tornado closes a connection on which it answered before the body was read.
            self.set_header("Connection", "close")
        if problem.retry_after_ms is not None:
            self.set_header("Retry-After", str(-(-problem.retry_after_ms // 1_000)))
        self.set_status(problem.status)
        self.set_header("Content-Type", "application/problem+json")
        self.finish(msgspec.json.encode(self.problem_body(problem)))

    def problem_body(self, error: MastickeelError) -> dict[str, Any]:
        """Returns the body of a refusal, with the ``error`` object that client libraries read."""
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
        """Logs only what is a fault of ours; refusals are counted elsewhere."""
        if not isinstance(value, MastickeelError | HTTPError | asyncio.CancelledError):
            log(HANDLER_FAILED, error=repr(value), path=self.request.path, exc_info=value)

    def _raise_body_too_large(self) -> None:
        raise BodyTooLargeError(f"The body may have {self.body_limit_bytes} bytes.")


class UnknownPathHandler(BaseHandler):
    """Answers every path that nothing else does."""

    async def get(self) -> None:
        """Refuses the request."""
        raise NotFoundError(f"Nothing answers at {self.request.path}.")

    post = put = delete = patch = head = options = get


def _to_typed_error(error: BaseException | None, status_code: int, path: str) -> MastickeelError:
    """Returns the typed error for whatever a handler raised."""
    if isinstance(error, MastickeelError):
        return error
    if status_code == 405:
        return MethodNotAllowedError(f"{path} does not answer this method.")
    if status_code == 404:
        return NotFoundError(f"Nothing answers at {path}.")
    if isinstance(error, HTTPError) and status_code < 500:
        return BadRequestError(error.log_message or str(error))
    return MastickeelError(ran=ExecutionStatus.UNKNOWN)

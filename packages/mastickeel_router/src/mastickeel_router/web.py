"""Base handler for callers and operators: request ids, typed errors and JSON bodies."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING, Any

import msgspec
from tornado.web import HTTPError, RequestHandler, stream_request_body

from mastickeel.decoding import decode_json
from mastickeel.errors import (
    BadRequestError,
    ExecutionStatus,
    MastickeelError,
    MethodNotAllowedError,
    NotFoundError,
    UnauthorizedError,
    UnavailableError,
)
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel_router.listeners.applications import ApplicationExchange

if TYPE_CHECKING:
    from collections.abc import Awaitable, Mapping

    from mastickeel_router.listeners import RequestHead

PROBLEM_CONTENT_TYPE = "application/problem+json"
PROBLEM_TYPE = "https://mastickeel.example/problems/"
REQUEST_ID_HEADER = "X-Request-Id"
MAX_REQUEST_ID_LENGTH = 128
DROPPED_BODY_RETRY_MS = 1_000
"""Retry time sent to a caller whose key or route was added while its request was sent."""
JSON_VALUE_BYTES = 72
"""Memory of a decoded JSON value beside its text: an empty object, and its place in a list."""
WIDE_CHARACTER_BYTES = 4
"""Memory of each character of a text that holds one outside the basic plane."""
PASSED_COPIES = 2
"""Copies of a body that are made while it is encoded again and sent."""

HANDLER_FAILED = define_event(
    1200,
    "handler_failed",
    "error",
    "A request failed with an unexpected error, a bug in Mastickeel; report it.",
)


def measure_json_work(head: RequestHead, body: bytearray) -> int:
    """Returns the memory that decoding a JSON body and sending it again takes, in bytes."""
    is_wide = not body.isascii() or b"\\u" in body
    text_bytes = len(body) * (WIDE_CHARACTER_BYTES if is_wide else 1)
    values = body.count(b",") + body.count(b"[") + body.count(b"{")
    return PASSED_COPIES * len(body) + text_bytes + values * JSON_VALUE_BYTES


def write_refusal(error: MastickeelError) -> tuple[int, dict[str, str], bytes]:
    """Returns status, headers and body of a listener's refusal, which has not run."""
    request_id = secrets.token_hex(12)
    fields = {REQUEST_ID_HEADER: request_id, "Content-Type": PROBLEM_CONTENT_TYPE}
    if error.retry_after_ms is not None:
        fields["Retry-After"] = format_retry_after(error.retry_after_ms)
    return error.status, fields, msgspec.json.encode(describe_problem(error, request_id))


def format_retry_after(retry_after_ms: int) -> str:
    """Returns a retry time as whole seconds, rounded up."""
    return str(-(-retry_after_ms // 1_000))


def describe_problem(error: MastickeelError, request_id: str) -> dict[str, Any]:
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
        "request_id": request_id,
        "error": {"message": message, "type": error.code, "code": error.code, "param": None},
    }


def parse_bearer(headers: Mapping[str, str]) -> str:
    """Returns the API key or operator token in a request's headers.

    Raises:
        UnauthorizedError: When the request has no bearer token.
    """
    scheme, _, value = headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not value.strip():
        raise UnauthorizedError()
    return value.strip()


# Tornado would parse forms in a body that is not streamed, at many times its size.
@stream_request_body
class BaseHandler(RequestHandler):
    """Answers typed errors as problem+json, and echoes the request id."""

    def initialize(self, **state: Any) -> None:
        """Sets the arguments that the application passes to each handler.

        Args:
            **state: Values to set as attributes.
        """
        for name, value in state.items():
            setattr(self, name, value)
        self._body = b""
        self._task: asyncio.Task[Any] | None = None

    def prepare(self) -> None:
        """Assigns the request id."""
        requested_id = self.request.headers.get(REQUEST_ID_HEADER, "")
        usable = 0 < len(requested_id) <= MAX_REQUEST_ID_LENGTH and requested_id.isprintable()
        self.caller_request_id = requested_id if usable else ""
        self.request_id = secrets.token_hex(12)
        self.set_header(REQUEST_ID_HEADER, self.caller_request_id or self.request_id)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Keeps the body, which the listener passes on in one piece."""
        self._body = chunk
        return None

    @property
    def body(self) -> bytes:
        """The complete body.

        Raises:
            UnavailableError: When the body was not kept, as nothing was known that reads it.
        """
        connection = self.request.connection
        if isinstance(connection, ApplicationExchange) and connection.body_dropped:
            raise UnavailableError(
                "The key or the route was added while the request was sent.",
                retry_after_ms=DROPPED_BODY_RETRY_MS,
            )
        return self._body

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
        return parse_bearer(self.request.headers)

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
        if problem.retry_after_ms is not None:
            self.set_header("Retry-After", format_retry_after(problem.retry_after_ms))
        self.set_status(problem.status)
        self.set_header("Content-Type", PROBLEM_CONTENT_TYPE)
        self.finish(msgspec.json.encode(self.problem_body(problem)))

    def problem_body(self, error: MastickeelError) -> dict[str, Any]:
        """Returns the problem+json body for an error of this request."""
        return describe_problem(error, self.caller_request_id or self.request_id)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs unexpected errors only; the callers' handlers count refusals in a metric."""
        if not isinstance(value, MastickeelError | HTTPError | asyncio.CancelledError):
            log(HANDLER_FAILED, error=repr(value), path=self.request.path, exc_info=value)


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

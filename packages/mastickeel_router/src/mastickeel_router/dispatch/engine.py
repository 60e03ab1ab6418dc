"""Sends, resumes and cancels requests on one engine over its OpenAI-compatible API."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from mastickeel.addresses import Address
from mastickeel.errors import EndpointError, ExecutionStatus, MastickeelError
from mastickeel.httpmessages import (
    AnswerTooLargeError,
    ExchangeBrokenError,
    HttpRequest,
    Timeouts,
)
from mastickeel.streaming import StreamedExchange

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.httpclient import HttpClient
    from mastickeel.httpmessages import HttpHead
    from mastickeel.model import Endpoint
    from mastickeel_router.dispatch.answer import AnswerStream
    from mastickeel_router.requests import ChatRequest

CHAT_PATH = "/v1/chat/completions"
RESUME_HEADER = "X-Resume-From"
DEADLINE_HEADER = "X-Deadline-Ms"
CONNECT_TIMEOUT_MS = 1_000
FIRST_BYTE_TIMEOUT_MS = 5_000
PIECE_TIMEOUT_MS = 5_000
"""Silence after which a stream is resumed over another connection."""
CALLER_STALL_TIMEOUT_MS = 30_000
"""Time without reads after which a request of a caller fails."""
CANCEL_TIMEOUTS = Timeouts(connect_ms=1_000, first_byte_ms=2_000, between_bytes_ms=2_000)
NOT_RUN_STATUSES = frozenset({400, 401, 403, 404, 409, 413, 422, 429, 503})
"""Statuses by which an engine reports that it did not run the request."""
BAD_REQUEST_STATUSES = frozenset({400, 413, 422})
"""Statuses caused by the request itself, which every other endpoint would refuse too."""
MAX_REFUSAL_BYTES = 400
REFUSAL_TIMEOUT_MS = 1_000
"""Time for the text of a refusal, which only explains what its status says."""


class EndpointRefusedError(EndpointError):
    """Raised when an endpoint answered with an error instead of running the request."""

    code = "endpoint_refused"
    title = "The endpoint refused the request."


class RequestRefusedError(EndpointRefusedError):
    """Raised when the endpoint refused a request as invalid."""

    code = "request_refused"
    status = 400
    title = "The model refused the request as invalid."
    remedy = "Correct the request as the detail says, and send it again."
    ran = ExecutionStatus.NO


class CallerStalledError(MastickeelError):
    """Raised when a caller has not read from its answer for too long."""

    code = "caller_stalled"
    status = 408
    title = "The caller stopped reading its answer."
    remedy = "Read the answer as it arrives, or request it without streaming."
    ran = ExecutionStatus.YES


@dataclass(frozen=True)
class Send:
    """A request to send to an engine."""

    request: ChatRequest
    version_id: str
    endpoint: Endpoint
    resume: bool
    """Whether the engine is to continue from the answer's offset."""


async def read_answer(
    client: HttpClient, send: Send, answer: AnswerStream, before_send: Callable[[], object]
) -> None:
    """Sends a request and reads its answer until the engine's end mark.

    Args:
        client: Sends the request.
        send: The request and the engine to send it to.
        answer: Receives the engine's events.
        before_send: Called just before the send; raises when the request must not be sent.

    Raises:
        ConnectionFailedError: When the connection failed before the request was sent.
        EndpointRefusedError: When the engine answered with an error.
        ExchangeBrokenError: When the connection broke, was silent, or ended without the end mark.
        CallerStalledError: When the caller stopped reading.
    """
    reader = _ConnectionReader(client, answer)
    timeouts = Timeouts(CONNECT_TIMEOUT_MS, FIRST_BYTE_TIMEOUT_MS, PIECE_TIMEOUT_MS)
    answer.reset_buffer()
    exchange = StreamedExchange(
        client, on_head=reader.on_head, on_data=reader.on_data, timeouts=timeouts
    )
    try:
        await exchange.run(
            Address.parse(send.endpoint.address),
            _engine_request(send, answer.offset, client.clock.now()),
            before_send,
        )
    except ExchangeBrokenError:
        if not (answer.ended or reader.is_refused):
            raise
    reader.raise_unless_ended(send.endpoint)


async def cancel_on_engine(client: HttpClient, endpoint: Endpoint, request_id: str) -> None:
    """Cancels a request on an engine.

    Args:
        client: Sends the call.
        endpoint: The engine.
        request_id: The id of the request to cancel.

    Raises:
        ConnectionFailedError: When the engine cannot be reached.
        ExchangeBrokenError: When the engine did not answer the call.
    """
    request = HttpRequest("POST", f"/v1/requests/{request_id}/cancel")
    await client.call(Address.parse(endpoint.address), request, CANCEL_TIMEOUTS)


class _ConnectionReader:
    """Reads an engine's response over one connection."""

    def __init__(self, client: HttpClient, answer: AnswerStream) -> None:
        self._clock = client.clock
        self._answer = answer
        self._status = 0
        self._refusal = bytearray()
        self._head_at_ms = 0

    @property
    def is_refused(self) -> bool:
        """Whether the head of the response is that of a refusal."""
        return self._status not in (0, 200)

    def on_head(self, head: HttpHead) -> None:
        """Records the status of the response."""
        self._status = head.status
        self._head_at_ms = self._clock.now()

    def on_data(self, chunk: bytes) -> Awaitable[None] | None:
        """Passes a chunk of the answer on, or collects the text of a refusal.

        Raises:
            AnswerTooLargeError: When enough of a refusal has arrived.
        """
        if self._status != 200:
            self._refusal.extend(chunk[:MAX_REFUSAL_BYTES])
            is_late = self._clock.now() - self._head_at_ms > REFUSAL_TIMEOUT_MS
            if is_late or len(self._refusal) >= MAX_REFUSAL_BYTES:
                raise AnswerTooLargeError("The rest of the refusal is not read.")
            return None
        waiting = self._answer.feed(chunk)
        return None if waiting is None else self._wait_for_caller(waiting)

    async def _wait_for_caller(self, waiting: Awaitable[None]) -> None:
        """Waits until the caller reads on, up to CALLER_STALL_TIMEOUT_MS."""
        try:
            await self._clock.wait_for(asyncio.shield(waiting), CALLER_STALL_TIMEOUT_MS)
        except TimeoutError as error:
            raise CallerStalledError(
                f"The caller read nothing for {CALLER_STALL_TIMEOUT_MS} ms."
            ) from error

    def raise_unless_ended(self, endpoint: Endpoint) -> None:
        """Raises a typed error for a refusal or a missing end mark."""
        if self._status != 200:
            text = self._refusal[:MAX_REFUSAL_BYTES].decode(errors="replace")
            detail = f"{endpoint.id} answered {self._status}: {text}"
            if self._status in BAD_REQUEST_STATUSES:
                raise RequestRefusedError(detail)
            ran = (
                ExecutionStatus.NO if self._status in NOT_RUN_STATUSES else ExecutionStatus.UNKNOWN
            )
            raise EndpointRefusedError(detail, ran=ran)
        if not self._answer.ended:
            raise ExchangeBrokenError(f"{endpoint.id} closed the stream without the end mark.")


def _engine_request(send: Send, offset: int, now_ms: int) -> HttpRequest:
    """Returns the request to the engine, always streamed, so that pieces can be counted.

    The request does not ask the engine to cancel when the connection closes, since a resume needs
    the running request; an abandoned answer is cancelled by its id instead.
    """
    request = send.request
    body = {
        **request.body,
        "model": send.version_id,
        "stream": True,
        "stream_options": {"include_usage": True},
        "priority": request.priority,
    }
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": request.id,
        "X-Account": request.account_id,
    }
    if send.resume:
        headers[RESUME_HEADER] = str(offset)
    if request.deadline_ms is not None:
        headers[DEADLINE_HEADER] = str(max(0, request.deadline_ms - now_ms))
    return HttpRequest("POST", CHAT_PATH, headers, msgspec.json.encode(body))

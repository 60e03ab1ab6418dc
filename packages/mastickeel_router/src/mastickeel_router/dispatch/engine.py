"""Talks to one engine over the OpenAI-compatible surface: sends, resumes and cancels."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from mastickeel.addresses import Address
from mastickeel.errors import EndpointError, MastickeelError, Ran
from mastickeel.httpmessages import ExchangeBrokenError, HttpRequest, Waits
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
"""A stream that says nothing for this long is read anew over another connection."""
CALLER_STALL_TIMEOUT_MS = 30_000
"""A caller that takes nothing for this long is given up."""
CANCEL_TIMEOUTS = Waits(connect_ms=1_000, first_byte_ms=2_000, between_ms=2_000)
NOT_RUN_STATUSES = frozenset({400, 401, 403, 404, 409, 413, 422, 429, 503})
"""Statuses with which an engine says that it did not run the request."""
BAD_REQUEST_STATUSES = frozenset({400, 413, 422})
"""Statuses that are about the request itself, so that no other endpoint would take it either."""
MAX_REFUSAL_BYTES = 400


class EndpointRefusedError(EndpointError):
    """Raised when an endpoint answered with an error instead of running the request."""

    code = "endpoint_refused"
    title = "The endpoint refused the request."


class RequestRefusedError(EndpointRefusedError):
    """Raised when the endpoint says that the request itself is wrong."""

    code = "request_refused"
    status = 400
    title = "The model refuses the request as it stands."
    remedy = "Correct the request as the detail says, and send it again."
    ran = Ran.NO


class CallerStalledError(MastickeelError):
    """Raised when a caller takes nothing of its answer for too long."""

    code = "caller_stalled"
    status = 408
    title = "The caller does not read its answer."
    remedy = "Read the answer as it comes, or ask for a whole one."
    ran = Ran.YES


@dataclass(frozen=True)
class Send:
    """One send of a request to an engine."""

    request: ChatRequest
    version_id: str
    endpoint: Endpoint
    resume: bool
    """Whether it goes on from the answer's offset."""


async def read_answer(
    client: HttpClient, send: Send, answer: AnswerStream, before_send: Callable[[], object]
) -> None:
    """Sends a request and reads its answer until the engine's end mark.

    Args:
        client: Sends the request.
        send: What goes where.
        answer: Takes what comes.
        before_send: Asked just before the send; raises when the request may not be sent any more.

    Raises:
        ConnectionFailedError: When nothing was sent.
        EndpointRefusedError: When the engine answered with an error.
        ExchangeBrokenError: When the connection broke, was silent, or ended without the end mark.
        CallerStalledError: When the caller takes nothing.
    """
    part = _ConnectionReader(client, answer)
    waits = Waits(CONNECT_TIMEOUT_MS, FIRST_BYTE_TIMEOUT_MS, PIECE_TIMEOUT_MS)
    answer.reset_buffer()
    exchange = StreamedExchange(client, on_head=part.on_head, on_data=part.on_data, waits=waits)
    try:
        await exchange.run(
            Address.parse(send.endpoint.address),
            _engine_request(send, answer.offset, client.clock.now()),
            before_send,
        )
    except ExchangeBrokenError:
        if not answer.ended:
            raise
    part.raise_unless_ended(send.endpoint)


async def cancel_on_engine(client: HttpClient, endpoint: Endpoint, request_id: str) -> None:
    """Tells an engine that nobody waits for an answer any more.

    Args:
        client: Sends the call.
        endpoint: The engine.
        request_id: Whose answer.

    Raises:
        ConnectionFailedError: When the engine cannot be reached.
        ExchangeBrokenError: When it did not answer.
    """
    call = HttpRequest("POST", f"/v1/requests/{request_id}/cancel")
    await client.call(Address.parse(endpoint.address), call, CANCEL_TIMEOUTS)


class _ConnectionReader:
    """What has come over one connection."""

    def __init__(self, client: HttpClient, answer: AnswerStream) -> None:
        self._clock = client.clock
        self._answer = answer
        self._status = 0
        self._refusal = bytearray()

    def on_head(self, head: HttpHead) -> None:
        """Notes the status."""
        self._status = head.status

    def on_data(self, chunk: bytes) -> Awaitable[None] | None:
        """Hands a part of the answer on."""
        if self._status != 200:
            self._refusal.extend(chunk[:MAX_REFUSAL_BYTES])
            return None
        waiting = self._answer.feed(chunk)
        return None if waiting is None else self._wait_for_caller(waiting)

    async def _wait_for_caller(self, waiting: Awaitable[None]) -> None:
        """Waits until the caller has room, at most for a while."""
        try:
            await self._clock.wait_for(asyncio.shield(waiting), CALLER_STALL_TIMEOUT_MS)
        except TimeoutError as error:
            raise CallerStalledError(
                f"The caller took nothing for {CALLER_STALL_TIMEOUT_MS} ms."
            ) from error

    def raise_unless_ended(self, endpoint: Endpoint) -> None:
        """Turns a refusal or a missing end mark into a typed error."""
        if self._status != 200:
            text = self._refusal[:MAX_REFUSAL_BYTES].decode(errors="replace")
            detail = f"{endpoint.id} answered {self._status}: {text}"
            if self._status in BAD_REQUEST_STATUSES:
                raise RequestRefusedError(detail)
            ran = Ran.NO if self._status in NOT_RUN_STATUSES else Ran.UNKNOWN
            raise EndpointRefusedError(detail, ran=ran)
        if not self._answer.ended:
            raise ExchangeBrokenError(f"{endpoint.id} ended the answer without its end mark.")


def _engine_request(send: Send, offset: int, now_ms: int) -> HttpRequest:
    """Writes the request as the engine wants it; always streamed, so that pieces can be counted.

    The engine is not asked to cancel when the connection closes, since a resume needs what runs
    there: whoever gives an answer up cancels it by name.
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

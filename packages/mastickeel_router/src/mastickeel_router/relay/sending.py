"""One send to one endpoint: the answer is checked, collected or passed on as it comes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel.httpmessages import (
    ConnectionFailedError,
    ExchangeBrokenError,
    ForeignAnswerError,
    Waits,
)
from mastickeel_router.relay.policy import SendOutcome, SendResult, classify_answer
from mastickeel_router.routes import RouteKind
from mastickeel_router.sse import EventSplitter, event_sequence

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.httpclient import HttpClient
    from mastickeel.httpmessages import HttpHead, HttpRequest
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.relay.listener import Responder
    from mastickeel_router.relay.types import AnswerHead, CallerRequest, Dialect, Progress
    from mastickeel_router.routes import Route

CONNECT_TIMEOUT_MS = 500
"""The longest wait for a connection: far above the millisecond that endpoints take, and one lost
packet's repeat."""
FIRST_EVENT_TIMEOUT_OBJECTIVES = 2.5
"""How many latency objectives a stream's first event may take before another endpoint is asked;
callers leave after four. Less would send queued work again, when load is at its worst."""
EVENT_TIMEOUT_MS = 4_000
"""The longest silence between events before a stream is taken to be lost: above the pauses that
preemption brings, below the eight seconds after which callers leave."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class StreamGapError(MastickeelError):
    """Raised when a stream skips an event or goes back: its channel is given up."""

    code = "stream_gap"
    status = 502
    title = "The endpoint's stream has a gap."
    remedy = "Send the request again."


class AnswerTooLargeError(MastickeelError):
    """Raised when a whole answer does not fit into memory."""

    code = "answer_too_large"
    status = 502
    title = "The endpoint's answer is too large to be checked whole."
    remedy = "Ask for less, or use a streaming route."


class AnswerDroppedError(MastickeelError):
    """Raised to give up an answer before any of it reaches the caller."""

    code = "answer_dropped"
    title = "The answer was given up for one of a larger model."


async def send_request(
    client: HttpClient,
    http_request: HttpRequest,
    endpoint: EndpointRecord,
    answer: AnswerCollector,
    *,
    route: Route,
    remaining_ms: float,
) -> SendResult:
    """Sends one request and collects or passes on its answer.

    Args:
        client: Makes the connection.
        http_request: As it goes out.
        endpoint: Where to.
        answer: Takes the answer.
        route: The request's route.
        remaining_ms: Time left until the caller's deadline.

    Returns:
        How the send ended; errors of the exchange are a part of that.
    """
    waits = _timeouts(route, remaining_ms)
    try:
        # A kept connection may be dead, silent or hold an answer to somebody else; a new one
        # costs the endpoint a millisecond.
        connection = await client.connect(endpoint.address, waits=waits, fresh=True)
    except ConnectionFailedError as error:
        return SendResult(SendOutcome.UNREACHED, reason=f"{error.code}: {error.detail}")
    answer.record_start()
    try:
        await connection.exchange(
            http_request, on_head=answer.on_head, on_data=answer.on_data, waits=waits
        )
    except AnswerDroppedError as error:
        return SendResult(SendOutcome.DROPPED, answer.head, reason=error.code)
    except (ExchangeBrokenError, StreamGapError, AnswerTooLargeError) as error:
        return SendResult(SendOutcome.BROKEN, answer.head, reason=f"{error.code}: {error.detail}")
    finally:
        connection.close()
    return await answer.finish()


def _timeouts(route: Route, remaining_ms: float) -> Waits:
    """Returns the limits on each wait; a plain answer may take all of the time that is left."""
    first_ms = between_ms = remaining_ms
    if route.kind is RouteKind.STREAM:
        first_ms = min(remaining_ms, FIRST_EVENT_TIMEOUT_OBJECTIVES * route.objective_ms)
        between_ms = min(remaining_ms, EVENT_TIMEOUT_MS)
    return Waits(min(CONNECT_TIMEOUT_MS, remaining_ms), first_ms, between_ms)


class AnswerCollector:
    """Takes the answer to one send: keeps a whole one, passes a stream on event by event."""

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        *,
        dialect: Dialect,
        responder: Responder,
        progress: Progress,
        accept_head: Callable[[AnswerHead], bool],
    ) -> None:
        """Makes a collector for one send.

        Args:
            request: What was asked.
            route: Its route.
            dialect: Reads the head.
            responder: Takes a stream's events.
            progress: What the caller has so far.
            accept_head: Tells from a stream's head whether to forward the answer.
        """
        self.head: AnswerHead | None = None
        """Status and headers, once they have arrived."""
        self.expects_stream = route.kind is RouteKind.STREAM
        """Whether the route's answers are streams."""
        self._request = request
        self._route = route
        self._dialect = dialect
        self._responder = responder
        self._progress = progress
        self._accept_head = accept_head
        self._parts: list[bytes] = []
        self._received = 0
        self._splitter = EventSplitter()

    @property
    def _is_forwarded(self) -> bool:
        """Whether the answer is a stream that goes to the caller as it comes."""
        head = self.head
        return (
            self.expects_stream
            and head is not None
            and classify_answer(head, expects_stream=True) is SendOutcome.WHOLE
            and head.status == 200
        )

    def record_start(self) -> None:
        """Notes that the request leaves: from now on it may run."""
        self._progress.may_have_run = True

    def on_head(self, http_head: HttpHead) -> None:
        """Takes status and headers."""
        head = self._dialect.read_answer(http_head)
        if head.request_id and head.request_id != self._request.id:
            raise ForeignAnswerError(f"It names {head.request_id}, not {self._request.id}.")
        self.head = head
        if self._is_forwarded and not self._progress.head_forwarded and not self._accept_head(head):
            raise AnswerDroppedError()

    def on_data(self, chunk: bytes) -> Awaitable[None] | None:
        """Takes a part of the body."""
        if self._is_forwarded:
            events = self._splitter.split(chunk)
            return self._forward(events) if events else None
        self._received += len(chunk)
        if self._received > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError(f"It is over {MAX_ANSWER_BYTES} bytes.")
        self._parts.append(chunk)
        return None

    async def finish(self) -> SendResult:
        """Judges an answer that has arrived to its end."""
        assert self.head is not None
        end = classify_answer(self.head, expects_stream=self.expects_stream)
        if self._is_forwarded:
            if rest := self._splitter.take_rest():
                await self._write(rest)
            if not self._progress.head_forwarded:
                return SendResult(SendOutcome.BROKEN, self.head, reason="a stream without events")
            self._responder.finish()
        return SendResult(
            end,
            self.head,
            b"".join(self._parts),
            reason="" if end is SendOutcome.WHOLE else f"status {self.head.status}",
        )

    async def _forward(self, events: list[bytes]) -> None:
        """Passes whole events on, in order and each once.

        Raises:
            StreamGapError: After what came before the gap has been passed on.
        """
        fresh: list[bytes] = []
        last = self._progress.last_event
        gap = ""
        for event in events:
            number = event_sequence(event)
            if number is not None and last is not None:
                if number <= last:
                    continue
                if number != last + 1:
                    gap = f"Event {number} came after {last}."
                    break
            last = last if number is None else number
            fresh.append(event)
        if fresh:
            self._progress.last_event = last
            await self._write(b"".join(fresh))
        if gap:
            raise StreamGapError(gap)

    async def _write(self, data: bytes) -> None:
        """Writes to the caller; the head goes with the first event."""
        if self._progress.head_forwarded:
            await self._responder.write_chunk(data)
            return
        assert self.head is not None
        self._progress.head_forwarded = True
        await self._responder.write_head(self.head.status, self.head.headers, data)

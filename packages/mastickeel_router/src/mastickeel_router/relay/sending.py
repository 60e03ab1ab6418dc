"""Sends a request to one endpoint; checks the answer and collects it or forwards it as a stream."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel.httpclient import LimitedBody
from mastickeel.httpmessages import (
    BodyFraming,
    ConnectionFailedError,
    ExchangeBrokenError,
    ForeignAnswerError,
    Timeouts,
    TunnelRefusedError,
)
from mastickeel_router.relay.policy import (
    AnswerEnd,
    SendOutcome,
    SendResult,
    classify_answer,
    is_refusal,
)
from mastickeel_router.routes import RouteKind
from mastickeel_router.sse import (
    EventSplitter,
    event_sequence,
    is_comment,
    is_well_formed,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.clock import Clock
    from mastickeel.httpmessages import ConnectionEnd, HttpHead, HttpRequest
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.listeners.listener import Responder
    from mastickeel_router.listeners.memory import HeldMemory, MemoryShare
    from mastickeel_router.paths import EndpointPaths
    from mastickeel_router.relay.types import AnswerHead, CallerRequest, Dialect, Progress
    from mastickeel_router.routes import Route

CONNECT_TIMEOUT_MS = 500
"""Timeout for a connection: far above the millisecond that endpoints need, and enough for one
packet retransmission."""
FIRST_EVENT_TIMEOUT_OBJECTIVES = 2.5
"""Timeout for a stream's first event, in multiples of the latency objective; callers disconnect
after four. A lower value would send queued requests again when the load is highest."""
EVENT_TIMEOUT_MS = 4_000
"""Timeout between two events of a stream: above the pauses caused by preemption, and below the
eight seconds after which callers disconnect."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_FAILURE_BYTES = 256 * 1024
"""Maximum size of an answer that reports a failure."""


class StreamGapError(MastickeelError):
    """Raised when a stream skips an event or brings something else; its connection is closed."""

    code = "stream_gap"
    status = 502
    title = "The endpoint's stream does not go on with the next event."
    remedy = "Send the request again."


class StreamStalledError(MastickeelError):
    """Raised when bytes of a stream arrive, but no event is complete in time."""

    code = "stream_stalled"
    status = 504
    title = "The endpoint's stream brought no complete event in time."
    remedy = "Send the request again."


class AnswerDroppedError(MastickeelError):
    """Raised to discard an answer before any of it reaches the caller."""

    code = "answer_dropped"
    title = "The answer was discarded in favour of a larger model's answer."


class BodyNotNeededError(MastickeelError):
    """Raised when the head of an answer shows that its body will not be used."""

    code = "body_not_needed"
    title = "The answer's head decides what follows."


async def send_request(
    paths: EndpointPaths,
    http_request: HttpRequest,
    endpoint: EndpointRecord,
    answer: AnswerCollector,
    *,
    route: Route,
    remaining_ms: float,
    may_send: Callable[[], bool],
) -> SendResult:
    """Sends one request and collects or forwards its answer.

    Args:
        paths: Opens the connection.
        http_request: The request as written to the endpoint.
        endpoint: The endpoint.
        answer: Collects or forwards the answer.
        route: The request's route.
        remaining_ms: Time left until the caller's deadline.
        may_send: Tells once the connection is open whether the endpoint still wants the request.

    Returns:
        The result of the send, which includes errors of the exchange.
    """
    timeouts = _timeouts(route, remaining_ms)
    try:
        connection = await paths.connect(endpoint, timeouts)
    except ConnectionFailedError as error:
        return SendResult(
            SendOutcome.UNREACHED,
            reason=f"{error.code}: {error.detail}",
            path_lost=paths.is_lost(endpoint.id) and not isinstance(error, TunnelRefusedError),
        )
    if connection.has_unread_bytes:
        connection.close()
        return SendResult(SendOutcome.UNREACHED, reason="the endpoint spoke before the request")
    if not may_send():
        connection.close()
        return SendResult(SendOutcome.WITHHELD, reason="the endpoint wants no request now")
    answer.record_start(connection.close)
    try:
        await connection.exchange(
            http_request, on_head=answer.on_head, on_data=answer.on_data, timeouts=timeouts
        )
        result = await answer.finish()
    except AnswerDroppedError as error:
        result = SendResult(SendOutcome.DROPPED, answer.head, reason=error.code)
    except BodyNotNeededError:
        result = answer.result()
    except (ExchangeBrokenError, StreamGapError, StreamStalledError) as error:
        result = SendResult(SendOutcome.BROKEN, answer.head, reason=f"{error.code}: {error.detail}")
    finally:
        answer.release_events()
        end = answer.describe_end(connection.end)
        connection.close()
    if result.outcome is not SendOutcome.WHOLE:
        answer.release()
    return replace(result, end=end, via=connection.via)


def _timeouts(route: Route, remaining_ms: float) -> Timeouts:
    """Returns the timeouts of a send; a plain answer may use all of the remaining time."""
    first_ms = between_ms = remaining_ms
    if route.kind is RouteKind.STREAM:
        first_ms = min(remaining_ms, FIRST_EVENT_TIMEOUT_OBJECTIVES * route.objective_ms)
        between_ms = min(remaining_ms, EVENT_TIMEOUT_MS)
    return Timeouts(min(CONNECT_TIMEOUT_MS, remaining_ms), first_ms, between_ms)


class AnswerCollector:
    """Receives the answer to one send: collects a plain answer, or forwards a stream's events."""

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        *,
        clock: Clock,
        memory: HeldMemory,
        dialect: Dialect,
        responder: Responder,
        progress: Progress,
        accept_head: Callable[[AnswerHead], bool],
        observe_head: Callable[[AnswerHead], None],
    ) -> None:
        """Creates a collector for one send.

        Args:
            request: The caller's request.
            route: The request's route.
            clock: Times the events of a stream.
            memory: Bounds what is held for all requests together.
            dialect: Parses the answer's head.
            responder: Writes a stream's events to the caller.
            progress: Progress of the request; updated as the answer arrives.
            accept_head: Tells from a stream's head whether to forward the answer.
            observe_head: Called with the head of each answer to this request.
        """
        self.head: AnswerHead | None = None
        """Status and headers of the answer; None until they arrive."""
        self.expects_stream = route.kind is RouteKind.STREAM
        """Whether the route's answers are streams."""
        self._request = request
        self._route = route
        self._clock = clock
        self._memory = memory
        self._share: MemoryShare | None = None
        self._dialect = dialect
        self._responder = responder
        self._progress = progress
        self._accept_head = accept_head
        self._observe_head = observe_head
        self._outcome = SendOutcome.BROKEN
        self._body = LimitedBody(0)
        self._splitter = EventSplitter()
        self._event_at_ms = 0
        self._newest_event: int | None = None
        self._has_forwarded = False
        self._framing: BodyFraming | None = None

    @property
    def _is_forwarded(self) -> bool:
        """Whether the answer is a stream that is forwarded to the caller as it arrives."""
        return (
            self.expects_stream
            and self.head is not None
            and self._outcome is SendOutcome.WHOLE
            and self.head.status == 200
        )

    def record_start(self, end_exchange: Callable[[], None]) -> None:
        """Records that the request is being sent and may run from now on.

        Args:
            end_exchange: Ends the exchange when the answer's memory is needed for others.
        """
        self._progress.may_have_run = True

        def give_up() -> None:
            self._forget_body()
            end_exchange()

        self._share = self._memory.open_share(give_up)

    def begin_delivery(self, body_bytes: int, abort: Callable[[], None]) -> None:
        """Records that a collected answer is written to the caller.

        Args:
            body_bytes: Size of the answer.
            abort: Ends the caller's connection when the answer's memory is needed for others.

        Raises:
            AnswerTooLargeError: When the memory is full and this answer is given up.
        """
        if self._share is not None:
            self._share.on_evict = abort
            self._share.resize(body_bytes)

    def release(self) -> None:
        """Returns the memory of the answer."""
        self._forget_body()
        if self._share is not None:
            self._share.close()

    def _forget_body(self) -> None:
        """Drops what has been collected; the objects of a request are freed some time later."""
        self._body.drop()
        self._splitter.clear()

    def release_events(self) -> None:
        """Returns the memory of an event that was not complete."""
        if self._share is not None:
            self._share.shrink(self._body.size)

    def on_head(self, http_head: HttpHead) -> None:
        """Handles status and headers.

        Raises:
            ForeignAnswerError: When the answer names another request.
            AnswerDroppedError: When a larger model should answer instead.
            BodyNotNeededError: When the answer is not delivered, whatever its body is.
        """
        head = self._dialect.read_answer(http_head)
        if head.request_id and head.request_id != self._request.id:
            raise ForeignAnswerError(f"The answer names {head.request_id}, not {self._request.id}.")
        if is_refusal(head) and not head.request_id:
            # It may be an earlier refusal that the endpoint has written once more.
            raise ForeignAnswerError("A refusal names no request.")
        self.head = head
        self._outcome = classify_answer(head, expects_stream=self.expects_stream)
        self._framing = http_head.framing
        self._observe_head(head)
        self._event_at_ms = self._clock.now()
        if self._outcome in (SendOutcome.NOT_RUN, SendOutcome.BROKEN):
            raise BodyNotNeededError()
        self._body = LimitedBody(MAX_ANSWER_BYTES if head.status < 300 else MAX_FAILURE_BYTES)
        if self._is_forwarded and not self._progress.head_forwarded and not self._accept_head(head):
            raise AnswerDroppedError()

    def on_data(self, chunk: bytes) -> Awaitable[None] | None:
        """Handles a part of the body.

        Raises:
            AnswerTooLargeError: When a collected answer or an event is over the size limit.
            StreamStalledError: When no event has been complete for too long.
        """
        assert self.head is not None
        if self.head.is_stream:
            events = self._splitter.split(chunk)
            now = self._clock.now()
            if not events and now - self._event_at_ms > EVENT_TIMEOUT_MS:
                raise StreamStalledError(f"No event was complete for {EVENT_TIMEOUT_MS} ms.")
            if events:
                self._event_at_ms = now
            if self._is_forwarded:
                self._hold(self._splitter.held_bytes)
                return self._forward(events) if events else None
        self._body.append(chunk)
        self._hold(self._body.held_bytes + self._splitter.held_bytes)
        return None

    def _hold(self, size: int) -> None:
        """Records the memory that the answer holds."""
        assert self._share is not None
        if size != self._share.size:
            self._share.resize(size)

    async def finish(self) -> SendResult:
        """Completes an answer whose framing is complete and returns the result of the send.

        Raises:
            StreamGapError: When the last event follows a gap.
        """
        assert self.head is not None
        if self.head.is_stream:
            events = self._splitter.finish()
            if events and self._is_forwarded:
                await self._forward(events)
            if reason := self._find_missing_part():
                return SendResult(SendOutcome.BROKEN, self.head, reason=reason)
        if self._is_forwarded:
            self._responder.finish()
        return self.result()

    def _find_missing_part(self) -> str:
        """Returns why a stream whose framing is complete has been cut off; empty if it has not."""
        if self._splitter.pending_bytes:
            return "the stream ended inside an event"
        if not self._is_forwarded:
            return ""
        if not self._progress.head_forwarded:
            return "the stream had no events"
        newest, forwarded = self._newest_event, self._progress.last_event
        if newest is not None and forwarded is not None and newest < forwarded:
            return f"the stream ended at event {newest}, before event {forwarded}"
        if not self._has_forwarded and self._framing is BodyFraming.CONNECTION:
            return "the resumed stream had no new events"
        return ""

    def result(self) -> SendResult:
        """Returns the result of a send whose answer is complete, or of which the head decides."""
        assert self.head is not None
        outcome = self._outcome
        reason = "" if outcome is SendOutcome.WHOLE else f"status {self.head.status}"
        return SendResult(
            outcome, self.head, self._body.take(), reason=reason, is_forwarded=self._is_forwarded
        )

    def describe_end(self, connection: ConnectionEnd) -> AnswerEnd | None:
        """Describes how the answer ended; returns None when no head has arrived.

        Args:
            connection: How the connection ended.
        """
        if self._framing is None:
            return None
        return AnswerEnd(self._framing, connection, self._splitter.pending_bytes)

    async def _forward(self, events: list[bytes]) -> None:
        """Forwards complete events in order and each once; skips events already forwarded.

        Raises:
            StreamGapError: When an event is missing or malformed; the events before it are
                forwarded first.
        """
        fresh: list[bytes] = []
        last = self._progress.last_event
        gap = ""
        for event in events:
            number = event_sequence(event)
            if not is_well_formed(event):
                gap = f"Bytes that are no event followed event {last}."
                break
            if number is None and last is not None and not is_comment(event):
                gap = f"An event without a number followed event {last}."
                break
            self._newest_event = self._newest_event if number is None else number
            if number is not None and last is not None:
                if number <= last:
                    continue
                if number != last + 1:
                    gap = f"Event {number} followed event {last}."
                    break
            last = last if number is None else number
            fresh.append(event)
        if fresh:
            self._progress.last_event = last
            self._has_forwarded = True
            await self._write(b"".join(fresh))
        if gap:
            raise StreamGapError(gap)

    async def _write(self, data: bytes) -> None:
        """Writes to the caller, with the answer's head before the first event."""
        if self._progress.head_forwarded:
            await self._responder.write_chunk(data)
            return
        assert self.head is not None
        self._progress.head_forwarded = True
        await self._responder.write_head(self.head.status, self.head.headers, data)

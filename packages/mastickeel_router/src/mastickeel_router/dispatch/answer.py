"""Assembles one answer from the event streams of its connections and endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel.httpmessages import AnswerTooLargeError, ExchangeBrokenError
from mastickeel_router.requests import Usage
from mastickeel_router.sse import EventSplitter, decode_event, event_sequence

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.clock import Clock
    from mastickeel_router.listeners.memory import HeldMemory
    from mastickeel_router.requests import Sink

END_EVENT = b"data: [DONE]\n\n"
NOT_STARTED = -1
ABORT_REASON = "abort"
"""Finish reason that an engine reports when it stopped before the answer was complete."""


class AnswerGapError(ExchangeBrokenError):
    """Raised when a piece is missing; the stream is then resumed at the missing piece."""

    code = "answer_gap"
    title = "A piece of the answer is missing."


class AnswerAbortedError(ExchangeBrokenError):
    """Raised when an engine reports that it stopped before the answer was complete."""

    code = "answer_aborted"
    title = "The engine stopped before the answer was complete."


class AnswerStream:
    """Passes the events of one answer on, each once and in order, and drops stray events.

    Events carry the request's id and a sequence number: 0 for the event with the role, then one
    more for each piece. The events that end an answer carry the number of the last piece.
    """

    def __init__(
        self,
        request_id: str,
        sink: Sink,
        clock: Clock,
        count: Callable[[str], None],
        *,
        memory: HeldMemory,
    ) -> None:
        """Creates an answer without any events.

        Args:
            request_id: The id that the events of this answer carry.
            sink: Receives the accepted events.
            clock: Times the first event.
            count: Counts dropped events, by metric name.
            memory: Counts the event that is not complete; may drop it to find room for others.
        """
        self.sequence = NOT_STARTED
        """Sequence number of the last accepted event."""
        self.ended = False
        """Whether the engine's end mark has been received."""
        self.usage = Usage()
        """Tokens of the answer so far, as last reported by an engine."""
        self.first_piece_at_ms: int | None = None
        """Clock time of the first accepted event, in milliseconds."""
        self.resumable = True
        """Whether the events carry sequence numbers, which a resume needs."""
        self._id = f"chatcmpl-{request_id}"
        self._opening = b'\ndata: {"id":"' + self._id.encode() + b'"'
        self._sink = sink
        self._clock = clock
        self._count = count
        self._finished = False
        self._splitter = EventSplitter()
        self._memory = memory
        self._share = memory.open_share(self._splitter.clear)

    @property
    def started(self) -> bool:
        """Whether any event has been accepted."""
        return self.sequence > NOT_STARTED

    @property
    def offset(self) -> int:
        """Number of accepted pieces, from which a resumed stream continues."""
        return max(0, self.sequence)

    def reset_buffer(self) -> None:
        """Discards the incomplete event that an earlier connection left behind."""
        self.close()
        self._share = self._memory.open_share(self._splitter.clear)

    def close(self) -> None:
        """Discards the incomplete event, and returns its memory."""
        self._splitter.clear()
        self._share.close()

    def feed(self, chunk: bytes) -> Awaitable[None] | None:
        """Passes the events that a chunk completes on to the sink.

        Args:
            chunk: The bytes received from the engine.

        Returns:
            An awaitable to wait for before reading on, when the caller is slow; else None.

        Raises:
            AnswerGapError: When a piece is missing.
            AnswerAbortedError: When the engine stopped before the answer was complete.
            AnswerTooLargeError: When an event is too large, or there is no room for it.
        """
        waiting = None
        events = self._splitter.split(chunk)
        if self._splitter.held_bytes != self._share.size:
            self._hold_event()
        for event in events:
            if self._accept_if_next(event) or self._process_event(event):
                waiting = self._sink.write_event(event)
        return waiting

    def _hold_event(self) -> None:
        """Counts the event that is not complete; raises an error if there is no room for it."""
        try:
            self._share.resize(self._splitter.held_bytes)
        except AnswerTooLargeError:
            self._splitter.clear()
            raise

    def _accept_if_next(self, event: bytes) -> bool:
        """Accepts an event that is the next piece, as most are, without decoding it."""
        next_sequence = self.sequence + 1
        if not event.startswith(b"id: %d%b" % (next_sequence, self._opening)):
            return False
        if b'"usage":{' in event or b'"finish_reason":"' in event:
            return False
        self._record_accepted(next_sequence)
        return True

    def _process_event(self, event: bytes) -> bool:
        """Decodes an event and returns whether to pass it on to the caller."""
        sequence = event_sequence(event)
        if event.endswith(END_EVENT):
            self._accept_end(sequence)
            return False
        try:
            decoded = decode_event(event)
        except msgspec.DecodeError:
            return self._drop("unreadable")
        if decoded.get("id") != self._id:
            return self._drop("crossed")
        if usage := decoded.get("usage"):
            self._check_gap(sequence)
            self.usage = Usage(int(usage["prompt_tokens"]), int(usage["completion_tokens"]))
        if reason := _finish_reason(decoded):
            return self._accept_finish(sequence, reason)
        if not decoded.get("choices"):
            return False
        return self._accept_piece(sequence)

    def _accept_piece(self, sequence: int | None) -> bool:
        """Accepts a piece if it is the next one; drops duplicates."""
        if sequence is None:
            self.resumable = False
            sequence = self.sequence + 1
        if sequence <= self.sequence:
            return self._drop("late")
        if sequence > self.sequence + 1:
            raise AnswerGapError(f"Piece {self.sequence + 1} is missing before piece {sequence}.")
        self._record_accepted(sequence)
        return True

    def _accept_finish(self, sequence: int | None, reason: str) -> bool:
        """Accepts the event with the finish reason, once."""
        self._check_gap(sequence)
        if reason == ABORT_REASON:
            raise AnswerAbortedError("The engine ended the answer with 'abort'.")
        if self._finished:
            return self._drop("late")
        self._finished = True
        return True

    def _accept_end(self, sequence: int | None) -> None:
        """Accepts the end mark; one before the finish reason belongs to another answer."""
        self._check_gap(sequence)
        if not self._finished:
            self._drop("crossed")
            return
        self.ended = True

    def _check_gap(self, sequence: int | None) -> None:
        if sequence is not None and sequence > self.sequence:
            raise AnswerGapError(
                f"The answer ends at piece {sequence}, after piece {self.sequence}."
            )

    def _record_accepted(self, sequence: int) -> None:
        if self.first_piece_at_ms is None:
            self.first_piece_at_ms = self._clock.now()
        self.sequence = sequence

    def _drop(self, reason: str) -> bool:
        self._count(f"dispatch.dropped.{reason}")
        return False


def _finish_reason(event: dict[str, Any]) -> str:
    """Returns the finish reason in an event; empty when the event has none."""
    for choice in event.get("choices", ()):
        if reason := choice.get("finish_reason"):
            return str(reason)
    return ""

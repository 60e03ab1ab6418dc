"""One answer as it arrives, over however many connections and endpoints that takes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel.httpmessages import ExchangeBrokenError
from mastickeel_router.requests import Usage
from mastickeel_router.sse import EventSplitter, decode_event, event_sequence

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.clock import Clock
    from mastickeel_router.requests import Sink

END_EVENT = b"data: [DONE]\n\n"
NOT_STARTED = -1
ABORT_REASON = "abort"
"""The finish reason of an engine that stopped before the answer was whole."""


class AnswerGapError(ExchangeBrokenError):
    """Raised when a piece is missing between two that came: the stream is read anew from there."""

    code = "answer_gap"
    title = "A piece of the answer is missing."


class AnswerAbortedError(ExchangeBrokenError):
    """Raised when an engine says that it stopped before the answer was whole."""

    code = "answer_aborted"
    title = "The engine stopped the answer."


class AnswerStream:
    """The pieces of one answer: takes each once and in order, and drops what is not its own.

    Events carry the request's id and a sequence number: 0 for the one with the role, then one more
    for each piece. The events that end an answer carry the number of the last piece.
    """

    def __init__(
        self, request_id: str, sink: Sink, clock: Clock, count: Callable[[str], None]
    ) -> None:
        """Makes an answer of which nothing has come.

        Args:
            request_id: The id that its events carry.
            sink: Takes its pieces.
            clock: Times the first piece.
            count: Counts the events that are dropped, by name.
        """
        self.sequence = NOT_STARTED
        """The number of the last event taken."""
        self.ended = False
        """Whether the engine's end mark has come."""
        self.usage = Usage()
        """Tokens of the answer so far, once an engine has told them."""
        self.first_piece_at_ms: int | None = None
        """When the first event came."""
        self.resumable = True
        """Whether its events carry numbers; without them it cannot be taken up again."""
        self._id = f"chatcmpl-{request_id}"
        self._opening = b'\ndata: {"id":"' + self._id.encode() + b'"'
        self._sink = sink
        self._clock = clock
        self._count = count
        self._finished = False
        self._splitter = EventSplitter()

    @property
    def started(self) -> bool:
        """Whether any event has been taken."""
        return self.sequence > NOT_STARTED

    @property
    def offset(self) -> int:
        """How many pieces have been taken; where a resume goes on."""
        return max(0, self.sequence)

    def reset_buffer(self) -> None:
        """Forgets what an earlier connection left half read."""
        self._splitter = EventSplitter()

    def feed(self, chunk: bytes) -> Awaitable[None] | None:
        """Hands the whole events of a part of the stream on.

        Args:
            chunk: What arrived.

        Returns:
            What to wait for before more is read, where the caller is slow.

        Raises:
            AnswerGapError: When a piece is missing.
            AnswerAbortedError: When the engine gave up.
        """
        waiting = None
        for event in self._splitter.split(chunk):
            if self._is_next(event) or self._is_wanted(event):
                waiting = self._sink.piece(event)
        return waiting

    def _is_next(self, event: bytes) -> bool:
        """Says, at small cost, whether an event is the next piece; most are."""
        following = self.sequence + 1
        if not event.startswith(b"id: %d%b" % (following, self._opening)):
            return False
        if b'"usage":{' in event or b'"finish_reason":"' in event:
            return False
        self._note_taken(following)
        return True

    def _is_wanted(self, event: bytes) -> bool:
        """Reads an event with care, and says whether it goes to the caller."""
        sequence = event_sequence(event)
        if event.endswith(END_EVENT):
            self._end(sequence)
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
            return self._finish(sequence, reason)
        if not decoded.get("choices"):
            return False
        return self._take_piece(sequence)

    def _take_piece(self, sequence: int | None) -> bool:
        """Takes a piece when it is the next."""
        if sequence is None:
            self.resumable = False
            sequence = self.sequence + 1
        if sequence <= self.sequence:
            return self._drop("late")
        if sequence > self.sequence + 1:
            raise AnswerGapError(f"Piece {self.sequence + 1} is missing before {sequence}.")
        self._note_taken(sequence)
        return True

    def _finish(self, sequence: int | None, reason: str) -> bool:
        """Takes the event that tells why the answer ends, once."""
        self._check_gap(sequence)
        if reason == ABORT_REASON:
            raise AnswerAbortedError("The engine ended the answer with 'abort'.")
        if self._finished:
            return self._drop("late")
        self._finished = True
        return True

    def _end(self, sequence: int | None) -> None:
        """Takes the end mark; one that comes before the finish reason is not this answer's."""
        self._check_gap(sequence)
        if not self._finished:
            self._drop("crossed")
            return
        self.ended = True

    def _check_gap(self, sequence: int | None) -> None:
        if sequence is not None and sequence > self.sequence:
            raise AnswerGapError(f"The answer ends at {sequence}, and {self.sequence} came last.")

    def _note_taken(self, sequence: int) -> None:
        if self.first_piece_at_ms is None:
            self.first_piece_at_ms = self._clock.now()
        self.sequence = sequence

    def _drop(self, why: str) -> bool:
        self._count(f"dispatch.dropped.{why}")
        return False


def _finish_reason(event: dict[str, Any]) -> str:
    """Returns why an answer ends; empty when the event does not say."""
    for choice in event.get("choices", ()):
        if reason := choice.get("finish_reason"):
            return str(reason)
    return ""

"""Sinks for the pieces of an answer: streamed to the caller, or collected into one response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel_router.dispatch import engine
from mastickeel_router.dispatch.intent import IntentOutcome
from mastickeel_router.listeners.applications import ApplicationExchange
from mastickeel_router.listeners.listener import HTTP_WITH_CHUNKS
from mastickeel_router.sse import decode_event

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from mastickeel_router.callers.base import CallerHandler
    from mastickeel_router.listeners.pieces import HeldPieces
    from mastickeel_router.requests import Bill

VERSION_HEADER = "X-Mastickeel-Version"
REPLAYED_HEADER = "Idempotent-Replayed"
"""Marks the outcome of an earlier request with the same idempotency key."""
COST_HEADER = "X-Mastickeel-Cost-Micros"
END_EVENT = b"data: [DONE]\n\n"


class StreamSink:
    """Relays each piece to the caller as it arrives."""

    def __init__(self, handler: CallerHandler) -> None:
        self.started = False
        """Whether a piece has been sent, after which no other version may answer."""
        self._handler = handler
        self._exchange: ApplicationExchange | None = None

    def start(self, version_id: str) -> None:
        """Sets the response headers for the version that answers, unless already sent."""
        if self.started:
            return
        self._handler.set_header("Content-Type", "text/event-stream")
        self._handler.set_header("Cache-Control", "no-cache")
        self._handler.set_header(VERSION_HEADER, version_id)

    def write_event(self, event: bytes) -> Awaitable[None] | None:
        """Sends one piece; the awaitable, if any, ends when the caller can receive more."""
        if self._exchange is not None:
            return self._exchange.write_chunk(event)
        self.started = True
        self._handler.write(event)
        sent = self._handler.flush()
        connection = self._handler.request.connection
        if self._handler.request.version == HTTP_WITH_CHUNKS:
            assert isinstance(connection, ApplicationExchange)
            self._exchange = connection
        return None if sent.done() else sent

    def outcome(self, bill: Bill) -> IntentOutcome:
        """Returns the outcome for a repeated request: the answer was streamed and is not kept."""
        return IntentOutcome(200, "text/event-stream", None)

    async def finish(self, bill: Bill, include_usage: bool) -> None:
        """Sends the usage, if requested, and the end mark."""
        if include_usage:
            final = usage_event(bill)
            self._handler.write(b"data: " + msgspec.json.encode(final) + b"\n\n")
        self._handler.write(END_EVENT)
        await self._finish_or_close()

    async def fail(self, problem: dict[str, Any]) -> None:
        """Ends a started stream with an error event and without the end mark."""
        self._handler.write(b"data: " + msgspec.json.encode(problem) + b"\n\n")
        await self._finish_or_close()

    async def _finish_or_close(self) -> None:
        """Finishes the response; closes the connection when the caller does not read it in time."""
        connection = self._handler.request.connection
        try:
            await self._handler.state.clock.wait_for(
                self._handler.finish(), engine.CALLER_STALL_TIMEOUT_MS
            )
        except TimeoutError:
            assert isinstance(connection, ApplicationExchange)
            connection.close()


class CompleteSink:
    """Collects the pieces of an answer that is sent as one JSON object."""

    def __init__(self, handler: CallerHandler, parts: HeldPieces[str]) -> None:
        self.started = False
        """Always False, as nothing is sent before the end."""
        self._handler = handler
        self._parts = parts
        self._finish_reason = "stop"
        self._first_event: dict[str, Any] = {}

    def start(self, version_id: str) -> None:
        """Discards earlier pieces; the answer starts over on a version."""
        self._parts.clear()
        self._first_event = {}
        self._handler.set_header(VERSION_HEADER, version_id)

    def write_event(self, event: bytes) -> None:
        """Collects one piece."""
        decoded = decode_event(event)
        self._first_event = self._first_event or decoded
        for choice in decoded.get("choices", ()):
            self._parts.append(choice.get("delta", {}).get("content") or "")
            self._finish_reason = choice.get("finish_reason") or self._finish_reason

    def outcome(self, bill: Bill) -> IntentOutcome:
        """Returns the outcome for a repeated request: the whole answer."""
        return IntentOutcome(
            200, "application/json", msgspec.json.encode(self._make_completion(bill))
        )

    async def finish(self, bill: Bill, include_usage: bool) -> None:
        """Sends the collected answer with its cost."""
        self._handler.set_header(COST_HEADER, str(bill.cost))
        self._handler.write_json(self._make_completion(bill))
        self._parts.clear()
        await self._handler.finish()

    def _make_completion(self, bill: Bill) -> dict[str, Any]:
        """Returns the answer as a ``chat.completion`` object."""
        message = {"role": "assistant", "content": "".join(self._parts)}
        return {
            "id": self._first_event.get("id", bill.id),
            "object": "chat.completion",
            "created": self._first_event.get("created", bill.at_ms // 1_000),
            "model": bill.runs[-1].version_id,
            "choices": [{"index": 0, "message": message, "finish_reason": self._finish_reason}],
            "usage": usage_fields(bill),
        }


def usage_event(bill: Bill) -> dict[str, Any]:
    """Returns the last event of a stream, with the usage and the cost."""
    run = bill.runs[-1]
    return {
        "id": bill.id,
        "object": "chat.completion.chunk",
        "created": bill.at_ms // 1_000,
        "model": run.version_id,
        "choices": [],
        "usage": usage_fields(bill),
    }


def usage_fields(bill: Bill) -> dict[str, int]:
    """Returns the usage object, including the cost of the whole request in micros."""
    usage = bill.answer_usage
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "cost_micros": bill.cost,
    }

"""Answers of the engine stand-in, written whole or as server-sent events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from ._engine_faults import EngineFaults
    from ._engine_generation import Generation
    from ._engine_http import Exchange

EVENT_HEADERS = {"Content-Type": "text/event-stream; charset=utf-8", "Cache-Control": "no-cache"}
FOREIGN_ID = "crossed"


async def write_full_answer(exchange: Exchange, generation: Generation, start: int) -> None:
    """Sends the whole answer once the generation has ended.

    Args:
        exchange: The caller's connection.
        generation: The generation to send.
        start: Index of the first piece to send.
    """
    while not generation.ended and not exchange.closed.is_set():
        await generation.wait_for_change(exchange.closed)
    text = "".join(generation.pieces[start : generation.produced])
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": get_finish_reason(generation)}
    body = _make_envelope(generation.request_id, generation.model, "chat.completion", [choice])
    await exchange.json(200, {**body, "usage": generation.usage()})


async def write_stream(
    exchange: Exchange,
    generation: Generation,
    start: int,
    faults: EngineFaults,
    include_usage: bool,
) -> None:
    """Streams an answer until it ends, the connection is lost or a fault interrupts the stream.

    The ``id`` of each event is the number of pieces up to and including that event, so that the
    last id a client received is the offset from which to resume.

    Args:
        exchange: The caller's connection.
        generation: The generation to send.
        start: Index of the first piece to send.
        faults: The engine's faults.
        include_usage: Whether a chunk with the usage precedes the end marker.
    """
    await exchange.begin(200, {**EVENT_HEADERS, "X-Request-Id": generation.request_id})
    if start == 0:
        await exchange.write(
            _encode_event(0, _make_chunk(generation, {"role": "assistant", "content": ""}))
        )
    await _write_pieces(exchange, generation, start, faults)
    if exchange.closed.is_set():
        return
    if not faults.no_end_mark:
        await _write_end(exchange, generation, include_usage)
    exchange.finish()


def get_finish_reason(generation: Generation) -> str:
    """Returns the API's finish reason of an ended generation."""
    return "abort" if generation.cancelled else "stop"


async def _write_pieces(
    exchange: Exchange, generation: Generation, start: int, faults: EngineFaults
) -> None:
    """Writes the pieces from an offset on as they are generated."""
    next_piece = start
    while not exchange.closed.is_set():
        if await _apply_stream_fault(exchange, generation, next_piece - start, faults):
            return
        if next_piece < generation.produced:
            await exchange.write(_encode_piece(generation, next_piece))
            next_piece += 1
            if faults.late_and_crossed:
                await _write_late_and_crossed(exchange, generation, next_piece)
        elif generation.ended:
            return
        else:
            await generation.wait_for_change(exchange.closed)


async def _apply_stream_fault(
    exchange: Exchange, generation: Generation, written: int, faults: EngineFaults
) -> bool:
    """Cuts or stalls the stream if a fault is due, once per generation.

    Returns:
        Whether the stream was interrupted.
    """
    if generation.stream_faulted:
        return False
    if faults.cut_after is not None and written >= faults.cut_after:
        generation.stream_faulted = True
        exchange.drop()
        return True
    if faults.silent_after is not None and written >= faults.silent_after:
        generation.stream_faulted = True
        await exchange.closed.wait()
        return True
    return False


async def _write_late_and_crossed(exchange: Exchange, generation: Generation, at: int) -> None:
    """Writes a piece that was sent before and a piece of another request."""
    await exchange.write(_encode_piece(generation, max(0, at - 2)))
    choice = {"index": 0, "delta": {"content": " crossed"}, "finish_reason": None}
    other = _make_envelope(FOREIGN_ID, generation.model, "chat.completion.chunk", [choice])
    await exchange.write(_encode_event(at + 1, other))


async def _write_end(exchange: Exchange, generation: Generation, include_usage: bool) -> None:
    """Writes the finish reason, the usage if requested, and the end marker."""
    last = generation.produced
    await exchange.write(
        _encode_event(last, _make_chunk(generation, {}, get_finish_reason(generation)))
    )
    if include_usage:
        frame = _make_envelope(generation.request_id, generation.model, "chat.completion.chunk", [])
        await exchange.write(_encode_event(last, {**frame, "usage": generation.usage()}))
    await exchange.write(f"id: {last}\ndata: [DONE]\n\n".encode())


def _encode_piece(generation: Generation, index: int) -> bytes:
    """Returns the server-sent event of one piece."""
    return _encode_event(index + 1, _make_chunk(generation, {"content": generation.pieces[index]}))


def _make_chunk(generation: Generation, delta: dict[str, str], finish: str | None = None) -> Any:
    """Returns a completion chunk of a generation."""
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    return _make_envelope(
        generation.request_id, generation.model, "chat.completion.chunk", [choice]
    )


def _make_envelope(request_id: str, model: str, kind: str, choices: list[Any]) -> dict[str, Any]:
    """Returns the fields common to all response bodies."""
    return {
        "id": f"chatcmpl-{request_id}",
        "object": kind,
        "created": 0,
        "model": model,
        "choices": choices,
    }


def _encode_event(sequence: int, value: Any) -> bytes:
    """Returns an encoded server-sent event."""
    return b"id: %d\ndata: %b\n\n" % (sequence, msgspec.json.encode(value))

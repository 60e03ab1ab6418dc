"""Server-sent events: splits a byte stream into complete events."""

from __future__ import annotations

from typing import Any

import msgspec

ID_FIELD = b"id:"


class EventSplitter:
    """Splits a byte stream into events and buffers an incomplete event."""

    def __init__(self) -> None:
        self._pending = b""

    def split(self, chunk: bytes) -> list[bytes]:
        """Adds a chunk of the stream and returns the events that are now complete.

        Args:
            chunk: The bytes that arrived.

        Returns:
            The complete events, each with the blank line that ends it.
        """
        data = self._pending + chunk if self._pending else chunk
        if data.endswith(b"\n\n") and data.find(b"\n\n") == len(data) - 2:
            self._pending = b""
            return [data]
        *complete, self._pending = data.split(b"\n\n")
        return [event + b"\n\n" for event in complete]

    def take_rest(self) -> bytes:
        """Removes and returns the bytes that arrived after the last complete event."""
        rest, self._pending = self._pending, b""
        return rest


def event_data(event: bytes) -> bytes:
    """Returns the data of an event, without its other fields."""
    lines = [line[5:].strip() for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(lines)


def event_sequence(event: bytes) -> int | None:
    """Returns the number in an event's ``id`` field; None if the event has no such number."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            digits = line[len(ID_FIELD) :].strip()
            return int(digits) if digits.isdigit() else None
    return None


def decode_event(event: bytes) -> dict[str, Any]:
    """Returns an event's data as JSON.

    Raises:
        msgspec.DecodeError: When the data is not JSON.
    """
    decoded: dict[str, Any] = msgspec.json.decode(event_data(event))
    return decoded

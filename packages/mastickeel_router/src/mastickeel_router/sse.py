"""Server-sent events: splits a byte stream into complete events."""

from __future__ import annotations

import re
from sys import getsizeof
from typing import Any

from mastickeel.decoding import decode_json, parse_whole_number
from mastickeel.httpmessages import AnswerTooLargeError

ID_FIELD = b"id:"
END_OF_EVENT = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r(?!\Z))")
"""A blank line after another line; a CR at the end of the data may be half of a CRLF."""
MAX_BLANK_LINE_BYTES = 4
MAX_EVENT_BYTES = 1024 * 1024
OUTSIDE_EVENTS = re.compile(rb"(?:(?::[^\r\n]*)?(?>\r\n|\n|\r))*")
"""Blank lines and comments only."""
FIELD_LINES = re.compile(rb"(?:(?:[a-z][a-z0-9_-]*)?(?::[^\r\n]*)?(?>\r\n|\n|\r))*+")
"""Fields, comments and blank lines only; names of fields are in lowercase, unlike those of the
headers of an HTTP message."""


class EventSplitter:
    """Splits a byte stream into events and buffers an incomplete event.

    Lines end with LF, CRLF or CR; an event ends with a blank line.
    """

    def __init__(self) -> None:
        self.pending_bytes = 0
        """Size of the bytes that arrived after the last complete event."""
        self._pending = bytearray()
        self._tail = b""

    @property
    def held_bytes(self) -> int:
        """Memory of the incomplete event in bytes, which has room for more."""
        return getsizeof(self._pending)

    def clear(self) -> None:
        """Drops the incomplete event, which the frames of an error would keep."""
        self._pending, self.pending_bytes, self._tail = bytearray(), 0, b""

    def split(self, chunk: bytes) -> list[bytes]:
        """Adds a chunk of the stream and returns the events that are now complete.

        Args:
            chunk: The bytes that arrived.

        Returns:
            The complete events, each with the blank line that ends it.

        Raises:
            AnswerTooLargeError: When an event is larger than ``MAX_EVENT_BYTES``.
        """
        if not self._pending and chunk.endswith(b"\n\n") and b"\r" not in chunk:
            if chunk.find(b"\n\n") == len(chunk) - 2:
                return [chunk]
        elif END_OF_EVENT.search(self._tail + chunk) is None:
            # Only the end of what is buffered can be a part of the next blank line, so an event
            # that arrives in many chunks is searched once.
            self._tail = (self._tail + chunk)[-MAX_BLANK_LINE_BYTES:]
            self._pending += chunk
            self.pending_bytes += len(chunk)
            if self.pending_bytes > MAX_EVENT_BYTES:
                raise AnswerTooLargeError(f"An event is over {MAX_EVENT_BYTES} bytes.")
            return []
        data = b"".join((self._pending, chunk))
        events: list[bytes] = []
        start = 0
        for match in END_OF_EVENT.finditer(data):
            events.append(data[start : match.end()])
            start = match.end()
        rest = data[start:]
        self._pending = bytearray(rest)
        self.pending_bytes = len(rest)
        self._tail = rest[-MAX_BLANK_LINE_BYTES:]
        return events

    def finish(self) -> list[bytes]:
        """Returns what the end of the stream completes.

        This is an event whose last line break might have continued, or lines that belong to no
        event. What is still pending after this call is an event that has been cut off.
        """
        rest = bytes(self._pending)
        is_complete = rest.endswith((b"\r\r", b"\n\r")) or OUTSIDE_EVENTS.fullmatch(rest)
        if not rest or not is_complete:
            return []
        self.clear()
        return [rest]


def event_data(event: bytes) -> bytes:
    """Returns the data of an event, without its other fields."""
    lines = [line[5:].strip() for line in event.splitlines() if line.startswith(b"data:")]
    return b"\n".join(lines)


def event_sequence(event: bytes) -> int | None:
    """Returns the number in an event's ``id`` field; None if the event has no such number."""
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return parse_whole_number(line[len(ID_FIELD) :].strip())
    return None


def is_comment(event: bytes) -> bool:
    """Returns whether an event has no field."""
    return OUTSIDE_EVENTS.fullmatch(event) is not None


def is_well_formed(event: bytes) -> bool:
    """Returns whether an event consists of fields and comments."""
    return FIELD_LINES.fullmatch(event) is not None


def decode_event(event: bytes) -> dict[str, Any]:
    """Returns an event's data as JSON.

    Raises:
        msgspec.DecodeError: When the data is not JSON.
    """
    decoded: dict[str, Any] = decode_json(event_data(event))
    return decoded

"""Reads and writes HTTP/1.1 messages for the stand-ins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Request:
    """A request as received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = field(repr=False, default=b"")

    @property
    def id(self) -> str:
        return self.headers.get("attempt-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Reads a first line and headers; None when the peer has closed the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a whole request; None when the peer has closed the channel."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    try:
        body = await reader.readexactly(int(head[1].get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def write_answer(request: Request, status: int, body: bytes, *extra: str) -> bytes:
    """Returns the bytes of a worker's plain answer."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"Attempt-Id: {request.id}",
        "Server-Seal: 3e1b.07",
        f"Content-Length: {len(body)}",
        *extra,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def write_stream_head(request: Request) -> bytes:
    """Returns the head of a worker's stream of events, sent in chunks."""
    return (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.id}\r\nServer-Seal: 3e1b.07\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def write_event(number: int) -> bytes:
    """Returns a chunk with one event of a stream."""
    data = f"id: {number}\ndata: piece {number}\n\n".encode()
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


LAST_CHUNK = b"0\r\n\r\n"

"""Clients of the platform: one request on a new channel, with what came back and when."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

from review.http import read_head


@dataclass
class Answer:
    """What a client has got for one attempt."""

    status: int = 0
    """0 when the channel closed without an answer."""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    """Whether the answer has ended as its framing says."""
    ended_s: float | None = None
    """Seconds from the request to its answer's end or the channel's close; None if neither came."""
    gave_up_s: float | None = None
    """Seconds from the request until the client gave up; None if it did not."""


def write_request(
    method: str,
    host: str,
    path: str,
    request_id: str,
    *,
    deadline_ms: int,
    key: str = "key-1",
    body: bytes = b"",
    headers: tuple[str, ...] = (),
) -> bytes:
    """Returns the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"Attempt-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def send(
    ip: str, port: int, data: bytes, *, deadline_s: float, gap_s: float | None = None
) -> Answer:
    """Sends a request on a new channel; gives up at its deadline or after a gap between bytes."""
    answer = Answer()
    began = time.monotonic()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
    except (OSError, asyncio.TimeoutError):
        answer.ended_s = time.monotonic() - began
        return answer
    try:
        writer.write(data)
        await asyncio.wait_for(_read(reader, answer, gap_s), deadline_s)
        answer.ended_s = time.monotonic() - began
    except asyncio.TimeoutError:
        answer.gave_up_s = time.monotonic() - began
    except (ConnectionError, asyncio.IncompleteReadError):
        answer.ended_s = time.monotonic() - began
    finally:
        writer.close()
        with contextlib.suppress(Exception):
            await writer.wait_closed()
    return answer


async def _read(reader: asyncio.StreamReader, answer: Answer, gap_s: float | None) -> None:
    head = await asyncio.wait_for(read_head(reader), gap_s)
    if head is None:
        return
    answer.status = int(head[0].split(" ")[1])
    answer.headers = head[1]
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), gap_s)
            chunk = await asyncio.wait_for(reader.readexactly(int(line, 16) + 2), gap_s)
            if chunk == b"\r\n":
                break
            answer.body += chunk[:-2]
    else:
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
    answer.complete = True

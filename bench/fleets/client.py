"""Sends chat requests and times their first piece."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec
from hdrh.histogram import HdrHistogram

from mastickeel.addresses import Address
from mastickeel.httpmessages import HttpHead, HttpRequest, Timeouts

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.httpclient import HttpClient

HOST = "127.0.0.1"
CHAT_PATH = "/v1/chat/completions"
HIGHEST_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 3
NANOSECONDS_PER_MICROSECOND = 1_000
WAITS = Timeouts(first_byte_ms=30_000, between_bytes_ms=30_000)


class Latencies:
    """Latencies in microseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)

    def add(self, microseconds: float) -> None:
        """Counts one."""
        self._histogram.record_value(max(1, int(microseconds)))

    def milliseconds_at(self, percentile: float) -> float:
        """Returns the latency at a percentile, in milliseconds."""
        return float(self._histogram.get_value_at_percentile(percentile)) / 1_000


@dataclass(frozen=True)
class ChatTarget:
    """Where chat requests go, and as whom."""

    port: int
    """On loopback."""
    key: str = ""
    """The account's key; empty for an engine."""
    model: str = "auto"
    """What is asked for."""


@dataclass
class ChatTiming:
    """How one streamed answer came."""

    status: int = 0
    first_us: float = 0.0
    """From the send to the first data."""
    total_us: float = 0.0
    """From the send to the end."""
    pieces: int = 0
    ended: bool = False
    """Whether the end mark came."""
    tail: bytes = field(default=b"", repr=False)


async def stream_chat(http: HttpClient, target: ChatTarget, text: str, **fields: Any) -> ChatTiming:
    """Sends one streamed chat request over a connection of its own, and times it.

    Args:
        http: Opens the connection.
        target: Where to.
        text: The prompt.
        fields: More of the body.

    Returns:
        Its timing.
    """
    body = {
        "model": target.model,
        "stream": True,
        "messages": [{"role": "user", "content": text}],
        **fields,
    }
    headers = {"Authorization": f"Bearer {target.key}"} if target.key else {}
    request = HttpRequest("POST", CHAT_PATH, headers, msgspec.json.encode(body))
    timing = ChatTiming()
    began = time.perf_counter_ns()

    def on_head(head: HttpHead) -> None:
        timing.status = head.status

    def on_data(chunk: bytes) -> None:
        if not timing.first_us:
            timing.first_us = (time.perf_counter_ns() - began) / NANOSECONDS_PER_MICROSECOND
        timing.pieces += chunk.count(b"\n\n")
        timing.tail = (timing.tail + chunk)[-32:]

    connection = await http.connect(Address(HOST, target.port), fresh=True)
    try:
        await connection.exchange(request, on_head=on_head, on_data=on_data, timeouts=WAITS)
    finally:
        connection.close()
    timing.total_us = (time.perf_counter_ns() - began) / NANOSECONDS_PER_MICROSECOND
    timing.ended = b"[DONE]" in timing.tail
    return timing


async def closed_loop(
    count: int, callers: int, send: Callable[[int], Awaitable[ChatTiming]]
) -> tuple[list[ChatTiming], float]:
    """Lets a number of callers send one request after another.

    Args:
        count: How many requests in all.
        callers: How many at once.
        send: Sends the request of a number.

    Returns:
        The timings, and the seconds that it all took.
    """
    numbers = iter(range(count))
    timings: list[ChatTiming] = []

    async def caller() -> None:
        for number in numbers:
            timings.append(await send(number))

    began = time.perf_counter_ns()
    await asyncio.gather(*(caller() for _ in range(callers)))
    return timings, (time.perf_counter_ns() - began) / 1e9

"""What follows a stream that has begun and broke off: the rest of it, or a broken connection."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import unittest
from dataclasses import dataclass

from tests.mastickeel_platform.gateway_case import GatewayTestCase
from tests.mastickeel_platform.standins import (
    Reply,
    Request,
    answer_bytes,
    chunk_bytes,
    event_bytes,
    reset_connection,
    route,
    stream_head_bytes,
)

EVENTS = 4
TIMEOUT_MS = 1_500
MARGIN_MS = 500
"""Time after the route's timeout by which a caller must have an answer or a broken connection."""
END_OF_CHUNKS = b"0\r\n\r\n"
STATUSES = (
    "200 OK",
    "201 Created",
    "204 No Content",
    "206 Partial Content",
    "302 Found",
    "304 Not Modified",
    "400 Bad Request",
    "404 Not Found",
    "429 Too Many Requests",
    "500 Internal Server Error",
    "503 Service Unavailable",
)
TEXT = b"the error of the endpoint"
BODIES = (b"", TEXT, b"data: " + TEXT + b"\n\n", b"id: 9\ndata: " + TEXT + b"\n\n")
FRAMINGS = ("length", "chunked", "connection")
EXTRAS = ("", "Not-Executed: 1", "Content-Encoding: gzip")
BREAKS = ("reset", "close", "inside an event", "inside a chunk")


@dataclass(frozen=True)
class Failure:
    """Answer of an endpoint instead of the rest of a stream."""

    status: str
    body: bytes
    framing: str
    is_stream: bool
    extra: str = ""
    is_signed: bool = True

    def encode(self, request: Request) -> bytes:
        lines = [f"HTTP/1.1 {self.status}", f"Attempt-Id: {request.id}"]
        lines += ["Server-Seal: 3e1b.07"] if self.is_signed else []
        lines += ["Content-Type: text/event-stream"] if self.is_stream else []
        lines += [self.extra] if self.extra else []
        body = self.body
        if self.status.startswith(("204", "304")):
            body = b""
        elif self.framing == "length":
            lines.append(f"Content-Length: {len(body)}")
        elif self.framing == "chunked":
            lines.append("Transfer-Encoding: chunked")
            body = (chunk_bytes(body) if body else b"") + END_OF_CHUNKS
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def list_failures() -> list[Failure]:
    """Returns all answers but those that are a stream to its end, as far as can be told."""
    failures = [
        Failure(*parts)
        for parts in itertools.product(STATUSES, BODIES, FRAMINGS, (True, False), EXTRAS)
    ]
    failures += [
        Failure("200 OK", body, framing, True, is_signed=False)
        for body, framing in itertools.product(BODIES, FRAMINGS)
    ]
    return [
        one
        for one in failures
        if not (one.status == "200 OK" and one.is_stream and one.is_signed and not one.extra)
    ]


def encode_rest(after: int) -> bytes:
    """Returns the chunks of a stream after an event."""
    events = b"".join(chunk_bytes(event_bytes(one)) for one in range(after + 1, EVENTS + 1))
    return events + END_OF_CHUNKS


class BegunStreamTest(GatewayTestCase):
    """Each request is sent twice: to an endpoint that breaks off, and to one that fails."""

    ROUTES = (
        route("draft", "streaming", max_attempts=2, timeout_ms=TIMEOUT_MS),
        route("third", "streaming", max_attempts=3, timeout_ms=TIMEOUT_MS),
    )

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.failures_by_request: dict[str, Failure] = {}
        self.breaks_by_request: dict[str, str] = {}
        self.sends_by_request: dict[str, int] = {}

        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            sends = self.sends_by_request[request.id] = self.sends_by_request.get(request.id, 0) + 1
            if sends == 1:
                await self.break_off(request, writer)
            elif sends == 2:
                failure = self.failures_by_request[request.id]
                writer.write(failure.encode(request))
                if failure.framing == "connection":
                    writer.close()
            else:
                after = int(request.headers["last-event-id"])
                writer.write(stream_head_bytes(request) + encode_rest(after))

        await self.start_gateway(respond, respond, respond)

    async def break_off(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Sends two events and breaks the stream off."""
        kind = self.breaks_by_request[request.id]
        writer.write(stream_head_bytes(request))
        writer.write(chunk_bytes(event_bytes(1)) + chunk_bytes(event_bytes(2)))
        if kind == "inside an event":
            writer.write(chunk_bytes(event_bytes(3)[:9]))
        if kind == "inside a chunk":
            writer.write(chunk_bytes(event_bytes(3))[:9])
        await writer.drain()
        await asyncio.sleep(0.01)
        if kind == "reset":
            reset_connection(writer)
        writer.close()

    async def send(self, path: str, failure: Failure, kind: str = "reset") -> Reply:
        """Sends one request; returns what the caller gets."""
        request_id = f"a{len(self.sends_by_request)}"
        self.failures_by_request[request_id] = failure
        self.breaks_by_request[request_id] = kind
        try:
            return await asyncio.wait_for(
                self.send_request(path, request_id), (TIMEOUT_MS + MARGIN_MS) / 1_000
            )
        except TimeoutError:
            self.fail(f"the caller still waits after the route's timeout: {failure}")

    async def check(self, path: str, failure: Failure, kind: str) -> None:
        """Sends one request and checks what the caller gets."""
        reply = await self.send(path, failure, kind)
        events = b"".join(event_bytes(one) for one in range(1, EVENTS + 1))
        with self.subTest(failure, kind=kind, path=path):
            self.assertEqual(reply.status, 200)
            self.assertNotIn(TEXT, reply.body)
            self.assertNotIn(b"HTTP/1.1", reply.body)
            self.assertEqual(events[: len(reply.body)], reply.body)
            if reply.complete:
                self.assertEqual(reply.body, events)
            if path.startswith("/draft"):
                self.assertFalse(reply.complete)

    async def test_begun_stream_stays_open_after_an_error_of_the_last_endpoint(self) -> None:
        """Guards against callers that wait past the route's timeout for the rest of a stream."""
        for status in STATUSES[1:]:
            for is_stream in (False, True):
                failure = Failure(status, TEXT, "length", is_stream)
                began = time.monotonic()
                await self.check("/draft/a", failure, "reset")
                self.assertLess(time.monotonic() - began, 1)

    async def test_begun_stream_goes_on_with_the_text_of_an_error(self) -> None:
        """Guards against errors inside a stream, and streams that end early as if complete."""
        rng = random.Random(51)
        drawn = rng.sample(list_failures(), 150)
        for number, failure in enumerate(drawn):
            path = ("/draft/a", "/third/a")[number % 2]
            await self.check(path, failure, rng.choice(BREAKS))

    async def test_begun_stream_is_given_up_though_another_endpoint_would_go_on(self) -> None:
        for status in ("404 Not Found", "500 Internal Server Error", "204 No Content"):
            reply = await self.send("/third/a", Failure(status, TEXT, "length", False))
            self.assertTrue(reply.complete, status)

    async def test_begun_stream_goes_on_with_an_event_without_an_id(self) -> None:
        """Guards against a text that an endpoint sends as an event instead of the next one."""
        head = b"HTTP/1.1 500 X\r\nServer-Seal: 1\r\n\r\n"
        bodies = (BODIES[2], event_bytes(3) + BODIES[2], head, event_bytes(3)[:-6] + head)
        for body in bodies:
            for path in ("/draft/a", "/third/a"):
                await self.check(path, Failure("200 OK", body, "chunked", True), "reset")

    async def test_begun_stream_brings_an_event_twice_or_out_of_order(self) -> None:
        """Guards against ids that repeat: those passed on before, and those within one answer."""
        events = {number: event_bytes(number) for number in range(EVENTS + 2)}
        orders = {(1, 2, 3, 4): True, (2, 3, 3, 4, 4): True, (3, 2, 4): True, (4, 3): False}
        for order, is_complete in orders.items():
            body = b"".join(events[number] for number in order)
            reply = await self.send("/draft/a", Failure("200 OK", body, "chunked", True))
            with self.subTest(order=order):
                expected = [1, 2, 3, 4] if is_complete else [1, 2]
                self.assertEqual(reply.body, b"".join(events[number] for number in expected))
                self.assertEqual(reply.complete, is_complete)

    async def test_comment_inside_a_stream_is_passed_on(self) -> None:
        rest = b": waiting\n\n" + event_bytes(3) + event_bytes(4)
        reply = await self.send("/draft/a", Failure("200 OK", rest, "chunked", True))
        self.assertEqual(reply.body, event_bytes(1) + event_bytes(2) + rest)
        self.assertTrue(reply.complete)

    async def test_error_is_passed_on_before_a_stream_has_begun(self) -> None:
        async def fail(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(answer_bytes(request, TEXT, status="404 Not Found"))

        for endpoint in self.endpoints:
            endpoint.respond = fail
        reply = await self.send_request("/draft/a")
        self.assertEqual((reply.status, reply.body, reply.complete), (404, TEXT, True))


if __name__ == "__main__":
    unittest.main()

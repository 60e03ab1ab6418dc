"""Answers that are no answers in the protocol never reach callers (issue 66)."""

from __future__ import annotations

import asyncio
import json
import unittest
from functools import partial
from typing import TYPE_CHECKING

from tests.early_answers import UNREAD_ENDS, answer_early, read_nothing
from tests.mastickeel_platform.gateway_case import GatewayTestCase
from tests.mastickeel_platform.standins import (
    Request,
    answer_bytes,
    chunk_bytes,
    configuration,
    entry,
    event_bytes,
    route,
    stream_head_bytes,
)
from tests.readers import PlayServer

if TYPE_CHECKING:
    from tests.readers import Play

INVALID_STATUSES = ("000", "099", "600", "999")
ODD_NAMES = (" X", "X ", "X Y", "X\x01", "X\x00", "X\x7f", "X\xe9", "Server-Seal ")
UPLOAD = bytes(8_000_000)
"""A body that fits into no buffer of the kernel."""


class BrokenAnswerTest(GatewayTestCase):
    """The first endpoint that is chosen sends a broken answer, every other one a whole answer."""

    ROUTES = (*GatewayTestCase.ROUTES, route("fixed", "streaming", resumable=False))

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.broken = b""
        """The broken answer."""
        self.broken_ids: set[str] = set()
        """Requests that have got it."""

    async def respond(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answers the first send of a request with the broken answer, and any later one whole."""
        if request.id in self.broken_ids:
            writer.write(
                answer_bytes(request, event_bytes(1), extra="Content-Type: text/event-stream")
            )
            return
        self.broken_ids.add(request.id)
        writer.write(self.broken.replace(b"{id}", request.id.encode()))
        await writer.drain()
        writer.close()

    def set_broken(self, status: str, *extra: str) -> None:
        """Sets the broken answer: a whole stream, if its status and fields were valid.

        The endpoints count as sound again, so that each answer is tried by itself.
        """
        for number in range(len(self.endpoints)):
            self.gateway.loads.breakers.record_success(f"i-{number + 1}")
        lines = ("Attempt-Id: {id}", "Server-Seal: s", "Content-Type: text/event-stream", *extra)
        fields = "\r\n".join(lines)
        body = event_bytes(7)
        head = f"HTTP/1.1 {status} OK\r\n{fields}\r\nContent-Length: {len(body)}\r\n\r\n"
        self.broken = head.encode("latin1") + body

    async def test_status_out_of_range_is_a_failed_send(self) -> None:
        await self.start_gateway(*[self.respond] * 3)
        for status in INVALID_STATUSES:
            self.set_broken(status)
            for path in ("/look/a", "/draft/a"):
                with self.subTest(path, status=status):
                    reply = await self.send_request(path, f"{path[1]}{status}")
                    self.assertEqual((reply.status, reply.body), (200, event_bytes(1)))
            for path in ("/once/a", "/fixed/a"):
                with self.subTest(path, status=status):
                    reply = await self.send_request(path, f"{path[1]}{status}")
                    self.assertEqual(reply.status, 502)
                    self.assertNotIn("server-seal", reply.headers)
                    self.assertEqual(json.loads(reply.body)["ran"], "unknown")

    async def test_odd_byte_in_a_name_is_a_failed_send(self) -> None:
        """Held before issue 66."""
        await self.start_gateway(*[self.respond] * 3)
        for number, name in enumerate(ODD_NAMES):
            self.set_broken("200", f"{name}: 1")
            for path in ("/look/a", "/draft/a"):
                with self.subTest(path, name=name):
                    reply = await self.send_request(path, f"{path[1]}{number}")
                    self.assertEqual((reply.status, reply.body), (200, event_bytes(1)))
            for path in ("/once/a", "/fixed/a"):
                with self.subTest(path, name=name):
                    reply = await self.send_request(path, f"{path[1]}{number}")
                    self.assertEqual(reply.status, 502)

    async def test_broken_answer_does_not_end_a_resumed_stream(self) -> None:
        """The first send breaks off after an event, the second one is broken; held before."""
        cut = b"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Le"
        await self.start_gateway(*[self.respond_resumed] * 3)
        # A few only, as each takes two retries from the budget.
        for status, fields in (("000", ()), ("200", ("X Y: 1",)), ("200", ("X\x01: 1",))):
            self.set_broken(status, *fields)
            await self.check_resumed()
        for self.broken in (cut, cut.replace(b"\r\nContent-Le", b"\r\n")):
            await self.check_resumed()

    async def check_resumed(self) -> None:
        """Checks that a stream goes on at a third endpoint after the broken answer."""
        with self.subTest(self.broken):
            reply = await self.send_request("/draft/a", f"r{len(self.broken_ids)}")
            self.assertTrue(reply.complete)
            self.assertEqual(reply.body, event_bytes(1) + event_bytes(2))

    async def respond_resumed(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Breaks off after an event, then sends the broken answer, then the rest."""
        sends = [one for one in self.received_requests() if one.id == request.id]
        if len(sends) == 1:
            writer.write(stream_head_bytes(request) + chunk_bytes(event_bytes(1)))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.close()
        elif len(sends) == 2:
            await self.respond(request, writer)
        else:
            rest = event_bytes(2)
            writer.write(answer_bytes(request, rest, extra="Content-Type: text/event-stream"))


class EarlyAnswerTest(GatewayTestCase):
    """An endpoint answers with a part of an answer while a long upload is being written to it."""

    ROUTES = (*GatewayTestCase.ROUTES, route("fixed", "streaming", resumable=False))

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        limits = {
            "max_header_bytes": 4_096,
            "max_body_bytes": len(UPLOAD),
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        }
        self.store.put("op/config", configuration(8, *self.ROUTES, limits=limits))

    async def test_part_that_ends_before_the_upload_is_read_is_a_failed_send(self) -> None:
        fields = "Attempt-Id: {id}\r\nServer-Seal: s\r\n"
        plain = f"HTTP/1.1 200 OK\r\n{fields}\r\nhalf"
        stream = f"HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\n\r\n"
        stream += event_bytes(1).decode()
        answers_by_path = {"/once/a": plain, "/look/a": plain, "/draft/a": stream}
        answers_by_path["/fixed/a"] = stream
        await self.start_gateway()
        for path, answer in answers_by_path.items():
            for end in UNREAD_ENDS:
                request_id = f"{path[1:-2]}-{end.__name__}"
                await self.list_endpoint(answer.replace("{id}", request_id), end)
                with self.subTest(path, end=end.__name__):
                    reply = await self.send_request(path, request_id, body=UPLOAD)
                    self.assertFalse(reply.status == 200 and reply.complete)

    async def test_whole_answer_is_delivered_before_the_upload_is_read(self) -> None:
        await self.start_gateway()
        for path in ("/once/a", "/look/a"):
            for end in (*UNREAD_ENDS, read_nothing):
                request_id = f"{path[1:-2]}-{end.__name__}"
                fields = f"Attempt-Id: {request_id}\r\nServer-Seal: s\r\nContent-Length: 4"
                await self.list_endpoint(f"HTTP/1.1 200 OK\r\n{fields}\r\n\r\nbody", end)
                with self.subTest(path, end=end.__name__):
                    reply = await self.send_request(path, request_id, body=UPLOAD)
                    self.assertEqual((reply.status, reply.body), (200, b"body"))

    async def list_endpoint(self, answer: str, end: Play) -> None:
        """Starts the only endpoint, which answers early, and waits until the gateway knows it."""
        server = PlayServer(answer_early(answer.encode(), end))
        self.addAsyncCleanup(server.stop)
        self.store.put("servers/i-1", entry(server.start().port))
        await self.wait_until(partial(self.is_listed, server))

    def is_listed(self, server: PlayServer) -> bool:
        """Returns whether the gateway knows the endpoint at its newest address."""
        return [one.address for one in self.gateway.registry.all()] == [server.address]


if __name__ == "__main__":
    unittest.main()

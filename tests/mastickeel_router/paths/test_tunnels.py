"""Tunnels end as the connection to the endpoint ends, and lead to listed endpoints only."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Any

from mastickeel.addresses import Address
from mastickeel.clock import Clock
from mastickeel.httpclient import HttpClient
from mastickeel.httpmessages import (
    ConnectionEnd,
    ExchangeBrokenError,
    HttpRequest,
    Timeouts,
    TunnelRefusedError,
)
from mastickeel_router.discovery import EndpointRecord
from mastickeel_router.paths import PathMonitor, TunnelListener
from tests.early_answers import ENDS, UNREAD_ENDS, answer_early, close_at_once
from tests.mastickeel_platform.standins import RawServer, Request, answer_bytes, reset_connection
from tests.readers import ReadAnswer, ReaderCase

if TYPE_CHECKING:
    from tests.readers import Play

MAX_OPEN = 2
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\n\r\npart"


class TunnelTest(unittest.IsolatedAsyncioTestCase):
    """A client, a listener for tunnels, and an endpoint that answers as the test says."""

    async def asyncSetUp(self) -> None:
        self.client = HttpClient(Clock())
        self.server = RawServer(self.respond)
        await self.server.start()
        address = Address("127.0.0.1", self.server.port)
        self.endpoint = EndpointRecord("e1", "s", address, "dc-a", "v1", started_ms=7)
        self.listed: EndpointRecord | None = self.endpoint
        self.accepts = True
        self.monitor = PathMonitor(lambda: [self.endpoint.id])
        self.listener = TunnelListener(
            self.client,
            clock=self.client.clock,
            monitor=self.monitor,
            find_endpoint=lambda address: self.listed,
            accepts=lambda endpoint: self.accepts,
            longest_timeout_ms=lambda: 5_000,
        )
        port = self.listener.open(Address("127.0.0.1", 0), MAX_OPEN)
        self.via = Address("127.0.0.1", port)
        self.ends_with_reset: bool | None = None
        """How the endpoint ends an answer without a length; None for an answer with one."""

    async def asyncTearDown(self) -> None:
        self.listener.close()
        await self.client.close()
        await self.server.stop()

    async def respond(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if self.ends_with_reset is None:
            writer.write(answer_bytes(request, request.body))
            return
        writer.write(UNTIL_CLOSE)
        await writer.drain()
        await asyncio.sleep(0.05)
        if self.ends_with_reset:
            reset_connection(writer)
        else:
            writer.close()

    async def exchange(self, body: bytes = b"") -> tuple[bytes, ConnectionEnd]:
        """Sends a request through a tunnel; returns the answer's body and the connection's end."""
        connection = await self.client.connect(
            self.endpoint.address, timeouts=Timeouts(connect_ms=500), fresh=True, via=self.via
        )
        parts: list[bytes] = []
        request = HttpRequest("POST", "/a", {}, body)
        try:
            await connection.exchange(
                request, on_head=lambda head: None, on_data=parts.append, timeouts=Timeouts()
            )
            return b"".join(parts), connection.end
        finally:
            connection.close()

    async def refusal(self) -> str:
        with self.assertRaises(TunnelRefusedError) as caught:
            await self.exchange()
        return caught.exception.reason

    async def test_request_and_answer_pass(self) -> None:
        body = bytes(range(256)) * 2_000
        self.assertEqual((await self.exchange(body))[0], body)

    async def test_orderly_end_stays_orderly_and_a_reset_stays_a_reset(self) -> None:
        self.ends_with_reset = False
        self.assertEqual(await self.exchange(), (b"part", ConnectionEnd.CLOSED))
        self.ends_with_reset = True
        with self.assertRaises(ExchangeBrokenError):
            await self.exchange()

    async def test_answer_that_lasts_until_the_close_is_broken_when_the_tunnel_ends(self) -> None:
        self.ends_with_reset = False
        exchange = asyncio.create_task(self.exchange())
        while not self.server.requests:
            await asyncio.sleep(0.005)
        self.listener.close()
        with self.assertRaises(ExchangeBrokenError):
            await exchange

    async def test_endpoint_connection_ends_when_the_caller_leaves(self) -> None:
        left = asyncio.Event()

        async def wait(request: Request, writer: asyncio.StreamWriter) -> None:
            await request.wait_until_closed()
            left.set()

        self.server.respond = wait
        exchange = asyncio.create_task(self.exchange())
        while not self.server.requests:
            await asyncio.sleep(0.005)
        exchange.cancel()
        await asyncio.wait_for(left.wait(), 5)

    async def test_refusals_say_why(self) -> None:
        self.accepts = False
        self.assertEqual(await self.refusal(), "destination_unavailable")
        self.accepts, listed, self.listed = True, self.listed, None
        self.assertEqual(await self.refusal(), "destination_ip_prohibited")
        self.listed = listed
        await self.server.stop()
        self.assertEqual(await self.refusal(), "connection_refused")
        self.monitor.record_lost([self.endpoint.id])
        self.assertEqual(await self.refusal(), "destination_unavailable")
        self.listener.refuse_new()
        self.assertEqual(await self.refusal(), "connection_limit_reached")

    async def test_rubbish_is_refused(self) -> None:
        for data in (b"GET / HTTP/1.1\r\n\r\n", b"CONNECT x HTTP/1.1\r\n\r\n", b"\x00\r\n\r\n"):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.via.port)
            writer.write(data)
            self.assertIn(b"403", await reader.readline())
            writer.close()

    async def test_number_of_tunnels_is_bounded(self) -> None:
        waiting: Any = asyncio.Event()

        async def wait(request: Request, writer: asyncio.StreamWriter) -> None:
            await waiting.wait()
            writer.write(answer_bytes(request))

        self.server.respond = wait
        exchanges = [asyncio.create_task(self.exchange()) for _ in range(MAX_OPEN)]
        while len(self.server.requests) < len(exchanges):
            await asyncio.sleep(0.005)
        self.assertEqual(await self.refusal(), "connection_limit_reached")
        waiting.set()
        await asyncio.gather(*exchanges)
        self.assertEqual((await self.exchange())[0], b"done")


class EarlyAnswerTest(ReaderCase):
    """An endpoint behind a tunnel that answers while the request's body is still being written."""

    async def test_answer_that_ends_before_the_upload_is_read_is_not_whole(self) -> None:
        ends_by_size = {300_000: UNREAD_ENDS, 2_000_000: UNREAD_ENDS, 12_000_000: ENDS}
        for size, ends in ends_by_size.items():
            request = HttpRequest("POST", "/a", {}, bytes(size))
            for end in ends:
                address = await self.open_tunnel(answer_early(UNTIL_CLOSE, end))
                with (
                    self.subTest(end.__name__, size=size),
                    self.assertRaises(ExchangeBrokenError),
                ):
                    await self.exchange(address, request)

    async def test_answer_that_ends_after_the_upload_is_read_is_whole(self) -> None:
        request = HttpRequest("POST", "/a", {}, bytes(2_000_000))
        play = answer_early(UNTIL_CLOSE, close_at_once, read_bytes=len(request.body))
        address = await self.open_tunnel(play)
        self.assertEqual(await self.exchange(address, request), ReadAnswer(200, b"part"))

    async def open_tunnel(self, play: Play) -> Address:
        """Starts an endpoint and a listener for tunnels to it; returns the endpoint's address."""
        address = await self.serve(play)
        endpoint = EndpointRecord("e1", "s", address, "dc-a", "v1", started_ms=7)
        listener = TunnelListener(
            self.client,
            clock=self.client.clock,
            monitor=PathMonitor(lambda: [endpoint.id]),
            find_endpoint=lambda _: endpoint,
            accepts=lambda _: True,
            longest_timeout_ms=lambda: 5_000,
        )
        self.via = Address("127.0.0.1", listener.open(Address("127.0.0.1", 0), MAX_OPEN))
        self.addCleanup(listener.close)
        return address


if __name__ == "__main__":
    unittest.main()

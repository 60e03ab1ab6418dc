"""A body without length or chunks is complete only when the server has closed the connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel.addresses import Address
from mastickeel.clock import Clock
from mastickeel.httpclient import HttpClient
from mastickeel.httpmessages import (
    AnswerTooLargeError,
    ExchangeBrokenError,
    ExchangeTimeoutError,
    HttpRequest,
    Timeouts,
)
from mastickeel.streaming import StreamedExchange

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

REQUEST = HttpRequest("GET", "/")
TIMEOUTS = Timeouts(500, 300, 300)
UNFRAMED = b"HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nhalf"
SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class BodyEndTest(unittest.IsolatedAsyncioTestCase):
    """Both clients, with each framing and each way a connection can end."""

    async def asyncSetUp(self) -> None:
        self.client = HttpClient(Clock())
        self.body = b""

    async def asyncTearDown(self) -> None:
        await self.client.close()

    async def serve(
        self, data: bytes, end: Callable[[asyncio.StreamWriter], object] | None
    ) -> Address:
        """Starts a server that writes an answer's beginning and then ends the connection."""

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0.05)
            if end is not None:
                end(writer)
                return
            await reader.read(1)
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return Address("127.0.0.1", server.sockets[0].getsockname()[1])

    def collect(self, data: bytes) -> None:
        self.body += data
        if self.body == b"fail":
            raise OSError

    async def exchange(self, address: Address) -> None:
        connection = await self.client.connect(address, timeouts=TIMEOUTS, fresh=True)
        await connection.exchange(
            REQUEST, on_head=lambda _: None, on_data=self.collect, timeouts=TIMEOUTS
        )

    async def stream(self, address: Address) -> None:
        exchange = StreamedExchange(
            self.client, on_head=lambda _: None, on_data=self.collect, timeouts=TIMEOUTS
        )
        await exchange.run(address, REQUEST, lambda: None)

    @property
    def reads(self) -> tuple[Callable[[Address], Awaitable[None]], ...]:
        return (self.exchange, self.stream)

    async def test_only_an_orderly_close_completes_a_body_without_framing(self) -> None:
        for read in self.reads:
            self.body = b""
            await read(await self.serve(UNFRAMED, lambda writer: writer.close()))
            self.assertEqual(self.body, b"half")
            with self.assertRaises(ExchangeBrokenError):
                await read(await self.serve(UNFRAMED, reset))

    async def test_silence_until_the_deadline_does_not_complete_a_body_without_framing(
        self,
    ) -> None:
        for read in self.reads:
            with self.subTest(read.__name__), self.assertRaises(ExchangeTimeoutError):
                await read(await self.serve(UNFRAMED, None))

    async def test_own_close_does_not_complete_a_body_without_framing(self) -> None:
        for read in self.reads:
            self.body = b""
            reading = asyncio.ensure_future(read(await self.serve(UNFRAMED, None)))
            while not self.body:
                await asyncio.sleep(0.01)
            await self.client.close()
            with self.subTest(read.__name__), self.assertRaises(ExchangeBrokenError):
                await reading

    async def test_answer_to_a_head_request_ends_with_its_headers(self) -> None:
        address = await self.serve(b"HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n", None)
        answer = await self.client.call(address, HttpRequest("HEAD", "/"), TIMEOUTS)
        self.assertEqual((answer.status, answer.body), (200, b""))

    async def test_no_end_completes_a_truncated_body_with_framing(self) -> None:
        for read in self.reads:
            for data in (SIZED, CHUNKED):
                for end in (lambda writer: writer.close(), reset, None):
                    with (
                        self.subTest(read.__name__, data=data),
                        self.assertRaises(ExchangeBrokenError),
                    ):
                        await read(await self.serve(data, end))


class EndlessBytesTest(unittest.IsolatedAsyncioTestCase):
    """Bytes that keep arriving are not read for longer, or kept in larger number, than allowed."""

    async def asyncSetUp(self) -> None:
        self.client = HttpClient(Clock())
        self.written = 0

    async def asyncTearDown(self) -> None:
        await self.client.close()

    async def serve(self, start: bytes, block: bytes, pause_s: float = 0.0) -> Address:
        """Starts a server that writes without end."""

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(block)
                    await writer.drain()
                    self.written += len(block)
                    await asyncio.sleep(pause_s)

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return Address("127.0.0.1", server.sockets[0].getsockname()[1])

    async def test_call_stops_at_the_limit_of_its_body(self) -> None:
        address = await self.serve(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536)
        with self.assertRaises(AnswerTooLargeError):
            await self.client.call(address, REQUEST, TIMEOUTS, limit_bytes=1_000_000)
        self.assertLess(self.written, 12_000_000)

    async def test_call_ends_when_a_body_arrives_slowly_without_end(self) -> None:
        address = await self.serve(b"HTTP/1.1 200 OK\r\n\r\n", b"x", 0.05)
        with self.assertRaises(ExchangeTimeoutError):
            await self.client.call(address, REQUEST, replace(TIMEOUTS, total_ms=400))

    async def test_head_that_arrives_slowly_without_end_times_out(self) -> None:
        for start in (b"HTTP/1.1 200 OK\r\nX-A: ", b""):
            address = await self.serve(start, b"x", 0.05)
            exchange = StreamedExchange(
                self.client, on_head=lambda _: None, on_data=lambda _: None, timeouts=TIMEOUTS
            )
            with self.subTest(start), self.assertRaises(ExchangeBrokenError):
                await asyncio.wait_for(exchange.run(address, REQUEST, lambda: None), 3)


if __name__ == "__main__":
    unittest.main()

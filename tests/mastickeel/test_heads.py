"""An answer whose head is not valid is no answer, whichever reader reads it."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

from mastickeel.addresses import Address
from mastickeel.httpmessages import (
    ConnectionFailedError,
    ExchangeBrokenError,
    HttpRequest,
    InvalidHeadError,
)
from tests.readers import ReadAnswer, ReaderCase

if TYPE_CHECKING:
    import socket

REQUEST = HttpRequest("GET", "/")


def head_bytes(*fields: str, line: str = "HTTP/1.1 200 OK") -> bytes:
    """Returns the head of an answer whose body has four bytes."""
    return "\r\n".join((line, "Content-Length: 4", *fields)).encode("latin1") + b"\r\n\r\n"


class HeadCase(ReaderCase):
    """A server that answers with given bytes and, unless it is to hold the connection, closes."""

    holds = False

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.data = b""
        self.address = await self.serve(self.play)

    async def play(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_recv(sock, 4_096)
        await loop.sock_sendall(sock, self.data)
        if self.holds:
            await loop.sock_recv(sock, 1)


class StatusTest(HeadCase):
    """Statuses are three digits from 100 to 599."""

    async def test_status_out_of_range_is_no_answer(self) -> None:
        for status in ("000", "001", "099", "600", "999"):
            self.data = head_bytes(line=f"HTTP/1.1 {status} OK") + b"body"
            for read in self.readers:
                with (
                    self.subTest(read.__name__, status=status),
                    self.assertRaises(InvalidHeadError),
                ):
                    await read(self.address, REQUEST)

    async def test_every_status_in_range_is_an_answer(self) -> None:
        for status in (200, 299, 404, 429, 500, 599):
            self.data = head_bytes(line=f"HTTP/1.1 {status} X") + b"body"
            for read in self.readers:
                with self.subTest(read.__name__, status=status):
                    self.assertEqual(await read(self.address, REQUEST), ReadAnswer(status, b"body"))


class ProtocolTest(HeadCase):
    """Heads of another protocol than HTTP/1."""

    async def test_switch_to_a_protocol_that_was_not_requested_is_no_answer(self) -> None:
        switch = b"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
        self.data = switch + head_bytes() + b"body"
        for read in self.readers:
            with self.subTest(read.__name__), self.assertRaises(InvalidHeadError):
                await read(self.address, REQUEST)

    async def test_other_version_of_http_is_no_answer(self) -> None:
        for version in ("HTTP/0.9", "HTTP/2.0", "HTTP/3.0", "http/1.1", "ICY"):
            self.data = head_bytes(line=f"{version} 200 OK") + b"body"
            for read in self.readers:
                with (
                    self.subTest(read.__name__, version=version),
                    self.assertRaises(ExchangeBrokenError),
                ):
                    await read(self.address, REQUEST)


class TunnelHeadTest(HeadCase):
    """The answer of another instance to a request for a tunnel."""

    holds = True

    async def test_broken_answer_opens_no_tunnel(self) -> None:
        heads = (
            head_bytes("Bad name: 1"),
            head_bytes("X\x01: 1"),
            head_bytes("Bad name: 1", line="HTTP/1.1 503 Busy"),
            head_bytes(line="HTTP/1.1 000 OK"),
            head_bytes(line="HTTP/1.1 100 Continue"),
            head_bytes(line="no 200 answer"),
            b"\x00 200\r\n\r\n",
        )
        for self.data in heads:
            with self.subTest(self.data), self.assertRaises(ConnectionFailedError):
                await self.client.open_stream(Address("127.0.0.1", 9), 500, self.address)


if __name__ == "__main__":
    unittest.main()

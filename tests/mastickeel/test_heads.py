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
from tests.early_answers import reset_at_once
from tests.readers import ReadAnswer, ReaderCase

if TYPE_CHECKING:
    import socket

    from tests.readers import Play

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


class FieldTest(HeadCase):
    """Names and values of fields with bytes that HTTP does not allow; held before issue 66."""

    async def test_odd_byte_in_a_name_is_no_answer(self) -> None:
        names = (" X", "X ", "X Y", "\tX", "X\t", "X(", "", "X\xe9", "Content-Length ")
        names += tuple(f"X{chr(code)}Y" for code in (*range(9), *range(11, 32), 127))
        for name in names:
            for fields in ((f"{name}: 2", "X-A: 1"), ("X-A: 1", f"{name}: 2")):
                await self.check_refused(head_bytes(*fields) + b"body")
        await self.check_refused(head_bytes("no colon") + b"body")

    async def test_odd_byte_in_a_value_is_no_answer(self) -> None:
        for code in (*range(9), *range(11, 32), 127):
            await self.check_refused(head_bytes(f"X-A: 1{chr(code)}2") + b"body")

    async def test_length_that_is_none_is_no_answer(self) -> None:
        for length in ("", "+4", "-4", "0x4", "4_0", "4;", "\xb24", "4, 5", "4\x0b", "9" * 20):
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
            await self.check_refused(head.encode("latin1") + b"body")
        for fields in (("Content-Length: 2",), ("Transfer-Encoding: chunked",)):
            await self.check_refused(head_bytes(*fields) + b"4\r\nbody\r\n0\r\n\r\n")

    async def check_refused(self, data: bytes) -> None:
        """Checks that no reader takes an answer."""
        self.data = data
        for read in self.readers:
            with self.subTest(read.__name__, data=data), self.assertRaises(ExchangeBrokenError):
                await read(self.address, REQUEST)


class CutHeadTest(ReaderCase):
    """Heads that stop anywhere; held before issue 66."""

    async def test_head_that_stops_anywhere_is_no_answer(self) -> None:
        head = head_bytes("X-Request-Id: a1", "Connection: close")

        async def close(sock: socket.socket) -> None:
            sock.close()

        for end in (close, reset_at_once):
            for length in range(len(head)):
                address = await self.serve(self.make_play(head[:length], end))
                for read in self.readers:
                    with (
                        self.subTest(read.__name__, length=length, end=end.__name__),
                        self.assertRaises(ExchangeBrokenError),
                    ):
                        await read(address, REQUEST)

    def make_play(self, data: bytes, end: Play) -> Play:
        """Returns a play that reads a request, writes a part of a head and ends."""

        async def play(sock: socket.socket) -> None:
            loop = asyncio.get_running_loop()
            await loop.sock_recv(sock, 4_096)
            await loop.sock_sendall(sock, data)
            await end(sock)

        return play


if __name__ == "__main__":
    unittest.main()

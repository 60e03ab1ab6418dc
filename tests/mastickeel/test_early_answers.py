"""Answers that come while the request's body is still being written."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import unittest

from mastickeel.httpmessages import ExchangeBrokenError, HttpRequest
from tests.readers import ReaderCase

UPLOAD = HttpRequest("POST", "/", {}, bytes(12_000_000))
"""A request that fits into no buffer of the kernel."""
UNFRAMED = b"HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nhalf"
READ_BYTES = 1024 * 1024
BLOCKED_S = 0.05
"""Time after which the client's writes are blocked, as the server reads nothing."""


def reset(sock: socket.socket) -> None:
    """Closes a connection with a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def read_rest(sock: socket.socket) -> None:
    """Reads until the client closes."""
    while await asyncio.get_running_loop().sock_recv(sock, READ_BYTES):
        pass


class UnframedAnswerTest(ReaderCase):
    """Answers without a length or chunks, which end with the connection."""

    async def test_upload_that_is_read_after_the_end_of_the_answer_raises_no_untyped_error(
        self,
    ) -> None:
        async def play(sock: socket.socket) -> None:
            await asyncio.sleep(BLOCKED_S)
            await asyncio.get_running_loop().sock_sendall(sock, UNFRAMED)
            sock.shutdown(socket.SHUT_WR)
            await read_rest(sock)

        address = await self.serve(play)
        for read in self.readers:
            with self.subTest(read.__name__), contextlib.suppress(ExchangeBrokenError):
                await read(address, UPLOAD)


if __name__ == "__main__":
    unittest.main()

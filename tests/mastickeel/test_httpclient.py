"""Guards against leaked sockets, reuse of connections with unread bytes, and endless waits."""

from __future__ import annotations

import asyncio
import os
import socket
import unittest
from pathlib import Path

from mastickeel.addresses import Address
from mastickeel.clock import Clock
from mastickeel.httpclient import HttpClient
from mastickeel.httpmessages import (
    ConnectionFailedError,
    ExchangeBrokenError,
    HttpRequest,
    Timeouts,
)

REQUEST = HttpRequest("GET", "/")
TIMEOUTS = Timeouts(100, 500, 500)


def open_sockets() -> int:
    """Returns the number of open sockets of this process."""
    links = (Path("/proc/self/fd") / name for name in os.listdir("/proc/self/fd"))
    return sum(link.is_symlink() and "socket:" in os.readlink(link) for link in links)


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = HttpClient(Clock())

    async def asyncTearDown(self) -> None:
        await self.client.close()

    async def serve(self, data: bytes) -> Address:
        """Starts a server that answers each connection with the same bytes and keeps it open."""

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return Address("127.0.0.1", server.sockets[0].getsockname()[1])

    async def test_failed_connection_leaves_no_open_socket(self) -> None:
        # A listener whose queue is full drops the packets that open further connections.
        full = socket.create_server(("127.0.0.1", 0), backlog=0)
        port = full.getsockname()[1]
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))
        before = open_sockets()
        for _ in range(3):
            with self.assertRaises(ConnectionFailedError):
                await self.client.connect(Address("127.0.0.1", port), timeouts=TIMEOUTS, fresh=True)
        self.assertEqual(open_sockets(), before)
        for sock in (full, *fillers):
            sock.close()

    async def test_connection_with_bytes_after_an_answer_is_not_reused(self) -> None:
        address = await self.serve(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokextra")
        answer = await self.client.call(address, REQUEST, TIMEOUTS)
        self.assertEqual(answer.body, b"ok")
        self.assertFalse((await self.client.connect(address, timeouts=TIMEOUTS)).reused)

    async def test_silent_server_breaks_the_exchange(self) -> None:
        address = await self.serve(b"")
        with self.assertRaises(ExchangeBrokenError):
            await self.client.call(address, REQUEST, TIMEOUTS)


if __name__ == "__main__":
    unittest.main()

"""Guards against leaked sockets, reuse of connections with unread bytes, and endless waits."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import threading
import time
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
PAUSE_S = 0.05


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

    async def test_earlier_answer_that_is_repeated_is_taken_for_that_of_the_next_call(self) -> None:
        """Guards against a connection whose unread bytes this process has had no time to see."""
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        answered = threading.Event()
        connections: list[socket.socket] = []

        def serve() -> None:
            for number in range(2):
                connection, _ = server.accept()
                connections.append(connection)
                connection.recv(4_096)
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d" % number
                connection.sendall(answer)
                time.sleep(PAUSE_S)
                with contextlib.suppress(OSError):
                    connection.sendall(answer)
                answered.set()

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        address = Address("127.0.0.1", server.getsockname()[1])
        first = await self.client.call(address, REQUEST, TIMEOUTS)
        # The repeated answer arrives while the event loop does something else.
        answered.wait()
        second = await self.client.call(address, REQUEST, TIMEOUTS)
        self.assertEqual((first.body, second.body), (b"0", b"1"))
        thread.join()
        for connection in connections:
            connection.close()

    async def test_silent_server_breaks_the_exchange(self) -> None:
        address = await self.serve(b"")
        with self.assertRaises(ExchangeBrokenError):
            await self.client.call(address, REQUEST, TIMEOUTS)


if __name__ == "__main__":
    unittest.main()

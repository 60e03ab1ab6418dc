"""Test case that plays answers, byte for byte, to both of the product's readers of HTTP answers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from mastickeel.addresses import Address
from mastickeel.clock import Clock
from mastickeel.httpclient import HttpClient
from mastickeel.httpmessages import HttpHead, HttpRequest, Timeouts
from mastickeel.streaming import StreamedExchange

TIMEOUTS = Timeouts(500, 1_000, 1_000, 2_000)
RECEIVE_BUFFER_BYTES = 16 * 1024
"""Receive buffer of the server, so that a long upload is still being written when it answers."""

Play = Callable[[socket.socket], Awaitable[None]]
"""Plays the server's side of one connection; the request is unread unless the play reads it."""


@dataclass
class ReadAnswer:
    """What a reader has passed on of an answer that it has taken for whole."""

    status: int
    body: bytes


class PlayServer:
    """Server that plays the same on each connection."""

    def __init__(self, play: Play) -> None:
        self._play = play
        self._tasks: list[asyncio.Task[None]] = []
        self._listener = socket.socket()

    @property
    def address(self) -> Address:
        """The address of the server, once it has started."""
        return Address("127.0.0.1", self._listener.getsockname()[1])

    def start(self) -> Address:
        """Starts to accept connections; returns the address."""
        listener = self._listener
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        self._tasks.append(asyncio.ensure_future(self._accept()))
        return self.address

    async def stop(self) -> None:
        """Ends all plays."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._listener.close()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            sock.setblocking(False)
            self._tasks.append(asyncio.ensure_future(self._serve(sock)))

    async def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            await self._play(sock)


class ReaderCase(unittest.IsolatedAsyncioTestCase):
    """Reads what a server plays with ``HttpClient`` and with ``StreamedExchange``."""

    async def asyncSetUp(self) -> None:
        self.client = HttpClient(Clock())
        self.addAsyncCleanup(self.client.close)
        self.via: Address | None = None
        """Instance through which ``HttpClient`` connects; None to connect directly."""

    async def serve(self, play: Play) -> Address:
        """Starts a server that plays the same on each connection."""
        server = PlayServer(play)
        self.addAsyncCleanup(server.stop)
        return server.start()

    async def exchange(self, address: Address, request: HttpRequest) -> ReadAnswer:
        """Reads an answer with ``HttpClient``."""
        heads: list[HttpHead] = []
        body: list[bytes] = []
        connection = await self.client.connect(address, timeouts=TIMEOUTS, fresh=True, via=self.via)
        try:
            await connection.exchange(
                request, on_head=heads.append, on_data=body.append, timeouts=TIMEOUTS
            )
        finally:
            connection.close()
        return ReadAnswer(heads[-1].status, b"".join(body))

    async def stream(self, address: Address, request: HttpRequest) -> ReadAnswer:
        """Reads an answer with ``StreamedExchange``."""
        heads: list[HttpHead] = []
        body: list[bytes] = []
        exchange = StreamedExchange(
            self.client, on_head=heads.append, on_data=body.append, timeouts=TIMEOUTS
        )
        await exchange.run(address, request, lambda: None)
        return ReadAnswer(heads[-1].status, b"".join(body))

    @property
    def readers(self) -> tuple[Callable[[Address, HttpRequest], Awaitable[ReadAnswer]], ...]:
        """The readers of answers."""
        return (self.exchange, self.stream)

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


class ReaderCase(unittest.IsolatedAsyncioTestCase):
    """Reads what a server plays with ``HttpClient`` and with ``StreamedExchange``."""

    async def asyncSetUp(self) -> None:
        self.client = HttpClient(Clock())
        self._plays: list[asyncio.Task[None]] = []
        self.addAsyncCleanup(self.client.close)

    async def serve(self, play: Play) -> Address:
        """Starts a server that plays the same on each connection."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        serving = asyncio.ensure_future(self._accept(listener, play))

        async def stop() -> None:
            tasks = (serving, *self._plays)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            listener.close()

        self.addAsyncCleanup(stop)
        return Address("127.0.0.1", listener.getsockname()[1])

    async def _accept(self, listener: socket.socket, play: Play) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(listener)
            sock.setblocking(False)
            self._plays.append(asyncio.ensure_future(self._play(sock, play)))

    async def _play(self, sock: socket.socket, play: Play) -> None:
        with sock, contextlib.suppress(OSError):
            await play(sock)

    async def exchange(self, address: Address, request: HttpRequest) -> ReadAnswer:
        """Reads an answer with ``HttpClient``."""
        heads: list[HttpHead] = []
        body: list[bytes] = []
        connection = await self.client.connect(address, timeouts=TIMEOUTS, fresh=True)
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

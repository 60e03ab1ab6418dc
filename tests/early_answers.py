"""Plays of servers that answer while the request's body is still being written."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.readers import Play

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


async def drain(sock: socket.socket) -> None:
    """Reads what has arrived, so that a close leaves nothing unread and is no reset at first."""
    with contextlib.suppress(BlockingIOError):
        while sock.recv(READ_BYTES):
            pass


async def close_at_once(sock: socket.socket) -> None:
    """Closes a connection of which nothing that has arrived is unread."""
    await drain(sock)
    sock.close()


async def end_side_then_reset(sock: socket.socket) -> None:
    """Ends the server's side in order, and resets the connection a little later."""
    sock.shutdown(socket.SHUT_WR)
    await asyncio.sleep(BLOCKED_S)
    reset(sock)


async def end_side_then_close(sock: socket.socket) -> None:
    """Ends the server's side in order, and closes the connection with bytes unread."""
    sock.shutdown(socket.SHUT_WR)
    await asyncio.sleep(BLOCKED_S)
    sock.close()


async def end_side_then_read_on(sock: socket.socket) -> None:
    """Ends the server's side in order, and reads the request to its end."""
    sock.shutdown(socket.SHUT_WR)
    await read_rest(sock)


async def reset_at_once(sock: socket.socket) -> None:
    """Resets the connection."""
    reset(sock)


async def reset_later(sock: socket.socket) -> None:
    """Resets the connection when the answer has been read."""
    await asyncio.sleep(BLOCKED_S)
    reset(sock)


async def read_nothing(sock: socket.socket) -> None:
    """Keeps the connection, and reads nothing more of the request."""
    await asyncio.Event().wait()


UNREAD_ENDS = (end_side_then_reset, end_side_then_close, reset_at_once, reset_later)
"""Ends of a connection after which no more of the request is read."""
ENDS = (*UNREAD_ENDS, close_at_once, end_side_then_read_on)
"""All ends; the last two read on, and may get all of a request that fits into the kernel."""


def answer_early(answer: bytes, end: Play, *, read_bytes: int = 0) -> Play:
    """Plays an answer that comes once a part of the request has been read and writes are blocked.

    Args:
        answer: The answer.
        end: Ends the connection.
        read_bytes: Size of the part of the request that is read before.
    """

    async def play(sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        read = 0
        while read < read_bytes:
            read += len(await loop.sock_recv(sock, READ_BYTES))
        await asyncio.sleep(BLOCKED_S)
        await loop.sock_sendall(sock, answer)
        await end(sock)

    return play

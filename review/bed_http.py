"""HTTP/1.1 for the stand-ins: reads messages, and writes answers."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass


@dataclass
class Message:
    """A request or an answer; `first` is its first line."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a first line and headers; returns None when the peer closes before them."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    first, *lines = head.decode("latin1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers, b"")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message with a length or in chunks.

    Raises:
        asyncio.IncompleteReadError: The body ends early.
    """
    message = await read_head(reader)
    if message is None:
        return None
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).strip() or b"0", 16):
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    return message


def write_message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin1") + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a channel with a reset, as at the crash of its process."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """A TCP server whose channels are served by one coroutine each."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one channel."""
        raise NotImplementedError

    async def listen(self) -> None:
        """Opens the port, the same one at each later call."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Closes the port and resets all channels, as at the end of the process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task, writer in list(self._tasks.items()):
            reset(writer)
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks[task] = writer
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            del self._tasks[task]
            writer.close()

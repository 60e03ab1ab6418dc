"""Bounds the connections of a listener, and counts what they hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate

from mastickeel_router.listeners.memory import Holder, MemoryFullError

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.iostream import IOStream

    from mastickeel_router.listeners.memory import HeldMemory, MemoryShare


DEFAULT_MAX_FIELDS = 64
CALLER_SHARE = 0.5
"""Part of the descriptors for callers' connections; each request under way needs another one."""
PAGE_SHARE = 0.06
"""Part of the descriptors for each listener whose requests are few and short: operators, the health
check and the metrics."""
MAX_PAGE_CONNECTIONS = 64


def count_caller_connections(descriptors: int) -> int:
    """Returns the maximum number of callers' connections."""
    return max(1, round(descriptors * CALLER_SHARE))


def count_page_connections(descriptors: int) -> int:
    """Returns the maximum number of connections to a listener whose requests are few and short."""
    return max(1, min(MAX_PAGE_CONNECTIONS, round(descriptors * PAGE_SHARE)))


class ConnectionServer(HTTPServer):
    """HTTP server whose connections are bounded as they are accepted.

    Tornado accepts up to 128 connections before it notifies its delegate of the first, and does not
    notify it of closed ones. A head is counted while it comes, as it may be several times as large
    as the memory of a connection. No more header fields are read than a request may have, and one
    more that shows the excess: thousands of short fields fit into the size of a head, and each of
    them costs far more than its text once it is parsed.
    """

    connections: ConnectionTable
    """Bounds the open connections."""
    max_fields = DEFAULT_MAX_FIELDS
    """Maximum number of header fields."""

    def handle_stream(self, stream: IOStream, address: tuple[object, ...]) -> None:
        """Serves a new connection, if there may be one more."""
        share = self.connections.open(stream, lambda: close_stream(stream))
        if stream.closed():
            self.connections.close(stream)
            return
        read = stream.read_until_regex
        read_from_fd = stream.read_from_fd
        is_head = False

        async def read_head(regex: bytes, max_bytes: int | None = None) -> bytes:
            nonlocal is_head
            is_head = True
            try:
                return cut_fields(await read(regex, max_bytes), self.max_fields + 1)
            finally:
                is_head = False

        def read_counted(buffer: bytearray | memoryview) -> int | None:
            count = read_from_fd(buffer)
            if is_head and count:
                self._hold_head(stream, share, stream._read_buffer_size + count)
            return count

        stream.read_until_regex = read_head  # type: ignore[method-assign]
        stream.read_from_fd = read_counted  # type: ignore[method-assign,assignment]
        super().handle_stream(stream, address)

    def _hold_head(self, stream: IOStream, share: MemoryShare, size: int) -> None:
        """Counts a head that is not complete; closes its connection if there is no room."""
        if size <= stream.read_chunk_size:
            return
        try:
            share.resize(self.connections.connection_bytes + size)
        except MemoryFullError:
            # The stream reads on the call stack.
            stream.io_loop.add_callback(close_stream, stream)

    def on_close(self, server_conn: object) -> None:
        """Notifies the delegate that a connection is closed."""
        super().on_close(server_conn)
        assert isinstance(server_conn, HTTP1ServerConnection)
        stream = server_conn.stream
        self.connections.close(stream)
        # These closures refer to the stream, and would keep it until a collection of garbage.
        del stream.read_until_regex, stream.read_from_fd
        if isinstance(self.request_callback, HTTPServerConnectionDelegate):
            self.request_callback.on_close(server_conn)


def close_stream(stream: IOStream) -> None:
    """Closes a stream and releases its read buffer, which tornado keeps until its tasks end."""
    stream.close()
    release_read_bytes(stream)


def release_read_bytes(stream: IOStream) -> None:
    """Releases the read buffer of a closed stream."""
    stream._read_buffer = bytearray()
    stream._read_buffer_size = 0


def cut_fields(head: bytes, max_fields: int) -> bytes:
    """Returns the head of a request without the fields beyond a number of them."""
    if head.count(b"\n") <= max_fields + 2:
        return head
    end = 0
    for _ in range(max_fields + 1):
        end = head.index(b"\n", end) + 1
    return head[:end] + b"\r\n"


class ConnectionTable:
    """The open connections of one listener, each with its share of the memory."""

    def __init__(self, memory: HeldMemory, max_open: int, connection_bytes: int) -> None:
        """Creates the table without connections.

        Args:
            memory: Counts what the connections hold.
            max_open: Maximum number of open connections.
            connection_bytes: Memory of a connection on which no request has come.
        """
        self.memory = memory
        """Counts what the connections hold."""
        self._max_open = max_open
        self.connection_bytes = connection_bytes
        """Memory of a connection on which no request has come."""
        self._shares_by_connection: dict[object, MemoryShare] = {}

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._shares_by_connection)

    def open(self, connection: object, close: Callable[[], None]) -> MemoryShare:
        """Adds a connection; closes the one that has made no progress for longest if needed.

        Args:
            connection: The new connection.
            close: Closes it; called at once if all others are in use.

        Returns:
            The memory of the connection.
        """
        share = self.memory.open_share(close, Holder.CALLER)
        if self.open_count >= self._max_open:
            stalled = self.memory.find_stalled(self._shares_by_connection.values())
            self._evict(share if stalled is None else stalled)
        self._shares_by_connection[connection] = share
        try:
            share.resize(self.connection_bytes)
        except MemoryFullError:
            close()
        return share

    def find(self, connection: object) -> MemoryShare | None:
        """Returns the memory of an open connection; None if it is closed."""
        return self._shares_by_connection.get(connection)

    def close(self, connection: object) -> None:
        """Removes a connection that is closed."""
        share = self._shares_by_connection.pop(connection, None)
        if share is not None:
            share.close()
            share.on_evict = _end_nothing

    def _evict(self, victim: MemoryShare) -> None:
        """Closes a connection, which does not count from then on."""
        for connection, share in self._shares_by_connection.items():
            if share is victim:
                del self._shares_by_connection[connection]
                break
        self.memory.evict(victim, "connections")
        victim.on_evict = _end_nothing


def _end_nothing() -> None:
    """Replaces the callback of a closed connection, which refers to its stream."""

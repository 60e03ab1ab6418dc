"""HTTP listener for pages that are built on each request: health checks and metrics."""

from __future__ import annotations

from dataclasses import dataclass
from http.client import responses
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.netutil import bind_sockets

from mastickeel_router.listeners.connections import ConnectionServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPConnection

    from mastickeel.addresses import Address
    from mastickeel_router.listeners.connections import ConnectionTable

MAX_HEADER_BYTES = 8_192
MAX_BODY_BYTES = 65_536
"""Size of a body up to which it is read, and not kept; a larger one closes the connection."""
READ_BYTES = 4_096
"""Bytes that are read from a connection at a time."""
READ_TIMEOUT_S = 15.0
"""Time for which a connection may be idle or send a request."""
PAGE_CONNECTION_BYTES = 24 * 1024
"""Memory of a connection: its stream, its task and its read buffer."""


@dataclass(frozen=True)
class Page:
    """A response without custom headers."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain"


class PageListener(HTTPServerConnectionDelegate):
    """Serves a page on one path; answers every other path with 404."""

    def __init__(
        self, path: str, make_page: Callable[[], Page], connections: ConnectionTable
    ) -> None:
        """Creates a listener without opening its socket.

        Args:
            path: Path of the page.
            make_page: Builds the page; called on each request.
            connections: Bounds the open connections.
        """
        self._path = path
        self._make_page = make_page
        self._server = ConnectionServer(
            self,
            idle_connection_timeout=READ_TIMEOUT_S,
            body_timeout=READ_TIMEOUT_S,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            chunk_size=READ_BYTES,
        )
        self._server.connections = connections

    def listen(self, address: Address) -> int:
        """Starts listening on an address and returns the port."""
        sockets = bind_sockets(address.port, address.host)
        self._server.add_sockets(sockets)
        port: int = sockets[0].getsockname()[1]
        return port

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Creates the reader of a connection's next request."""
        assert isinstance(request_conn, HTTP1Connection)
        return _PageReader(self._answer, request_conn)

    def _answer(self, path: str) -> Page:
        return self._make_page() if path == self._path else Page(404)


class _PageReader(HTTPMessageDelegate):
    """Reads one request without its body, and answers it."""

    def __init__(self, answer: Callable[[str], Page], connection: HTTP1Connection) -> None:
        self._answer = answer
        self._connection = connection
        self._path = ""

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._path = start_line.path.partition("?")[0]

    def data_received(self, chunk: bytes) -> None:
        """Drops a part of the body."""

    def finish(self) -> None:
        page = self._answer(self._path)
        headers = HTTPHeaders({"Content-Type": page.content_type})
        headers["Content-Length"] = str(len(page.body))
        line = ResponseStartLine("HTTP/1.1", page.status, responses[page.status])
        self._connection.write_headers(line, headers, page.body)
        self._connection.finish()

    def on_connection_close(self) -> None:
        """Does nothing: the answer is written at once."""

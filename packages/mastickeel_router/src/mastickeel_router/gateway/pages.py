"""HTTP listener for pages that are built on each request: health checks and metrics."""

from __future__ import annotations

from dataclasses import dataclass
from http.client import responses
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.addresses import Address


@dataclass(frozen=True)
class Page:
    """A response without custom headers."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain"


class PageListener:
    """Serves a page on one path; answers every other path with 404."""

    def __init__(self, path: str, make_page: Callable[[], Page]) -> None:
        """Creates a listener without opening its socket.

        Args:
            path: Path of the page.
            make_page: Builds the page; called on each request.
        """
        self._path = path
        self._make_page = make_page
        self._server = HTTPServer(self._answer)

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

    def _answer(self, request: HTTPServerRequest) -> None:
        page = self._make_page() if request.path == self._path else Page(404)
        headers = HTTPHeaders({"Content-Type": page.content_type})
        headers["Content-Length"] = str(len(page.body))
        line = ResponseStartLine("HTTP/1.1", page.status, responses[page.status])
        assert request.connection is not None
        request.connection.write_headers(line, headers, page.body)
        request.connection.finish()

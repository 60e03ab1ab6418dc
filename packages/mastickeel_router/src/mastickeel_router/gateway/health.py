"""The health check of the load balancer in front of the instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.addresses import Address


class HealthListener:
    """Answers 200 while the instance takes new connections, 503 otherwise."""

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        """Makes a listener that does not listen yet.

        Args:
            path: The path that is asked for.
            is_ready: Whether new connections are wanted.
        """
        self._path = path
        self._is_ready = is_ready
        self._server = HTTPServer(self._answer)

    def listen(self, address: Address) -> int:
        """Opens the listener and returns its port."""
        sockets = bind_sockets(address.port, address.host)
        self._server.add_sockets(sockets)
        port: int = sockets[0].getsockname()[1]
        return port

    async def close(self) -> None:
        """Ends the listener and its connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def _answer(self, request: HTTPServerRequest) -> None:
        status, reason = 404, "Not Found"
        if request.path == self._path:
            status, reason = (200, "OK") if self._is_ready() else (503, "Service Unavailable")
        assert request.connection is not None
        headers = HTTPHeaders({"Content-Length": "0"})
        request.connection.write_headers(ResponseStartLine("HTTP/1.1", status, reason), headers)
        request.connection.finish()

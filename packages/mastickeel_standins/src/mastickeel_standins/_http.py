"""Shared HTTP parts of the stand-ins: a loopback listener and a handler for JSON calls."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

if TYPE_CHECKING:
    from collections.abc import Sequence

LOOPBACK = "127.0.0.1"
MAX_BODY_BYTES = 16 * 1024 * 1024


class Listener:
    """HTTP server on a loopback port."""

    def __init__(self, routes: Sequence[tuple[Any, ...]]) -> None:
        """Creates the server without binding its port.

        Args:
            routes: Tornado's routing rules: pattern, handler class and handler settings.
        """
        self._application = Application(list(routes), log_function=lambda handler: None)
        self._server: HTTPServer | None = None
        self.port = 0
        """The TCP port; 0 before ``start``."""

    async def start(self, port: int = 0, host: str = LOOPBACK) -> None:
        """Binds the port and starts serving.

        Args:
            port: The port; 0 chooses a free port.
            host: A loopback address.

        Raises:
            ValueError: If the host is not a loopback address.
        """
        if not ipaddress.ip_address(host).is_loopback:
            raise ValueError(
                f"{host} is not a loopback address; stand-ins bind only loopback addresses."
            )
        sockets = bind_sockets(port, host)
        self._server = HTTPServer(self._application, max_buffer_size=MAX_BODY_BYTES)
        self._server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Closes the port and all connections."""
        if self._server is None:
            return
        server = self._server
        self._server = None
        server.stop()
        await server.close_all_connections()


class JsonHandler(RequestHandler):
    """Request handler for JSON bodies."""

    def json_body(self) -> dict[str, Any]:
        """Returns the request body as an object; an empty body is an empty object.

        Raises:
            ValueError: If the body is not a JSON object.
        """
        body = msgspec.json.decode(self.request.body or b"{}")
        if not isinstance(body, dict):
            raise ValueError("The body must be a JSON object.")
        return body

    def reply(self, body: object, status: int = 200) -> None:
        """Sends a JSON response.

        Args:
            body: The value to encode.
            status: The HTTP status.
        """
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    async def send_line(self, line: object) -> bool:
        """Sends one JSON line of a streaming response.

        Args:
            line: The value to encode.

        Returns:
            Whether the caller was still connected.
        """
        self.write(msgspec.json.encode(line) + b"\n")
        try:
            await self.flush()
        except StreamClosedError:
            return False
        return True

    def drop(self) -> None:
        """Closes the connection without a reply."""
        if self.request.connection is None or getattr(self.request.connection, "stream", 0) is None:
            return
        self.detach().close()

"""HTTP server of the stand-ins that can drop connections and suspend its listening."""

from __future__ import annotations

import asyncio
import socket
from http.client import responses
from typing import TYPE_CHECKING, Any

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from tornado.httputil import HTTPServerRequest
    from tornado.iostream import IOStream

JSON_TYPE = "application/json"
LISTEN_BACKLOG = 128


class Exchange:
    """One HTTP request and its connection."""

    def __init__(self, request: HTTPServerRequest) -> None:
        """Creates the exchange for a request whose body is complete.

        Args:
            request: The request as parsed by Tornado.
        """
        self.request = request
        """The request."""
        self.closed = asyncio.Event()
        """Set once the caller's connection is closed."""
        connection = request.connection
        assert isinstance(connection, HTTP1Connection)
        self._connection = connection
        self._stream: IOStream = connection.stream
        connection.set_close_callback(self.closed.set)

    def header(self, name: str) -> str | None:
        """Returns the value of a request header, or None if the header is absent."""
        return self.request.headers.get(name)

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Sends the status line and the headers.

        Args:
            status: The HTTP status.
            headers: The headers; without Content-Length the body is sent chunked.
        """
        start = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        await self._send_if_open(
            lambda: self._connection.write_headers(start, HTTPHeaders(headers))
        )

    async def write(self, data: bytes) -> None:
        """Sends a part of the body, or marks the exchange as closed if the connection is lost."""
        await self._send_if_open(lambda: self._connection.write(data))

    def finish(self) -> None:
        """Completes the response unless the connection is closed."""
        if not self._stream.closed():
            self._connection.finish()

    def drop(self) -> None:
        """Closes the connection without completing the response."""
        self._stream.close()
        self.closed.set()

    async def text(self, status: int, body: str, content_type: str = "text/plain") -> None:
        """Sends a complete text response.

        Args:
            status: The HTTP status.
            body: The body.
            content_type: Media type of the body.
        """
        data = body.encode()
        headers = {"Content-Type": content_type, "Content-Length": str(len(data))}
        await self.begin(status, headers)
        await self.write(data)
        self.finish()

    async def json(self, status: int, value: Any) -> None:
        """Sends a complete JSON response."""
        await self.text(status, msgspec.json.encode(value).decode(), JSON_TYPE)

    async def error(self, status: int, message: str, kind: str = "invalid_request_error") -> None:
        """Sends an error response in the format of the OpenAI API."""
        await self.json(status, {"error": {"message": message, "type": kind, "code": status}})

    async def _send_if_open(self, send: Callable[[], Awaitable[None]]) -> None:
        """Calls ``send`` unless the connection is closed; marks the exchange when it closes."""
        if self.closed.is_set() or self._stream.closed():
            self.closed.set()
            return
        try:
            await send()
        except StreamClosedError:
            self.closed.set()


class _TrackingServer(HTTPServer):
    """Tornado HTTP server that keeps track of its open connections."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Initializes the server; Tornado calls this method in place of a constructor."""
        super().initialize(*args, **kwargs)
        self.streams: set[IOStream] = set()

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Registers a new connection and handles it."""
        self.streams = {open_stream for open_stream in self.streams if not open_stream.closed()}
        self.streams.add(stream)
        super().handle_stream(stream, address)


class StandinServer:
    """Loopback HTTP server that runs one coroutine per request."""

    def __init__(self, handler: Callable[[Exchange], Awaitable[None]]) -> None:
        """Creates a server that listens after ``start``.

        Args:
            handler: Coroutine function that answers one exchange.
        """
        self.port = 0
        """The TCP port; 0 before ``start``."""
        self._handler = handler
        self._host = "127.0.0.1"
        self._listener: _TrackingServer | None = None
        self._bound_socket: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, port: int = 0, host: str = "127.0.0.1") -> None:
        """Binds the port and starts listening.

        Args:
            port: The port; 0 chooses a free port.
            host: The loopback address.
        """
        self._host = host
        self._bind_port(port)
        self.resume()

    def suspend(self) -> None:
        """Closes all connections and refuses new ones; the port stays reserved."""
        listener, self._listener = self._listener, None
        if listener is None:
            return
        listener.stop()
        self._bind_port(self.port)
        for stream in listener.streams:
            stream.close()

    def resume(self) -> None:
        """Listens on the reserved port, after ``start`` or ``suspend``."""
        bound_socket, self._bound_socket = self._bound_socket, None
        if bound_socket is None:
            return
        bound_socket.listen(LISTEN_BACKLOG)
        self._listener = _TrackingServer(self._on_request)
        self._listener.add_sockets([bound_socket])

    async def stop(self) -> None:
        """Closes the port and all connections and cancels the handlers in progress."""
        self.suspend()
        if self._bound_socket is not None:
            self._bound_socket.close()
            self._bound_socket = None
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _bind_port(self, port: int) -> None:
        """Binds the port without listening: connections are refused and the port stays reserved."""
        bound_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        bound_socket.setblocking(False)
        bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound_socket.bind((self._host, port))
        self.port = bound_socket.getsockname()[1]
        self._bound_socket = bound_socket

    def _on_request(self, request: HTTPServerRequest) -> None:
        """Starts the handler of a request in a task."""
        task = asyncio.ensure_future(self._run_handler(Exchange(request)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_handler(self, exchange: Exchange) -> None:
        """Runs the handler and drops the connection if the handler raises."""
        try:
            await self._handler(exchange)
        except BaseException:
            exchange.drop()
            raise

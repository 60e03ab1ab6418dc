"""The small HTTP server under the stand-ins, which can also drop connections and go down."""

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
    """One request and the connection over which it is answered."""

    def __init__(self, request: HTTPServerRequest) -> None:
        """Takes a request whose body is complete.

        Args:
            request: The request as tornado has read it.
        """
        self.request = request
        """The request."""
        self.closed = asyncio.Event()
        """Set once the caller's connection is gone."""
        connection = request.connection
        assert isinstance(connection, HTTP1Connection)
        self._connection = connection
        self._stream: IOStream = connection.stream
        connection.set_close_callback(self.closed.set)

    def header(self, name: str) -> str | None:
        """Returns a header of the request, or None."""
        return self.request.headers.get(name)

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Sends the status line and the headers.

        Args:
            status: The HTTP status.
            headers: The headers; without Content-Length the body goes out in chunks.
        """
        start = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        await self._send_if_open(
            lambda: self._connection.write_headers(start, HTTPHeaders(headers))
        )

    async def write(self, data: bytes) -> None:
        """Sends a part of the body, or marks the exchange closed when the caller is gone."""
        await self._send_if_open(lambda: self._connection.write(data))

    def finish(self) -> None:
        """Ends the answer."""
        if not self._stream.closed():
            self._connection.finish()

    def drop(self) -> None:
        """Closes the connection without ending the answer."""
        self._stream.close()
        self.closed.set()

    async def text(self, status: int, body: str, content_type: str = "text/plain") -> None:
        """Answers with a whole body.

        Args:
            status: The HTTP status.
            body: The body.
            content_type: Its media type.
        """
        data = body.encode()
        headers = {"Content-Type": content_type, "Content-Length": str(len(data))}
        await self.begin(status, headers)
        await self.write(data)
        self.finish()

    async def json(self, status: int, value: Any) -> None:
        """Answers with a JSON value."""
        await self.text(status, msgspec.json.encode(value).decode(), JSON_TYPE)

    async def error(self, status: int, message: str, kind: str = "invalid_request_error") -> None:
        """Answers with an error in the shape of the OpenAI interface."""
        await self.json(status, {"error": {"message": message, "type": kind, "code": status}})

    async def _send_if_open(self, send: Callable[[], Awaitable[None]]) -> None:
        """Sends something unless the connection is gone."""
        if self.closed.is_set() or self._stream.closed():
            self.closed.set()
            return
        try:
            await send()
        except StreamClosedError:
            self.closed.set()


class _TrackingServer(HTTPServer):
    """The server of tornado, with the open connections at hand."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Prepares the server; tornado calls this in place of a constructor."""
        super().initialize(*args, **kwargs)
        self.streams: set[IOStream] = set()

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Takes a new connection."""
        self.streams = {one for one in self.streams if not one.closed()}
        self.streams.add(stream)
        super().handle_stream(stream, address)


class StandinServer:
    """A loopback server that runs one coroutine a request."""

    def __init__(self, handler: Callable[[Exchange], Awaitable[None]]) -> None:
        """Makes the server; it listens after ``start``.

        Args:
            handler: Coroutine function that answers one exchange.
        """
        self.port = 0
        """The port, known after the start."""
        self._handler = handler
        self._host = "127.0.0.1"
        self._listener: _TrackingServer | None = None
        self._bound_socket: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, port: int = 0, host: str = "127.0.0.1") -> None:
        """Listens.

        Args:
            port: The port; 0 takes a free one.
            host: The loopback address.
        """
        self._host = host
        self._bind_port(port)
        self.resume()

    def suspend(self) -> None:
        """Closes every connection at once and refuses new ones, keeping the port."""
        listener, self._listener = self._listener, None
        if listener is None:
            return
        listener.stop()
        self._bind_port(self.port)
        for stream in listener.streams:
            stream.close()

    def resume(self) -> None:
        """Listens again after ``go_down``."""
        held, self._bound_socket = self._bound_socket, None
        if held is None:
            return
        held.listen(LISTEN_BACKLOG)
        self._listener = _TrackingServer(self._on_request)
        self._listener.add_sockets([held])

    async def stop(self) -> None:
        """Closes everything and ends the answers in progress."""
        self.suspend()
        if self._bound_socket is not None:
            self._bound_socket.close()
            self._bound_socket = None
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _bind_port(self, port: int) -> None:
        """Binds the port without listening, so that callers are refused and nobody takes it."""
        held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        held.setblocking(False)
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((self._host, port))
        self.port = held.getsockname()[1]
        self._bound_socket = held

    def _on_request(self, request: HTTPServerRequest) -> None:
        """Starts the answer to a request."""
        task = asyncio.ensure_future(self._run_handler(Exchange(request)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_handler(self, exchange: Exchange) -> None:
        """Answers, and drops the connection when the stand-in itself fails."""
        try:
            await self._handler(exchange)
        except BaseException:
            exchange.drop()
            raise

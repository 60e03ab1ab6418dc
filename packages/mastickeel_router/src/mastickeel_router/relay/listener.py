"""The callers' HTTP listener: reads requests unchanged, and writes answers as they arrive."""

from __future__ import annotations

import asyncio
import socket
import struct
from http.client import responses
from typing import TYPE_CHECKING

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from mastickeel.decoding import is_over
from mastickeel.errors import BodyTooLargeError, MastickeelError, UnavailableError
from mastickeel.events import define_event
from mastickeel.httpclient import configure_socket
from mastickeel.logs import log
from mastickeel_router.relay.types import RequestHead

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.httputil import HTTPConnection

    from mastickeel.addresses import Address
    from mastickeel_router.routes import CallerLimits

HTTP_WITH_CHUNKS = "HTTP/1.1"
LISTEN_BACKLOG = 512
"""Connections that may wait to be accepted, so that a burst of new connections is not dropped."""
MAX_CONNECTION_BODY_BYTES = 64 * 1024 * 1024
"""Body size at which tornado closes a connection; the configured limits are lower."""
HEADER_READ_FACTOR = 4
"""Multiple of the header limit up to which headers are read, so that the sender of headers over the
limit gets an error instead of a closed connection."""

MAX_BUFFERED_BYTES = 48 * 1024 * 1024
"""Maximum size of the bodies of all open requests: a third of the smallest instance's memory."""
MEMORY_FULL_RETRY_MS = 1_000
"""Retry time sent to callers while the bodies fill the memory: about one request's duration."""

SERVE_FAILED = define_event(
    2330,
    "serve_failed",
    "error",
    "A request failed with an unexpected exception, which is a bug in the router; report it.",
)


class HeadersTooLargeError(MastickeelError):
    """Raised when a request's headers are over the limit."""

    code = "headers_too_large"
    status = 431
    title = "The headers are over the limit."
    remedy = "Send fewer or shorter headers; the detail says how large they may be."


class Responder:
    """Writes the answer to one request."""

    def __init__(self, connection: HTTP1Connection, *, chunks: bool = True) -> None:
        """Creates a responder.

        Args:
            connection: The caller's connection.
            chunks: Whether the caller understands chunks. If not, an answer without a length ends
                with the connection.
        """
        self.started = False
        """Whether the head of an answer has been written."""
        self._connection = connection
        self._chunks = chunks

    async def write_answer(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Writes a complete answer.

        Args:
            status: HTTP status of the answer.
            headers: Headers of the answer; `Content-Length` is added.
            body: Body of the answer.

        Raises:
            StreamClosedError: When the caller has disconnected.
        """
        headers["Content-Length"] = str(len(body))
        await self.write_head(status, headers, body)
        self.finish()

    async def write_head(self, status: int, headers: HTTPHeaders, first: bytes = b"") -> None:
        """Writes the status, the headers and the first part of the body."""
        self.started = True
        if not self._chunks and "Content-Length" not in headers:
            # Until the answer is complete, any close has to be seen as a broken connection.
            self._set_reset_on_close(True)
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        await self._connection.write_headers(line, headers, first or None)

    async def write_chunk(self, data: bytes) -> None:
        """Writes a part of the body; returns once the caller's connection has accepted it."""
        await self._connection.write(data)

    def finish(self) -> None:
        """Completes the answer."""
        if not self._chunks:
            self._set_reset_on_close(False)
        self._connection.finish()

    def abort(self) -> None:
        """Closes the connection, so that the partial answer does not look complete."""
        self._connection.close()

    def _set_reset_on_close(self, enabled: bool) -> None:
        """Makes a close of the caller's connection a reset, or an orderly close again."""
        sock = self._connection.stream.socket
        if sock is not None:
            linger = struct.pack("ii", int(enabled), 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class CallerListener(HTTPServerConnectionDelegate):
    """Accepts callers' connections and serves each request in a task of its own."""

    def __init__(
        self,
        serve: Callable[[RequestHead, bytes, Responder], Awaitable[None]],
        refuse: Callable[[MastickeelError], tuple[int, dict[str, str], bytes]],
        limits: Callable[[], CallerLimits],
    ) -> None:
        """Creates a listener without opening its socket.

        Args:
            serve: Answers a request.
            refuse: Returns status, headers and body of the answer to a request over a limit.
            limits: Returns the current limits of callers.
        """
        self.open_requests = 0
        """Requests that have been read at least in part and are not yet answered."""
        self.buffered_bytes = 0
        """Size of the bodies of the open requests."""
        self._serve = serve
        self._refuse = refuse
        self._limits = limits
        self._readers_by_connection: dict[object, _RequestReader] = {}
        self._server: HTTPServer | None = None

    def listen(self, address: Address) -> int:
        """Opens the listening socket and returns its port."""
        limits = self._limits()
        server = HTTPServer(
            self,
            idle_connection_timeout=limits.idle_timeout_ms / 1_000,
            body_timeout=limits.idle_timeout_ms / 1_000,
            max_header_size=limits.header_bytes * HEADER_READ_FACTOR,
            max_body_size=MAX_CONNECTION_BODY_BYTES,
        )
        sockets = bind_sockets(address.port, address.host, backlog=LISTEN_BACKLOG)
        server.add_sockets(sockets)
        self._server = server
        port: int = sockets[0].getsockname()[1]
        return port

    def apply_limits(self, limits: CallerLimits) -> None:
        """Applies new limits to later connections."""
        if self._server is not None:
            # Tornado has one timeout for idle connections and for headers that arrive slowly.
            self._server.conn_params.header_timeout = limits.idle_timeout_ms / 1_000
            self._server.conn_params.body_timeout = limits.idle_timeout_ms / 1_000

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Creates the reader of a connection's next request."""
        assert isinstance(request_conn, HTTP1Connection)
        if server_conn not in self._readers_by_connection:
            configure_socket(request_conn.stream.socket)
        reader = _RequestReader(self, request_conn)
        self._readers_by_connection[server_conn] = reader
        return reader

    def on_close(self, server_conn: object) -> None:
        """Removes the reader of a closed connection."""
        self._readers_by_connection.pop(server_conn, None)

    def disable_keep_alive(self) -> None:
        """Closes each connection after the answer to its current or next request."""
        if self._server is not None:
            self._server.conn_params.no_keep_alive = True
        for reader in self._readers_by_connection.values():
            reader.disable_keep_alive()

    def close_idle(self) -> None:
        """Closes the connections without an open request."""
        for reader in list(self._readers_by_connection.values()):
            if not reader.busy:
                reader.close()

    def stop(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.stop()

    async def close(self) -> None:
        """Stops accepting connections and closes the open ones."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()


class _RequestReader(HTTPMessageDelegate):
    """Reads one request and starts the task that answers it."""

    def __init__(self, listener: CallerListener, connection: HTTP1Connection) -> None:
        self.busy = False
        """Whether the request has been read at least in part and is not yet answered."""
        self._listener = listener
        self._connection = connection
        self._head: RequestHead | None = None
        self._chunks = True
        self._parts: list[bytes] = []
        self._received = 0
        self._buffered_bytes = 0
        self._refused = False
        self._closed = False
        self._task: asyncio.Task[None] | None = None

    def disable_keep_alive(self) -> None:
        """Closes the connection after the current answer."""
        # Tornado decides whether to close when it reads a request's headers, and has no public way
        # to change that decision.
        self._connection._disconnect_on_finish = True

    def close(self) -> None:
        """Closes the connection; a request that has arrived but was not read is not served."""
        self._closed = True
        self._connection.close()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._set_busy(True)
        if start_line.version != HTTP_WITH_CHUNKS:
            self._chunks = False
            # Tornado promises such a caller to keep the connection if the caller asks for it.
            headers.pop("Connection", None)
            self.disable_keep_alive()
        self._head = RequestHead(start_line.method, start_line.path, headers)
        limits = self._listener._limits()
        size = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
        length = headers.get("Content-Length", "0")
        if size > limits.header_bytes:
            self._refuse(HeadersTooLargeError(f"At most {limits.header_bytes} bytes."))
        elif length.isdigit() and is_over(length, limits.body_bytes):
            self._refuse(BodyTooLargeError(f"At most {limits.body_bytes} bytes."))

    def data_received(self, chunk: bytes) -> None:
        self._received += len(chunk)
        if self._refused:
            return
        limit = self._listener._limits().body_bytes
        if self._received > limit:
            self._refuse(BodyTooLargeError(f"At most {limit} bytes."))
            return
        if self._listener.buffered_bytes + len(chunk) > MAX_BUFFERED_BYTES:
            detail = "The bodies of open requests fill the memory reserved on this instance."
            self._refuse(UnavailableError(detail, retry_after_ms=MEMORY_FULL_RETRY_MS))
            return
        self._listener.buffered_bytes += len(chunk)
        self._buffered_bytes += len(chunk)
        self._parts.append(chunk)

    def finish(self) -> None:
        if self._refused or self._closed:
            return
        assert self._head is not None
        body = b"".join(self._parts)
        self._parts.clear()
        # Tornado notifies the delegate of a close only while the request is being read.
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.ensure_future(self._answer(self._head, body))

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._set_busy(False)

    async def _answer(self, head: RequestHead, body: bytes) -> None:
        """Serves the request; closes the connection on any error."""
        responder = Responder(self._connection, chunks=self._chunks)
        try:
            await self._listener._serve(head, body, responder)
        except StreamClosedError:
            self._connection.close()
        except asyncio.CancelledError:
            self._connection.close()
            raise
        except Exception as error:
            log(SERVE_FAILED, method=head.method, path=head.path, error=repr(error))
            self._connection.close()
        finally:
            self._set_busy(False)

    def _refuse(self, error: MastickeelError) -> None:
        """Sends an error and closes the connection; the rest of the request is not read."""
        self._refused = True
        status, fields, body = self._listener._refuse(error)
        headers = HTTPHeaders(fields)
        headers["Connection"] = "close"
        headers["Content-Length"] = str(len(body))
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        self._connection.write_headers(line, headers, body)
        self._connection.finish()
        self._set_busy(False)

    def _set_busy(self, busy: bool) -> None:
        if busy != self.busy:
            self.busy = busy
            self._listener.open_requests += 1 if busy else -1
        if not busy:
            self._listener.buffered_bytes -= self._buffered_bytes
            self._buffered_bytes = 0


def encode_problem(error: MastickeelError) -> bytes:
    """Returns the JSON body that describes an error and its remedy to a caller."""
    fields = {
        "code": error.code,
        "title": error.title,
        "detail": error.detail,
        "remedy": error.remedy,
        "ran": error.ran.value,
    }
    return msgspec.json.encode(fields)

"""The callers' listener: reads requests byte for byte, and writes answers as they come."""

from __future__ import annotations

import asyncio
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

LISTEN_BACKLOG = 512
"""Connections that wait to be taken; a burst of new ones is not dropped before it is read."""
MAX_CONNECTION_BODY_BYTES = 64 * 1024 * 1024
"""Where tornado itself ends a connection; the configured limits are below it."""
HEADER_READ_FACTOR = 4
"""Headers are read up to this many times their limit, so that their sender gets the refusal."""

MAX_BUFFERED_BYTES = 48 * 1024 * 1024
"""What the bodies of all open requests may take: a third of the smallest instance's memory."""
MEMORY_FULL_RETRY_MS = 1_000
"""When to come back to an instance that holds too many bodies: about one request's time."""

SERVE_FAILED = define_event(
    2330, "serve_failed", "error", "A request met an error that is a fault of ours; report it."
)


class HeadersTooLargeError(MastickeelError):
    """Raised when a request's headers are over the limit."""

    code = "headers_too_large"
    status = 431
    title = "The headers are over the limit."
    remedy = "Send fewer or shorter headers; the detail says how large they may be."


class Responder:
    """Writes the answer to one request."""

    def __init__(self, connection: HTTP1Connection) -> None:
        self.started = False
        """Whether the head of an answer has been written."""
        self._connection = connection

    async def write_answer(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Writes a whole answer.

        Args:
            status: Its status.
            headers: Its headers; the length is set here.
            body: Its body.

        Raises:
            StreamClosedError: When the caller is gone.
        """
        headers["Content-Length"] = str(len(body))
        await self.write_head(status, headers, body)
        self.finish()

    async def write_head(self, status: int, headers: HTTPHeaders, first: bytes = b"") -> None:
        """Writes status and headers, and the first part of the body with them."""
        self.started = True
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        await self._connection.write_headers(line, headers, first or None)

    async def write_chunk(self, data: bytes) -> None:
        """Writes a part of the body; returns once the caller's connection has taken it."""
        await self._connection.write(data)

    def finish(self) -> None:
        """Ends the answer as complete."""
        self._connection.finish()

    def abort(self) -> None:
        """Ends the connection, so that what was written does not look complete."""
        self._connection.close()


class CallerListener(HTTPServerConnectionDelegate):
    """Accepts callers' connections and serves each request in a task of its own."""

    def __init__(
        self,
        serve: Callable[[RequestHead, bytes, Responder], Awaitable[None]],
        refuse: Callable[[MastickeelError], tuple[int, dict[str, str], bytes]],
        limits: Callable[[], CallerLimits],
    ) -> None:
        """Makes a listener that does not listen yet.

        Args:
            serve: Answers a request.
            refuse: Writes the answer to a request that is over a limit.
            limits: What callers may send now.
        """
        self.open_requests = 0
        """Requests that have been read at least in part and not been answered."""
        self.buffered_bytes = 0
        """What their bodies take."""
        self._serve = serve
        self._refuse = refuse
        self._limits = limits
        self._readers_by_connection: dict[object, _RequestReader] = {}
        self._server: HTTPServer | None = None

    def listen(self, address: Address) -> int:
        """Opens the listener and returns its port."""
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
        """Puts new limits in force for connections from now on."""
        if self._server is not None:
            # Tornado has one limit for an idle connection and for headers that come slowly.
            self._server.conn_params.header_timeout = limits.idle_timeout_ms / 1_000
            self._server.conn_params.body_timeout = limits.idle_timeout_ms / 1_000

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Makes the reader of a connection's next request."""
        assert isinstance(request_conn, HTTP1Connection)
        if server_conn not in self._readers_by_connection:
            configure_socket(request_conn.stream.socket)
        reader = _RequestReader(self, request_conn)
        self._readers_by_connection[server_conn] = reader
        return reader

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection that has ended."""
        self._readers_by_connection.pop(server_conn, None)

    def disable_keep_alive(self) -> None:
        """Answers each request from now on as the last of its connection."""
        if self._server is not None:
            self._server.conn_params.no_keep_alive = True
        for reader in self._readers_by_connection.values():
            reader.disable_keep_alive()

    def close_idle(self) -> None:
        """Ends the connections on which no request is under way."""
        for reader in list(self._readers_by_connection.values()):
            if not reader.busy:
                reader.close()

    def stop(self) -> None:
        """Takes no more connections."""
        if self._server is not None:
            self._server.stop()

    async def close(self) -> None:
        """Ends every connection."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()


class _RequestReader(HTTPMessageDelegate):
    """Reads one request and starts the task that answers it."""

    def __init__(self, listener: CallerListener, connection: HTTP1Connection) -> None:
        self.busy = False
        """Whether the request has begun and is not answered."""
        self._listener = listener
        self._connection = connection
        self._head: RequestHead | None = None
        self._parts: list[bytes] = []
        self._received = 0
        self._buffered_bytes = 0
        self._refused = False
        self._closed = False
        self._task: asyncio.Task[None] | None = None

    def disable_keep_alive(self) -> None:
        """Makes the answer under way the last of its connection."""
        # Tornado decides this when it reads a request's headers, and has no way to change its mind.
        self._connection._disconnect_on_finish = True

    def close(self) -> None:
        """Ends the connection; a request that has arrived and was not read yet is not served."""
        self._closed = True
        self._connection.close()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._set_busy(True)
        self._head = RequestHead(start_line.method, start_line.path, headers)
        limits = self._listener._limits()
        size = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
        if size > limits.header_bytes:
            self._refuse(HeadersTooLargeError(f"At most {limits.header_bytes} bytes."))
        length = headers.get("Content-Length", "")
        if length.isdigit() and int(length) > limits.body_bytes:
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
            detail = "The bodies of open requests fill this instance's memory."
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
        # Tornado tells the delegate of a close only while the request is being read.
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.ensure_future(self._answer(self._head, body))

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._set_busy(False)

    async def _answer(self, head: RequestHead, body: bytes) -> None:
        """Serves the request; whatever goes wrong, the connection ends or is answered."""
        responder = Responder(self._connection)
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
        """Answers at once and ends the connection: the rest of the request is not read."""
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


def problem_body(error: MastickeelError) -> bytes:
    """Returns the body that tells a caller what was wrong and what to do."""
    fields = {
        "code": error.code,
        "title": error.title,
        "detail": error.detail,
        "remedy": error.remedy,
        "ran": error.ran.value,
    }
    return msgspec.json.encode(fields)

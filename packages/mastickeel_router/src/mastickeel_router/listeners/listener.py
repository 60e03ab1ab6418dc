"""HTTP listener: reads requests unchanged, and writes answers as they arrive."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass
from http.client import responses
from sys import getsizeof
from typing import TYPE_CHECKING

import msgspec
from tornado.http1connection import HTTP1Connection
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
from mastickeel_router.listeners.connections import (
    ConnectionServer,
    ConnectionTable,
    release_read_bytes,
)
from mastickeel_router.listeners.memory import Holder, MemoryFullError

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable, Callable

    from tornado.httputil import HTTPConnection
    from tornado.iostream import IOStream

    from mastickeel.addresses import Address
    from mastickeel.clock import Clock
    from mastickeel_router.listeners.memory import MemoryShare
    from mastickeel_router.routes import CallerLimits

HTTP_WITH_CHUNKS = "HTTP/1.1"
LISTEN_BACKLOG = 512
"""Connections that may wait to be accepted, so that a burst of new connections is not dropped."""
MAX_CONNECTION_BODY_BYTES = 64 * 1024 * 1024
"""Body size at which tornado closes a connection; the configured limits are lower."""
HEADER_READ_FACTOR = 4
"""Multiple of the header limit up to which headers are read, so that the sender of headers over the
limit gets an error instead of a closed connection."""

CONNECTION_BYTES = 24 * 1024
"""Memory of a connection: its stream, its task and its read buffer."""
TLS_BYTES = 64 * 1024
"""Memory of a connection's TLS session: its state and its buffers of a record each way."""
SERVING_BYTES = 64 * 1024
"""Memory of a request that is being served, without its body: the connection to an endpoint and the
parts of an answer that are passed on."""
READ_BYTES = 16 * 1024
"""Bytes that are read from a connection at a time."""
FIELD_BYTES = 512
"""Memory of a header field beside its text."""
MAX_FIELDS = 256
"""Maximum number of header fields of a request; proper callers send about ten."""
SMALL_BODY_BYTES = 64 * 1024
"""Size up to which a body is read without a look at what becomes of the request."""
KERNEL_BUFFER_BYTES = 32 * 1024
"""Buffer of the kernel for a connection, each way; Linux doubles it for its own records."""
LARGE_ANSWER_BYTES = 64 * 1024
"""Size from which an answer's body is written apart from its head."""
SWEEP_INTERVAL_MS = 1_000
"""Interval of checks for callers that do not read their answers."""
MEMORY_FULL_RETRY_MS = 1_000
"""Retry time sent to callers while the bodies fill the memory: about one request's duration."""

SERVE_FAILED = define_event(
    2330,
    "serve_failed",
    "error",
    "A request failed with an unexpected exception, which is a bug in the router; report it.",
)


@dataclass(frozen=True)
class RequestHead:
    """A request's first line and headers."""

    method: str
    target: str
    """Path and query, byte for byte."""
    headers: HTTPHeaders

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]


class HeadersTooLargeError(MastickeelError):
    """Raised when a request's headers are over the limit."""

    code = "headers_too_large"
    status = 431
    title = "The headers are over the limit."
    remedy = "Send fewer or shorter headers; the detail says how large they may be."


def measure_copy(head: RequestHead, body: bytearray) -> int:
    """Returns the memory of a request's body that is passed on as it is."""
    return len(body)


class Responder:
    """Writes the answer to one request."""

    def __init__(
        self,
        connection: HTTP1Connection,
        *,
        chunks: bool = True,
        share: MemoryShare | None = None,
    ) -> None:
        """Creates a responder.

        Args:
            connection: The caller's connection.
            chunks: Whether the caller understands chunks. If not, an answer without a length ends
                with the connection.
            share: Memory of the connection; records whether the caller reads. None for none.
        """
        self.started = False
        """Whether the head of an answer has been written."""
        self.connection = connection
        """The caller's connection."""
        self.chunks = chunks
        """Whether the caller understands chunks."""
        self._share = share
        self._unread_bytes = 0

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
        if len(body) > LARGE_ANSWER_BYTES:
            # Written by itself, a large body is not copied.
            await self.write_head(status, headers)
            await self.write_chunk(body)
        else:
            await self.write_head(status, headers, body)
        self.finish()

    async def write_head(self, status: int, headers: HTTPHeaders, first: bytes = b"") -> None:
        """Writes the status, the headers and the first part of the body."""
        self.begin(headers)
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        await self._wait_for_caller(self.connection.write_headers(line, headers, first or None))

    def begin(self, headers: HTTPHeaders) -> None:
        """Prepares the connection for an answer with these headers."""
        self.started = True
        if not self.chunks and "Content-Length" not in headers:
            # Until the answer is complete, any close has to be seen as a broken connection.
            self._set_reset_on_close(True)

    async def write_chunk(self, data: bytes) -> None:
        """Writes a part of the body; returns once the caller's connection has accepted it."""
        await self._wait_for_caller(self.connection.write(data))

    async def _wait_for_caller(self, writing: Awaitable[None]) -> None:
        """Waits until the caller's connection has accepted what was written."""
        if self._share is not None:
            self._share.record_progress(is_waiting=True)
        await writing
        if self._share is not None:
            self._share.record_progress(is_waiting=False)

    def hold_unread(self, size: int) -> None:
        """Counts what has been written and not yet accepted by the caller's connection.

        Args:
            size: Size of all that is not accepted, in bytes.

        Raises:
            MemoryFullError: When the memory is full and this caller is given up.
        """
        if self._share is None:
            return
        if not self._unread_bytes:
            self._share.record_progress(is_waiting=True)
        self._share.resize(self._share.size - self._unread_bytes + size)
        self._unread_bytes = size

    def release_unread(self) -> None:
        """Returns the memory of what the caller's connection has accepted."""
        if self._share is not None:
            self._share.record_progress(is_waiting=False)
            self._share.shrink(self._share.size - self._unread_bytes)
            self._unread_bytes = 0

    def finish(self) -> None:
        """Completes the answer."""
        if not self.chunks:
            self._set_reset_on_close(False)
        self.connection.finish()

    def abort(self) -> None:
        """Closes the connection, so that the partial answer does not look complete."""
        self.connection.close()

    def give_up(self) -> None:
        """Ends the answer from outside of its task, to free what is held for it."""
        if self._share is not None:
            self._share.on_evict()
        else:
            self.abort()

    def _set_reset_on_close(self, enabled: bool) -> None:
        """Makes a close of the caller's connection a reset, or an orderly close again."""
        sock = self.connection.stream.socket
        if sock is not None:
            linger = struct.pack("ii", int(enabled), 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class RequestListener(HTTPServerConnectionDelegate):
    """Accepts callers' connections and serves each request in a task of its own."""

    def __init__(
        self,
        serve: Callable[[RequestHead, bytes | None, Responder], Awaitable[None]],
        refuse: Callable[[MastickeelError], tuple[int, dict[str, str], bytes]],
        limits: Callable[[], CallerLimits],
        *,
        wants_body: Callable[[RequestHead], bool],
        connections: ConnectionTable,
        measure_work: Callable[[RequestHead, bytearray], int] = measure_copy,
    ) -> None:
        """Creates a listener without opening its socket.

        Args:
            serve: Answers a request; the body is None if it was not kept.
            refuse: Returns status, headers and body of the answer to a request over a limit.
            limits: Returns the current limits of callers.
            wants_body: Returns whether the body of a request is of use, as far as is known.
            connections: Bounds the open connections and what they hold.
            measure_work: Returns the memory that serving a body takes beside it, in bytes.
        """
        self.open_requests = 0
        """Requests that have been read at least in part and are not yet answered."""
        self.connections = connections
        """The open connections."""
        self._serve = serve
        self._refuse = refuse
        self._limits = limits
        self._wants_body = wants_body
        self._measure_work = measure_work
        self._readers_by_connection: dict[object, _RequestReader] = {}
        self._server: ConnectionServer | None = None

    def listen(self, address: Address, tls: ssl.SSLContext | None = None) -> int:
        """Opens the listening socket and returns its port.

        Args:
            address: Address to listen on; port 0 stands for any free port.
            tls: TLS context; None for plain HTTP.
        """
        limits = self._limits()
        server = ConnectionServer(
            self,
            ssl_options=tls,
            idle_connection_timeout=limits.idle_timeout_ms / 1_000,
            body_timeout=limits.idle_timeout_ms / 1_000,
            max_header_size=limits.header_bytes * HEADER_READ_FACTOR,
            max_body_size=MAX_CONNECTION_BODY_BYTES,
            chunk_size=READ_BYTES,
        )
        server.connections = self.connections
        server.max_fields = MAX_FIELDS
        sockets = bind_sockets(address.port, address.host, backlog=LISTEN_BACKLOG)
        for sock in sockets:
            # Accepted connections inherit the sizes, which the kernel would raise to megabytes.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
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
        known = self._readers_by_connection.get(server_conn)
        share = known.share if known is not None else self._find_share(request_conn.stream)
        reader = _RequestReader(self, request_conn, share)
        share.on_evict = reader.evict
        self._readers_by_connection[server_conn] = reader
        return reader

    def _find_share(self, stream: IOStream) -> MemoryShare:
        """Returns the memory of a connection, which may have been given up before it is read."""
        share = self.connections.find(stream)
        if share is None and stream.closed():
            share = self.connections.memory.open_share(stream.close, Holder.CALLER)
            share.close()
        elif share is None:
            share = self.connections.open(stream, stream.close)
        if stream.socket is not None:
            configure_socket(stream.socket)
        return share

    def on_close(self, server_conn: object) -> None:
        """Removes the reader of a closed connection."""
        self._readers_by_connection.pop(server_conn, None)

    async def run_sweeps(self, clock: Clock) -> None:
        """Closes the connections of callers that do not read their answers, until cancelled."""
        while True:
            await clock.sleep(SWEEP_INTERVAL_MS)
            oldest_ms = clock.now() - self._limits().idle_timeout_ms
            for reader in list(self._readers_by_connection.values()):
                if reader.is_unread_since(oldest_ms):
                    self.connections.memory.evict(reader.share, "answer not read")

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

    def refuse_unread(self, find_error: Callable[[RequestHead], MastickeelError | None]) -> None:
        """Refuses requests whose bodies are still being read.

        Args:
            find_error: Returns the error for a request by its head; None to read on.
        """
        for reader in list(self._readers_by_connection.values()):
            reader.refuse_unread(find_error)

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

    def __init__(
        self, listener: RequestListener, connection: HTTP1Connection, share: MemoryShare
    ) -> None:
        self.busy = False
        """Whether the request has been read at least in part and is not yet answered."""
        self.share = share
        """Memory of the connection."""
        self._listener = listener
        self._connection = connection
        self._head: RequestHead | None = None
        self._head_bytes = 0
        self._chunks = True
        self._body = bytearray()
        self._received = 0
        self._keeps_body = True
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
        release_read_bytes(self._connection.stream)

    def evict(self) -> None:
        """Ends the request, or closes the connection between requests, to free its memory."""
        if self.busy and self._task is None and not self._refused:
            self._refuse(_memory_full_error())
            if not self._connection.stream.writing():
                return
        self.close()
        if self._task is not None:
            self._task.cancel()

    def refuse_unread(self, find_error: Callable[[RequestHead], MastickeelError | None]) -> None:
        """Refuses the request if it is still being read and there is an error for it."""
        if not self.busy or self._task is not None or self._refused or self._head is None:
            return
        error = find_error(self._head)
        if error is not None:
            self._refuse(error)

    def is_unread_since(self, at_ms: int) -> bool:
        """Returns whether the caller has not read a part of its answer since a clock time."""
        return self._task is not None and self.share.is_waiting and self.share.progress_ms < at_ms

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
        sizes = [len(name) + len(value) + 4 for name, value in headers.get_all()]
        size = sum(sizes)
        self._head_bytes = size + FIELD_BYTES * len(sizes)
        length = headers.get("Content-Length", "0")
        if size > limits.header_bytes:
            self._refuse(HeadersTooLargeError(f"At most {limits.header_bytes} bytes."))
        elif len(sizes) > MAX_FIELDS:
            self._refuse(HeadersTooLargeError(f"At most {MAX_FIELDS} fields."))
        elif length.isdigit() and is_over(length, limits.body_bytes):
            self._refuse(BodyTooLargeError(f"At most {limits.body_bytes} bytes."))
        else:
            self._hold(is_waiting=True)

    def data_received(self, chunk: bytes) -> None:
        self._received += len(chunk)
        if self._refused:
            return
        limit = self._listener._limits().body_bytes
        if self._received > limit:
            self._refuse(BodyTooLargeError(f"At most {limit} bytes."))
            return
        assert self._head is not None
        if self._received > SMALL_BODY_BYTES >= self._received - len(chunk):
            self._keeps_body = self._listener._wants_body(self._head)
        if self._keeps_body:
            self._body += chunk
        else:
            self._body.clear()
        self._hold(is_waiting=True)

    def finish(self) -> None:
        if self._refused or self._closed:
            return
        assert self._head is not None
        is_large = len(self._body) > SMALL_BODY_BYTES
        memory = self._listener.connections.memory
        work_bytes = self._listener._measure_work(self._head, self._body)
        total_bytes = len(self._body) + work_bytes
        if is_large and not memory.can_serve(total_bytes):
            self._refuse(BodyTooLargeError(f"Serving it would take {total_bytes} bytes here."))
            return
        if is_large and not memory.has_room_to_serve(total_bytes):
            self._refuse(_memory_full_error())
            return
        if not self._hold(SERVING_BYTES + work_bytes, is_waiting=False):
            return
        body = bytes(self._body) if self._keeps_body else None
        self._body.clear()
        # Tornado notifies the delegate of a close only while the request is being read.
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.ensure_future(self._answer(self._head, body))

    def _hold(self, extra_bytes: int = 0, *, is_waiting: bool) -> bool:
        """Records what the request holds; refuses it and returns False if there is no room.

        Args:
            extra_bytes: Memory beside the connection, the head and the body.
            is_waiting: Whether the caller is still sending the request.
        """
        self.share.record_progress(is_waiting=is_waiting)
        try:
            base_bytes = self._listener.connections.connection_bytes + self._head_bytes
            self.share.resize(base_bytes + getsizeof(self._body) + extra_bytes)
        except MemoryFullError:
            self._refuse(_memory_full_error())
            return False
        return True

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._set_busy(False)

    async def _answer(self, head: RequestHead, body: bytes | None) -> None:
        """Serves the request; closes the connection on any error."""
        responder = Responder(self._connection, chunks=self._chunks, share=self.share)
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
            # A cancelled task keeps its frames, and with them the answer, as long as it is kept.
            self._task = None
            self._set_busy(False)

    def _refuse(self, error: MastickeelError) -> None:
        """Sends an error and closes the connection; the rest of the request is not read."""
        self._refused = True
        self._body.clear()
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
            self._body.clear()
            self.share.shrink(self._listener.connections.connection_bytes)
            self.share.record_progress(is_waiting=True)


def _memory_full_error() -> UnavailableError:
    """Returns the error for a request for which there is no memory."""
    detail = "The open requests fill the memory reserved for them on this instance."
    return UnavailableError(detail, retry_after_ms=MEMORY_FULL_RETRY_MS)


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

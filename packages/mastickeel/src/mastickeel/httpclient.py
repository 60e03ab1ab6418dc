"""HTTP/1.1 client over tornado's own client connection.

Tornado's fetch clients do not show when the first byte of a request is sent and cannot abort a
request in flight. Both are needed: a call that was certainly not sent may go to another endpoint,
and a caller that disconnects ends the work. Requests therefore use ``tornado.http1connection``
directly, with a small pool of idle connections.
"""

from __future__ import annotations

import asyncio
import fcntl
import math
import socket
import ssl
import sys
import termios
from collections import defaultdict, deque
from dataclasses import replace
from sys import getsizeof
from typing import TYPE_CHECKING, Protocol

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from mastickeel.httpmessages import (
    AnswerTooLargeError,
    BodyFraming,
    ConnectionEnd,
    ConnectionFailedError,
    ExchangeBrokenError,
    ExchangeTimeoutError,
    ForeignAnswerError,
    HttpAnswer,
    HttpHead,
    HttpRequest,
    InvalidHeadError,
    Timeouts,
    TunnelRefusedError,
    accept_head,
    parse_head,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.addresses import Address
    from mastickeel.clock import Clock

MAX_IDLE_MS = 20_000
MAX_IDLE_PER_ADDRESS = 16
SWEEP_INTERVAL_MS = 100
TCP_USER_TIMEOUT_MS = 10_000
HEADER_LIMIT_BYTES = 64 * 1024
RESPONSE_LIMIT_BYTES = 64 * 1024 * 1024
CALL_LIMIT_BYTES = 16 * 1024 * 1024
"""Maximum size of an answer that ``HttpClient.call`` collects."""
CALL_TIMEOUT_MS = 30_000
"""Timeout of a whole call for which no other is given."""
FOREIGN_LIMIT_BYTES = 1024 * 1024
"""Maximum size of all answers to other requests that one exchange skips."""
CHUNK_BYTES = 16 * 1024
"""Bytes of an answer that are read at a time."""
MAX_SKIPPED_ANSWERS = 3
"""Answers to other requests that one exchange skips before the connection is closed."""
QUEUE_LENGTH_BYTES = 4
"""Size of the integer in which the kernel returns the length of a queue."""


class MonitoredConnection(Protocol):
    """A connection that the client closes when its deadline passes."""

    deadline_ms: float | None
    """Time at which the connection is closed; None for no deadline."""
    timed_out: bool
    """Whether the connection was closed because its deadline passed."""

    def close(self) -> None:
        """Closes the connection."""


class ObservedStream(IOStream):
    """A TCP stream that records whether the server closed it in order."""

    closed_by_peer = False
    """Whether the end of the server's data has been read."""
    closed_early = False
    """Whether that end came before the server had received all that was written."""

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket; 0 bytes mean that the server has sent all of its data."""
        count = super().read_from_fd(buf)
        if count == 0:
            self.closed_by_peer = True
            self.closed_early = self.writing() or has_unsent_bytes(self.socket)
        return count


class HttpConnection:
    """A connection to one address, used by one exchange at a time."""

    def __init__(self, stream: IOStream, address: Address, client: HttpClient) -> None:
        self.address = address
        """The address of the server."""
        self.via = ""
        """Id of the instance through which the connection goes; empty for none."""
        self.reused = False
        """Whether an earlier exchange has used the connection."""
        self.idle_since_ms = 0
        """Time at which the connection was returned to the pool, in milliseconds."""
        self.timed_out = False
        """Whether the client closed the connection because its deadline passed."""
        self.deadline_ms: float | None = None
        """Time at which the client closes the connection unless data arrives; None for never."""
        self._stream = stream
        self._client = client

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._stream.closed()

    @property
    def end(self) -> ConnectionEnd:
        """How the connection ended; ``ConnectionEnd.OPEN`` while it is open."""
        if not self._stream.closed():
            return ConnectionEnd.OPEN
        # Over TLS an orderly close cannot be told from a cut connection.
        if isinstance(self._stream, ObservedStream) and self._stream.closed_by_peer:
            return ConnectionEnd.EARLY if self._stream.closed_early else ConnectionEnd.CLOSED
        if self.timed_out:
            return ConnectionEnd.TIMEOUT
        return ConnectionEnd.ABORTED if self._stream.error is None else ConnectionEnd.RESET

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes have arrived that belong to no answer, or the end of the connection."""
        # IOStream has no public method for this, and a read would consume the bytes.
        return bool(self._stream._read_buffer_size) or _has_waiting_data(self._stream.socket)

    def close(self) -> None:
        """Closes the connection and ends the exchange that runs on it."""
        self._stream.close()

    def close_if_sending(self) -> None:
        """Closes the connection if a part of the request is still to be written.

        Its server has answered early: it would read the next request on this connection as the rest
        of that body, and may read nothing more at all.
        """
        if self._stream.writing():
            self._stream.close()

    def detect_remote_close(self) -> None:
        """Makes an idle connection detect that the server closes it."""
        self._stream.set_close_callback(lambda: None)

    async def exchange(
        self,
        request: HttpRequest,
        *,
        on_head: Callable[[HttpHead], None],
        on_data: Callable[[bytes], Awaitable[None] | None],
        timeouts: Timeouts,
    ) -> None:
        """Sends a request and passes its answer to callbacks as it arrives.

        Args:
            request: The request.
            on_head: Called once with status and headers.
            on_data: Called with each part of the body; may return an awaitable, which pauses
                reading until it ends.
            timeouts: The timeouts of the exchange; the one for connecting is not used.

        Raises:
            ExchangeBrokenError: When the connection ends before the answer is complete.
            ExchangeTimeoutError: When a timeout expires.
            InvalidHeadError: When the head of an answer is not valid.

        Informational (1xx) answers are skipped. ``on_head`` may raise ``ForeignAnswerError``: that
        answer is skipped too, and the next answer on the connection is used instead.
        """
        has_body = request.method != "HEAD"
        receiver = _Receiver(self, self._client.clock, on_head, on_data, timeouts, has_body)
        connection = HTTP1Connection(self._stream, True, CONNECTION_PARAMETERS)
        first_ms = min(timeouts.first_byte_ms, timeouts.total_ms)
        self.deadline_ms = self._client.clock.now() + first_ms
        self._client.watch_deadline(self)
        try:
            await self._run_exchange(connection, request, receiver)
        finally:
            self.deadline_ms = None
            self._client.unwatch_deadline(self)
            if not receiver.finished:
                self.close()

    async def _run_exchange(
        self, connection: HTTP1Connection, request: HttpRequest, receiver: _Receiver
    ) -> None:
        """Writes the request and reads the answer; raises a typed error if the connection ends."""
        headers = HTTPHeaders(dict(request.headers))
        headers.setdefault("Host", str(self.address))
        headers["Content-Length"] = str(len(request.body))
        start = RequestStartLine(request.method, request.path, "")
        try:
            self._stream.set_nodelay(True)
            connection.write_headers(start, headers, request.body)
            connection.finish()
            await connection.read_response(receiver)
            await self._skip_foreign_answers(receiver)
        except StreamClosedError:
            pass
        if receiver.error is not None:
            raise receiver.error
        if receiver.framing is BodyFraming.CONNECTION and self.end is not ConnectionEnd.CLOSED:
            receiver.finished = False
        if not receiver.finished:
            error_type = ExchangeTimeoutError if self.timed_out else ExchangeBrokenError
            # The query string may contain private data and is left out of errors and logs.
            path = request.path.partition("?")[0]
            detail = f"{request.method} {path} at {self.address} did not end ({self.end.value}"
            detail += ", kept connection)." if self.reused else ")."
            raise error_type(detail)

    async def _skip_foreign_answers(self, receiver: _Receiver) -> None:
        """Reads further answers while the last answer belonged to another request."""
        for _ in range(MAX_SKIPPED_ANSWERS):
            if not receiver.foreign or self.closed:
                return
            receiver.foreign = False
            following = HTTP1Connection(self._stream, True, CONNECTION_PARAMETERS)
            following.finish()
            await following.read_response(receiver)


class _Receiver(HTTPMessageDelegate):
    """Passes the parts of one answer to callbacks and extends the deadline with each part."""

    def __init__(
        self,
        connection: HttpConnection,
        clock: Clock,
        on_head: Callable[[HttpHead], None],
        on_data: Callable[[bytes], Awaitable[None] | None],
        timeouts: Timeouts,
        has_body: bool,
    ) -> None:
        self.finished = False
        self.foreign = False
        self.framing = BodyFraming.NONE
        self.error: Exception | None = None
        self._connection = connection
        self._clock = clock
        self._on_head = on_head
        self._on_data = on_data
        self._timeouts = timeouts
        self._end_ms = clock.now() + timeouts.total_ms
        self._has_body = has_body
        self._foreign_bytes = 0

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, ResponseStartLine)
        line = start_line
        return self._call_handler(
            lambda: self._receive_head(accept_head(line.version, line.code, headers))
        )

    def _receive_head(self, head: HttpHead | None) -> None:
        """Passes the head of an answer on; does nothing for an interim one."""
        if head is None:
            return
        self._extend_deadline()
        self.framing = head.framing if self._has_body else BodyFraming.NONE
        self._on_head(head)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._extend_deadline()
        if self.foreign:
            self._skip_foreign(chunk)
            return None
        ready = self._call_handler(lambda: self._on_data(chunk))
        return None if ready is None else self._wait_for_consumer(ready)

    def finish(self) -> None:
        self.finished = not self.foreign
        if self.finished:
            self._connection.close_if_sending()

    def on_connection_close(self) -> None:
        return

    def _extend_deadline(self) -> None:
        next_ms = self._clock.now() + self._timeouts.between_bytes_ms
        self._connection.deadline_ms = min(next_ms, self._end_ms)

    def _skip_foreign(self, chunk: bytes) -> None:
        """Counts a part of another request's answer; ends the exchange over the limit."""
        self._foreign_bytes += len(chunk)
        if self._foreign_bytes > FOREIGN_LIMIT_BYTES and self.error is None:
            detail = f"Answers to other requests are over {FOREIGN_LIMIT_BYTES} bytes."
            self.error = AnswerTooLargeError(detail)
            self._connection.close()

    def _call_handler(self, call: Callable[[], Awaitable[None] | None]) -> Awaitable[None] | None:
        """Calls a callback; stores an error that it raises and ends the exchange."""
        if self.error is not None:
            return None
        try:
            return call()
        except ForeignAnswerError:
            self.foreign = True
            return None
        except Exception as error:
            self.error = error
            self._connection.close()
            return None

    async def _wait_for_consumer(self, ready: Awaitable[None]) -> None:
        """Waits for a slow consumer; the deadline is suspended, as the server is not the cause."""
        self._connection.deadline_ms = None
        try:
            await ready
        except Exception as error:
            self.error = error
            self._connection.close()
        finally:
            self._extend_deadline()


CONNECTION_PARAMETERS = HTTP1ConnectionParameters(
    no_keep_alive=False,
    chunk_size=CHUNK_BYTES,
    max_header_size=HEADER_LIMIT_BYTES,
    max_body_size=RESPONSE_LIMIT_BYTES,
    decompress=False,
)


class LimitedBody:
    """Collects a body up to a maximum size.

    It is kept in one block of memory, as the blocks of many parts leave holes when they are freed.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._body = bytearray()
        self._size = 0

    def append(self, chunk: bytes) -> None:
        """Adds a part of the body.

        Raises:
            AnswerTooLargeError: When the body is larger than the limit.
        """
        self._size += len(chunk)
        if self._size > self._limit_bytes:
            raise AnswerTooLargeError(f"The body is over {self._limit_bytes} bytes.")
        self._body += chunk

    @property
    def size(self) -> int:
        """Size of the collected body in bytes."""
        return self._size

    @property
    def held_bytes(self) -> int:
        """Memory of the collected body in bytes, which has room for more."""
        return getsizeof(self._body)

    def drop(self) -> None:
        """Drops what was collected, which the frames of an error would keep."""
        self._body = bytearray()

    def take(self) -> bytes:
        """Returns the collected body once, and keeps no copy of it."""
        body = bytes(self._body)
        self._body = bytearray()
        return body


class HttpClient:
    """Opens and pools connections, and closes those whose deadline passes."""

    def __init__(self, clock: Clock, tls: ssl.SSLContext | None = None) -> None:
        """Creates the client.

        Args:
            clock: The clock for deadlines.
            tls: The TLS context; None for plain TCP.
        """
        self.clock = clock
        """The clock for deadlines."""
        self.tls = tls
        """The TLS context; None for plain TCP."""
        self._idle_by_address: dict[Address, deque[HttpConnection]] = defaultdict(deque)
        self._monitored: set[MonitoredConnection] = set()
        self._sweeper: asyncio.Task[None] | None = None

    async def connect(
        self,
        address: Address,
        *,
        timeouts: Timeouts | None = None,
        fresh: bool = False,
        via: Address | None = None,
    ) -> HttpConnection:
        """Returns an open connection, from the pool where allowed.

        Args:
            address: The address of the server.
            timeouts: The timeouts, of which the one for connecting is used.
            fresh: Whether to open a new connection instead of using the pool, as for calls that
                must not be repeated: an idle connection may be dead, and a request lost on it may
                still have reached the server.
            via: Address of an instance that opens a tunnel to the server; None to connect
                directly. Only with ``fresh``.

        Returns:
            An open connection.

        Raises:
            ConnectionFailedError: When no connection could be made; nothing was sent.
        """
        if not fresh and (pooled := self._pop_idle(address)):
            return pooled
        timeout_ms = (timeouts or Timeouts()).connect_ms
        stream = await self.open_stream(address, timeout_ms, via)
        return HttpConnection(stream, address, self)

    async def open_stream(
        self, address: Address, timeout_ms: float, via: Address | None = None
    ) -> IOStream:
        """Opens a connection to a server and returns its stream.

        Args:
            address: The address of the server.
            timeout_ms: The longest time to wait.
            via: Address of an instance that opens a tunnel to the server; None for none.

        Raises:
            ConnectionFailedError: When no connection could be made.
        """
        begin_ms = self.clock.now()
        try:
            stream = await self._open(via or address, timeout_ms)
            if not stream.closed():
                configure_socket(stream.socket)
            if via is not None:
                left_ms = timeout_ms - (self.clock.now() - begin_ms)
                await self._request_tunnel(stream, address, left_ms)
        except (OSError, StreamClosedError, TimeoutError, InvalidHeadError) as error:
            failure = ConnectionFailedError(f"No connection to {via or address}: {error}.")
            reason = error.real_error if isinstance(error, StreamClosedError) else error
            failure.refused = via is None and isinstance(reason, ConnectionRefusedError)
            raise failure from error
        if stream.closed():
            raise ConnectionFailedError(f"{via or address} closed the connection at once.")
        return stream

    async def _request_tunnel(self, stream: IOStream, address: Address, timeout_ms: float) -> None:
        """Requests a tunnel to an address on a connection to another instance.

        Raises:
            TunnelRefusedError: When the instance did not open it.
        """
        try:
            await stream.write(f"CONNECT {address} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
            reading = stream.read_until(b"\r\n\r\n", max_bytes=HEADER_LIMIT_BYTES)
            head = parse_head(await self.clock.wait_for(reading, timeout_ms))
        except BaseException:
            stream.close()
            raise
        if head is not None and head.status == 200:
            return
        stream.close()
        status = head.headers.get("Proxy-Status", "") if head is not None else ""
        detail = f"No tunnel to {address}: status {head.status if head else 0}; {status}."
        raise TunnelRefusedError(detail, status.partition("error=")[2])

    async def _open(self, address: Address, timeout_ms: float) -> IOStream:
        """Opens a stream; closes the socket when that fails."""
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        stream = ObservedStream(sock, read_chunk_size=CHUNK_BYTES)
        try:
            await self.clock.wait_for(stream.connect((address.host, address.port)), timeout_ms)
            if self.tls is None:
                return stream
            encrypting = stream.start_tls(False, self.tls, server_hostname=address.host)
            return await self.clock.wait_for(encrypting, timeout_ms)
        except BaseException:
            stream.close()
            raise

    def release(self, connection: HttpConnection) -> None:
        """Returns a connection to the pool after a complete exchange."""
        idle = self._idle_by_address[connection.address]
        if connection.closed or connection.has_unread_bytes or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.detect_remote_close()
        connection.reused = True
        connection.idle_since_ms = self.clock.now()
        idle.append(connection)

    async def call(
        self,
        address: Address,
        request: HttpRequest,
        timeouts: Timeouts | None = None,
        *,
        limit_bytes: int = CALL_LIMIT_BYTES,
        fresh: bool = False,
        on_head: Callable[[HttpHead], None] = lambda head: None,
    ) -> HttpAnswer:
        """Sends a request and returns its complete answer.

        Args:
            address: The address of the server.
            request: The request.
            timeouts: The timeouts of the exchange; None for the default timeouts. Without one for
                the whole answer, ``CALL_TIMEOUT_MS`` holds.
            limit_bytes: Maximum size of the answer's body.
            fresh: Whether to use a connection for this call alone, as for calls whose answer must
                not be taken for that of an earlier one.
            on_head: Called with status and headers, when the rest of the answer is still to come.

        Returns:
            The answer, with any status.

        Raises:
            ConnectionFailedError: When nothing was sent.
            ExchangeBrokenError: When the answer was lost, or is larger than the limit.
        """
        timeouts = timeouts or Timeouts()
        if timeouts.total_ms == math.inf:
            timeouts = replace(timeouts, total_ms=CALL_TIMEOUT_MS)
        connection = await self.connect(address, timeouts=timeouts, fresh=fresh)
        heads: list[HttpHead] = []
        body = LimitedBody(limit_bytes)

        def receive_head(head: HttpHead) -> None:
            heads.append(head)
            on_head(head)

        try:
            await connection.exchange(
                request, on_head=receive_head, on_data=body.append, timeouts=timeouts
            )
        except ExchangeTimeoutError:
            # What silenced this connection may have silenced the idle ones to the same server.
            self._close_idle(address)
            raise
        if fresh or heads[-1].headers.get("Connection", "").lower() == "close":
            connection.close()
        self.release(connection)
        return HttpAnswer(heads[-1].status, heads[-1].headers, body.take())

    def watch_deadline(self, connection: MonitoredConnection) -> None:
        """Starts to enforce the deadline of a connection."""
        self._monitored.add(connection)
        if self._sweeper is None:
            self._sweeper = asyncio.ensure_future(self._sweep())

    def unwatch_deadline(self, connection: MonitoredConnection) -> None:
        """Stops enforcing the deadline of a connection."""
        self._monitored.discard(connection)

    async def close(self) -> None:
        """Closes every connection."""
        if self._sweeper:
            self._sweeper.cancel()
            await asyncio.gather(self._sweeper, return_exceptions=True)
            self._sweeper = None
        for connection in list(self._monitored):
            connection.close()
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()

    def _pop_idle(self, address: Address) -> HttpConnection | None:
        """Takes the most recently used of the usable idle connections from the pool."""
        idle = self._idle_by_address[address]
        while idle:
            connection = idle.pop()
            is_recent = self.clock.now() - connection.idle_since_ms < MAX_IDLE_MS
            if is_recent and not connection.closed and not connection.has_unread_bytes:
                return connection
            connection.close()
        return None

    def _close_idle(self, address: Address) -> None:
        """Closes the idle connections to a server."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    async def _sweep(self) -> None:
        """Closes connections whose deadline has passed or that were idle for too long."""
        while True:
            await self.clock.sleep(SWEEP_INTERVAL_MS)
            now = self.clock.now()
            for connection in list(self._monitored):
                if connection.deadline_ms is not None and now >= connection.deadline_ms:
                    connection.timed_out = True
                    connection.close()
            for idle in list(self._idle_by_address.values()):
                while idle and now - idle[0].idle_since_ms >= MAX_IDLE_MS:
                    idle.popleft().close()


def _has_waiting_data(sock: socket.socket) -> bool:
    """Returns whether data or the end of the connection waits in the kernel, unread so far."""
    if isinstance(sock, ssl.SSLSocket):
        # What waits is encrypted, and may be a message of the protocol itself.
        return False
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def has_unsent_bytes(sock: socket.socket) -> bool:
    """Returns whether the kernel holds written bytes that the other end has not acknowledged."""
    try:
        length = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(QUEUE_LENGTH_BYTES))
    except OSError:
        return False
    return int.from_bytes(length, sys.byteorder) > 0


def configure_socket(sock: socket.socket) -> None:
    """Sets socket options that let the kernel drop a connection whose peer acknowledges nothing."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

"""HTTP/1.1 client over tornado's own client connection.

Tornado's fetch clients hide when the first byte of a request leaves and cannot end a request that
is under way. Both matter here: a call that surely did not leave may be sent elsewhere, and a
caller that goes away ends the work. So requests run on ``tornado.http1connection`` directly, with
a small pool of idle connections.
"""

from __future__ import annotations

import asyncio
import socket
from collections import defaultdict, deque
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
    ConnectionFailedError,
    ExchangeBrokenError,
    ExchangeTimeoutError,
    ForeignAnswerError,
    HttpAnswer,
    HttpHead,
    HttpRequest,
    Timeouts,
)

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable, Callable

    from mastickeel.addresses import Address
    from mastickeel.clock import Clock

MAX_IDLE_MS = 20_000
MAX_IDLE_PER_ADDRESS = 16
SWEEP_INTERVAL_MS = 100
TCP_USER_TIMEOUT_MS = 10_000
HEADER_LIMIT_BYTES = 64 * 1024
RESPONSE_LIMIT_BYTES = 64 * 1024 * 1024
CHUNK_BYTES = 64 * 1024
MAX_SKIPPED_ANSWERS = 3
"""Answers to other requests that one exchange reads past before it gives the connection up."""


class MonitoredConnection(Protocol):
    """A connection that is closed when it is silent for too long."""

    deadline_ms: float | None
    """When it is closed; None for not yet."""
    timed_out: bool
    """Whether it was closed for that."""

    def close(self) -> None:
        """Ends the connection."""


class HttpConnection:
    """A connection to one address, used by one exchange at a time."""

    def __init__(self, stream: IOStream, address: Address, client: HttpClient) -> None:
        self.address = address
        """Where it leads."""
        self.reused = False
        """Whether an earlier exchange has used it."""
        self.idle_since_ms = 0
        """When it went back to the pool."""
        self.timed_out = False
        """Whether the sweeper closed it."""
        self.deadline_ms: float | None = None
        """When the sweeper closes it unless something arrives."""
        self._stream = stream
        self._client = client

    @property
    def closed(self) -> bool:
        """Whether it can no longer be used."""
        return self._stream.closed()

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes arrived that belong to no answer."""
        # IOStream has no public question for this; reading would take the bytes.
        return bool(self._stream._read_buffer_size)

    def close(self) -> None:
        """Ends the connection and whatever runs on it."""
        self._stream.close()

    def detect_remote_close(self) -> None:
        """Lets the connection notice, while idle, that the other end closes it."""
        self._stream.set_close_callback(lambda: None)

    async def exchange(
        self,
        request: HttpRequest,
        *,
        on_head: Callable[[HttpHead], None],
        on_data: Callable[[bytes], Awaitable[None] | None],
        timeouts: Timeouts,
    ) -> None:
        """Sends a request and hands on its answer as it arrives.

        Args:
            request: What to send.
            on_head: Called once with status and headers.
            on_data: Called with each part of the body; may return an awaitable to slow the sender.
            timeouts: The limits on each wait.

        Raises:
            ExchangeBrokenError: When the connection ends before the answer does.
            ExchangeTimeoutError: When a wait is over its limit.

        ``on_head`` may raise ``ForeignAnswerError``: the answer is read past, and the next one on
        the connection is taken instead.
        """
        receiver = _Receiver(self, self._client.clock, on_head, on_data, timeouts)
        connection = HTTP1Connection(self._stream, True, CONNECTION_PARAMETERS)
        self.deadline_ms = self._client.clock.now() + timeouts.first_byte_ms
        self._client.watch_deadline(self)
        try:
            await self._run(connection, request, receiver)
        finally:
            self.deadline_ms = None
            self._client.unwatch_deadline(self)
            if not receiver.finished:
                self.close()

    async def _run(
        self, connection: HTTP1Connection, request: HttpRequest, receiver: _Receiver
    ) -> None:
        """Writes the request and reads the answer, turning closures into typed errors."""
        headers = HTTPHeaders(dict(request.headers))
        headers.setdefault("Host", str(self.address))
        headers["Content-Length"] = str(len(request.body))
        start = RequestStartLine(request.method, request.path, "")
        try:
            self._stream.set_nodelay(True)
            sent = connection.write_headers(start, headers, request.body)
            connection.finish()
            await connection.read_response(receiver)
            await self._read_past_foreign(receiver)
            if receiver.finished and not sent.done():
                # The answer came before the whole body was taken: what follows on this connection
                # would be read as the rest of that body.
                self.close()
        except StreamClosedError:
            pass
        if receiver.error is not None:
            raise receiver.error
        if receiver.ends_with_connection and self._stream.error is not None:
            receiver.finished = False
        if not receiver.finished:
            kind = ExchangeTimeoutError if self.timed_out else ExchangeBrokenError
            # The query may hold what is not ours to log.
            path = request.path.partition("?")[0]
            raise kind(f"{request.method} {path} at {self.address} did not end.")

    async def _read_past_foreign(self, receiver: _Receiver) -> None:
        """Reads the next answers while the last one belonged to another request."""
        for _ in range(MAX_SKIPPED_ANSWERS):
            if not receiver.foreign or self.closed:
                return
            receiver.foreign = False
            following = HTTP1Connection(self._stream, True, CONNECTION_PARAMETERS)
            following.finish()
            await following.read_response(receiver)


class _Receiver(HTTPMessageDelegate):
    """Hands the parts of one answer on and moves the deadline with each."""

    def __init__(
        self,
        connection: HttpConnection,
        clock: Clock,
        on_head: Callable[[HttpHead], None],
        on_data: Callable[[bytes], Awaitable[None] | None],
        timeouts: Timeouts,
    ) -> None:
        self.finished = False
        self.foreign = False
        self.ends_with_connection = False
        self.error: Exception | None = None
        self._connection = connection
        self._clock = clock
        self._on_head = on_head
        self._on_data = on_data
        self._waits = timeouts

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, ResponseStartLine)
        self._extend()
        framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        self.ends_with_connection = not framed
        return self._guard(lambda: self._on_head(HttpHead(start_line.code, headers)))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._extend()
        if self.foreign:
            return None
        waiting = self._guard(lambda: self._on_data(chunk))
        return None if waiting is None else self._wait(waiting)

    def finish(self) -> None:
        self.finished = not self.foreign

    def on_connection_close(self) -> None:
        return

    def _extend(self) -> None:
        self._connection.deadline_ms = self._clock.now() + self._waits.between_bytes_ms

    def _guard(self, call: Callable[[], Awaitable[None] | None]) -> Awaitable[None] | None:
        """Keeps an error of the receiving side, which ends the exchange."""
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

    async def _wait(self, waiting: Awaitable[None]) -> None:
        """Waits for a slow receiving side; the sender is not to blame for that time."""
        self._connection.deadline_ms = None
        try:
            await waiting
        except Exception as error:
            self.error = error
            self._connection.close()
        finally:
            self._extend()


CONNECTION_PARAMETERS = HTTP1ConnectionParameters(
    no_keep_alive=False,
    chunk_size=CHUNK_BYTES,
    max_header_size=HEADER_LIMIT_BYTES,
    max_body_size=RESPONSE_LIMIT_BYTES,
    decompress=False,
)


class HttpClient:
    """Opens and keeps connections, and closes those that are silent for too long."""

    def __init__(self, clock: Clock, tls: ssl.SSLContext | None = None) -> None:
        """Makes the client.

        Args:
            clock: Times the waits.
            tls: How to speak TLS; None for plain TCP.
        """
        self.clock = clock
        """The clock that times the waits."""
        self.tls = tls
        """How TLS is spoken; None for plain TCP."""
        self._idle_by_address: dict[Address, deque[HttpConnection]] = defaultdict(deque)
        self._watched: set[MonitoredConnection] = set()
        self._sweeper: asyncio.Task[None] | None = None

    async def connect(
        self, address: Address, *, timeouts: Timeouts | None = None, fresh: bool = False
    ) -> HttpConnection:
        """Gives a connection, from the pool where it may be.

        Args:
            address: Where to.
            timeouts: The limit on connecting.
            fresh: Whether to pass over the pool, as for calls that may not be repeated: an idle
                connection may be dead, and a request lost on it may have arrived.

        Returns:
            An open connection.

        Raises:
            ConnectionFailedError: When none could be made; nothing was sent.
        """
        if not fresh and (pooled := self._take_idle(address)):
            return pooled
        limit = (timeouts or Timeouts()).connect_ms
        try:
            stream = await self._open(address, limit)
        except (OSError, StreamClosedError, TimeoutError) as error:
            failure = ConnectionFailedError(f"No connection to {address}: {error}.")
            reason = error.real_error if isinstance(error, StreamClosedError) else error
            failure.refused = isinstance(reason, ConnectionRefusedError)
            raise failure from error
        if stream.closed():
            raise ConnectionFailedError(f"{address} closed the connection at once.")
        configure_socket(stream.socket)
        return HttpConnection(stream, address, self)

    async def _open(self, address: Address, limit_ms: float) -> IOStream:
        """Opens a stream; one that does not come about leaves no socket behind."""
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        stream = IOStream(socket.socket(family, socket.SOCK_STREAM))
        try:
            await self.clock.wait_for(stream.connect((address.host, address.port)), limit_ms)
            if self.tls is None:
                return stream
            encrypting = stream.start_tls(False, self.tls, server_hostname=address.host)
            return await self.clock.wait_for(encrypting, limit_ms)
        except BaseException:
            stream.close()
            raise

    def release(self, connection: HttpConnection) -> None:
        """Gives a connection back after a whole exchange."""
        idle = self._idle_by_address[connection.address]
        if connection.closed or connection.has_unread_bytes or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.detect_remote_close()
        connection.reused = True
        connection.idle_since_ms = self.clock.now()
        idle.append(connection)

    async def call(
        self, address: Address, request: HttpRequest, timeouts: Timeouts | None = None
    ) -> HttpAnswer:
        """Sends a request and returns its whole answer.

        Args:
            address: Where to.
            request: What to send.
            timeouts: The limits on each wait.

        Returns:
            The answer, whatever its status.

        Raises:
            ConnectionFailedError: When nothing was sent.
            ExchangeBrokenError: When the answer was lost.
        """
        timeouts = timeouts or Timeouts()
        connection = await self.connect(address, timeouts=timeouts)
        heads: list[HttpHead] = []
        parts: list[bytes] = []
        await connection.exchange(
            request, on_head=heads.append, on_data=parts.append, timeouts=timeouts
        )
        if heads[-1].headers.get("Connection", "").lower() == "close":
            connection.close()
        self.release(connection)
        return HttpAnswer(heads[-1].status, heads[-1].headers, b"".join(parts))

    def watch_deadline(self, connection: MonitoredConnection) -> None:
        """Starts to look after a connection's deadline."""
        self._watched.add(connection)
        if self._sweeper is None:
            self._sweeper = asyncio.ensure_future(self._sweep())

    def unwatch_deadline(self, connection: MonitoredConnection) -> None:
        """Stops looking after a connection's deadline."""
        self._watched.discard(connection)

    async def close(self) -> None:
        """Closes every connection."""
        if self._sweeper:
            self._sweeper.cancel()
            await asyncio.gather(self._sweeper, return_exceptions=True)
            self._sweeper = None
        for connection in list(self._watched):
            connection.close()
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()

    def _take_idle(self, address: Address) -> HttpConnection | None:
        """Takes the youngest usable idle connection."""
        idle = self._idle_by_address[address]
        while idle:
            connection = idle.pop()
            young = self.clock.now() - connection.idle_since_ms < MAX_IDLE_MS
            if young and not connection.closed and not connection.has_unread_bytes:
                return connection
            connection.close()
        return None

    async def _sweep(self) -> None:
        """Closes connections that are past their deadline, and old idle ones."""
        while True:
            await self.clock.sleep(SWEEP_INTERVAL_MS)
            now = self.clock.now()
            for connection in list(self._watched):
                if connection.deadline_ms is not None and now >= connection.deadline_ms:
                    connection.timed_out = True
                    connection.close()
            for idle in self._idle_by_address.values():
                while idle and now - idle[0].idle_since_ms >= MAX_IDLE_MS:
                    idle.popleft().close()


def configure_socket(sock: socket.socket) -> None:
    """Lets the kernel give up on a peer that acknowledges nothing."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

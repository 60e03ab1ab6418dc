"""HTTP/1.1 exchanges with long streamed answers, at little cost for each part.

Tornado's connection wakes a coroutine several times for each chunk of a body, which takes most of
the processor time of a stream of small chunks. The answer is therefore read directly from an
asyncio transport and parsed by httptools.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httptools
from tornado.httputil import HTTPHeaders

from mastickeel.httpclient import HEADER_LIMIT_BYTES, configure_socket, has_unsent_bytes
from mastickeel.httpmessages import (
    BodyFraming,
    ConnectionFailedError,
    ExchangeBrokenError,
    ExchangeTimeoutError,
    InvalidHeadError,
    accept_head,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.addresses import Address
    from mastickeel.httpclient import HttpClient
    from mastickeel.httpmessages import HttpHead, HttpRequest, Timeouts

END_OF_HEAD = b"\r\n\r\n"


class _AnswerParser:
    """Parses one answer with httptools, which calls the methods ``on_...``."""

    def __init__(self) -> None:
        self.head: HttpHead | None = None
        """Status and headers, once they are complete."""
        self.ended = False
        """Whether the body is complete, by its length or last chunk."""
        self._parser = httptools.HttpResponseParser(self)
        self._error: InvalidHeadError | None = None
        self._headers = HTTPHeaders()
        self._head_bytes = 0
        self._body: list[bytes] = []

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body lasts until the connection ends, as the headers give no length."""
        if self.head is None:
            return False
        return self.head.framing is BodyFraming.CONNECTION

    def feed(self, data: bytes) -> bytes:
        """Parses received data and returns the part of the body that it contains.

        Raises:
            InvalidHeadError: When the head is not valid.
            ValueError: When the data is not HTTP, or the headers are larger than the limit.
        """
        if self.head is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self._error is not None:
                raise self._error from error
            # Data after the end of the answer is ignored: the connection is closed.
            if not self.ended:
                raise ValueError(str(error)) from error
        if self.head is None and self._head_bytes > HEADER_LIMIT_BYTES:
            raise ValueError("the headers are larger than the limit")
        body, self._body = self._body, []
        return body[0] if len(body) == 1 else b"".join(body)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header of the answer."""
        if not self.ended:
            self._headers.add(name.decode("latin1"), value.decode("latin1"))

    def on_headers_complete(self) -> None:
        """Stores status and headers; skips informational (1xx) answers."""
        if self.ended:
            return
        version = f"HTTP/{self._parser.get_http_version()}"
        try:
            self.head = accept_head(version, self._parser.get_status_code(), self._headers)
        except InvalidHeadError as error:
            # The parser raises an error of its own for one of a callback.
            self._error = error
            raise
        if self.head is None:
            self._headers = HTTPHeaders()

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        if not self.ended:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Marks the answer as complete, unless it is informational."""
        self.ended = self.head is not None


class StreamedExchange(asyncio.Protocol):
    """A request and its streamed answer, on a connection of its own."""

    def __init__(
        self,
        client: HttpClient,
        *,
        on_head: Callable[[HttpHead], None],
        on_data: Callable[[bytes], Awaitable[None] | None],
        timeouts: Timeouts,
    ) -> None:
        """Creates an exchange that is not connected yet.

        Args:
            client: Enforces the deadline of the connection.
            on_head: Called once with status and headers.
            on_data: Called with each part of the body; may return an awaitable, which pauses
                reading until it ends.
            timeouts: The timeouts of the exchange.
        """
        self.deadline_ms: float | None = None
        """Time at which the client closes the connection unless data arrives; None for never."""
        self.timed_out = False
        """Whether the client closed the connection because its deadline passed."""
        self._client = client
        self._clock = client.clock
        self._on_head = on_head
        self._on_data = on_data
        self._timeouts = timeouts
        self._transport: asyncio.Transport | None = None
        self._ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._answer = _AnswerParser()
        self._head_delivered = False
        self._resuming: asyncio.Task[None] | None = None
        self._closed_by_peer = False

    async def run(
        self, address: Address, request: HttpRequest, before_send: Callable[[], object]
    ) -> None:
        """Connects, sends the request and reads the answer to its end.

        Args:
            address: The address of the server.
            request: The request.
            before_send: Called between connecting and sending; raises when nothing may be sent.

        Raises:
            ConnectionFailedError: When no connection could be made.
            ExchangeBrokenError: When the connection ends before the answer is complete.
            ExchangeTimeoutError: When a timeout expires.
            InvalidHeadError: When the head of the answer is not valid.
        """
        await self._connect(address)
        try:
            before_send()
            assert self._transport is not None
            self._transport.write(_encode_request(request, address))
            self.deadline_ms = self._clock.now() + self._timeouts.first_byte_ms
            self._client.watch_deadline(self)
            await self._ended
        finally:
            self._client.unwatch_deadline(self)
            # No task awaits the end any more; data that still arrives is ignored.
            self._ended.cancel()
            self.close()
            if self._resuming is not None:
                self._resuming.cancel()

    def close(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    async def _connect(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        opening = loop.create_connection(
            lambda: self, address.host, address.port, ssl=self._client.tls
        )
        try:
            await self._clock.wait_for(opening, self._timeouts.connect_ms)
        except (OSError, TimeoutError) as error:
            raise ConnectionFailedError(f"No connection to {address}: {error}.") from error

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets its socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if (sock := transport.get_extra_info("socket")) is not None:
            configure_socket(sock)

    def data_received(self, data: bytes) -> None:
        """Processes received data; extends the deadline once the head is complete."""
        if self._ended.done():
            return
        try:
            self._process_data(data)
        except ValueError as error:
            self._fail(ExchangeBrokenError(f"The answer is not valid HTTP: {error}."))
        except Exception as error:
            self._fail(error)

    def eof_received(self) -> None:
        """Records that the server has closed the connection in order; it must have the request."""
        if self._client.tls is not None:
            # Over TLS an orderly close cannot be told from a cut connection.
            return
        if self._is_sending():
            self._fail(ExchangeBrokenError("The answer ended before the request was received."))
        else:
            self._closed_by_peer = True

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the exchange: as complete only if the server's close is what ends the body."""
        # A lost transport cannot be aborted.
        self._transport = None
        if self._ended.done():
            return
        if self._answer.ends_with_connection and self._closed_by_peer:
            self._finish()
            return
        error_type = ExchangeTimeoutError if self.timed_out else ExchangeBrokenError
        self._fail(error_type("The connection ended before the answer did."))

    def _process_data(self, data: bytes) -> None:
        """Passes head and body of the answer to the callbacks."""
        answer = self._answer
        body = answer.feed(data)
        if answer.head is not None:
            self.deadline_ms = self._clock.now() + self._timeouts.between_bytes_ms
        if answer.head is not None and not self._head_delivered:
            self._head_delivered = True
            self._on_head(answer.head)
        ready = self._on_data(body) if body else None
        if ready is not None:
            self._pause_reading(ready)
        if answer.ended:
            self._finish()

    def _pause_reading(self, ready: Awaitable[None]) -> None:
        """Pauses reading and the deadline until the consumer is ready."""
        assert self._transport is not None
        self._transport.pause_reading()
        self.deadline_ms = None
        previous, self._resuming = self._resuming, asyncio.ensure_future(
            self._resume_when_ready(ready)
        )
        if previous is not None:
            previous.cancel()

    async def _resume_when_ready(self, ready: Awaitable[None]) -> None:
        """Waits for a slow consumer, then resumes reading with a new deadline."""
        try:
            await ready
        except Exception as error:
            self._fail(error)
            return
        self.deadline_ms = self._clock.now() + self._timeouts.between_bytes_ms
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _is_sending(self) -> bool:
        """Returns whether the server has not received the whole request."""
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        return self._transport.get_write_buffer_size() > 0 or has_unsent_bytes(sock)

    def _finish(self) -> None:
        if not self._ended.done():
            self._ended.set_result(None)

    def _fail(self, error: Exception) -> None:
        if not self._ended.done():
            self._ended.set_exception(error)
        self.close()


def _encode_request(request: HttpRequest, address: Address) -> bytes:
    """Encodes a request in HTTP/1.1."""
    fields = {"Host": str(address), **request.headers, "Content-Length": str(len(request.body))}
    for name, value in fields.items():
        if "\r" in value or "\n" in value:
            raise ValueError(f"The header {name} has a line break.")
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode("latin1") + END_OF_HEAD + request.body

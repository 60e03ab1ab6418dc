"""Long streamed answers over HTTP/1.1, at little cost for each part.

Tornado's connection wakes a coroutine several times for each chunk of a body. A stream of small
pieces spends most of its processor time there, so the answer is taken here straight from an asyncio
transport, and read by httptools.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httptools
from tornado.httputil import HTTPHeaders

from mastickeel.httpclient import HEADER_LIMIT_BYTES, configure_socket
from mastickeel.httpmessages import (
    ConnectionFailedError,
    ExchangeBrokenError,
    ExchangeTimeoutError,
    HttpHead,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.addresses import Address
    from mastickeel.httpclient import HttpClient
    from mastickeel.httpmessages import HttpRequest, Timeouts

END_OF_HEAD = b"\r\n\r\n"
INFORMATIONAL_STATUSES = range(100, 200)


class _AnswerParser:
    """Reads one answer with httptools, which calls the methods ``on_...``."""

    def __init__(self) -> None:
        self.head: HttpHead | None = None
        """Status and headers, once they are whole."""
        self.ended = False
        """Whether the body has come to the end that it announced."""
        self._parser = httptools.HttpResponseParser(self)
        self._headers = HTTPHeaders()
        self._head_bytes = 0
        self._body: list[bytes] = []

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the body."""
        if self.head is None:
            return False
        headers = self.head.headers
        return "Content-Length" not in headers and "Transfer-Encoding" not in headers

    def feed(self, data: bytes) -> bytes:
        """Takes what arrived, and returns the part of the body that it completes.

        Raises:
            ValueError: When it is no HTTP, or the headers are over the limit.
        """
        if self.head is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # What follows the end of the answer is nobody's concern: the connection is closed.
            if not self.ended:
                raise ValueError(str(error)) from error
        if self.head is None and self._head_bytes > HEADER_LIMIT_BYTES:
            raise ValueError("the headers are over the limit")
        body, self._body = self._body, []
        return body[0] if len(body) == 1 else b"".join(body)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        if not self.ended:
            self._headers.add(name.decode("latin1"), value.decode("latin1"))

    def on_headers_complete(self) -> None:
        """Takes the status; interim answers are passed over."""
        status = self._parser.get_status_code()
        if status in INFORMATIONAL_STATUSES:
            self._headers = HTTPHeaders()
        elif not self.ended:
            self.head = HttpHead(status, self._headers)

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        if not self.ended:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Notes the end of the answer."""
        self.ended = self.head is not None


class StreamedExchange(asyncio.Protocol):
    """One request, and its answer as it streams in."""

    def __init__(
        self,
        client: HttpClient,
        *,
        on_head: Callable[[HttpHead], None],
        on_data: Callable[[bytes], Awaitable[None] | None],
        timeouts: Timeouts,
    ) -> None:
        """Makes an exchange without a connection.

        Args:
            client: Looks after the limits on each wait.
            on_head: Called once with status and headers.
            on_data: Called with each part of the body; may return an awaitable to slow the sender.
            timeouts: The limits.
        """
        self.deadline_ms: float | None = None
        """When the connection is closed unless something arrives."""
        self.timed_out = False
        """Whether it was."""
        self._client = client
        self._clock = client.clock
        self._on_head = on_head
        self._on_data = on_data
        self._waits = timeouts
        self._transport: asyncio.Transport | None = None
        self._ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._answer = _AnswerParser()
        self._head_given = False
        self._giving: asyncio.Task[None] | None = None

    async def run(
        self, address: Address, request: HttpRequest, before_send: Callable[[], object]
    ) -> None:
        """Connects, sends, and reads the answer to its end.

        Args:
            address: Where to.
            request: What to send.
            before_send: Called between connecting and sending; raises when nothing may be sent.

        Raises:
            ConnectionFailedError: When no connection could be made.
            ExchangeBrokenError: When the connection ended before the answer did.
            ExchangeTimeoutError: When a wait was over its limit.
        """
        await self._connect(address)
        try:
            before_send()
            assert self._transport is not None
            self._transport.write(_encode(request, address))
            self.deadline_ms = self._clock.now() + self._waits.first_byte_ms
            self._client.watch_deadline(self)
            await self._ended
        finally:
            self._client.unwatch_deadline(self)
            # Nobody waits for the end any more, whatever still comes.
            self._ended.cancel()
            self.close()
            if self._giving is not None:
                self._giving.cancel()

    def close(self) -> None:
        """Ends the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    async def _connect(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        opening = loop.create_connection(
            lambda: self, address.host, address.port, ssl=self._client.tls
        )
        try:
            await self._clock.wait_for(opening, self._waits.connect_ms)
        except (OSError, TimeoutError) as error:
            raise ConnectionFailedError(f"No connection to {address}: {error}.") from error

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if (sock := transport.get_extra_info("socket")) is not None:
            configure_socket(sock)

    def data_received(self, data: bytes) -> None:
        """Takes what arrived."""
        if self._ended.done():
            return
        self.deadline_ms = self._clock.now() + self._waits.between_bytes_ms
        try:
            self._take(data)
        except ValueError as error:
            self._fail(ExchangeBrokenError(f"The answer is no HTTP: {error}."))
        except Exception as error:
            self._fail(error)

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the exchange, whole only where the body lasts until the end of the connection."""
        if self._ended.done():
            return
        if self._answer.ends_with_connection:
            self._finish()
            return
        kind = ExchangeTimeoutError if self.timed_out else ExchangeBrokenError
        self._fail(kind("The connection ended before the answer did."))

    def _take(self, data: bytes) -> None:
        """Hands head and body on as they come."""
        answer = self._answer
        body = answer.feed(data)
        if answer.head is not None and not self._head_given:
            self._head_given = True
            self._on_head(answer.head)
        waiting = self._on_data(body) if body else None
        if waiting is not None:
            self._hold(waiting)
        if answer.ended:
            self._finish()

    def _hold(self, waiting: Awaitable[None]) -> None:
        """Reads nothing more until the receiving side has room."""
        assert self._transport is not None
        self._transport.pause_reading()
        self.deadline_ms = None
        earlier, self._giving = self._giving, asyncio.ensure_future(self._give(waiting))
        if earlier is not None:
            earlier.cancel()

    async def _give(self, waiting: Awaitable[None]) -> None:
        """Waits for a slow receiving side; the sender is not to blame for that time."""
        try:
            await waiting
        except Exception as error:
            self._fail(error)
            return
        self.deadline_ms = self._clock.now() + self._waits.between_bytes_ms
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _finish(self) -> None:
        if not self._ended.done():
            self._ended.set_result(None)

    def _fail(self, error: Exception) -> None:
        if not self._ended.done():
            self._ended.set_exception(error)
        self.close()


def _encode(request: HttpRequest, address: Address) -> bytes:
    """Writes a request as it goes over the connection."""
    fields = {"Host": str(address), **request.headers, "Content-Length": str(len(request.body))}
    for name, value in fields.items():
        if "\r" in value or "\n" in value:
            raise ValueError(f"The header {name} has a line break.")
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode("latin1") + END_OF_HEAD + request.body

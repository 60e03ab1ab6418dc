"""Serves the requests of a listener with a tornado application."""

from __future__ import annotations

import asyncio
import ssl
from http.client import responses
from typing import TYPE_CHECKING

from tornado.concurrent import future_add_done_callback
from tornado.httputil import HTTPConnection, RequestStartLine, ResponseStartLine
from tornado.iostream import StreamClosedError

from mastickeel_router.listeners.listener import HTTP_WITH_CHUNKS, LARGE_ANSWER_BYTES
from mastickeel_router.listeners.memory import MemoryFullError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.concurrent import Future
    from tornado.httputil import HTTPHeaders
    from tornado.web import Application

    from mastickeel.settings import TlsSettings
    from mastickeel_router.listeners.listener import RequestHead, Responder

HTTP_WITHOUT_CHUNKS = "HTTP/1.0"


def make_tls_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Returns the TLS context of a listener; None for plain HTTP."""
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.key)
    return context


def serve_with(
    application: Application,
) -> Callable[[RequestHead, bytes | None, Responder], Awaitable[None]]:
    """Returns the function with which a listener passes its requests to an application."""

    async def serve(head: RequestHead, body: bytes | None, responder: Responder) -> None:
        exchange = ApplicationExchange(responder, body_dropped=body is None)
        delegate = application.start_request(None, exchange)
        version = HTTP_WITH_CHUNKS if responder.chunks else HTTP_WITHOUT_CHUNKS
        delegate.headers_received(RequestStartLine(head.method, head.target, version), head.headers)
        if body:
            delegate.data_received(body)
        delegate.finish()
        try:
            await exchange.wait_until_ended()
        except asyncio.CancelledError:
            exchange.notify_closed()
            raise

    return serve


class ApplicationExchange(HTTPConnection):
    """One request and its answer, as the handlers of an application see their connection."""

    def __init__(self, responder: Responder, *, body_dropped: bool) -> None:
        """Creates an exchange.

        Args:
            responder: Has the caller's connection, and counts what the answer holds.
            body_dropped: Whether the body was not kept, as nothing was known that reads it.
        """
        self.body_dropped = body_dropped
        """Whether the body was not kept, as nothing was known that reads it."""
        self.context = responder.connection.context
        """The remote address and the protocol, for tornado."""
        self.stream = responder.connection.stream
        """The caller's stream."""
        self._responder = responder
        self._connection = responder.connection
        self._close_callback: Callable[[], None] | None = None
        self._ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Sets what is called when the caller disconnects."""
        self._close_callback = callback

    def set_max_body_size(self, size: int) -> None:
        """Does nothing: the listener has read the body."""

    def notify_closed(self) -> None:
        """Notifies the handler that the caller has disconnected."""
        callback, self._close_callback = self._close_callback, None
        if callback is not None:
            callback()

    def close(self) -> None:
        """Closes the caller's connection."""
        self._connection.close()

    async def wait_until_ended(self) -> None:
        """Waits until the answer has been handed to the caller's connection, or cannot be."""
        await self._ended

    def write_headers(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
        chunk: bytes | None = None,
    ) -> Future[None]:
        """Writes the head of the answer, and the first part of its body."""
        assert isinstance(start_line, ResponseStartLine)
        self._responder.begin(headers)
        line = start_line._replace(reason=start_line.reason or responses[start_line.code])
        if chunk is None or len(chunk) <= LARGE_ANSWER_BYTES:
            written = self._connection.write_headers(line, headers, chunk)
        else:
            # Written by itself, a large part is not copied.
            self._connection.write_headers(line, headers)
            written = self._connection.write(chunk)
        self._record_write()
        return written

    def write(self, chunk: bytes) -> Future[None]:
        """Writes a part of the answer's body."""
        written = self._connection.write(chunk)
        self._record_write()
        return written

    def write_chunk(self, data: bytes) -> Awaitable[None] | None:
        """Writes a part of a chunked body directly to the stream.

        Tornado's higher layers allocate several futures per chunk. The headers, already sent,
        declare a chunked body.

        Returns:
            An awaitable that ends when the caller can receive more; None when it can at once.
        """
        stream = self.stream
        chunk = b"%x\r\n%b\r\n" % (len(data), data)
        sent = 0
        if not stream.writing():
            try:
                sent = stream.write_to_fd(memoryview(chunk))
            except BlockingIOError:
                sent = 0
            except OSError:
                stream.close()
                return None
            if sent == len(chunk):
                return None
        if stream.closed():
            return None
        written = stream.write(chunk[sent:])
        self._hold_unread(written)
        return written

    def finish(self) -> None:
        """Completes the answer."""
        pending = self._connection._pending_write
        self._responder.finish()
        pending = self._connection._pending_write or pending
        if pending is None or pending.done():
            self._end()
        else:
            future_add_done_callback(pending, lambda _: self._end())

    def _end(self) -> None:
        if not self._ended.done():
            self._ended.set_result(None)

    def _record_write(self) -> None:
        """Records what the last write left to be read by the caller."""
        # The futures that tornado's connection returns are replaced by those of later writes.
        pending = self._connection._pending_write
        if pending is not None:
            self._hold_unread(pending)

    def _hold_unread(self, written: Future[None]) -> None:
        """Counts the bytes that the caller has not read, until it has."""
        if written.done():
            return
        try:
            self._responder.hold_unread(len(self.stream._write_buffer))
        except MemoryFullError:
            self._connection.close()
            return

        def release(future: Future[None]) -> None:
            if not future.cancelled() and isinstance(future.exception(), StreamClosedError):
                return
            if not self._ended.done() and not self.stream.writing():
                self._responder.release_unread()

        future_add_done_callback(written, release)

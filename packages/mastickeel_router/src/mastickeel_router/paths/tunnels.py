"""Opens tunnels to endpoints for peers that are cut off from them, with HTTP's CONNECT method.

A tunnel passes bytes on and decides nothing: placing, retries and limits stay with the instance
that has the caller. It ends as the endpoint's connection ends: in order, or with a reset.
"""

from __future__ import annotations

import asyncio
import struct
from http.client import responses
from socket import SO_LINGER, SOL_SOCKET
from typing import TYPE_CHECKING

from tornado.httputil import HTTPInputError, parse_request_start_line
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from mastickeel.addresses import Address
from mastickeel.events import define_event
from mastickeel.httpclient import ObservedStream, configure_socket
from mastickeel.httpmessages import ConnectionFailedError
from mastickeel.logs import log

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel.httpclient import HttpClient
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.paths.monitor import PathMonitor

MAX_HEAD_BYTES = 4_096
HEAD_TIMEOUT_MS = 1_000
CONNECT_TIMEOUT_MS = 300
"""Timeout for the connection to the endpoint; below the timeout of the peer that waits for it."""
SILENCE_MARGIN_MS = 5_000
"""Time beyond the longest timeout of a route, at which the peer closes its connection, after which
a tunnel without bytes in a direction is closed."""
CHUNK_BYTES = 64 * 1024
STATUS_BY_REASON = {
    "connection_refused": 502,
    "connection_timeout": 504,
    "connection_limit_reached": 503,
    "destination_ip_prohibited": 403,
    "destination_unavailable": 503,
}
"""Status of each refusal; the reasons are the error types of the `Proxy-Status` header."""
ENDPOINT_FAULTS = frozenset(
    {"connection_refused", "connection_timeout", "destination_ip_prohibited"}
)
"""Reasons that say that the instance that opens the tunnel does not reach or list the endpoint."""

TUNNEL_FAILED = define_event(
    2399,
    "tunnel_failed",
    "info",
    "A tunnel for another instance was refused or broke off; the field reason says why.",
)


class _RefusalError(Exception):
    """Raised to refuse a tunnel; the message is a reason of STATUS_BY_REASON."""


class TunnelListener(TCPServer):
    """Listens for peers that request tunnels to endpoints."""

    def __init__(
        self,
        client: HttpClient,
        *,
        clock: Clock,
        monitor: PathMonitor,
        find_endpoint: Callable[[Address], EndpointRecord | None],
        accepts: Callable[[EndpointRecord], bool],
        longest_timeout_ms: Callable[[], int],
    ) -> None:
        """Creates a listener without opening its socket.

        Args:
            client: Opens the connections to endpoints.
            clock: Times the head of a request and silent tunnels.
            monitor: Tells to which endpoints this instance has lost its own path.
            find_endpoint: Returns the endpoint at an address; None if none is listed there.
            accepts: Returns whether an endpoint wants requests from this instance.
            longest_timeout_ms: Returns the longest timeout of a route.
        """
        super().__init__()
        self.open_count = 0
        """Number of open tunnels."""
        self._client = client
        self._clock = clock
        self._monitor = monitor
        self._find_endpoint = find_endpoint
        self._accepts = accepts
        self._longest_timeout_ms = longest_timeout_ms
        self._max_open = 0
        self._streams: set[IOStream] = set()
        self._stopping = False

    def open(self, address: Address, max_open: int) -> int:
        """Opens the listening socket and returns its port.

        Args:
            address: Address to listen on.
            max_open: Maximum number of open tunnels.
        """
        self._max_open = max_open
        sockets = bind_sockets(address.port, address.host)
        self.add_sockets(sockets)
        port: int = sockets[0].getsockname()[1]
        return port

    def refuse_new(self) -> None:
        """Refuses further tunnels; open ones go on."""
        self._stopping = True

    def close(self) -> None:
        """Stops listening and closes all tunnels."""
        self.stop()
        for stream in list(self._streams):
            stream.close()

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serves one peer's connection."""
        configure_socket(stream.socket)
        # Until the endpoint has ended its answer in order, any end has to be seen as a cut, also
        # that of this process.
        _set_reset_on_close(stream, enabled=True)
        self._streams.add(stream)
        self.open_count += 1
        try:
            await self._serve(stream)
        except _RefusalError as error:
            log(TUNNEL_FAILED, peer=str(address), reason=str(error))
        except (StreamClosedError, TimeoutError) as error:
            log(TUNNEL_FAILED, peer=str(address), reason=repr(error))
        finally:
            self.open_count -= 1
            self._streams.discard(stream)
            stream.close()

    async def _serve(self, stream: IOStream) -> None:
        """Opens the requested tunnel and passes bytes on until either end closes.

        Raises:
            _RefusalError: When the tunnel was refused; the peer has been told.
        """
        reading = stream.read_until(b"\r\n\r\n", max_bytes=MAX_HEAD_BYTES)
        head = await self._clock.wait_for(reading, HEAD_TIMEOUT_MS)
        try:
            upstream = await self._open_upstream(head)
        except _RefusalError as error:
            reason = str(error)
            await stream.write(_write_head(STATUS_BY_REASON[reason], reason))
            _set_reset_on_close(stream, enabled=False)
            raise
        try:
            await stream.write(_write_head(200))
            await self._relay(stream, upstream)
        finally:
            upstream.close()

    async def _open_upstream(self, head: bytes) -> ObservedStream:
        """Opens the connection to the endpoint that a request names.

        Raises:
            _RefusalError: When there is no such endpoint, or no connection to it.
        """
        try:
            line = parse_request_start_line(head.partition(b"\r\n")[0].decode("latin1"))
            endpoint = self._find_endpoint(Address.parse(line.path))
        except (HTTPInputError, ValueError) as error:
            raise _RefusalError("destination_ip_prohibited") from error
        if line.method != "CONNECT" or endpoint is None:
            raise _RefusalError("destination_ip_prohibited")
        if self._stopping or self.open_count > self._max_open:
            raise _RefusalError("connection_limit_reached")
        if endpoint.id in self._monitor.lost_ids or not self._accepts(endpoint):
            raise _RefusalError("destination_unavailable")
        try:
            upstream = await self._client.open_stream(endpoint.address, CONNECT_TIMEOUT_MS)
        except ConnectionFailedError as error:
            self._monitor.record_failure(endpoint.id)
            if endpoint.id in self._monitor.lost_ids:
                raise _RefusalError("destination_unavailable") from error
            reason = "connection_refused" if error.refused else "connection_timeout"
            raise _RefusalError(reason) from error
        self._monitor.record_success(endpoint.id)
        assert isinstance(upstream, ObservedStream)
        return upstream

    async def _relay(self, stream: IOStream, upstream: ObservedStream) -> None:
        """Passes bytes on in both directions until one of them ends."""
        requests = asyncio.ensure_future(self._copy(stream, upstream))
        answers = asyncio.ensure_future(self._copy(upstream, stream))
        try:
            await asyncio.wait((requests, answers), return_when=asyncio.FIRST_COMPLETED)
            ended_in_order = upstream.closed_by_peer and not upstream.closed_early
            if answers.done() and ended_in_order and not stream.closed():
                _set_reset_on_close(stream, enabled=False)
        finally:
            requests.cancel()
            answers.cancel()
            await asyncio.gather(requests, answers, return_exceptions=True)

    async def _copy(self, source: IOStream, target: IOStream) -> None:
        """Copies bytes until the source ends, the target is closed, or both are silent."""
        max_silence_ms = self._longest_timeout_ms() + SILENCE_MARGIN_MS
        while True:
            reading = source.read_bytes(CHUNK_BYTES, partial=True)
            await target.write(await self._clock.wait_for(reading, max_silence_ms))


def _write_head(status: int, reason: str = "") -> bytes:
    """Returns the head of the answer to a request for a tunnel."""
    fields = f"Proxy-Status: mastickeel; error={reason}\r\n" if reason else ""
    return f"HTTP/1.1 {status} {responses[status]}\r\n{fields}\r\n".encode()


def _set_reset_on_close(stream: IOStream, *, enabled: bool) -> None:
    """Makes the close of a stream a reset, or an orderly close again."""
    stream.socket.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", int(enabled), 0))

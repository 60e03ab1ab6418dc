"""Typed messages between instances, over pyzmq with CURVE keys.

Each instance binds one ROUTER socket and keeps one DEALER socket for each peer that it sends to.
A message is a frozen dataclass registered under a name, its kind. The receiver counts and skips
messages of an unknown kind, so that a fleet can run different versions of the program.
"""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from mastickeel.curve import AcceptedKeys, new_secret
from mastickeel.decoding import decode_msgpack
from mastickeel.errors import ExecutionStatus, MastickeelError
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.peermessages import decode_content, encode_content, message, types_by_kind

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from mastickeel.addresses import Address
    from mastickeel.clock import Clock
    from mastickeel.metrics import Metrics

PROTOCOL_VERSION = 1
REPLY_TIMEOUT_MS = 1_000
MAX_QUEUED_MESSAGES = 1_000
"""Messages queued for a peer that does not read; further messages are dropped and counted."""
KEEPALIVE_INTERVAL_S = 2
"""Idle time before the kernel probes a connection, and the interval of its probes."""
SILENCE_TIMEOUT_MS = 6_000
"""Time without an acknowledgement after which the kernel drops a connection; as TCP_USER_TIMEOUT it
also ends the probes, whatever their count."""
MAX_IDLE_MS = 30_000
KEY_SWITCH_TIMEOUT_MS = 2_000
"""With two keys, a peer that does not respond for this long is tried with the other key."""
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
LARGE_MESSAGE_BYTES = 32 * 1024
"""Size from which on a message is logged: 50 ms on a link of 5 Mbit/s."""
HANDSHAKE_TIMEOUT_MS = 3_000
"""Time within which a new connection has to introduce itself as a peer's."""
AUTHENTICATION_DOMAIN = b"peers"

PEER_HANDLER_FAILED = define_event(
    1800,
    "peer_handler_failed",
    "error",
    "The handler of a message from a peer failed; see the field error.",
)
PEER_MESSAGE_SKIPPED = define_event(
    1801,
    "peer_message_skipped",
    "warning",
    "A message from a peer was skipped: unknown kind or format; versions may differ.",
)
PEER_MESSAGE_LARGE = define_event(
    1802,
    "peer_message_large",
    "info",
    "A large message was queued for a peer; smaller ones to the same peer wait behind it.",
)
PEER_REPLY_LATE = define_event(
    1803,
    "peer_reply_late",
    "info",
    "A peer's reply arrived after its request had been given up.",
)

M = TypeVar("M")
R = TypeVar("R")


class PeerTimeoutError(MastickeelError):
    """Raised when a peer did not reply in time; the peer may have acted on the request."""

    code = "peer_timeout"
    status = 504
    title = "A peer did not reply in time."
    remedy = "Ask another peer, or try again."
    ran = ExecutionStatus.UNKNOWN


class PeerRefusedError(MastickeelError):
    """Raised when a peer replied with an error or an unexpected type."""

    code = "peer_refused"
    status = 502
    title = "A peer refused a message."
    remedy = "The detail gives the peer's own error and remedy."


@dataclass(frozen=True)
class Envelope:
    """The wire format around each message."""

    version: int
    kind: str
    sender: str
    """The id of the instance that sent the message."""
    sent_id: int
    """The number of the sender's request; 0 when no reply is expected."""
    reply_to: int
    """The number of the request that this message answers; 0 when it is not a reply."""
    body: msgspec.Raw


@dataclass(frozen=True)
class Failure:
    """The reply to a request whose handler raised an error."""

    code: str
    detail: str


message("failure")(Failure)


class PeerLink:
    """The connections of one instance to its peers."""

    def __init__(
        self,
        instance_id: str,
        *,
        clock: Clock,
        metrics: Metrics,
        secret: str | None = None,
        other_secret: str | None = None,
        max_queued_messages: int = MAX_QUEUED_MESSAGES,
    ) -> None:
        """Creates the link.

        Args:
            instance_id: The id of this instance.
            clock: The clock for timeouts.
            metrics: Counts messages and bytes.
            secret: The fleet's CURVE secret key in Z85; None for plain TCP on loopback.
            other_secret: The previous or next key, also accepted while keys are being changed.
            max_queued_messages: Messages queued for a peer that does not read; bounds the memory.
        """
        self.instance_id = instance_id
        """The id of this instance."""
        self.port = 0
        """The port of the listening socket, once bound; 0 before."""
        self.allow: Callable[[str, str], bool] = lambda sender, receiver: True
        """Whether a message from one instance to another passes; tests replace it to cut links."""
        self._clock = clock
        self._metrics = metrics
        self._max_queued_messages = max_queued_messages
        secrets = [text.encode() for text in (secret, other_secret) if text]
        self._secret = secrets[0] if secrets else None
        self._public_keys: list[bytes] = [zmq.curve_public(secret_key) for secret_key in secrets]
        self._context = zmq.asyncio.Context()
        self._authenticator: AsyncioAuthenticator | None = None
        self._router: zmq.asyncio.Socket | None = None
        self._dealers_by_peer: dict[str, _Dealer] = {}
        self._key_index_by_peer: dict[str, int] = {}
        self._addresses_by_peer: dict[str, Address] = {}
        self._handlers_by_type: dict[type[Any], Callable[[str, Any], Awaitable[Any]]] = {}
        self._replies_by_id: dict[int, asyncio.Future[Any]] = {}
        self._ids = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    def register_handler(
        self, message_type: type[M], handler: Callable[[str, M], Awaitable[Any]]
    ) -> None:
        """Registers the handler of a type of message.

        Args:
            message_type: The registered dataclass.
            handler: Called with the sender's instance id and the message; its result is sent as
                the reply unless it is None.
        """
        self._handlers_by_type[message_type] = handler

    async def bind(self, address: Address) -> None:
        """Binds the listening socket and starts to receive messages."""
        router = self._context.socket(zmq.ROUTER)
        self._set_options(router)
        router.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        if self._secret:
            self._authenticator = AsyncioAuthenticator(self._context)
            self._authenticator.start()
            public = self._public_keys[0]
            keys = AcceptedKeys(frozenset(self._public_keys))
            self._authenticator.configure_curve_callback(credentials_provider=keys)
            router.curve_server = True
            router.curve_secretkey = self._secret
            router.curve_publickey = public
        else:
            # libzmq takes any bytes, also those of HTTP, for frames of its first protocols, and
            # holds them without a limit on their number. A socket with a key or an authentication
            # domain refuses these protocols; a domain without an authenticator admits all others.
            router.zap_domain = AUTHENTICATION_DOMAIN
        if address.port:
            router.bind(f"tcp://{address}")
            self.port = address.port
        else:
            self.port = router.bind_to_random_port(f"tcp://{address.host}")
        self._router = router
        self._spawn(self._receive(router, lambda frames: frames[0]))

    def connect(self, peer_id: str, address: Address) -> None:
        """Sets the address of a peer; the first message opens the connection."""
        if self._addresses_by_peer.get(peer_id) == address:
            return
        self.disconnect(peer_id)
        self._addresses_by_peer[peer_id] = address

    def disconnect(self, peer_id: str) -> None:
        """Closes the connection to a peer and removes its address."""
        self._addresses_by_peer.pop(peer_id, None)
        self._key_index_by_peer.pop(peer_id, None)
        self._close_dealer(peer_id)

    def reconnect(self, peer_id: str) -> None:
        """Closes a connection on which nothing was received since a request was sent.

        It may have gone silent for good although the peer can be reached; the next message opens
        a new one.
        """
        dealer = self._dealers_by_peer.get(peer_id)
        if dealer is not None and dealer.waiting_since_ms is not None:
            self._close_dealer(peer_id)

    def close_idle(self) -> None:
        """Closes idle connections, which keeps their number low in a large fleet."""
        oldest_use_ms = self._clock.now() - MAX_IDLE_MS
        for peer_id, dealer in list(self._dealers_by_peer.items()):
            if dealer.last_used_ms < oldest_use_ms:
                self._close_dealer(peer_id)

    @property
    def peer_ids(self) -> tuple[str, ...]:
        """The ids of the peers whose addresses are set."""
        return tuple(self._addresses_by_peer)

    def send_notice(self, peer_id: str, content: Any) -> None:
        """Sends a one-way message without waiting; the message may be lost.

        Args:
            peer_id: A connected peer; a message to any other peer is counted as dropped.
            content: A registered message.
        """
        self.multicast((peer_id,), content)

    def multicast(self, peer_ids: Iterable[str], content: Any) -> None:
        """Sends a one-way message to several peers without waiting; it may be lost.

        Args:
            peer_ids: Connected peers; a message to any other peer is counted as dropped.
            content: A registered message.
        """
        data = self._pack(content, 0, 0)
        for peer_id in peer_ids:
            self._send_to(peer_id, data, 0)

    async def request(
        self, peer_id: str, content: Any, reply_type: type[R], timeout_ms: float = REPLY_TIMEOUT_MS
    ) -> R:
        """Sends a request and waits for the reply.

        Args:
            peer_id: A connected peer.
            content: A registered message.
            reply_type: The expected type of the reply.
            timeout_ms: The longest wait, in milliseconds.

        Returns:
            The reply.

        Raises:
            PeerTimeoutError: When no reply arrived in time.
            PeerRefusedError: When the peer's handler raised an error, or the reply is of another
                type.
        """
        sent_id = next(self._ids)
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._replies_by_id[sent_id] = reply
        try:
            self._send_to(peer_id, self._pack(content, sent_id, 0), sent_id)
            result = await self._clock.wait_for(reply, timeout_ms)
        except TimeoutError as error:
            raise PeerTimeoutError(f"{peer_id} did not answer {type(content).__name__}.") from error
        finally:
            del self._replies_by_id[sent_id]
        if isinstance(result, Failure):
            raise PeerRefusedError(f"{peer_id}: {result.code}: {result.detail}")
        if not isinstance(result, reply_type):
            raise PeerRefusedError(f"{peer_id} replied with {type(result).__name__}.")
        return result

    async def close(self) -> None:
        """Cancels the tasks of the link and closes all its sockets."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for peer_id in self.peer_ids:
            self.disconnect(peer_id)
        if self._router:
            self._router.close(linger=0)
        if self._authenticator:
            self._authenticator.stop()
        self._context.destroy(linger=0)

    def _set_options(self, socket: zmq.asyncio.Socket) -> None:
        """Sets options that limit the memory and time that an unresponsive peer can take."""
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, self._max_queued_messages)
        socket.setsockopt(zmq.RCVHWM, self._max_queued_messages)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        # Not ZeroMQ's own heartbeats: libzmq 4.3.5 aborts the process when one is due on a
        # connection that the peer has reset while the receive queue was full.
        socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
        socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_INTERVAL_S)
        socket.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S)
        socket.setsockopt(
            zmq.TCP_KEEPALIVE_CNT, SILENCE_TIMEOUT_MS // 1_000 // KEEPALIVE_INTERVAL_S
        )
        socket.setsockopt(zmq.TCP_MAXRT, SILENCE_TIMEOUT_MS)

    def _send_to(self, peer_id: str, data: bytes, sent_id: int) -> None:
        """Queues an encoded message for a peer; drops the message when the peer has no address."""
        if peer_id not in self._addresses_by_peer or not self.allow(self.instance_id, peer_id):
            self._metrics.count("peers.dropped")
            return
        dealer = self._dealer(peer_id)
        now = self._clock.now()
        dealer.last_used_ms = now
        if sent_id and dealer.waiting_since_ms is None:
            dealer.waiting_since_ms = now
        self._send(dealer.socket, [data])

    def _dealer(self, peer_id: str) -> _Dealer:
        """Returns the connection to a peer, and opens one if there is none.

        While keys are being changed, a peer may listen with either key: a peer that does not
        respond is tried with the other key.
        """
        dealer = self._dealers_by_peer.get(peer_id)
        if dealer and dealer.is_silent(self._clock.now()) and len(self._public_keys) > 1:
            self._close_dealer(peer_id)
            self._key_index_by_peer[peer_id] = 1 - self._key_index_by_peer.get(peer_id, 0)
            dealer = None
        return dealer or self._open_dealer(peer_id)

    def _open_dealer(self, peer_id: str) -> _Dealer:
        """Opens the connection to a peer."""
        socket = self._context.socket(zmq.DEALER)
        self._set_options(socket)
        if self._secret:
            socket.curve_secretkey = self._secret
            socket.curve_publickey = self._public_keys[0]
            socket.curve_serverkey = self._public_keys[self._key_index_by_peer.get(peer_id, 0)]
        socket.connect(f"tcp://{self._addresses_by_peer[peer_id]}")
        dealer = _Dealer(socket, self._clock.now())
        self._dealers_by_peer[peer_id] = dealer
        dealer.task = self._spawn(self._receive(socket, dealer.record_received))
        return dealer

    def _close_dealer(self, peer_id: str) -> None:
        """Closes the connection to a peer, if one is open."""
        if dealer := self._dealers_by_peer.pop(peer_id, None):
            dealer.socket.close(linger=0)
            if dealer.task:
                dealer.task.cancel()

    def _send(self, socket: zmq.asyncio.Socket, frames: list[bytes]) -> None:
        """Sends frames without blocking; a message that does not fit the queue is dropped."""
        sent: Any = socket.send_multipart(frames, flags=zmq.DONTWAIT)
        sent.add_done_callback(self._count_dropped)
        self._metrics.count("peers.sent")
        self._metrics.count("peers.sent_bytes", len(frames[-1]))

    def _count_dropped(self, sent: asyncio.Future[Any]) -> None:
        if not sent.cancelled() and sent.exception():
            self._metrics.count("peers.dropped")

    def _pack(self, content: Any, sent_id: int, reply_to: int) -> bytes:
        """Encodes a message in its envelope."""
        kind, body = encode_content(content)
        envelope = Envelope(PROTOCOL_VERSION, kind, self.instance_id, sent_id, reply_to, body)
        data = msgspec.msgpack.encode(envelope)
        if len(data) >= LARGE_MESSAGE_BYTES:
            log(PEER_MESSAGE_LARGE, kind=kind, bytes=len(data))
        return data

    async def _receive(
        self, socket: zmq.asyncio.Socket, read_route: Callable[[list[bytes]], bytes | None]
    ) -> None:
        """Receives messages from a socket until the socket is closed.

        ``read_route`` returns the frame that addresses the sender; None if replies need no address.
        """
        while not socket.closed:
            try:
                frames = await socket.recv_multipart()
            except zmq.ZMQError:
                return
            self._metrics.count("peers.received")
            self._metrics.count("peers.received_bytes", len(frames[-1]))
            self._dispatch(socket, read_route(frames), frames[-1])

    def _dispatch(self, socket: zmq.asyncio.Socket, route: bytes | None, data: bytes) -> None:
        """Passes a received message to the request that awaits it or to its handler."""
        try:
            envelope = decode_msgpack(data, Envelope)
            if envelope.kind not in types_by_kind or envelope.version != PROTOCOL_VERSION:
                self._metrics.count("peers.skipped")
                log(PEER_MESSAGE_SKIPPED, sender=envelope.sender, kind=envelope.kind)
                return
            content = decode_content(envelope.kind, envelope.body)
        except msgspec.MsgspecError as error:
            self._metrics.count("peers.malformed")
            log(PEER_MESSAGE_SKIPPED, error=str(error))
            return
        if not self.allow(envelope.sender, self.instance_id):
            return
        if envelope.reply_to:
            reply = self._replies_by_id.get(envelope.reply_to)
            if reply and not reply.done():
                reply.set_result(content)
            else:
                log(PEER_REPLY_LATE, peer=envelope.sender, kind=envelope.kind, bytes=len(data))
            return
        if handler := self._handlers_by_type.get(type(content)):
            self._spawn(self._handle(handler, socket, route, envelope, content))

    async def _handle(
        self,
        handler: Callable[[str, Any], Awaitable[Any]],
        socket: zmq.asyncio.Socket,
        route: bytes | None,
        envelope: Envelope,
        content: Any,
    ) -> None:
        """Runs the handler of a message and sends its reply."""
        try:
            reply = await handler(envelope.sender, content)
        except MastickeelError as error:
            reply = Failure(error.code, error.detail)
        except Exception as error:
            log(PEER_HANDLER_FAILED, kind=envelope.kind, error=repr(error))
            reply = Failure("internal", repr(error))
        if reply is None or not envelope.sent_id or socket.closed:
            return
        if not self.allow(self.instance_id, envelope.sender):
            return
        data = self._pack(reply, 0, envelope.sent_id)
        self._send(socket, [route, data] if route is not None else [data])

    def _spawn(self, work: Any) -> asyncio.Task[None]:
        """Starts a task that is cancelled when the link closes."""
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


class _Dealer:
    """An outgoing connection to a peer."""

    def __init__(self, socket: zmq.asyncio.Socket, now_ms: int) -> None:
        self.socket = socket
        self.last_used_ms = now_ms
        self.waiting_since_ms: int | None = None
        """Time of the first request since the last message received; None when no request waits."""
        self.task: asyncio.Task[None] | None = None

    def record_received(self, frames: list[bytes]) -> None:
        """Records that the peer responded; returns None, as a DEALER socket needs no route."""
        self.waiting_since_ms = None

    def is_silent(self, now_ms: int) -> bool:
        """Returns whether a request has waited longer than KEY_SWITCH_TIMEOUT_MS."""
        return (
            self.waiting_since_ms is not None
            and now_ms - self.waiting_since_ms >= KEY_SWITCH_TIMEOUT_MS
        )


__all__ = [
    "Envelope",
    "Failure",
    "PeerLink",
    "PeerRefusedError",
    "PeerTimeoutError",
    "message",
    "new_secret",
    "types_by_kind",
]

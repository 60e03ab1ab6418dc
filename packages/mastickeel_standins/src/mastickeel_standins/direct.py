"""In-process store client and peer link without sockets, for simulations on a fake clock."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any

from mastickeel.addresses import Address
from mastickeel.clock import Clock
from mastickeel.errors import StoreCompactedError, StoreOutcomeUnknownError, StoreUnavailableError
from mastickeel.httpclient import HttpClient
from mastickeel.httpmessages import ExchangeBrokenError
from mastickeel.keyvalue import KeyValueClient, prefix_end
from mastickeel.peers import PeerLink
from mastickeel_standins._kvhandlers import MUTATING_PATHS
from mastickeel_standins._kvjson import build_header, build_key_value, build_message, to_snake_case
from mastickeel_standins._kvstate import OUT_OF_RANGE, KeyValueError
from mastickeel_standins._kvtxn import mutates

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mastickeel.metrics import Metrics
    from mastickeel_standins.keyvalue import KeyValueStandin

TXN_PATH = "/v3/kv/txn"
HOST = "127.0.0.1"
FIRST_PORT = 10_000
WATCH_CHECK_INTERVAL_MS = 100


class PausableClock(Clock):
    """One instance's view of a shared clock that can pause the instance.

    During a pause time advances, but code of the instance that waits for the clock, the store or a
    peer does not continue, as in a stopped process that cannot notice the pause.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates the view with the instance running.

        Args:
            clock: The shared clock.
        """
        self._clock = clock
        self._running = asyncio.Event()
        self._running.set()

    @property
    def paused(self) -> bool:
        """Whether the instance is paused."""
        return not self._running.is_set()

    def pause(self) -> None:
        """Pauses the instance."""
        self._running.clear()

    def resume(self) -> None:
        """Resumes the instance."""
        self._running.set()

    async def wait_until_running(self) -> None:
        """Waits while the instance is paused."""
        await self._running.wait()

    def now(self) -> int:
        """Returns the shared clock's monotonic time in milliseconds."""
        return self._clock.now()

    def wall(self) -> int:
        """Returns the shared clock's wall-clock time in milliseconds."""
        return self._clock.wall()

    async def sleep(self, milliseconds: float) -> None:
        """Sleeps on the shared clock and then until the instance is not paused."""
        await self._clock.sleep(milliseconds)
        await self.wait_until_running()


class DirectStore(KeyValueClient):
    """Store client that calls a key-value stand-in in the same process, subject to its faults."""

    def __init__(
        self,
        service: KeyValueStandin,
        *,
        clock: PausableClock,
        name: str,
        latency_ms: Callable[[], float],
        timeout_ms: int = 2_000,
        calls_per_second: float = 50.0,
    ) -> None:
        """Creates the client.

        Args:
            service: The stand-in; it need not be started.
            clock: Times the calls.
            name: The instance's name, which the stand-in's faults match as a User-Agent.
            latency_ms: Returns the one-way latency of a message, in milliseconds.
            timeout_ms: Timeout of a call, in milliseconds.
            calls_per_second: Call budget.
        """
        super().__init__(
            HttpClient(clock),
            (Address(HOST, 0),),
            clock=clock,
            timeout_ms=timeout_ms,
            calls_per_second=calls_per_second,
            name=name,
        )
        self.on_call: Callable[[str, dict[str, Any]], None] = lambda moment, body: None
        """Called with ``before`` or ``after`` and the body around each execution of a call.

        May raise ExchangeBrokenError to break the call's connection.
        """
        self.closed = False
        """Whether calls fail at once, as in an instance that was killed."""
        self._service = service
        self._clock = clock
        self._name = name
        self._latency_ms = latency_ms
        self._timeout_ms = timeout_ms

    async def _call(
        self, path: str, body: dict[str, Any], *, reads_only: bool = False
    ) -> dict[str, Any]:
        """Executes a call, which may take effect after its caller's timeout."""
        if self.closed:
            raise StoreUnavailableError("The instance was stopped.")
        self._spend_call()
        execution = asyncio.ensure_future(self._execute(path, to_snake_case(body)))
        # Retrieves the exception of a call that fails after its timeout; asyncio would log it.
        execution.add_done_callback(lambda done: done.cancelled() or done.exception())
        try:
            answer = await self._clock.wait_for(asyncio.shield(execution), self._timeout_ms)
        except (TimeoutError, ExchangeBrokenError) as error:
            error_type = StoreUnavailableError if reads_only else StoreOutcomeUnknownError
            raise error_type(f"{path}: {error}") from error
        except KeyValueError as error:
            if error.code == OUT_OF_RANGE:
                raise StoreCompactedError(error.message) from error
            raise StoreUnavailableError(error.message) from error
        finally:
            await self._clock.wait_until_running()
        return answer

    async def _execute(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Executes a call on the stand-in with the latency and the faults applied."""
        service, faults = self._service, self._service.faults
        is_mutating = path in MUTATING_PATHS or (path == TXN_PATH and mutates(body))
        await service.clock.sleep(self._latency_ms())
        self._check_connection()
        service.admit(path, is_mutating)
        if faults.delay_ms:
            await service.clock.sleep(faults.delay_ms)
        self.on_call("before", body)
        answer = service.execute(path, body)
        self.on_call("after", body)
        is_lost = service.consume_answer_loss(path, repr(body).encode(), is_mutating)
        await service.clock.sleep(faults.reply_delay_ms + self._latency_ms())
        if is_lost:
            raise ExchangeBrokenError("The answer was lost.")
        self._check_connection()
        return answer

    def _check_connection(self) -> None:
        """Raises ExchangeBrokenError if a fault cuts the instance's connections."""
        if self._service.is_cut(self._name):
            raise ExchangeBrokenError("The connection was cut.")

    async def _read_watch(
        self, prefix: str, revision: int, queue: asyncio.Queue[dict[str, Any] | None]
    ) -> None:
        """Queues the results of a watch until a fault cuts its connection."""
        self._spend_call()
        service = self._service
        await service.clock.sleep(self._latency_ms())
        self._check_connection()
        service.admit("/v3/watch", False)
        state = service.state
        start, end = prefix.encode(), prefix_end(prefix.encode())
        is_silent = False
        while True:
            is_silent = is_silent or service.faults.silent_watches
            if not is_silent:
                if revision < state.compacted_revision:
                    raise StoreCompactedError("The start revision of the watch is compacted.")
                changes = state.changes_since(revision, start, end)
                revision = max(revision, state.revision + 1)
                if changes:
                    queue.put_nowait({"result": _encode_events(state.revision, changes)})
            await service.clock.sleep(WATCH_CHECK_INTERVAL_MS)
            await self._clock.wait_until_running()
            self._check_connection()


def _encode_events(revision: int, changes: list[Any]) -> dict[str, Any]:
    """Returns a watch result in the gateway's JSON form."""
    events = [
        build_message(
            type="DELETE" if change.after.version == 0 else "", kv=build_key_value(change.after)
        )
        for change in changes
    ]
    return build_message(header=build_header(revision), events=events)


class DirectNetwork:
    """Network that delivers messages between links in one process."""

    def __init__(self, clock: Clock, rng: random.Random, latency_ms: Callable[[], float]) -> None:
        """Creates a network without links that delivers every message.

        Args:
            clock: Times the messages.
            rng: Random source that decides which messages are lost.
            latency_ms: Returns the latency of a message, in milliseconds.
        """
        self.allow: Callable[[str, str], bool] = lambda sender, receiver: True
        """Returns whether a message from one instance to another is delivered."""
        self.loss_ratio = 0.0
        """Fraction of messages that are lost, 0 to 1."""
        self.bytes_by_instance: dict[str, int] = {}
        """Number of bytes sent, by instance."""
        self.message_count = 0
        """Number of messages sent."""
        self._clock = clock
        self._rng = rng
        self._latency_ms = latency_ms
        self._links_by_port: dict[int, DirectLink] = {}
        self._ports = itertools.count(FIRST_PORT)
        self._tasks: set[asyncio.Task[None]] = set()

    def register(self, link: DirectLink, port: int = 0) -> int:
        """Registers a link and returns its port; port 0 chooses a free port."""
        port = port or next(self._ports)
        self._links_by_port[port] = link
        return port

    def unregister(self, link: DirectLink) -> None:
        """Removes a link, which then receives no messages."""
        self._links_by_port.pop(link.port, None)

    def send(self, sender: DirectLink, port: int, data: bytes) -> None:
        """Sends a message to the link that has a port at the time of arrival."""
        self.message_count += 1
        sent_bytes = self.bytes_by_instance
        sent_bytes[sender.instance_id] = sent_bytes.get(sender.instance_id, 0) + len(data)
        if self.loss_ratio and self._rng.random() < self.loss_ratio:
            return
        task = asyncio.ensure_future(self._deliver(sender, port, data))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Drops the messages in transit."""
        for task in list(self._tasks):
            task.cancel()

    async def _deliver(self, sender: DirectLink, port: int, data: bytes) -> None:
        """Delivers a message after the latency, unless its path is cut or its receiver is gone."""
        await self._clock.sleep(self._latency_ms())
        receiver = self._links_by_port.get(port)
        if receiver is None or not self.allow(sender.instance_id, receiver.instance_id):
            return
        await receiver.pausable_clock.wait_until_running()
        if self._links_by_port.get(port) is receiver:
            receiver.receive(sender, data)


class _ReplySocket:
    """Reply destination of a request, in place of the socket that received the request."""

    closed = False

    def __init__(self, link: DirectLink) -> None:
        self.link = link


class DirectLink(PeerLink):
    """A peer link over a DirectNetwork."""

    def __init__(
        self, instance_id: str, network: DirectNetwork, *, clock: PausableClock, metrics: Metrics
    ) -> None:
        """Creates a link that is not bound.

        Args:
            instance_id: This instance's id.
            network: Delivers the messages.
            clock: Times the waits for replies and delays received messages during a pause.
            metrics: Counters of messages and bytes.
        """
        super().__init__(instance_id, clock=clock, metrics=metrics)
        # The network replaces the sockets of the base class, so its ZeroMQ context is not used.
        self._context.term()
        self.pausable_clock = clock
        """The instance's clock, which delays received messages during a pause."""
        self._network = network

    async def bind(self, address: Address) -> None:
        """Registers the link on the network under the address's port."""
        self.port = self._network.register(self, address.port)

    def receive(self, sender: DirectLink, data: bytes) -> None:
        """Handles a message that the network delivered."""
        self._dispatch(_ReplySocket(sender), None, data)  # type: ignore[arg-type]

    async def close(self) -> None:
        """Unregisters the link and cancels its tasks."""
        self._network.unregister(self)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _send_to(self, peer_id: str, data: bytes, sent_id: int) -> None:
        address = self._addresses_by_peer.get(peer_id)
        if address is not None:
            self._network.send(self, address.port, data)

    def _send(self, socket: Any, frames: list[bytes]) -> None:
        self._network.send(self, socket.link.port, frames[-1])

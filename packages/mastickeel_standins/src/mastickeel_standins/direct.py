"""Store client and peer link without sockets, so that histories run on a fake clock."""

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
from mastickeel_standins._kvjson import header, key_value, message, snake
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
WATCH_CHECK_MS = 100


class PausableClock(Clock):
    """One instance's reading of a shared clock, with which it can be paused.

    While it is paused time goes on, but nothing that waits on the clock, on the store or on a
    peer goes on in that instance, as in a process that was stopped and is not aware of it.
    """

    def __init__(self, clock: Clock) -> None:
        """Makes it running.

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
        """Lets the instance go on."""
        self._running.set()

    async def gate(self) -> None:
        """Waits while the instance is paused."""
        await self._running.wait()

    def now(self) -> int:
        """Returns the shared clock's time."""
        return self._clock.now()

    def wall(self) -> int:
        """Returns the shared clock's calendar time."""
        return self._clock.wall()

    async def sleep(self, milliseconds: float) -> None:
        """Waits on the shared clock, and longer while the instance is paused."""
        await self._clock.sleep(milliseconds)
        await self.gate()


class DirectStore(KeyValueClient):
    """Calls the key-value stand-in in the same process, through its faults."""

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
        """Makes the client.

        Args:
            service: The stand-in; it need not be started.
            clock: Times the calls.
            name: The instance, as the stand-in's faults know it.
            latency_ms: Draws the time of each way.
            timeout_ms: How long an answer is waited for.
            calls_per_second: The budget.
        """
        super().__init__(
            HttpClient(clock),
            (Address(HOST, 0),),
            clock=clock,
            timeout_ms=timeout_ms,
            calls_per_second=calls_per_second,
            name=name,
        )
        self.hook: Callable[[str, dict[str, Any]], None] = lambda moment, body: None
        """Told ``before`` or ``after`` each call is carried out; may raise ExchangeBrokenError."""
        self.closed = False
        """Whether calls fail at once, as for an instance that was killed."""
        self._service = service
        self._clock = clock
        self._name = name
        self._latency_ms = latency_ms
        self._timeout_ms = timeout_ms

    async def _call(
        self, path: str, body: dict[str, Any], *, reads_only: bool = False
    ) -> dict[str, Any]:
        """Carries out one call; it may take effect after its caller gave up."""
        if self.closed:
            raise StoreUnavailableError("The instance has ended.")
        self._spend_call()
        work = asyncio.ensure_future(self._carry_out(path, snake(body)))
        work.add_done_callback(lambda done: done.cancelled() or done.exception())
        try:
            answer = await self._clock.wait_for(asyncio.shield(work), self._timeout_ms)
        except (TimeoutError, ExchangeBrokenError) as error:
            kind = StoreUnavailableError if reads_only else StoreOutcomeUnknownError
            raise kind(f"{path}: {error}") from error
        except KeyValueError as error:
            if error.code == OUT_OF_RANGE:
                raise StoreCompactedError(error.message) from error
            raise StoreUnavailableError(error.message) from error
        finally:
            await self._clock.gate()
        return answer

    async def _carry_out(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Takes a call through latency, faults and the service."""
        service, faults = self._service, self._service.faults
        is_mutating = path in MUTATING_PATHS or (path == TXN_PATH and mutates(body))
        await service.clock.sleep(self._latency_ms())
        self._check_cut()
        service.admit(path, is_mutating)
        if faults.delay_ms:
            await service.clock.sleep(faults.delay_ms)
        self.hook("before", body)
        answer = service.carry_out(path, body)
        self.hook("after", body)
        is_lost = service.loses_answer(path, repr(body).encode(), is_mutating)
        await service.clock.sleep(faults.reply_delay_ms + self._latency_ms())
        if is_lost:
            raise ExchangeBrokenError("The answer was lost.")
        self._check_cut()
        return answer

    def _check_cut(self) -> None:
        if self._service.is_cut(self._name):
            raise ExchangeBrokenError("The connection was cut.")

    async def _read_watch(
        self, prefix: str, revision: int, queue: asyncio.Queue[dict[str, Any] | None]
    ) -> None:
        """Passes on what the stand-in has for a watch, until it is cut."""
        self._spend_call()
        service = self._service
        await service.clock.sleep(self._latency_ms())
        self._check_cut()
        service.admit("/v3/watch", False)
        state = service.state
        start, end = prefix.encode(), prefix_end(prefix.encode())
        is_silent = False
        while True:
            is_silent = is_silent or service.faults.silent_watches
            if not is_silent:
                if revision < state.compacted_revision:
                    raise StoreCompactedError("The watch's start is compacted.")
                changes = state.changes_since(revision, start, end)
                revision = max(revision, state.revision + 1)
                if changes:
                    queue.put_nowait({"result": _events(state.revision, changes)})
            await service.clock.sleep(WATCH_CHECK_MS)
            await self._clock.gate()
            self._check_cut()


def _events(revision: int, changes: list[Any]) -> dict[str, Any]:
    """Writes changes as the gateway does."""
    events = [
        message(type="DELETE" if each.now.version == 0 else "", kv=key_value(each.now))
        for each in changes
    ]
    return message(header=header(revision), events=events)


class DirectNetwork:
    """Carries messages between links in one process."""

    def __init__(self, clock: Clock, draw: random.Random, latency_ms: Callable[[], float]) -> None:
        """Makes a network without cuts.

        Args:
            clock: Times the messages.
            draw: Draws which are lost.
            latency_ms: Draws how long each takes.
        """
        self.allow: Callable[[str, str], bool] = lambda sender, receiver: True
        """Whether a message from one instance to another passes."""
        self.loss = 0.0
        """The share of messages that are lost."""
        self.bytes_by_instance: dict[str, int] = {}
        """Bytes sent, by instance."""
        self.messages = 0
        """Messages sent."""
        self._clock = clock
        self._draw = draw
        self._latency_ms = latency_ms
        self._links_by_port: dict[int, DirectLink] = {}
        self._ports = itertools.count(FIRST_PORT)
        self._tasks: set[asyncio.Task[None]] = set()

    def register(self, link: DirectLink, port: int = 0) -> int:
        """Gives a link its port, a free one when none is named."""
        port = port or next(self._ports)
        self._links_by_port[port] = link
        return port

    def unregister(self, link: DirectLink) -> None:
        """Lets a link receive nothing any more."""
        self._links_by_port.pop(link.port, None)

    def send(self, sender: DirectLink, port: int, data: bytes) -> None:
        """Sends bytes to whoever holds a port when they arrive."""
        self.messages += 1
        counted = self.bytes_by_instance
        counted[sender.instance_id] = counted.get(sender.instance_id, 0) + len(data)
        if self.loss and self._draw.random() < self.loss:
            return
        task = asyncio.ensure_future(self._deliver(sender, port, data))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Drops what is under way."""
        for task in list(self._tasks):
            task.cancel()

    async def _deliver(self, sender: DirectLink, port: int, data: bytes) -> None:
        await self._clock.sleep(self._latency_ms())
        receiver = self._links_by_port.get(port)
        if receiver is None or not self.allow(sender.instance_id, receiver.instance_id):
            return
        await receiver.pausable.gate()
        if self._links_by_port.get(port) is receiver:
            receiver.receive(sender, data)


class _ReplyPath:
    """Where a handler's reply goes; stands for the socket that a question came from."""

    closed = False

    def __init__(self, link: DirectLink) -> None:
        self.link = link


class DirectLink(PeerLink):
    """A peer link over a DirectNetwork."""

    def __init__(
        self, instance_id: str, network: DirectNetwork, *, clock: PausableClock, metrics: Metrics
    ) -> None:
        """Makes the link.

        Args:
            instance_id: Who this instance is.
            network: Carries the messages.
            clock: Times the waits for replies.
            metrics: Counts messages and bytes.
        """
        super().__init__(instance_id, clock=clock, metrics=metrics)
        self._context.term()
        self.pausable = clock
        """Holds messages back while the instance is paused."""
        self._network = network

    async def bind(self, address: Address) -> None:
        """Takes a port of the network."""
        self.port = self._network.register(self, address.port)

    def receive(self, sender: DirectLink, data: bytes) -> None:
        """Takes a message."""
        self._dispatch(_ReplyPath(sender), None, data)  # type: ignore[arg-type]

    async def close(self) -> None:
        """Leaves the network."""
        self._network.unregister(self)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _send_to(self, peer_id: str, content: Any, sent_id: int) -> None:
        address = self._addresses_by_peer.get(peer_id)
        if address is not None:
            self._network.send(self, address.port, self._pack(content, sent_id, 0))

    def _send(self, socket: Any, frames: list[bytes]) -> None:
        self._network.send(self, socket.link.port, frames[-1])

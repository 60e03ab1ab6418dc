"""In-memory peer links, for tests and benchmarks with many instances in one process."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from mastickeel.errors import MastickeelError
from mastickeel.peers import Failure, PeerRefusedError, PeerTimeoutError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.clock import Clock

R = TypeVar("R")


class LinkHub:
    """Hub that delivers messages between the links of one test."""

    def __init__(self, clock: Clock, delay_ms: float = 0) -> None:
        """Creates a hub without links that delivers every message.

        Args:
            clock: Times the delays and the waits for replies.
            delay_ms: One-way delay of a message, in milliseconds.
        """
        self.clock = clock
        """Source of time."""
        self.delay_ms = delay_ms
        """One-way delay of a message, in milliseconds."""
        self.links_by_id: dict[str, MemoryLink] = {}
        """Links of the reachable instances, by instance id."""
        self.allow: Callable[[str, str], bool] = lambda sender, receiver: True
        """Returns whether a message from one instance to another is delivered."""
        self.bytes_by_sender: Counter[str] = Counter()
        """Number of bytes sent, by instance."""

    def add(self, instance_id: str) -> MemoryLink:
        """Adds a link for an instance and returns it; replaces a link with the same id."""
        link = MemoryLink(instance_id, self)
        self.links_by_id[instance_id] = link
        return link

    def remove(self, instance_id: str) -> None:
        """Removes the link of an instance, which then cannot be reached."""
        self.links_by_id.pop(instance_id, None)

    async def deliver(self, sender: str, receiver: str, content: Any) -> Any:
        """Delivers a message in its wire encoding and returns the handler's reply."""
        data = msgspec.msgpack.encode(content)
        self.bytes_by_sender[sender] += len(data)
        if self.delay_ms:
            await self.clock.sleep(self.delay_ms)
        link = self.links_by_id.get(receiver)
        if link is None or not self.allow(sender, receiver):
            raise PeerTimeoutError(f"{receiver} is unreachable.")
        reply = await link.handle(sender, msgspec.msgpack.decode(data, type=type(content)))
        if self.delay_ms:
            await self.clock.sleep(self.delay_ms)
        if not self.allow(receiver, sender):
            raise PeerTimeoutError(f"{receiver} cannot reach {sender}.")
        if reply is not None:
            self.bytes_by_sender[receiver] += len(msgspec.msgpack.encode(reply))
        return reply


class MemoryLink:
    """One instance's link, with the methods of PeerLink that the router's packages use."""

    def __init__(self, instance_id: str, hub: LinkHub) -> None:
        """Creates a link without handlers.

        Args:
            instance_id: The instance's id.
            hub: Delivers the messages.
        """
        self.instance_id = instance_id
        """The instance's id."""
        self._hub = hub
        self._handlers_by_type: dict[type[Any], Callable[[str, Any], Awaitable[Any]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def peer_ids(self) -> tuple[str, ...]:
        """Ids of the other instances."""
        return tuple(peer_id for peer_id in self._hub.links_by_id if peer_id != self.instance_id)

    def register_handler(
        self, message_type: type[Any], handler: Callable[[str, Any], Awaitable[Any]]
    ) -> None:
        """Sets the handler of a message type."""
        self._handlers_by_type[message_type] = handler

    def send_notice(self, peer_id: str, content: Any) -> None:
        """Sends a message without waiting for a reply."""
        task = asyncio.ensure_future(self._deliver_notice(peer_id, content))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def request(
        self, peer_id: str, content: Any, reply_type: type[R], timeout_ms: float = 1_000
    ) -> R:
        """Sends a message and waits for the reply, as PeerLink does."""
        delivery = self._hub.deliver(self.instance_id, peer_id, content)
        try:
            reply = await self._hub.clock.wait_for(delivery, timeout_ms)
        except TimeoutError as error:
            raise PeerTimeoutError(f"{peer_id} did not answer.") from error
        if isinstance(reply, Failure) or not isinstance(reply, reply_type):
            raise PeerRefusedError(f"{peer_id} replied with {type(reply).__name__}.")
        return reply

    async def handle(self, sender: str, content: Any) -> Any:
        """Calls the handler of a message's type and returns its reply; None without a handler."""
        handler = self._handlers_by_type.get(type(content))
        return await handler(sender, content) if handler else None

    async def _deliver_notice(self, peer_id: str, content: Any) -> None:
        """Delivers a message and ignores failures, as a one-way message does."""
        try:
            await self._hub.deliver(self.instance_id, peer_id, content)
        except MastickeelError:
            return

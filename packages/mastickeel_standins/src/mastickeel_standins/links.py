"""Peer links in memory, for tests and measurements that need many instances in one process."""

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
    """Carries the messages between the links of one test."""

    def __init__(self, clock: Clock, delay_ms: float = 0) -> None:
        """Makes a hub.

        Args:
            clock: Times the delays and the waits for replies.
            delay_ms: What a message takes one way.
        """
        self.clock = clock
        """What times the messages."""
        self.delay_ms = delay_ms
        """What a message takes one way."""
        self.links_by_id: dict[str, MemoryLink] = {}
        """The instances that can be reached."""
        self.allow: Callable[[str, str], bool] = lambda sender, receiver: True
        """Whether a message from one instance to another passes."""
        self.bytes_by_sender: Counter[str] = Counter()
        """What each instance has sent."""

    def add(self, instance_id: str) -> MemoryLink:
        """Makes the link of an instance, in place of an earlier one with the same id."""
        link = MemoryLink(instance_id, self)
        self.links_by_id[instance_id] = link
        return link

    def remove(self, instance_id: str) -> None:
        """Lets an instance be gone."""
        self.links_by_id.pop(instance_id, None)

    async def deliver(self, sender: str, receiver: str, content: Any) -> Any:
        """Carries a message, encoded as over the wire, and returns the handler's reply."""
        data = msgspec.msgpack.encode(content)
        self.bytes_by_sender[sender] += len(data)
        if self.delay_ms:
            await self.clock.sleep(self.delay_ms)
        link = self.links_by_id.get(receiver)
        if link is None or not self.allow(sender, receiver):
            raise PeerTimeoutError(f"{receiver} is not reached.")
        reply = await link.handle(sender, msgspec.msgpack.decode(data, type=type(content)))
        if self.delay_ms:
            await self.clock.sleep(self.delay_ms)
        if not self.allow(receiver, sender):
            raise PeerTimeoutError(f"{receiver} does not reach {sender}.")
        if reply is not None:
            self.bytes_by_sender[receiver] += len(msgspec.msgpack.encode(reply))
        return reply


class MemoryLink:
    """One instance's end, with the calls of a PeerLink that slices use."""

    def __init__(self, instance_id: str, hub: LinkHub) -> None:
        """Makes a link.

        Args:
            instance_id: Who the instance is.
            hub: Carries the messages.
        """
        self.instance_id = instance_id
        """Who the instance is."""
        self._hub = hub
        self._handlers_by_type: dict[type[Any], Callable[[str, Any], Awaitable[Any]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def peer_ids(self) -> tuple[str, ...]:
        """The other instances."""
        return tuple(one for one in self._hub.links_by_id if one != self.instance_id)

    def register_handler(
        self, message_type: type[Any], handler: Callable[[str, Any], Awaitable[Any]]
    ) -> None:
        """Sets what handles a kind of message."""
        self._handlers_by_type[message_type] = handler

    def send_notice(self, peer_id: str, content: Any) -> None:
        """Sends a message without waiting."""
        task = asyncio.ensure_future(self._tell(peer_id, content))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def request(
        self, peer_id: str, content: Any, reply_type: type[R], timeout_ms: float = 1_000
    ) -> R:
        """Sends a message and waits for the reply, as PeerLink does."""
        work = self._hub.deliver(self.instance_id, peer_id, content)
        try:
            reply = await self._hub.clock.wait_for(work, timeout_ms)
        except TimeoutError as error:
            raise PeerTimeoutError(f"{peer_id} did not answer.") from error
        if isinstance(reply, Failure) or not isinstance(reply, reply_type):
            raise PeerRefusedError(f"{peer_id} replied with {type(reply).__name__}.")
        return reply

    async def handle(self, sender: str, content: Any) -> Any:
        """Handles one message."""
        handler = self._handlers_by_type.get(type(content))
        return await handler(sender, content) if handler else None

    async def _tell(self, peer_id: str, content: Any) -> None:
        try:
            await self._hub.deliver(self.instance_id, peer_id, content)
        except MastickeelError:
            return

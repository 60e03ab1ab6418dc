"""Transfer of large values between instances, in parts.

A part has a time-out of its own, so that a transfer lasts as long as it makes progress, and what is
small waits for one part at most. A value that is replaced before it was sent is not sent any more.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel._kvtypes import KeyValue
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.peermessages import message
from mastickeel.peers import PeerRefusedError, PeerTimeoutError
from mastickeel_router.storeview.encoding import (
    MAX_DECODED_BYTES,
    UndecodableContentError,
    decode_content,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel.peers import PeerLink
    from mastickeel.tasks import TaskGroup
    from mastickeel_router.storeview.contents import ContentCache, EncodedContent
    from mastickeel_router.storeview.view import StoreView

PART_BYTES = 16 * 1024
"""Maximum size of a part: 26 ms on a link of 5 Mbit/s."""
PART_TIMEOUT_MS = 1_000
"""Time for one part, which may wait behind those of the sender's other peers."""
RETRY_DELAY_MS = 150
"""Time after a reply without the value, as its sender may be about to read it from the store."""
MAX_FAILURES = 6
"""Parts that are not received, after which a transfer waits for the next changes from a peer."""

VALUE_RECEIVED = define_event(
    2316,
    "store_value_received",
    "info",
    "A large value of the store arrived from other instances.",
)
VALUE_MISSED = define_event(
    2317,
    "store_value_missed",
    "info",
    "Another instance did not send a part of a large value; the next one is requested.",
)


@message("store_value_request")
@dataclass(frozen=True)
class ValueRequest:
    """Request for a part of a large value."""

    era: int
    key: str
    held_revision: int
    """Revision of the requesting instance's own value; 0 without any."""
    digest: int = 0
    """Digest of the encoded value of which parts have arrived; 0 for none."""
    offset: int = 0
    """Bytes of it that have arrived."""


@message("store_value")
@dataclass(frozen=True)
class ValueReply:
    """Part of an encoded value; the first one of another value if that takes fewer bytes."""

    era: int
    revision: int
    """Revision of the value; 0 if the instance does not know the key."""
    created: int = 0
    base_revision: int = 0
    digest: int = 0
    size: int = 0
    """Size of all parts together."""
    offset: int = 0
    data: bytes = b""


class ValueServer:
    """Sends parts of the values of a view to peers."""

    def __init__(self, view: StoreView, contents: ContentCache, link: PeerLink) -> None:
        """Creates the server and registers its handler.

        Args:
            view: This instance's view of the store.
            contents: Encodes values.
            link: Connections to the peers.
        """
        self._view = view
        self._contents = contents
        link.register_handler(ValueRequest, self._answer)

    async def _answer(self, sender: str, request: ValueRequest) -> ValueReply:
        item = self._view.get(request.key)
        if request.era != self._view.era or item is None:
            return ValueReply(self._view.era, 0)
        newest = self._contents.encode(item, request.held_revision)
        content, offset = _choose_content(
            newest, self._contents.find(request.key, request.digest), request.offset
        )
        return ValueReply(
            self._view.era,
            content.revision,
            content.created,
            content.base_revision,
            content.digest,
            len(content.data),
            offset,
            content.data[offset : offset + PART_BYTES],
        )


def _choose_content(
    newest: EncodedContent, begun: EncodedContent | None, offset: int
) -> tuple[EncodedContent, int]:
    """Returns the content to go on with, and from where.

    A transfer of a value that was replaced goes on if less of it is left than the newest one takes,
    as the newest one is then encoded as the difference from it.
    """
    if begun is not None and 0 < offset < len(begun.data):
        left = len(begun.data) - offset
        if begun.digest == newest.digest or left < len(newest.data):
            return begun, offset
    return newest, 0


@dataclass
class _Received:
    """Parts of an encoded value that have arrived."""

    reply: ValueReply
    base: bytes
    data: bytearray


class ValueTransfers:
    """Requests the large values that a view is missing."""

    def __init__(
        self,
        view: StoreView,
        *,
        link: PeerLink,
        clock: Clock,
        tasks: TaskGroup,
        choose_peer: Callable[[str], str | None],
        on_failure: Callable[[str], None],
        on_value: Callable[[str], None],
    ) -> None:
        """Creates the transfers; none runs before the first start.

        Args:
            view: This instance's view of the store.
            link: Connections to the peers.
            clock: Times requests.
            tasks: Runs the transfers; stopped by its owner.
            choose_peer: Returns the peer to go on with, given the last one; None if there is none.
            on_failure: Called with a peer that did not send a part.
            on_value: Called with the peer that has sent the last part of a value.
        """
        self._view = view
        self._link = link
        self._clock = clock
        self._tasks = tasks
        self._choose_peer = choose_peer
        self._on_failure = on_failure
        self._on_value = on_value
        self._is_running = False
        self._progress_ms = clock.now()

    @property
    def stalled_ms(self) -> int:
        """Time without a part while values are missing; 0 while none is."""
        if not self._view.missing_revisions_by_key:
            return 0
        return self._clock.now() - self._progress_ms

    def start(self, peer: str) -> None:
        """Requests the missing values in the background, first from a peer that has named them."""
        if not self._view.missing_revisions_by_key:
            self._progress_ms = self._clock.now()
        elif not self._is_running:
            self._is_running = True
            self._tasks.start(self._run(peer))

    async def _run(self, peer: str) -> None:
        """Receives the missing values one after the other, each once."""
        requested_by_key: dict[str, int] = {}
        try:
            while pending := self._view.missing_revisions_by_key.items() - requested_by_key.items():
                key, revision = min(pending)
                requested_by_key[key] = revision
                await self._receive(key, peer)
        finally:
            self._is_running = False

    async def _receive(self, key: str, first_peer: str) -> None:
        """Receives a value, and the newer ones that replace it, until none is missing."""
        begin_ms = self._clock.now()
        received: _Received | None = None
        peer = first_peer
        failures = 0
        while key in self._view.missing_revisions_by_key:
            if (chosen := self._choose_peer(peer)) is None:
                return
            peer = chosen
            reply = await self._request(key, peer, received)
            is_news = False
            if reply is None:
                self._on_failure(peer)
            elif self._is_usable(key, reply):
                received = self._add_part(key, reply, received)
                is_news = received is not None
                if received is not None and len(received.data) == received.reply.size:
                    is_news = self._finish(key, received, peer, begin_ms)
                    received = None
            if is_news:
                self._progress_ms = self._clock.now()
                continue
            failures += 1
            if failures == MAX_FAILURES:
                return
            if reply is not None:
                await self._clock.sleep(RETRY_DELAY_MS)

    def _is_usable(self, key: str, reply: ValueReply) -> bool:
        """Returns whether a reply is a part of a newer value than the own one."""
        held = self._view.get(key)
        is_newer = held is None or reply.revision > held.mod_revision
        is_bounded = reply.offset + len(reply.data) <= reply.size <= MAX_DECODED_BYTES
        return reply.era == self._view.era and is_newer and is_bounded and bool(reply.data)

    async def _request(self, key: str, peer: str, received: _Received | None) -> ValueReply | None:
        """Requests the next part from a peer; returns None without a reply."""
        view = self._view
        held = view.get(key)
        request = ValueRequest(
            view.era,
            key,
            held.mod_revision if held is not None else 0,
            received.reply.digest if received is not None else 0,
            len(received.data) if received is not None else 0,
        )
        try:
            return await self._link.request(peer, request, ValueReply, PART_TIMEOUT_MS)
        except (PeerTimeoutError, PeerRefusedError) as error:
            log(VALUE_MISSED, peer=peer, key=key, offset=request.offset, error=str(error))
            if isinstance(error, PeerTimeoutError):
                self._link.reconnect(peer)
            return None

    def _add_part(
        self, key: str, reply: ValueReply, received: _Received | None
    ) -> _Received | None:
        """Returns the parts with one more; None if they do not fit together."""
        if reply.offset == 0:
            base = b""
            if reply.base_revision:
                found = self._view.find_value(key, reply.base_revision)
                if found is None:
                    return None
                base = found
            return _Received(reply, base, bytearray(reply.data))
        if received is None or received.reply.digest != reply.digest:
            return None
        if len(received.data) != reply.offset:
            return None
        received.reply = reply
        received.data += reply.data
        return received

    def _finish(self, key: str, received: _Received, peer: str, begin_ms: int) -> bool:
        """Applies a value that has arrived; returns whether it could be decoded."""
        reply = received.reply
        try:
            value = decode_content(bytes(received.data), received.base)
        except UndecodableContentError as error:
            log(VALUE_MISSED, peer=peer, key=key, offset=reply.size, error=str(error))
            return False
        log(
            VALUE_RECEIVED,
            peer=peer,
            key=key,
            revision=reply.revision,
            base_revision=reply.base_revision,
            bytes=reply.size,
            size=len(value),
            took_ms=self._clock.now() - begin_ms,
        )
        self._view.apply_peer_value(KeyValue(key, value, reply.revision, reply.created, 0))
        self._on_value(peer)
        return True

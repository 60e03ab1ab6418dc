"""Broadcasts notices to all instances through one hub in each data centre.

A notice goes to the hub of the sender's data centre. That hub passes it on to the other
instances of the data centre and to the hubs of the other data centres, which do the same. All
notices that wait at an instance travel in one message, so that the number of messages depends on
the number of instances and the flush interval, not on the number of requests.

An instance forwards every batch that asks for it. Senders agree on the hub by the speed of the
links and by rendezvous hashing, and lose nothing while they disagree about it.
"""

from __future__ import annotations

import zlib
from collections import defaultdict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel.decoding import decode_msgpack
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.peermessages import decode_content, encode_content, message
from mastickeel.peers import PeerRefusedError, PeerTimeoutError
from mastickeel.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from mastickeel.clock import Clock
    from mastickeel.peers import PeerLink
    from mastickeel.tasks import TaskGroup

FLUSH_INTERVAL_MS = 100
"""Minimum time between two batches. Notices of an instance that has been silent for this long leave
at once."""
HUB_TIMEOUT_MS = 400
"""Time without an acknowledgement after which another hub gets the next batches."""
MAX_HUBS = 3
"""Number of instances of a data centre that may be its hub."""
SUSPICION_MS = 5_000
"""Time for which an instance that did not acknowledge a batch is not chosen as a hub: the entry
of an instance that has ended stays in the store for up to 12 s."""
COMPRESSION_LEVEL = 1
"""Notices repeat names of fields, endpoints and instances; the fastest level finds these."""
MAX_BATCH_BYTES = 2 * 1024 * 1024
"""Maximum size of the notices of a batch before compression."""
MAX_WAITING_NOTICES = 5_000
"""Maximum number of notices that wait for the next flush; the oldest are dropped."""
MAX_SKIPPED_KINDS = 64
"""Maximum number of kinds of notices that are logged as skipped."""

HUB_SUSPECTED = define_event(
    2374,
    "hub_suspected",
    "warning",
    "Another instance did not acknowledge a batch of notices; the next batches avoid it.",
)
NOTICE_SKIPPED = define_event(
    2375,
    "notice_skipped",
    "warning",
    "A notice of another instance was skipped: unknown kind or format; versions may differ.",
)


class Scope(Enum):
    """Instances to which the receiver of a batch passes the notices on."""

    FLEET = "fleet"
    """Its own data centre, and the hubs of the others."""
    DATA_CENTRE = "data_centre"
    """Its own data centre."""
    INSTANCE = "instance"
    """None."""


@dataclass(frozen=True)
class Notice:
    """One notice with the instance that it comes from."""

    origin: str
    kind: str
    body: msgspec.Raw


@message("notice_batch")
@dataclass(frozen=True)
class NoticeBatch:
    """Notices of one or more instances."""

    scope: Scope
    packed: bytes
    """The compressed notices."""

    @classmethod
    def pack(cls, scope: Scope, notices: Sequence[Notice]) -> NoticeBatch:
        """Returns a batch of notices."""
        return cls(scope, zlib.compress(msgspec.msgpack.encode(notices), COMPRESSION_LEVEL))

    def unpack(self) -> tuple[Notice, ...]:
        """Returns the notices.

        Raises:
            ValueError: The batch cannot be decoded, or exceeds `MAX_BATCH_BYTES`.
        """
        inflater = zlib.decompressobj()
        try:
            data = inflater.decompress(self.packed, MAX_BATCH_BYTES)
        except zlib.error as error:
            raise ValueError(str(error)) from error
        if inflater.unconsumed_tail:
            raise ValueError(f"the batch has more than {MAX_BATCH_BYTES} bytes")
        return decode_msgpack(data, tuple[Notice, ...])


@dataclass(frozen=True)
class PeerTraits:
    """What the choice of a hub depends on."""

    data_centre: str
    link_mbps: float = 0.0
    """Bandwidth of the instance's network link in Mbit/s; 0 when not known."""
    exchanges_changes: bool = False
    """Whether the instance exchanges all changes of the store with its peers."""


@message("notice_ack")
@dataclass(frozen=True)
class NoticeAck:
    """Reply of a hub that passes a batch on."""


class Broadcast:
    """Sends this instance's notices to all instances, and forwards those of others."""

    def __init__(
        self,
        link: PeerLink,
        *,
        clock: Clock,
        traits: PeerTraits,
        traits_by_peer: Mapping[str, PeerTraits],
        tasks: TaskGroup,
    ) -> None:
        """Creates the broadcast.

        Args:
            link: Connections to the peers.
            clock: Times the flushes and the suspicion of hubs.
            traits: Traits of this instance.
            traits_by_peer: Traits of the peers; kept up to date by its owner. Peers that are
                missing get each notice in a message of its own, as they may run a version of the
                program that knows no batches.
            tasks: Runs the sends; stopped by its owner.
        """
        self._link = link
        self._clock = clock
        self._traits = traits
        self._traits_by_peer = traits_by_peer
        self._handlers_by_type: dict[type[Any], Callable[[str, Any], object]] = {}
        self._own: list[Notice] = []
        self._for_data_centre: list[Notice] = []
        self._for_other_data_centres: list[Notice] = []
        self._last_flush_ms = clock.now() - FLUSH_INTERVAL_MS
        self._flush_scheduled = False
        self._suspected_until_ms: dict[str, int] = {}
        self._skipped_kinds: set[str] = set()
        self._tasks = tasks
        link.register_handler(NoticeBatch, self._accept_batch)

    def register_handler(self, kind: type[Any], on_notice: Callable[[str, Any], object]) -> None:
        """Registers the function that gets all notices of a type, with the sender's id."""

        async def handle(sender: str, notice: Any) -> None:
            on_notice(sender, notice)

        self._handlers_by_type[kind] = on_notice
        self._link.register_handler(kind, handle)

    def publish(self, content: Any) -> None:
        """Sends a notice, a registered message, to all other instances; it may be lost."""
        peer_ids = self._link.peer_ids
        unplaced = [peer for peer in peer_ids if peer not in self._traits_by_peer]
        self._link.multicast(unplaced, content)
        if len(unplaced) == len(peer_ids):
            return
        self._own.append(Notice(self._link.instance_id, *encode_content(content)))
        del self._own[:-MAX_WAITING_NOTICES]
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._tasks.start(self._flush_when_due())

    async def _flush_when_due(self) -> None:
        await self._clock.sleep(self._last_flush_ms + FLUSH_INTERVAL_MS - self._clock.now())
        self._flush_scheduled = False
        self._last_flush_ms = self._clock.now()
        self._flush()

    def _flush(self) -> None:
        """Sends all waiting notices, in one batch for each destination."""
        own, self._own = self._own, []
        if own:
            self._send_to_hub(self._traits.data_centre, Scope.FLEET, own)
        for_members, self._for_data_centre = self._for_data_centre, []
        for_others, self._for_other_data_centres = self._for_other_data_centres, []
        peers_by_data_centre = self._group_peers()
        members = peers_by_data_centre.pop(self._traits.data_centre, [])
        if for_members and members:
            self._link.multicast(members, NoticeBatch.pack(Scope.INSTANCE, for_members))
        if for_others:
            for data_centre in peers_by_data_centre:
                self._send_to_hub(data_centre, Scope.DATA_CENTRE, for_others)

    def _queue(self, scope: Scope, notices: Sequence[Notice]) -> None:
        """Adds notices that this instance forwards in its next batches."""
        queues = [self._for_data_centre] if scope is not Scope.INSTANCE else []
        if scope is Scope.FLEET:
            queues.append(self._for_other_data_centres)
        for queue in queues:
            queue.extend(notices)
            del queue[:-MAX_WAITING_NOTICES]

    def _send_to_hub(self, data_centre: str, scope: Scope, notices: list[Notice]) -> None:
        """Sends a batch to the hub of a data centre, or queues it if this instance is the hub.

        Args:
            data_centre: One with an instance that is known to take batches.
            scope: Instances to which the hub passes the notices on.
            notices: Notices of the batch.
        """
        hub = self._rank_hubs(data_centre)[0]
        if hub == self._link.instance_id:
            self._queue(scope, notices)
        else:
            self._tasks.start(self._await_ack(hub, NoticeBatch.pack(scope, notices)))

    async def _await_ack(self, hub: str, batch: NoticeBatch) -> None:
        """Sends a batch to a hub; later batches avoid the hub if it does not acknowledge.

        A batch without an acknowledgement is not sent again: a hub may be silent because the
        network is full, which repeated batches would only prolong.
        """
        try:
            await self._link.request(hub, batch, NoticeAck, HUB_TIMEOUT_MS)
        except (PeerTimeoutError, PeerRefusedError) as error:
            self._suspect(hub)
            log(HUB_SUSPECTED, hub=hub, bytes=len(batch.packed), error=str(error))

    def _suspect(self, hub: str) -> None:
        """Marks an instance that did not acknowledge a batch, and removes marks that are over."""
        now = self._clock.now()
        marks = {peer: end_ms for peer, end_ms in self._suspected_until_ms.items() if end_ms > now}
        self._suspected_until_ms = {**marks, hub: now + SUSPICION_MS}

    def _rank_hubs(self, data_centre: str) -> list[str]:
        """Returns the possible hubs of a data centre in the order in which they are chosen.

        Those with the fastest link come first, as a hub sends every notice to its whole data
        centre. Hubs that did not acknowledge a recent batch come last. No other instance is
        chosen: if the network is full, each instance would become its own hub.
        """
        ids = self._group_peers().get(data_centre, [])
        if data_centre == self._traits.data_centre:
            ids = [*ids, self._link.instance_id]
        hubs = sorted(rank(data_centre, ids), key=lambda peer: -self._link_mbps(peer))
        now = self._clock.now()
        return sorted(hubs[:MAX_HUBS], key=lambda peer: self._suspected_until_ms.get(peer, 0) > now)

    def _link_mbps(self, peer: str) -> float:
        return self._traits_by_peer.get(peer, self._traits).link_mbps

    def _group_peers(self) -> dict[str, list[str]]:
        """Returns the ids of the connected peers by data centre."""
        peers_by_data_centre: dict[str, list[str]] = defaultdict(list)
        for peer in self._link.peer_ids:
            if peer in self._traits_by_peer:
                peers_by_data_centre[self._traits_by_peer[peer].data_centre].append(peer)
        return peers_by_data_centre

    async def _accept_batch(self, sender: str, batch: NoticeBatch) -> NoticeAck:
        """Applies the notices of a batch, and forwards them as its scope says."""
        try:
            notices = batch.unpack()
        except ValueError as error:
            log(NOTICE_SKIPPED, sender=sender, error=str(error))
            return NoticeAck()
        if batch.scope is not Scope.INSTANCE:
            self._queue(batch.scope, notices)
            self._schedule_flush()
        for notice in notices:
            if notice.origin != self._link.instance_id:
                self._apply(notice)
        return NoticeAck()

    def _apply(self, notice: Notice) -> None:
        """Passes a notice to its handler; skips one that cannot be decoded."""
        try:
            content = decode_content(notice.kind, notice.body)
        except msgspec.MsgspecError as error:
            self._log_skipped(notice, str(error))
            return
        handler = self._handlers_by_type.get(type(content))
        if handler is None:
            self._log_skipped(notice, "unknown kind")
            return
        handler(notice.origin, content)

    def _log_skipped(self, notice: Notice, error: str) -> None:
        """Logs a skipped notice; only the first of its kind, as a newer version may send many."""
        if notice.kind in self._skipped_kinds or len(self._skipped_kinds) >= MAX_SKIPPED_KINDS:
            return
        self._skipped_kinds.add(notice.kind)
        log(NOTICE_SKIPPED, origin=notice.origin, kind=notice.kind, error=error)

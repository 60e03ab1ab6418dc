"""Broadcasts notices to all instances through one relay in each data centre.

A notice goes to the relay of the sender's data centre. That relay passes it on to the other
instances of the data centre and to the relays of the other data centres, which do the same. All
notices that wait at an instance travel in one message, so that the number of messages depends on
the number of instances and the flush interval, not on the number of requests.

An instance relays every batch that asks for it; senders agree on the relay by rendezvous hashing.
Instances that disagree about the relay for a while therefore lose nothing.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.peermessages import decode_content, encode_content, message
from mastickeel.peers import PeerRefusedError, PeerTimeoutError
from mastickeel.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from mastickeel.clock import Clock
    from mastickeel.peers import PeerLink
    from mastickeel.tasks import TaskGroup

FLUSH_INTERVAL_MS = 100
"""Minimum time between two batches. Notices of an instance that has been silent for this long leave
at once."""
RELAY_TIMEOUT_MS = 400
"""Maximum time that a relay takes to acknowledge a batch before the next one gets it."""
MAX_RELAYS_TRIED = 3
SUSPICION_MS = 5_000
"""Time for which an instance that did not acknowledge a batch is not chosen as a relay: the entry
of an instance that has ended stays in the store for up to 12 s."""
MAX_WAITING_NOTICES = 5_000
"""Maximum number of notices that wait for the next flush; the oldest are dropped."""

RELAY_SUSPECTED = define_event(
    2374,
    "relay_suspected",
    "warning",
    "Another instance did not acknowledge a batch of notices; the next relay gets it.",
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
    """Its own data centre, and the relays of the others."""
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
    notices: tuple[Notice, ...]


@message("notice_ack")
@dataclass(frozen=True)
class NoticeAck:
    """Reply of a relay that passes a batch on."""


class Broadcast:
    """Sends this instance's notices to all instances, and relays those of others."""

    def __init__(
        self,
        link: PeerLink,
        *,
        clock: Clock,
        data_centre: str,
        data_centres_by_peer: Mapping[str, str],
        tasks: TaskGroup,
    ) -> None:
        """Creates the broadcast.

        Args:
            link: Connections to the peers.
            clock: Times the flushes and the suspicion of relays.
            data_centre: Data centre of this instance.
            data_centres_by_peer: Data centres of the peers; kept up to date by its owner. Peers
                that are missing get each notice in a message of its own, as they may run a version
                of the program that knows no batches.
            tasks: Runs the sends; stopped by its owner.
        """
        self._link = link
        self._clock = clock
        self._data_centre = data_centre
        self._data_centres_by_peer = data_centres_by_peer
        self._handlers_by_kind: dict[type[Any], Callable[[str, Any], object]] = {}
        self._own: list[Notice] = []
        self._for_data_centre: list[Notice] = []
        self._for_other_data_centres: list[Notice] = []
        self._last_flush_ms = clock.now() - FLUSH_INTERVAL_MS
        self._flush_scheduled = False
        self._suspected_until_ms: dict[str, int] = {}
        self._tasks = tasks
        link.register_handler(NoticeBatch, self._accept_batch)

    def register_handler(self, kind: type[Any], on_notice: Callable[[str, Any], object]) -> None:
        """Registers the function that gets all notices of a type, with the sender's id."""

        async def handle(sender: str, notice: Any) -> None:
            on_notice(sender, notice)

        self._handlers_by_kind[kind] = on_notice
        self._link.register_handler(kind, handle)

    def publish(self, content: Any) -> None:
        """Sends a notice, a registered message, to all other instances; it may be lost."""
        peer_ids = self._link.peer_ids
        unplaced = [peer for peer in peer_ids if peer not in self._data_centres_by_peer]
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
        if own and self._rank_relays(self._data_centre)[0] == self._link.instance_id:
            self._queue(Scope.FLEET, own)
        elif own:
            self._tasks.start(self._send_to_relay(self._data_centre, Scope.FLEET, own))
        for_members, self._for_data_centre = self._for_data_centre, []
        for_others, self._for_other_data_centres = self._for_other_data_centres, []
        peers_by_data_centre = self._group_peers()
        members = peers_by_data_centre.pop(self._data_centre, [])
        if for_members and members:
            self._link.multicast(members, NoticeBatch(Scope.INSTANCE, tuple(for_members)))
        if for_others:
            for data_centre in peers_by_data_centre:
                self._tasks.start(self._send_to_relay(data_centre, Scope.DATA_CENTRE, for_others))

    def _queue(self, scope: Scope, notices: list[Notice]) -> None:
        """Adds notices that this instance relays to its next batches."""
        queues = [self._for_data_centre] if scope is not Scope.INSTANCE else []
        if scope is Scope.FLEET:
            queues.append(self._for_other_data_centres)
        for queue in queues:
            queue.extend(notices)
            del queue[:-MAX_WAITING_NOTICES]

    async def _send_to_relay(self, data_centre: str, scope: Scope, notices: list[Notice]) -> None:
        """Sends a batch to the relay of a data centre, and to the next one if it is silent."""
        batch = NoticeBatch(scope, tuple(notices))
        for relay in self._rank_relays(data_centre)[:MAX_RELAYS_TRIED]:
            if relay == self._link.instance_id:
                self._queue(scope, notices)
                self._schedule_flush()
                return
            try:
                await self._link.request(relay, batch, NoticeAck, RELAY_TIMEOUT_MS)
            except (PeerTimeoutError, PeerRefusedError) as error:
                self._suspect(relay)
                log(RELAY_SUSPECTED, relay=relay, notices=len(notices), error=str(error))
            else:
                return

    def _suspect(self, relay: str) -> None:
        """Marks an instance that did not acknowledge a batch, and removes marks that are over."""
        now = self._clock.now()
        marks = {peer: end_ms for peer, end_ms in self._suspected_until_ms.items() if end_ms > now}
        self._suspected_until_ms = {**marks, relay: now + SUSPICION_MS}

    def _rank_relays(self, data_centre: str) -> list[str]:
        """Returns the instances of a data centre in the order in which they are tried as relays.

        Instances that did not acknowledge a recent batch come last.
        """
        ids = self._group_peers().get(data_centre, [])
        if data_centre == self._data_centre:
            ids = [*ids, self._link.instance_id]
        now = self._clock.now()
        return sorted(
            rank(data_centre, ids), key=lambda peer: self._suspected_until_ms.get(peer, 0) > now
        )

    def _group_peers(self) -> dict[str, list[str]]:
        """Returns the ids of the connected peers by data centre."""
        peers_by_data_centre: dict[str, list[str]] = defaultdict(list)
        for peer in self._link.peer_ids:
            if peer in self._data_centres_by_peer:
                peers_by_data_centre[self._data_centres_by_peer[peer]].append(peer)
        return peers_by_data_centre

    async def _accept_batch(self, sender: str, batch: NoticeBatch) -> NoticeAck:
        """Applies the notices of a batch, and relays them as its scope says."""
        if batch.scope is not Scope.INSTANCE:
            self._queue(batch.scope, list(batch.notices))
            self._schedule_flush()
        for notice in batch.notices:
            if notice.origin != self._link.instance_id:
                self._apply(notice)
        return NoticeAck()

    def _apply(self, notice: Notice) -> None:
        """Passes a notice to its handler; skips one that cannot be decoded."""
        try:
            content = decode_content(notice.kind, notice.body)
        except msgspec.MsgspecError as error:
            log(NOTICE_SKIPPED, origin=notice.origin, kind=notice.kind, error=str(error))
            return
        handler = self._handlers_by_kind.get(type(content))
        if handler is None:
            log(NOTICE_SKIPPED, origin=notice.origin, kind=notice.kind)
            return
        handler(notice.origin, content)

"""Exchange of the store's changes between instances.

An instance that reads a change tells the others the revision, and one that does not know it asks
for the changes. An instance whose own watch has not answered in time asks by itself. Both cost
no call to the store, and nothing while all instances know the same.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel._kvtypes import KeyValue
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.peermessages import message
from mastickeel.peers import PeerRefusedError, PeerTimeoutError
from mastickeel_router.storeview.view import Changes, Removal

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel.peers import PeerLink
    from mastickeel.tasks import TaskGroup
    from mastickeel_router.discovery.feeds import StoreFollower
    from mastickeel_router.storeview.view import StoreView

ANNOUNCE_STEP_MS = 25
"""Time that each instance gives those before it in the ranking to announce a change."""
MAX_ANNOUNCE_MS = 1_000
OWN_WATCH_MS = 300
OWN_WATCH_JITTER_MS = 200
"""Time that the own watch has to bring a change that a peer announced, above the pause of a watch
after a change, and the time over which instances that lack a change spread their requests."""
REPLY_TIMEOUT_MS = 300
DOUBT_INTERVAL_MS = 250
"""Interval at which an instance looks whether its own watch is late."""

PEER_CHANGES_MISSED = define_event(
    2313,
    "peer_changes_missed",
    "info",
    "Another instance did not reply to a request for changes of the store; the next one is asked.",
)


@message("store_revision")
@dataclass(frozen=True)
class RevisionNotice:
    """Notification to peers that the store has changed."""

    era: int
    """Era of the store; 0 if it names none."""
    revision: int


@message("store_changes_request")
@dataclass(frozen=True)
class ChangesRequest:
    """Request for the changes of the store after a revision."""

    era: int
    revision: int


@dataclass(frozen=True)
class SharedItem:
    """A key with its value."""

    key: str
    value: bytes
    revision: int
    created: int


@message("store_changes")
@dataclass(frozen=True)
class ChangesReply:
    """Changes of the store that an instance knows."""

    era: int
    revision: int
    age_ms: int | None
    """Age of the knowledge; None if the instance knows nothing of this era."""
    items: tuple[SharedItem, ...] = ()
    removals: tuple[Removal, ...] = ()
    is_whole: bool = False


class ChangeExchange:
    """Keeps this instance's view of the store as new as the newest of the fleet."""

    def __init__(
        self,
        view: StoreView,
        follower: StoreFollower,
        *,
        link: PeerLink,
        clock: Clock,
        rng: random.Random,
        tasks: TaskGroup,
        rank_of: Callable[[str], int],
    ) -> None:
        """Creates the exchange and registers its handlers.

        Args:
            view: This instance's view of the store.
            follower: Reads the store for the view.
            link: Connections to the peers.
            clock: Times announcements and requests.
            rng: Draws the peer that is asked.
            tasks: Runs announcements and requests; stopped by its owner.
            rank_of: Returns the rank of this instance among all for a key, from 0.
        """
        self._view = view
        self._follower = follower
        self._link = link
        self._clock = clock
        self._rng = rng
        self._tasks = tasks
        self._rank_of = rank_of
        self._announced = RevisionNotice(0, 0)
        self._is_announcing = False
        self._awaited = RevisionNotice(0, 0)
        view.on_progress.append(self._schedule_announcement)
        link.register_handler(RevisionNotice, self._apply_notice)
        link.register_handler(ChangesRequest, self._answer)

    async def run(self) -> None:
        """Asks a peer for changes whenever the own watch is late, until cancelled."""
        while True:
            await self._clock.sleep(DOUBT_INTERVAL_MS)
            if self._follower.is_late:
                self.ask_one()

    def ask_one(self) -> None:
        """Asks one of the peers, drawn at random, for the changes that this instance lacks."""
        if peer_ids := self._link.peer_ids:
            self._tasks.start(self._ask(self._rng.choice(peer_ids)))

    def _schedule_announcement(self) -> None:
        if not self._is_announcing:
            self._is_announcing = True
            self._tasks.start(self._announce())

    async def _announce(self) -> None:
        """Tells the peers of the newest revision, unless one of them has told it first."""
        rank = self._rank_of(str(self._view.revision))
        await self._clock.sleep(min(rank * ANNOUNCE_STEP_MS, MAX_ANNOUNCE_MS))
        self._is_announcing = False
        notice = RevisionNotice(self._view.era, self._view.revision)
        if _is_newer(notice, self._announced):
            self._announced = notice
            # Not by a hub: one that is frozen would keep the change from all.
            self._link.multicast(self._link.peer_ids, notice)

    async def _apply_notice(self, sender: str, notice: RevisionNotice) -> None:
        if _is_newer(notice, self._announced):
            self._announced = notice
        if self._lacks(notice) and _is_newer(notice, self._awaited):
            self._awaited = notice
            self._tasks.start(self._await_change(sender, notice))

    async def _await_change(self, sender: str, notice: RevisionNotice) -> None:
        """Asks the sender of a notice if the own watch does not bring the change."""
        await self._clock.sleep(OWN_WATCH_MS + self._rng.uniform(0, OWN_WATCH_JITTER_MS))
        if self._lacks(notice):
            self._follower.reopen()
            await self._ask(sender)

    def _lacks(self, notice: RevisionNotice) -> bool:
        return notice.era == self._view.era and notice.revision > self._view.revision

    async def _ask(self, peer: str) -> None:
        """Asks a peer for the changes that this instance lacks, and applies them."""
        request = ChangesRequest(self._view.era, self._view.revision)
        begin_ms = self._clock.now()
        try:
            reply = await self._link.request(peer, request, ChangesReply, REPLY_TIMEOUT_MS)
        except (PeerTimeoutError, PeerRefusedError) as error:
            log(PEER_CHANGES_MISSED, peer=peer, error=str(error))
            return
        if reply.age_ms is None:
            return
        items = (
            KeyValue(item.key, item.value, item.revision, item.created, 0) for item in reply.items
        )
        changes = Changes(reply.era, reply.revision, tuple(items), reply.removals, reply.is_whole)
        travel_ms = self._clock.now() - begin_ms
        self._view.apply_peer_changes(peer, changes, reply.age_ms + travel_ms)

    async def _answer(self, sender: str, request: ChangesRequest) -> ChangesReply:
        view = self._view
        if request.era != view.era or not view.revision:
            return ChangesReply(view.era, 0, None)
        changes = view.changes_since(request.revision)
        items = tuple(
            SharedItem(item.key, item.value, item.mod_revision, item.create_revision)
            for item in changes.items
        )
        return ChangesReply(
            view.era, changes.revision, view.age_ms(), items, changes.removals, changes.is_whole
        )


def _is_newer(notice: RevisionNotice, other: RevisionNotice) -> bool:
    return (notice.era, notice.revision) > (other.era, other.revision)

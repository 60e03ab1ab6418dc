"""Exchange of the store's changes between instances.

A few instances of each data centre watch the store and notify the others of each new revision;
these request the changes from them, and request them at an interval as well, which proves that
they know the newest. An instance that hears from no watcher in time watches by itself. Who learns
a change from the store also notifies the watchers of the other data centres, so that no watch
stands alone for what the fleet knows.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.peers import PeerRefusedError, PeerTimeoutError
from mastickeel_router.discovery.feeds import LATE_MS, OutageEnd
from mastickeel_router.storeview.contents import ContentCache
from mastickeel_router.storeview.encoding import UndecodableContentError
from mastickeel_router.storeview.messages import (
    ChangesReply,
    ChangesRequest,
    RevisionNotice,
    encode_large_items,
    measure_reply,
    pack_changes,
    read_changes,
    share_items,
)
from mastickeel_router.storeview.transfers import ValueServer, ValueTransfers
from mastickeel_router.storeview.watchers import choose_watcher, is_watcher, rank_watchers

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from mastickeel.clock import Clock
    from mastickeel.peers import PeerLink
    from mastickeel.storeera import StoreEra
    from mastickeel.tasks import TaskGroup
    from mastickeel_router.discovery.feeds import StoreFollower
    from mastickeel_router.storeview.view import Changes, StoreView
    from mastickeel_router.storeview.watchers import Member, Ranking

NOTIFY_STEP_MS = 25
"""Time that each instance gives those before it in the ranking to notify the data centre."""
MAX_NOTIFY_DELAY_MS = 1_000
NOTIFIED_ELSEWHERE = 2
"""Members of each other data centre that are notified of a change: one may be lost."""
FETCH_SPREAD_MS = 100
"""Time over which the followers of a watcher spread their requests for a change."""
OWN_WATCH_MS = 300
OWN_WATCH_JITTER_MS = 200
"""Time that the own watch has to bring a change that a peer notified, above the pause of a watch
after a change, and the time over which instances that lack a change spread their requests."""
REPLY_TIMEOUT_MS = 300
LATE_CHECK_INTERVAL_MS = 250
"""Interval at which an instance that watches looks whether its watch is late."""
STALL_MS = 400
"""Delay of this instance's own work from which on it counts as stalled: what it reads then may have
waited for so long."""
SUSPICION_MS = 3_000
"""Time for which a peer that did not reply, or does not hear the store, is passed over."""
MAX_TRIES = 3
"""Number of watchers that are requested one after the other at one interval."""

PEER_CHANGES_MISSED = define_event(
    2313,
    "peer_changes_missed",
    "info",
    "Another instance did not reply to a request for changes of the store; the next one is asked.",
)
WATCH_BEGUN = define_event(
    2314,
    "store_watch_begun",
    "info",
    "This instance watches the store by itself, by its rank or as no watcher was heard in time.",
)
WATCH_LEFT = define_event(
    2315,
    "store_watch_left",
    "info",
    "This instance learns of the store's changes from the watchers of its data centre.",
)


@dataclass(frozen=True)
class ExchangeTiming:
    """Intervals that follow from the time within which a change has to be in force."""

    poll_interval_ms: int
    """Interval at which a follower requests changes."""
    patience_ms: int
    """Time without a watcher after which followers begin to watch by themselves."""

    @classmethod
    def for_max_age(cls, max_age_ms: int) -> ExchangeTiming:
        """Returns the timing for knowledge that may have an age."""
        return cls(max_age_ms // 4, max_age_ms // 2)


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
        era: StoreEra,
        own: Member,
        list_members: Callable[[], Iterable[Member]],
        timing: ExchangeTiming,
    ) -> None:
        """Creates the exchange and registers its handlers.

        Args:
            view: This instance's view of the store.
            follower: Reads the store for the view.
            link: Connections to the peers.
            clock: Times notices and requests.
            rng: Draws delays and peers.
            tasks: Runs notices and requests; stopped by its owner.
            era: The store's era, as this instance's calls know it.
            own: This instance.
            list_members: Returns the peers that take part in the exchange.
            timing: Intervals of the exchange.
        """
        self._view = view
        self._follower = follower
        self._link = link
        self._clock = clock
        self._rng = rng
        self._tasks = tasks
        self._era = era
        self._own = own
        self._list_members = list_members
        self._timing = timing
        self._notified = RevisionNotice(0, 0)
        self._is_notifying = False
        self._awaited = RevisionNotice(0, 0)
        self._request_count = 0
        self._suspected_until_ms: dict[str, int] = {}
        self._heard_ms = clock.now()
        self._due_ms = math.inf
        self._begins_ms = clock.now() + round(timing.poll_interval_ms * rng.uniform(1, 2))
        self._contents = ContentCache(view)
        self._server = ValueServer(view, self._contents, link)
        self._transfers = ValueTransfers(
            view,
            link=link,
            clock=clock,
            tasks=tasks,
            choose_peer=self._choose_sender,
            on_failure=self._suspect,
            on_value=self._record_value,
        )
        follower.pause()
        view.on_progress.append(self._schedule_notice)
        view.on_answer.append(self._update_role)
        link.register_handler(RevisionNotice, self._apply_notice)
        link.register_handler(ChangesRequest, self._answer)

    async def run(self) -> None:
        """Requests changes from a watcher at an interval, or from any peer while late."""
        interval_ms: float = self._rng.uniform(0, self._timing.poll_interval_ms)
        while True:
            self._due_ms = self._clock.now() + interval_ms
            await self._clock.sleep(interval_ms)
            if self._was_stalled:
                self._view.forget_confirmation()
                self._follower.reopen()
            self._due_ms = math.inf
            begin_ms = self._clock.now()
            self._update_role()
            interval_ms = LATE_CHECK_INTERVAL_MS
            if self._own.id not in self._rank_own().watchers:
                # Also while it watches: the watchers that it stands in for may be back.
                await self._request_from_watchers()
                self._update_role()
                interval_ms = self._timing.poll_interval_ms
            if self._follower.is_late:
                self.request_from_one()
            interval_ms = max(0, begin_ms + interval_ms - self._clock.now())

    @property
    def _was_stalled(self) -> bool:
        """Whether this instance has not run for some time, so that answers may wait unread."""
        return self._clock.now() > self._due_ms + STALL_MS

    def request_from_one(self) -> None:
        """Requests changes in the background: from a watcher, or while late from any peer."""
        if not self._view.revision:
            return
        peer = self._choose_watcher()
        if (peer is None or self._follower.is_late) and self._link.peer_ids:
            peer = self._rng.choice(self._link.peer_ids)
        if peer is not None:
            self._tasks.start(self._request(peer))

    def _rank_own(self) -> Ranking:
        """Returns the members of the own data centre in the order in which they are to watch."""
        return rank_watchers((self._own, *self._list_members()), self._own.data_centre)

    def _list_suspected(self) -> set[str]:
        now = self._clock.now()
        self._suspected_until_ms = {
            peer: until_ms for peer, until_ms in self._suspected_until_ms.items() if until_ms > now
        }
        return set(self._suspected_until_ms)

    def _suspect(self, peer: str) -> None:
        self._suspected_until_ms[peer] = self._clock.now() + SUSPICION_MS

    def _record_value(self, peer: str) -> None:
        """Notifies the data centre of what a large value from another one has completed."""
        if not self._view.missing_revisions_by_key and peer not in self._rank_own().ids:
            self._schedule_notice()

    def _choose_sender(self, present: str) -> str | None:
        """Returns who sends the next part: the present sender, or a watcher once it is late."""
        is_usable = present in self._link.peer_ids and present not in self._list_suspected()
        return present if is_usable else self._choose_watcher()

    def _choose_watcher(self) -> str | None:
        return choose_watcher(self._own.id, self._rank_own(), self._list_suspected())

    def _update_role(self) -> None:
        """Begins to watch the store by itself, or leaves that to others."""
        now = self._clock.now()
        is_needed = now >= self._begins_ms and is_watcher(
            self._own.id,
            self._rank_own(),
            self._list_suspected(),
            unheard_ms=now - self._heard_ms,
            patience_ms=self._timing.patience_ms,
        )
        if is_needed and self._follower.is_paused:
            log(WATCH_BEGUN, revision=self._view.revision, unheard_ms=now - self._heard_ms)
            self._follower.resume(self._view.revision)
        elif not is_needed and not self._follower.is_paused:
            log(WATCH_LEFT, revision=self._view.revision)
            self._follower.pause()
            self._heard_ms = now

    async def _request_from_watchers(self) -> None:
        """Requests changes from a watcher, and from the next ones if it does not reply."""
        if not self._view.revision:
            return
        for _ in range(MAX_TRIES):
            peer = self._choose_watcher()
            if peer is None or await self._request(peer):
                return

    def _schedule_notice(self) -> None:
        if not self._is_notifying:
            self._is_notifying = True
            self._tasks.start(self._notify())

    async def _notify(self) -> None:
        """Notifies peers of the newest revision, unless one of the data centre has done so."""
        position = self._rank_own().ids.index(self._own.id)
        await self._clock.sleep(min(position * NOTIFY_STEP_MS, MAX_NOTIFY_DELAY_MS))
        self._is_notifying = False
        notice = RevisionNotice(self._view.era, self._view.revision)
        if _is_newer(notice, self._notified):
            self._notified = notice
            # Not by a hub: one that is frozen would keep the change from all.
            self._link.multicast(self._list_recipients(), notice)

    def _list_recipients(self) -> list[str]:
        """Returns the own data centre, the first of the others, and peers of older versions."""
        members = tuple(self._list_members())
        recipients = [one.id for one in members if one.data_centre == self._own.data_centre]
        for data_centre in {one.data_centre for one in members} - {self._own.data_centre}:
            recipients += rank_watchers(members, data_centre).ids[:NOTIFIED_ELSEWHERE]
        known = {one.id for one in members}
        return recipients + [peer for peer in self._link.peer_ids if peer not in known]

    def _observe_era(self, number: int) -> None:
        """Records the era that a peer names; the keys are listed again in a later one."""
        if self._era.number is not None and number > self._era.number:
            self._era.observe(number)

    async def _apply_notice(self, sender: str, notice: RevisionNotice) -> None:
        self._observe_era(notice.era)
        if sender in self._rank_own().ids and _is_newer(notice, self._notified):
            self._notified = notice
        if self._lacks(notice) and _is_newer(notice, self._awaited):
            self._awaited = notice
            self._tasks.start(self._await_change(sender, notice))

    async def _await_change(self, sender: str, notice: RevisionNotice) -> None:
        """Requests a change from the sender of its notice if the own watch does not bring it."""
        delay_ms = self._rng.uniform(0, FETCH_SPREAD_MS)
        if not self._follower.is_paused:
            delay_ms = OWN_WATCH_MS + self._rng.uniform(0, OWN_WATCH_JITTER_MS)
        await self._clock.sleep(delay_ms)
        if self._lacks(notice):
            self._follower.reopen()
            await self._request(sender)

    def _lacks(self, notice: RevisionNotice) -> bool:
        return notice.era == self._view.era and notice.revision > self._view.seen_revision

    async def _request(self, peer: str) -> bool:
        """Requests the changes that this instance lacks from a peer, and applies them.

        Returns:
            Whether the peer replied and hears the store in time.
        """
        begin_ms = self._clock.now()
        reply = await self._fetch(peer)
        if reply is not None:
            self._observe_era(reply.era)
        changes = self._read(peer, reply)
        if reply is None or changes is None or reply.age_ms is None:
            self._suspect(peer)
            return False
        if reply.outage_age_ms is not None and changes.removals:
            await self._confirm_outage(peer, reply)
        now = self._clock.now()
        age_ms = reply.age_ms + now - begin_ms
        if reply.outage_age_ms is None:
            self._view.record_peer_contact(now - age_ms)
        revision = self._view.revision
        self._view.apply_peer_changes(peer, changes, age_ms, now - begin_ms, measure_reply(reply))
        self._transfers.start(peer)
        if self._view.revision > revision and peer not in self._rank_own().ids:
            self._schedule_notice()
        if not reply.covers_all:
            return False
        if age_ms > LATE_MS:
            self._suspect(peer)
            return False
        self._suspected_until_ms.pop(peer, None)
        self._heard_ms = max(self._heard_ms, now - self._transfers.stalled_ms)
        return True

    def _read(self, peer: str, reply: ChangesReply | None) -> Changes | None:
        """Returns the changes in a reply; None if it cannot be read."""
        try:
            return None if reply is None else read_changes(reply, self._view.find_value)
        except UndecodableContentError as error:
            log(PEER_CHANGES_MISSED, peer=peer, error=str(error))
            return None

    async def _fetch(self, peer: str) -> ChangesReply | None:
        """Returns the reply of a peer; None without one."""
        view = self._view
        request = ChangesRequest(view.era, view.revision, view.seen_revision)
        begin_ms = self._clock.now()
        self._request_count += 1
        try:
            return await self._link.request(peer, request, ChangesReply, REPLY_TIMEOUT_MS)
        except (PeerTimeoutError, PeerRefusedError) as error:
            log(
                PEER_CHANGES_MISSED,
                peer=peer,
                revision=request.revision,
                took_ms=self._clock.now() - begin_ms,
                under_way=self._request_count,
                error=str(error),
            )
            if isinstance(error, PeerTimeoutError):
                self._link.reconnect(peer)
            return None
        finally:
            self._request_count -= 1

    async def _confirm_outage(self, peer: str, known: ChangesReply) -> None:
        """Records an outage that a peer has seen if another one has seen it too.

        Keys that were removed meanwhile may be those of live owners; but a store that failed the
        peer alone has removed nothing by that.
        """
        members = tuple(self._list_members())
        watchers = {
            watcher
            for data_centre in {one.data_centre for one in members}
            for watcher in rank_watchers(members, data_centre).watchers
        }
        if not (others := sorted(watchers - {peer})):
            return
        received_ms = self._clock.now()
        reply = await self._fetch(self._rng.choice(others))
        if reply is None or reply.outage_age_ms is None or known.outage_age_ms is None:
            return
        ended_ms = max(received_ms - known.outage_age_ms, self._clock.now() - reply.outage_age_ms)
        is_certain = known.outage_is_certain and reply.outage_is_certain
        self._view.record_peer_outage(OutageEnd(ended_ms, is_certain))

    async def _answer(self, sender: str, request: ChangesRequest) -> ChangesReply:
        view = self._view
        self._observe_era(request.era)
        if request.era != view.era or not view.revision or self._was_stalled:
            return ChangesReply(view.era, 0, None)
        reply = ChangesReply(
            view.era,
            view.revision,
            view.age_ms(),
            covers_all=True,
            outage_age_ms=view.outage_age_ms(),
            outage_is_certain=view.is_outage_certain,
        )
        if not request.seen_revision:
            changes = view.changes_since(request.revision)
            return replace(
                reply,
                items=share_items(changes),
                removals=changes.removals,
                is_whole=changes.is_whole,
            )
        changes = view.changes_after(request.revision, request.seen_revision)
        return replace(
            reply,
            is_whole=changes.is_whole,
            packed=pack_changes(changes),
            encoded_items=encode_large_items(changes, request.revision, self._contents),
        )


def _is_newer(notice: RevisionNotice, other: RevisionNotice) -> bool:
    return (notice.era, notice.revision) > (other.era, other.revision)

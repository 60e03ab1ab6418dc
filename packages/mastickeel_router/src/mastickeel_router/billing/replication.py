"""Replicates the journal of this instance to two peers in other data centres."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel.rendezvous import rank
from mastickeel_router.billing.copies import (
    JournalAppendReply,
    JournalAppendRequest,
    JournalStoredNotice,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mastickeel.clock import Clock
    from mastickeel.metrics import Metrics
    from mastickeel.peers import PeerLink
    from mastickeel.tasks import TaskGroup
    from mastickeel_router.billing.journal import Journal
    from mastickeel_router.membership import Member, Members

TARGET_COPIES = 2
APPEND_ENTRIES = 200
APPEND_TIMEOUT_MS = 250
SUSPECT_MS = 5_000
"""How long a peer that did not answer is skipped."""


class Replicator:
    """Replicates one journal to peers."""

    def __init__(
        self,
        journal: Journal,
        *,
        link: PeerLink,
        members: Callable[[], Members],
        clock: Clock,
        metrics: Metrics,
        tasks: TaskGroup,
    ) -> None:
        """Creates the replicator, which is idle until ``start_sending`` is called.

        Args:
            journal: The journal to replicate.
            link: Connects to the other members.
            members: Returns the fleet members.
            clock: Times how long a peer is skipped.
            metrics: Counts failed appends.
            tasks: Runs the sending tasks.
        """
        self.last_sequence_by_peer: dict[str, int] = {}
        """Last sequence of each peer's copy, by member id."""
        self._journal = journal
        self._link = link
        self._members = members
        self._clock = clock
        self._metrics = metrics
        self._tasks = tasks
        self._sending: set[str] = set()
        self._suspect_until_ms: dict[str, int] = {}
        self._progress = asyncio.Event()

    def count_copies(self, sequence: int) -> int:
        """Returns how many current members have a copy of a sequence."""
        members_by_id = self._members().members_by_id
        return sum(
            peer_id in members_by_id and last_sequence >= sequence
            for peer_id, last_sequence in self.last_sequence_by_peer.items()
        )

    def target_copies(self) -> int:
        """Returns the number of copies wanted: TARGET_COPIES, or fewer in a small fleet."""
        return min(TARGET_COPIES, len(self._members().live()))

    def start_sending(self) -> None:
        """Starts sending the missing entries to the chosen peers."""
        now = self._clock.now()
        members = self._members()
        reachable = [
            member for member in members.live() if self._suspect_until_ms.get(member.id, 0) <= now
        ]
        for peer in choose_peers(members.local_member, reachable, self._journal.source):
            if peer.id not in self._sending and self._has_unsent(peer.id):
                self._sending.add(peer.id)
                self._tasks.start(self._send_to(peer.id))

    async def wait_until_copied(self, sequence: int) -> None:
        """Waits until enough members have a copy of a sequence or it is stored."""
        while (
            self._journal.stored_sequence < sequence
            and self.count_copies(sequence) < self.target_copies()
        ):
            self._progress.clear()
            self.start_sending()
            await self._progress.wait()

    def announce_stored(self) -> None:
        """Notifies the peers with copies of the last stored sequence."""
        notice = JournalStoredNotice(self._journal.source, self._journal.stored_sequence)
        for peer_id in self.last_sequence_by_peer:
            self._link.send_notice(peer_id, notice)
        members_by_id = self._members().members_by_id
        for peer_id in [
            peer_id for peer_id in self.last_sequence_by_peer if peer_id not in members_by_id
        ]:
            del self.last_sequence_by_peer[peer_id]
        self._progress.set()

    def _has_unsent(self, peer_id: str) -> bool:
        acknowledged = self.last_sequence_by_peer.get(peer_id, 0)
        return max(acknowledged, self._journal.stored_sequence) < self._journal.last_sequence

    async def _send_to(self, peer_id: str) -> None:
        """Sends entries to one peer until its copy is complete or a request fails."""
        try:
            while self._has_unsent(peer_id):
                await self._append(peer_id)
                self._progress.set()
        except MastickeelError:
            self._metrics.count("billing.append_failed")
            self._suspect_until_ms[peer_id] = self._clock.now() + SUSPECT_MS
        finally:
            self._sending.discard(peer_id)
            self._progress.set()
        self.start_sending()

    async def _append(self, peer_id: str) -> None:
        """Sends one batch of entries to a peer."""
        journal = self._journal
        acknowledged = self.last_sequence_by_peer.get(peer_id, 0)
        entries = journal.entries_after(max(acknowledged, journal.stored_sequence), APPEND_ENTRIES)
        request = JournalAppendRequest(journal.source, journal.stored_sequence, entries)
        reply = await self._link.request(peer_id, request, JournalAppendReply, APPEND_TIMEOUT_MS)
        self.last_sequence_by_peer[peer_id] = reply.last
        journal.drop_through(reply.stored)


def choose_peers(source_member: Member, candidates: Sequence[Member], key: str) -> list[Member]:
    """Chooses the peers for the copies, where possible in different other data centres.

    Args:
        source_member: The member that the journal belongs to.
        candidates: The members that may be chosen.
        key: Key for ranking the candidates, which spreads the sources over the peers.

    Returns:
        At most TARGET_COPIES members.
    """
    by_id = {member.id: member for member in candidates}
    ranked = [by_id[member_id] for member_id in rank(key, by_id)]
    chosen: list[Member] = []
    used_data_centres = {source_member.data_centre}
    while ranked and len(chosen) < TARGET_COPIES:
        in_new_data_centre = [
            member for member in ranked if member.data_centre not in used_data_centres
        ]
        in_other_data_centre = [
            member for member in ranked if member.data_centre != source_member.data_centre
        ]
        best = (in_new_data_centre or in_other_data_centre or ranked)[0]
        chosen.append(best)
        used_data_centres.add(best.data_centre)
        ranked.remove(best)
    return chosen

"""Sends this instance's journal to two peers in other data centres."""

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
"""How long a peer that did not answer is passed over."""


class Replicator:
    """Keeps copies of one journal at peers."""

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
        """Makes the replicator, which sends nothing before ``send`` is called.

        Args:
            journal: What is sent.
            link: Reaches the peers.
            members: The fleet.
            clock: Times the waits.
            metrics: Counts the failures.
            tasks: Owns the tasks that send.
        """
        self.last_sequence_by_peer: dict[str, int] = {}
        """How far each peer's copy goes."""
        self._journal = journal
        self._link = link
        self._members = members
        self._clock = clock
        self._metrics = metrics
        self._tasks = tasks
        self._sending: set[str] = set()
        self._suspect_until_ms: dict[str, int] = {}
        self._moved = asyncio.Event()

    def count_copies(self, sequence: int) -> int:
        """Returns how many members hold a sequence."""
        known = self._members().members_by_id
        return sum(
            peer_id in known and held >= sequence
            for peer_id, held in self.last_sequence_by_peer.items()
        )

    def target_copies(self) -> int:
        """Returns how many copies the fleet allows for, at most TARGET_COPIES."""
        return min(TARGET_COPIES, len(self._members().live()))

    def start_sending(self) -> None:
        """Sends what the chosen peers lack."""
        now = self._clock.now()
        members = self._members()
        usable = [one for one in members.live() if self._suspect_until_ms.get(one.id, 0) <= now]
        for peer in choose_peers(members.local_member, usable, self._journal.source):
            if peer.id not in self._sending and self._lacks(peer.id):
                self._sending.add(peer.id)
                self._tasks.start(self._send_to(peer.id))

    async def wait_until_copied(self, sequence: int) -> None:
        """Waits until the wanted number of members hold a sequence, or it is stored."""
        while (
            self._journal.stored_sequence < sequence
            and self.count_copies(sequence) < self.target_copies()
        ):
            self._moved.clear()
            self.start_sending()
            await self._moved.wait()

    def announce_stored(self) -> None:
        """Tells the peers that hold copies what they may forget."""
        told = JournalStoredNotice(self._journal.source, self._journal.stored_sequence)
        for peer_id in self.last_sequence_by_peer:
            self._link.send_notice(peer_id, told)
        known = self._members().members_by_id
        for peer_id in [one for one in self.last_sequence_by_peer if one not in known]:
            del self.last_sequence_by_peer[peer_id]
        self._moved.set()

    def _lacks(self, peer_id: str) -> bool:
        held = self.last_sequence_by_peer.get(peer_id, 0)
        return max(held, self._journal.stored_sequence) < self._journal.last_sequence

    async def _send_to(self, peer_id: str) -> None:
        """Sends to one peer until it has everything or fails."""
        try:
            while self._lacks(peer_id):
                await self._append(peer_id)
                self._moved.set()
        except MastickeelError:
            self._metrics.count("billing.append_failed")
            self._suspect_until_ms[peer_id] = self._clock.now() + SUSPECT_MS
        finally:
            self._sending.discard(peer_id)
            self._moved.set()
        self.start_sending()

    async def _append(self, peer_id: str) -> None:
        """Sends one batch."""
        journal = self._journal
        known = self.last_sequence_by_peer.get(peer_id, 0)
        entries = journal.entries_after(max(known, journal.stored_sequence), APPEND_ENTRIES)
        content = JournalAppendRequest(journal.source, journal.stored_sequence, entries)
        reply = await self._link.request(peer_id, content, JournalAppendReply, APPEND_TIMEOUT_MS)
        self.last_sequence_by_peer[peer_id] = reply.last
        journal.drop_through(reply.stored)


def choose_peers(myself: Member, others: Sequence[Member], key: str) -> list[Member]:
    """Chooses who holds the copies: in other data centres, and in different ones, where possible.

    Args:
        myself: The source's instance.
        others: Who may be chosen.
        key: Spreads the sources over the peers.

    Returns:
        At most TARGET_COPIES members.
    """
    by_id = {member.id: member for member in others}
    ranked = [by_id[member_id] for member_id in rank(key, by_id)]
    chosen: list[Member] = []
    used = {myself.data_centre}
    while ranked and len(chosen) < TARGET_COPIES:
        apart = [member for member in ranked if member.data_centre not in used]
        away = [member for member in ranked if member.data_centre != myself.data_centre]
        best = (apart or away or ranked)[0]
        chosen.append(best)
        used.add(best.data_centre)
        ranked.remove(best)
    return chosen

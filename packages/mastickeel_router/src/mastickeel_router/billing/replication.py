"""Sends this instance's journal to two peers in other data centres."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel.rendezvous import rank
from mastickeel_router.billing.copies import JournalAppend, JournalHeld, JournalStored

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mastickeel.clock import Clock
    from mastickeel.metrics import Metrics
    from mastickeel.peers import PeerLink
    from mastickeel.tasks import TaskGroup
    from mastickeel_router.billing.journal import Journal
    from mastickeel_router.membership import Member, Members

COPIES_WANTED = 2
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
        self.held_by_peer: dict[str, int] = {}
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

    def copies(self, sequence: int) -> int:
        """Returns how many members hold a sequence."""
        known = self._members().members_by_id
        return sum(
            peer_id in known and held >= sequence for peer_id, held in self.held_by_peer.items()
        )

    def wanted(self) -> int:
        """Returns how many copies the fleet allows for, at most COPIES_WANTED."""
        return min(COPIES_WANTED, len(self._members().live()))

    def send(self) -> None:
        """Sends what the chosen peers lack."""
        now = self._clock.now()
        members = self._members()
        usable = [one for one in members.live() if self._suspect_until_ms.get(one.id, 0) <= now]
        for peer in choose_peers(members.local_member, usable, self._journal.source):
            if peer.id not in self._sending and self._lacks(peer.id):
                self._sending.add(peer.id)
                self._tasks.start(self._send_to(peer.id))

    async def wait_for(self, sequence: int) -> None:
        """Waits until the wanted number of members hold a sequence, or it is stored."""
        while self._journal.stored < sequence and self.copies(sequence) < self.wanted():
            self._moved.clear()
            self.send()
            await self._moved.wait()

    def note_stored(self) -> None:
        """Tells the peers that hold copies what they may forget."""
        told = JournalStored(self._journal.source, self._journal.stored)
        for peer_id in self.held_by_peer:
            self._link.tell(peer_id, told)
        known = self._members().members_by_id
        for peer_id in [one for one in self.held_by_peer if one not in known]:
            del self.held_by_peer[peer_id]
        self._moved.set()

    def _lacks(self, peer_id: str) -> bool:
        held = self.held_by_peer.get(peer_id, 0)
        return max(held, self._journal.stored) < self._journal.last

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
        self.send()

    async def _append(self, peer_id: str) -> None:
        """Sends one batch."""
        journal = self._journal
        known = self.held_by_peer.get(peer_id, 0)
        entries = journal.after(max(known, journal.stored), APPEND_ENTRIES)
        content = JournalAppend(journal.source, journal.stored, entries)
        reply = await self._link.ask(peer_id, content, JournalHeld, APPEND_TIMEOUT_MS)
        self.held_by_peer[peer_id] = reply.last
        journal.drop_through(reply.stored)


def choose_peers(myself: Member, others: Sequence[Member], key: str) -> list[Member]:
    """Chooses who holds the copies: in other data centres, and in different ones, where possible.

    Args:
        myself: The source's instance.
        others: Who may be chosen.
        key: Spreads the sources over the peers.

    Returns:
        At most COPIES_WANTED members.
    """
    by_id = {member.id: member for member in others}
    ranked = [by_id[member_id] for member_id in rank(key, by_id)]
    chosen: list[Member] = []
    used = {myself.data_centre}
    while ranked and len(chosen) < COPIES_WANTED:
        apart = [member for member in ranked if member.data_centre not in used]
        away = [member for member in ranked if member.data_centre != myself.data_centre]
        best = (apart or away or ranked)[0]
        chosen.append(best)
        used.add(best.data_centre)
        ranked.remove(best)
    return chosen

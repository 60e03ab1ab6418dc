"""Probes a few peers each second and spreads gossip with the probes.

The bytes that each instance sends therefore do not grow with the fleet.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel.rendezvous import rank
from mastickeel_router.membership.messages import (
    IndirectProbeReply,
    IndirectProbeRequest,
    MarksNotice,
    MemberState,
    MemberStatus,
    ProbeReply,
    ProbeRequest,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from mastickeel.clock import Clock
    from mastickeel.peers import PeerLink
    from mastickeel_router.membership.gossip import GossipTable
    from mastickeel_router.membership.marks import LeavingMarks

PROBE_INTERVAL_MS = 1_000
PROBE_TIMEOUT_MS = 600
INDIRECT_TIMEOUT_MS = 1_500
INDIRECT_PROBE_COUNT = 2
"""Number of other peers that are asked to probe a peer that does not reply."""
NEIGHBOUR_COUNT = 3
"""Number of peers probed in each round; always the same peers, to keep few connections open."""
RANDOM_PROBE_INTERVAL_ROUNDS = 5
"""Rounds between probes of an additional random peer, which reconnect parts of the fleet that
have lost contact with each other."""
SUSPECT_TIMEOUT_MS = 3_000
"""How long a suspected instance may refute the suspicion before it counts as unreachable."""
FORGET_AFTER_MS = 600_000
"""How long an unreachable instance that no source lists is remembered."""
SYNC_INTERVAL_MS = 5_000
"""Minimum time between two notices with all marks."""


class Prober:
    """Detects unreachable peers and exchanges gossip with the probes."""

    def __init__(
        self,
        gossip: GossipTable,
        marks: LeavingMarks,
        *,
        link: PeerLink,
        clock: Clock,
        rng: random.Random,
        candidates: Callable[[], Mapping[str, str]],
    ) -> None:
        """Creates the prober and registers its message handlers.

        Args:
            gossip: The member states to exchange.
            marks: The leaving marks to exchange.
            link: Sends and receives the probes.
            clock: Times the probes.
            rng: Selects random peers, and is the source of the jitter between rounds.
            candidates: Returns the processes of all other known instances, by instance id.
        """
        self.unreachable: set[str] = set()
        """Instances that no instance has reached for SUSPECT_TIMEOUT_MS."""
        self._gossip = gossip
        self._marks = marks
        self._link = link
        self._clock = clock
        self._rng = rng
        self._candidates = candidates
        self._suspect_since_ms_by_id: dict[str, int] = {}
        self._synced_ms = clock.now()
        link.register_handler(ProbeRequest, self.on_probe_request)
        link.register_handler(IndirectProbeRequest, self.on_indirect_probe_request)
        link.register_handler(MarksNotice, self.on_marks_notice)

    async def run(self, after_round: Callable[[], None]) -> None:
        """Runs probe rounds periodically, until cancelled.

        Args:
            after_round: Called after each round.
        """
        round_count = 0
        while True:
            await self._clock.sleep(PROBE_INTERVAL_MS * (0.8 + 0.4 * self._rng.random()))
            round_count += 1
            await self.run_round(with_random=round_count % RANDOM_PROBE_INTERVAL_ROUNDS == 0)
            self._link.close_idle()
            after_round()

    async def run_round(self, *, with_random: bool = False) -> None:
        """Probes the neighbours, and updates the set of unreachable instances."""
        known = sorted(self._candidates())
        reachable = [peer_id for peer_id in known if peer_id not in self.unreachable]
        targets = set(rank(self._gossip.local_state.id, reachable)[:NEIGHBOUR_COUNT])
        if with_random and known:
            targets.add(self._rng.choice(known))
        await asyncio.gather(*(self._check_peer(target) for target in sorted(targets)))
        self._update_unreachable(set(known))
        self._marks.remove_expired()

    async def on_probe_request(self, sender: str, probe: ProbeRequest) -> ProbeReply:
        """Merges the gossip of a probe and replies with gossip of this instance."""
        self._merge_gossip(sender, probe)
        news, marks = self._gossip.next_items()
        return ProbeReply(news, marks, self._marks.digest)

    async def on_indirect_probe_request(
        self, sender: str, request: IndirectProbeRequest
    ) -> IndirectProbeReply:
        """Probes an instance on behalf of a peer."""
        return IndirectProbeReply(await self._probe(request.target))

    async def on_marks_notice(self, sender: str, notice: MarksNotice) -> None:
        """Merges all marks of a peer."""
        for mark in notice.marks:
            self._marks.merge(mark)

    async def _check_peer(self, target: str) -> None:
        """Probes a peer directly, then through others, and suspects the peer if all probes fail."""
        if await self._probe(target) or await self._probe_through_others(target):
            self._clear_suspicion(target)
            return
        self._suspect_since_ms_by_id.setdefault(target, self._clock.now())
        process = self._candidates().get(target, "")
        known = self._gossip.states_by_id.get(target) or MemberState(
            target, 0, MemberStatus.ALIVE, process=process
        )
        if known.standing is MemberStatus.ALIVE:
            self._gossip.merge(replace(known, standing=MemberStatus.SUSPECT))

    async def _probe(self, target: str) -> bool:
        """Returns whether a peer replied to a direct probe."""
        news, marks = self._gossip.next_items()
        probe = ProbeRequest(news, marks, self._marks.digest)
        try:
            reply = await self._link.request(target, probe, ProbeReply, PROBE_TIMEOUT_MS)
        except MastickeelError:
            return False
        self._merge_gossip(target, reply)
        return True

    async def _probe_through_others(self, target: str) -> bool:
        """Returns whether any of a few other peers reached a peer."""
        usable = [
            peer_id
            for peer_id in sorted(self._candidates())
            if peer_id not in {target, *self.unreachable}
        ]
        helper_ids = self._rng.sample(usable, min(INDIRECT_PROBE_COUNT, len(usable)))
        results = await asyncio.gather(
            *(self._request_indirect_probe(helper_id, target) for helper_id in helper_ids)
        )
        return any(results)

    async def _request_indirect_probe(self, helper_id: str, target: str) -> bool:
        try:
            reply = await self._link.request(
                helper_id, IndirectProbeRequest(target), IndirectProbeReply, INDIRECT_TIMEOUT_MS
            )
        except MastickeelError:
            return False
        return reply.reached

    def _merge_gossip(self, sender: str, content: ProbeRequest | ProbeReply) -> None:
        """Merges the gossip of a probe or reply, whose arrival shows that the sender is running.

        Sends all marks to the sender if its digest differs, at most once per SYNC_INTERVAL_MS.
        """
        self._clear_suspicion(sender)
        for state in content.news:
            self._gossip.merge(state)
        for mark in content.marks:
            self._marks.merge(mark)
        is_due = self._clock.now() - self._synced_ms >= SYNC_INTERVAL_MS
        if content.digest != self._marks.digest and is_due:
            self._synced_ms = self._clock.now()
            self._link.send_notice(sender, MarksNotice(tuple(self._marks.marks_by_id.values())))

    def on_member_state(self, state: MemberState) -> None:
        """Starts or clears the suspicion of an instance after its state has changed."""
        if state.standing is MemberStatus.SUSPECT:
            self._suspect_since_ms_by_id.setdefault(state.id, self._clock.now())
        else:
            self._clear_suspicion(state.id)

    def _clear_suspicion(self, target: str) -> None:
        """Clears the suspicion of an instance, which then counts as reachable."""
        self._suspect_since_ms_by_id.pop(target, None)
        self.unreachable.discard(target)

    def _update_unreachable(self, known: set[str]) -> None:
        """Marks instances as unreachable after SUSPECT_TIMEOUT_MS, and forgets old ones."""
        limit_ms = self._clock.now() - SUSPECT_TIMEOUT_MS
        suspects = self._suspect_since_ms_by_id.items()
        self.unreachable |= {target for target, since_ms in suspects if since_ms <= limit_ms}
        forget_limit_ms = self._clock.now() - FORGET_AFTER_MS
        expired_ids = [
            instance_id
            for instance_id, since_ms in suspects
            if since_ms <= forget_limit_ms and instance_id not in known
        ]
        self._gossip.remove(expired_ids)
        for instance_id in expired_ids:
            self._clear_suspicion(instance_id)

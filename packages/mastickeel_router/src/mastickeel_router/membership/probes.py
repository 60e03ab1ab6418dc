"""Probes a few peers each second; the probes carry the news, so bytes stay flat with the fleet."""

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
"""So many others are asked to probe a peer that does not answer."""
NEIGHBOUR_COUNT = 3
"""Always the same few peers are probed, so that few connections stand."""
RANDOM_PROBE_INTERVAL_ROUNDS = 5
"""Each so many rounds one random peer is probed as well, which joins parts of the fleet that
know nothing of each other."""
SUSPECT_TIMEOUT_MS = 3_000
"""How long a suspected instance may contradict before it counts as unreachable."""
FORGET_AFTER_MS = 600_000
"""How long an unreachable instance that nobody lists any more is remembered."""
SYNC_INTERVAL_MS = 5_000


class Prober:
    """Finds out which peers answer, and spreads news on the way."""

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
        """Makes the prober and registers its handlers.

        Args:
            gossip: What is believed of instances.
            marks: What is known of endpoints.
            link: Where probes go.
            clock: Times them.
            rng: Draws the random peer and spreads the rounds.
            candidates: The processes of all known instances but this one, by instance id.
        """
        self.unreachable: set[str] = set()
        """Instances that neither this one nor others reached for SUSPECT_MS."""
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
        """Probes again and again, for as long as the instance runs.

        Args:
            after_round: Called after each round.
        """
        count = 0
        while True:
            await self._clock.sleep(PROBE_INTERVAL_MS * (0.8 + 0.4 * self._rng.random()))
            count += 1
            await self.run_round(with_random=count % RANDOM_PROBE_INTERVAL_ROUNDS == 0)
            self._link.close_idle()
            after_round()

    async def run_round(self, *, with_random: bool = False) -> None:
        """Probes the neighbours, and judges those that have been suspected for long."""
        known = sorted(self._candidates())
        reachable = [one for one in known if one not in self.unreachable]
        targets = set(rank(self._gossip.local_state.id, reachable)[:NEIGHBOUR_COUNT])
        if with_random and known:
            targets.add(self._rng.choice(known))
        await asyncio.gather(*(self._check(target) for target in sorted(targets)))
        self._judge(set(known))
        self._marks.remove_expired()

    async def on_probe_request(self, sender: str, probe: ProbeRequest) -> ProbeReply:
        """Takes the news and answers with this instance's."""
        self._take(sender, probe)
        news, marks = self._gossip.next_items()
        return ProbeReply(news, marks, self._marks.digest)

    async def on_indirect_probe_request(
        self, sender: str, ask: IndirectProbeRequest
    ) -> IndirectProbeReply:
        """Probes an instance for a peer."""
        return IndirectProbeReply(await self._probe(ask.target))

    async def on_marks_notice(self, sender: str, told: MarksNotice) -> None:
        """Takes all marks of a peer."""
        for mark in told.marks:
            self._marks.merge(mark)

    async def _check(self, target: str) -> None:
        """Probes a peer, also through others, and suspects it when none gets an answer."""
        if await self._probe(target) or await self._probe_through_others(target):
            self._clear(target)
            return
        self._suspect_since_ms_by_id.setdefault(target, self._clock.now())
        process = self._candidates().get(target, "")
        known = self._gossip.states_by_id.get(target) or MemberState(
            target, 0, MemberStatus.ALIVE, process=process
        )
        if known.standing is MemberStatus.ALIVE:
            self._gossip.merge(replace(known, standing=MemberStatus.SUSPECT))

    async def _probe(self, target: str) -> bool:
        """Probes one peer."""
        news, marks = self._gossip.next_items()
        probe = ProbeRequest(news, marks, self._marks.digest)
        try:
            answer = await self._link.request(target, probe, ProbeReply, PROBE_TIMEOUT_MS)
        except MastickeelError:
            return False
        self._take(target, answer)
        return True

    async def _probe_through_others(self, target: str) -> bool:
        """Asks a few others to probe a peer."""
        usable = [
            one for one in sorted(self._candidates()) if one not in {target, *self.unreachable}
        ]
        helpers = self._rng.sample(usable, min(INDIRECT_PROBE_COUNT, len(usable)))
        answers = await asyncio.gather(*(self._ask_helper(one, target) for one in helpers))
        return any(answers)

    async def _ask_helper(self, helper: str, target: str) -> bool:
        try:
            answer = await self._link.request(
                helper, IndirectProbeRequest(target), IndirectProbeReply, INDIRECT_TIMEOUT_MS
            )
        except MastickeelError:
            return False
        return answer.reached

    def _take(self, sender: str, content: ProbeRequest | ProbeReply) -> None:
        """Takes what a probe or its answer carries; hearing from a peer shows that it runs."""
        self._clear(sender)
        for news in content.news:
            self._gossip.merge(news)
        for mark in content.marks:
            self._marks.merge(mark)
        is_due = self._clock.now() - self._synced_ms >= SYNC_INTERVAL_MS
        if content.digest != self._marks.digest and is_due:
            self._synced_ms = self._clock.now()
            self._link.send_notice(sender, MarksNotice(tuple(self._marks.marks_by_id.values())))

    def on_member_state(self, news: MemberState) -> None:
        """Takes note of what was learned of an instance from the news."""
        if news.standing is MemberStatus.SUSPECT:
            self._suspect_since_ms_by_id.setdefault(news.id, self._clock.now())
        else:
            self._clear(news.id)

    def _clear(self, target: str) -> None:
        """Takes note that an instance runs."""
        self._suspect_since_ms_by_id.pop(target, None)
        self.unreachable.discard(target)

    def _judge(self, known: set[str]) -> None:
        """Counts an instance as unreachable when it has been suspected for long."""
        limit_ms = self._clock.now() - SUSPECT_TIMEOUT_MS
        suspects = self._suspect_since_ms_by_id.items()
        self.unreachable |= {target for target, since_ms in suspects if since_ms <= limit_ms}
        old_ms = self._clock.now() - FORGET_AFTER_MS
        old = [one for one, at_ms in suspects if at_ms <= old_ms and one not in known]
        self._gossip.remove(old)
        for one in old:
            self._clear(one)

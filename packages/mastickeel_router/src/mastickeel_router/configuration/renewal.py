"""Renews the proof of freshness: from the store, from a peer, or from a majority of the roster."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError, StoreError
from mastickeel.events import define
from mastickeel.logs import log
from mastickeel.rendezvous import rank
from mastickeel_router.backoff import Backoff
from mastickeel_router.configuration.freshness import FRESHNESS_BOUND_MS
from mastickeel_router.configuration.messages import ProofReply, ProofRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel.peers import PeerLink
    from mastickeel_router.configuration.peers import ConfigurationPeers
    from mastickeel_router.configuration.state import ConfigurationState

READERS_PER_DATA_CENTRE = 2
"""So many instances of a data centre read the store; the others renew from them."""
READ_INTERVAL_MS = 1_000
READ_TIMEOUT_MS = 2_500
PEER_INTERVAL_MS = 500
PEER_TIMEOUT_MS = 600
RENEW_AGE_MS = 1_000
"""A proof this old is renewed from peers."""
FALLBACK_AGE_MS = 1_700
"""A proof this old is renewed by whatever way is left."""

FRESHNESS_LOST = define(
    1703, "freshness_lost", "warning", "No proof of freshness: new work is refused until there is."
)
FRESHNESS_BACK = define(1704, "freshness_back", "info", "Fresh again: new work is taken.")


class FreshnessRenewal:
    """Keeps this instance's proof young, with few calls to the store."""

    def __init__(
        self,
        state: ConfigurationState,
        peers: ConfigurationPeers,
        *,
        link: PeerLink,
        clock: Clock,
        rng: random.Random,
        is_live: Callable[[str], bool],
    ) -> None:
        """Makes the renewal.

        Args:
            state: Takes the proofs.
            peers: Fetches what is missing.
            link: Asks for proofs.
            clock: Times the loops.
            rng: Spreads them.
            is_live: Whether an instance is believed to run.
        """
        self._state = state
        self._peers = peers
        self._link = link
        self._clock = clock
        self._rng = rng
        self._is_live = is_live
        self._backoff = Backoff(clock, rng, first_ms=READ_INTERVAL_MS)
        self._was_fresh = False

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads the store on behalf of its data centre."""
        return self._state.instance_id in self._readers()

    @property
    def is_store_reachable(self) -> bool:
        """Whether the last read of the store succeeded."""
        return not self._backoff.failures

    async def run_store_reads(self) -> None:
        """Reads the head now and then, for as long as the instance runs."""
        while True:
            if self.is_reader or self._needs_other_way() or not self._state.is_member:
                try:
                    await self._clock.wait_for(self._state.catch_up(), READ_TIMEOUT_MS)
                    self._backoff.reset()
                except (StoreError, TimeoutError):
                    await self._backoff.wait()
                    continue
            await self._clock.sleep(READ_INTERVAL_MS * self._spread())

    async def run_peer_renewal(self) -> None:
        """Renews from peers when the proof gets old, for as long as the instance runs."""
        while True:
            if self._age() >= RENEW_AGE_MS and self._state.loaded.is_set():
                await self._renew_from_readers()
                if self._needs_other_way() and self._backoff.failures:
                    await self.renew_from_majority()
            self._log_change()
            await self._clock.sleep(PEER_INTERVAL_MS * self._spread())

    async def renew_from_majority(self) -> bool:
        """Asks the whole roster whether anyone knows of something newer.

        A committer needs an acknowledgement from a majority too, so one of any majority would
        know; and it waits a whole freshness bound after that before it leaves anyone out.

        Returns:
            Whether a majority knows of nothing newer.
        """
        state = self._state
        position, asked_ms, ids = state.position, self._clock.now(), state.head_state.roster.ids
        others = sorted(ids - {state.instance_id})
        answers = await asyncio.gather(*(self._ask(peer) for peer in others))
        agreeing = 1 if state.is_on_roster else 0
        for peer, answer in zip(others, answers, strict=True):
            if answer is None:
                continue
            if answer.known_position > position:
                await self._peers.pull(peer)
                return False
            agreeing += 1 if answer.member else 0
        if agreeing * 2 <= len(ids):
            return False
        state.record_proof(position, asked_ms)
        return True

    async def _renew_from_readers(self) -> None:
        """Takes the proof of a reader of this data centre, dated to when that one asked."""
        readers = [one for one in self._readers() if one != self._state.instance_id]
        self._rng.shuffle(readers)
        for reader in readers:
            asked_ms = self._clock.now()
            answer = await self._ask(reader)
            if answer is None or answer.age_ms is None or answer.age_ms >= FRESHNESS_BOUND_MS:
                continue
            if answer.position > self._state.position and not await self._peers.pull(reader):
                continue
            self._state.record_proof(answer.position, asked_ms - answer.age_ms)
            if self._age() < FALLBACK_AGE_MS:
                return

    async def _ask(self, peer_id: str) -> ProofReply | None:
        try:
            return await self._link.ask(peer_id, ProofRequest(), ProofReply, PEER_TIMEOUT_MS)
        except MastickeelError:
            return None

    def _readers(self) -> list[str]:
        """Returns who reads the store in this instance's data centre."""
        members = self._state.head_state.roster.members
        me = self._state.instance_id
        mine = {one.data_centre for one in members if one.id == me}
        live = [one for one in members if one.id == me or self._is_live(one.id)]
        ids = [one.id for one in live if one.data_centre in mine]
        return rank("readers", ids)[:READERS_PER_DATA_CENTRE]

    def _age(self) -> float:
        age = self._state.freshness.age_ms
        return float("inf") if age is None else age

    def _needs_other_way(self) -> bool:
        return self._age() >= FALLBACK_AGE_MS

    def _spread(self) -> float:
        return 0.8 + 0.4 * self._rng.random()

    def _log_change(self) -> None:
        """Logs when freshness is lost and regained."""
        is_fresh = self._state.freshness.is_fresh
        if is_fresh != self._was_fresh:
            log(FRESHNESS_BACK if is_fresh else FRESHNESS_LOST, position=self._state.position)
        self._was_fresh = is_fresh

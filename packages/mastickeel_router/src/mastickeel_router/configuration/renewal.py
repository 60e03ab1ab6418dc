"""Renews the freshness proof from the store, from a peer, or from a majority of the roster."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError, StoreError
from mastickeel.events import define_event
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
"""Instances per data centre that read the store; the others renew their proofs from these."""
READ_INTERVAL_MS = 1_000
READ_TIMEOUT_MS = 2_500
PEER_INTERVAL_MS = 500
PEER_TIMEOUT_MS = 600
RENEW_AGE_MS = 1_000
"""Proof age from which the proof is renewed from peers."""
FALLBACK_AGE_MS = 1_700
"""Proof age from which every remaining source is tried."""

FRESHNESS_LOST = define_event(
    1703,
    "freshness_lost",
    "warning",
    "The freshness proof has expired; new work is refused until the proof is renewed.",
)
FRESHNESS_BACK = define_event(
    1704, "freshness_back", "info", "The freshness proof was renewed; new work is accepted again."
)


class FreshnessRenewal:
    """Renews this instance's freshness proof with few calls to the store."""

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
        """Creates the renewal.

        Args:
            state: Records the proofs.
            peers: Fetches missing changes from peers.
            link: Sends the proof requests.
            clock: Times the renewal loops.
            rng: Source of the jitter between renewals and of the order of readers.
            is_live: Returns whether an instance is believed to be running.
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
        return self._state.instance_id in self._reader_ids()

    @property
    def is_store_reachable(self) -> bool:
        """Whether the last read of the store succeeded."""
        return not self._backoff.failures

    async def run_store_reads(self) -> None:
        """Reads the head from the store periodically, until cancelled."""
        while True:
            if self.is_reader or self._needs_fallback() or not self._state.is_member:
                try:
                    await self._clock.wait_for(self._state.catch_up(), READ_TIMEOUT_MS)
                    self._backoff.reset()
                except (StoreError, TimeoutError):
                    await self._backoff.wait()
                    continue
            await self._clock.sleep(READ_INTERVAL_MS * self._jitter())

    async def run_peer_renewal(self) -> None:
        """Renews the proof from peers whenever it is old, until cancelled."""
        while True:
            if self._age_ms() >= RENEW_AGE_MS and self._state.loaded.is_set():
                await self._renew_from_readers()
                if self._needs_fallback() and self._backoff.failures:
                    await self.renew_from_majority()
            self._log_change()
            await self._clock.sleep(PEER_INTERVAL_MS * self._jitter())

    async def renew_from_majority(self) -> bool:
        """Renews the proof by asking all roster members for a position newer than the local one.

        A commit requires acknowledgements from a majority as well, so every majority contains a
        member that knows of a stage; and the coordinator waits one full freshness bound after its
        majority before it commits without a member.

        Returns:
            Whether a majority knows of no newer position.
        """
        state = self._state
        position, requested_ms, ids = state.position, self._clock.now(), state.head_state.roster.ids
        others = sorted(ids - {state.instance_id})
        replies = await asyncio.gather(*(self._request_proof(peer_id) for peer_id in others))
        agreeing = 1 if state.is_on_roster else 0
        for peer_id, reply in zip(others, replies, strict=True):
            if reply is None:
                continue
            if reply.known_position > position:
                await self._peers.pull(peer_id)
                return False
            agreeing += 1 if reply.member else 0
        if agreeing * 2 <= len(ids):
            return False
        state.record_proof(position, requested_ms)
        return True

    async def _renew_from_readers(self) -> None:
        """Adopts the proof of a reader in this data centre, dated to the reader's own request."""
        reader_ids = [
            instance_id
            for instance_id in self._reader_ids()
            if instance_id != self._state.instance_id
        ]
        self._rng.shuffle(reader_ids)
        for reader_id in reader_ids:
            requested_ms = self._clock.now()
            reply = await self._request_proof(reader_id)
            if reply is None or reply.age_ms is None or reply.age_ms >= FRESHNESS_BOUND_MS:
                continue
            if reply.position > self._state.position and not await self._peers.pull(reader_id):
                continue
            self._state.record_proof(reply.position, requested_ms - reply.age_ms)
            if self._age_ms() < FALLBACK_AGE_MS:
                return

    async def _request_proof(self, peer_id: str) -> ProofReply | None:
        try:
            return await self._link.request(peer_id, ProofRequest(), ProofReply, PEER_TIMEOUT_MS)
        except MastickeelError:
            return None

    def _reader_ids(self) -> list[str]:
        """Returns the instances that read the store for this instance's data centre."""
        members = self._state.head_state.roster.members
        local_id = self._state.instance_id
        local_data_centres = {member.data_centre for member in members if member.id == local_id}
        live = [member for member in members if member.id == local_id or self._is_live(member.id)]
        ids = [member.id for member in live if member.data_centre in local_data_centres]
        return rank("readers", ids)[:READERS_PER_DATA_CENTRE]

    def _age_ms(self) -> float:
        age_ms = self._state.freshness.age_ms
        return float("inf") if age_ms is None else age_ms

    def _needs_fallback(self) -> bool:
        return self._age_ms() >= FALLBACK_AGE_MS

    def _jitter(self) -> float:
        return 0.8 + 0.4 * self._rng.random()

    def _log_change(self) -> None:
        """Logs the loss and the return of freshness."""
        is_fresh = self._state.freshness.is_fresh
        if is_fresh != self._was_fresh:
            log(FRESHNESS_BACK if is_fresh else FRESHNESS_LOST, position=self._state.position)
        self._was_fresh = is_fresh

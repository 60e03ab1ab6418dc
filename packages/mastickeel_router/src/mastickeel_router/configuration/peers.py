"""The peers' side of a change: acknowledging stages, lending proofs, handing on changes."""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError, StoreError
from mastickeel_router.configuration.messages import (
    DecisionNotice,
    HeadUpdate,
    ProofReply,
    ProofRequest,
    PullReply,
    PullRequest,
    StageReply,
    StageRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from mastickeel.peers import PeerLink
    from mastickeel_router.configuration.state import ConfigurationState

DIRECT_PEER_LIMIT = 16
"""Up to so many peers are asked without relays."""
ACKNOWLEDGE_TIMEOUT_MS = 900
RELAY_TIMEOUT_MS = 500
PULL_TIMEOUT_MS = 700
PULLED_CHANGES_LIMIT = 100


class ConfigurationPeers:
    """Speaks with the other instances about the configuration."""

    def __init__(self, state: ConfigurationState, link: PeerLink) -> None:
        """Registers the handlers.

        Args:
            state: What they read and move on.
            link: Where messages come and go.
        """
        self._state = state
        self._link = link
        link.register_handler(StageRequest, self.on_stage_request)
        link.register_handler(DecisionNotice, self.on_decision_notice)
        link.register_handler(ProofRequest, self.on_proof_request)
        link.register_handler(PullRequest, self.on_pull_request)

    async def request_acknowledgements(
        self,
        update: HeadUpdate,
        peer_ids: Collection[str],
        on_reply: Callable[[StageReply], None],
        *,
        direct: bool = False,
    ) -> None:
        """Asks peers to work under a stage, through relays when there are many.

        Args:
            update: With the stage.
            peer_ids: Whom to ask.
            on_reply: Told each acknowledgement as it comes.
            direct: Whether to ask each without a relay, which may have been what failed.
        """

        async def ask(group: list[str]) -> None:
            if answer := await self._ask_group(update, group, ACKNOWLEDGE_TIMEOUT_MS):
                on_reply(answer)

        limit = len(peer_ids) if direct else DIRECT_PEER_LIMIT
        await asyncio.gather(*(ask(group) for group in _groups(sorted(peer_ids), limit)))

    def announce_decision(self, update: HeadUpdate, peer_ids: Collection[str]) -> None:
        """Tells peers what was decided, without waiting."""
        for first, *relay in _groups(sorted(peer_ids), DIRECT_PEER_LIMIT):
            self._link.send_notice(first, DecisionNotice(update, tuple(relay)))

    async def pull(self, peer_id: str) -> bool:
        """Takes what a peer knows and this instance does not.

        Args:
            peer_id: Whom to ask.

        Returns:
            Whether this instance now works under the peer's standing.
        """
        question = PullRequest(self._state.revision)
        try:
            answer = await self._link.request(peer_id, question, PullReply, PULL_TIMEOUT_MS)
        except MastickeelError:
            return False
        return await self._state.apply_update(answer.update, answer.changes)

    async def on_stage_request(self, sender: str, ask: StageRequest) -> StageReply:
        """Works under a stage, passes it on, and says who does so now."""
        relayed = asyncio.gather(
            *(self._ask_group(ask.update, [peer], RELAY_TIMEOUT_MS) for peer in ask.relay)
        )
        acknowledged: set[str] = set()
        heirs: set[str] = set()
        if await self._reach(ask.update, sender):
            if self._state.is_on_roster:
                acknowledged.add(self._link.instance_id)
            elif self._state.is_restarted_member:
                heirs.add(self._link.instance_id)
        for answer in await relayed:
            acknowledged.update(answer.acknowledged if answer else ())
            heirs.update(answer.heirs if answer else ())
        return StageReply(ask.update.position, tuple(acknowledged), tuple(heirs))

    async def on_decision_notice(self, sender: str, told: DecisionNotice) -> None:
        """Moves on after a stage was decided, and passes the news on."""
        for peer in told.relay:
            self._link.send_notice(peer, DecisionNotice(told.update))
        await self._reach(told.update, sender)

    async def on_proof_request(self, sender: str, ask: ProofRequest) -> ProofReply:
        """Says how old the proof is, and of what."""
        state = self._state
        is_counted = state.loaded.is_set() and state.is_on_roster and not state.stopped
        return ProofReply(state.position, state.freshness.age_ms, state.known_position, is_counted)

    async def on_pull_request(self, sender: str, ask: PullRequest) -> PullReply:
        """Hands on the changes after a revision."""
        changes = tuple(one for one in self._state.changes if one.revision > ask.revision)
        if len(changes) > PULLED_CHANGES_LIMIT:
            changes = ()
        return PullReply(self._state.head_state.to_update(include_roster=True), changes)

    async def _ask_group(
        self, update: HeadUpdate, group: list[str], timeout_ms: int
    ) -> StageReply | None:
        """Asks the first of a group, which asks the rest."""
        first, *relay = group
        ask = StageRequest(update, tuple(relay))
        try:
            answer = await self._link.request(first, ask, StageReply, timeout_ms)
        except MastickeelError:
            return None
        return answer if answer.position == update.position else None

    async def _reach(self, update: HeadUpdate, sender: str) -> bool:
        """Moves to a standing, with what the sender or the store has in between."""
        if await self._state.apply_update(update):
            return True
        await self.pull(sender)
        if self._state.position < update.position:
            with contextlib.suppress(StoreError):
                await self._state.catch_up()
        return self._state.position == update.position


def _groups(peer_ids: list[str], limit: int) -> list[list[str]]:
    """Splits peers into as many groups as each group has members, when they are over a limit."""
    if len(peer_ids) <= limit:
        return [[peer] for peer in peer_ids]
    size = math.ceil(math.sqrt(len(peer_ids)))
    return [peer_ids[at : at + size] for at in range(0, len(peer_ids), size)]

"""Configuration messages between peers: stage requests, decisions, proofs and pulled changes."""

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
"""Up to this many peers are contacted directly; larger sets are contacted through relays."""
ACKNOWLEDGE_TIMEOUT_MS = 900
RELAY_TIMEOUT_MS = 500
PULL_TIMEOUT_MS = 700
PULLED_CHANGES_LIMIT = 100


class ConfigurationPeers:
    """Exchanges configuration messages with the other instances."""

    def __init__(self, state: ConfigurationState, link: PeerLink) -> None:
        """Registers the message handlers.

        Args:
            state: The state that the handlers read and update.
            link: Sends and receives messages.
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
        """Asks peers to apply a stage, through relays when there are many peers.

        Args:
            update: The head state with the stage.
            peer_ids: The peers to ask.
            on_reply: Called with each reply as it arrives.
            direct: Whether to bypass relays, since a failed relay hides the peers behind it.
        """

        async def request_group(group: list[str]) -> None:
            if reply := await self._request_from_group(update, group, ACKNOWLEDGE_TIMEOUT_MS):
                on_reply(reply)

        limit = len(peer_ids) if direct else DIRECT_PEER_LIMIT
        await asyncio.gather(
            *(request_group(group) for group in _split_groups(sorted(peer_ids), limit))
        )

    def announce_decision(self, update: HeadUpdate, peer_ids: Collection[str]) -> None:
        """Notifies peers of a commit or undo without waiting for replies."""
        for first, *relay in _split_groups(sorted(peer_ids), DIRECT_PEER_LIMIT):
            self._link.send_notice(first, DecisionNotice(update, tuple(relay)))

    async def pull(self, peer_id: str) -> bool:
        """Requests a peer's head state and missing changes, and applies them.

        Args:
            peer_id: The peer to ask.

        Returns:
            Whether this instance is now at the peer's position or a newer one.
        """
        request = PullRequest(self._state.revision)
        try:
            reply = await self._link.request(peer_id, request, PullReply, PULL_TIMEOUT_MS)
        except MastickeelError:
            return False
        return await self._state.apply_update(reply.update, reply.changes)

    async def on_stage_request(self, sender: str, request: StageRequest) -> StageReply:
        """Applies a stage, relays the request, and returns the combined acknowledgements."""
        relayed = asyncio.gather(
            *(
                self._request_from_group(request.update, [peer], RELAY_TIMEOUT_MS)
                for peer in request.relay
            )
        )
        acknowledged: set[str] = set()
        restarted: set[str] = set()
        if await self._advance_to(request.update, sender):
            if self._state.is_on_roster:
                acknowledged.add(self._link.instance_id)
            elif self._state.is_restarted_member:
                restarted.add(self._link.instance_id)
        for reply in await relayed:
            acknowledged.update(reply.acknowledged if reply else ())
            restarted.update(reply.heirs if reply else ())
        return StageReply(request.update.position, tuple(acknowledged), tuple(restarted))

    async def on_decision_notice(self, sender: str, notice: DecisionNotice) -> None:
        """Applies a decision and relays the notice."""
        for peer in notice.relay:
            self._link.send_notice(peer, DecisionNotice(notice.update))
        await self._advance_to(notice.update, sender)

    async def on_proof_request(self, sender: str, request: ProofRequest) -> ProofReply:
        """Returns this instance's position and the age of its freshness proof."""
        state = self._state
        is_serving_member = state.loaded.is_set() and state.is_on_roster and not state.stopped
        return ProofReply(
            state.position, state.freshness.age_ms, state.known_position, is_serving_member
        )

    async def on_pull_request(self, sender: str, request: PullRequest) -> PullReply:
        """Returns the head state with its roster, and the changes after a revision."""
        changes = tuple(
            change for change in self._state.changes if change.revision > request.revision
        )
        if len(changes) > PULLED_CHANGES_LIMIT:
            changes = ()
        return PullReply(self._state.head_state.to_update(include_roster=True), changes)

    async def _request_from_group(
        self, update: HeadUpdate, group: list[str], timeout_ms: int
    ) -> StageReply | None:
        """Sends a stage request to the first peer of a group, which relays it to the others.

        Returns the reply, or None if the peer failed to reply or is at another position.
        """
        first, *relay = group
        request = StageRequest(update, tuple(relay))
        try:
            reply = await self._link.request(first, request, StageReply, timeout_ms)
        except MastickeelError:
            return None
        return reply if reply.position == update.position else None

    async def _advance_to(self, update: HeadUpdate, sender: str) -> bool:
        """Applies an update, fetching missing changes from the sender or else from the store.

        Returns whether this instance is now at the update's position.
        """
        if await self._state.apply_update(update):
            return True
        await self.pull(sender)
        if self._state.position < update.position:
            with contextlib.suppress(StoreError):
                await self._state.catch_up()
        return self._state.position == update.position


def _split_groups(peer_ids: list[str], limit: int) -> list[list[str]]:
    """Splits n peers into sqrt(n) groups, rounded; up to a limit, into groups of one peer."""
    if len(peer_ids) <= limit:
        return [[peer] for peer in peer_ids]
    size = math.ceil(math.sqrt(len(peer_ids)))
    return [peer_ids[start : start + size] for start in range(0, len(peer_ids), size)]

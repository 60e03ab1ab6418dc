"""Collects the acknowledgements of a stage until it may be committed."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel_router.configuration.freshness import FRESHNESS_BOUND_MS, FRESHNESS_MARGIN_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.changes import Proposal, Roster
    from mastickeel.clock import Clock
    from mastickeel_router.configuration.messages import HeadState, StageReply
    from mastickeel_router.configuration.peers import ConfigurationPeers
    from mastickeel_router.configuration.state import ConfigurationState

MAJORITY_TIMEOUT_MS = 3_000
"""A stage that no majority of the roster acknowledges within this time is undone."""
RETRY_INTERVAL_MS = 300

MEMBERS_LEFT_OUT = define_event(
    1706,
    "members_left_out",
    "warning",
    "Members did not acknowledge a change; the commit waited one freshness "
    "bound, after which they admit no work until they have caught up.",
)


class ChangeRefusedError(MastickeelError):
    """Raised when too few instances acknowledged a change; the whole change was undone."""

    code = "not_acknowledged"
    status = 503
    title = "Too few instances acknowledged the change; nothing was changed."
    remedy = (
        "Bring the missing instances back or see docs/operators/members.md, "
        "then send the change again."
    )


@dataclass(frozen=True)
class AbsentMembers:
    """Roster members that need not acknowledge a stage because they have stopped."""

    gone_ids: frozenset[str] = frozenset()
    """Members that are gone according to the platform's list."""
    departed_processes: frozenset[str] = frozenset()
    """Processes that announced that they have permanently stopped admitting work."""

    def voters(self, roster: Roster) -> frozenset[str]:
        """Returns the members of which a majority must acknowledge a stage.

        Members that have permanently stopped admitting are excluded: they no longer support the
        freshness proofs of others, and a proof that they supported earlier expires during the
        wait of one freshness bound.
        """
        return frozenset(
            member.id
            for member in roster.members
            if member.id not in self.gone_ids and member.process not in self.departed_processes
        )

    def unacknowledged(self, roster: Roster, acknowledged: set[str]) -> frozenset[str]:
        """Returns the members that may still admit work without having applied the stage."""
        return frozenset(
            member.id
            for member in roster.members
            if member.id not in self.gone_ids
            and member.id not in acknowledged
            and member.process not in self.departed_processes
        )


class _Tally:
    """Instances that have acknowledged a stage, and instances that restarted meanwhile."""

    def __init__(self, acknowledged: set[str]) -> None:
        self.acknowledged = acknowledged
        self.restarted: set[str] = set()
        self.changed = asyncio.Event()

    def add(self, reply: StageReply) -> None:
        """Adds the instances named in a reply."""
        self.acknowledged |= set(reply.acknowledged)
        self.restarted |= set(reply.heirs)
        self.changed.set()

    async def wait_for_change(self, clock: Clock, timeout_ms: float) -> None:
        """Waits for the next change of the tally, or until the timeout."""
        with contextlib.suppress(TimeoutError):
            await clock.wait_for(self.changed.wait(), timeout_ms)
        self.changed.clear()


class AcknowledgementCollector:
    """Asks the roster members to apply a stage and waits for their acknowledgements."""

    def __init__(
        self,
        state: ConfigurationState,
        peers: ConfigurationPeers,
        clock: Clock,
        absent_members: Callable[[], AbsentMembers],
    ) -> None:
        """Creates the collector.

        Args:
            state: The state of this instance, which applies the stage like any other member.
            peers: Sends the stage requests.
            clock: Times the waits.
            absent_members: Returns the members that need not acknowledge.
        """
        self._state = state
        self._peers = peers
        self._clock = clock
        self._absent_members = absent_members

    async def collect(self, staged: HeadState, proposal: Proposal) -> None:
        """Waits until every member has applied the stage or can no longer admit work.

        Committing without a member requires a majority of the roster and then a wait of one full
        freshness bound: the member may have renewed its proof from a peer just before that peer
        learned of the stage. A restarted instance counts towards the majority, since its previous
        process can no longer support proofs of others, but the wait still covers the previous
        process's own proof.

        Args:
            staged: The head state with the stage.
            proposal: The staged proposal.

        Raises:
            ChangeRefusedError: When no majority acknowledges within MAJORITY_TIMEOUT_MS.
        """
        tally = _Tally({self._state.instance_id} if self._state.is_on_roster else set())
        tally.restarted |= {self._state.instance_id} if self._state.is_restarted_member else set()
        request_task = asyncio.ensure_future(self._request_repeatedly(staged, tally))
        deadline_ms = self._clock.now() + MAJORITY_TIMEOUT_MS
        has_majority = False
        try:
            while True:
                absent_members = self._absent_members()
                voters = absent_members.voters(staged.roster)
                missing = absent_members.unacknowledged(staged.roster, tally.acknowledged)
                confirmed = voters & (tally.acknowledged | tally.restarted)
                if not has_majority and _is_majority(confirmed, voters):
                    has_majority = True
                    deadline_ms = self._clock.now() + FRESHNESS_BOUND_MS + FRESHNESS_MARGIN_MS
                if has_majority and not _members_to_wait_for(proposal, staged.roster, missing):
                    return
                if self._clock.now() >= deadline_ms:
                    break
                await tally.wait_for_change(self._clock, deadline_ms - self._clock.now())
        finally:
            request_task.cancel()
        if not has_majority:
            raise ChangeRefusedError(f"No acknowledgement from {', '.join(sorted(missing))}.")
        log(MEMBERS_LEFT_OUT, change=proposal.id, missing=sorted(missing))

    async def _request_repeatedly(self, staged: HeadState, tally: _Tally) -> None:
        """Asks the missing members until cancelled; uses relays for the first round only."""
        direct = False
        while True:
            missing = self._absent_members().unacknowledged(staged.roster, tally.acknowledged)
            await self._peers.request_acknowledgements(
                staged.to_update(), missing, tally.add, direct=direct
            )
            direct = True
            tally.changed.set()
            await self._clock.sleep(RETRY_INTERVAL_MS)


def _is_majority(part: frozenset[str], whole: frozenset[str]) -> bool:
    """Returns whether a part is more than half of the whole; an empty whole needs no members."""
    return not whole or 2 * len(part) > len(whole)


def _members_to_wait_for(
    proposal: Proposal, roster: Roster, missing: frozenset[str]
) -> frozenset[str]:
    """Returns the members whose freshness proofs must expire before the commit.

    Members may be added to the roster before every old member has acknowledged the new roster,
    since the next change asks the added members as well. A removed member is not asked again, so
    its proof must expire first.
    """
    if proposal.roster is None:
        return missing
    kept = proposal.roster.processes
    return missing & {member.id for member in roster.members if member.process not in kept}

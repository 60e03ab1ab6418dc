"""Gathers the acknowledgements of a stage, and says when enough of them are there."""

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
"""A stage that no majority acknowledges in this time is undone."""
RETRY_INTERVAL_MS = 300

MEMBERS_LEFT_OUT = define_event(
    1706,
    "members_left_out",
    "warning",
    "Members did not acknowledge; a freshness bound was waited "
    "out, after which they admit nothing until they have caught up.",
)


class ChangeRefusedError(MastickeelError):
    """Raised when too few instances acknowledged: the change was undone as a whole."""

    code = "not_acknowledged"
    status = 503
    title = "Too few instances acknowledged the change; nothing was changed."
    remedy = (
        "Bring the missing instances back or see docs/operators/members.md, then send it again."
    )


@dataclass(frozen=True)
class AbsentMembers:
    """Members that need not be asked."""

    gone_ids: frozenset[str] = frozenset()
    """Those that the platform's list says are gone."""
    departed_processes: frozenset[str] = frozenset()
    """The processes that said that they have stopped admitting for good."""

    def voters(self, roster: Roster) -> frozenset[str]:
        """Returns the members of whom a majority must acknowledge.

        Those that have stopped admitting for good are left out: they vouch for no proof any more,
        and a proof that they vouched for before has lapsed after the wait of a freshness bound.
        """
        return frozenset(
            member.id
            for member in roster.members
            if member.id not in self.gone_ids and member.process not in self.departed_processes
        )

    def unacknowledged(self, roster: Roster, acknowledged: set[str]) -> frozenset[str]:
        """Returns the members that may still admit without knowing of the stage."""
        return frozenset(
            member.id
            for member in roster.members
            if member.id not in self.gone_ids
            and member.id not in acknowledged
            and member.process not in self.departed_processes
        )


class _Tally:
    """Who has acknowledged a stage."""

    def __init__(self, acknowledged: set[str]) -> None:
        self.acknowledged = acknowledged
        self.heirs: set[str] = set()
        self.changed = asyncio.Event()

    def add(self, answer: StageReply) -> None:
        """Counts an acknowledgement."""
        self.acknowledged |= set(answer.acknowledged)
        self.heirs |= set(answer.heirs)
        self.changed.set()

    async def changed_within(self, clock: Clock, milliseconds: float) -> None:
        """Waits for the next change, at most for a while."""
        with contextlib.suppress(TimeoutError):
            await clock.wait_for(self.changed.wait(), milliseconds)
        self.changed.clear()


class AcknowledgementCollector:
    """Asks the members to work under a stage."""

    def __init__(
        self,
        state: ConfigurationState,
        peers: ConfigurationPeers,
        clock: Clock,
        absent_members: Callable[[], AbsentMembers],
    ) -> None:
        """Makes it.

        Args:
            state: Works under the stage like every other instance's.
            peers: Carries questions and answers.
            clock: Times the waits.
            absent_members: Who need not be asked.
        """
        self._state = state
        self._peers = peers
        self._clock = clock
        self._absent_members = absent_members

    async def collect(self, staged: HeadState, proposal: Proposal) -> None:
        """Waits until everyone works under the stage, or surely admits nothing.

        Leaving anyone out takes a majority of the roster, and then a whole freshness bound: the
        one left out may have renewed its proof just before its peer heard of the stage. An heir
        counts for the majority, since its forerunner can lend no proof any more, but the
        forerunner's own proof is waited out.
        """
        tally = _Tally({self._state.instance_id} if self._state.is_on_roster else set())
        tally.heirs |= {self._state.instance_id} if self._state.is_restarted_member else set()
        asking = asyncio.ensure_future(self._ask_again_and_again(staged, tally))
        deadline = self._clock.now() + MAJORITY_TIMEOUT_MS
        has_majority = False
        try:
            while True:
                absences = self._absent_members()
                counted = absences.voters(staged.roster)
                missing = absences.unacknowledged(staged.roster, tally.acknowledged)
                answering = counted & (tally.acknowledged | tally.heirs)
                if not has_majority and _is_majority(answering, counted):
                    has_majority = True
                    deadline = self._clock.now() + FRESHNESS_BOUND_MS + FRESHNESS_MARGIN_MS
                if has_majority and not _must_wait_for(proposal, staged.roster, missing):
                    return
                if self._clock.now() >= deadline:
                    break
                await tally.changed_within(self._clock, deadline - self._clock.now())
        finally:
            asking.cancel()
        if not has_majority:
            raise ChangeRefusedError(f"No acknowledgement from {', '.join(sorted(missing))}.")
        log(MEMBERS_LEFT_OUT, change=proposal.id, missing=sorted(missing))

    async def _ask_again_and_again(self, staged: HeadState, tally: _Tally) -> None:
        """Asks those missing until cancelled; from the second time on without relays."""
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
    """Says whether a part is more than half; of nobody, nobody is."""
    return not whole or 2 * len(part) > len(whole)


def _must_wait_for(proposal: Proposal, roster: Roster, missing: frozenset[str]) -> frozenset[str]:
    """Returns whose freshness must have run out before the commit.

    A roster may take in members while others have not heard of it, since the next change asks
    these as well; but a member that is taken off is asked by nobody any more.
    """
    if proposal.roster is None:
        return missing
    kept = proposal.roster.processes
    return missing & {member.id for member in roster.members if member.process not in kept}

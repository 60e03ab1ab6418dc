"""Keeps the roster: takes in instances that joined, and takes off those that are gone."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel.changes import (
    AuditRecord,
    Proposal,
    Roster,
    RosterMember,
    audit_key,
    encode,
    head_key,
    new_change_id,
    roster_key,
    staged_key,
)
from mastickeel.errors import MastickeelError
from mastickeel.events import define
from mastickeel.keyvalue import Compare, Delete, Put
from mastickeel.logs import log
from mastickeel.rendezvous import rank
from mastickeel_router.backoff import Backoff
from mastickeel_router.configuration.acknowledgement import ChangeRefusedError
from mastickeel_router.configuration.freshness import FRESHNESS_BOUND_MS, FRESHNESS_MARGIN_MS
from mastickeel_router.configuration.proposals import ChangeConflictError
from mastickeel_router.configuration.reader import ConfigurationReader

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Sequence

    from mastickeel.clock import Clock
    from mastickeel.keyvalue import KeyValueClient
    from mastickeel_router.configuration.acknowledgement import AbsentMembers
    from mastickeel_router.configuration.messages import HeadState
    from mastickeel_router.configuration.proposals import Proposer
    from mastickeel_router.configuration.state import ConfigurationState

CHECK_INTERVAL_MS = 1_000
REMOVE_AFTER_MS = 5_000
"""A member must have been seen as gone for this long before it is taken off."""
JOIN_STAGGER_MS = 100
"""Between the tries of instances that join at the same time; the first takes in all."""
JOIN_STAGGER_LIMIT = 30

ROSTER_CHANGED = define(1708, "roster_changed", "info", "Members were added or taken off.")
ROSTER_REPLACED = define(
    1709, "roster_replaced", "warning", "An operator replaced the roster; the audit says who."
)


class RosterReconciler:
    """Brings the roster in line with who is there, by the same protocol as any change."""

    def __init__(
        self,
        state: ConfigurationState,
        proposer: Proposer,
        *,
        local_member: RosterMember,
        clock: Clock,
        rng: random.Random,
        registered: Callable[[], Iterable[RosterMember]],
        is_gone: Callable[[str], bool],
        is_live: Callable[[str], bool],
        absent_members: Callable[[], AbsentMembers],
    ) -> None:
        """Makes the keeper.

        Args:
            state: Shows the roster.
            proposer: Changes it.
            local_member: How this instance goes on the roster.
            clock: Times the checks.
            rng: Spreads the retries.
            registered: The instances that hold a lease now.
            is_gone: Whether an instance may be taken off: its lease has lapsed and no peer
                reaches it, or the platform's list says that it is gone.
            is_live: Whether an instance is believed to run.
            absent_members: Who has surely stopped.
        """
        self.joined = asyncio.Event()
        """Set once this instance is on the roster."""
        self.leaving = False
        """Whether this instance wants to stay off."""
        self._state = state
        self._proposer = proposer
        self._myself = local_member
        self._clock = clock
        self._backoff = Backoff(clock, rng)
        self._registered = registered
        self._is_gone = is_gone
        self._is_live = is_live
        self._absent_members = absent_members
        self._gone_since_ms_by_id: dict[str, int] = {}

    async def run(self) -> None:
        """Keeps the roster, for as long as the instance runs."""
        await self._state.loaded.wait()
        while True:
            try:
                await self.reconcile()
                self._backoff.reset()
                await self._clock.sleep(CHECK_INTERVAL_MS)
            except MastickeelError:
                await self._backoff.wait()

    async def reconcile(self) -> None:
        """Does what the roster needs now from this instance.

        Raises:
            MastickeelError: When it could not be done; to be tried again.
        """
        if not self.leaving and not self._state.is_on_roster:
            await self._join()
        if self._state.is_member:
            self.joined.set()
        self._note_gone()
        if removable := self._removable():
            await self._propose(lambda roster: _without(roster, removable), "members are gone")

    async def leave(self) -> None:
        """Takes this instance off the roster, once it admits nothing any more.

        Tries again while other changes are under way; where it gives up, the others will do it.

        Raises:
            ChangeRefusedError: When no majority is in reach.
            StoreError: When the store did not answer.
        """
        self.leaving = True
        mine = frozenset({self._myself.id})
        while self._state.is_on_roster:
            try:
                await self._propose(lambda roster: _without(roster, mine), "the member leaves")
            except ChangeConflictError:
                await self._backoff.wait()

    async def _join(self) -> None:
        """Adds this instance, and all others that wait for it too."""
        listed = self._state.head_state.roster.ids
        others = {member.id for member in self._registered()} - listed
        waiting = sorted(others | {self._myself.id})
        turn = min(waiting.index(self._myself.id), JOIN_STAGGER_LIMIT)
        await self._clock.sleep(turn * JOIN_STAGGER_MS)
        if self._state.is_on_roster:
            return

        def add(roster: Roster) -> tuple[RosterMember, ...]:
            if self._myself.process in roster.processes:
                return roster.members
            kept = _without(roster, frozenset({self._myself.id}))
            found = {member.id: member for member in (*self._registered(), self._myself)}
            added = [one for one in found.values() if one.id not in {kept.id for kept in kept}]
            return (*kept, *added)

        await self._propose(add, "members join")

    async def _propose(self, change: Callable[[Roster], Sequence[RosterMember]], text: str) -> None:
        """Proposes a roster, unless it is as it should be or no majority is in reach."""
        self._check_majority()

        def plan(standing: HeadState) -> Proposal:
            members = tuple(change(standing.roster))
            if members == standing.roster.members:
                raise ChangeConflictError("The roster is as it should be.")
            roster = Roster(standing.roster.version + 1, members)
            return Proposal(new_change_id(), roster=roster)

        proposal = await self._proposer.propose(plan, author=self._myself.id, text=text)
        if proposal.roster:
            log(ROSTER_CHANGED, version=proposal.roster.version, members=len(proposal.roster.ids))

    def _check_majority(self) -> None:
        """Spares the operators a stage that is bound to be refused.

        Raises:
            ChangeRefusedError: When fewer than a majority of the roster are believed to run.
        """
        roster = self._state.head_state.roster
        counted = self._absent_members().voters(roster)
        live = {one for one in counted if one != self._myself.id and self._is_live(one)}
        if self._state.is_on_roster:
            live.add(self._myself.id)
        if counted and 2 * len(live) <= len(counted):
            missing = ", ".join(sorted(counted - live))
            raise ChangeRefusedError(f"No majority of the roster is in reach: {missing}.")

    def _note_gone(self) -> None:
        """Notes since when each member has been seen as gone."""
        now = self._clock.now()
        gone = {one for one in self._state.head_state.roster.ids if self._is_gone(one)}
        self._gone_since_ms_by_id = {
            one: self._gone_since_ms_by_id.get(one, now) for one in gone - {self._myself.id}
        }

    def is_first_ranked(self) -> bool:
        """Says whether this instance is the one to look after what all share."""
        ids = [one for one in self._state.head_state.roster.ids if self._is_live(one)]
        first = rank("roster", {*ids, self._myself.id})[0]
        return self._state.is_member and first == self._myself.id

    def _removable(self) -> frozenset[str]:
        """Returns the members to take off, when that is this instance's task."""
        if not self.is_first_ranked():
            return frozenset()
        limit_ms = self._clock.now() - REMOVE_AFTER_MS
        since = self._gone_since_ms_by_id.items()
        return frozenset(one for one, at_ms in since if at_ms <= limit_ms)


class RosterReplacement:
    """The operator's act when no majority of the roster will ever come back."""

    def __init__(
        self, state: ConfigurationState, store: KeyValueClient, prefix: str, clock: Clock
    ) -> None:
        """Makes the act.

        Args:
            state: Moved on after it.
            store: The key-value service.
            prefix: What all keys of this deployment begin with.
            clock: Dates the audit record and times the wait.
        """
        self._state = state
        self._store = store
        self._prefix = prefix
        self._clock = clock

    async def replace_roster(self, members: Sequence[RosterMember], author: str) -> Roster:
        """Replaces the roster without anyone's acknowledgement, and undoes what is staged.

        Whoever calls this says that every member left off has stopped. As far as they have not,
        those that reach the store stop by themselves; the call waits a freshness bound for that.

        Args:
            members: The new roster.
            author: The operator, for the audit.

        Returns:
            The roster in force.

        Raises:
            ChangeConflictError: When the configuration moved on meanwhile.
            StoreError: When the store did not answer; read before trying again.
        """
        before = await ConfigurationReader(self._store, self._prefix).read_head_state()
        roster = Roster(before.roster.version + 1, tuple(members))
        head = _replace_head(before, roster)
        ids = ", ".join(sorted(roster.ids))
        record = AuditRecord(
            new_change_id(), self._clock.wall(), author, f"replace roster with {ids}", "done"
        )
        unmoved = Compare(head_key(self._prefix), "MOD", before.position)
        steps = (
            Put(head_key(self._prefix), head),
            Put(roster_key(self._prefix), encode(roster)),
            Put(audit_key(self._prefix, record), encode(record)),
            Delete(staged_key(self._prefix)),
        )
        result = await self._store.txn((unmoved,), steps)
        if not result.succeeded:
            raise ChangeConflictError("The configuration moved on meanwhile.")
        log(ROSTER_REPLACED, author=author, members=sorted(roster.ids))
        await self._state.catch_up()
        await self._clock.sleep(FRESHNESS_BOUND_MS + FRESHNESS_MARGIN_MS)
        return roster


def _replace_head(before: HeadState, roster: Roster) -> bytes:
    """Writes the head with another roster and nothing staged."""
    return encode(replace(before.head, roster_version=roster.version, stage=None))


def _without(roster: Roster, ids: frozenset[str]) -> tuple[RosterMember, ...]:
    """Returns the members of a roster but some."""
    return tuple(member for member in roster.members if member.id not in ids)

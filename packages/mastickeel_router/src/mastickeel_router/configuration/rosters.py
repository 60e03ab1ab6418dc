"""Adds joining instances to the roster and removes instances that are gone."""

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
from mastickeel.events import define_event
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
"""How long a member must continuously appear gone before it is removed."""
JOIN_STAGGER_MS = 100
"""Delay between the attempts of instances that join at the same time; the first adds them all."""
MAX_JOIN_STAGGERS = 30
"""Largest number of such delays before an attempt: an instance waits at most 3 s."""

ROSTER_CHANGED = define_event(
    1708, "roster_changed", "info", "Members were added to the roster or removed from it."
)
ROSTER_REPLACED = define_event(
    1709, "roster_replaced", "warning", "An operator replaced the roster; the audit has the name."
)


class RosterReconciler:
    """Reconciles the roster with the running instances, by the same protocol as any change."""

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
        """Creates the reconciler.

        Args:
            state: Provides the roster.
            proposer: Commits roster changes.
            local_member: The roster entry of this instance.
            clock: Times the checks.
            rng: Source of the retry jitter.
            registered: Returns the instances that currently hold a lease.
            is_gone: Returns whether an instance may be removed: its lease has expired and no peer
                reaches it, or the platform's list says that it is gone.
            is_live: Returns whether an instance is believed to be running.
            absent_members: Returns the members known to have stopped.
        """
        self.joined = asyncio.Event()
        """Set once this instance is on the roster."""
        self.leaving = False
        """Whether this instance is leaving and must not rejoin the roster."""
        self._state = state
        self._proposer = proposer
        self._local_member = local_member
        self._clock = clock
        self._backoff = Backoff(clock, rng)
        self._registered = registered
        self._is_gone = is_gone
        self._is_live = is_live
        self._absent_members = absent_members
        self._gone_since_ms_by_id: dict[str, int] = {}

    async def run(self) -> None:
        """Reconciles the roster periodically, until cancelled."""
        await self._state.loaded.wait()
        while True:
            try:
                await self.reconcile()
                self._backoff.reset()
                await self._clock.sleep(CHECK_INTERVAL_MS)
            except MastickeelError:
                await self._backoff.wait()

    async def reconcile(self) -> None:
        """Joins the roster if needed, and removes gone members if this instance is responsible.

        Raises:
            MastickeelError: When a roster change failed and should be retried.
        """
        if not self.leaving and not self._state.is_on_roster:
            await self._join()
        if self._state.is_member:
            self.joined.set()
        self._record_gone()
        if removable := self._find_removable():
            await self._propose(
                lambda roster: _members_without(roster, removable), "members are gone"
            )

    async def leave(self) -> None:
        """Removes this instance from the roster, once it has stopped admitting work.

        Retries on conflicts with other changes. After an error, the other members remove the
        instance.

        Raises:
            ChangeRefusedError: When no majority of the roster is reachable.
            StoreError: When the store did not answer.
        """
        self.leaving = True
        local_ids = frozenset({self._local_member.id})
        while self._state.is_on_roster:
            try:
                await self._propose(
                    lambda roster: _members_without(roster, local_ids), "the member leaves"
                )
            except ChangeConflictError:
                await self._backoff.wait()

    async def _join(self) -> None:
        """Adds this instance and all other instances that are waiting to join."""
        roster_ids = self._state.head_state.roster.ids
        others = {member.id for member in self._registered()} - roster_ids
        waiting = sorted(others | {self._local_member.id})
        turn = min(waiting.index(self._local_member.id), MAX_JOIN_STAGGERS)
        await self._clock.sleep(turn * JOIN_STAGGER_MS)
        if self._state.is_on_roster:
            return

        def add(roster: Roster) -> tuple[RosterMember, ...]:
            if self._local_member.process in roster.processes:
                return roster.members
            kept = _members_without(roster, frozenset({self._local_member.id}))
            found = {member.id: member for member in (*self._registered(), self._local_member)}
            added = [
                member for member in found.values() if member.id not in {other.id for other in kept}
            ]
            return (*kept, *added)

        await self._propose(add, "members join")

    async def _propose(self, change: Callable[[Roster], Sequence[RosterMember]], text: str) -> None:
        """Proposes a changed roster, unless it is unchanged or no majority is reachable."""
        self._check_majority()

        def plan(head_state: HeadState) -> Proposal:
            members = tuple(change(head_state.roster))
            if members == head_state.roster.members:
                raise ChangeConflictError("The roster already has these members.")
            roster = Roster(head_state.roster.version + 1, members)
            return Proposal(new_change_id(), roster=roster)

        proposal = await self._proposer.propose(plan, author=self._local_member.id, text=text)
        if proposal.roster:
            log(ROSTER_CHANGED, version=proposal.roster.version, members=len(proposal.roster.ids))

    def _check_majority(self) -> None:
        """Avoids staging a roster that is bound to be refused, which would block other changes.

        Raises:
            ChangeRefusedError: When no majority of the roster is believed to be running.
        """
        roster = self._state.head_state.roster
        voters = self._absent_members().voters(roster)
        live = {
            member_id
            for member_id in voters
            if member_id != self._local_member.id and self._is_live(member_id)
        }
        if self._state.is_on_roster:
            live.add(self._local_member.id)
        if voters and 2 * len(live) <= len(voters):
            missing = ", ".join(sorted(voters - live))
            raise ChangeRefusedError(f"No majority of the roster is reachable; missing: {missing}.")

    def _record_gone(self) -> None:
        """Records since when each member has appeared gone."""
        now = self._clock.now()
        gone = {
            member_id for member_id in self._state.head_state.roster.ids if self._is_gone(member_id)
        }
        self._gone_since_ms_by_id = {
            member_id: self._gone_since_ms_by_id.get(member_id, now)
            for member_id in gone - {self._local_member.id}
        }

    def is_first_ranked(self) -> bool:
        """Returns whether this instance ranks first among the live members.

        The first-ranked member performs the tasks that one instance does for all.
        """
        ids = [
            member_id for member_id in self._state.head_state.roster.ids if self._is_live(member_id)
        ]
        first = rank("roster", {*ids, self._local_member.id})[0]
        return self._state.is_member and first == self._local_member.id

    def _find_removable(self) -> frozenset[str]:
        """Returns the members to remove if this instance is responsible, else an empty set."""
        if not self.is_first_ranked():
            return frozenset()
        limit_ms = self._clock.now() - REMOVE_AFTER_MS
        since = self._gone_since_ms_by_id.items()
        return frozenset(member_id for member_id, since_ms in since if since_ms <= limit_ms)


class RosterReplacement:
    """Replaces the roster by operator command when no majority of it will ever return."""

    def __init__(
        self, state: ConfigurationState, store: KeyValueClient, prefix: str, clock: Clock
    ) -> None:
        """Creates the replacement.

        Args:
            state: Catches up after the replacement.
            store: The key-value service.
            prefix: The prefix of all keys of this deployment.
            clock: Dates the audit record and times the wait.
        """
        self._state = state
        self._store = store
        self._prefix = prefix
        self._clock = clock

    async def replace_roster(self, members: Sequence[RosterMember], author: str) -> Roster:
        """Replaces the roster without acknowledgements, and undoes the current stage.

        The caller asserts that every member not in the new roster has stopped. Those that have
        not stopped but reach the store stop admitting by themselves; the call waits one freshness
        bound for this.

        Args:
            members: The members of the new roster.
            author: The operator, for the audit.

        Returns:
            The roster in force.

        Raises:
            ChangeConflictError: When the configuration changed meanwhile.
            StoreError: When the store did not answer; read the roster before retrying.
        """
        before = await ConfigurationReader(self._store, self._prefix).read_head_state()
        roster = Roster(before.roster.version + 1, tuple(members))
        head = _encode_head(before, roster)
        ids = ", ".join(sorted(roster.ids))
        record = AuditRecord(
            new_change_id(), self._clock.wall(), author, f"replace roster with {ids}", "done"
        )
        head_unchanged = Compare(head_key(self._prefix), "MOD", before.position)
        steps = (
            Put(head_key(self._prefix), head),
            Put(roster_key(self._prefix), encode(roster)),
            Put(audit_key(self._prefix, record), encode(record)),
            Delete(staged_key(self._prefix)),
        )
        result = await self._store.txn((head_unchanged,), steps)
        if not result.succeeded:
            raise ChangeConflictError("The configuration changed meanwhile.")
        log(ROSTER_REPLACED, author=author, members=sorted(roster.ids))
        await self._state.catch_up()
        await self._clock.sleep(FRESHNESS_BOUND_MS + FRESHNESS_MARGIN_MS)
        return roster


def _encode_head(before: HeadState, roster: Roster) -> bytes:
    """Encodes the head with a new roster version and without a stage."""
    return encode(replace(before.head, roster_version=roster.version, stage=None))


def _members_without(roster: Roster, ids: frozenset[str]) -> tuple[RosterMember, ...]:
    """Returns the members of a roster except those with the given ids."""
    return tuple(member for member in roster.members if member.id not in ids)

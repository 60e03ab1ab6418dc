"""Stages a proposal, gathers the acknowledgements, and commits or undoes it."""

from __future__ import annotations

import contextlib
from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel.changes import (
    AuditRecord,
    Change,
    Head,
    Proposal,
    Stage,
    audit_key,
    decode,
    encode,
    head_key,
    log_key,
    roster_key,
    staged_key,
)
from mastickeel.errors import (
    MastickeelError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from mastickeel.events import define_event
from mastickeel.keyvalue import Compare, Delete, Put, TxnResult
from mastickeel.logs import log
from mastickeel_router.configuration.acknowledgement import (
    AbsentMembers,
    AcknowledgementCollector,
    ChangeRefusedError,
)
from mastickeel_router.configuration.messages import HeadState
from mastickeel_router.configuration.reader import ConfigurationReader

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mastickeel.clock import Clock
    from mastickeel.keyvalue import KeyValueClient
    from mastickeel_router.configuration.peers import ConfigurationPeers
    from mastickeel_router.configuration.state import ConfigurationState

SETTLE_TIMEOUT_MS = 10_000
SETTLE_PAUSE_MS = 300

CHANGE_REFUSED = define_event(
    1705,
    "change_refused",
    "warning",
    "A stage was undone; the missing instances are in the record.",
)


class ChangeConflictError(MastickeelError):
    """Raised when another change came first, or is being decided."""

    code = "conflict"
    status = 409
    title = "Another change came first."
    remedy = "Look at the new revision, and send the change again."


class Proposer:
    """Takes one proposal at a time from stage to decision."""

    def __init__(
        self,
        state: ConfigurationState,
        peers: ConfigurationPeers,
        *,
        store: KeyValueClient,
        prefix: str,
        clock: Clock,
        absent_members: Callable[[], AbsentMembers] = AbsentMembers,
    ) -> None:
        """Makes the proposer.

        Args:
            state: Works under the stage like every other instance's.
            peers: Gathers the acknowledgements.
            store: The key-value service.
            prefix: What all keys of this deployment begin with.
            clock: Times the waits.
            absent_members: Who need not be asked.
        """
        self._state = state
        self._peers = peers
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._acknowledgements = AcknowledgementCollector(state, peers, clock, absent_members)
        self._reader = ConfigurationReader(store, prefix)

    async def propose(
        self,
        plan: Callable[[HeadState], Proposal],
        *,
        author: str,
        text: str,
        conditions: Sequence[Compare] = (),
    ) -> Proposal:
        """Makes a proposal, all of it or none.

        Args:
            plan: Makes the proposal from the newest standing, or raises.
            author: Who asks for it, for the audit of a refusal.
            text: What was asked for, for the same.
            conditions: What must hold in the store as well, such as a duty still held.

        Returns:
            The proposal, committed.

        Raises:
            ChangeConflictError: When another proposal came first, or a condition does not hold.
            ChangeRefusedError: When too few instances acknowledged it.
            StoreUnavailableError: When nothing was changed.
            StoreOutcomeUnknownError: When it may be committed, and reading back gave no answer.
        """
        before = await self._reader.read_head_state()
        if before.head.stage:
            raise ChangeConflictError(
                f"A change of {before.head.stage.coordinator} is being decided."
            )
        proposal = plan(before)
        staged = await self._stage(before, proposal, conditions)
        if not await self._state.apply_update(staged.to_update(include_roster=True)):
            await self._state.catch_up()
        try:
            await self._acknowledgements.collect(staged, proposal)
        except ChangeRefusedError as error:
            await self._undo_refused(staged, proposal, author, text, error)
            raise
        await self._commit(staged, proposal, conditions)
        return proposal

    async def undo(self, standing: HeadState, record: AuditRecord | None = None) -> bool:
        """Takes a stage back, whoever staged it.

        Args:
            standing: With the stage.
            record: Goes into the audit in the same transaction.

        Returns:
            Whether this call did it; false when it has been decided meanwhile.

        Raises:
            StoreError: When the store did not answer.
        """
        head = replace(standing.head, stage=None)
        steps: list[Put | Delete] = [
            Put(head_key(self._prefix), encode(head)),
            Delete(staged_key(self._prefix)),
        ]
        if record:
            steps.append(Put(audit_key(self._prefix, record), encode(record)))
        result = await self._store.txn((self._unmoved(standing),), steps)
        if result.succeeded:
            undone = replace(standing, position=result.revision, head=head, proposal=None)
            await self._move_on(undone, None, standing)
        return result.succeeded

    async def _stage(
        self, before: HeadState, proposal: Proposal, conditions: Sequence[Compare]
    ) -> HeadState:
        """Writes the stage and returns the standing with it."""
        stage = Stage(proposal.id, self._state.instance_id, self._clock.wall())
        head = replace(before.head, stage=stage)
        puts = (
            Put(head_key(self._prefix), encode(head)),
            Put(staged_key(self._prefix), encode(proposal)),
        )
        try:
            result = await self._store.txn((self._unmoved(before), *conditions), puts)
        except StoreOutcomeUnknownError:
            return await self._find_stage(proposal)
        if not result.succeeded:
            raise ChangeConflictError("Another change came first, or its condition fell away.")
        return HeadState(result.revision, head, before.roster, proposal)

    async def _find_stage(self, proposal: Proposal) -> HeadState:
        """Settles a lost answer; a stage that is found by nobody is undone by the others."""
        try:
            found = await self._read_back()
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError("The change was not made: the store is out.") from error
        if found.proposal and found.proposal.id == proposal.id:
            return found
        raise ChangeConflictError("The change was not made; its stage was not taken.")

    async def _commit(
        self, staged: HeadState, proposal: Proposal, conditions: Sequence[Compare]
    ) -> None:
        """Puts the proposal in force; a lost answer is settled by reading back."""
        head, steps = self._decision(staged, proposal)
        deadline = self._clock.now() + SETTLE_TIMEOUT_MS
        may_be_under_way = False
        while True:
            if self._clock.now() >= deadline:
                raise (StoreOutcomeUnknownError if may_be_under_way else StoreUnavailableError)(
                    f"The commit of {proposal.id} got no answer."
                )
            result = None
            try:
                result = await self._store.txn((self._unmoved(staged), *conditions), steps)
            except StoreOutcomeUnknownError:
                may_be_under_way = True
            except StoreUnavailableError:
                await self._clock.sleep(SETTLE_PAUSE_MS)
                continue
            if result is not None and result.succeeded:
                await self._in_force(staged, proposal, head, result)
                return
            try:
                found = await self._read_back()
                is_committed = await self._is_committed(found, proposal)
            except StoreError as error:
                kind = StoreOutcomeUnknownError if may_be_under_way else StoreUnavailableError
                raise kind(f"The commit of {proposal.id} could not be read back.") from error
            if is_committed:
                await self._catch_up_after(found, proposal)
                return
            if found.position != staged.position:
                raise ChangeConflictError("The change was undone by another instance.")
            if result is not None and not may_be_under_way:
                await self.undo(staged)
                raise ChangeConflictError("The condition of the change fell away; it was undone.")
            await self._clock.sleep(SETTLE_PAUSE_MS)

    async def _catch_up_after(self, found: HeadState, proposal: Proposal) -> None:
        """Moves this instance on; a store that fails now takes nothing back."""
        changes = (proposal.change,) if proposal.change else ()
        if not await self._state.apply_update(found.to_update(include_roster=True), changes):
            with contextlib.suppress(StoreError):
                await self._state.catch_up()

    def _decision(self, staged: HeadState, proposal: Proposal) -> tuple[Head, list[Put | Delete]]:
        """Returns the head after the commit, and the steps that make it."""
        head = replace(staged.head, stage=None)
        steps: list[Put | Delete] = [Delete(staged_key(self._prefix))]
        if proposal.change:
            change = proposal.change
            head = replace(head, revision=change.revision, change_id=change.id)
            steps.append(Put(log_key(self._prefix, change.revision), encode(change)))
        if proposal.roster:
            head = replace(head, roster_version=proposal.roster.version)
            steps.append(Put(roster_key(self._prefix), encode(proposal.roster)))
        return head, [Put(head_key(self._prefix), encode(head)), *steps]

    async def _in_force(
        self, staged: HeadState, proposal: Proposal, head: Head, result: TxnResult
    ) -> None:
        """Moves this instance on, and tells the others."""
        decided = HeadState(result.revision, head, proposal.roster or staged.roster)
        await self._move_on(decided, proposal.change, staged)

    async def _move_on(self, decided: HeadState, change: Change | None, staged: HeadState) -> None:
        """Takes what was decided here, and tells the members of both rosters."""
        await self._state.apply_update(
            decided.to_update(include_roster=True), (change,) if change else ()
        )
        told = (staged.roster.ids | decided.roster.ids) - {self._state.instance_id}
        self._peers.announce_decision(decided.to_update(), told)

    async def _undo_refused(
        self,
        staged: HeadState,
        proposal: Proposal,
        author: str,
        text: str,
        error: ChangeRefusedError,
    ) -> None:
        """Takes a refused stage back; where the store does not answer, the others will."""
        log(CHANGE_REFUSED, change=proposal.id, error=error.detail)
        record = None
        if proposal.change:
            record = AuditRecord(proposal.id, self._clock.wall(), author, text, error.detail)
        try:
            await self.undo(staged, record)
        except StoreError:
            return

    async def _is_committed(self, found: HeadState, proposal: Proposal) -> bool:
        """Says whether a proposal is in force, from what was read back."""
        if proposal.roster:
            return found.roster == proposal.roster
        change = proposal.change
        if change is None or found.head.revision < change.revision:
            return False
        if found.head.change_id == change.id:
            return True
        item = await self._store.get(log_key(self._prefix, change.revision))
        return item is not None and decode(item.value, Change).id == change.id

    async def _read_back(self) -> HeadState:
        """Reads the standing, again and again until the store answers or time is up."""
        deadline = self._clock.now() + SETTLE_TIMEOUT_MS
        while True:
            try:
                return await self._reader.read_head_state()
            except StoreError as error:
                if self._clock.now() >= deadline:
                    raise StoreOutcomeUnknownError("Reading back gave no answer.") from error
                await self._clock.sleep(SETTLE_PAUSE_MS)

    def _unmoved(self, standing: HeadState) -> Compare:
        return Compare(head_key(self._prefix), "MOD", standing.position)

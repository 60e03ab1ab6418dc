"""Stages a proposal, collects its acknowledgements, and commits or undoes it."""

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

OUTCOME_TIMEOUT_MS = 10_000
"""Limit on the retries of a commit, and separately on those of a read of an unknown outcome."""
OUTCOME_RETRY_INTERVAL_MS = 300

CHANGE_REFUSED = define_event(
    1705,
    "change_refused",
    "warning",
    "A change was refused and its stage undone; the error names the missing instances.",
)


class ChangeConflictError(MastickeelError):
    """Raised when another change was committed first or is currently staged."""

    code = "conflict"
    status = 409
    title = "The change conflicts with another change."
    remedy = "Check the new revision, then send the change again."


class Proposer:
    """Carries a proposal through stage, acknowledgement and commit or undo."""

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
        """Creates the proposer.

        Args:
            state: The state of this instance, which applies the stage like any other member.
            peers: Requests the acknowledgements and announces decisions.
            store: The key-value service.
            prefix: The prefix of all keys of this deployment.
            clock: Times the waits.
            absent_members: Returns the members that need not acknowledge.
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
        """Stages and commits a proposal atomically.

        Args:
            plan: Builds the proposal from the newest head state, or raises.
            author: The requester, recorded in the audit when the change is refused.
            text: The request, recorded in the audit when the change is refused.
            conditions: Further store conditions of stage and commit, such as a duty still held.

        Returns:
            The committed proposal.

        Raises:
            ChangeConflictError: When another proposal came first, or a condition does not hold.
            ChangeRefusedError: When too few instances acknowledged the stage.
            StoreUnavailableError: When the store was unavailable and nothing was changed.
            StoreOutcomeUnknownError: When the proposal may be committed, but reading back the
                outcome failed.
        """
        before = await self._reader.read_head_state()
        if before.head.stage:
            raise ChangeConflictError(
                f"A change coordinated by {before.head.stage.coordinator} is still staged."
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

    async def undo(self, head_state: HeadState, record: AuditRecord | None = None) -> bool:
        """Undoes a stage of any coordinator.

        Args:
            head_state: The head state with the stage.
            record: The audit record to write in the same transaction.

        Returns:
            Whether this call undid the stage; false when the head has changed meanwhile.

        Raises:
            StoreError: When the store did not answer.
        """
        head = replace(head_state.head, stage=None)
        steps: list[Put | Delete] = [
            Put(head_key(self._prefix), encode(head)),
            Delete(staged_key(self._prefix)),
        ]
        if record:
            steps.append(Put(audit_key(self._prefix, record), encode(record)))
        result = await self._store.txn((self._head_unchanged(head_state),), steps)
        if result.succeeded:
            undone = replace(head_state, position=result.revision, head=head, proposal=None)
            await self._publish_decision(undone, None, head_state)
        return result.succeeded

    async def _stage(
        self, before: HeadState, proposal: Proposal, conditions: Sequence[Compare]
    ) -> HeadState:
        """Writes the stage and returns the head state that includes it."""
        stage = Stage(proposal.id, self._state.instance_id, self._clock.wall())
        head = replace(before.head, stage=stage)
        puts = (
            Put(head_key(self._prefix), encode(head)),
            Put(staged_key(self._prefix), encode(proposal)),
        )
        try:
            result = await self._store.txn((self._head_unchanged(before), *conditions), puts)
        except StoreOutcomeUnknownError:
            return await self._find_stage(proposal)
        if not result.succeeded:
            raise ChangeConflictError(
                "Another change came first, or a condition of this change no longer holds."
            )
        return HeadState(result.revision, head, before.roster, proposal)

    async def _find_stage(self, proposal: Proposal) -> HeadState:
        """Reads back a stage whose write had an unknown outcome.

        If reading back fails as well, other instances undo the stage, should it exist.
        """
        try:
            found = await self._read_back()
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(
                "The change was not made: the store is unavailable."
            ) from error
        if found.proposal and found.proposal.id == proposal.id:
            return found
        raise ChangeConflictError("The change was not made: its stage was not written.")

    async def _commit(
        self, staged: HeadState, proposal: Proposal, conditions: Sequence[Compare]
    ) -> None:
        """Commits the proposal; reads back the outcome when the store's reply was lost."""
        head, steps = self._plan_commit(staged, proposal)
        deadline_ms = self._clock.now() + OUTCOME_TIMEOUT_MS
        is_outcome_unknown = False
        while True:
            if self._clock.now() >= deadline_ms:
                raise (StoreOutcomeUnknownError if is_outcome_unknown else StoreUnavailableError)(
                    f"The store did not answer the commit of {proposal.id} in time."
                )
            result = None
            try:
                result = await self._store.txn((self._head_unchanged(staged), *conditions), steps)
            except StoreOutcomeUnknownError:
                is_outcome_unknown = True
            except StoreUnavailableError:
                await self._clock.sleep(OUTCOME_RETRY_INTERVAL_MS)
                continue
            if result is not None and result.succeeded:
                await self._finish_commit(staged, proposal, head, result)
                return
            try:
                found = await self._read_back()
                is_committed = await self._is_committed(found, proposal)
            except StoreError as error:
                error_type = (
                    StoreOutcomeUnknownError if is_outcome_unknown else StoreUnavailableError
                )
                raise error_type(f"The commit of {proposal.id} could not be read back.") from error
            if is_committed:
                await self._catch_up_after(found, proposal)
                return
            if found.position != staged.position:
                raise ChangeConflictError("The change was undone by another instance.")
            if result is not None and not is_outcome_unknown:
                await self.undo(staged)
                raise ChangeConflictError(
                    "A condition of the change no longer holds; the change was undone."
                )
            await self._clock.sleep(OUTCOME_RETRY_INTERVAL_MS)

    async def _catch_up_after(self, found: HeadState, proposal: Proposal) -> None:
        """Applies the committed state; a store failure at this point does not undo the commit."""
        changes = (proposal.change,) if proposal.change else ()
        if not await self._state.apply_update(found.to_update(include_roster=True), changes):
            with contextlib.suppress(StoreError):
                await self._state.catch_up()

    def _plan_commit(
        self, staged: HeadState, proposal: Proposal
    ) -> tuple[Head, list[Put | Delete]]:
        """Returns the head after the commit, and the store operations of the commit."""
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

    async def _finish_commit(
        self, staged: HeadState, proposal: Proposal, head: Head, result: TxnResult
    ) -> None:
        """Applies a successful commit on this instance and notifies the peers."""
        decided = HeadState(result.revision, head, proposal.roster or staged.roster)
        await self._publish_decision(decided, proposal.change, staged)

    async def _publish_decision(
        self, decided: HeadState, change: Change | None, staged: HeadState
    ) -> None:
        """Applies a decision on this instance and notifies the members of both rosters."""
        await self._state.apply_update(
            decided.to_update(include_roster=True), (change,) if change else ()
        )
        recipients = (staged.roster.ids | decided.roster.ids) - {self._state.instance_id}
        self._peers.announce_decision(decided.to_update(), recipients)

    async def _undo_refused(
        self,
        staged: HeadState,
        proposal: Proposal,
        author: str,
        text: str,
        error: ChangeRefusedError,
    ) -> None:
        """Undoes a refused stage; if the store does not answer, other instances undo it later."""
        log(CHANGE_REFUSED, change=proposal.id, error=error.detail)
        record = None
        if proposal.change:
            record = AuditRecord(proposal.id, self._clock.wall(), author, text, error.detail)
        try:
            await self.undo(staged, record)
        except StoreError:
            return

    async def _is_committed(self, found: HeadState, proposal: Proposal) -> bool:
        """Returns whether a proposal is in force according to the head state read back."""
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
        """Reads the head state; retries for SETTLE_TIMEOUT_MS while the store does not answer."""
        deadline_ms = self._clock.now() + OUTCOME_TIMEOUT_MS
        while True:
            try:
                return await self._reader.read_head_state()
            except StoreError as error:
                if self._clock.now() >= deadline_ms:
                    raise StoreOutcomeUnknownError(
                        "The store did not answer the read of the outcome."
                    ) from error
                await self._clock.sleep(OUTCOME_RETRY_INTERVAL_MS)

    def _head_unchanged(self, head_state: HeadState) -> Compare:
        return Compare(head_key(self._prefix), "MOD", head_state.position)

"""The configuration in force on this instance, with the staged change and the freshness proof."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mastickeel.changes import Head, Roster
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.model import Configuration, View
from mastickeel_router.configuration.freshness import RETRY_AFTER_MS, Freshness, NotFreshError
from mastickeel_router.configuration.messages import HeadState, HeadUpdate
from mastickeel_router.configuration.reader import ConfigurationReader

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mastickeel.changes import Change
    from mastickeel.clock import Clock
    from mastickeel.keyvalue import KeyValueClient

RETAINED_CHANGES = 500

CHANGE_IN_FORCE = define_event(
    1700, "change_in_force", "info", "A change is in force on this instance."
)
CHANGE_STAGED = define_event(
    1701,
    "change_staged",
    "info",
    "A change is staged; until it is committed or undone, only work that both "
    "configurations allow is admitted.",
)


class ConfigurationState:
    """The configuration in force on this instance, the staged change, and the freshness proof."""

    def __init__(
        self,
        store: KeyValueClient,
        prefix: str,
        clock: Clock,
        instance_id: str = "",
        process: str = "",
    ) -> None:
        """Creates a state that is empty until it has been loaded.

        Args:
            store: The key-value service.
            prefix: The prefix of all keys of this deployment.
            clock: Times the freshness proofs.
            instance_id: This instance's id; empty for a reader that needs no roster membership.
            process: The random id of this instance's current process.
        """
        self.view = View(Configuration())
        """The configuration in force and, while a change is staged, the resulting one."""
        self.changes: list[Change] = []
        """The newest RETAINED_CHANGES changes, oldest first; the store holds the older ones."""
        self.head_state = HeadState(0, Head(), Roster())
        """The head state that this instance has applied."""
        self.known_position = 0
        """The newest position known to this instance, applied or not."""
        self.freshness = Freshness(clock)
        """The newest freshness proof."""
        self.loaded = asyncio.Event()
        """Set once the first load is complete."""
        self.instance_id = instance_id
        """The id of this instance."""
        self.process = process
        """The random id of this instance's current process."""
        self.address = ""
        """``host:port`` of this instance's peer listener."""
        self.stopped = False
        """Whether this instance has permanently stopped admitting work."""
        self.stage_since_ms = 0
        """When this instance first saw the current stage, on the monotonic clock."""
        self.listeners: list[Callable[[HeadState], None]] = []
        """Called with each head state that this instance applies."""
        self._reader = ConfigurationReader(store, prefix)
        self._clock = clock
        self._head_moved = asyncio.Condition()
        self._read_lock = asyncio.Lock()

    @property
    def revision(self) -> int:
        """The revision in force on this instance."""
        return self.view.committed.revision

    @property
    def position(self) -> int:
        """The position of the head that this instance has applied."""
        return self.head_state.position

    @property
    def is_on_roster(self) -> bool:
        """Whether this process is on the roster in force."""
        return not self.instance_id or self.process in self.head_state.roster.processes

    @property
    def is_restarted_member(self) -> bool:
        """Whether this process listens at the roster address of an earlier process of the instance.

        The earlier process can no longer reply to peers, but may admit work until its freshness
        proof expires.
        """
        return not self.is_on_roster and any(
            member.id == self.instance_id and member.address == self.address
            for member in self.head_state.roster.members
        )

    @property
    def is_member(self) -> bool:
        """Whether this process is on the roster in force and on the staged one, if any."""
        proposal = self.head_state.proposal
        staged = proposal.roster if proposal else None
        is_kept = not self.instance_id or staged is None or self.process in staged.processes
        return self.is_on_roster and is_kept

    def fresh_view(self) -> View:
        """Returns the view against which a send is checked.

        Raises:
            NotFreshError: When this instance may have missed a change, so nothing may be sent.
        """
        self.freshness.check()
        if self.stopped:
            raise NotFreshError(
                "This instance has stopped admitting work.", retry_after_ms=RETRY_AFTER_MS
            )
        if not self.is_member:
            raise NotFreshError(
                "This instance is not on the roster.", retry_after_ms=RETRY_AFTER_MS
            )
        return self.view

    async def wait_for_revision(self, revision: int) -> None:
        """Waits until a revision or a newer one is in force on this instance."""
        async with self._head_moved:
            await self._head_moved.wait_for(lambda: self.revision >= revision)

    async def wait_for_position(self, position: int) -> None:
        """Waits until this instance has applied a position or a newer one."""
        async with self._head_moved:
            await self._head_moved.wait_for(lambda: self.position >= position)

    async def catch_up(self) -> None:
        """Reads the head and any missing changes from the store, and records a freshness proof.

        Raises:
            StoreError: When the store did not answer; this state is unchanged.
        """
        async with self._read_lock:
            requested_ms = self._clock.now()
            item = await self._reader.read_head()
            if item.position > self.position or not self.loaded.is_set():
                loaded = await self._reader.load(self.view.committed)
                if await self._apply(loaded.head_state, loaded.changes, loaded.base):
                    self.loaded.set()
            self.record_proof(item.position, requested_ms)

    def record_proof(self, position: int, at_ms: int) -> None:
        """Records a proof that no position newer than the given one existed at a point in time.

        Args:
            position: The newest position at that time; the proof counts only if this instance has
                applied the position.
            at_ms: The point in time, on this instance's monotonic clock.
        """
        self.known_position = max(self.known_position, position)
        if position <= self.position and self.loaded.is_set():
            self.freshness.record_proof(at_ms)

    async def apply_update(self, update: HeadUpdate, changes: Sequence[Change] = ()) -> bool:
        """Applies a newer head state received from the watch or a peer.

        A change that is staged on this instance need not be sent again when it is committed.

        Args:
            update: The head state.
            changes: The changes up to the head state; those already in force are skipped.

        Returns:
            Whether this instance is now at the update's position or a newer one.
        """
        self.known_position = max(self.known_position, update.position)
        if self.position >= update.position:
            return True
        if not self.loaded.is_set():
            return False
        roster = self._find_roster(update)
        if roster is None:
            return False
        staged = self.head_state.proposal
        if staged and staged.change and staged.id == update.head.change_id:
            changes = [staged.change, *changes]
        head_state = HeadState(update.position, update.head, roster, update.proposal)
        return await self._apply(head_state, changes, self.view.committed)

    def _find_roster(self, update: HeadUpdate) -> Roster | None:
        """Returns the roster of an update: included in the update, in force, or staged."""
        proposal = self.head_state.proposal
        known = (update.roster, self.head_state.roster, proposal.roster if proposal else None)
        for roster in known:
            if roster and roster.version == update.head.roster_version:
                return roster
        return None

    async def _apply(
        self, head_state: HeadState, changes: Sequence[Change], base: Configuration
    ) -> bool:
        """Applies changes and a head state atomically; returns False when changes are missing."""
        if self.loaded.is_set() and head_state.position <= self.position:
            return True
        committed, applied = base, []
        for change in changes:
            if change.revision == committed.revision + 1:
                committed = committed.apply(change.delta, change.revision)
                applied.append(change)
        is_complete = committed.revision == head_state.head.revision
        if not is_complete or not _is_consistent(head_state):
            return False
        self._install(head_state, committed, applied)
        async with self._head_moved:
            self._head_moved.notify_all()
        return True

    def _install(
        self, head_state: HeadState, committed: Configuration, applied: list[Change]
    ) -> None:
        """Replaces the head state and the view, and calls the listeners."""
        proposal = head_state.proposal
        staged = None
        if proposal and proposal.change:
            staged = committed.apply(proposal.change.delta, proposal.change.revision)
        if proposal and head_state.position != self.position:
            self.stage_since_ms = self._clock.now()
            log(CHANGE_STAGED, change=proposal.id)
        self.head_state = head_state
        self.known_position = max(self.known_position, head_state.position)
        self.view = View(committed, staged)
        for change in applied:
            log(CHANGE_IN_FORCE, revision=change.revision, change=change.id)
        self.changes = [*self.changes, *applied][-RETAINED_CHANGES:]
        for listener in self.listeners:
            listener(head_state)


def _is_consistent(head_state: HeadState) -> bool:
    """Returns whether the head, roster and proposal of a head state belong together."""
    stage, proposal = head_state.head.stage, head_state.proposal
    if head_state.roster.version != head_state.head.roster_version:
        return False
    return (stage.id if stage else None) == (proposal.id if proposal else None)

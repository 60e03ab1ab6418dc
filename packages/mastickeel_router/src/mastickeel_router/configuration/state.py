"""The configuration that this instance works under."""

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
    "A change is proposed; until it is decided only work that both "
    "configurations allow is admitted.",
)


class ConfigurationState:
    """What is in force here, what is staged, and the proof that nothing newer is."""

    def __init__(
        self,
        store: KeyValueClient,
        prefix: str,
        clock: Clock,
        instance_id: str = "",
        process: str = "",
    ) -> None:
        """Makes the state, empty until it has been loaded.

        Args:
            store: The key-value service.
            prefix: What all keys of this deployment begin with.
            clock: Times the proofs.
            instance_id: Who this instance is; empty for one that needs no place on the roster.
            process: Drawn anew by each start.
        """
        self.view = View(Configuration())
        """The configuration in force, with what is staged."""
        self.changes: list[Change] = []
        """The newest changes, oldest first; the store keeps the others."""
        self.head_state = HeadState(0, Head(), Roster())
        """The state of the head that this instance works under."""
        self.known_position = 0
        """The newest position that it has heard of."""
        self.freshness = Freshness(clock)
        """The newest proof."""
        self.loaded = asyncio.Event()
        """Set once the first load is complete."""
        self.instance_id = instance_id
        """Who this instance is."""
        self.process = process
        """Which start of it this is."""
        self.address = ""
        """Where this instance listens for peers."""
        self.stopped = False
        """Whether this instance admits nothing any more, for good."""
        self.stage_since_ms = 0
        """When the stage was first seen here, on the clock for intervals."""
        self.listeners: list[Callable[[HeadState], None]] = []
        """Told each standing that this instance moves to."""
        self._reader = ConfigurationReader(store, prefix)
        self._clock = clock
        self._moved = asyncio.Condition()
        self._reading = asyncio.Lock()

    @property
    def revision(self) -> int:
        """The revision in force here."""
        return self.view.committed.revision

    @property
    def position(self) -> int:
        """The position of the head that this instance works under."""
        return self.head_state.position

    @property
    def is_on_roster(self) -> bool:
        """Whether this process is on the roster in force."""
        return not self.instance_id or self.process in self.head_state.roster.processes

    @property
    def is_restarted_member(self) -> bool:
        """Whether this process listens where the roster has another process of this instance.

        That one can answer no peer any more; but it may still admit until its proof lapses.
        """
        return not self.is_on_roster and any(
            one.id == self.instance_id and one.address == self.address
            for one in self.head_state.roster.members
        )

    @property
    def is_member(self) -> bool:
        """Whether this process is on the roster, and on the one that may be staged."""
        proposal = self.head_state.proposal
        staged = proposal.roster if proposal else None
        is_kept = not self.instance_id or staged is None or self.process in staged.processes
        return self.is_on_roster and is_kept

    def fresh_view(self) -> View:
        """Returns the view to check a send against.

        Raises:
            NotFreshError: When this instance may have missed a change; nothing may be sent.
        """
        self.freshness.check()
        if self.stopped:
            raise NotFreshError("This instance has stopped.", retry_after_ms=RETRY_AFTER_MS)
        if not self.is_member:
            raise NotFreshError("Not on the roster.", retry_after_ms=RETRY_AFTER_MS)
        return self.view

    async def wait_for(self, revision: int) -> None:
        """Waits until a revision is in force here."""
        async with self._moved:
            await self._moved.wait_for(lambda: self.revision >= revision)

    async def wait_for_position(self, position: int) -> None:
        """Waits until this instance works under a position or a newer one."""
        async with self._moved:
            await self._moved.wait_for(lambda: self.position >= position)

    async def catch_up(self) -> None:
        """Reads the head, and all that is missing here; takes it as a proof.

        Raises:
            StoreError: When the store did not answer; nothing has changed here.
        """
        async with self._reading:
            asked_ms = self._clock.now()
            item = await self._reader.read_head()
            if item.position > self.position or not self.loaded.is_set():
                loaded = await self._reader.load(self.view.committed)
                if await self._take(loaded.head_state, loaded.changes, loaded.base):
                    self.loaded.set()
            self.record_proof(item.position, asked_ms)

    def record_proof(self, position: int, at_ms: int) -> None:
        """Takes a proof that nothing newer than a position existed at a moment.

        Args:
            position: The newest position then; a proof for one not applied here is no proof.
            at_ms: The moment, on this instance's clock for intervals.
        """
        self.known_position = max(self.known_position, position)
        if position <= self.position and self.loaded.is_set():
            self.freshness.record_proof(at_ms)

    async def apply_update(self, update: HeadUpdate, changes: Sequence[Change] = ()) -> bool:
        """Takes a newer standing, from a watch or a peer.

        What was staged here need not be sent again when it is committed.

        Args:
            update: The standing.
            changes: The changes that lead to it; those already in force are passed over.

        Returns:
            Whether this instance now works under it, or a newer one.
        """
        self.known_position = max(self.known_position, update.position)
        if self.position >= update.position:
            return True
        if not self.loaded.is_set():
            return False
        roster = self._roster_of(update)
        if roster is None:
            return False
        staged = self.head_state.proposal
        if staged and staged.change and staged.id == update.head.change_id:
            changes = [staged.change, *changes]
        standing = HeadState(update.position, update.head, roster, update.proposal)
        return await self._take(standing, changes, self.view.committed)

    def _roster_of(self, update: HeadUpdate) -> Roster | None:
        """Finds the roster of a standing: sent along, in force here, or staged here."""
        proposal = self.head_state.proposal
        known = (update.roster, self.head_state.roster, proposal.roster if proposal else None)
        for roster in known:
            if roster and roster.version == update.head.roster_version:
                return roster
        return None

    async def _take(
        self, standing: HeadState, changes: Sequence[Change], base: Configuration
    ) -> bool:
        """Applies changes and a standing at once; False when changes are missing in between."""
        if self.loaded.is_set() and standing.position <= self.position:
            return True
        committed, applied = base, []
        for change in changes:
            if change.revision == committed.revision + 1:
                committed = committed.apply(change.delta, change.revision)
                applied.append(change)
        is_whole = committed.revision == standing.head.revision
        if not is_whole or not _fits(standing):
            return False
        self._put_in_force(standing, committed, applied)
        async with self._moved:
            self._moved.notify_all()
        return True

    def _put_in_force(
        self, standing: HeadState, committed: Configuration, applied: list[Change]
    ) -> None:
        """Moves this instance to a standing, without a step between."""
        proposal = standing.proposal
        staged = None
        if proposal and proposal.change:
            staged = committed.apply(proposal.change.delta, proposal.change.revision)
        if proposal and standing.position != self.position:
            self.stage_since_ms = self._clock.now()
            log(CHANGE_STAGED, change=proposal.id)
        self.head_state = standing
        self.known_position = max(self.known_position, standing.position)
        self.view = View(committed, staged)
        for change in applied:
            log(CHANGE_IN_FORCE, revision=change.revision, change=change.id)
        self.changes = [*self.changes, *applied][-RETAINED_CHANGES:]
        for listener in self.listeners:
            listener(standing)


def _fits(standing: HeadState) -> bool:
    """Says whether the parts of a standing belong together."""
    stage, proposal = standing.head.stage, standing.proposal
    if standing.roster.version != standing.head.roster_version:
        return False
    return (stage.id if stage else None) == (proposal.id if proposal else None)

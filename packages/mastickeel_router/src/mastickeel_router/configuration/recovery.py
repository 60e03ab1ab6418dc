"""Undoes a stage whose coordinator has stopped, so that the next change can be made."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.changes import AuditRecord
from mastickeel.errors import StoreError
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel_router.configuration.proposals import Proposer
    from mastickeel_router.configuration.state import ConfigurationState

CHECK_INTERVAL_MS = 1_000
UNDO_AFTER_MS = 12_000
"""Longer than a coordinator takes that does not stop."""
UNDO_GONE_AFTER_MS = 2_000
"""The same, when the coordinator is known to be gone."""
UNDO_STAGGER_MS = 1_000
"""Between one instance's try and the next one's."""

STAGE_UNDONE = define_event(
    1707, "stage_undone", "warning", "The coordinator of a stage stopped; the change was undone."
)


class StageRecovery:
    """Looks after stages that others left behind.

    Only its coordinator commits a stage; everyone else undoes it. So a coordinator that could not
    write the commit knows that the change was not made.
    """

    def __init__(
        self,
        state: ConfigurationState,
        proposer: Proposer,
        *,
        clock: Clock,
        is_live: Callable[[str], bool],
    ) -> None:
        """Makes the recovery.

        Args:
            state: Shows what is staged.
            proposer: Undoes it.
            clock: Times the age of stages.
            is_live: Whether an instance is believed to run.
        """
        self._state = state
        self._proposer = proposer
        self._clock = clock
        self._is_live = is_live

    async def run(self) -> None:
        """Checks again and again, for as long as the instance runs."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            try:
                await self.undo_abandoned_stage()
            except StoreError:
                continue

    async def undo_abandoned_stage(self) -> bool:
        """Undoes the stage when it is this instance's turn.

        Returns:
            Whether it was undone here.

        Raises:
            StoreError: When the store did not answer.
        """
        standing = self._state.head_state
        stage = standing.head.stage
        if stage is None:
            return False
        age_ms = self._clock.now() - self._state.stage_since_ms
        is_gone = stage.coordinator != self._state.instance_id and not self._is_live(
            stage.coordinator
        )
        limit_ms = UNDO_GONE_AFTER_MS if is_gone else UNDO_AFTER_MS
        if age_ms < limit_ms + self._turn(stage.id) * UNDO_STAGGER_MS:
            return False
        text = f"stage of {stage.coordinator}"
        record = AuditRecord(
            stage.id, self._clock.wall(), self._state.instance_id, text, "undone: it was left"
        )
        undone = await self._proposer.undo(standing, record)
        if undone:
            log(STAGE_UNDONE, change=stage.id, coordinator=stage.coordinator)
        else:
            await self._state.catch_up()
        return undone

    def _turn(self, stage_id: str) -> int:
        """Returns how many live members come before this one."""
        ids = [one for one in self._state.head_state.roster.ids if self._is_live(one)]
        mine = self._state.instance_id
        order = rank(stage_id, {*ids, mine})
        return order.index(mine)

"""Undoes a stage whose coordinator has stopped, so that further changes are possible."""

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
"""Stage age after which it is undone; longer than a running coordinator needs to decide."""
UNDO_GONE_AFTER_MS = 2_000
"""Stage age after which it is undone if its coordinator is known to be gone."""
UNDO_STAGGER_MS = 1_000
"""Delay between the attempts of successive instances to undo a stage."""

STAGE_UNDONE = define_event(
    1707, "stage_undone", "warning", "The coordinator of a stage stopped; its change was undone."
)


class StageRecovery:
    """Undoes stages that their coordinators abandoned.

    Only the coordinator of a stage commits it; any other instance may only undo it. A coordinator
    that could not write the commit therefore knows that the change was not made.
    """

    def __init__(
        self,
        state: ConfigurationState,
        proposer: Proposer,
        *,
        clock: Clock,
        is_live: Callable[[str], bool],
    ) -> None:
        """Creates the recovery.

        Args:
            state: Provides the current stage.
            proposer: Undoes the stage.
            clock: Times the age of stages.
            is_live: Returns whether an instance is believed to be running.
        """
        self._state = state
        self._proposer = proposer
        self._clock = clock
        self._is_live = is_live

    async def run(self) -> None:
        """Checks for an abandoned stage periodically, until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            try:
                await self.undo_abandoned_stage()
            except StoreError:
                continue

    async def undo_abandoned_stage(self) -> bool:
        """Undoes the current stage if it is old enough for this instance's rank.

        Returns:
            Whether this instance undid the stage.

        Raises:
            StoreError: When the store did not answer.
        """
        head_state = self._state.head_state
        stage = head_state.head.stage
        if stage is None:
            return False
        age_ms = self._clock.now() - self._state.stage_since_ms
        is_gone = stage.coordinator != self._state.instance_id and not self._is_live(
            stage.coordinator
        )
        timeout_ms = UNDO_GONE_AFTER_MS if is_gone else UNDO_AFTER_MS
        if age_ms < timeout_ms + self._undo_rank(stage.id) * UNDO_STAGGER_MS:
            return False
        text = f"stage of {stage.coordinator}"
        record = AuditRecord(
            stage.id, self._clock.wall(), self._state.instance_id, text, "undone: it was left"
        )
        undone = await self._proposer.undo(head_state, record)
        if undone:
            log(STAGE_UNDONE, change=stage.id, coordinator=stage.coordinator)
        else:
            await self._state.catch_up()
        return undone

    def _undo_rank(self, stage_id: str) -> int:
        """Returns the number of live members that try to undo the stage before this instance."""
        ids = [
            member_id for member_id in self._state.head_state.roster.ids if self._is_live(member_id)
        ]
        local_id = self._state.instance_id
        order = rank(stage_id, {*ids, local_id})
        return order.index(local_id)

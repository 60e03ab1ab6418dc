"""Assembles the rollout components of one router."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mastickeel_router.duties import Duty
from mastickeel_router.rollouts.controller import AUTHOR, RolloutController, status_table
from mastickeel_router.rollouts.participant import RolloutParticipant
from mastickeel_router.tables import Table

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine

    from mastickeel.clock import Clock
    from mastickeel.keyvalue import KeyValueClient
    from mastickeel.model import Delta
    from mastickeel.peers import PeerLink
    from mastickeel.settings import Settings
    from mastickeel_router.configuration import ConfigurationState, ConfigurationWriter
    from mastickeel_router.tables import Catalogue


class RolloutService:
    """Runs an instance's part in rollouts, and controls them while the instance holds the duty."""

    def __init__(
        self,
        settings: Settings,
        *,
        clock: Clock,
        rng: random.Random,
        link: PeerLink,
        store: KeyValueClient,
        configuration: ConfigurationState,
        writer: ConfigurationWriter,
        is_candidate: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates the components.

        Args:
            settings: The router's settings.
            clock: Times reports, leases and stages.
            rng: Spreads reports over time.
            link: Connects to the peers.
            store: Stores the duty's lease.
            configuration: The configuration in force.
            writer: Commits changes of rollouts.
            is_candidate: Returns whether this instance should try to acquire the duty.
        """
        self._configuration = configuration
        self._writer = writer
        self.duty = Duty(
            "rollouts",
            instance_id=settings.instance.id,
            store=store,
            prefix=settings.store.prefix,
            clock=clock,
            is_candidate=is_candidate,
        )
        """The duty of controlling rollouts and reading the ratings that guard them."""
        self.duty_tasks: list[Callable[[], Coroutine[Any, Any, None]]] = []
        """Further background tasks of the duty holder, such as reading ratings."""
        self.participant = RolloutParticipant(
            link, clock, rng, lambda: configuration.view.committed
        )
        """Sends requests to new versions within the exposure granted to this instance."""
        self.controller = RolloutController(
            link,
            clock,
            configuration=lambda: configuration.view.committed,
            fencing=lambda: self.duty.fencing_token,
            commit=self._commit_as_holder,
        )
        """Controls rollouts while this instance holds the duty."""
        self.participant.report_locally = self.controller.on_report
        self.controller.on_announced = self.participant.record_holder

    def work_by_name(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Returns the background tasks of every instance."""
        return {
            "reports of roll-outs": self.participant.run,
            "duty of roll-outs": lambda: self.duty.run(self._run_duty),
        }

    def register_tables(self, catalogue: Catalogue) -> None:
        """Registers tables and explanations for the operators' query language."""
        catalogue.sources_by_name["rollouts"] = self._rollouts_table
        catalogue.explainers_by_kind["rollout"] = self._explain_rollout

    async def _run_duty(self) -> None:
        """Runs the controller and the other tasks of the duty holder."""
        await asyncio.gather(self.controller.run(), *(work() for work in self.duty_tasks))

    async def _commit_as_holder(self, delta: Delta, base_revision: int, text: str) -> None:
        """Commits a change, on condition that this instance still holds the duty."""
        conditions = (self.duty.held_condition(),)
        await self._writer.commit(
            delta, base=base_revision, author=AUTHOR, text=text, conditions=conditions
        )

    async def _rollouts_table(self) -> Table:
        """Returns a table of the rollouts, with the evidence known to this instance."""
        return self.status()

    def status(self, only_controlled_here: bool = False) -> Table:
        """Returns a table of the rollouts.

        Args:
            only_controlled_here: Whether to omit rollouts that another instance controls.
        """
        statuses = self.controller.statuses()
        table = status_table(statuses, self._configuration.view.committed)
        controlled_ids = {status.rollout.id for status in statuses}
        rows = tuple(
            row for row in table.rows if not only_controlled_here or row[0] in controlled_ids
        )
        return Table(table.columns, rows)

    async def _explain_rollout(self, rollout_id: str) -> Table:
        """Returns a table of one rollout."""
        table = await self._rollouts_table()
        return type(table)(table.columns, tuple(row for row in table.rows if row[0] == rollout_id))

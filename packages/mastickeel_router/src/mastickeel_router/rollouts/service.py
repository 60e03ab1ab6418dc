"""The parts of the roll-outs put together for one router."""

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
    """An instance's part in roll-outs, and their lead while it holds the duty."""

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
        """Makes the parts.

        Args:
            settings: The router's settings.
            clock: Times everything.
            rng: Spreads reports.
            link: The peers.
            store: Holds the duty.
            configuration: What is in force.
            writer: Makes the changes of plans.
            is_candidate: Whether this instance should try for the duty.
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
        """The duty of leading roll-outs, and of reading the ratings that they go by."""
        self.duty_tasks: list[Callable[[], Coroutine[Any, Any, None]]] = []
        """What else the holder does, such as reading ratings."""
        self.participant = RolloutParticipant(
            link, clock, rng, lambda: configuration.view.committed
        )
        """Draws within this instance's share."""
        self.controller = RolloutController(
            link,
            clock,
            configuration=lambda: configuration.view.committed,
            fencing=lambda: self.duty.fencing,
            commit=self._commit_as_holder,
        )
        """Leads while the duty is held."""
        self.participant.report_locally = self.controller.on_report
        self.controller.on_announced = self.participant.record_holder

    def work_by_name(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Returns what is to run in the background on every instance."""
        return {
            "reports of roll-outs": self.participant.run,
            "duty of roll-outs": lambda: self.duty.run(self._run_duty),
        }

    def offer(self, catalogue: Catalogue) -> None:
        """Offers tables and explanations to the operators' language."""
        catalogue.sources_by_name["rollouts"] = self._rollouts_table
        catalogue.explainers_by_kind["rollout"] = self._rollout_table

    async def _run_duty(self) -> None:
        """Leads the roll-outs, and does what goes with it."""
        await asyncio.gather(self.controller.run(), *(work() for work in self.duty_tasks))

    async def _commit_as_holder(self, delta: Delta, base: int, text: str) -> None:
        """Makes a change, on condition that the duty has not passed on meanwhile."""
        held = (self.duty.still_held(),)
        await self._writer.commit(delta, base=base, author=AUTHOR, text=text, conditions=held)

    async def _rollouts_table(self) -> Table:
        """Lists the roll-outs, with the evidence where this instance leads them."""
        return self.status()

    def status(self, only_led_here: bool = False) -> Table:
        """Returns the roll-outs.

        Args:
            only_led_here: Whether to leave out those that another instance leads.
        """
        standings = self.controller.statuses()
        table = status_table(standings, self._configuration.view.committed)
        led = {standing.rollout.id for standing in standings}
        rows = tuple(row for row in table.rows if not only_led_here or row[0] in led)
        return Table(table.columns, rows)

    async def _rollout_table(self, rollout_id: str) -> Table:
        """Shows one roll-out."""
        table = await self._rollouts_table()
        return type(table)(table.columns, tuple(row for row in table.rows if row[0] == rollout_id))

"""Follows the configuration's keys, so that a change is known before anyone asks for it."""

from __future__ import annotations

from itertools import groupby
from typing import TYPE_CHECKING

from mastickeel import events
from mastickeel.changes import (
    Change,
    Head,
    Proposal,
    Roster,
    decode,
    head_key,
    roster_key,
    staged_key,
)
from mastickeel.errors import StoreError
from mastickeel.logs import log
from mastickeel_router.backoff import Backoff
from mastickeel_router.configuration.messages import HeadUpdate

if TYPE_CHECKING:
    import random

    from mastickeel.clock import Clock
    from mastickeel.keyvalue import KeyValue, KeyValueClient, WatchBatch
    from mastickeel_router.configuration.state import ConfigurationState


class ConfigurationWatcher:
    """Loads the state and follows the watch; a watch is never a proof of freshness."""

    def __init__(
        self,
        state: ConfigurationState,
        *,
        store: KeyValueClient,
        prefix: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Makes the watcher.

        Args:
            state: What it moves on.
            store: The key-value service.
            prefix: What all keys of this deployment begin with.
            clock: Times the retries.
            rng: Spreads the retries.
        """
        self._state = state
        self._store = store
        self._prefix = prefix
        self._backoff = Backoff(clock, rng)

    async def run(self) -> None:
        """Reads what is missing and watches from there, for as long as the instance runs."""
        down = False
        while True:
            try:
                await self._state.catch_up()
                if down:
                    log(events.STORE_UP)
                down = False
                self._backoff.reset()
                prefix = f"{self._prefix}/config/"
                async for batch in self._store.watch(prefix, self._state.position + 1):
                    await self._take(batch)
            except StoreError as error:
                if not down:
                    log(events.STORE_DOWN, error=str(error))
                down = True
                await self._backoff.wait()

    async def _take(self, batch: WatchBatch) -> None:
        """Takes each revision of a batch in turn."""
        for _, items in groupby(batch.puts, key=lambda item: item.mod_revision):
            await self._take_revision({item.key: item for item in items})

    async def _take_revision(self, items_by_key: dict[str, KeyValue]) -> None:
        """Takes what one transaction wrote; what does not fit is read anew."""
        item = items_by_key.get(head_key(self._prefix))
        if item is None:
            return
        staged = items_by_key.get(staged_key(self._prefix))
        roster = items_by_key.get(roster_key(self._prefix))
        update = HeadUpdate(
            item.mod_revision,
            decode(item.value, Head),
            decode(staged.value, Proposal) if staged else None,
            decode(roster.value, Roster) if roster else None,
        )
        log_prefix = f"{self._prefix}/config/log/"
        changes = [
            decode(found.value, Change)
            for key, found in items_by_key.items()
            if key.startswith(log_prefix)
        ]
        if not await self._state.apply_update(update, changes):
            await self._state.catch_up()

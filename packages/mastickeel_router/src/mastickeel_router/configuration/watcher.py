"""Watches the configuration's keys, so that changes arrive without polling the store."""

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
    """Loads the state and applies watched changes; a watch event is never a freshness proof."""

    def __init__(
        self,
        state: ConfigurationState,
        *,
        store: KeyValueClient,
        prefix: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Creates the watcher.

        Args:
            state: The state to load and update.
            store: The key-value service.
            prefix: The prefix of all keys of this deployment.
            clock: Times the retries.
            rng: Source of the retry jitter.
        """
        self._state = state
        self._store = store
        self._prefix = prefix
        self._backoff = Backoff(clock, rng)

    async def run(self) -> None:
        """Loads the state and watches from its position on, until cancelled."""
        is_store_down = False
        while True:
            try:
                await self._state.catch_up()
                if is_store_down:
                    log(events.STORE_UP)
                is_store_down = False
                self._backoff.reset()
                prefix = f"{self._prefix}/config/"
                async for batch in self._store.watch(prefix, self._state.position + 1):
                    await self._apply_batch(batch)
            except StoreError as error:
                if not is_store_down:
                    log(events.STORE_DOWN, error=str(error))
                is_store_down = True
                await self._backoff.pause()

    async def _apply_batch(self, batch: WatchBatch) -> None:
        """Applies the store revisions of a batch in order."""
        for _, items in groupby(batch.puts, key=lambda item: item.mod_revision):
            await self._apply_revision({item.key: item for item in items})

    async def _apply_revision(self, items_by_key: dict[str, KeyValue]) -> None:
        """Applies the writes of one transaction; on a gap, reads the state from the store."""
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

"""Writes snapshots of the configuration under a duty."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.changes import (
    Change,
    SnapshotIndex,
    decode,
    encode,
    snapshot_index_key,
    snapshot_part_key,
)
from mastickeel.events import define_event
from mastickeel.keyvalue import Compare, Delete, Put
from mastickeel.logs import log
from mastickeel_router.configuration.parts import split_parts

if TYPE_CHECKING:
    from mastickeel.clock import Clock
    from mastickeel.keyvalue import KeyValueClient
    from mastickeel_router.configuration.state import ConfigurationState
    from mastickeel_router.duties import Duty

SNAPSHOT_INTERVAL_CHANGES = 500
"""Changes between two snapshots."""
CHECK_INTERVAL_MS = 30_000
AUDIT_RETENTION_MS = 7 * 86_400_000
"""Minimum age of a change before it is deleted from the log, once snapshots contain it."""
DELETE_BATCH_SIZE = 100

SNAPSHOT_WRITTEN = define_event(
    1702, "snapshot_written", "info", "A snapshot was written completely."
)


class SnapshotWriter:
    """Writes snapshots under a duty, and deletes superseded snapshots and log entries."""

    def __init__(
        self,
        state: ConfigurationState,
        *,
        store: KeyValueClient,
        prefix: str,
        clock: Clock,
        duty: Duty,
        interval_changes: int = SNAPSHOT_INTERVAL_CHANGES,
        audit_retention_ms: int = AUDIT_RETENTION_MS,
    ) -> None:
        """Creates the writer.

        Args:
            state: Provides the configuration to write.
            store: The key-value service.
            prefix: The prefix of all keys of this deployment.
            clock: Times the checks and the age of log entries.
            duty: Held by one instance at a time; each write is conditional on holding it.
            interval_changes: Changes between two snapshots.
            audit_retention_ms: Minimum age of a change before it is deleted from the log.
        """
        self._state = state
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._duty = duty
        self._interval_changes = interval_changes
        self._audit_retention_ms = audit_retention_ms

    async def run(self) -> None:
        """Campaigns for the duty and writes snapshots while holding it, until cancelled."""
        await self._duty.run(self._run_checks)

    async def _run_checks(self) -> None:
        while True:
            await self.write_if_due()
            await self._clock.sleep(CHECK_INTERVAL_MS)

    async def write_if_due(self) -> bool:
        """Writes a snapshot when enough changes were committed since the last one.

        Returns:
            Whether a snapshot was written.

        Raises:
            StoreError: When the store did not answer; a retry starts the snapshot anew.
        """
        item = await self._store.get(snapshot_index_key(self._prefix))
        before = decode(item.value, SnapshotIndex) if item else SnapshotIndex(0, 0)
        configuration = self._state.view.committed
        if configuration.revision - before.revision < self._interval_changes:
            return False
        parts = split_parts(configuration)
        for number, part in enumerate(parts):
            key = snapshot_part_key(self._prefix, configuration.revision, number)
            await self._store.txn((self._duty.still_held(),), (Put(key, part),))
        index = SnapshotIndex(configuration.revision, len(parts))
        unchanged = Compare(
            snapshot_index_key(self._prefix), "MOD", item.mod_revision if item else 0
        )
        put = Put(snapshot_index_key(self._prefix), encode(index))
        result = await self._store.txn((self._duty.still_held(), unchanged), (put,))
        if not result.succeeded:
            return False
        log(
            SNAPSHOT_WRITTEN, revision=index.revision, parts=index.parts, bytes=sum(map(len, parts))
        )
        await self._delete_superseded(before, configuration.revision)
        return True

    async def _delete_superseded(self, before: SnapshotIndex, revision: int) -> None:
        """Deletes the previous snapshot, and old log entries that both snapshots contain."""
        if before.parts:
            key = snapshot_part_key(self._prefix, before.revision, 0).rpartition("/")[0] + "/"
            await self._store.txn((self._duty.still_held(),), (Delete(key, prefix=True),))
        prefix = f"{self._prefix}/config/log/"
        while True:
            page = await self._store.range(prefix, prefix=True, limit=DELETE_BATCH_SIZE)
            limit_ms = self._clock.wall() - self._audit_retention_ms
            changes = [decode(item.value, Change) for item in page.items]
            old = [
                Delete(item.key)
                for item, change in zip(page.items, changes, strict=True)
                if change.revision <= before.revision and change.at_ms < limit_ms
            ]
            if old:
                await self._store.txn((self._duty.still_held(),), old)
            if len(old) < DELETE_BATCH_SIZE:
                return

"""Reads the audit from the store: what instances no longer hold in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.changes import AuditRecord, Change, decode, log_key

if TYPE_CHECKING:
    from mastickeel.keyvalue import KeyValueClient

PAGE_SIZE = 500


class AuditReader:
    """Pages through accepted changes, and through acts that made no revision."""

    def __init__(self, store: KeyValueClient, prefix: str) -> None:
        """Makes the reader.

        Args:
            store: The key-value service.
            prefix: What all keys of this deployment begin with.
        """
        self._store = store
        self._prefix = prefix

    async def read_changes(self, after: int = 0, limit: int = PAGE_SIZE) -> tuple[Change, ...]:
        """Reads accepted changes, oldest first.

        Args:
            after: The revision after which to begin.
            limit: The most to read.

        Returns:
            The changes that the log still has.

        Raises:
            StoreError: When the store did not answer.
        """
        start = log_key(self._prefix, after + 1)
        prefix = f"{self._prefix}/config/log/"
        page = await self._store.range(prefix, prefix=True, limit=limit, start=start)
        return tuple(decode(item.value, Change) for item in page.items)

    async def read_records(
        self, after: str = "", limit: int = PAGE_SIZE
    ) -> tuple[AuditRecord, ...]:
        """Reads refused and undone changes and replaced rosters, oldest first.

        Args:
            after: The key after which to begin; empty for the oldest.
            limit: The most to read.

        Returns:
            The records.

        Raises:
            StoreError: When the store did not answer.
        """
        start = f"{after}\0" if after else ""
        prefix = f"{self._prefix}/audit/"
        page = await self._store.range(prefix, prefix=True, limit=limit, start=start)
        return tuple(decode(item.value, AuditRecord) for item in page.items)

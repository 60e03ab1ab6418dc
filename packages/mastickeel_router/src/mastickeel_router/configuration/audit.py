"""Reads the audit from the store, including entries that instances no longer hold in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.changes import AuditRecord, Change, decode, log_key

if TYPE_CHECKING:
    from mastickeel.keyvalue import KeyValueClient

PAGE_SIZE = 500


class AuditReader:
    """Pages through accepted changes, and through audit records of acts without a revision."""

    def __init__(self, store: KeyValueClient, prefix: str) -> None:
        """Creates the reader.

        Args:
            store: The key-value service.
            prefix: The prefix of all keys of this deployment.
        """
        self._store = store
        self._prefix = prefix

    async def read_changes(self, after: int = 0, limit: int = PAGE_SIZE) -> tuple[Change, ...]:
        """Reads accepted changes, oldest first.

        Args:
            after: The revision after which to start.
            limit: The maximum number of changes.

        Returns:
            The changes that are still in the log.

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
        """Reads records of refused and undone changes and of roster replacements, oldest first.

        Args:
            after: The key after which to start; empty to start with the oldest record.
            limit: The maximum number of records.

        Returns:
            The audit records.

        Raises:
            StoreError: When the store did not answer.
        """
        start = f"{after}\0" if after else ""
        prefix = f"{self._prefix}/audit/"
        page = await self._store.range(prefix, prefix=True, limit=limit, start=start)
        return tuple(decode(item.value, AuditRecord) for item in page.items)

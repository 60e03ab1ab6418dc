"""The key-value store as the router needs it, whichever service stands behind it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from mastickeel._kvtypes import (
        Compare,
        Delete,
        Get,
        KeyValue,
        Put,
        RangeResult,
        TxnResult,
        WatchBatch,
    )


class Store(Protocol):
    """Compare-and-swap, leases, reads and watches; every method may raise a ``StoreError``."""

    async def get(self, key: str) -> KeyValue | None:
        """Reads one key; None when it does not exist."""

    async def range(self, key: str, *, prefix: bool = False) -> RangeResult:
        """Reads a key, or all keys that begin with it."""

    async def txn(
        self,
        compares: Sequence[Compare],
        success: Sequence[Put | Delete | Get],
        failure: Sequence[Put | Delete | Get] = (),
    ) -> TxnResult:
        """Runs the success steps when every condition holds, else the failure steps."""

    async def grant(self, ttl_seconds: int) -> int:
        """Makes a lease and returns its id."""

    async def keep_alive(self, lease: int) -> bool:
        """Renews a lease; False when it has lapsed."""

    async def revoke(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""

    def watch(self, prefix: str, revision: int) -> AsyncIterator[WatchBatch]:
        """Follows all keys with a prefix, from a revision on."""

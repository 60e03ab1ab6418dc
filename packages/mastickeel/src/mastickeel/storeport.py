"""Interface of the key-value store that the router uses."""

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
    from mastickeel.storeera import StoreEra


class Store(Protocol):
    """A key-value store with transactions, leases and watches.

    Every method may raise a ``StoreError``.
    """

    @property
    def era(self) -> StoreEra:
        """The store's era; never known for a store that does not name it."""

    async def get(self, key: str) -> KeyValue | None:
        """Reads one key; returns None when the key does not exist."""

    async def range(self, key: str, *, prefix: bool = False) -> RangeResult:
        """Reads one key, or with ``prefix`` all keys that begin with ``key``."""

    async def txn(
        self,
        compares: Sequence[Compare],
        success: Sequence[Put | Delete | Get],
        failure: Sequence[Put | Delete | Get] = (),
    ) -> TxnResult:
        """Runs the success steps when every condition holds, otherwise the failure steps."""

    async def grant(self, ttl_seconds: int) -> int:
        """Creates a lease and returns its id."""

    async def keep_alive(self, lease: int) -> bool:
        """Renews a lease; returns False when the lease has lapsed."""

    async def revoke(self, lease: int) -> None:
        """Revokes a lease and deletes its keys."""


class WatchableStore(Store, Protocol):
    """A store whose watch can be made to show at once whether the store answers."""

    @property
    def is_receiving(self) -> bool:
        """Whether an answer to the watch is arriving, so that the store is not silent."""

    def watch(
        self, prefix: str, revision: int, *, probe_timeout_ms: int | None = None
    ) -> AsyncIterator[WatchBatch]:
        """Watches all keys with a prefix from a revision on.

        Args:
            prefix: Prefix of the keys.
            revision: First revision of interest.
            probe_timeout_ms: Time within which a first answer has to arrive, if only to say that
                there are no changes; None to wait for changes as usual.
        """

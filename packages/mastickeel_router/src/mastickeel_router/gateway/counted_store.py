"""Store wrapper that counts calls by kind, result and cause, and times the last answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from mastickeel import _kvtypes as kv
from mastickeel.errors import MastickeelError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

    from mastickeel.clock import Clock
    from mastickeel.storeera import StoreEra
    from mastickeel.storeport import WatchableStore

R = TypeVar("R")


class CountedStore:
    """Forwards every call to a store, and counts the call by kind, result and cause."""

    def __init__(
        self,
        store: WatchableStore,
        clock: Clock,
        on_call: Callable[[str, str, str], None],
        find_subject: Callable[[str], str] = lambda key: "",
    ) -> None:
        """Wraps a store.

        Args:
            store: Store that executes the calls.
            clock: Clock for the age of the last answer.
            on_call: Called after each call with its kind, ``answered`` or the error's code, and
                its cause: the subject of the key, or ``idle`` or ``probe`` for a watch that
                brought no change.
            find_subject: Returns what a key is about.
        """
        self._find_subject = find_subject
        self._subjects_by_lease: dict[int, str] = {}
        self._last_answer_ms: int | None = None
        self._store = store
        self._clock = clock
        self._on_call = on_call

    @property
    def era(self) -> StoreEra:
        """The era of the wrapped store."""
        return self._store.era

    @property
    def is_receiving(self) -> bool:
        """Whether an answer to the watch is arriving."""
        return self._store.is_receiving

    def age_ms(self) -> int | None:
        """Returns the time since the store's last answer; None before the first answer."""
        return None if self._last_answer_ms is None else self._clock.now() - self._last_answer_ms

    async def get(self, key: str) -> kv.KeyValue | None:
        """Reads one key; returns None when the key does not exist."""
        return await self._count_call("get", self._store.get(key), self._find_subject(key))

    async def range(self, key: str, *, prefix: bool = False) -> kv.RangeResult:
        """Reads a key, or all keys with a prefix."""
        return await self._count_call("range", self._store.range(key, prefix=prefix))

    async def txn(
        self,
        compares: Sequence[kv.Compare],
        success: Sequence[kv.Put | kv.Delete | kv.Get],
        failure: Sequence[kv.Put | kv.Delete | kv.Get] = (),
    ) -> kv.TxnResult:
        """Runs the success steps if every condition holds, otherwise the failure steps."""
        subject = ""
        for step in success:
            if isinstance(step, kv.Put):
                subject = subject or self._find_subject(step.key)
                if step.lease:
                    self._subjects_by_lease[step.lease] = subject
        return await self._count_call("txn", self._store.txn(compares, success, failure), subject)

    async def grant(self, ttl_seconds: int) -> int:
        """Creates a lease and returns its id."""
        return await self._count_call("grant", self._store.grant(ttl_seconds))

    async def keep_alive(self, lease: int) -> bool:
        """Renews a lease; returns False when the lease has expired."""
        subject = self._subjects_by_lease.get(lease, "")
        return await self._count_call("keep_alive", self._store.keep_alive(lease), subject)

    async def revoke(self, lease: int) -> None:
        """Revokes a lease and deletes its keys."""
        subject = self._subjects_by_lease.pop(lease, "")
        await self._count_call("revoke", self._store.revoke(lease), subject)

    async def watch(
        self, prefix: str, revision: int, *, probe_timeout_ms: int | None = None
    ) -> AsyncIterator[kv.WatchBatch]:
        """Watches all keys with a prefix, starting at a revision."""
        batches = self._store.watch(prefix, revision, probe_timeout_ms=probe_timeout_ms)
        idle_cause = "idle" if probe_timeout_ms is None else "probe"
        is_new_call = True
        while True:
            try:
                batch = await anext(batches)
            except StopAsyncIteration:
                return
            except MastickeelError as error:
                self._on_call("watch", error.code, idle_cause)
                raise
            keys = [item.key for item in batch.puts] + list(batch.deletes)
            if is_new_call:
                cause = self._find_subject(keys[0]) if keys else idle_cause
                self._on_call("watch", "answered", cause)
                self._last_answer_ms = self._clock.now()
                idle_cause = "idle"
            # The batch without a change ends the answer to one call.
            is_new_call = not keys
            yield batch

    async def _count_call(self, kind: str, call: Awaitable[R], cause: str = "") -> R:
        try:
            answer = await call
        except MastickeelError as error:
            self._on_call(kind, error.code, cause)
            raise
        self._on_call(kind, "answered", cause)
        self._last_answer_ms = self._clock.now()
        return answer

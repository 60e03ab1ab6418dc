"""Ceiling records in the store, and the coordinator that updates them for all instances.

Any member may act as coordinator: records change by compare-and-swap only, so two coordinators at
once cost retries and grant nothing twice. Instances prefer the first member by rendezvous hashing,
which keeps store calls few: requests that arrive during a write are batched into the next one.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from mastickeel.decoding import decode_json
from mastickeel.errors import (
    MastickeelError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    UnavailableError,
)
from mastickeel.keyvalue import Compare, Get, Put
from mastickeel.peers import message

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel.keyvalue import KeyValue, KeyValueClient
    from mastickeel.model import View

SHARE_DIVISOR = 4
"""A grant is raised by at least the rest of the ceiling divided by the number of instances and by
this divisor, so the raises shrink as the ceiling nears."""
WRITE_ATTEMPTS = 8
WRITE_PAUSE_MS = 20
RECORDS_KEPT = 1_000


@message("admission.grant")
@dataclass(frozen=True)
class GrantRequest:
    """Request to raise or lower a holder's grant to an amount."""

    account_id: str
    period: str
    """Length in ms and number of the period, as ``length/number``."""
    holder: str
    number: int
    """Sequence number among the holder's requests, so that a late request is ignored."""
    wanted: int
    """Smallest sufficient grant, or the amount to lower the grant to, in micros."""


@message("admission.granted")
@dataclass(frozen=True)
class GrantReply:
    """Reply with the holder's grant; less than requested means that the ceiling is reached."""

    granted: int
    """Grant after the request, in micros."""


@dataclass(frozen=True)
class HolderGrant:
    """Grant of one holder."""

    granted: int = 0
    """Granted amount, in micros."""
    number: int = 0
    """Number of the last request applied."""


@dataclass(frozen=True)
class CeilingRecord:
    """Grants of one account's ceiling in one period."""

    parts_by_holder: dict[str, HolderGrant] = field(default_factory=dict)

    @property
    def granted(self) -> int:
        """Sum of the grants of all holders, in micros."""
        return sum(grant.granted for grant in self.parts_by_holder.values())


def apply_grant_request(
    record: CeilingRecord, request: GrantRequest, ceiling: int, instance_count: int
) -> CeilingRecord:
    """Returns the record after a request; late or unaffordable requests change nothing.

    Args:
        record: The record before the request.
        request: The holder's request.
        ceiling: The account's ceiling, in micros.
        instance_count: Number of instances that share the ceiling.
    """
    grant = record.parts_by_holder.get(request.holder, HolderGrant())
    if request.number <= grant.number:
        return record
    granted = request.wanted
    if request.wanted > grant.granted:
        remaining = ceiling - record.granted
        if request.wanted - grant.granted > remaining:
            return record
        extended = grant.granted + remaining // (SHARE_DIVISOR * max(1, instance_count))
        granted = max(request.wanted, extended)
    grants = {**record.parts_by_holder, request.holder: HolderGrant(granted, request.number)}
    return CeilingRecord(grants)


class CachedRecord:
    """Cached copy of a record, with the requests that wait to be written."""

    def __init__(self, key: str) -> None:
        self.key = key
        """Key of the record in the store."""
        self.record: CeilingRecord | None = None
        """Record as last read or written; None before the first read."""
        self.revision = 0
        """Revision of the key when the record was cached."""
        self.pending: list[tuple[GrantRequest, asyncio.Future[GrantReply]]] = []
        """Requests for the next write, with the futures of their replies."""
        self.writing = False
        """Whether a write is in progress."""


class CeilingCoordinator:
    """Updates the records of ceilings in the store."""

    def __init__(
        self,
        store: KeyValueClient,
        prefix: str,
        *,
        view: Callable[[], View],
        clock: Clock,
        rng: random.Random,
        instance_count: Callable[[], int],
    ) -> None:
        """Creates the coordinator.

        Args:
            store: The key-value service.
            prefix: Prefix of all keys of this deployment.
            view: Returns the configuration with the ceilings.
            clock: Times the retries.
            rng: Randomizes the pause after a conflict with another coordinator.
            instance_count: Returns how many instances share the ceilings.
        """
        self._store = store
        self._prefix = f"{prefix}/ceilings/"
        self._view = view
        self._clock = clock
        self._rng = rng
        self._instance_count = instance_count
        self._records_by_key: dict[str, CachedRecord] = {}

    async def on_grant_request(self, sender: str, request: GrantRequest) -> GrantReply:
        """Changes a holder's grant.

        Args:
            sender: The holder's instance.
            request: The grant requested.

        Returns:
            The holder's grant after the request.

        Raises:
            MastickeelError: If the store did not confirm the write; it may have taken effect.
        """
        key = f"{self._prefix}{request.account_id}/{request.period}"
        cached = self._cached_record(key)
        future: asyncio.Future[GrantReply] = asyncio.get_running_loop().create_future()
        cached.pending.append((request, future))
        if not cached.writing:
            await self._write_pending(cached)
        return await future

    async def _write_pending(self, cached: CachedRecord) -> None:
        """Writes batches until no requests are pending."""
        cached.writing = True
        try:
            while cached.pending:
                batch, cached.pending = cached.pending, []
                await self._process_batch(cached, batch)
        finally:
            cached.writing = False
            _fail_requests(cached.pending, "The update of the ceiling was cancelled.")

    async def _process_batch(
        self, cached: CachedRecord, batch: list[tuple[GrantRequest, asyncio.Future[GrantReply]]]
    ) -> None:
        """Applies a batch of requests with one write and sets the replies."""
        try:
            record = await self._update_record(cached, [request for request, _ in batch])
        except MastickeelError as error:
            _fail_requests(batch, error.detail)
            return
        except BaseException:
            _fail_requests(batch, "The update of the ceiling was cancelled.")
            raise
        for request, future in batch:
            if not future.done():
                future.set_result(
                    GrantReply(record.parts_by_holder.get(request.holder, HolderGrant()).granted)
                )

    async def _update_record(
        self, cached: CachedRecord, requests: list[GrantRequest]
    ) -> CeilingRecord:
        """Applies requests to the record in the store; returns the stored record."""
        if cached.record is None:
            await self._read(cached)
        for attempt in range(WRITE_ATTEMPTS):
            current = cached.record or CeilingRecord()
            updated = self._apply_requests(current, requests)
            if updated == current and attempt:
                return current
            if updated == current:
                # Another coordinator may have lowered grants since the record was cached.
                await self._read(cached)
                continue
            if await self._write(cached, updated):
                return updated
            await self._clock.sleep(self._rng.uniform(0, WRITE_PAUSE_MS << attempt))
        raise StoreUnavailableError(f"{cached.key} was changed concurrently at each attempt.")

    def _apply_requests(self, record: CeilingRecord, requests: list[GrantRequest]) -> CeilingRecord:
        """Returns the record after applying each request in order."""
        accounts = self._view().committed.accounts_by_id
        for request in requests:
            account = accounts.get(request.account_id)
            ceiling = account.cost_ceiling if account else 0
            record = apply_grant_request(record, request, ceiling, self._instance_count())
        return record

    async def _write(self, cached: CachedRecord, updated: CeilingRecord) -> bool:
        """Writes a record unless another coordinator changed it; returns whether it was written."""
        unchanged = Compare(cached.key, "MOD", cached.revision)
        put = Put(cached.key, msgspec.json.encode(updated))
        try:
            result = await self._store.txn((unchanged,), (put,), (Get(cached.key),))
        except StoreOutcomeUnknownError:
            cached.record = None
            await self._read(cached)
            return cached.record == updated
        if not result.succeeded:
            self._cache_value(cached, result.found[0] if result.found else None)
            return False
        cached.record, cached.revision = updated, result.revision
        return True

    async def _read(self, cached: CachedRecord) -> None:
        self._cache_value(cached, await self._store.get(cached.key))

    def _cache_value(self, cached: CachedRecord, found: KeyValue | None) -> None:
        """Caches the record found in the store, or an empty record if the key is missing."""
        cached.revision = found.mod_revision if found else 0
        cached.record = decode_json(found.value, CeilingRecord) if found else CeilingRecord()

    def _cached_record(self, key: str) -> CachedRecord:
        """Returns the cache entry of a key; evicts the oldest entry beyond RECORDS_KEPT."""
        cached = self._records_by_key.get(key)
        if cached is None:
            cached = self._records_by_key[key] = CachedRecord(key)
            if len(self._records_by_key) > RECORDS_KEPT:
                oldest = next(iter(self._records_by_key))
                with contextlib.suppress(KeyError):
                    del self._records_by_key[oldest]
        return cached


def _fail_requests(
    pending: list[tuple[GrantRequest, asyncio.Future[GrantReply]]], detail: str
) -> None:
    """Fails requests; whether their write took effect may be unknown."""
    for _, future in pending:
        if not future.done():
            future.set_exception(UnavailableError(detail))

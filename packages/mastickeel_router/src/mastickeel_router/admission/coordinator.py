"""The record of each ceiling in the store, and the keeper that moves it for all instances.

Any member may act as keeper: the record moves by compare-and-swap only, so two keepers at once
cost attempts and grant nothing twice. That the others ask the first by rendezvous hashing keeps
the store's calls few: what is asked while a write is under way goes into the next one.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

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
"""A grant is at most what is left, divided by this and by the number of instances."""
WRITE_ATTEMPTS = 8
WRITE_PAUSE_MS = 20
RECORDS_KEPT = 1_000


@message("admission.grant")
@dataclass(frozen=True)
class GrantRequest:
    """Asks that a holder's part of a ceiling be raised or lowered to an amount."""

    account_id: str
    period: str
    """The length and the number of the period."""
    holder: str
    number: int
    """Numbers the holder's asks, so that one that comes late is passed over."""
    wanted: int
    """Micros: the part that is needed at least, or to which it is lowered."""


@message("admission.granted")
@dataclass(frozen=True)
class GrantReply:
    """The reply: the holder's part now. Less than was wanted means that the ceiling is reached."""

    granted: int
    """Micros."""


@dataclass(frozen=True)
class HolderGrant:
    """What one holder has been granted."""

    granted: int = 0
    """Micros."""
    number: int = 0
    """The last ask that counted."""


@dataclass(frozen=True)
class CeilingRecord:
    """What has been granted of one account's ceiling in one period."""

    parts_by_holder: dict[str, HolderGrant] = field(default_factory=dict)

    @property
    def granted(self) -> int:
        """The sum over all holders, in micros."""
        return sum(part.granted for part in self.parts_by_holder.values())


def apply_grant_request(
    record: CeilingRecord, request: GrantRequest, ceiling: int, instance_count: int
) -> CeilingRecord:
    """Returns a record after an ask; an old ask and one that finds no room change nothing.

    Args:
        record: The record before.
        request: What a holder wants.
        ceiling: The account's ceiling, in micros.
        instance_count: How many instances share it.
    """
    part = record.parts_by_holder.get(request.holder, HolderGrant())
    if request.number <= part.number:
        return record
    granted = request.wanted
    if request.wanted > part.granted:
        left = ceiling - record.granted
        if request.wanted - part.granted > left:
            return record
        generous = part.granted + left // (SHARE_DIVISOR * max(1, instance_count))
        granted = max(request.wanted, generous)
    parts = {**record.parts_by_holder, request.holder: HolderGrant(granted, request.number)}
    return CeilingRecord(parts)


class CachedRecord:
    """One record as the keeper last saw it, and what waits to be written."""

    def __init__(self, key: str) -> None:
        self.key = key
        """Its key in the store."""
        self.record: CeilingRecord | None = None
        """None before the first read."""
        self.revision = 0
        """The key's revision."""
        self.pending: list[tuple[GrantRequest, asyncio.Future[GrantReply]]] = []
        """Asks that go into the next write."""
        self.writing = False
        """Whether a write is under way."""


class CeilingCoordinator:
    """Moves the records of ceilings."""

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
        """Makes the keeper.

        Args:
            store: The key-value service.
            prefix: What all keys of this deployment begin with.
            view: Gives the ceilings.
            clock: Times the attempts.
            rng: Spreads attempts that met another keeper's.
            instance_count: How many instances share the ceilings.
        """
        self._store = store
        self._prefix = f"{prefix}/ceilings/"
        self._view = view
        self._clock = clock
        self._draw = rng
        self._instances = instance_count
        self._records_by_key: dict[str, CachedRecord] = {}

    async def on_grant_request(self, sender: str, request: GrantRequest) -> GrantReply:
        """Moves a holder's part.

        Args:
            sender: The holder's instance.
            request: What it wants.

        Returns:
            Its part now.

        Raises:
            MastickeelError: When the store does not take it; whether it did may be unknown.
        """
        key = f"{self._prefix}{request.account_id}/{request.period}"
        kept = self._kept(key)
        done: asyncio.Future[GrantReply] = asyncio.get_running_loop().create_future()
        kept.pending.append((request, done))
        if not kept.writing:
            await self._write_waiting(kept)
        return await done

    async def _write_waiting(self, kept: CachedRecord) -> None:
        """Writes until nothing waits."""
        kept.writing = True
        try:
            while kept.pending:
                batch, kept.pending = kept.pending, []
                await self._settle(kept, batch)
        finally:
            kept.writing = False
            _refuse(kept.pending, "The keeper stops.")

    async def _settle(
        self, kept: CachedRecord, batch: list[tuple[GrantRequest, asyncio.Future[GrantReply]]]
    ) -> None:
        """Answers a batch of asks with one write."""
        try:
            record = await self._move(kept, [ask for ask, _ in batch])
        except MastickeelError as error:
            _refuse(batch, error.detail)
            return
        except BaseException:
            _refuse(batch, "The keeper stops.")
            raise
        for ask, done in batch:
            if not done.done():
                done.set_result(
                    GrantReply(record.parts_by_holder.get(ask.holder, HolderGrant()).granted)
                )

    async def _move(self, kept: CachedRecord, asks: list[GrantRequest]) -> CeilingRecord:
        """Applies asks to the record; the caller gets it as it is in the store."""
        if kept.record is None:
            await self._read(kept)
        for attempt in range(WRITE_ATTEMPTS):
            before = kept.record or CeilingRecord()
            wanted = self._apply(before, asks)
            if wanted == before and attempt:
                return before
            if wanted == before:
                # Another keeper may have lowered parts meanwhile.
                await self._read(kept)
                continue
            if await self._write(kept, wanted):
                return wanted
            await self._clock.sleep(self._draw.uniform(0, WRITE_PAUSE_MS << attempt))
        raise StoreUnavailableError(f"{kept.key} moved at each attempt.")

    def _apply(self, record: CeilingRecord, asks: list[GrantRequest]) -> CeilingRecord:
        """Applies each ask in turn."""
        accounts = self._view().committed.accounts_by_id
        for ask in asks:
            account = accounts.get(ask.account_id)
            ceiling = account.cost_ceiling if account else 0
            record = apply_grant_request(record, ask, ceiling, self._instances())
        return record

    async def _write(self, kept: CachedRecord, wanted: CeilingRecord) -> bool:
        """Writes a record unless another keeper was faster."""
        unmoved = Compare(kept.key, "MOD", kept.revision)
        put = Put(kept.key, msgspec.json.encode(wanted))
        try:
            result = await self._store.txn((unmoved,), (put,), (Get(kept.key),))
        except StoreOutcomeUnknownError:
            kept.record = None
            await self._read(kept)
            return kept.record == wanted
        if not result.succeeded:
            self._note(kept, result.found[0] if result.found else None)
            return False
        kept.record, kept.revision = wanted, result.revision
        return True

    async def _read(self, kept: CachedRecord) -> None:
        self._note(kept, await self._store.get(kept.key))

    def _note(self, kept: CachedRecord, found: KeyValue | None) -> None:
        """Remembers a record as it is in the store."""
        kept.revision = found.mod_revision if found else 0
        kept.record = (
            msgspec.json.decode(found.value, type=CeilingRecord) if found else CeilingRecord()
        )

    def _kept(self, key: str) -> CachedRecord:
        """Returns the record of a key, forgetting the oldest when there are many."""
        kept = self._records_by_key.get(key)
        if kept is None:
            kept = self._records_by_key[key] = CachedRecord(key)
            if len(self._records_by_key) > RECORDS_KEPT:
                oldest = next(iter(self._records_by_key))
                with contextlib.suppress(KeyError):
                    del self._records_by_key[oldest]
        return kept


def _refuse(waiting: list[tuple[GrantRequest, asyncio.Future[GrantReply]]], why: str) -> None:
    """Refuses asks; whether a write of theirs took effect may be unknown."""
    for _, done in waiting:
        if not done.done():
            done.set_exception(UnavailableError(why))

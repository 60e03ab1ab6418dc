"""Keeps what the store has lost for instances that start before its writers write again.

When the store comes back from an older copy, instances that were running go on with what they
knew. One of them writes that to the store, under a lease, so that an instance that starts meanwhile
does not act on the older copy alone.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec

from mastickeel.decoding import decode_json
from mastickeel.errors import StoreError
from mastickeel.events import define_event
from mastickeel.keyvalue import Compare, Put
from mastickeel.logs import log
from mastickeel.rendezvous import rank
from mastickeel.storeera import KEPT_MS
from mastickeel_router.discovery.feeds import WatchHandler

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from mastickeel._kvtypes import KeyValue
    from mastickeel.clock import Clock
    from mastickeel.storeport import Store
    from mastickeel.tasks import TaskGroup

TURN_MS = 300
"""Time that each instance gives those before it to write: above a slow call and its watch."""
MAX_TURNS = 10
"""Number of turns over which the instances of a large fleet are spread."""

LOST_WRITES_KEPT = define_event(
    2352,
    "lost_writes_kept",
    "info",
    "This instance has written what the store lost, for instances that start now.",
)
LOST_WRITES_NOT_KEPT = define_event(
    2353, "lost_writes_not_kept", "warning", "The store did not take what it had lost."
)
LOST_WRITES_UNREADABLE = define_event(
    2354, "lost_writes_unreadable", "warning", "What another instance has kept is malformed."
)


@dataclass(frozen=True)
class KeptItem:
    """A value of the operator that was in force."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True)
class KeptWrites:
    """What one instance knew when the store came back from an older copy."""

    era: int
    """The era that began when the store lost them."""
    items: tuple[KeptItem, ...]
    ended_starts_by_id: dict[str, int]
    """Start in Unix ms of each endpoint that was draining or gone."""
    replaced: tuple[KeptItem, ...] = ()
    """Values that were replaced or removed shortly before, which the older copy may have."""


class LostWrites:
    """Writes and reads what the store lost when it came back from an older copy."""

    def __init__(
        self,
        store: Store,
        *,
        instance_id: str,
        prefix: str,
        clock: Clock,
        tasks: TaskGroup,
        list_peers: Callable[[], Iterable[str]],
        list_ended: Callable[[], Mapping[str, int]],
        keeps_replaced: Callable[[str], bool],
        apply: Callable[[KeptWrites, bool], None],
    ) -> None:
        """Creates the record without any value.

        Args:
            store: The store.
            instance_id: Id of this instance.
            prefix: Prefix of the fleet's keys.
            clock: Times the turns of the instances.
            tasks: Runs the write.
            list_peers: Returns the ids of the other instances.
            list_ended: Returns the starts of the endpoints that are draining or gone, by id.
            keeps_replaced: Tells by its key whether a value's replaced forms are kept too.
            apply: Applies what another instance has kept; its second argument tells whether the
                operator's and the endpoints' keys are listed after that.
        """
        self.key = f"{prefix}/lost-writes"
        """Key of what is kept."""
        self._store = store
        self._instance_id = instance_id
        self._clock = clock
        self._tasks = tasks
        self._list_peers = list_peers
        self._list_ended = list_ended
        self._keeps_replaced = keeps_replaced
        self._apply = apply
        self._items_by_key: dict[str, KeptItem] = {}
        self._replaced_ms_by_item: dict[KeptItem, int] = {}
        self._removed_keys: set[str] = set()
        """Keys that the operator has removed in this era."""
        self._kept: KeptWrites | None = None
        """The record of this era in the store."""
        self._kept_revision = 0

    def record_value(self, item: KeyValue) -> None:
        """Records a value of the operator that is in force."""
        known = self._items_by_key.get(item.key)
        if known is not None and known.value != item.value:
            self._record_replaced(known)
        self._removed_keys.discard(item.key)
        self._items_by_key[item.key] = KeptItem(item.key, item.value, item.mod_revision)

    def remove_value(self, key: str) -> None:
        """Records that the operator has removed a value, which then is kept no longer."""
        if (known := self._items_by_key.pop(key, None)) is not None:
            self._record_replaced(known)
        self._removed_keys.add(key)
        self._drop_removed()

    def was_written_since(self, item: KeyValue) -> bool:
        """Returns whether an item was certainly written after the store came back."""
        return self._kept is not None and item.mod_revision > self._kept_revision

    def begin_era(self) -> None:
        """Writes what is in force when it is this instance's turn, unless another one has."""
        era = self._store.era.number
        assert era is not None
        now = self._clock.now()
        replaced = (
            item
            for item, replaced_ms in self._replaced_ms_by_item.items()
            if now - replaced_ms < KEPT_MS
        )
        items = tuple(self._items_by_key.values())
        kept = KeptWrites(era, items, dict(self._list_ended()), tuple(replaced))
        self._removed_keys.clear()
        self._kept = None
        self._kept_revision = 0
        self._tasks.start(self._write_in_turn(lambda: kept if self._kept is None else None))

    def handler(self) -> WatchHandler:
        """Returns the handler of the key."""

        def on_list(items: tuple[KeyValue, ...], revision: int) -> None:
            for item in items:
                self._read(item, is_listed=True)

        def on_put(item: KeyValue) -> None:
            self._read(item, is_listed=False)

        return WatchHandler(on_list, on_put, lambda key, revision: None, on_new_era=self.begin_era)

    def _read(self, item: KeyValue, *, is_listed: bool) -> None:
        """Applies what another instance has kept in this era."""
        self._kept_revision = item.mod_revision
        self._kept = None
        try:
            kept = decode_json(item.value, KeptWrites)
        except msgspec.MsgspecError as error:
            log(LOST_WRITES_UNREADABLE, key=item.key, error=str(error))
            return
        if kept.era != self._store.era.number:
            return
        self._kept = kept
        self._apply(self._without_removed(kept), is_listed)
        self._drop_removed()

    def _record_replaced(self, item: KeptItem) -> None:
        """Remembers a value that was replaced or removed, and forgets those of long ago."""
        if not self._keeps_replaced(item.key):
            return
        now = self._clock.now()
        for known, replaced_ms in list(self._replaced_ms_by_item.items()):
            if now - replaced_ms >= KEPT_MS:
                del self._replaced_ms_by_item[known]
        self._replaced_ms_by_item[item] = now

    def _without_removed(self, kept: KeptWrites) -> KeptWrites:
        """Returns what is kept without the values that the operator has removed since."""
        items = tuple(item for item in kept.items if item.key not in self._removed_keys)
        return replace(kept, items=items)

    def _drop_removed(self) -> None:
        """Writes the record anew if it has values that the operator has removed since."""

        def make_record() -> KeptWrites | None:
            if self._kept is None or self._without_removed(self._kept) == self._kept:
                return None
            return self._without_removed(self._kept)

        if make_record() is not None:
            self._tasks.start(self._write_in_turn(make_record))

    async def _write_in_turn(self, make_record: Callable[[], KeptWrites | None]) -> None:
        """Writes a record after the instances that come first have had their turn.

        Args:
            make_record: Returns the record; None if it is no longer needed.
        """
        ids = {self._instance_id, *self._list_peers()}
        turn = rank(self.key, ids).index(self._instance_id) % MAX_TURNS
        await self._clock.sleep(turn * TURN_MS)
        if (kept := make_record()) is None:
            return
        kept = self._without_removed(kept)
        try:
            lease = await self._store.grant(KEPT_MS // 1_000)
            unchanged = Compare(self.key, "MOD", self._kept_revision)
            put = Put(self.key, msgspec.json.encode(kept), lease)
            result = await self._store.txn((unchanged,), (put,))
        except StoreError as error:
            log(LOST_WRITES_NOT_KEPT, error=str(error))
            return
        if result.succeeded:
            log(LOST_WRITES_KEPT, era=kept.era, items=len(kept.items))

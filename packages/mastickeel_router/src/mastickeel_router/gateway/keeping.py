"""Keeps what the store has lost for instances that start before its writers write again.

When the store comes back from an older copy, instances that were running go on with what they
knew. One of them writes that to the store, under a lease, so that an instance that starts meanwhile
does not act on the older copy alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from mastickeel.decoding import decode_json
from mastickeel.errors import StoreError
from mastickeel.events import define_event
from mastickeel.keyvalue import Compare, Put
from mastickeel.logs import log
from mastickeel.rendezvous import rank
from mastickeel_router.discovery.feeds import WatchHandler

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from mastickeel._kvtypes import KeyValue
    from mastickeel.clock import Clock
    from mastickeel.storeport import Store
    from mastickeel.tasks import TaskGroup

KEEP_SECONDS = 60
"""Lease of what is kept: the operator and the endpoints have written again long before its end."""
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
        self._apply = apply
        self._items_by_key: dict[str, KeptItem] = {}
        self._kept_era = 0
        self._kept_revision = 0

    def record_value(self, item: KeyValue) -> None:
        """Records a value of the operator that is in force."""
        self._items_by_key[item.key] = KeptItem(item.key, item.value, item.mod_revision)

    def remove_value(self, key: str) -> None:
        """Records that the operator has removed a value."""
        self._items_by_key.pop(key, None)

    def begin_era(self) -> None:
        """Writes what is in force when it is this instance's turn, unless another one has."""
        era = self._store.era.number
        assert era is not None
        kept = KeptWrites(era, tuple(self._items_by_key.values()), dict(self._list_ended()))
        self._kept_revision = 0
        self._tasks.start(self._keep(kept))

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
        try:
            kept = decode_json(item.value, KeptWrites)
        except msgspec.MsgspecError as error:
            log(LOST_WRITES_UNREADABLE, key=item.key, error=str(error))
            return
        if kept.era == self._store.era.number:
            self._kept_era = kept.era
            self._apply(kept, is_listed)

    async def _keep(self, kept: KeptWrites) -> None:
        """Writes what is in force, after the instances that come first have had their turn."""
        ids = {self._instance_id, *self._list_peers()}
        turn = rank(self.key, ids).index(self._instance_id) % MAX_TURNS
        await self._clock.sleep(turn * TURN_MS)
        if self._kept_era >= kept.era:
            return
        try:
            lease = await self._store.grant(KEEP_SECONDS)
            unchanged = Compare(self.key, "MOD", self._kept_revision)
            put = Put(self.key, msgspec.json.encode(kept), lease)
            result = await self._store.txn((unchanged,), (put,))
        except StoreError as error:
            log(LOST_WRITES_NOT_KEPT, error=str(error))
            return
        if result.succeeded:
            log(LOST_WRITES_KEPT, era=kept.era, items=len(kept.items))

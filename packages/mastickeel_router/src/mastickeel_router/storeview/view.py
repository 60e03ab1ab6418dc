"""View of the store: the newest value of each followed key, whichever way it arrived.

Changes arrive by the instance's own watch and from peers that have read them, so that the same
change may come twice, or an older one after a newer one. The view passes each change on once, and
never goes back for a key.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel_router.discovery.feeds import OutageEnd, WatchHandler
from mastickeel_router.storeview.history import ValueHistory, is_large

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel._kvtypes import KeyValue
    from mastickeel.clock import Clock
    from mastickeel.storeera import StoreEra

OUTAGE_RELEVANT_MS = 5_000
"""Time after an outage of the store in which keys may be removed because of it."""
OUTAGE_STEP_MS = 250
"""Difference up to which two ends of an outage, as peers tell them, are those of one outage."""
PEER_CONTACT_MS = 2_500
"""Time for which an answer of the store to a peer shows that the store serves others: above the
time that a watch waits for changes."""
MAX_REMOVALS = 1_024
"""Maximum number of removed keys that are remembered for peers; older ones need a whole copy."""

CHANGES_FROM_PEER = define_event(
    2312,
    "changes_from_peer",
    "info",
    "Changes of the store arrived from another instance before this instance's own watch.",
)


@dataclass(frozen=True)
class Removal:
    """A key that was removed."""

    key: str
    revision: int
    """Revision of the removal, or a later one."""


@dataclass(frozen=True)
class MissingValue:
    """A large value that a peer has named and not sent."""

    key: str
    revision: int


@dataclass(frozen=True)
class Changes:
    """Changes of the shared keys up to a revision."""

    era: int
    revision: int
    """All changes up to this revision are included."""
    items: tuple[KeyValue, ...] = ()
    removals: tuple[Removal, ...] = ()
    is_whole: bool = False
    """Whether these are all keys, so that a key that is missing was removed."""
    covers_all: bool = True
    """Whether keys of all kinds are included; older versions of the program leave some out."""
    kept_keys: tuple[str, ...] = ()
    """Keys whose values are not among the items as they are older, if these are all keys."""
    missing: tuple[MissingValue, ...] = ()
    """Large values that have to be requested apart."""


@dataclass(frozen=True)
class _Seen:
    """What is known beyond the revision up to which all changes are known."""

    revision: int
    """Revision up to which all changes are known but those of the missing values."""
    confirmed_ms: int
    """Time at which these were all changes."""
    missing_revisions_by_key: dict[str, int]


class StoreView:
    """The newest known values of the keys that instances share, and how old this knowledge is."""

    def __init__(
        self,
        handler: WatchHandler,
        clock: Clock,
        era: StoreEra,
        is_shared: Callable[[str], bool] = lambda key: True,
    ) -> None:
        """Creates a view without any key.

        Args:
            handler: Receives the keys and the changes, each once and in order for a key.
            clock: Clock for the age of the knowledge.
            era: The store's era.
            is_shared: Tells by key whether the instances tell each other about it.
        """
        self.revision = 0
        """Revision up to which all changes of shared keys are known; 0 before the first list."""
        self.era = 0
        """Era of the store in which the revision counts; 0 if the store names none."""
        self.on_progress: list[Callable[[], None]] = []
        """Callbacks for each change of a shared key that was read from the store."""
        self.on_answer: list[Callable[[], None]] = []
        """Callbacks for each answer of the store, with or without changes."""
        self._handler = handler
        self._clock = clock
        self._store_era = era
        self._is_shared = is_shared
        self._items_by_key: dict[str, KeyValue] = {}
        self._removals_by_key: dict[str, Removal] = {}
        self.history = ValueHistory()
        """Earlier values of large keys."""
        self._seen: _Seen | None = None
        self._complete_since = 0
        """Revision after which no removal is missing."""
        self._confirmed_ms: int | None = None
        self._is_down = False
        self._outage_began_ms = 0
        self._peer_contact_ms = 0
        """Newest known time at which the store answered a peer that had seen no outage."""
        self._outage_end: OutageEnd | None = None

    def handler(self) -> WatchHandler:
        """Returns the handler for the instance's own watch."""
        return WatchHandler(
            self._apply_list,
            self._apply_put,
            self._apply_delete,
            self._begin_outage,
            self._end_outage,
            self._begin_era,
            self._record_answer,
        )

    def age_ms(self) -> int | None:
        """Returns the age of the knowledge: what was acknowledged before that time is known."""
        return None if self._confirmed_ms is None else self._clock.now() - self._confirmed_ms

    def outage_age_ms(self) -> int | None:
        """Returns the time since the newest outage of the store, 0 while it lasts; None for none.

        An outage is known from the own calls or from peers. One of this instance alone is none:
        the store has removed nothing because of it.
        """
        if self._is_down:
            return None if self._is_alone_in_outage else 0
        if self._outage_end is None:
            return None
        age_ms = self._clock.now() - self._outage_end.at_ms
        return age_ms if age_ms <= OUTAGE_RELEVANT_MS else None

    @property
    def is_outage_certain(self) -> bool:
        """Whether more than one call failed in the newest outage."""
        return self._is_down or (self._outage_end is not None and self._outage_end.is_certain)

    def forget_confirmation(self) -> None:
        """Records that the age of the knowledge is not known until the store or a peer replies."""
        self._confirmed_ms = None

    @property
    def seen_revision(self) -> int:
        """Revision up to which all changes are known but those of the missing values."""
        return self._seen.revision if self._seen else self.revision

    @property
    def missing_revisions_by_key(self) -> dict[str, int]:
        """Revisions of the large values that peers have named and not sent."""
        return self._seen.missing_revisions_by_key if self._seen else {}

    def get(self, key: str) -> KeyValue | None:
        """Returns a key's item; None if it is not known."""
        return self._items_by_key.get(key)

    def find_value(self, key: str, revision: int) -> bytes | None:
        """Returns the value that a key had from a revision on; None if it is not known."""
        item = self._items_by_key.get(key)
        if item is None or item.mod_revision == revision:
            return None if item is None else item.value
        return self.history.find(item, revision)

    def changes_after(self, revision: int, seen_revision: int) -> Changes:
        """Returns the changes after a revision, without those that have been seen.

        Args:
            revision: Revision up to which the asking instance knows all changes.
            seen_revision: Revision up to which it knows all changes of small values too.
        """
        is_whole = seen_revision < self._complete_since
        items, kept_keys = [], []
        for item in self._items_by_key.values():
            if item.mod_revision > (revision if is_large(item) else seen_revision):
                items.append(item)
            elif is_whole:
                kept_keys.append(item.key)
        removals = tuple(
            one for one in self._removals_by_key.values() if one.revision > seen_revision
        )
        return Changes(
            self.era, self.revision, tuple(items), removals, is_whole, kept_keys=tuple(kept_keys)
        )

    def changes_since(self, revision: int) -> Changes:
        """Returns the changes of shared keys after a revision, or all keys if some are not known.

        Args:
            revision: Revision up to which the asking instance knows all changes.
        """
        is_whole = revision < self._complete_since
        after = 0 if is_whole else revision
        items = [item for item in self._items_by_key.values() if item.mod_revision > after]
        removals = [one for one in self._removals_by_key.values() if one.revision > after]
        return Changes(self.era, self.revision, tuple(items), tuple(removals), is_whole)

    def record_peer_outage(self, end: OutageEnd) -> None:
        """Records an outage of the store that peers have seen, before the changes since then.

        Args:
            end: Its end; at the present time while it lasts.
        """
        known = self._outage_end
        if known is None or end.at_ms > known.at_ms + OUTAGE_STEP_MS:
            self._outage_end = end
            self._handler.on_outage()
            self._handler.on_recovery(end)

    def record_peer_contact(self, at_ms: int) -> None:
        """Records that the store answered a peer that has seen no outage.

        Args:
            at_ms: Clock time of the answer.
        """
        self._peer_contact_ms = max(self._peer_contact_ms, at_ms)

    @property
    def _is_alone_in_outage(self) -> bool:
        """Whether the store answers peers while it does not answer this instance."""
        since_ms = max(self._outage_began_ms + OUTAGE_STEP_MS, self._clock.now() - PEER_CONTACT_MS)
        return self._peer_contact_ms > since_ms

    def apply_peer_changes(
        self, peer: str, changes: Changes, age_ms: int, took_ms: int = 0, size: int = 0
    ) -> None:
        """Applies changes that another instance has read.

        All but the missing values are in force at once; the view's revision and age follow once
        these are known.

        Args:
            peer: Id of the instance, for the log.
            changes: The changes since this view's revision.
            age_ms: Age of the other instance's knowledge.
            took_ms: Time from the request for the changes to its reply, for the log.
            size: Bytes of the values as they were sent, for the log.
        """
        confirmed_ms = self._clock.now() - age_ms
        if not self.revision or changes.era != self.era:
            # The first list of an era comes from the store, as not all keys are shared.
            return
        if changes.revision > self.revision:
            self._apply_newer(changes)
            missing = self._list_missing({value.key: value.revision for value in changes.missing})
            log(
                CHANGES_FROM_PEER,
                peer=peer,
                revision=changes.revision,
                age_ms=age_ms,
                took_ms=took_ms,
                bytes=size,
                missing=len(missing),
            )
            if missing:
                if changes.revision >= self.seen_revision:
                    self._seen = _Seen(changes.revision, confirmed_ms, missing)
                return
            if changes.covers_all:
                self.revision = changes.revision
                self._settle_seen()
        self._record_confirmation(confirmed_ms)

    def apply_peer_value(self, item: KeyValue) -> None:
        """Applies a large value that another instance has sent."""
        if self._is_news(item.key, item.mod_revision):
            self._record_item(item)
            self._handler.on_put(item)
        self._settle_seen()

    def _settle_seen(self) -> None:
        """Moves the revision on to what was seen once no value of it is missing."""
        seen = self._seen
        if seen is None:
            return
        missing = self._list_missing(seen.missing_revisions_by_key)
        if self.revision >= seen.revision:
            self._seen = None
        elif missing:
            self._seen = _Seen(seen.revision, seen.confirmed_ms, missing)
        else:
            self._seen = None
            self.revision = seen.revision
            self._record_confirmation(seen.confirmed_ms)

    def _list_missing(self, revisions_by_key: dict[str, int]) -> dict[str, int]:
        """Returns those of some values that are not known, nor later changes of their keys."""
        return {
            key: revision
            for key, revision in revisions_by_key.items()
            if revision > self._newest_revision(key)
        }

    def _apply_newer(self, changes: Changes) -> None:
        """Applies the changes after this view's revision."""
        removals = list(changes.removals)
        if changes.is_whole and changes.covers_all:
            present = {item.key for item in changes.items} | set(changes.kept_keys)
            present.update(value.key for value in changes.missing)
            missing = [key for key in self._items_by_key if key not in present]
            removals += [Removal(key, changes.revision) for key in missing]
            self._complete_since = max(self._complete_since, changes.revision)
        for removal in removals:
            if not self._is_news(removal.key, removal.revision):
                continue
            # Also of keys that were written and removed since, as by the own watch.
            self._record_removal(removal)
            self._handler.on_delete(removal.key, removal.revision)
        for item in changes.items:
            if self._is_shared(item.key) and self._is_news(item.key, item.mod_revision):
                self._record_item(item)
                self._handler.on_put(item)

    def _begin_outage(self) -> None:
        self._is_down = True
        self._outage_began_ms = self._clock.now()
        self._handler.on_outage()

    def _end_outage(self, end: OutageEnd) -> None:
        self._is_down = False
        if not self._is_alone_in_outage:
            self._outage_end = end
        self._handler.on_recovery(end)

    def _apply_list(self, items: tuple[KeyValue, ...], revision: int) -> None:
        """Applies a list of all keys; shared keys that are known from a later revision are kept."""
        self.era = self._store_era.number or 0
        items = self._merge_list(items, revision)
        listed = {item.key for item in items}
        for key in self._items_by_key.keys() - listed:
            last_known = self._items_by_key[key].mod_revision
            self._record_removal(Removal(key, max(revision, last_known)))
        for item in items:
            if self._is_shared(item.key):
                self._record_item(item)
        # Keys that were written and removed since the last list are in neither of the lists.
        self._complete_since = max(self._complete_since, revision)
        self._handler.on_list(items, revision)
        self._record_answer(revision)

    def _merge_list(self, items: tuple[KeyValue, ...], revision: int) -> tuple[KeyValue, ...]:
        """Returns a list of all keys with what is known from after its revision."""
        is_older = revision < self.seen_revision
        listed = {item.key for item in items}
        removed = self.missing_revisions_by_key.keys() - listed
        merged = {
            item.key: item
            for item in items
            if (self._is_news(item.key, item.mod_revision) if is_older else self._is_present(item))
        }
        for key, known in self._items_by_key.items():
            is_kept = known.mod_revision > revision or (is_older and key not in removed)
            if is_kept and (key not in merged or merged[key].mod_revision < known.mod_revision):
                merged[key] = known
        return tuple(merged.values())

    def _is_present(self, item: KeyValue) -> bool:
        """Returns whether an item is not known to have been removed since it was written."""
        removal = self._removals_by_key.get(item.key)
        return removal is None or removal.revision < item.mod_revision

    def _apply_put(self, item: KeyValue) -> None:
        if not self._is_news(item.key, item.mod_revision):
            return
        if self._is_shared(item.key):
            self._record_item(item)
            self._notify_progress()
        self._handler.on_put(item)

    def _apply_delete(self, key: str, revision: int) -> None:
        if not self._is_news(key, revision):
            return
        if self._is_shared(key):
            self._record_removal(Removal(key, revision))
            self._notify_progress()
        self._handler.on_delete(key, revision)

    def _is_news(self, key: str, revision: int) -> bool:
        """Returns whether a change has not been passed on yet, nor a later one of its key."""
        return not self._is_shared(key) or revision > self._newest_revision(key)

    def _newest_revision(self, key: str) -> int:
        """Returns the revision up to which all changes of a key are known."""
        known, removal = self._items_by_key.get(key), self._removals_by_key.get(key)
        is_missing = key in self.missing_revisions_by_key
        return max(
            self.revision if is_missing else self.seen_revision,
            known.mod_revision if known else 0,
            removal.revision if removal else 0,
        )

    def _begin_era(self) -> None:
        """Forgets the revisions, which the store gives out again."""
        self.revision = self._complete_since = 0
        self._items_by_key.clear()
        self._removals_by_key.clear()
        self.history.clear()
        self._seen = None
        self._handler.on_new_era()

    def _record_answer(self, revision: int) -> None:
        """Records that the store has answered, and all changes up to a revision are known."""
        self.revision = max(self.revision, revision)
        self._settle_seen()
        self._record_confirmation(self._clock.now())
        for notify in self.on_answer:
            notify()

    def _record_confirmation(self, at_ms: int) -> None:
        self._confirmed_ms = max(self._confirmed_ms or at_ms, at_ms)

    def _notify_progress(self) -> None:
        for notify in self.on_progress:
            notify()

    def _record_item(self, item: KeyValue) -> None:
        self._removals_by_key.pop(item.key, None)
        known = self._items_by_key.get(item.key)
        if known is not None and known.mod_revision < item.mod_revision:
            self.history.record(known, item)
        self._items_by_key[item.key] = item

    def _record_removal(self, removal: Removal) -> None:
        self._items_by_key.pop(removal.key, None)
        self.history.remove(removal.key)
        self._removals_by_key.pop(removal.key, None)
        self._removals_by_key[removal.key] = removal
        if len(self._removals_by_key) > MAX_REMOVALS:
            dropped = self._removals_by_key.pop(next(iter(self._removals_by_key)))
            self._complete_since = max(self._complete_since, dropped.revision)

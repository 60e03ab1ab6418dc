"""Knowledge that arrives in several ways goes back, is lost, or is passed on twice."""

from __future__ import annotations

import unittest
from collections import defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mastickeel._kvtypes import KeyValue
from mastickeel.clock import FakeClock
from mastickeel.storeera import StoreEra
from mastickeel_router.discovery.feeds import WatchHandler
from mastickeel_router.storeview import view as view_module
from mastickeel_router.storeview.history import LARGE_VALUE_BYTES
from mastickeel_router.storeview.view import Changes, MissingValue, StoreView

if TYPE_CHECKING:
    from collections.abc import Iterable

KEYS = st.sampled_from(["shared/a", "shared/b", "shared/c", "own/a"])
VIEWS = st.integers(0, 2)
MAX_REMOVALS = 2


class Listener:
    """What a view has passed on."""

    def __init__(self) -> None:
        self.revisions_by_key: dict[str, int] = {}
        self.seen_by_key: dict[str, list[int]] = defaultdict(list)
        self.lists = 0

    def handler(self) -> WatchHandler:
        return WatchHandler(self._list, self._put, self._delete, on_new_era=self._begin_era)

    def _list(self, items: Iterable[KeyValue], revision: int) -> None:
        items = list(items)
        assert len({item.key for item in items}) == len(items)
        self.lists += 1
        self.revisions_by_key = {}
        for item in items:
            assert item.mod_revision >= max(self.seen_by_key[item.key], default=0)
            self.seen_by_key[item.key].append(item.mod_revision)
            self.revisions_by_key[item.key] = item.mod_revision

    def _put(self, item: KeyValue) -> None:
        # Keys that are not shared may come again after a list that was newer than it said.
        is_new = item.mod_revision > max(self.seen_by_key[item.key], default=0)
        assert is_new or item.key.startswith("own/")
        self.seen_by_key[item.key].append(item.mod_revision)
        self.revisions_by_key[item.key] = item.mod_revision

    def _delete(self, key: str, revision: int) -> None:
        assert revision > max(self.seen_by_key[key], default=0) or key.startswith("own/")
        self.revisions_by_key.pop(key, None)

    def _begin_era(self) -> None:
        self.seen_by_key.clear()


class ViewMachine(RuleBasedStateMachine):
    """A store, and three views that read it at their own pace and tell each other."""

    @initialize()
    def start(self) -> None:
        self.clock, self.era = FakeClock(), StoreEra()
        self.era.observe(1)
        self.revision = 10
        self.items: dict[str, KeyValue] = {}
        self.history: list[tuple[int, str, KeyValue | None]] = []
        self.listeners = [Listener() for _ in range(3)]
        self.views = [
            StoreView(one.handler(), self.clock, self.era, lambda key: key.startswith("shared/"))
            for one in self.listeners
        ]
        self.read_until = [0, 0, 0]
        self.listed_at = [0, 0, 0]
        for number in range(3):
            self.list_all(number)

    @rule(key=KEYS, is_large=st.booleans())
    def write(self, key: str, is_large: bool) -> None:
        self.revision += 1
        value = b"x" * (LARGE_VALUE_BYTES if is_large else 1)
        self.items[key] = KeyValue(key, value, self.revision, 0, 0)
        self.history.append((self.revision, key, self.items[key]))

    @rule(key=KEYS)
    def remove(self, key: str) -> None:
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append((self.revision, key, None))

    @rule(number=VIEWS)
    def list_all(self, number: int) -> None:
        self.views[number].handler().on_list(tuple(self.items.values()), self.revision)
        self.read_until[number] = self.revision

    @rule(number=VIEWS, count=st.integers(1, 3))
    def watch(self, number: int, count: int) -> None:
        handler = self.views[number].handler()
        pending = [one for one in self.history if one[0] > self.read_until[number]][:count]
        for revision, key, item in pending:
            if item is None:
                handler.on_delete(key, revision)
            else:
                handler.on_put(item)
            handler.on_answer(revision)
            self.read_until[number] = revision

    @rule(asking=VIEWS, asked=VIEWS, age_ms=st.integers(0, 5_000))
    def tell(self, asking: int, asked: int, age_ms: int) -> None:
        changes = self.views[asked].changes_since(self.views[asking].revision)
        self.views[asking].apply_peer_changes("peer", changes, age_ms)

    @rule(asking=VIEWS, asked=VIEWS, data=st.data())
    def tell_small_first(self, asking: int, asked: int, data: st.DataObject) -> None:
        """Some large values are named only; they are requested apart."""
        view = self.views[asking]
        changes = self.views[asked].changes_after(view.revision, view.seen_revision)
        large = {item.key for item in changes.items if len(item.value) >= LARGE_VALUE_BYTES}
        left_out = data.draw(st.sets(st.sampled_from(sorted(large)))) if large else set()
        items = tuple(item for item in changes.items if item.key not in left_out)
        missing = tuple(
            MissingValue(item.key, item.mod_revision)
            for item in changes.items
            if item.key in left_out
        )
        view.apply_peer_changes("peer", replace(changes, items=items, missing=missing), 0)

    @rule(asking=VIEWS, asked=VIEWS)
    def send_missing(self, asking: int, asked: int) -> None:
        view = self.views[asking]
        for key in list(view.missing_revisions_by_key):
            if (item := self.views[asked].get(key)) is not None:
                view.apply_peer_value(item)

    @rule(number=VIEWS, data=st.data())
    def list_older_pages(self, number: int, data: st.DataObject) -> None:
        """A list that names an earlier revision than the view has from its peers."""
        handler = self.views[number].handler()
        named = data.draw(st.integers(self.read_until[number], self.revision))
        handler.on_list(tuple(self.items.values()), named)
        self.read_until[number] = named
        self.listed_at[number] = self.revision

    @rule(number=VIEWS, data=st.data())
    def read_earlier_list(self, number: int, data: st.DataObject) -> None:
        """A list that was under way while peers told of later changes."""
        oldest = max(self.read_until[number], self.listed_at[number])
        read = data.draw(st.integers(oldest, self.revision))
        items: dict[str, KeyValue] = {}
        for revision, key, item in self.history:
            if revision <= read:
                items.pop(key, None)
                if item is not None:
                    items[key] = item
        self.views[number].handler().on_list(tuple(items.values()), read)
        self.read_until[number] = self.listed_at[number] = read

    @invariant()
    def what_is_known_up_to_a_revision_is_what_the_store_had(self) -> None:
        for view, listener in zip(getattr(self, "views", []), self.listeners, strict=False):
            present: dict[str, int] = {}
            for revision, key, item in self.history:
                if key.startswith("shared/") and revision <= view.revision:
                    present.pop(key, None)
                    if item is not None:
                        present[key] = revision
            known = {
                key: revision
                for key, revision in listener.revisions_by_key.items()
                if key.startswith("shared/") and revision <= view.revision
            }
            later = {key for revision, key, _ in self.history if revision > view.revision}
            for key, revision in present.items():
                assert known.get(key) == revision or key in later, (key, known, present)
            assert not known.keys() - present.keys(), (known, present)

    def teardown(self) -> None:
        for number, listener in enumerate(getattr(self, "listeners", ())):
            self.watch(number, len(self.history) + 1)
            expected = {key: item.mod_revision for key, item in self.items.items()}
            assert listener.revisions_by_key == expected, (listener.revisions_by_key, expected)


ViewMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=30, deadline=None, derandomize=True
)


class ViewPropertyTest(ViewMachine.TestCase):
    """Runs the machine with room for two removed keys only."""

    def setUp(self) -> None:
        super().setUp()
        before, view_module.MAX_REMOVALS = view_module.MAX_REMOVALS, MAX_REMOVALS
        self.addCleanup(setattr, view_module, "MAX_REMOVALS", before)


class ViewTest(unittest.IsolatedAsyncioTestCase):
    async def test_age_is_that_of_the_newest_of_own_watch_and_peers(self) -> None:
        clock, era = FakeClock(), StoreEra()
        views = [StoreView(Listener().handler(), clock, era, lambda key: True) for _ in range(2)]
        self.assertIsNone(views[0].age_ms())
        views[0].apply_peer_changes("peer", views[1].changes_since(0), 0)
        self.assertIsNone(views[0].age_ms())
        for view in views:
            view.handler().on_list((), 10)
        await clock.advance(5_000)
        views[0].apply_peer_changes("peer", views[1].changes_since(10), 1_500)
        self.assertEqual(views[0].age_ms(), 1_500)
        views[0].apply_peer_changes("peer", views[1].changes_since(10), 3_000)
        self.assertEqual(views[0].age_ms(), 1_500)

    async def test_removal_of_a_key_that_only_the_third_view_knew_reaches_it(self) -> None:
        clock, era = FakeClock(), StoreEra()
        listener = Listener()
        first, second = (
            StoreView(Listener().handler(), clock, era, lambda key: True) for _ in range(2)
        )
        third = StoreView(listener.handler(), clock, era, lambda key: True)
        for view in (first, second, third):
            view.handler().on_list((), 10)
        for view in (first, third):
            view.handler().on_put(KeyValue("a", b"1", 11, 11, 0))
            view.handler().on_answer(11)
        first.handler().on_delete("a", 12)
        first.handler().on_answer(12)
        second.apply_peer_changes("first", first.changes_since(second.revision), 0)
        third.apply_peer_changes("second", second.changes_since(third.revision), 0)
        self.assertEqual(listener.revisions_by_key, {})

    async def test_changes_of_another_era_are_not_applied(self) -> None:
        clock, era = FakeClock(), StoreEra()
        old, new = (StoreView(Listener().handler(), clock, era, lambda key: True) for _ in range(2))
        old.handler().on_list((), 50)
        era.observe(2)
        new.handler().on_list((KeyValue("a", b"1", 20, 20, 0),), 20)
        new.apply_peer_changes("peer", old.changes_since(20), 0)
        old.apply_peer_changes("peer", new.changes_since(0), 0)
        self.assertEqual((new.revision, old.revision), (20, 50))

    def test_reply_of_an_older_version_hides_the_keys_that_it_leaves_out(self) -> None:
        clock, era = FakeClock(), StoreEra()
        era.observe(1)
        listener = Listener()
        view = StoreView(listener.handler(), clock, era)
        view.handler().on_list((), 10)
        routes = KeyValue("shared/a", b"", 12, 12, 0)
        view.apply_peer_changes("old", Changes(1, 12, (routes,), covers_all=False), 0)
        self.assertEqual((view.revision, listener.revisions_by_key), (10, {"shared/a": 12}))
        view.handler().on_put(KeyValue("other/a", b"", 11, 11, 0))
        self.assertIn("other/a", listener.revisions_by_key)


if __name__ == "__main__":
    unittest.main()

"""Large values go on from where they are, whoever sends them; what was replaced is not sent."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel._kvtypes import KeyValue
from mastickeel.clock import FakeClock
from mastickeel.peers import PeerTimeoutError
from mastickeel.storeera import StoreEra
from mastickeel.tasks import TaskGroup
from mastickeel_router.discovery.feeds import WatchHandler
from mastickeel_router.storeview.contents import ContentCache
from mastickeel_router.storeview.messages import (
    ChangesReply,
    ChangesRequest,
    encode_large_items,
    pack_changes,
    read_changes,
)
from mastickeel_router.storeview.transfers import (
    PART_BYTES,
    PART_TIMEOUT_MS,
    RETRY_DELAY_MS,
    ValueReply,
    ValueRequest,
    ValueServer,
    ValueTransfers,
)
from mastickeel_router.storeview.view import Changes, MissingValue, StoreView

if TYPE_CHECKING:
    from collections.abc import Callable

KEY = "routes/all"
SIZE = 100_000


def make_item(revision: int, value: bytes, key: str = KEY) -> KeyValue:
    return KeyValue(key, value, revision, 11, 0)


class Peers:
    """Stands in for the link of the instance that receives, with a server at each peer."""

    def __init__(self, clock: FakeClock) -> None:
        self.answers_by_peer: dict[str, Callable[[str, ValueRequest], Any]] = {}
        self.requests: list[tuple[str, ValueRequest]] = []
        self.received_bytes = 0
        self.lost_after: dict[str, int] = {}
        self.reconnected: list[str] = []
        self._clock = clock

    def server_link(self, peer: str) -> Any:
        """Returns what a server registers its handler with."""
        owner = self

        class ServerLink:
            def register_handler(self, kind: type[Any], handler: Any) -> None:
                owner.answers_by_peer[peer] = handler

        return ServerLink()

    async def request(self, peer: str, content: Any, reply_type: Any, timeout_ms: float) -> Any:
        self.requests.append((peer, content))
        await self._clock.sleep(1)
        if self.lost_after.setdefault(peer, 1_000) == 0:
            await self._clock.sleep(timeout_ms)
            raise PeerTimeoutError(peer)
        self.lost_after[peer] -= 1
        reply = await self.answers_by_peer[peer]("own", content)
        self.received_bytes += len(reply.data)
        return reply

    def reconnect(self, peer: str) -> None:
        self.reconnected.append(peer)


class TransferTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock, self.era = FakeClock(), StoreEra()
        self.era.observe(1)
        self.peers = Peers(self.clock)
        self.tasks = TaskGroup()
        self.addAsyncCleanup(self.tasks.stop)
        self.own = self.make_view()
        self.views = {name: self.make_view() for name in ("a", "b", "c")}
        for name, view in self.views.items():
            ValueServer(view, ContentCache(view), self.peers.server_link(name))
        self.suspected: set[str] = set()
        self.transfers = ValueTransfers(
            self.own,
            link=self.peers,  # type: ignore[arg-type]
            clock=self.clock,
            tasks=self.tasks,
            choose_peer=self.choose,
            on_failure=self.suspected.add,
            on_value=lambda peer: None,
        )

    def make_view(self) -> StoreView:
        handler = WatchHandler(lambda *_: None, lambda *_: None, lambda *_: None)
        view = StoreView(handler, self.clock, self.era)
        view.handler().on_list((), 10)
        return view

    def choose(self, present: str) -> str | None:
        usable = [one for one in (present, *self.views) if one not in self.suspected]
        return usable[0] if usable else None

    def write(self, revision: int, value: bytes, *names: str) -> None:
        for name in names or self.views:
            handler = self.views[name].handler()
            handler.on_put(make_item(revision, value))
            handler.on_answer(revision)

    def name_value(self, revision: int) -> None:
        """Tells the own instance of a value, as a reply to its request for changes does."""
        changes = Changes(1, revision, missing=(MissingValue(KEY, revision),))
        self.own.apply_peer_changes("a", changes, 0)
        self.transfers.start("a")

    def value(self) -> bytes:
        item = self.own.get(KEY)
        return item.value if item is not None else b""

    async def test_value_arrives_in_parts_and_then_the_age_counts(self) -> None:
        value = random.Random(1).randbytes(SIZE)
        self.write(11, value)
        self.name_value(11)
        self.assertEqual((self.own.revision, self.own.seen_revision), (10, 11))
        await self.clock.advance(50)
        self.assertEqual(self.value(), value)
        self.assertEqual((self.own.revision, self.own.missing_revisions_by_key), (11, {}))
        self.assertEqual(len(self.peers.requests), -(-SIZE // PART_BYTES))

    async def test_watcher_is_lost_while_it_sends(self) -> None:
        value = random.Random(1).randbytes(SIZE)
        self.write(11, value)
        self.peers.lost_after["a"] = 4
        self.name_value(11)
        await self.clock.advance(PART_TIMEOUT_MS + 50)
        self.assertEqual(self.value(), value)
        self.assertEqual((self.suspected, self.peers.reconnected), ({"a"}, ["a"]))
        # The next sender goes on, and no byte is sent twice.
        self.assertLess(self.peers.received_bytes, SIZE + 100)

    async def test_all_lose_the_transfer_and_the_next_news_begins_it_again(self) -> None:
        self.write(11, random.Random(1).randbytes(SIZE))
        self.peers.lost_after.update(a=2, b=0, c=0)
        self.name_value(11)
        await self.clock.advance(4 * PART_TIMEOUT_MS)
        self.assertEqual(self.value(), b"")
        self.assertGreater(self.transfers.stalled_ms, 2 * PART_TIMEOUT_MS)
        self.peers.lost_after.clear()
        self.suspected.clear()
        self.name_value(11)
        await self.clock.advance(50)
        self.assertEqual(len(self.value()), SIZE)

    async def test_sender_that_does_not_have_the_value_yet(self) -> None:
        value = random.Random(1).randbytes(SIZE)
        self.write(11, value, "b")
        self.name_value(11)
        await self.clock.advance(100)
        self.write(11, value, "a")
        await self.clock.advance(500)
        self.assertEqual(self.value(), value)

    async def test_value_that_was_replaced_is_not_sent_on(self) -> None:
        rng = random.Random(1)
        first, second = rng.randbytes(SIZE), rng.randbytes(SIZE // 4)
        self.write(11, first)
        self.name_value(11)
        await self.clock.advance(2)
        self.write(12, second)
        await self.clock.advance(50)
        self.assertEqual(self.value(), second)
        self.assertLess(self.peers.received_bytes, SIZE)

    async def test_value_that_is_nearly_there_is_the_base_of_its_successor(self) -> None:
        first = random.Random(1).randbytes(SIZE)
        self.write(11, first)
        self.name_value(11)
        await self.clock.advance(5)
        self.write(12, first[:-10])
        self.name_value(12)
        await self.clock.advance(50)
        self.assertEqual(self.value(), first[:-10])
        self.assertLess(self.peers.received_bytes, SIZE + 200)

    async def test_era_ends_while_a_value_arrives(self) -> None:
        rng = random.Random(1)
        self.write(11, rng.randbytes(SIZE))
        self.name_value(11)
        await self.clock.advance(3)
        self.era.observe(2)
        other = rng.randbytes(SIZE)
        for view in (self.own, *self.views.values()):
            view.handler().on_new_era()
            view.handler().on_list((), 10)
        self.write(11, other)
        self.own.apply_peer_changes("a", Changes(2, 11, missing=(MissingValue(KEY, 11),)), 0)
        self.transfers.start("a")
        await self.clock.advance(2 * RETRY_DELAY_MS)
        self.assertEqual(self.value(), other)

    async def test_time_without_a_part_goes_on_with_further_news(self) -> None:
        """An instance that gets no large value has to watch by itself, also if peers reply."""
        self.write(11, bytes(SIZE), "b")
        self.transfers.start("a")
        self.suspected.update("bc")
        for _ in range(8):
            self.name_value(11)
            await self.clock.advance(500)
        self.assertGreaterEqual(self.transfers.stalled_ms, 3_500)

    async def test_storm_of_changes_while_a_value_arrives(self) -> None:
        rng = random.Random(1)
        value = rng.randbytes(SIZE)
        self.write(11, value)
        self.name_value(11)
        for revision in range(12, 40):
            await self.clock.advance(1)
            value = bytes([revision]) + value[1:]
            self.write(revision, value)
            self.name_value(revision)
        await self.clock.advance(50)
        self.assertEqual(self.value(), value)
        self.assertLess(self.peers.received_bytes, 1.2 * SIZE)

    async def test_parts_that_do_not_fit_together(self) -> None:
        """Any reply of a peer ends the request, not the process."""
        value = random.Random(1).randbytes(SIZE)
        self.write(11, value, "b", "c")
        replies = [
            ValueReply(1, 11, 11, 0, 7, 50, 0, b"x" * 50),
            ValueReply(1, 11, 11, 9, 7, 50, 0, b"x" * 50),
            ValueReply(1, 11, 11, 0, 7, 50, 20, b"x" * 30),
            ValueReply(1, 11, 11, 0, 7, 10, 0, b"x" * 50),
            ValueReply(1, 11, 11, 0, 7, 2**60, 0, b"x" * 50),
        ]

        async def answer(sender: str, request: ValueRequest) -> ValueReply:
            if not replies:
                self.suspected.add("a")
                return ValueReply(1, 0)
            return replies.pop()

        self.peers.answers_by_peer["a"] = answer
        for _ in range(2):
            self.name_value(11)
            await self.clock.advance(5_000)
        self.assertEqual(self.value(), value)


class MessagesTest(unittest.TestCase):
    def setUp(self) -> None:
        era = StoreEra()
        handler = WatchHandler(lambda *_: None, lambda *_: None, lambda *_: None)
        self.view = StoreView(handler, FakeClock(), era)
        self.view.handler().on_list((), 10)
        self.contents = ContentCache(self.view)

    def put(self, revision: int, value: bytes, key: str = KEY) -> None:
        self.view.handler().on_put(make_item(revision, value, key))
        self.view.handler().on_answer(revision)

    def reply(self, revision: int) -> ChangesReply:
        changes = self.view.changes_after(revision, revision)
        return ChangesReply(
            0,
            changes.revision,
            0,
            is_whole=changes.is_whole,
            covers_all=True,
            packed=pack_changes(changes),
            encoded_items=encode_large_items(changes, revision, self.contents),
        )

    def test_difference_comes_with_the_changes(self) -> None:
        first = random.Random(1).randbytes(SIZE)
        self.put(11, first)
        self.put(12, first + b"more")
        self.put(13, b"small", "a")
        reply = self.reply(11)
        self.assertLess(len(msgspec.msgpack.encode(reply)), 400)
        changes = read_changes(reply, lambda key, revision: first if revision == 11 else None)
        self.assertEqual({item.key: item.value for item in changes.items}[KEY], first + b"more")
        self.assertEqual(changes.missing, ())
        # An instance that has another value requests it apart.
        changes = read_changes(reply, lambda key, revision: None)
        self.assertEqual([item.key for item in changes.items], ["a"])
        self.assertEqual(changes.missing, (MissingValue(KEY, 12),))

    def test_whole_changes_name_what_is_known_and_do_not_send_it(self) -> None:
        for number in range(100):
            self.put(11 + number, bytes(1_000), f"k{number}")
        self.view.handler().on_list(
            tuple(make_item(11 + number, bytes(1_000), f"k{number}") for number in range(99)), 200
        )
        reply = self.reply(150)
        self.assertTrue(reply.is_whole)
        self.assertLess(len(reply.packed), 1_000)
        changes = read_changes(reply, lambda key, revision: None)
        self.assertEqual(len(changes.kept_keys), 99)

    def test_request_of_an_older_version_of_the_program(self) -> None:
        older = msgspec.msgpack.decode(
            msgspec.msgpack.encode({"era": 1, "revision": 11}), type=ChangesRequest
        )
        self.assertEqual(older.seen_revision, 0)


if __name__ == "__main__":
    unittest.main()

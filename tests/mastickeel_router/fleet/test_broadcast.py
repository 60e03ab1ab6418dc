"""Notices reach every instance, through one hub in each data centre and few messages."""

from __future__ import annotations

import unittest
import zlib
from collections import Counter
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import msgspec

from mastickeel.clock import FakeClock
from mastickeel.peermessages import decode_content, encode_content
from mastickeel.peers import PeerTimeoutError
from mastickeel.tasks import TaskGroup
from mastickeel_router.fleet import Broadcast, PeerTraits
from mastickeel_router.fleet import broadcast as broadcast_module
from mastickeel_router.fleet.broadcast import (
    FLUSH_INTERVAL_MS,
    MAX_BATCH_BYTES,
    MAX_HUBS,
    Notice,
    NoticeBatch,
    Scope,
)
from mastickeel_router.fleet.sharing import SessionRunNotice

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

DATA_CENTRES = ("dc-a", "dc-b", "dc-c", "dc-d")
GROWN_FLEET = 58
TODAYS_FLEET = 9
SLOW_MBPS = 5.0
FAST_MBPS = 100.0


class Network:
    """Links of all instances in memory; counts messages, and cuts or silences instances."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.links: dict[str, Link] = {}
        self.silent: set[str] = set()
        self.sent_by_id: Counter[str] = Counter()
        self.crossings = 0


class Link:
    """Stands in for `PeerLink`."""

    def __init__(self, network: Network, instance_id: str) -> None:
        self.instance_id = instance_id
        self.handlers: dict[type[Any], Callable[[str, Any], Awaitable[Any]]] = {}
        self._network = network
        network.links[instance_id] = self

    @property
    def peer_ids(self) -> tuple[str, ...]:
        """The ids of all other instances."""
        return tuple(peer for peer in self._network.links if peer != self.instance_id)

    def register_handler(
        self, kind: type[Any], handler: Callable[[str, Any], Awaitable[Any]]
    ) -> None:
        """Registers the handler of a type of message."""
        self.handlers[kind] = handler

    def multicast(self, peer_ids: Any, content: Any) -> None:
        """Delivers a message to several instances."""
        for peer in peer_ids:
            self._network.clock.deliveries.start(self._deliver(peer, content))

    async def request(self, peer: str, content: Any, kind: type[Any], timeout_ms: float) -> Any:
        """Delivers a message and returns the reply; times out when the peer is silent."""
        reply = await self._deliver(peer, content)
        if reply is None:
            await self._network.clock.sleep(timeout_ms)
            raise PeerTimeoutError(f"{peer} is silent.")
        self._network.sent_by_id[peer] += 1
        assert isinstance(reply, kind)
        return reply

    async def _deliver(self, peer: str, content: Any) -> Any:
        network = self._network
        network.sent_by_id[self.instance_id] += 1
        network.crossings += peer.split("/")[0] != self.instance_id.split("/")[0]
        if network.silent & {peer, self.instance_id}:
            return None
        copy = decode_content(*encode_content(content))
        handler = network.links[peer].handlers.get(type(copy))
        return await handler(self.instance_id, copy) if handler else None


class Clock(FakeClock):
    """A fake clock that owns the deliveries of a test."""

    def __init__(self) -> None:
        super().__init__()
        self.deliveries = TaskGroup()


class BroadcastTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = Clock()
        self.addAsyncCleanup(self.clock.deliveries.stop)
        self.network = Network(self.clock)
        self.received: dict[str, list[str]] = {}
        self.broadcasts: dict[str, Broadcast] = {}

    def start_fleet(
        self, count: int, without_data_centre: tuple[str, ...] = (), fast: tuple[str, ...] = ()
    ) -> list[str]:
        """Starts instances in four data centres, and returns their ids."""
        ids = [f"{DATA_CENTRES[n % len(DATA_CENTRES)]}/{n}" for n in range(count)]
        known = {
            peer: PeerTraits(peer.split("/")[0], FAST_MBPS if peer in fast else SLOW_MBPS)
            for peer in ids
            if peer not in without_data_centre
        }
        for instance_id in ids:
            link = Link(self.network, instance_id)
            self.broadcasts[instance_id] = Broadcast(
                link,  # type: ignore[arg-type]
                clock=self.clock,
                traits=known.get(instance_id, PeerTraits(instance_id.split("/")[0])),
                traits_by_peer=known,
                tasks=self.clock.deliveries,
            )
            received = self.received.setdefault(instance_id, [])
            self.broadcasts[instance_id].register_handler(
                SessionRunNotice,
                lambda sender, notice, received=received: received.append(
                    f"{sender} {notice.session}"
                ),
            )
        return ids

    async def publish_everywhere(self, rounds: int, interval_ms: int) -> None:
        """Publishes a notice at every instance in each round."""
        for number in range(rounds):
            for broadcast in self.broadcasts.values():
                broadcast.publish(SessionRunNotice(f"s{number}", "v1"))
            await self.clock.advance(interval_ms)
        await self.clock.advance(10 * FLUSH_INTERVAL_MS)

    def hub_of(self, instance_id: str) -> str:
        """Returns the hub to which an instance sends its notices."""
        return self.broadcasts[instance_id]._rank_hubs(instance_id.split("/")[0])[0]

    async def test_every_notice_reaches_every_other_instance_once(self) -> None:
        ids = self.start_fleet(GROWN_FLEET)
        await self.publish_everywhere(rounds=3, interval_ms=30)
        for instance_id in ids:
            expected = {f"{other} s{n}" for other in ids if other != instance_id for n in range(3)}
            self.assertEqual(sorted(self.received[instance_id]), sorted(expected))

    async def test_messages_of_a_grown_fleet_do_not_grow_with_its_requests(self) -> None:
        # 58 instances sent each notice in 57 messages: 80 ms of processor time for each request.
        ids = self.start_fleet(GROWN_FLEET)
        seconds = 1
        await self.publish_everywhere(rounds=seconds * 40, interval_ms=25)
        flushes = (seconds + 1) * 1_000 // FLUSH_INTERVAL_MS
        hubs = {self.hub_of(instance_id) for instance_id in ids}
        self.assertEqual(len(hubs), len(DATA_CENTRES))
        for instance_id in ids:
            most = flushes * (len(ids) if instance_id in hubs else 1)
            self.assertLessEqual(self.network.sent_by_id[instance_id], most)

    async def test_notice_crosses_to_each_other_data_centre_once(self) -> None:
        ids = self.start_fleet(TODAYS_FLEET)
        self.broadcasts[ids[0]].publish(SessionRunNotice("s", "v1"))
        await self.clock.advance(10 * FLUSH_INTERVAL_MS)
        self.assertEqual(sum(map(len, self.received.values())), TODAYS_FLEET - 1)
        self.assertEqual(self.network.crossings, len(DATA_CENTRES) - 1)

    async def test_first_notice_after_a_pause_is_not_held(self) -> None:
        ids = self.start_fleet(TODAYS_FLEET)
        self.broadcasts[ids[0]].publish(SessionRunNotice("s", "v1"))
        await self.clock.advance(0)
        self.assertEqual(sum(map(len, self.received.values())), TODAYS_FLEET - 1)

    async def test_notices_pass_when_hubs_are_silent(self) -> None:
        ids = self.start_fleet(GROWN_FLEET)
        self.network.silent = {self.hub_of(instance_id) for instance_id in ids}
        live = [instance_id for instance_id in ids if instance_id not in self.network.silent]
        # The first round finds the silent hubs of the own data centre, the second one the others.
        await self.publish_everywhere(rounds=3, interval_ms=1_000)
        for instance_id in live:
            last = {text for text in self.received[instance_id] if text.endswith(" s2")}
            self.assertEqual(len(last), len(live) - 1)

    async def test_silent_hub_does_not_multiply_the_messages(self) -> None:
        # Batches sent again to further hubs filled slow links, which made more hubs silent.
        ids = self.start_fleet(GROWN_FLEET)
        self.network.silent = set(ids)
        rounds = 20
        await self.publish_everywhere(rounds=rounds, interval_ms=FLUSH_INTERVAL_MS)
        for instance_id in ids:
            self.assertLessEqual(self.network.sent_by_id[instance_id], rounds * len(ids))
        most = rounds * len(ids) * (2 + MAX_HUBS)
        self.assertLessEqual(sum(self.network.sent_by_id.values()), most)

    async def test_silent_hub_is_not_waited_for_again(self) -> None:
        ids = self.start_fleet(GROWN_FLEET)
        self.network.silent = {self.hub_of(ids[0])}
        sender = next(peer for peer in ids[::4] if peer not in self.network.silent)
        self.broadcasts[sender].publish(SessionRunNotice("first", "v1"))
        await self.clock.advance(1_000)
        self.broadcasts[sender].publish(SessionRunNotice("second", "v1"))
        await self.clock.advance(0)
        self.assertIn(f"{sender} second", self.received[ids[1]])

    async def test_instance_of_an_older_version_gets_each_notice_by_itself(self) -> None:
        ids = self.start_fleet(TODAYS_FLEET, without_data_centre=("dc-b/1",))
        self.network.links["dc-b/1"].handlers.pop(NoticeBatch)
        self.broadcasts[ids[0]].publish(SessionRunNotice("s", "v1"))
        await self.clock.advance(10 * FLUSH_INTERVAL_MS)
        for instance_id in ids[1:]:
            self.assertEqual(self.received[instance_id], [f"{ids[0]} s"])

    async def test_hub_is_an_instance_with_the_fastest_link(self) -> None:
        # A hub with a link of 5 Mbit/s filled it with notices, and its callers waited.
        fast = ("dc-a/12", "dc-b/13", "dc-c/50", "dc-d/7")
        ids = self.start_fleet(GROWN_FLEET, fast=fast)
        self.assertEqual({self.hub_of(instance_id) for instance_id in ids}, set(fast))

    async def test_batch_is_smaller_than_its_notices(self) -> None:
        content = SessionRunNotice("f4120cd8723f", "v1")
        notices = [Notice("edge-fremantle-inner-1", *encode_content(content))] * 40
        packed = NoticeBatch.pack(Scope.INSTANCE, notices)
        self.assertEqual(list(packed.unpack()), notices)
        self.assertLess(len(packed.packed), len(msgspec.msgpack.encode(notices)) / 2)

    async def test_data_centre_whose_last_instance_leaves_is_passed_over(self) -> None:
        ids = self.start_fleet(len(DATA_CENTRES))
        self.broadcasts[ids[0]].publish(SessionRunNotice("s", "v1"))
        del self.network.links[ids[3]]
        await self.clock.advance(10 * FLUSH_INTERVAL_MS)
        self.assertEqual([len(self.received[peer]) for peer in ids], [0, 1, 1, 0])

    async def test_skipped_notices_are_logged_once_for_each_kind(self) -> None:
        ids = self.start_fleet(TODAYS_FLEET)
        body = encode_content(SessionRunNotice("s", "v1"))[1]
        notices = [Notice("x", f"new-{number % 2}", body) for number in range(100)]
        with patch.object(broadcast_module, "log") as log:
            self.network.links[ids[0]].multicast(
                ids[1:2], NoticeBatch.pack(Scope.INSTANCE, notices)
            )
            await self.clock.advance(0)
        self.assertEqual(log.call_count, 2)

    async def test_malformed_and_oversized_batches_are_skipped(self) -> None:
        ids = self.start_fleet(TODAYS_FLEET)
        large = zlib.compress(b"\0" * (MAX_BATCH_BYTES + 1))
        for packed in (b"", b"no zlib", zlib.compress(b"no msgpack"), large):
            batch = NoticeBatch(Scope.FLEET, packed)
            with self.assertRaises(ValueError):
                batch.unpack()
            self.network.links[ids[0]].multicast(ids[1:2], batch)
        await self.clock.advance(FLUSH_INTERVAL_MS)
        self.assertEqual(self.received[ids[1]], [])

    async def test_notice_that_cannot_be_decoded_is_skipped(self) -> None:
        ids = self.start_fleet(TODAYS_FLEET)
        good = Notice("x", *encode_content(SessionRunNotice("s", "v1")))
        bad = [Notice("x", "session_ran", msgspec.Raw(b"\x01")), Notice("x", "new", good.body)]
        batch = NoticeBatch.pack(Scope.INSTANCE, (*bad, good))
        self.network.links[ids[0]].multicast(ids[1:2], batch)
        await self.clock.advance(0)
        self.assertEqual(self.received[ids[1]], ["x s"])


if __name__ == "__main__":
    unittest.main()

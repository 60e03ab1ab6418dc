"""Guards against a store client that loses keys or events, or misreports a write's outcome."""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from unittest import mock

from mastickeel.addresses import Address
from mastickeel.clock import Clock
from mastickeel.errors import (
    StoreCompactedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from mastickeel.httpclient import HttpClient
from mastickeel.keyvalue import Compare, Delete, Get, Put
from mastickeel_platform import store
from mastickeel_platform.store import PlatformStore
from mastickeel_router.discovery.feeds import StoreFollower, WatchHandler
from tests.mastickeel_platform.standins import FakeStore, RawServer, Request, answer_bytes


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Calls and statuses of the platform's store API."""

    async def asyncSetUp(self) -> None:
        self.platform = FakeStore()
        port = await self.platform.server.start()
        self.http = HttpClient(Clock())
        self.store = PlatformStore(self.http, Address("127.0.0.1", port), timeout_ms=200)

    async def asyncTearDown(self) -> None:
        await self.http.close()
        await self.platform.server.stop()

    async def test_get_and_missing_key(self) -> None:
        revision = self.platform.put("a/b", b"\x00\xff")
        found = await self.store.get("a/b")
        assert found is not None
        self.assertEqual((found.value, found.mod_revision), (b"\x00\xff", revision))
        self.assertIsNone(await self.store.get("a/c"))

    async def test_range_reads_every_page_and_keeps_the_first_revision(self) -> None:
        self.platform.page_size = 2
        for name in "abcde":
            self.platform.put(f"p/{name}", b"x")
        self.platform.put("q/a", b"x")
        found = await self.store.range("p/", prefix=True)
        self.assertEqual([item.key for item in found.items], [f"p/{name}" for name in "abcde"])
        self.assertEqual(found.revision, self.platform.revision)

    async def test_conditions(self) -> None:
        free = Compare("a", "CREATE", 0)
        first = await self.store.txn((free,), (Put("a", b"1"),), (Get("a"),))
        self.assertTrue(first.succeeded)
        second = await self.store.txn((free,), (Put("a", b"2"),), (Get("a"),))
        self.assertFalse(second.succeeded)
        self.assertEqual([item.value for item in second.found], [b"1"])
        held = Compare("a", "MOD", first.revision)
        self.assertTrue((await self.store.txn((held,), (Delete("a"),))).succeeded)
        self.assertIsNone(await self.store.get("a"))

    async def test_revoked_lease_deletes_its_keys(self) -> None:
        lease = await self.store.grant(3)
        self.assertEqual(self.platform.leases[lease], 3_000)
        await self.store.txn((), (Put("a", b"1", lease),))
        self.assertTrue(await self.store.keep_alive(lease))
        await self.store.revoke(lease)
        self.assertIsNone(await self.store.get("a"))
        self.assertFalse(await self.store.keep_alive(lease))
        with self.assertRaises(StoreUnavailableError):
            await self.store.txn((), (Put("a", b"1", lease),))

    async def test_watch_yields_events_in_order(self) -> None:
        start = self.platform.revision
        self.platform.put("p/a", b"1")
        self.platform.delete("p/a")
        self.platform.put("p/a", b"2")
        seen = []
        async for batch in self.store.watch("p/", start + 1):
            seen += [item.value for item in batch.puts] + list(batch.deletes)
            if len(seen) == 3:
                break
        self.assertEqual(seen, [b"1", "p/a", b"2"])

    async def test_call_after_a_timeout_goes_out_on_another_silent_connection(self) -> None:
        self.platform.put("a", b"1")
        server, hung = self.platform.server, asyncio.Event()
        both_open = asyncio.Barrier(2)

        async def respond_to_both(request: Request, writer: asyncio.StreamWriter) -> None:
            await both_open.wait()
            writer.write(await self.platform.answer(request))

        answer, server.respond = server.respond, respond_to_both
        await asyncio.gather(self.store.get("a"), self.store.get("a"))
        open_writers = set(server._writers)

        async def respond_on_new(request: Request, writer: asyncio.StreamWriter) -> None:
            if writer in open_writers:
                await hung.wait()
            await answer(request, writer)

        server.respond = respond_on_new
        with self.assertRaises(StoreUnavailableError):
            await self.store.get("a")
        self.assertIsNotNone(await self.store.get("a"))

    async def test_watch_from_a_compacted_revision(self) -> None:
        start = self.platform.revision
        self.platform.put("p/a", b"1")
        self.platform.compact()
        with self.assertRaises(StoreCompactedError):
            async for _ in self.store.watch("p/", start + 1):
                pass

    async def test_watch_on_a_silent_connection_times_out(self) -> None:
        # An instance counts as connected again 3 s after its connections went silent.
        self.assertLess(store.WATCH_WAIT_MS + store.WATCH_SLACK_MS, 3_000)
        self.platform.silent = True
        with (
            mock.patch.object(store, "WATCH_WAIT_MS", 50),
            mock.patch.object(store, "WATCH_SLACK_MS", 50),
            self.assertRaises(StoreUnavailableError),
        ):
            async for _ in self.store.watch("p/", 1):
                pass

    async def test_watch_whose_answer_is_arriving_is_begun_again(self) -> None:
        """Guards against a large answer that is dropped and requested again (issue 73)."""
        event = {"key": "a", "value": "eHg=", "revision": 8, "created": 8, "lease": 0}
        body = json.dumps({"events": [event], "store_revision": 8}).encode()
        requests: list[str] = []

        async def answer(request: Request, writer: asyncio.StreamWriter) -> None:
            requests.append(request.target)
            if "kv-watch" not in request.target:
                writer.write(answer_bytes(request, b'{"items": [], "store_revision": 7}'))
                return
            if len(requests) > 2:
                await asyncio.sleep(5)
            writer.write(answer_bytes(request, body)[: -len(body)])
            for part in (body[:20], body[20:40], body[40:]):
                await asyncio.sleep(0.15)
                writer.write(part)

        server = RawServer(answer)
        self.addAsyncCleanup(server.stop)
        store = PlatformStore(self.http, Address("127.0.0.1", await server.start()), timeout_ms=300)
        puts: list[str] = []
        handler = WatchHandler(
            lambda items, revision: None,
            lambda item: puts.append(item.key),
            lambda key, revision: None,
        )
        follower = StoreFollower(store, "", handler, Clock(), random.Random(1))
        following = asyncio.ensure_future(follower.run())
        await asyncio.sleep(0.3)
        self.assertTrue(store.is_receiving)
        follower.reopen()
        await asyncio.sleep(0.4)
        following.cancel()
        self.assertEqual(puts, ["a"])
        self.assertEqual(sum("after_revision=7" in target for target in requests), 1, requests)

    async def test_refused_write_is_reported_as_not_executed(self) -> None:
        for status in (429, 503):
            self.platform.refusal_status = status
            with self.assertRaises(StoreUnavailableError):
                await self.store.txn((), (Put("a", b"1"),))

    async def test_timeout_leaves_the_outcome_of_a_write_unknown_but_not_of_a_read(self) -> None:
        self.platform.silent = True
        with self.assertRaises(StoreUnavailableError):
            await self.store.get("a")
        with self.assertRaises(StoreOutcomeUnknownError):
            await self.store.txn((), (Put("a", b"1"),))

    async def test_unreadable_answer(self) -> None:
        self.platform.refusal_status = 200
        self.platform.server.respond = _respond_nonsense
        with self.assertRaises(StoreUnavailableError):
            await self.store.get("a")


async def _respond_nonsense(request, writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{x}")


class UnusableAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers that were cut off, or of which nothing but the head arrived."""

    async def asyncSetUp(self) -> None:
        self.data = b""
        self.server = RawServer(self.respond)
        self.http = HttpClient(Clock())
        address = Address("127.0.0.1", await self.server.start())
        self.store = PlatformStore(self.http, address, timeout_ms=200)

    async def asyncTearDown(self) -> None:
        await self.http.close()
        await self.server.stop()

    async def respond(self, request: Request, writer: asyncio.StreamWriter) -> None:
        writer.write(self.data)
        await writer.drain()
        writer.close()

    async def test_cut_answer_is_a_store_error_and_leaves_a_write_undecided(self) -> None:
        bodies = {
            200: b'{"store_revision":12,"revision":12,"lease":4,"items":[],"events":[]}',
            412: b'{"items":[{"key":"a","value":"MQ==","revision":4}]}',
        }
        for status, body in bodies.items():
            for length in range(0, len(body), 4):
                self.data = f"HTTP/1.1 {status} X\r\n\r\n".encode() + body[:length]
                with self.subTest(status=status, length=length):
                    with self.assertRaises(StoreOutcomeUnknownError):
                        await self.store.txn((), (Put("a", b"1"),), (Get("a"),))
                    with self.assertRaises(StoreOutcomeUnknownError):
                        await self.store.grant(3)
                    for call in (self.store.get("a"), self.store.range("p/", prefix=True)):
                        with self.assertRaises(StoreUnavailableError):
                            await call
                    with self.assertRaises(StoreUnavailableError):
                        await anext(self.store.watch("p/", 12))

    async def test_only_a_refusal_states_that_a_write_was_not_executed(self) -> None:
        for status in (429, 503):
            self.data = f"HTTP/1.1 {status} X\r\n\r\n".encode()
            with self.subTest(status=status), self.assertRaises(StoreUnavailableError):
                await self.store.txn((), (Put("a", b"1"),))
        for status in ("000", "099", "600", "999", 500, 502, 504):
            self.data = f"HTTP/1.1 {status} X\r\n\r\n".encode()
            with self.subTest(status=status), self.assertRaises(StoreOutcomeUnknownError):
                await self.store.txn((), (Put("a", b"1"),))


if __name__ == "__main__":
    unittest.main()

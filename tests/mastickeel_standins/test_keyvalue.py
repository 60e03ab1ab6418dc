"""Guards against a key-value stand-in that differs from the etcd v3 JSON gateway.

The tests make raw gateway calls and use a published client library.
"""

from __future__ import annotations

import asyncio
import queue
import unittest

import etcd3gw

from mastickeel.clock import FakeClock
from mastickeel_standins.keyvalue import KeyValueStandin
from tests.mastickeel_standins._calls import b64, call, stream

KEY = b64("a")


class KeyValueCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.kv = KeyValueStandin(self.clock)
        await self.kv.start()
        self.tasks = []

    async def asyncTearDown(self):
        await self.kv.stop()
        await asyncio.gather(*self.tasks)

    async def post(self, path, body, agent="test"):
        return await call(f"{self.kv.url}/v3/{path}", body, agent)

    async def call_ok(self, path, body):
        status, answer = await self.post(path, body)
        self.assertEqual(status, 200, answer)
        return answer

    async def put(self, key, value="v", **fields):
        return await self.call_ok("kv/put", {"key": b64(key), "value": b64(value), **fields})

    async def start_watch(self, agent="test", **request):
        lines = asyncio.Queue()
        body = {"create_request": {"key": KEY, **request}}
        work = stream(f"{self.kv.url}/v3/watch", body, lines, agent)
        self.tasks.append(asyncio.ensure_future(work))
        return lines

    async def open_watch(self, **request):
        lines = await self.start_watch(**request)
        self.assertTrue((await lines.get())["created"])
        return lines


class KeysTest(KeyValueCase):
    async def test_put_and_range_use_the_gateway_format(self):
        first = await self.put("a", "1")
        self.assertEqual(first["header"]["revision"], "2")
        again = await self.put("a", "2", prev_kv=True)
        self.assertEqual(again["prev_kv"]["value"], b64("1"))
        found = await self.call_ok("kv/range", {"key": KEY})
        kv = {"key": KEY, "create_revision": "2", "mod_revision": "3", "version": "2"}
        self.assertEqual(found["kvs"], [{**kv, "value": b64("2")}])
        self.assertEqual(found["count"], "1")
        self.assertNotIn("more", found)
        old = await self.call_ok("kv/range", {"key": KEY, "revision": 2})
        self.assertEqual(old["kvs"][0]["value"], b64("1"))
        none = await self.call_ok("kv/range", {"key": b64("x")})
        self.assertEqual(set(none), {"header"})

    async def test_range_options(self):
        for key in ("b", "a", "c"):
            await self.put(key)
        whole = {"key": KEY, "range_end": "AA=="}
        found = await self.call_ok("kv/range", {**whole, "limit": 2, "sort_order": "DESCEND"})
        self.assertEqual([kv["key"] for kv in found["kvs"]], [b64("c"), b64("b")])
        self.assertEqual((found["more"], found["count"]), (True, "3"))
        found = await self.call_ok("kv/range", {**whole, "sort_target": "MOD", "keys_only": True})
        self.assertEqual([kv["key"] for kv in found["kvs"]], [b64("b"), KEY, b64("c")])
        self.assertNotIn("value", found["kvs"][0])
        found = await self.call_ok("kv/range", {**whole, "rangeEnd": b64("c"), "count_only": True})
        self.assertNotIn("kvs", found)

    async def test_delete_range(self):
        for key in ("a", "b"):
            await self.put(key)
        gone = await self.call_ok("kv/deleterange", {"key": KEY, "range_end": b64("z")})
        self.assertEqual((gone["deleted"], gone["header"]["revision"]), ("2", "4"))
        gone = await self.call_ok("kv/deleterange", {"key": KEY})
        self.assertEqual(gone["header"]["revision"], "4")
        self.assertNotIn("deleted", gone)

    async def test_errors_use_the_gateway_format(self):
        status, answer = await self.post("kv/put", {})
        text = "etcdserver: key is not provided"
        self.assertEqual((status, answer), (400, {"error": text, "code": 3, "message": text}))
        status, answer = await self.post("kv/put", {"key": KEY, "lease": "7"})
        self.assertEqual((status, answer["code"]), (404, 5))
        status, answer = await self.post("kv/range", {"key": KEY, "revision": "9"})
        self.assertEqual((status, answer["code"]), (400, 11))
        status, answer = await self.post("kv/range", {"key": "?"})
        self.assertEqual((status, answer["code"]), (400, 3))

    async def test_compaction_drops_older_revisions(self):
        for value in "123":
            await self.put("a", value)
        await self.call_ok("kv/compaction", {"revision": "3"})
        kept = await self.call_ok("kv/range", {"key": KEY, "revision": 3})
        self.assertEqual(kept["kvs"][0]["value"], b64("2"))
        status, answer = await self.post("kv/range", {"key": KEY, "revision": 2})
        self.assertEqual((status, answer["code"]), (400, 11))
        self.assertIn("compacted", answer["error"])
        status, answer = await self.post("kv/compaction", {"revision": 3})
        self.assertEqual((status, answer["code"]), (400, 11))


class TxnTest(KeyValueCase):
    async def test_txn_executes_the_branch_of_its_compares(self):
        put = {"request_put": {"key": KEY, "value": b64("1")}}
        read = {"request_range": {"key": KEY}}
        body = {
            "compare": [{"key": KEY, "target": "CREATE", "create_revision": "0"}],
            "success": [put, read],
            "failure": [read],
        }
        won = await self.call_ok("kv/txn", body)
        self.assertTrue(won["succeeded"])
        self.assertEqual(won["responses"][0], {"response_put": {"header": {"revision": "2"}}})
        self.assertEqual(won["responses"][1]["response_range"]["count"], "1")
        lost = await self.call_ok("kv/txn", body)
        self.assertNotIn("succeeded", lost)
        self.assertEqual(lost["header"]["revision"], "2")
        self.assertEqual(lost["responses"][0]["response_range"]["kvs"][0]["value"], b64("1"))

    async def test_compare_targets_and_results(self):
        await self.put("a", "m")
        await self.put("a", "m")
        cases = [
            ("VERSION", "EQUAL", {"version": 2}, True),
            ("CREATE", "LESS", {"create_revision": 2}, False),
            ("MOD", "GREATER", {"mod_revision": "2"}, True),
            ("VALUE", "NOT_EQUAL", {"value": b64("m")}, False),
            ("VALUE", "LESS", {"value": b64("n")}, True),
            ("LEASE", "EQUAL", {}, True),
        ]
        for target, result, field, holds in cases:
            compare = {"key": KEY, "target": target, "result": result, **field}
            answer = await self.call_ok("kv/txn", {"compare": [compare]})
            self.assertEqual(answer.get("succeeded", False), holds, compare)
        absent = {"key": b64("x"), "target": "VALUE", "result": "NOT_EQUAL", "value": KEY}
        answer = await self.call_ok("kv/txn", {"compare": [absent]})
        self.assertNotIn("succeeded", answer)

    async def test_invalid_txn_changes_nothing(self):
        put = {"request_put": {"key": KEY}}
        bad = {"request_put": {"key": b64("b"), "lease": 5}}
        status, answer = await self.post("kv/txn", {"success": [put, bad]})
        self.assertEqual((status, answer["code"]), (404, 5))
        status, answer = await self.post("kv/txn", {"success": [put, put]})
        self.assertEqual((status, answer["code"]), (400, 3))
        self.assertIn("duplicate key", answer["error"])
        found = await self.call_ok("kv/range", {"key": KEY})
        self.assertEqual(found["header"]["revision"], "1")

    async def test_txn_writes_have_one_revision(self):
        lines = await self.open_watch(range_end="AA==")
        puts = [{"request_put": {"key": b64(key)}} for key in "ab"]
        await self.call_ok("kv/txn", {"success": puts})
        events = (await lines.get())["events"]
        self.assertEqual([event["kv"]["mod_revision"] for event in events], ["2", "2"])


class LeaseTest(KeyValueCase):
    async def test_lease_is_renewed_and_expires(self):
        lease = (await self.call_ok("lease/grant", {"TTL": 10}))["ID"]
        await self.put("a", lease=lease)
        lines = await self.open_watch()
        await self.clock.advance(9_000)
        kept = await self.call_ok("lease/keepalive", {"ID": lease})
        self.assertEqual(kept["result"]["TTL"], "10")
        await self.clock.advance(9_000)
        left = await self.call_ok("lease/timetolive", {"ID": lease, "keys": True})
        self.assertEqual((left["TTL"], left["grantedTTL"], left["keys"]), ("1", "10", [KEY]))
        await self.clock.advance(1_000)
        event = (await lines.get())["events"][0]
        self.assertEqual(event, {"type": "DELETE", "kv": {"key": KEY, "mod_revision": "3"}})
        left = await self.call_ok("lease/timetolive", {"ID": lease})
        self.assertEqual(left["TTL"], "-1")
        kept = await self.call_ok("lease/keepalive", {"ID": lease})
        self.assertNotIn("TTL", kept["result"])

    async def test_leases_are_listed_and_revoked(self):
        await self.call_ok("lease/grant", {"TTL": 10, "ID": 7})
        await self.put("a", lease=7)
        self.assertEqual((await self.call_ok("lease/leases", {}))["leases"], [{"ID": "7"}])
        status, answer = await self.post("lease/grant", {"TTL": 10, "ID": 7})
        self.assertEqual((status, answer["code"]), (400, 9))
        await self.call_ok("lease/revoke", {"ID": 7})
        self.assertNotIn("count", await self.call_ok("kv/range", {"key": KEY}))
        status, answer = await self.post("kv/lease/revoke", {"ID": 7})
        self.assertEqual((status, answer["code"]), (404, 5))

    async def test_put_without_lease_detaches_the_key(self):
        await self.call_ok("lease/grant", {"TTL": 10, "ID": 7})
        await self.put("a", lease=7)
        await self.put("a")
        await self.clock.advance(10_000)
        self.assertEqual((await self.call_ok("kv/range", {"key": KEY}))["count"], "1")


class WatchTest(KeyValueCase):
    async def test_watch_from_a_revision(self):
        await self.put("a", "1")
        await self.put("a", "2")
        lines = await self.open_watch(start_revision=3, prev_kv=True)
        event = (await lines.get())["events"][0]
        self.assertEqual(event["prev_kv"]["value"], b64("1"))
        self.assertNotIn("type", event)
        await self.put("b")
        await self.call_ok("kv/deleterange", {"key": KEY})
        self.assertEqual((await lines.get())["events"][0]["type"], "DELETE")

    async def test_watch_from_a_compacted_revision_is_cancelled(self):
        await self.put("a", "1")
        await self.put("a", "2")
        await self.call_ok("kv/compaction", {"revision": 3})
        lines = await self.open_watch(start_revision=2)
        result = await lines.get()
        self.assertEqual((result["compact_revision"], result["canceled"]), ("3", True))
        kept = await self.open_watch(start_revision=3)
        self.assertEqual((await kept.get())["events"][0]["kv"]["mod_revision"], "3")

    async def test_idle_watch_receives_progress(self):
        lines = await self.open_watch(progress_notify=True)
        await self.clock.advance(self.kv.progress_interval_ms)
        result = await lines.get()
        self.assertEqual(set(result), {"header"})
        self.assertEqual(result["header"]["revision"], "1")

    async def test_watch_filters(self):
        lines = await self.open_watch(filters=["NOPUT"])
        await self.put("a")
        await self.call_ok("kv/deleterange", {"key": KEY})
        self.assertEqual((await lines.get())["events"][0]["type"], "DELETE")


class FaultsTest(KeyValueCase):
    async def assert_dropped(self, path, body, agent="test"):
        with self.assertRaises(Exception) as caught:
            await self.post(path, body, agent)
        self.assertIn("closed", str(caught.exception).lower())

    async def test_outage_cuts_calls_and_watches(self):
        lines = await self.open_watch()
        self.kv.faults.outage = True
        self.assertIsNone(await lines.get())
        await self.assert_dropped("kv/put", {"key": KEY})
        self.kv.faults.outage = False
        found = await self.call_ok("kv/range", {"key": KEY})
        self.assertNotIn("count", found)

    async def test_refused_calls_have_no_effect(self):
        self.kv.faults.refuse = True
        status, answer = await self.post("kv/put", {"key": KEY})
        self.assertEqual((status, answer["code"]), (503, 14))
        self.assertEqual(self.kv.state.revision, 1)

    async def test_calls_with_lost_answers_take_effect(self):
        self.kv.faults.lose_answers = 1
        await self.call_ok("kv/range", {"key": KEY})
        await self.assert_dropped("kv/put", {"key": KEY})
        self.assertEqual((await self.call_ok("kv/range", {"key": KEY}))["count"], "1")
        self.kv.faults.lose_answer_when = lambda path, body: path == "/v3/kv/txn" and b"put" in body
        await self.assert_dropped("kv/txn", {"success": [{"request_put": {"key": KEY}}]})
        self.assertEqual((await self.call_ok("kv/txn", {}))["header"]["revision"], "3")

    async def test_one_instance_is_cut(self):
        cut, other = await self.start_watch("one"), await self.start_watch("two")
        await cut.get()
        await other.get()
        self.kv.faults.cut_for = lambda agent: agent == "one"
        self.assertIsNone(await cut.get())
        await self.assert_dropped("kv/put", {"key": KEY}, "one")
        await self.post("kv/put", {"key": KEY}, "two")
        self.assertEqual(len((await other.get())["events"]), 1)

    async def test_silent_watches_stay_silent(self):
        silent = await self.open_watch()
        self.kv.faults.silent_watches = True
        self.kv.faults.silent_watches = False
        lines = await self.open_watch()
        await self.put("a")
        await lines.get()
        self.assertTrue(silent.empty())
        self.assertEqual(len(self.kv.watches.open_watches), 2)

    async def test_delays_before_and_after_the_execution(self):
        self.kv.faults.delay_ms = 100
        self.kv.faults.reply_delay_ms = 100
        work = asyncio.ensure_future(self.put("a"))
        while not self.kv.calls:
            await asyncio.sleep(0)
        await self.clock.advance(99)
        self.assertEqual(self.kv.state.revision, 1)
        await self.clock.advance(1)
        self.assertEqual(self.kv.state.revision, 2)
        self.assertFalse(work.done())
        await self.clock.advance(100)
        await work

    async def test_calls_over_the_rate_limit_are_refused(self):
        self.kv.write_limit.calls_per_second = 1
        await self.put("a")
        status, answer = await self.post("kv/put", {"key": KEY})
        self.assertEqual((status, answer["code"]), (429, 8))
        await self.call_ok("kv/range", {"key": KEY})
        await self.clock.advance(1_000)
        await self.put("a")
        self.assertEqual((self.kv.writes, self.kv.reads, self.kv.calls), (3, 1, 4))
        self.assertEqual(self.kv.calls_by_path["/v3/kv/put"], 3)

    async def test_control_routes_set_faults_and_send_counts(self):
        url = f"{self.kv.url}/control"
        status, _ = await call(f"{url}/faults", {"refuse": True, "cut_for": ["one"]})
        self.assertEqual((status, self.kv.faults.refuse), (200, True))
        await self.assert_dropped("kv/put", {"key": KEY}, "one")
        status, answer = await call(f"{url}/faults", {"refuse": False, "nonsense": 1})
        self.assertEqual((status, self.kv.faults.refuse), (400, True))
        status, answer = await call(f"{url}/counts")
        self.assertEqual((answer["calls"], answer["writes"]), (1, 1))


class ClientLibraryTest(KeyValueCase):
    """Calls of an unmodified etcd client library to the stand-in."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client = etcd3gw.client(host="127.0.0.1", port=self.kv.port)

    async def test_keys_and_transactions(self):
        def work():
            client = self.client
            self.assertEqual(client.status()["version"], "3.5.13")
            client.put("k", "1")
            self.assertEqual(client.get("k"), [b"1"])
            self.assertTrue(client.create("new", "x"))
            self.assertFalse(client.create("new", "y"))
            self.assertTrue(client.replace("k", "1", "2"))
            self.assertFalse(client.replace("k", "1", "3"))
            self.assertEqual(len(client.get_prefix("k")), 1)
            self.assertTrue(client.delete("k"))
            self.assertFalse(client.delete("k"))

        await asyncio.to_thread(work)

    async def test_lease_is_renewed_and_expires(self):
        lease = await asyncio.to_thread(self.client.lease, 10)
        await asyncio.to_thread(self.client.put, "k", "1", lease)
        await self.clock.advance(6_000)
        self.assertEqual(await asyncio.to_thread(lease.ttl), 4)
        self.assertEqual(await asyncio.to_thread(lease.refresh), 10)
        self.assertEqual(await asyncio.to_thread(lease.keys), [b"k"])
        await self.clock.advance(10_000)
        self.assertEqual(await asyncio.to_thread(self.client.get, "k"), [])
        self.assertEqual(await asyncio.to_thread(lease.refresh), -1)

    async def test_watch_receives_put_and_delete(self):
        def work():
            seen = queue.Queue()
            watcher = etcd3gw.watch.Watcher(self.client, "k", seen.put)
            self.client.put("k", "1")
            self.client.delete("k")
            events = [seen.get(timeout=30), seen.get(timeout=30)]
            watcher.stop()
            return events

        put, delete = await asyncio.to_thread(work)
        self.assertEqual((put["kv"]["value"], delete["type"]), (b"1", "DELETE"))


if __name__ == "__main__":
    unittest.main()

"""Requests avoid failing, leaving and busy endpoints, and reach the caches that hold their prefix.

Guards against unstable subsets, and against load reports and cache views that are out of date after
lost events or an engine restart.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from dataclasses import replace

import msgspec

from mastickeel.addresses import Address
from mastickeel.clock import Clock, FakeClock
from mastickeel.errors import UnavailableError
from mastickeel.httpclient import HttpClient
from mastickeel.httpmessages import HttpRequest
from mastickeel.metrics import Metrics
from mastickeel.model import Configuration, Delta, Endpoint, EndpointState, Pool, View
from mastickeel.rendezvous import rank
from mastickeel_router import breaker
from mastickeel_router.breaker import CircuitBreakers
from mastickeel_router.dispatch import endpoints
from mastickeel_router.dispatch.cache_events import CacheEvents
from mastickeel_router.dispatch.endpoints import EndpointTable
from mastickeel_router.dispatch.load_reports import DECAY_MS, LoadReports
from mastickeel_router.dispatch.prefixes import CacheView, compute_prompt_prefix
from mastickeel_standins.engine import EngineStandin

MODEL = "draft@1"


def make_view(count: int, leaving: int = 0) -> View:
    states = [EndpointState.LEAVING] * leaving + [EndpointState.LIVE] * (count - leaving)
    pool_endpoints = tuple(
        Endpoint(f"engine-{number}", "127.0.0.1:1", "dc", state)
        for number, state in enumerate(states)
    )
    return View(Configuration().apply(Delta(pools=(Pool("pool", endpoints=pool_endpoints),)), 1))


def make_body(text: str) -> dict:
    return {"messages": [{"role": "user", "content": text}]}


class ChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.table = self.make_table("router-1")

    def make_table(self, instance_id: str, leaving: frozenset[str] = frozenset()) -> EndpointTable:
        return EndpointTable(
            random.Random(1), leaving.__contains__, clock=self.clock, instance_id=instance_id
        )

    def choose_many(
        self, view: View, times: int = 400, table: EndpointTable | None = None
    ) -> Counter:
        chosen_table = table or self.table
        return Counter(chosen_table.choose(view, "pool").id for _ in range(times))

    def test_subset_is_stable_bounded_and_differs_between_instances(self) -> None:
        view = make_view(100)
        chosen = set(self.choose_many(view))
        self.assertEqual(len(chosen), endpoints.SUBSET_SIZE)
        self.assertEqual(chosen, set(self.choose_many(make_view(100))))
        self.assertNotEqual(chosen, set(self.choose_many(view, table=self.make_table("router-2"))))
        grown = set(self.choose_many(make_view(101)))
        self.assertLessEqual(len(grown - chosen), 1)

    def test_subset_replaces_unusable_endpoints(self) -> None:
        view = make_view(100)
        first = set(self.choose_many(view))
        for endpoint_id in list(first)[:8]:
            self.table.breakers.record_failure(endpoint_id, unreachable=True)
        widened = set(self.choose_many(view))
        self.assertEqual(len(widened), endpoints.SUBSET_SIZE)
        self.assertEqual(len(widened & first), 8)

    def test_endpoint_leaving_by_state_or_callback_gets_no_requests(self) -> None:
        table = self.make_table("router-1", frozenset({"engine-5"}))
        chosen = self.choose_many(make_view(6, leaving=2), table=table)
        self.assertEqual(set(chosen), {"engine-2", "engine-3", "engine-4"})

    def test_pool_without_usable_endpoint_is_refused_with_retry_delay(self) -> None:
        view = make_view(2)
        for endpoint_id in ("engine-0", "engine-1"):
            self.table.breakers.record_failure(endpoint_id, unreachable=True)
        with self.assertRaises(UnavailableError) as caught:
            self.table.choose(view, "pool")
        self.assertEqual(caught.exception.retry_after_ms, breaker.FIRST_OPEN_MS)

    def test_own_requests_and_reported_load_divert_requests(self) -> None:
        view = make_view(2)
        self.table.in_flight_by_id["engine-0"] = 2
        self.assertEqual(set(self.choose_many(view, 20)), {"engine-1"})
        page = 'vllm:num_requests_running{model_name="m"} 6.0\n'
        self.table.loads.record_page("engine-1", page)
        self.assertEqual(set(self.choose_many(view, 20)), {"engine-0"})

    def test_prefix_is_routed_by_hash_then_by_cache_but_not_to_a_busy_endpoint(self) -> None:
        view = make_view(6)
        prefix = compute_prompt_prefix(MODEL, make_body("a long common start " * 20))
        home = rank(prefix.key, [f"engine-{number}" for number in range(6)])[0]
        self.assertEqual(self.table.choose(view, "pool", prefix=prefix).id, home)
        holder = next(f"engine-{number}" for number in range(6) if f"engine-{number}" != home)
        self.table.caches.views_by_id[holder] = cache_view = CacheView()
        cache_view._cached_blocks.update(prefix.blocks)
        self.assertEqual(self.table.choose(view, "pool", prefix=prefix).id, holder)
        self.table.in_flight_by_id[holder] = 8
        self.assertNotEqual(self.table.choose(view, "pool", prefix=prefix).id, holder)


class BreakerTest(unittest.IsolatedAsyncioTestCase):
    async def test_share_grows_after_the_pause_and_a_new_failure_doubles_it(self) -> None:
        clock = FakeClock()
        breakers = CircuitBreakers(clock, random.Random(1))
        for _ in range(breaker.FAILURES_TO_OPEN - 1):
            breakers.record_failure("a")
        self.assertEqual(breakers.share("a"), 1.0)
        breakers.record_failure("a")
        self.assertEqual(breakers.share("a"), 0.0)
        await clock.advance(breaker.FIRST_OPEN_MS)
        self.assertEqual(breakers.share("a"), breaker.INITIAL_SHARE)
        breakers.record_success("a")
        await clock.advance(breaker.RAMP_MS // 2)
        self.assertAlmostEqual(breakers.share("a"), breaker.INITIAL_SHARE + 0.5)
        breakers.record_failure("a")
        self.assertEqual(breakers.remaining_open_ms("a"), 2 * breaker.FIRST_OPEN_MS)
        await clock.advance(2 * breaker.FIRST_OPEN_MS + breaker.RAMP_MS)
        breakers.record_success("a")
        self.assertEqual(breakers.share("a"), 1.0)
        breakers.record_failure("a")
        self.assertEqual(breakers.share("a"), 1.0)


class LoadTest(unittest.IsolatedAsyncioTestCase):
    async def test_report_excludes_own_requests_and_decays(self) -> None:
        clock = FakeClock()
        loads = LoadReports(clock, lambda _: 2)
        page = (
            "# TYPE vllm:num_requests_running gauge\n"
            'vllm:num_requests_running{model_name="a"} 5.0\n'
            "# TYPE vllm:num_requests_waiting gauge\n"
            'vllm:num_requests_waiting{model_name="a"} 3.0\n'
        )
        loads.record_page("engine", page)
        self.assertGreater(loads.other_requests("engine"), 4)
        await clock.advance(4 * DECAY_MS)
        self.assertLess(loads.other_requests("engine"), 0.2)


class CacheViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = CacheView()
        self.prefix = compute_prompt_prefix(MODEL, make_body("x" * 200))
        self.tokens = [ord(character) for character in "user: " + "x" * 200]

    def batch(self, at_seconds: float, *events: list) -> bytes:
        return msgspec.msgpack.encode([at_seconds, events])

    def stored(self, names: list[int], parent: int | None = None, first: int = 0) -> list:
        tokens = self.tokens[first * 64 : (first + len(names)) * 64]
        return ["BlockStored", names, parent, tokens, 64, None, "GPU", MODEL]

    def test_blocks_are_stored_removed_and_cleared(self) -> None:
        self.view.apply(0, self.batch(1, self.stored([11, 12])))
        self.assertAlmostEqual(self.view.expected_hit_ratio(self.prefix), 2 / 3)
        self.view.apply(1, self.batch(2, self.stored([13], 12, 2)))
        self.assertEqual(self.view.expected_hit_ratio(self.prefix), 1)
        self.view.apply(2, self.batch(3, ["BlockRemoved", [12], "GPU"]))
        self.assertAlmostEqual(self.view.expected_hit_ratio(self.prefix), 1 / 3)
        self.view.apply(3, self.batch(4, ["AllBlocksCleared"]))
        self.assertEqual(self.view.expected_hit_ratio(self.prefix), 0)

    def test_blocks_before_a_gap_are_not_expected(self) -> None:
        self.view.apply(0, self.batch(1, self.stored([11, 12])))
        later = self.batch(3, self.stored([13], 12, 2))
        self.assertFalse(self.view.apply(2, later))
        self.view.reset_to(2)
        self.assertTrue(self.view.apply(2, later))
        self.assertEqual(self.view.expected_hit_ratio(self.prefix), 0)
        self.view.apply(3, self.batch(4, self.stored([21])))
        self.assertAlmostEqual(self.view.expected_hit_ratio(self.prefix), 1 / 3)

    def test_engine_restart_is_distinguished_from_a_late_batch(self) -> None:
        for sequence in range(3):
            self.view.apply(sequence, self.batch(sequence, self.stored([11])))
        self.assertTrue(self.view.apply(1, self.batch(1, ["AllBlocksCleared"])))
        self.assertGreater(self.view.expected_hit_ratio(self.prefix), 0)
        self.assertFalse(self.view.apply(1, self.batch(9)))
        self.assertEqual(self.view.expected_hit_ratio(self.prefix), 0)


class CacheEventsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = Clock()
        self.engine = EngineStandin("engine-1", models=(MODEL,), tokens=1)
        self.addAsyncCleanup(self.engine.stop)
        await self.engine.start(events_port=0, replay_port=0)
        self.endpoint = Endpoint(
            "engine-1",
            f"127.0.0.1:{self.engine.port}",
            "dc",
            events_address=f"127.0.0.1:{self.engine.events.events_port}",
            replay_address=f"127.0.0.1:{self.engine.events.replay_port}",
        )
        self.metrics = Metrics()
        self.http = HttpClient(self.clock)
        self.addAsyncCleanup(self.http.close)

    async def follow(self, endpoint: Endpoint) -> CacheEvents:
        caches = CacheEvents(self.clock, self.metrics)
        task = asyncio.ensure_future(caches.follow(lambda: [endpoint]))
        self.addAsyncCleanup(asyncio.wait, [task])
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.1)
        return caches

    async def send_prompt(self, text: str) -> None:
        body = msgspec.json.encode({"model": MODEL, **make_body(text)})
        request = HttpRequest("POST", "/v1/chat/completions", {}, body)
        await self.http.call(Address.parse(self.endpoint.address), request)

    async def wait_until_cached(self, caches: CacheEvents, text: str) -> None:
        prefix = compute_prompt_prefix(MODEL, make_body(text))
        while caches.views_by_id["engine-1"].expected_hit_ratio(prefix) < 1:
            await asyncio.sleep(0.01)

    async def test_replay_closes_gaps_without_dropping_the_view(self) -> None:
        await self.send_prompt("before the subscription " * 10)
        caches = await self.follow(self.endpoint)
        await self.wait_until_cached(caches, "before the subscription " * 10)
        self.engine.faults.update({"drop_every_event": 2})
        for number in range(6):
            await self.send_prompt(f"prompt {number} " * 20)
        await self.wait_until_cached(caches, "prompt 4 " * 20)
        self.assertGreater(self.metrics.totals_by_name["dispatch.cache_event_gaps"], 0)
        self.assertEqual(self.metrics.totals_by_name["dispatch.cache_views_dropped"], 0)

    async def test_gap_without_replay_drops_the_view(self) -> None:
        caches = await self.follow(replace(self.endpoint, replay_address=""))
        await self.send_prompt("first " * 20)
        await self.wait_until_cached(caches, "first " * 20)
        self.engine.faults.update({"drop_every_event": 2})
        for number in range(4):
            await self.send_prompt(f"prompt {number} " * 20)
        while not self.metrics.totals_by_name["dispatch.cache_views_dropped"]:
            await asyncio.sleep(0.01)
        prefix = compute_prompt_prefix(MODEL, make_body("first " * 20))
        self.assertEqual(caches.views_by_id["engine-1"].expected_hit_ratio(prefix), 0)

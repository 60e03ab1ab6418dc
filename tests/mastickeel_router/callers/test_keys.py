"""Idempotency keys: a call that may not be repeated runs at most once on any set of instances."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from mastickeel.clock import Clock
from tests.fleet import Fleet, read_json, stream_events

ORDERS = "/services/order-register/orders"
KEY = {"Idempotency-Key": "filing-1"}


class IdempotencyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(routers=3)
        self.register = self.fleet.register

    async def place_order(self, router: int = 0, body: bytes = b"order", **headers: str) -> tuple:
        all_headers = {**KEY, **headers} if headers != {"unkeyed": "1"} else {}
        answer = await self.fleet.call(ORDERS, body, router=router, headers=all_headers)
        return answer.status, read_json(answer), answer.headers

    async def test_repeats_on_all_routers_get_one_outcome_and_one_bill(self) -> None:
        answers = await asyncio.gather(*(self.place_order(number % 3) for number in range(9)))
        self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertEqual({body["ran"] for _, body, _ in answers}, {1})
        self.assertEqual(len(self.register.runs), 1)
        bills = await self.fleet.routers[0].ledger.list_bills("demo")
        self.assertEqual(len(bills), 1)

    async def test_another_body_under_the_same_key_is_refused(self) -> None:
        await self.place_order()
        status, problem, _ = await self.place_order(1, b"another order")
        self.assertEqual((status, problem["code"], problem["ran"]), (422, "key_reused", "no"))

    async def test_call_with_a_lost_answer_is_unknown_to_every_repeat_and_runs_once(self) -> None:
        self.register.faults.lose_answer = True
        for router in range(3):
            status, problem, _ = await self.place_order(router)
            self.assertEqual((status, problem["code"]), (502, "outcome_unknown"))
            self.assertEqual(problem["ran"], "unknown")
        self.assertEqual(len(self.register.runs), 1)

    async def test_call_without_key_is_sent_once_and_writes_no_intent(self) -> None:
        self.register.faults.lose_answer = True
        status, problem, _ = await self.place_order(unkeyed="1")
        self.assertEqual((status, problem["ran"]), (502, "unknown"))
        self.assertEqual(len(self.register.runs), 1)
        found = await self.fleet.routers[0].store.range(
            f"{self.fleet.routers[0].settings.store.prefix}/intents/", prefix=True
        )
        self.assertEqual(found.items, ())

    async def test_call_to_a_stopped_endpoint_did_not_run_and_its_key_can_be_used_again(
        self,
    ) -> None:
        port = self.register.port
        await self.register.stop()
        status, problem, headers = await self.place_order()
        self.assertEqual((status, problem["ran"]), (503, "no"))
        self.assertIn("Retry-After", headers)
        await self.register.start(port)
        for router in self.fleet.routers:
            router.endpoints.breakers._breakers_by_id.clear()
        status, _, _ = await self.place_order(1)
        self.assertEqual((status, len(self.register.runs)), (200, 1))

    async def test_call_during_a_store_outage_does_not_run(self) -> None:
        self.fleet.store.faults.outage = True
        status, problem, headers = await self.place_order()
        self.assertEqual((status, problem["ran"]), (503, "no"))
        self.assertIn("Retry-After", headers)
        self.assertEqual(self.register.runs, [])

    async def test_call_runs_to_its_end_when_the_caller_disconnects(self) -> None:
        self.register.faults.delay_ms = 100
        calling = asyncio.ensure_future(self.place_order())
        while not self.register.runs:
            await asyncio.sleep(0.005)
        calling.cancel()
        await asyncio.gather(calling, return_exceptions=True)
        status, body, headers = await self.place_order(1)
        self.assertEqual((status, body["ran"]), (200, 1))
        self.assertEqual(headers["Idempotent-Replayed"], "true")
        self.assertEqual(len(self.register.runs), 1)

    async def test_repeated_chat_gets_the_same_answer_and_one_bill(self) -> None:
        first = await self.fleet.chat(headers=KEY)
        again = await self.fleet.chat(router=1, headers=KEY)
        self.assertEqual(first.body, again.body)
        self.assertEqual(again.headers["Idempotent-Replayed"], "true")
        await self.check_one_bill()

    async def test_repeated_stream_is_refused_as_already_answered(self) -> None:
        first = await self.fleet.chat(headers=KEY, stream=True)
        self.assertEqual(stream_events(first)[-1], "[DONE]")
        again = await self.fleet.chat(router=1, headers=KEY, stream=True)
        problem = msgspec.json.decode(again.body)
        self.assertEqual((again.status, problem["code"]), (409, "already_answered"))
        await self.check_one_bill()

    async def test_key_of_an_unbilled_failed_chat_can_be_used_again(self) -> None:
        for engine in self.fleet.engines:
            engine.faults.fail_rate = 1.0
        failed = await self.fleet.chat(headers=KEY)
        self.assertEqual(failed.status, 502)
        for engine in self.fleet.engines:
            engine.faults.fail_rate = 0.0
        for router in self.fleet.routers:
            router.endpoints.breakers._breakers_by_id.clear()
        clock = Clock()
        while (again := await self.fleet.chat(router=1, headers=KEY)).status != 200:
            await clock.sleep(10)
        self.assertEqual(again.status, 200)
        await self.check_one_bill()

    async def test_key_of_an_unbilled_broken_stream_can_be_used_again(self) -> None:
        for engine in self.fleet.engines:
            engine.faults.no_end_mark = True
        broken = await self.fleet.chat(headers=KEY, stream=True)
        self.assertIn("error", msgspec.json.decode(stream_events(broken)[-1]))
        for engine in self.fleet.engines:
            engine.faults.no_end_mark = False
        for router in self.fleet.routers:
            router.endpoints.breakers._breakers_by_id.clear()
        clock = Clock()
        while (again := await self.fleet.chat(headers=KEY, stream=True)).status != 200:
            await clock.sleep(10)
        self.assertEqual(stream_events(again)[-1], "[DONE]")
        await self.check_one_bill()

    async def check_one_bill(self) -> None:
        bills = await self.fleet.routers[2].ledger.list_bills("demo")
        self.assertEqual(len(bills), 1)

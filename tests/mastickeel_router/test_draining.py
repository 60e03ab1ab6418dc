"""A stop cuts no request off, and instances are replaced under load without losing any."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

from mastickeel.errors import ExecutionStatus, MastickeelError, StoreError
from mastickeel_router import router as router_module
from mastickeel_router.process import drain_and_close
from tests.fleet import Fleet, read_json, stream_events

if TYPE_CHECKING:
    from mastickeel.httpmessages import HttpAnswer
    from mastickeel_router.router import Router

CALLERS = 6
REQUESTS_EACH = 15


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """Three routers before two engines that take their time."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(routers=3, piece_ms=15)
        self.hurry = asyncio.Event()
        lingering = patch.object(router_module, "LINGER_MS", 400)
        lingering.start()
        self.addCleanup(lingering.stop)

    def runs(self) -> int:
        return sum(len(engine.runs) for engine in self.fleet.engines)

    async def bills(self, router: int) -> list[str]:
        return [bill.id for bill in await self.fleet.routers[router].ledger.list_bills("demo")]

    async def ready(self, router: int) -> int:
        return (await self.fleet.admin("/ready", router=router)).status

    async def test_open_requests_end_whole_and_new_ones_did_not_run(self) -> None:
        router = self.fleet.routers[0]
        open_ones = [
            asyncio.ensure_future(self.fleet.chat(f"open {n}", stream=True)) for n in range(5)
        ]
        await asyncio.sleep(0.06)
        stopping = asyncio.ensure_future(drain_and_close(router, self.hurry))
        while not router.gate.leaving:
            await asyncio.sleep(0)
        late = await self.fleet.chat("late")
        self.assertEqual((late.status, read_json(late)["ran"]), (503, "no"))
        self.assertIn("Retry-After", late.headers)
        await stopping
        answers = await asyncio.gather(*open_ones)
        self.assertTrue(all(stream_events(one)[-1] == "[DONE]" for one in answers))
        self.assertEqual(len(router.ledger.journal), 0)
        self.assertEqual(self.runs(), 5)
        self.assertEqual(len(set(await self.bills(1))), 5)

    async def test_a_stop_is_told_to_the_balancer_before_work_is_refused(self) -> None:
        router = self.fleet.routers[0]
        held = asyncio.ensure_future(self.fleet.chat("open"))
        await asyncio.sleep(0.05)
        before = await self.ready(0)
        stopping = asyncio.ensure_future(drain_and_close(router, self.hurry))
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertTrue(router.gate.stopping)
        self.assertEqual((before, await self.ready(0)), (200, 503))
        await stopping
        self.assertEqual((await held).status, 200)

    async def test_instance_that_is_listed_as_leaving_closes_its_own_gate(self) -> None:
        router = self.fleet.routers[0]
        held = asyncio.ensure_future(self.fleet.chat("open"))
        await asyncio.sleep(0.05)
        router.control.apply_listed_state("router-2", True)
        self.assertEqual(await self.ready(0), 200)
        router.control.apply_listed_state("router-1", True)
        self.assertEqual(await self.ready(0), 503)
        late = await self.fleet.chat("late")
        self.assertEqual((late.status, read_json(late)["ran"]), (503, "no"))
        self.assertEqual((await held).status, 200)
        self.assertEqual((await self.fleet.chat("late", router=2)).status, 200)

    async def test_a_second_signal_loses_no_bill(self) -> None:
        router = self.fleet.routers[0]
        await self.fleet.chat("done")
        self.fleet.store.faults.outage = True
        running = asyncio.ensure_future(self.fleet.chat("long", max_tokens=8))
        await asyncio.sleep(0.05)
        stopping = asyncio.ensure_future(drain_and_close(router, self.hurry))
        self.hurry.set()
        await stopping
        await router.stop()
        self.fleet.store.faults.outage = False
        self.assertGreaterEqual(len(await self.bills(1)), 1)
        await asyncio.gather(running, return_exceptions=True)

    async def test_a_second_stop_asks_nobody_anything(self) -> None:
        router = self.fleet.routers[0]
        # A farewell that failed would otherwise be tried again over sockets that are closed.
        with patch.object(
            router.control.roster_reconciler, "leave", side_effect=StoreError("away")
        ) as leave:
            await router.stop()
            await router.stop()
        self.assertEqual(leave.call_count, 1)

    async def test_all_instances_are_replaced_under_load_without_losing_a_request(self) -> None:
        draw = random.Random(5)
        self.balanced = list(self.fleet.routers)
        callers = [asyncio.ensure_future(self.call_again(n, draw)) for n in range(CALLERS)]
        for number in range(3):
            await asyncio.sleep(0.1)
            self.balanced.append(await self.fleet.add_router(10 + number))
            await self.replace(self.fleet.routers[number])
        answers = [answer for each in await asyncio.gather(*callers) for answer in each]
        self.assertEqual([one.status for one in answers], [200] * (CALLERS * REQUESTS_EACH))
        self.assertEqual(self.runs(), CALLERS * REQUESTS_EACH)
        bills = await self.bills(5)
        self.assertEqual((len(bills), len(set(bills))), (CALLERS * REQUESTS_EACH,) * 2)

    async def replace(self, router: Router) -> None:
        await drain_and_close(router, self.hurry)
        # Its ports may belong to others once it has stopped; by then no balancer sends to it.
        self.balanced.remove(router)
        await router.stop()

    async def call_again(self, caller: int, draw: random.Random) -> list[HttpAnswer]:
        """Sends requests as a balancer would, to any router, again only if they did not run."""
        answers: list[HttpAnswer] = []
        while len(answers) < REQUESTS_EACH:
            router = self.fleet.routers.index(draw.choice(self.balanced))
            try:
                answer = await self.fleet.chat(f"{caller}/{len(answers)}", router=router)
            except MastickeelError as error:
                if error.ran is not ExecutionStatus.NO:
                    raise
                await asyncio.sleep(0.01)
                continue
            if answer.status == 503 and read_json(answer)["ran"] == "no":
                await asyncio.sleep(0.01)
                continue
            answers.append(answer)
        return answers

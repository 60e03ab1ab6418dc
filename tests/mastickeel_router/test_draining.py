"""Graceful shutdown: no open request is cut off, and a rolling replacement loses no request."""

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
REQUESTS_PER_CALLER = 15


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """Three routers with two slow engines."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(routers=3, piece_ms=15)
        self.skip_drain = asyncio.Event()
        linger_patch = patch.object(router_module, "LINGER_MS", 400)
        linger_patch.start()
        self.addCleanup(linger_patch.stop)

    def runs(self) -> int:
        return sum(len(engine.runs) for engine in self.fleet.engines)

    async def bill_ids(self, router: int) -> list[str]:
        return [bill.id for bill in await self.fleet.routers[router].ledger.list_bills("demo")]

    async def ready_status(self, router: int) -> int:
        return (await self.fleet.admin("/ready", router=router)).status

    async def test_drain_completes_open_requests_and_refuses_new_ones_as_not_run(self) -> None:
        router = self.fleet.routers[0]
        open_requests = [
            asyncio.ensure_future(self.fleet.chat(f"open {n}", stream=True)) for n in range(5)
        ]
        await asyncio.sleep(0.06)
        stopping = asyncio.ensure_future(drain_and_close(router, self.skip_drain))
        while not router.gate.refuses_requests:
            await asyncio.sleep(0)
        late = await self.fleet.chat("late")
        self.assertEqual((late.status, read_json(late)["ran"]), (503, "no"))
        self.assertIn("Retry-After", late.headers)
        await stopping
        answers = await asyncio.gather(*open_requests)
        self.assertTrue(all(stream_events(answer)[-1] == "[DONE]" for answer in answers))
        self.assertEqual(len(router.ledger.journal), 0)
        self.assertEqual(self.runs(), 5)
        self.assertEqual(len(set(await self.bill_ids(1))), 5)

    async def test_readiness_fails_before_new_work_is_refused(self) -> None:
        router = self.fleet.routers[0]
        open_request = asyncio.ensure_future(self.fleet.chat("open"))
        await asyncio.sleep(0.05)
        before = await self.ready_status(0)
        stopping = asyncio.ensure_future(drain_and_close(router, self.skip_drain))
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertTrue(router.gate.stop_requested)
        self.assertEqual((before, await self.ready_status(0)), (200, 503))
        await stopping
        self.assertEqual((await open_request).status, 200)

    async def test_instance_listed_as_leaving_refuses_new_work(self) -> None:
        router = self.fleet.routers[0]
        open_request = asyncio.ensure_future(self.fleet.chat("open"))
        await asyncio.sleep(0.05)
        router.control.apply_listed_state("router-2", True)
        self.assertEqual(await self.ready_status(0), 200)
        router.control.apply_listed_state("router-1", True)
        self.assertEqual(await self.ready_status(0), 503)
        late = await self.fleet.chat("late")
        self.assertEqual((late.status, read_json(late)["ran"]), (503, "no"))
        self.assertEqual((await open_request).status, 200)
        self.assertEqual((await self.fleet.chat("late", router=2)).status, 200)

    async def test_second_signal_loses_no_bill(self) -> None:
        router = self.fleet.routers[0]
        await self.fleet.chat("done")
        self.fleet.store.faults.outage = True
        running = asyncio.ensure_future(self.fleet.chat("long", max_tokens=8))
        await asyncio.sleep(0.05)
        stopping = asyncio.ensure_future(drain_and_close(router, self.skip_drain))
        self.skip_drain.set()
        await stopping
        await router.stop()
        self.fleet.store.faults.outage = False
        self.assertGreaterEqual(len(await self.bill_ids(1)), 1)
        await asyncio.gather(running, return_exceptions=True)

    async def test_second_stop_sends_nothing(self) -> None:
        router = self.fleet.routers[0]
        # A second stop that repeated the failed leave would use sockets that are closed by then.
        with patch.object(
            router.control.roster_reconciler, "leave", side_effect=StoreError("away")
        ) as leave:
            await router.stop()
            await router.stop()
        self.assertEqual(leave.call_count, 1)

    async def test_rolling_replacement_under_load_loses_no_request(self) -> None:
        rng = random.Random(5)
        self.balanced = list(self.fleet.routers)
        callers = [asyncio.ensure_future(self.send_requests(n, rng)) for n in range(CALLERS)]
        for number in range(3):
            await asyncio.sleep(0.1)
            self.balanced.append(await self.fleet.add_router(10 + number))
            await self.replace(self.fleet.routers[number])
        answers = [answer for received in await asyncio.gather(*callers) for answer in received]
        self.assertEqual(
            [answer.status for answer in answers], [200] * (CALLERS * REQUESTS_PER_CALLER)
        )
        self.assertEqual(self.runs(), CALLERS * REQUESTS_PER_CALLER)
        bill_ids = await self.bill_ids(5)
        self.assertEqual((len(bill_ids), len(set(bill_ids))), (CALLERS * REQUESTS_PER_CALLER,) * 2)

    async def replace(self, router: Router) -> None:
        await drain_and_close(router, self.skip_drain)
        # Another process may reuse the router's ports after its stop, so the balancer drops it
        # before that.
        self.balanced.remove(router)
        await router.stop()

    async def send_requests(self, caller: int, rng: random.Random) -> list[HttpAnswer]:
        """Sends requests to random routers, as a balancer does; resends those that did not run."""
        answers: list[HttpAnswer] = []
        while len(answers) < REQUESTS_PER_CALLER:
            router = self.fleet.routers.index(rng.choice(self.balanced))
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

"""Intents block their key on every instance, whatever the store or an instance does."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from mastickeel.addresses import Address
from mastickeel.clock import Clock
from mastickeel.errors import OutcomeUnknownError, Ran, UnavailableError
from mastickeel.httpclient import HttpClient
from mastickeel.keyvalue import KeyValueClient
from mastickeel.tasks import TaskGroup
from mastickeel_router.dispatch import intents as module
from mastickeel_router.dispatch.intent import IntentKey, Outcome
from mastickeel_router.dispatch.intents import (
    AlreadyAnsweredError,
    Claim,
    IntentTable,
    KeyReusedError,
)
from mastickeel_standins.keyvalue import KeyValueStandin

NAME = IntentKey("account", "service", "key/1")
ANSWER = Outcome(200, "text/plain", b"done")


class SteppedClock(Clock):
    """The real clock, moved on by as much as an instance was paused."""

    paused_ms = 0

    def now(self) -> int:
        return super().now() + self.paused_ms


class Instance:
    """What one instance has of intents."""

    def __init__(self, store: KeyValueStandin, name: str, timeout_ms: int = 2_000) -> None:
        self.clock = SteppedClock()
        self.http = HttpClient(self.clock)
        self.tasks = TaskGroup()
        address = Address("127.0.0.1", store.port)
        self.client = KeyValueClient(
            self.http,
            [address],
            clock=self.clock,
            timeout_ms=timeout_ms,
            calls_per_second=1_000,
            name=name,
        )
        self.intents = IntentTable(self.client, "/test", clock=self.clock, tasks=self.tasks)

    async def claim(
        self, request_id: str, name: IntentKey = NAME, fingerprint: str = "same"
    ) -> Claim | Outcome:
        return await self.intents.claim(name, fingerprint, request_id)

    async def stop(self) -> None:
        await self.tasks.stop()
        await self.http.close()


class IntentsCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        before = module.REPEAT_POLL_DELAYS_MS
        module.REPEAT_POLL_DELAYS_MS = (20, 40)
        self.addCleanup(setattr, module, "REPEAT_POLL_DELAYS_MS", before)
        self.store = KeyValueStandin()
        self.addAsyncCleanup(self.store.stop)
        await self.store.start()
        self.first, self.second = self.instance("first"), self.instance("second")

    def instance(self, name: str, timeout_ms: int = 2_000) -> Instance:
        made = Instance(self.store, name, timeout_ms)
        self.addAsyncCleanup(made.stop)
        return made


class ClaimTest(IntentsCase):
    async def test_repeat_on_any_instance_gets_the_recorded_outcome(self) -> None:
        claim = await self.first.claim("r1")
        claim.begin_send()
        await claim.record_outcome(ANSWER)
        for instance in (self.first, self.second, self.instance("third")):
            self.assertEqual(await instance.claim("again"), ANSWER)

    async def test_repeat_waits_for_the_call_in_flight(self) -> None:
        module.REPEAT_POLL_DELAYS_MS = (20,) * 500
        claim = await self.first.claim("r1")
        repeats = [asyncio.ensure_future(one.claim("r2")) for one in (self.first, self.second)]
        await asyncio.sleep(0.01)
        await claim.record_outcome(ANSWER)
        self.assertEqual(await asyncio.gather(*repeats), [ANSWER, ANSWER])

    async def test_killed_instance_leaves_the_outcome_unknown_and_never_a_second_run(self) -> None:
        await self.first.claim("r1")
        await self.first.stop()
        with self.assertRaises(OutcomeUnknownError) as caught:
            await self.second.claim("r2")
        self.assertTrue(caught.exception.retry_after_ms)

    async def test_lost_answer_of_the_call_is_told_without_waiting(self) -> None:
        claim = await self.first.claim("r1")
        claim.abandon()
        for instance in (self.first, self.second):
            with self.assertRaises(OutcomeUnknownError):
                await instance.claim("r2")

    async def test_released_key_may_be_claimed_again(self) -> None:
        claim = await self.first.claim("r1")
        await claim.release()
        self.assertIsInstance(await self.second.claim("r2"), Claim)

    async def test_late_release_does_not_free_a_key_that_another_holds(self) -> None:
        claim = await self.first.claim("r1")
        await claim.release()
        await self.second.claim("r2")
        await claim.release()
        with self.assertRaises(OutcomeUnknownError):
            await self.instance("third").claim("r3")

    async def test_other_request_under_the_same_key_is_refused(self) -> None:
        await self.first.claim("r1")
        for instance in (self.first, self.second):
            with self.assertRaises(KeyReusedError) as caught:
                await instance.claim("r2", fingerprint="other")
            self.assertIs(caught.exception.ran, Ran.NO)

    async def test_keys_are_per_account_and_service(self) -> None:
        others = (
            replace(NAME, account_id="other"),
            replace(NAME, scope="other"),
            replace(NAME, key="other"),
        )
        for name in (NAME, *others):
            self.assertIsInstance(await self.first.claim("r", name), Claim)

    async def test_large_answer_is_not_kept_but_its_run_is(self) -> None:
        claim = await self.first.claim("r1")
        await claim.record_outcome(replace(ANSWER, body=b"x" * (module.MAX_OUTCOME_BYTES + 1)))
        with self.assertRaises(AlreadyAnsweredError) as caught:
            await self.second.claim("r2")
        self.assertIs(caught.exception.ran, Ran.YES)

    async def test_instance_paused_past_the_period_may_not_send(self) -> None:
        claim = await self.first.claim("r1")
        self.first.clock.paused_ms = module.RETENTION_MS
        with self.assertRaises(UnavailableError):
            claim.begin_send()
        self.assertFalse(claim.sent)


class StoreFaultTest(IntentsCase):
    async def test_lost_answer_is_settled_by_reading_back(self) -> None:
        # Reading back is a transaction too: only the answers of writes are lost.
        self.store.faults.lose_answer_when = (
            lambda path, body: path.endswith("/txn") and b"request_put" in body
        )
        claiming = asyncio.ensure_future(self.first.claim("r1"))
        await self.until_key()
        self.store.faults.lose_answer_when = None
        self.assertIsInstance(await claiming, Claim)

    async def test_outage_is_refused_as_not_run_and_the_key_stays_usable(self) -> None:
        self.store.faults.outage = True
        with self.assertRaises(UnavailableError) as caught:
            await self.first.claim("r1")
        self.assertIs(caught.exception.ran, Ran.NO)
        self.assertTrue(caught.exception.retry_after_ms)
        self.store.faults.outage = False
        self.assertIsInstance(await self.first.claim("r2"), Claim)

    async def test_intent_that_appears_late_blocks_its_key(self) -> None:
        hasty = self.instance("hasty", timeout_ms=100)
        await hasty.claim("warm", replace(NAME, key="warm"))
        self.store.faults.delay_ms = 400
        with self.assertRaises(UnavailableError) as caught:
            await hasty.claim("r1")
        self.assertIs(caught.exception.ran, Ran.NO)
        self.store.faults.delay_ms = 0
        await self.until_key()
        for instance in (hasty, self.second):
            with self.assertRaises(OutcomeUnknownError):
                await instance.claim("r2")

    async def test_outcome_is_kept_once_the_store_is_back(self) -> None:
        before = module.RECORD_TIMEOUT_MS, module.RECORD_RETRY_DELAY_MS
        module.RECORD_TIMEOUT_MS, module.RECORD_RETRY_DELAY_MS = 30, 30
        self.addCleanup(setattr, module, "RECORD_TIMEOUT_MS", before[0])
        self.addCleanup(setattr, module, "RECORD_RETRY_DELAY_MS", before[1])
        claim = await self.first.claim("r1")
        self.store.faults.outage = True
        await claim.record_outcome(ANSWER)
        self.assertEqual(await self.first.claim("r2"), ANSWER)
        self.store.faults.outage = False
        while True:
            try:
                self.assertEqual(await self.second.claim("r3"), ANSWER)
                return
            except OutcomeUnknownError:
                continue

    async def test_one_transaction_serves_all_of_a_few_milliseconds(self) -> None:
        await self.first.claim("warm", replace(NAME, key="warm"))
        taken = replace(NAME, key="7")
        await self.second.claim("r", taken)
        before = self.first.client.calls
        names = [replace(NAME, key=str(number)) for number in range(40)]
        claims = await asyncio.gather(
            *(self.first.claim(f"r{name.key}", name) for name in names), return_exceptions=True
        )
        self.assertEqual(sum(isinstance(one, Claim) for one in claims), 39)
        self.assertIsInstance(claims[7], OutcomeUnknownError)
        self.assertLessEqual(
            self.first.client.calls - before, 2 + len(module.REPEAT_POLL_DELAYS_MS)
        )

    async def until_key(self) -> None:
        path = f"/test/intents/{NAME.path()}"
        while await self.second.client.get(path) is None:
            await asyncio.sleep(0.01)

"""Intents block their key on every instance despite faults of the store or an instance."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from mastickeel.addresses import Address
from mastickeel.clock import Clock
from mastickeel.errors import ExecutionStatus, OutcomeUnknownError, UnavailableError
from mastickeel.httpclient import HttpClient
from mastickeel.keyvalue import KeyValueClient
from mastickeel.tasks import TaskGroup
from mastickeel_router.dispatch import intents as intents_module
from mastickeel_router.dispatch.intent import IntentKey, IntentOutcome
from mastickeel_router.dispatch.intents import (
    AlreadyAnsweredError,
    Claim,
    IntentTable,
    KeyReusedError,
)
from mastickeel_standins.keyvalue import KeyValueStandin

KEY = IntentKey("account", "service", "key/1")
ANSWER = IntentOutcome(200, "text/plain", b"done")


class SteppedClock(Clock):
    """The real clock, advanced by the time for which an instance was paused."""

    paused_ms = 0

    def now(self) -> int:
        return super().now() + self.paused_ms


class Instance:
    """One instance with its own connection to the store and intent table."""

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
        self, request_id: str, intent_key: IntentKey = KEY, fingerprint: str = "same"
    ) -> Claim | IntentOutcome:
        return await self.intents.claim(intent_key, fingerprint, request_id)

    async def stop(self) -> None:
        await self.tasks.stop()
        await self.http.close()


class IntentsCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        before = intents_module.REPEAT_POLL_DELAYS_MS
        intents_module.REPEAT_POLL_DELAYS_MS = (20, 40)
        self.addCleanup(setattr, intents_module, "REPEAT_POLL_DELAYS_MS", before)
        self.store = KeyValueStandin()
        self.addAsyncCleanup(self.store.stop)
        await self.store.start()
        self.first, self.second = self.instance("first"), self.instance("second")

    def instance(self, name: str, timeout_ms: int = 2_000) -> Instance:
        instance = Instance(self.store, name, timeout_ms)
        self.addAsyncCleanup(instance.stop)
        return instance


class ClaimTest(IntentsCase):
    async def test_repeat_on_any_instance_gets_the_recorded_outcome(self) -> None:
        claim = await self.first.claim("r1")
        claim.begin_send()
        await claim.record_outcome(ANSWER)
        for instance in (self.first, self.second, self.instance("third")):
            self.assertEqual(await instance.claim("again"), ANSWER)

    async def test_repeat_waits_for_the_call_in_flight(self) -> None:
        intents_module.REPEAT_POLL_DELAYS_MS = (20,) * 500
        claim = await self.first.claim("r1")
        repeats = [
            asyncio.ensure_future(instance.claim("r2")) for instance in (self.first, self.second)
        ]
        await asyncio.sleep(0.01)
        await claim.record_outcome(ANSWER)
        self.assertEqual(await asyncio.gather(*repeats), [ANSWER, ANSWER])

    async def test_killed_instance_leaves_the_outcome_unknown_and_never_a_second_run(self) -> None:
        await self.first.claim("r1")
        await self.first.stop()
        with self.assertRaises(OutcomeUnknownError) as caught:
            await self.second.claim("r2")
        self.assertTrue(caught.exception.retry_after_ms)

    async def test_abandoned_call_is_reported_unknown_without_waiting(self) -> None:
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
            self.assertIs(caught.exception.ran, ExecutionStatus.NO)

    async def test_keys_are_per_account_and_service(self) -> None:
        others = (
            replace(KEY, account_id="other"),
            replace(KEY, scope="other"),
            replace(KEY, key="other"),
        )
        for key in (KEY, *others):
            self.assertIsInstance(await self.first.claim("r", key), Claim)

    async def test_large_answer_is_not_stored_but_its_run_is_recorded(self) -> None:
        claim = await self.first.claim("r1")
        await claim.record_outcome(
            replace(ANSWER, body=b"x" * (intents_module.MAX_OUTCOME_BYTES + 1))
        )
        with self.assertRaises(AlreadyAnsweredError) as caught:
            await self.second.claim("r2")
        self.assertIs(caught.exception.ran, ExecutionStatus.YES)

    async def test_instance_paused_past_the_retention_may_not_send(self) -> None:
        claim = await self.first.claim("r1")
        self.first.clock.paused_ms = intents_module.RETENTION_MS
        with self.assertRaises(UnavailableError):
            claim.begin_send()
        self.assertFalse(claim.sent)


class StoreFaultTest(IntentsCase):
    async def test_lost_answer_of_the_store_is_resolved_by_reading_back(self) -> None:
        # Reading back is a transaction too; only the answers to writes are lost.
        self.store.faults.lose_answer_when = (
            lambda path, body: path.endswith("/txn") and b"request_put" in body
        )
        claiming = asyncio.ensure_future(self.first.claim("r1"))
        await self.wait_until_stored()
        self.store.faults.lose_answer_when = None
        self.assertIsInstance(await claiming, Claim)

    async def test_outage_of_the_store_is_refused_as_not_run_and_leaves_the_key_free(self) -> None:
        self.store.faults.outage = True
        with self.assertRaises(UnavailableError) as caught:
            await self.first.claim("r1")
        self.assertIs(caught.exception.ran, ExecutionStatus.NO)
        self.assertTrue(caught.exception.retry_after_ms)
        self.store.faults.outage = False
        self.assertIsInstance(await self.first.claim("r2"), Claim)

    async def test_intent_created_after_the_timeout_blocks_its_key(self) -> None:
        impatient = self.instance("impatient", timeout_ms=100)
        await impatient.claim("warm", replace(KEY, key="warm"))
        self.store.faults.delay_ms = 400
        with self.assertRaises(UnavailableError) as caught:
            await impatient.claim("r1")
        self.assertIs(caught.exception.ran, ExecutionStatus.NO)
        self.store.faults.delay_ms = 0
        await self.wait_until_stored()
        for instance in (impatient, self.second):
            with self.assertRaises(OutcomeUnknownError):
                await instance.claim("r2")

    async def test_outcome_is_stored_after_an_outage(self) -> None:
        before = intents_module.RECORD_TIMEOUT_MS, intents_module.RECORD_RETRY_DELAY_MS
        intents_module.RECORD_TIMEOUT_MS, intents_module.RECORD_RETRY_DELAY_MS = 30, 30
        self.addCleanup(setattr, intents_module, "RECORD_TIMEOUT_MS", before[0])
        self.addCleanup(setattr, intents_module, "RECORD_RETRY_DELAY_MS", before[1])
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

    async def test_claims_within_a_few_milliseconds_share_a_transaction(self) -> None:
        await self.first.claim("warm", replace(KEY, key="warm"))
        claimed_key = replace(KEY, key="7")
        await self.second.claim("r", claimed_key)
        before = self.first.client.calls
        keys = [replace(KEY, key=str(number)) for number in range(40)]
        claims = await asyncio.gather(
            *(self.first.claim(f"r{key.key}", key) for key in keys), return_exceptions=True
        )
        self.assertEqual(sum(isinstance(claim, Claim) for claim in claims), 39)
        self.assertIsInstance(claims[7], OutcomeUnknownError)
        self.assertLessEqual(
            self.first.client.calls - before, 2 + len(intents_module.REPEAT_POLL_DELAYS_MS)
        )

    async def wait_until_stored(self) -> None:
        path = f"/test/intents/{KEY.path()}"
        while await self.second.client.get(path) is None:
            await asyncio.sleep(0.01)

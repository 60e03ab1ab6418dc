"""Answers stay whole, their own and in order under each fault of a stream, alone and in pairs."""

from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from mastickeel.clock import Clock
from mastickeel.errors import EndpointError, MastickeelError, NoVersionError, Ran, UnavailableError
from mastickeel.httpclient import HttpClient
from mastickeel.metrics import Metrics
from mastickeel.model import (
    Account,
    Configuration,
    Delta,
    Endpoint,
    Pool,
    Version,
    VersionState,
    View,
)
from mastickeel.tasks import TaskGroup
from mastickeel_router.choice.cascade import BufferedSink
from mastickeel_router.dispatch import ChatDispatcher, EndpointTable, engine
from mastickeel_router.dispatch.answer import AnswerGapError, AnswerStream
from mastickeel_router.dispatch.chat import DeadlineError
from mastickeel_router.requests import ChatRequest, Choice
from mastickeel_standins.engine import EngineStandin, answer_pieces

if TYPE_CHECKING:
    from mastickeel_router.requests import Run

VERSION = "draft@1"
TOKENS = 8
PROMPT = "user: hello"
WHOLE = "".join(answer_pieces(VERSION, PROMPT, TOKENS))


def make_request(number: int = 1, **fields: object) -> ChatRequest:
    body = {"model": VERSION, "messages": [{"role": "user", "content": "hello"}]}
    request = ChatRequest(f"request-{number}", "account", VERSION, body, True, 0)
    return replace(request, **fields)


class Rig:
    """A dispatcher before some engines."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.http = HttpClient(self.clock)
        self.metrics = Metrics()
        self.tasks = TaskGroup()
        self.engines: list[EngineStandin] = []
        self.outcomes = []
        self.lost: list[str] = []
        self.view = View(Configuration())

    async def start(self, engines: int = 2, **given: object) -> None:
        for number in range(engines):
            standin = EngineStandin(f"engine-{number}", models=(VERSION,), tokens=TOKENS, **given)
            await standin.start()
            self.engines.append(standin)
        endpoints = tuple(
            Endpoint(one.endpoint_id, f"127.0.0.1:{one.port}", "dc") for one in self.engines
        )
        self.change(
            Delta(
                accounts=(Account("account", allowed=("draft",)),),
                versions=(Version(VERSION, "draft", "pool", price_in=1_000, price_out=1_000),),
                pools=(Pool("pool", endpoints=endpoints),),
            )
        )
        self.table = EndpointTable(random.Random(1), clock=self.clock)
        self.dispatcher = ChatDispatcher(
            self.http,
            self.table,
            lambda: self.view,
            self.outcomes.append,
            metrics=self.metrics,
            tasks=self.tasks,
            on_endpoint_lost=self.note_lost,
        )

    def change(self, delta: Delta) -> None:
        self.view = View(self.view.committed.apply(delta, self.view.committed.revision + 1))

    def withdraw(self) -> None:
        version = self.view.committed.versions_by_id[VERSION]
        self.change(Delta(versions=(replace(version, state=VersionState.WITHDRAWN),)))

    async def note_lost(self, request: ChatRequest, endpoint_id: str) -> None:
        self.lost.append(endpoint_id)

    async def run(self, request: ChatRequest | None = None) -> tuple[str, tuple[Run, ...]]:
        sink = BufferedSink()
        runs = await self.dispatcher.run(request or make_request(), Choice(VERSION, "test"), sink)
        return sink.text(), runs

    def fault(self, **faults: object) -> None:
        for standin in self.engines:
            standin.faults.update(faults)

    def dropped(self, why: str) -> int:
        return self.metrics.totals_by_name[f"dispatch.dropped.{why}"]

    async def stop(self) -> None:
        await self.tasks.stop()
        for standin in self.engines:
            await standin.stop()
        await self.http.close()


class StreamCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.rig = Rig()
        self.addAsyncCleanup(self.rig.stop)
        for name in ("FIRST_BYTE_TIMEOUT_MS", "PIECE_TIMEOUT_MS"):
            before = getattr(engine, name)
            setattr(engine, name, 150)
            self.addCleanup(setattr, engine, name, before)


class ResumeTest(StreamCase):
    """A broken stream is read on from its offset on the same engine, as one run."""

    async def test_each_fault_alone_and_in_pairs_leaves_the_answer_whole(self) -> None:
        await self.rig.start()
        single = ({"cut_after": 3}, {"silent_after": 3}, {"cut_after": 0}, {"silent_after": 0})
        faults = [*single, *({**one, "late_and_crossed": True} for one in single)]
        none = {"cut_after": None, "silent_after": None, "late_and_crossed": False}
        for number, fault in enumerate([*faults, {"late_and_crossed": True}]):
            with self.subTest(fault=fault):
                self.rig.fault(**{**none, **fault})
                text, runs = await self.rig.run(make_request(number))
                self.assertEqual(text, WHOLE)
                self.assertEqual([run.usage.completion_tokens for run in runs], [TOKENS])
        ran = [run for standin in self.rig.engines for run in standin.runs]
        self.assertEqual(len(ran), len(faults) + 1)
        self.assertEqual(self.rig.metrics.totals_by_name["dispatch.resumed"], len(faults))
        self.assertGreater(self.rig.dropped("late"), 0)
        self.assertGreater(self.rig.dropped("crossed"), 0)

    async def test_end_without_its_mark_is_no_whole_answer(self) -> None:
        await self.rig.start()
        self.rig.fault(no_end_mark=True)
        with self.assertRaises(EndpointError) as caught:
            await self.rig.run()
        self.assertIs(caught.exception.ran, Ran.YES)

    async def test_withdrawn_version_is_sent_nothing_more(self) -> None:
        await self.rig.start(piece_ms=20)
        self.rig.fault(cut_after=3)
        running = asyncio.ensure_future(self.rig.run())
        while not any(one.running_by_id for one in self.rig.engines):
            await asyncio.sleep(0.005)
        self.rig.withdraw()
        with self.assertRaises(NoVersionError) as caught:
            await running
        self.assertIsNot(caught.exception.ran, Ran.NO)
        self.assertEqual(self.rig.metrics.totals_by_name["dispatch.resumed"], 1)
        self.assertEqual(sum(one.runs_by_model[VERSION] for one in self.rig.engines), 0)

    async def test_running_answer_of_a_withdrawn_version_ends(self) -> None:
        await self.rig.start(piece_ms=10)
        running = asyncio.ensure_future(self.rig.run())
        while not any(one.running_by_id for one in self.rig.engines):
            await asyncio.sleep(0.005)
        self.rig.withdraw()
        self.assertEqual((await running)[0], WHOLE)


class ContinueTest(StreamCase):
    """An answer whose engine is lost goes on at another, from the same piece."""

    async def test_lost_engine_is_followed_by_another_and_both_parts_are_billed(self) -> None:
        await self.rig.start(piece_ms=20)
        running = asyncio.ensure_future(self.rig.run())
        first = await self.engine_with_pieces(3)
        first.faults.down = True
        first.crash()
        text, runs = await running
        self.assertEqual(text, WHOLE)
        self.assertEqual(runs[0].endpoint_id, first.endpoint_id)
        self.assertEqual(sum(run.usage.completion_tokens for run in runs), TOKENS)
        self.assertEqual([run.continued for run in runs], [False, True])
        second = next(one for one in self.rig.engines if one is not first)
        self.assertEqual(second.runs[0].completion_tokens, runs[1].usage.completion_tokens)
        self.assertEqual(self.rig.lost, [first.endpoint_id])

    async def test_quarantine_can_keep_a_lost_request_from_going_elsewhere(self) -> None:
        await self.rig.start()

        async def refuse(request: ChatRequest, endpoint_id: str) -> None:
            raise UnavailableError("quarantined", ran=Ran.UNKNOWN)

        self.rig.dispatcher._on_endpoint_lost = refuse
        self.rig.fault(crash_on="hello", restart_ms=10_000)
        with self.assertRaises(UnavailableError):
            await self.rig.run()
        self.assertEqual(sum(one.crashes for one in self.rig.engines), 1)

    async def test_nothing_left_is_an_explicit_error(self) -> None:
        await self.rig.start(engines=1, piece_ms=20)
        running = asyncio.ensure_future(self.rig.run())
        first = await self.engine_with_pieces(2)
        first.crash()
        with self.assertRaises(EndpointError) as caught:
            await running
        self.assertIs(caught.exception.ran, Ran.YES)

    async def test_refused_everywhere_did_not_run(self) -> None:
        await self.rig.start()
        self.rig.fault(fail_rate=1.0, fail_status=503)
        with self.assertRaises(UnavailableError) as caught:
            await self.rig.run()
        self.assertIs(caught.exception.ran, Ran.NO)
        self.assertTrue(caught.exception.retry_after_ms)
        self.assertEqual([one.runs for one in self.rig.engines], [[], []])

    async def test_fault_cannot_multiply_load(self) -> None:
        await self.rig.start(engines=3)
        self.rig.fault(fail_rate=1.0, fail_status=503)
        for number in range(40):
            with self.assertRaises(UnavailableError):
                await self.rig.run(make_request(number))
        self.assertLessEqual(len(self.rig.outcomes), 40 + 10)

    async def engine_with_pieces(self, pieces: int) -> EngineStandin:
        while True:
            for one in self.rig.engines:
                if any(run.pieces >= pieces for run in one.running_by_id.values()):
                    return one
            await asyncio.sleep(0.005)


class GiveUpTest(StreamCase):
    """What nobody waits for any more stops on the engine."""

    async def test_cancelled_caller_cancels_on_the_engine(self) -> None:
        await self.rig.start(piece_ms=30)
        running = asyncio.ensure_future(self.rig.run())
        while not any(one.running_by_id for one in self.rig.engines):
            await asyncio.sleep(0.005)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await self.until_ended()
        self.assertTrue(self.ended()[0].cancelled)

    async def test_passed_deadline_ends_the_request_at_once_and_on_the_engine(self) -> None:
        await self.rig.start(piece_ms=50)
        now = self.rig.clock.now()
        with self.assertRaises(DeadlineError) as caught:
            await self.rig.run(make_request(deadline_ms=now + 120))
        self.assertIs(caught.exception.ran, Ran.YES)
        await self.until_ended()
        self.assertTrue(self.ended()[0].cancelled)
        with self.assertRaises(DeadlineError) as caught:
            await self.rig.run(make_request(2, deadline_ms=now))
        self.assertIs(caught.exception.ran, Ran.NO)

    def ended(self) -> list:
        return [run for one in self.rig.engines for run in one.runs]

    async def until_ended(self) -> None:
        while not self.ended():
            await asyncio.sleep(0.005)


class AnswerStreamTest(unittest.TestCase):
    """What an answer takes and what it drops, event by event."""

    def setUp(self) -> None:
        self.sink = BufferedSink()
        self.metrics = Metrics()
        self.answer = AnswerStream("r", self.sink, Clock(), self.metrics.count)

    def event(self, sequence: int, text: str, finish: str | None = None, name: str = "r") -> bytes:
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
        data = msgspec.json.encode({"id": f"chatcmpl-{name}", "choices": [choice]})
        return b"id: %d\ndata: %b\n\n" % (sequence, data)

    def test_any_split_and_any_order_of_strays_gives_the_same_text(self) -> None:
        draw = random.Random(7)
        words = [f' {number} [DONE] "usage":{{' for number in range(1, 9)]
        own = [self.event(0, ""), *(self.event(n, word) for n, word in enumerate(words, 1))]
        for _ in range(50):
            self.setUp()
            stream = b""
            for number, event in enumerate(own):
                stream += event + draw.choice(
                    (
                        b"",
                        own[draw.randint(0, number)],
                        self.event(number + 1, "crossed", name="other"),
                        b"id: %d\ndata: [DONE]\n\n" % number,
                        self.event(number, "crossed", "stop", "other"),
                    )
                )
            stream += self.event(8, "", "stop") + b"id: 8\ndata: [DONE]\n\n"
            while stream:
                size = draw.randint(1, 200)
                self.answer.feed(stream[:size])
                stream = stream[size:]
            self.assertEqual(self.sink.text(), "".join(words))
            self.assertTrue(self.answer.ended)

    def test_missing_piece_is_never_passed_over(self) -> None:
        self.answer.feed(self.event(0, "") + self.event(1, "a"))
        with self.assertRaises(AnswerGapError):
            self.answer.feed(self.event(3, "c"))
        with self.assertRaises(AnswerGapError):
            self.answer.feed(self.event(3, "", "stop"))
        self.assertEqual(self.answer.offset, 1)


class BackpressureTest(StreamCase):
    """A caller that does not read holds its engine back, and is given up in the end."""

    async def test_slow_caller_bounds_what_is_read_and_then_ends(self) -> None:
        before = engine.CALLER_STALL_TIMEOUT_MS
        engine.CALLER_STALL_TIMEOUT_MS = 200
        self.addCleanup(setattr, engine, "CALLER_STALL_TIMEOUT_MS", before)
        await self.rig.start(engines=1)
        taken: list[bytes] = []

        class Stuck(BufferedSink):
            def piece(self, event: bytes) -> asyncio.Future[None]:
                taken.append(event)
                return asyncio.get_running_loop().create_future()

        with self.assertRaises(MastickeelError) as caught:
            await self.rig.dispatcher.run(make_request(), Choice(VERSION, "test"), Stuck())
        self.assertEqual(caught.exception.code, "caller_stalled")
        self.assertLess(len(taken), TOKENS)

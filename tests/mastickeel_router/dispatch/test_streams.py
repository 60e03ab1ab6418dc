"""Answers are never cut short, mixed or reordered, under each stream fault and pairs of faults.

The faults are cut or silent connections, duplicate, late or stray events, and lost engines.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from mastickeel.clock import Clock
from mastickeel.errors import (
    EndpointError,
    ExecutionStatus,
    MastickeelError,
    NoVersionError,
    UnavailableError,
)
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
from mastickeel_router.listeners.memory import HeldMemory
from mastickeel_router.listeners.pieces import HeldPieces
from mastickeel_router.requests import ChatRequest, Choice
from mastickeel_standins.engine import EngineStandin, generate_pieces

if TYPE_CHECKING:
    from mastickeel_router.requests import Run

VERSION = "draft@1"
TOKENS = 8
MEMORY_BYTES = 1_000_000
PROMPT = "user: hello"
WHOLE = "".join(generate_pieces(VERSION, PROMPT, TOKENS))


def make_pieces() -> HeldPieces[bytes]:
    return HeldPieces(HeldMemory(Clock(), MEMORY_BYTES))


def make_request(number: int = 1, **fields: object) -> ChatRequest:
    body = {"model": VERSION, "messages": [{"role": "user", "content": "hello"}]}
    request = ChatRequest(f"request-{number}", "account", VERSION, body, True, 0)
    return replace(request, **fields)


class DispatchFixture:
    """A dispatcher with a pool of stand-in engines."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.http = HttpClient(self.clock)
        self.metrics = Metrics()
        self.tasks = TaskGroup()
        self.engines: list[EngineStandin] = []
        self.outcomes = []
        self.lost: list[str] = []
        self.view = View(Configuration())

    async def start(self, engines: int = 2, **options: object) -> None:
        for number in range(engines):
            standin = EngineStandin(f"engine-{number}", models=(VERSION,), tokens=TOKENS, **options)
            await standin.start()
            self.engines.append(standin)
        endpoints = tuple(
            Endpoint(standin.endpoint_id, f"127.0.0.1:{standin.port}", "dc")
            for standin in self.engines
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
            memory=HeldMemory(Clock(), MEMORY_BYTES),
            tasks=self.tasks,
            on_endpoint_lost=self.record_lost,
        )

    def change(self, delta: Delta) -> None:
        self.view = View(self.view.committed.apply(delta, self.view.committed.revision + 1))

    def withdraw(self) -> None:
        version = self.view.committed.versions_by_id[VERSION]
        self.change(Delta(versions=(replace(version, state=VersionState.WITHDRAWN),)))

    async def record_lost(self, request: ChatRequest, endpoint_id: str) -> None:
        self.lost.append(endpoint_id)

    async def run(self, request: ChatRequest | None = None) -> tuple[str, tuple[Run, ...]]:
        sink = BufferedSink(make_pieces())
        runs = await self.dispatcher.run(request or make_request(), Choice(VERSION, "test"), sink)
        return sink.text(), runs

    def fault(self, **faults: object) -> None:
        for standin in self.engines:
            standin.faults.update(faults)

    def dropped(self, reason: str) -> int:
        return self.metrics.totals_by_name[f"dispatch.dropped.{reason}"]

    async def stop(self) -> None:
        await self.tasks.stop()
        for standin in self.engines:
            await standin.stop()
        await self.http.close()


class StreamCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fixture = DispatchFixture()
        self.addAsyncCleanup(self.fixture.stop)
        for name in ("FIRST_BYTE_TIMEOUT_MS", "PIECE_TIMEOUT_MS"):
            before = getattr(engine, name)
            setattr(engine, name, 150)
            self.addCleanup(setattr, engine, name, before)


class ResumeTest(StreamCase):
    """A broken stream is resumed from its offset on the same engine, as one run."""

    async def test_each_fault_alone_and_in_pairs_leaves_the_answer_complete(self) -> None:
        await self.fixture.start()
        single = ({"cut_after": 3}, {"silent_after": 3}, {"cut_after": 0}, {"silent_after": 0})
        faults = [*single, *({**fault, "late_and_crossed": True} for fault in single)]
        none = {"cut_after": None, "silent_after": None, "late_and_crossed": False}
        for number, fault in enumerate([*faults, {"late_and_crossed": True}]):
            with self.subTest(fault=fault):
                self.fixture.fault(**{**none, **fault})
                text, runs = await self.fixture.run(make_request(number))
                self.assertEqual(text, WHOLE)
                self.assertEqual([run.usage.completion_tokens for run in runs], [TOKENS])
        ran = [run for standin in self.fixture.engines for run in standin.runs]
        self.assertEqual(len(ran), len(faults) + 1)
        self.assertEqual(self.fixture.metrics.totals_by_name["dispatch.resumed"], len(faults))
        self.assertGreater(self.fixture.dropped("late"), 0)
        self.assertGreater(self.fixture.dropped("crossed"), 0)

    async def test_answer_without_end_mark_is_not_complete(self) -> None:
        await self.fixture.start()
        self.fixture.fault(no_end_mark=True)
        with self.assertRaises(EndpointError) as caught:
            await self.fixture.run()
        self.assertIs(caught.exception.ran, ExecutionStatus.YES)

    async def test_withdrawn_version_gets_no_further_sends(self) -> None:
        await self.fixture.start(piece_ms=20)
        self.fixture.fault(cut_after=3)
        running = asyncio.ensure_future(self.fixture.run())
        while not any(standin.running_by_id for standin in self.fixture.engines):
            await asyncio.sleep(0.005)
        self.fixture.withdraw()
        with self.assertRaises(NoVersionError) as caught:
            await running
        self.assertIsNot(caught.exception.ran, ExecutionStatus.NO)
        self.assertEqual(self.fixture.metrics.totals_by_name["dispatch.resumed"], 1)
        self.assertEqual(sum(standin.runs_by_model[VERSION] for standin in self.fixture.engines), 0)

    async def test_running_answer_of_a_withdrawn_version_is_completed(self) -> None:
        await self.fixture.start(piece_ms=10)
        running = asyncio.ensure_future(self.fixture.run())
        while not any(standin.running_by_id for standin in self.fixture.engines):
            await asyncio.sleep(0.005)
        self.fixture.withdraw()
        self.assertEqual((await running)[0], WHOLE)


class ContinueTest(StreamCase):
    """An answer whose engine is lost continues on another engine, from the same piece."""

    async def test_answer_continues_on_another_engine_and_both_parts_are_billed(self) -> None:
        await self.fixture.start(piece_ms=20)
        running = asyncio.ensure_future(self.fixture.run())
        first = await self.wait_for_engine_with_pieces(3)
        first.faults.down = True
        first.crash()
        text, runs = await running
        self.assertEqual(text, WHOLE)
        self.assertEqual(runs[0].endpoint_id, first.endpoint_id)
        self.assertEqual(sum(run.usage.completion_tokens for run in runs), TOKENS)
        self.assertEqual([run.continued for run in runs], [False, True])
        second = next(standin for standin in self.fixture.engines if standin is not first)
        self.assertEqual(second.runs[0].completion_tokens, runs[1].usage.completion_tokens)
        self.assertEqual(self.fixture.lost, [first.endpoint_id])

    async def test_quarantine_can_prevent_a_retry_on_another_endpoint(self) -> None:
        await self.fixture.start()

        async def refuse(request: ChatRequest, endpoint_id: str) -> None:
            raise UnavailableError("quarantined", ran=ExecutionStatus.UNKNOWN)

        self.fixture.dispatcher._on_endpoint_lost = refuse
        self.fixture.fault(crash_on="hello", restart_ms=10_000)
        with self.assertRaises(UnavailableError):
            await self.fixture.run()
        self.assertEqual(sum(standin.crashes for standin in self.fixture.engines), 1)

    async def test_loss_of_the_only_engine_is_an_explicit_error(self) -> None:
        await self.fixture.start(engines=1, piece_ms=20)
        running = asyncio.ensure_future(self.fixture.run())
        first = await self.wait_for_engine_with_pieces(2)
        first.crash()
        with self.assertRaises(EndpointError) as caught:
            await running
        self.assertIs(caught.exception.ran, ExecutionStatus.YES)

    async def test_request_refused_by_all_engines_did_not_run(self) -> None:
        await self.fixture.start()
        self.fixture.fault(fail_rate=1.0, fail_status=503)
        with self.assertRaises(UnavailableError) as caught:
            await self.fixture.run()
        self.assertIs(caught.exception.ran, ExecutionStatus.NO)
        self.assertTrue(caught.exception.retry_after_ms)
        self.assertEqual([standin.runs for standin in self.fixture.engines], [[], []])

    async def test_refusal_whose_text_does_not_end_is_answered_elsewhere(self) -> None:
        written = 0

        async def refuse(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal written
            writer.write(b"HTTP/1.1 503 Full\r\n\r\n")
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(b"x" * 65_536)
                    await writer.drain()
                    written += 65_536

        server = await asyncio.start_server(refuse, "127.0.0.1", 0)
        self.addCleanup(server.close)
        await self.fixture.start(engines=1)
        (sound,) = self.fixture.view.committed.pools_by_id["pool"].endpoints
        port = server.sockets[0].getsockname()[1]
        refusing = Endpoint("refusing", f"127.0.0.1:{port}", "dc")
        self.fixture.change(Delta(pools=(Pool("pool", endpoints=(refusing, sound)),)))
        for number in range(20):
            text, _ = await asyncio.wait_for(self.fixture.run(make_request(number)), 3)
            self.assertEqual(text, WHOLE)
        self.assertGreater(written, 0)
        self.assertLess(written, 20 * 12_000_000)

    async def test_retry_budget_bounds_the_load_under_a_fault(self) -> None:
        await self.fixture.start(engines=3)
        self.fixture.fault(fail_rate=1.0, fail_status=503)
        for number in range(40):
            with self.assertRaises(UnavailableError):
                await self.fixture.run(make_request(number))
        self.assertLessEqual(len(self.fixture.outcomes), 40 + 10)

    async def wait_for_engine_with_pieces(self, pieces: int) -> EngineStandin:
        while True:
            for standin in self.fixture.engines:
                if any(run.pieces >= pieces for run in standin.running_by_id.values()):
                    return standin
            await asyncio.sleep(0.005)


class CancelTest(StreamCase):
    """A request that no caller waits for any more is cancelled on its engine."""

    async def test_cancelled_request_is_cancelled_on_the_engine(self) -> None:
        await self.fixture.start(piece_ms=30)
        running = asyncio.ensure_future(self.fixture.run())
        while not any(standin.running_by_id for standin in self.fixture.engines):
            await asyncio.sleep(0.005)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await self.wait_until_ended()
        self.assertTrue(self.ended_runs()[0].cancelled)

    async def test_passed_deadline_ends_the_request_and_cancels_on_the_engine(self) -> None:
        await self.fixture.start(piece_ms=50)
        now = self.fixture.clock.now()
        with self.assertRaises(DeadlineError) as caught:
            await self.fixture.run(make_request(deadline_ms=now + 120))
        self.assertIs(caught.exception.ran, ExecutionStatus.YES)
        await self.wait_until_ended()
        self.assertTrue(self.ended_runs()[0].cancelled)
        with self.assertRaises(DeadlineError) as caught:
            await self.fixture.run(make_request(2, deadline_ms=now))
        self.assertIs(caught.exception.ran, ExecutionStatus.NO)

    def ended_runs(self) -> list:
        return [run for standin in self.fixture.engines for run in standin.runs]

    async def wait_until_ended(self) -> None:
        while not self.ended_runs():
            await asyncio.sleep(0.005)


class AnswerStreamTest(unittest.TestCase):
    """Events that an answer accepts and events that it drops."""

    def setUp(self) -> None:
        self.sink = BufferedSink(make_pieces())
        self.metrics = Metrics()
        self.answer = AnswerStream(
            "r", self.sink, Clock(), self.metrics.count, memory=HeldMemory(Clock(), MEMORY_BYTES)
        )

    def event(self, sequence: int, text: str, finish: str | None = None, name: str = "r") -> bytes:
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
        data = msgspec.json.encode({"id": f"chatcmpl-{name}", "choices": [choice]})
        return b"id: %d\ndata: %b\n\n" % (sequence, data)

    def test_chunk_sizes_and_stray_events_do_not_change_the_text(self) -> None:
        rng = random.Random(7)
        words = [f' {number} [DONE] "usage":{{' for number in range(1, 9)]
        own = [self.event(0, ""), *(self.event(n, word) for n, word in enumerate(words, 1))]
        for _ in range(50):
            self.setUp()
            stream = b""
            for number, event in enumerate(own):
                stream += event + rng.choice(
                    (
                        b"",
                        own[rng.randint(0, number)],
                        self.event(number + 1, "crossed", name="other"),
                        b"id: %d\ndata: [DONE]\n\n" % number,
                        self.event(number, "crossed", "stop", "other"),
                    )
                )
            stream += self.event(8, "", "stop") + b"id: 8\ndata: [DONE]\n\n"
            while stream:
                size = rng.randint(1, 200)
                self.answer.feed(stream[:size])
                stream = stream[size:]
            self.assertEqual(self.sink.text(), "".join(words))
            self.assertTrue(self.answer.ended)

    def test_missing_piece_is_never_skipped(self) -> None:
        self.answer.feed(self.event(0, "") + self.event(1, "a"))
        with self.assertRaises(AnswerGapError):
            self.answer.feed(self.event(3, "c"))
        with self.assertRaises(AnswerGapError):
            self.answer.feed(self.event(3, "", "stop"))
        self.assertEqual(self.answer.offset, 1)


class BackpressureTest(StreamCase):
    """A caller that does not read slows its engine down, and finally times out."""

    async def test_stalled_caller_bounds_the_events_read_and_then_times_out(self) -> None:
        before = engine.CALLER_STALL_TIMEOUT_MS
        engine.CALLER_STALL_TIMEOUT_MS = 200
        self.addCleanup(setattr, engine, "CALLER_STALL_TIMEOUT_MS", before)
        await self.fixture.start(engines=1)
        received: list[bytes] = []

        class StalledSink(BufferedSink):
            def write_event(self, event: bytes) -> asyncio.Future[None]:
                received.append(event)
                return asyncio.get_running_loop().create_future()

        with self.assertRaises(MastickeelError) as caught:
            await self.fixture.dispatcher.run(
                make_request(), Choice(VERSION, "test"), StalledSink(make_pieces())
            )
        self.assertEqual(caught.exception.code, "caller_stalled")
        self.assertLess(len(received), TOKENS)

"""Guards against an engine stand-in whose streams, orders, metrics or events mislead tests."""

from __future__ import annotations

import asyncio
import unittest

import msgspec
import zmq
import zmq.asyncio

from mastickeel.clock import FakeClock
from mastickeel_standins.engine import EngineStandin, generate_pieces

from ._engine_calls import call, join_content, read_events, read_head, send, wait_until

CHAT = "/v1/chat/completions"


def make_body(text="hello", **fields):
    """Returns the body of a chat request."""
    return {"model": "m1", "messages": [{"role": "user", "content": text}], **fields}


def make_text(count, text="hello"):
    """Returns the engine's expected answer with a number of pieces."""
    return "".join(generate_pieces("m1", f"user: {text}", count))


class EngineStandinTest(unittest.IsolatedAsyncioTestCase):
    async def start_engine(self, **settings):
        engine = EngineStandin("e1", models=("m1",), **settings)
        await engine.start(events_port=0, replay_port=0)
        self.addAsyncCleanup(engine.stop)
        return engine

    async def open_stream(self, engine, body, **headers):
        reader, writer = await send(engine.port, "POST", CHAT, {**body, "stream": True}, headers)
        self.addCleanup(writer.close)
        self.assertEqual((await read_head(reader))[0], 200)
        return reader, writer

    async def test_sends_whole_answers_and_errors(self):
        engine = await self.start_engine()
        status, answer = await call(engine.port, "POST", CHAT, make_body(max_tokens=5))
        self.assertEqual(status, 200)
        self.assertEqual(answer["choices"][0]["message"]["content"], make_text(5))
        self.assertEqual(answer["usage"]["completion_tokens"], 5)
        self.assertEqual(engine.runs_by_model, {"m1": 1})
        status, answer = await call(engine.port, "POST", CHAT, {**make_body(), "model": "m2"})
        self.assertEqual((status, answer["error"]["code"]), (404, 404))
        self.assertEqual((await call(engine.port, "POST", CHAT, {}))[0], 400)
        self.assertEqual((await call(engine.port, "GET", "/nowhere"))[0], 404)

    async def test_stream_carries_sequence_usage_and_end_mark(self):
        engine = await self.start_engine()
        body = make_body(stream_options={"include_usage": True})
        reader, _ = await self.open_stream(engine, body)
        events = await read_events(reader)
        self.assertEqual([number for number, _ in events], [*range(9), 8, 8, 8])
        self.assertEqual(join_content(events), make_text(8))
        self.assertIn('"total_tokens"', events[-2][1])
        self.assertEqual(events[-1][1], "[DONE]")

    async def test_resume_on_the_same_engine_does_not_run_again(self):
        engine = await self.start_engine()
        for fault in ("cut_after", "silent_after"):
            engine.faults.update({"cut_after": None, "silent_after": None, fault: 3})
            reader, _ = await self.open_stream(engine, make_body(), **{"X-Request-Id": fault})
            first = await read_events(reader, 4)
            headers = {"X-Request-Id": fault, "X-Resume-From": "3"}
            reader, _ = await self.open_stream(engine, make_body(), **headers)
            self.assertEqual(
                join_content(first) + join_content(await read_events(reader)), make_text(8)
            )
        self.assertEqual([run.pieces for run in engine.runs], [8, 8])

    async def test_continuation_elsewhere_runs_the_remaining_pieces(self):
        engine = await self.start_engine()
        headers = {"X-Request-Id": "r1", "X-Resume-From": "3"}
        reader, _ = await self.open_stream(engine, make_body(), **headers)
        self.assertEqual(make_text(3) + join_content(await read_events(reader)), make_text(8))
        run = engine.runs[0]
        self.assertEqual((run.pieces, run.continued, run.finished), (5, True, True))

    async def test_lost_callers_are_cancelled_at_once_or_after_the_retention_time(self):
        clock = FakeClock()
        engine = await self.start_engine(clock=clock, piece_ms=100_000)
        headers = {"X-Request-Id": "r1", "X-Cancel-On-Close": "1"}
        _, cancelling_writer = await self.open_stream(engine, make_body(), **headers)
        _, patient_writer = await self.open_stream(engine, make_body(), **{"X-Request-Id": "r2"})
        cancelling_writer.close()
        await wait_until(lambda: engine.runs)
        self.assertEqual((engine.runs[0].request_id, engine.runs[0].cancelled), ("r1", True))
        patient_writer.close()
        await wait_until(lambda: engine._tasks and len(engine._tasks) == 2)
        await clock.advance(29_999)
        self.assertEqual(list(engine.running_by_id), ["r2"])
        await clock.advance(1)
        self.assertEqual(engine.runs[1].cancelled, True)

    async def test_batch_admits_by_priority_and_metrics_lag(self):
        clock = FakeClock()
        engine = await self.start_engine(clock=clock, batch=1, piece_ms=10, tokens=2)
        for name, priority in (("r1", 0), ("r2", 5), ("r3", -1)):
            await self.open_stream(engine, make_body(priority=priority), **{"X-Request-Id": name})
        page = (await call(engine.port, "GET", "/metrics"))[1]
        self.assertNotIn('num_requests_waiting{model_name="m1"} 2.0', page)
        path = "/v1/requests/r2/cancel"
        await clock.advance(15)
        self.assertEqual(list(engine.running_by_id), ["r1"])
        await clock.advance(10)
        self.assertEqual(list(engine.running_by_id), ["r3"])
        self.assertEqual((await call(engine.port, "POST", path))[0], 200)
        await clock.advance(990)
        page = (await call(engine.port, "GET", "/metrics"))[1]
        self.assertIn('vllm:num_requests_running{model_name="m1"} 1.0', page)
        self.assertEqual([run.request_id for run in engine.runs], ["r1", "r3"])

    async def test_crash_drops_state_and_restarts(self):
        clock = FakeClock()
        engine = await self.start_engine(clock=clock, piece_ms=10)
        engine.faults.crash_on = "boom"
        reader, _ = await self.open_stream(engine, make_body(), **{"X-Request-Id": "r1"})
        crash_reader, writer = await send(engine.port, "POST", CHAT, make_body("boom"))
        self.addCleanup(writer.close)
        self.assertEqual(await crash_reader.read(), b"")
        await reader.read()
        with self.assertRaises(ConnectionRefusedError):
            await call(engine.port, "GET", "/health")
        self.assertEqual([run.finished for run in engine.runs], [False, False])
        await clock.advance(2000)
        self.assertEqual((await call(engine.port, "GET", "/health"))[0], 200)
        self.assertEqual((engine.crashes, engine.running_by_id), (1, {}))

    async def test_orders_are_fenced(self):
        engine = await self.start_engine()
        for fencing, status in ((7, 200), (6, 409), (7, 200)):
            body = {"model": "m2", "fencing": fencing, "order_id": "o"}
            answer = await call(engine.port, "POST", "/control/orders/load", body)
            self.assertEqual(answer[0], status)
        body = {"lora_name": "m3", "lora_path": "/p"}
        path = "/v1/load_lora_adapter"
        self.assertEqual((await call(engine.port, "POST", path, body, {"fencing": "6"}))[0], 409)
        self.assertEqual((await call(engine.port, "POST", path, body))[0], 200)
        await call(engine.port, "POST", "/control/orders/unload", {"model": "m1", "fencing": 8})
        await call(engine.port, "POST", "/control/orders/role", {"role": "decode"})
        state = (await call(engine.port, "GET", "/control/state"))[1]
        self.assertEqual(state["models"], ["m2", "m3"])
        self.assertEqual((state["role"], state["highest_fencing"]), ("decode", 8))
        self.assertEqual([order["accepted"] for order in state["orders"]].count(False), 2)

    async def test_order_overtaken_while_loading_is_refused(self):
        clock = FakeClock()
        engine = await self.start_engine(clock=clock, load_ms=50)
        path = "/control/orders/"
        load = asyncio.ensure_future(call(engine.port, "POST", f"{path}load", {"model": "m2"}))
        await wait_until(lambda: engine.orders.log)
        await call(engine.port, "POST", f"{path}unload", {"model": "m2"})
        await clock.advance(50)
        self.assertEqual((await load)[0], 409)
        self.assertEqual(engine.orders.models, ["m1"])

    async def test_cache_hits_shorten_the_first_piece_and_can_be_replayed(self):
        clock = FakeClock()
        engine = await self.start_engine(clock=clock, first_piece_ms=100, tokens=1, cache_blocks=3)
        for text, first_ms in (("a" * 122, 100), ("a" * 186, 34), ("b" * 122, 100)):
            request = asyncio.ensure_future(call(engine.port, "POST", CHAT, make_body(text)))
            await wait_until(lambda: engine.running_by_id)
            await clock.advance(first_ms - 1)
            self.assertEqual(len(engine.running_by_id), 1)
            await clock.advance(1)
            self.assertEqual(len(engine.running_by_id), 0)
            await request
        engine.clear_cache()
        with zmq.asyncio.Context() as context, context.socket(zmq.DEALER) as replay:
            replay.connect(f"tcp://127.0.0.1:{engine.events.replay_port}")
            await replay.send_multipart([b"", (1).to_bytes(8, "big")])
            replies = [await replay.recv_multipart() for _ in range(4)]
        kinds = [
            [event[0] for event in msgspec.msgpack.decode(payload)[1]]
            for _, _, payload in replies[:-1]
        ]
        expected = [["BlockStored"], ["BlockStored", "BlockRemoved"], ["AllBlocksCleared"]]
        self.assertEqual(kinds, expected)
        self.assertEqual(replies[-1][1], b"\xff" * 8)

    async def test_cache_events_are_published_with_gaps(self):
        engine = await self.start_engine()
        engine.faults.drop_every_event = 2
        numbers = []
        with zmq.asyncio.Context() as context, context.socket(zmq.SUB) as events:
            events.connect(f"tcp://127.0.0.1:{engine.events.events_port}")
            events.subscribe(b"kv@e1")
            while len(numbers) < 3:
                engine.clear_cache()
                while await events.poll(5):
                    numbers.append(int.from_bytes((await events.recv_multipart())[1], "big"))
        self.assertEqual({number % 2 for number in numbers}, {0})
        self.assertEqual(numbers, sorted(set(numbers)))

    async def test_request_and_stream_faults(self):
        engine = await self.start_engine()
        path = "/control/faults"
        self.assertEqual((await call(engine.port, "POST", path, {"nonsense": 1}))[0], 400)
        await call(engine.port, "POST", path, {"fail_rate": 1.0, "fail_status": 503})
        self.assertEqual((await call(engine.port, "POST", CHAT, make_body()))[0], 503)
        self.assertEqual(engine.runs, [])
        await call(engine.port, "POST", path, {"fail_rate": 0.0, "no_end_mark": True})
        events = await read_events((await self.open_stream(engine, make_body()))[0])
        self.assertEqual(len(events), 9)
        await call(engine.port, "POST", path, {"late_and_crossed": True})
        events = await read_events((await self.open_stream(engine, make_body()))[0])
        self.assertIn("chatcmpl-crossed", events[3][1])
        await call(engine.port, "POST", path, {"down": True})
        reader, writer = await send(engine.port, "GET", "/health")
        self.addCleanup(writer.close)
        self.assertEqual(await reader.read(), b"")


if __name__ == "__main__":
    unittest.main()

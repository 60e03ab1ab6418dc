"""Requests that come late in the grace period of a planned stop end with an answer."""

from __future__ import annotations

import asyncio
import contextlib
import json
import unittest
from dataclasses import replace

from tests.mastickeel_platform.gateway_case import GatewayTestCase
from tests.mastickeel_platform.standins import (
    Reply,
    Request,
    answer_bytes,
    call,
    chunk_bytes,
    event_bytes,
    read_reply,
    request_bytes,
    route,
    stream_head_bytes,
)

GRACE_MS = 3_000
RESERVE_MS = 500
STEP_S = 0.1
WORK_S = 0.6
"""Time that the endpoint takes for a request."""
UPLOAD = b"x" * 1_000


class LateRequestCase(GatewayTestCase):
    """A gateway that is stopped as at SIGTERM: it drains and then closes everything."""

    ROUTES = (
        *GatewayTestCase.ROUTES,
        route("quick", "unsafe", max_attempts=1, timeout_ms=1_000),
        route("fixed", "streaming", resumable=False, slo_ms=4_000),
    )
    leave_ms = 10

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        stop = replace(
            self.gateway.settings.stop,
            leave_ms=self.leave_ms,
            grace_ms=GRACE_MS,
            reserve_ms=RESERVE_MS,
        )
        self.gateway.apply_settings(replace(self.gateway.settings, stop=stop))
        self.stopping: asyncio.Task[None] | None = None

    async def asyncTearDown(self) -> None:
        if self.stopping is not None:
            await self.stopping
        await super().asyncTearDown()

    async def work(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answers after a time, or never at paths that say so."""
        if request.target.endswith("never"):
            await request.wait_until_closed()
            return
        await asyncio.sleep(WORK_S)
        writer.write(answer_bytes(request))

    def begin_stop(self) -> None:
        """Begins what the process does after SIGTERM."""

        async def stop() -> None:
            await self.gateway.drain()
            await self.gateway.stop()

        self.stopping = asyncio.ensure_future(stop())

    def check_reply(self, request_id: str, reply: Reply) -> None:
        """Checks that a reply is whole, and that a refused request has not been passed on."""
        self.assertTrue(reply.complete, request_id)
        self.assertIn(reply.status, (200, 503), request_id)
        was_sent = request_id in [request.id for request in self.received_requests()]
        self.assertEqual(was_sent, reply.status == 200, request_id)


class LeaveTest(LateRequestCase):
    """The gateway accepts connections almost until the end of the grace period."""

    leave_ms = GRACE_MS - RESERVE_MS

    async def test_requests_on_new_connections_are_answered_or_refused(self) -> None:
        await self.start_gateway(self.work)
        self.begin_stop()
        replies: dict[str, asyncio.Task[Reply]] = {}
        for number in range(int((GRACE_MS - RESERVE_MS) / 1_000 / STEP_S) - 2):
            for path in ("/once/a", "/quick/a", "/look/a"):
                request_id = f"{path[1:-2]}-{number}"
                replies[request_id] = asyncio.ensure_future(self.send_request(path, request_id))
            await asyncio.sleep(STEP_S)
        for request_id, reply in replies.items():
            self.check_reply(request_id, await reply)
        statuses = [(await reply).status for reply in replies.values()]
        self.assertEqual((statuses[0], statuses[-1]), (200, 503))

    async def test_requests_on_kept_connections_are_answered_or_refused(self) -> None:
        await self.start_gateway(self.work)
        connections = []
        for _ in range(int((GRACE_MS - RESERVE_MS) / 1_000 / STEP_S) - 2):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.gateway.callers_port)
            writer.write(request_bytes("/open/a", "first"))
            connections.append((reader, writer))
        for reader, _ in connections:
            self.assertEqual((await read_reply(reader)).status, 200)
        self.begin_stop()
        replies = []
        for number, (reader, writer) in enumerate(connections):
            writer.write(request_bytes("/once/a", f"r{number}"))
            replies.append(asyncio.ensure_future(read_reply(reader)))
            await asyncio.sleep(STEP_S)
        for number, reply in enumerate(replies):
            self.check_reply(f"r{number}", await reply)
        self.assertEqual(((await replies[0]).status, (await replies[-1]).status), (200, 503))
        for _, writer in connections:
            writer.close()

    async def test_refusal_says_that_the_request_did_not_run_and_when_to_return(self) -> None:
        await self.start_gateway(self.work)
        self.begin_stop()
        await asyncio.sleep(2)
        reply = await self.send_request("/once/a")
        self.assertEqual((reply.status, json.loads(reply.body)["ran"]), (503, "no"))
        self.assertLess(float(reply.headers["retry-after"]), 1)
        self.assertEqual(reply.headers["connection"], "close")


class UploadTest(LateRequestCase):
    """Requests whose bodies are still being sent when the stop begins."""

    async def test_body_that_becomes_whole_late_is_refused_as_not_run(self) -> None:
        await self.start_gateway(self.work)
        connections = []
        for path in ("/once/a", "/quick/a"):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.gateway.callers_port)
            writer.write(request_bytes(path, body=UPLOAD)[:-1])
            connections.append((path, reader, writer))
        await asyncio.sleep(STEP_S)
        self.begin_stop()
        await asyncio.sleep(2.2)
        for path, reader, writer in connections:
            with self.subTest(path):
                with contextlib.suppress(ConnectionError):
                    writer.write(UPLOAD[-1:])
                reply = await read_reply(reader)
                self.check_reply("a1", reply)
                self.assertEqual(reply.status, 503)
            writer.close()

    async def test_request_is_refused_before_its_body_is_whole_once_it_cannot_end(self) -> None:
        await self.start_gateway(self.work)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.gateway.callers_port)
        writer.write(request_bytes("/once/a", body=UPLOAD)[:-1])
        await asyncio.sleep(STEP_S)
        self.begin_stop()
        reply = await asyncio.wait_for(read_reply(reader), (GRACE_MS - RESERVE_MS) / 1_000 - 0.2)
        self.assertEqual((reply.status, self.received_requests()), (503, []))
        writer.close()


class OpenRequestTest(LateRequestCase):
    """Requests that are still at work at the end of the grace period."""

    async def test_request_at_work_is_answered_as_of_unknown_outcome(self) -> None:
        await self.start_gateway(self.work)
        paths = ("/once/never", "/look/never", "/fixed/never")
        replies = [asyncio.ensure_future(self.send_request(path, path[1:])) for path in paths]
        await self.wait_until(lambda: len(self.received_requests()) == len(paths))
        self.begin_stop()
        for path, reply in zip(paths, replies, strict=True):
            with self.subTest(path):
                whole = await reply
                self.assertEqual(whole.status, 504)
                self.assertEqual(json.loads(whole.body)["ran"], "unknown")

    async def test_begun_stream_does_not_look_complete(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head_bytes(request) + chunk_bytes(event_bytes(1)))
            await request.wait_until_closed()

        await self.start_gateway(respond)
        reply = asyncio.ensure_future(self.send_request("/fixed/a"))
        await self.wait_until(lambda: self.received_requests())
        self.begin_stop()
        self.assertEqual((await reply).body, event_bytes(1))
        self.assertFalse((await reply).complete)

    async def test_caller_that_leaves_is_not_answered(self) -> None:
        await self.start_gateway(self.work)
        with contextlib.suppress(TimeoutError):
            data = request_bytes("/once/never")
            await asyncio.wait_for(call(self.gateway.callers_port, data), 0.2)
        self.begin_stop()
        await self.wait_until(lambda: self.gateway.listener.open_requests == 0)


if __name__ == "__main__":
    unittest.main()

"""Answers reach callers complete and unchanged, also when endpoints fail or misbehave."""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest.mock import patch

from mastickeel_router.relay import requestlog
from tests.mastickeel_platform.gateway_case import GatewayTestCase
from tests.mastickeel_platform.standins import (
    Request,
    answer_bytes,
    call,
    chunk_bytes,
    event_bytes,
    read_reply,
    request_bytes,
    reset_connection,
    stream_head_bytes,
)


async def respond_whole(request: Request, writer: asyncio.StreamWriter) -> None:
    writer.write(answer_bytes(request, b"filed " + request.body, extra="X-Kept: yes"))


async def respond_not_run(request: Request, writer: asyncio.StreamWriter) -> None:
    writer.write(
        answer_bytes(request, b"", status="503 Full", extra="Not-Executed: 1", signature=False)
    )


async def respond_reset(request: Request, writer: asyncio.StreamWriter) -> None:
    reset_connection(writer)


async def respond_failing(request: Request, writer: asyncio.StreamWriter) -> None:
    writer.write(answer_bytes(request, b"broken", status="500 Error"))


class PlainAnswerTest(GatewayTestCase):
    """Answers of plain services."""

    async def test_request_and_answer_are_unchanged(self) -> None:
        await self.start_gateway(respond_whole)
        reply = await self.send_request("/once/a%2Fb?x=%20&y", body=b"\x00order\xff")
        self.assertEqual((reply.status, reply.body), (200, b"filed \x00order\xff"))
        self.assertEqual(reply.headers["server-seal"], "3e1b.07")
        self.assertEqual(reply.headers["x-kept"], "yes")
        sent = self.received_requests()[0]
        self.assertEqual((sent.method, sent.target), ("POST", "/once/a%2Fb?x=%20&y"))
        self.assertEqual(sent.body, b"\x00order\xff")

    async def test_router_headers_replace_forged_ones(self) -> None:
        await self.start_gateway(respond_whole)
        forged = "Tenant: other\r\nHold: 1\r\nPin-Ms: 9\r\nKv-From: x\r\nKv-Backup: y"
        await self.send_request("/once/a", headers=forged)
        headers = self.received_requests()[0].headers
        self.assertEqual(headers["tenant"], "gmina")
        self.assertEqual(headers["expect-instance"], "i-1")
        self.assertLessEqual(int(headers["deadline-ms"]), 4_000)
        for name in ("authorization", "hold", "pin-ms", "kv-from", "kv-backup"):
            self.assertNotIn(name, headers)

    async def test_chunked_request_arrives_complete(self) -> None:
        await self.start_gateway(respond_whole)
        head = request_bytes("/once/a").replace(b"Content-Length: 0\r\n", b"")
        head = head[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
        reply = await call(
            self.gateway.callers_port,
            head + chunk_bytes(b"one") + chunk_bytes(b"two") + chunk_bytes(b""),
        )
        self.assertEqual(reply.body, b"filed onetwo")

    async def test_truncated_answer_is_a_failure_with_unknown_outcome(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(answer_bytes(request, b"half", length=100))
            await writer.drain()
            writer.close()

        await self.start_gateway(respond)
        reply = await self.send_request("/once/a")
        self.assertEqual(reply.status, 502)
        self.assertNotIn("server-seal", reply.headers)
        self.assertEqual(json.loads(reply.body)["ran"], "unknown")
        self.assertEqual(len(self.received_requests()), 1)

    async def test_reset_of_an_answer_without_length_is_a_failure(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.id}\r\nServer-Seal: s\r\n\r\n"
            writer.write(head.encode() + b"half")
            await writer.drain()
            await asyncio.sleep(0.05)
            reset_connection(writer)

        await self.start_gateway(respond)
        self.assertEqual((await self.send_request("/once/a")).status, 502)

    async def test_answer_to_another_request_is_skipped(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(
                answer_bytes(request, b"not yours", request_id="zz")
                + answer_bytes(request, b"yours")
            )

        await self.start_gateway(respond)
        self.assertEqual((await self.send_request("/once/a")).body, b"yours")

    async def test_answer_to_another_request_alone_is_a_failure(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(answer_bytes(request, b"not yours", request_id="zz"))
            await writer.drain()
            writer.close()

        await self.start_gateway(respond)
        reply = await self.send_request("/once/a")
        self.assertEqual(reply.status, 502)
        self.assertNotIn(b"not yours", reply.body)

    async def test_duplicate_answer_is_not_given_to_a_later_request(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(answer_bytes(request, request.id.encode()) * 2)

        await self.start_gateway(respond)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.gateway.callers_port)
        for number in range(4):
            writer.write(request_bytes("/look/a", f"r{number}"))
            self.assertEqual((await read_reply(reader)).body, f"r{number}".encode())
        writer.close()

    async def test_answer_with_unrequested_encoding_is_a_failure(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(answer_bytes(request, b"\x1f\x8b", extra="Content-Encoding: gzip"))

        await self.start_gateway(respond)
        self.assertEqual((await self.send_request("/once/a")).status, 502)

    async def test_success_without_signature_is_a_failure(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(answer_bytes(request, b"x", signature=False))

        await self.start_gateway(respond)
        self.assertEqual((await self.send_request("/once/a")).status, 502)

    async def test_answer_that_is_not_http_is_a_failure(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(b"garbage garbage\r\n\r\n")
            await writer.drain()
            writer.close()

        await self.start_gateway(respond)
        self.assertEqual((await self.send_request("/once/a")).status, 502)

    async def test_early_answer_to_a_long_body_is_forwarded(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(answer_bytes(request, b"too long", status="413 Large"))

        await self.start_gateway(respond)
        reply = await self.send_request("/once/a", body=b"x" * 15_000)
        self.assertEqual((reply.status, reply.body), (413, b"too long"))


class RetryTest(GatewayTestCase):
    """Retries of failed sends, and the error replies when none is possible."""

    async def test_unsafe_request_is_never_retried(self) -> None:
        await self.start_gateway(respond_reset, respond_reset)
        reply = await self.send_request("/once/a")
        self.assertEqual((reply.status, len(self.received_requests())), (502, 1))

    async def test_refused_unsafe_request_is_reported_as_not_run_with_a_retry_time(self) -> None:
        await self.start_gateway(respond_not_run)
        reply = await self.send_request("/once/a")
        self.assertEqual(reply.status, 503)
        self.assertEqual(json.loads(reply.body)["ran"], "no")
        self.assertGreater(float(reply.headers["retry-after"]), 0)

    async def test_retry_times_are_spread(self) -> None:
        await self.start_gateway(respond_not_run)
        replies = [await self.send_request("/once/a", f"r{number}") for number in range(8)]
        times = {reply.headers["retry-after"] for reply in replies}
        self.assertGreater(len(times), 4)

    async def test_503_without_the_not_run_header_is_a_failure(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(answer_bytes(request, b"", status="503 Busy"))

        await self.start_gateway(respond)
        self.assertEqual((await self.send_request("/once/a")).status, 502)

    async def test_repeatable_request_is_retried_on_another_endpoint(self) -> None:
        await self.start_gateway(respond_reset, respond_whole)
        replies = [await self.send_request("/look/a", f"r{number}") for number in range(6)]
        self.assertEqual({reply.status for reply in replies}, {200})

    async def test_last_failure_of_a_repeatable_request_is_forwarded(self) -> None:
        await self.start_gateway(respond_failing, respond_failing)
        reply = await self.send_request("/look/a")
        self.assertEqual(
            (reply.status, reply.body, len(self.received_requests())), (500, b"broken", 2)
        )

    async def test_connect_timeout_is_reported_as_not_run_with_a_retry_time(self) -> None:
        async def hang(*address: object, **limits: object) -> None:
            await asyncio.Event().wait()

        await self.start_gateway(respond_whole)
        with patch.object(self.gateway.http, "connect", hang):
            data = request_bytes("/look/a").replace(b"4000", b"300")
            reply = await call(self.gateway.callers_port, data)
        self.assertEqual((reply.status, json.loads(reply.body)["ran"]), (503, "no"))
        self.assertGreater(float(reply.headers["retry-after"]), 0)

    async def test_each_send_is_logged_with_the_reasons_of_its_choice(self) -> None:
        await self.start_gateway(respond_failing, respond_whole)
        with patch.object(requestlog, "log") as log:
            await self.send_request("/look/a", "r1")
            await self.send_request("/look/a", "r2")
        lines = [logged for logged in log.call_args_list if logged.args[0].name == "request_placed"]
        sends = [(logged.kwargs["request"], logged.kwargs["endpoint"]) for logged in lines]
        self.assertEqual(len(sends), len(self.received_requests()))
        for line in lines:
            fields = line.kwargs
            self.assertEqual((fields["version"], fields["choices"]), (7, 2))
            self.assertGreaterEqual(fields["store_age_ms"], 0)
            self.assertEqual((fields["endpoint_version"], fields["held_tokens"]), ("v1", 0))

    async def test_log_of_a_failed_send_does_not_contain_the_query(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            await request.wait_until_closed()

        await self.start_gateway(respond, respond_reset)
        with patch.object(requestlog, "log") as log:
            for number in range(6):
                data = request_bytes("/look/a?token=secret", f"r{number}")
                await call(self.gateway.callers_port, data.replace(b"4000", b"300"))
        reasons = [str(logged.kwargs.get("reason", "")) for logged in log.call_args_list]
        self.assertTrue(any("did not end" in reason for reason in reasons), reasons)
        self.assertNotIn("secret", str(log.call_args_list))

    async def test_endpoint_that_answers_misdirected_gets_no_more_requests(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(answer_bytes(request, b"", status="421 Misdirected", signature=False))

        await self.start_gateway(respond, respond_whole)
        replies = [await self.send_request("/look/a", f"r{number}") for number in range(20)]
        self.assertEqual({reply.status for reply in replies}, {200})
        self.assertEqual(len(self.endpoints[0].requests), 1)

    async def test_unreachable_endpoints_do_not_use_up_attempts(self) -> None:
        await self.start_gateway(respond_whole, respond_whole, respond_whole)
        for endpoint in self.endpoints[:2]:
            await endpoint.stop()
        replies = [await self.send_request("/once/a", f"r{number}") for number in range(6)]
        self.assertEqual({reply.status for reply in replies}, {200})

    async def test_misdirected_request_is_reported_as_not_run(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(answer_bytes(request, b"", status="421 Misdirected", signature=False))

        await self.start_gateway(respond)
        reply = await self.send_request("/once/a")
        self.assertEqual((reply.status, json.loads(reply.body)["ran"]), (503, "no"))

    async def test_disconnect_of_the_caller_cancels_the_send(self) -> None:
        left = asyncio.Event()

        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            await request.wait_until_closed()
            left.set()

        await self.start_gateway(respond)
        _, writer = await asyncio.open_connection("127.0.0.1", self.gateway.callers_port)
        writer.write(request_bytes("/look/a", body=b"x" * 10_000))
        await self.wait_until(lambda: self.received_requests())
        writer.close()
        await asyncio.wait_for(left.wait(), 3)

    async def test_disconnect_of_the_caller_cancels_a_second_send(self) -> None:
        left = asyncio.Event()

        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            if len(self.received_requests()) == 1:
                reset_connection(writer)
                return
            await request.wait_until_closed()
            left.set()

        await self.start_gateway(respond, respond)
        _, writer = await asyncio.open_connection("127.0.0.1", self.gateway.callers_port)
        writer.write(request_bytes("/look/a", body=b"x" * 10_000))
        await self.wait_until(lambda: len(self.received_requests()) == 2)
        writer.close()
        await asyncio.wait_for(left.wait(), 3)

    async def test_deadline_ends_the_wait(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            await asyncio.Event().wait()

        await self.start_gateway(respond)
        data = request_bytes("/look/a").replace(b"Deadline-Ms: 4000", b"Deadline-Ms: 150")
        reply = await call(self.gateway.callers_port, data)
        self.assertEqual((reply.status, json.loads(reply.body)["ran"]), (504, "unknown"))


class StreamTest(GatewayTestCase):
    """Answers that are streams of events."""

    async def test_events_arrive_in_order_and_end(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head_bytes(request))
            data = event_bytes(1) + event_bytes(2) + event_bytes(3)
            for place in range(0, len(data), 7):
                writer.write(chunk_bytes(data[place : place + 7]))
            writer.write(chunk_bytes(b""))

        await self.start_gateway(respond)
        reply = await self.send_request("/draft/a")
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body, event_bytes(1) + event_bytes(2) + event_bytes(3))
        self.assertEqual(reply.headers["server-seal"], "3e1b.07")

    async def test_broken_stream_resumes_elsewhere_after_the_last_complete_event(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head_bytes(request))
            after = request.headers.get("last-event-id")
            if after is None:
                writer.write(chunk_bytes(event_bytes(1) + event_bytes(2) + event_bytes(3)[:9]))
                await writer.drain()
                await asyncio.sleep(0.05)
                reset_connection(writer)
                return
            rest = b"".join(event_bytes(number) for number in range(int(after) + 1, 5))
            writer.write(chunk_bytes(rest) + chunk_bytes(b""))

        await self.start_gateway(respond, respond)
        reply = await self.send_request("/draft/a")
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body, b"".join(event_bytes(number) for number in range(1, 5)))
        self.assertEqual(self.received_requests()[-1].headers["last-event-id"], "2")

    async def test_stream_that_skips_an_event_is_cut_off(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(
                stream_head_bytes(request)
                + chunk_bytes(event_bytes(1))
                + chunk_bytes(event_bytes(3))
                + chunk_bytes(b"")
            )

        await self.start_gateway(respond)
        reply = await self.send_request("/draft/a")
        self.assertFalse(reply.complete)
        self.assertEqual(reply.body, event_bytes(1))

    async def test_caller_can_resume_after_an_event(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            start = int(request.headers["last-event-id"]) + 1
            writer.write(
                stream_head_bytes(request) + chunk_bytes(event_bytes(start)) + chunk_bytes(b"")
            )

        await self.start_gateway(respond)
        reply = await self.send_request("/draft/a", headers="Last-Event-Id: 4")
        self.assertEqual(reply.body, event_bytes(5))


if __name__ == "__main__":
    unittest.main()

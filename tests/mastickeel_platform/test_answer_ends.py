"""An answer is complete only if its end shows it: each framing with each way to end."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

from mastickeel_router.relay import requestlog
from tests.mastickeel_platform.gateway_case import GatewayTestCase
from tests.mastickeel_platform.standins import (
    Request,
    event_bytes,
    request_bytes,
    reset_connection,
    route,
)


def head_bytes(
    request: Request, *fields: str, status: str = "200 OK", stream: bool = True
) -> bytes:
    """Returns the head of a signed answer; without further fields it ends with the connection."""
    lines = [f"HTTP/1.1 {status}", f"Attempt-Id: {request.id}", "Server-Seal: s", *fields]
    if stream:
        lines.append("Content-Type: text/event-stream")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class AnswerEndLogTest(GatewayTestCase):
    async def test_log_and_metrics_tell_how_answers_ended(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(head_bytes(request) + event_bytes(1))
            await writer.drain()
            if request.target.endswith("reset"):
                await asyncio.sleep(0.05)
                reset_connection(writer)
            writer.close()

        await self.start_gateway(respond)
        with patch.object(requestlog, "log") as log:
            await self.send_request("/draft/closed", "r1")
            await self.send_request("/draft/reset", "r2")
        ends = {
            (logged.kwargs["request"], logged.args[0].name): logged.kwargs["connection_end"]
            for logged in log.call_args_list
            if "connection_end" in logged.kwargs
        }
        self.assertEqual(ends, {("r1", "request_served"): "closed", ("r2", "send_ended"): "reset"})
        page = self.gateway.metrics.render_page().body.decode()
        self.assertIn('mastickeel_answers_total{connection_end="reset",framing="connection"}', page)


class TruncatedStreamTest(GatewayTestCase):
    """Streams that end with their connection."""

    ROUTES = (*GatewayTestCase.ROUTES, route("fixed", "streaming", resumable=False))

    async def test_stream_that_ends_inside_an_event_is_resumed_and_not_completed(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            after = request.headers.get("last-event-id")
            if after is None:
                data = event_bytes(1) + event_bytes(2) + event_bytes(3)[:9]
            else:
                data = b"".join(event_bytes(number) for number in range(int(after) + 1, 5))
            writer.write(head_bytes(request) + data)
            await writer.drain()
            writer.close()

        await self.start_gateway(respond, respond)
        reply = await self.send_request("/draft/a")
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body, b"".join(event_bytes(number) for number in range(1, 5)))
        self.assertEqual(self.received_requests()[-1].headers["last-event-id"], "2")

    async def test_resumed_stream_that_ends_before_its_first_new_event_is_not_complete(
        self,
    ) -> None:
        for resumed in (b"", event_bytes(1)):

            async def respond(
                request: Request, writer: asyncio.StreamWriter, resumed: bytes = resumed
            ) -> None:
                is_first = "last-event-id" not in request.headers
                writer.write(head_bytes(request))
                writer.write(event_bytes(1) + event_bytes(2)[:5] if is_first else resumed)
                await writer.drain()
                writer.close()

            with self.subTest(resumed=resumed):
                for endpoint in self.endpoints:
                    endpoint.respond = respond
                if not self.endpoints:
                    await self.start_gateway(*[respond] * 4)
                reply = await self.send_request("/draft/a", f"r-{len(resumed)}")
                self.assertEqual((reply.complete, reply.body), (False, event_bytes(1)))

    async def test_stream_that_ends_inside_an_event_and_cannot_resume_is_cut_off(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(head_bytes(request) + event_bytes(1) + event_bytes(2)[:9])
            await writer.drain()
            writer.close()

        await self.start_gateway(respond)
        reply = await self.send_request("/fixed/a")
        self.assertFalse(reply.complete)
        self.assertEqual(reply.body, event_bytes(1))


class OldCallerTest(GatewayTestCase):
    """Callers that speak HTTP/1.0 know a stream's end only from the end of the connection."""

    async def read_to_end(self, target: str) -> bytes:
        """Sends a request and reads until the connection ends; raises when it is reset."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.gateway.callers_port)
        data = request_bytes(target, headers="Connection: keep-alive")
        writer.write(data.replace(b"HTTP/1.1", b"HTTP/1.0"))
        try:
            return await asyncio.wait_for(reader.read(), 3)
        finally:
            writer.close()

    async def test_broken_stream_of_a_caller_without_chunks_is_reset(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(head_bytes(request) + event_bytes(1))
            await writer.drain()
            await asyncio.sleep(0.05)
            if request.target.endswith("broken"):
                reset_connection(writer)
            writer.close()

        await self.start_gateway(respond)
        self.assertTrue((await self.read_to_end("/draft/whole")).endswith(event_bytes(1)))
        with self.assertRaises(ConnectionResetError):
            await self.read_to_end("/draft/broken")


if __name__ == "__main__":
    unittest.main()

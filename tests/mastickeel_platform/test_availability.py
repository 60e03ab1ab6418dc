"""Endpoints that say that they leave, or turn requests away for a time, get none meanwhile."""

from __future__ import annotations

import json
import unittest
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders

from mastickeel.clock import Clock
from mastickeel.httpmessages import HttpHead
from mastickeel_platform.messages import DIALECT
from tests.mastickeel_platform.gateway_case import FleetTestCase, GatewayTestCase
from tests.mastickeel_platform.standins import (
    Request,
    answer_bytes,
    call,
    chunk_bytes,
    entry,
    event_bytes,
    request_bytes,
    stream_head_bytes,
)

if TYPE_CHECKING:
    import asyncio

    from tests.mastickeel_platform.standins import Responder

LEAVING = "Server-Leaving: 1"


def respond_with(extra: str = "", status: str = "200 OK") -> Responder:
    """Returns a responder that gives the same answer each time."""

    async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
        if request.target.startswith("/draft"):
            writer.write(stream_head_bytes(request, extra))
            writer.write(chunk_bytes(event_bytes(1)) + chunk_bytes(b""))
            return
        writer.write(answer_bytes(request, status=status, extra=extra))

    return respond


def turn_away(seconds: str) -> Responder:
    """Returns a responder that turns each request away for a time."""
    return respond_with(f"Not-Executed: 1\r\nRetry-After: {seconds}", "503 Busy")


class LeavingTest(GatewayTestCase):
    async def send_many(self, path: str = "/look/a", count: int = 30) -> None:
        for number in range(count):
            await self.send_request(path, f"r{len(self.received_requests())}-{number}")

    async def test_endpoint_that_leaves_gets_no_more_requests_whatever_it_answers(self) -> None:
        cases = {
            "success": ("/look/a", respond_with(LEAVING)),
            "failure": ("/look/a", respond_with(LEAVING, "500 Error")),
            "refusal": ("/look/a", respond_with(f"Not-Executed: 1\r\n{LEAVING}", "503 Full")),
            "stream": ("/draft/a", respond_with(LEAVING)),
        }
        await self.start_gateway(respond_with())
        for name, (path, respond) in cases.items():
            with self.subTest(name):
                endpoint = await self.add_endpoint(respond)
                await self.wait_until(lambda: len(self.gateway.registry.all()) > 1)
                await self.send_many(path)
                self.assertEqual(len(endpoint.requests), 1)
                self.store.delete(f"servers/i-{len(self.endpoints)}")
                await self.wait_until(lambda: len(self.gateway.registry.all()) == 1)

    async def test_only_a_new_start_ends_the_leaving(self) -> None:
        await self.start_gateway(respond_with(LEAVING))
        await self.send_many(count=1)
        before = self.store.read("servers/i-1")
        self.store.delete("servers/i-1")
        await self.wait_until(lambda: not self.gateway.registry.all())
        self.store.put("servers/i-1", before | {"sequence": 7, "slots": 5})
        await self.wait_until(lambda: self.gateway.registry.all())
        await self.send_many(count=5)
        self.assertEqual(len(self.received_requests()), 1)
        self.endpoints[0].respond = respond_with()
        self.store.put("servers/i-1", before | {"born": before["born"] + 1})
        await self.wait_until(lambda: self.gateway.registry.all()[0].started_ms > before["born"])
        self.assertEqual((await self.send_request("/look/a")).status, 200)

    async def test_another_endpoint_at_the_address_is_used(self) -> None:
        await self.start_gateway(respond_with(LEAVING))
        await self.send_many(count=1)
        self.store.delete("servers/i-1")
        self.store.put("servers/i-9", entry(self.endpoints[0].port))
        await self.wait_until(lambda: self.gateway.registry.get("i-9"))
        self.assertEqual((await self.send_request("/look/a")).status, 200)

    async def test_request_is_refused_at_once_when_all_endpoints_leave(self) -> None:
        await self.start_gateway(respond_with(LEAVING), respond_with(LEAVING))
        await self.send_many(count=12)
        self.assertEqual([len(endpoint.requests) for endpoint in self.endpoints], [1, 1])
        reply = await self.send_request("/look/a")
        self.assertEqual((reply.status, json.loads(reply.body)["ran"]), (503, "no"))
        self.assertGreater(float(reply.headers["retry-after"]), 0)


class LeavingFleetTest(FleetTestCase):
    async def test_instances_tell_each_other(self) -> None:
        await self.add_endpoint(respond_with(LEAVING))
        await self.add_endpoint(respond_with())
        await self.start_fleet(3)
        first, *others = self.gateways
        while not self.endpoints[0].requests:
            await call(first.callers_port, request_bytes("/look/a", f"a{Clock().now()}"))
        await self.wait_until(
            lambda: all(len(self.listed(gateway)) == 1 for gateway in self.gateways)
        )
        for gateway in others:
            for number in range(10):
                await call(gateway.callers_port, request_bytes("/look/a", f"b{number}"))
        self.assertEqual(len(self.endpoints[0].requests), 1)

    def listed(self, gateway: object) -> list[object]:
        """Returns the endpoints that a gateway may use."""
        known = gateway.registry.usable("register")  # type: ignore[attr-defined]
        return [one for one in known if not gateway.availability.is_leaving(one)]  # type: ignore[attr-defined]


class TurnedAwayTest(GatewayTestCase):
    def since(self, start_ms: int) -> int:
        return Clock().now() - start_ms

    async def test_endpoint_gets_nothing_until_the_time_is_over(self) -> None:
        respond = turn_away("0.8")
        await self.start_gateway(respond, respond_with())
        while not self.endpoints[0].requests:
            await self.send_request("/look/a", f"a{Clock().now()}")
        start_ms = Clock().now()
        self.endpoints[0].respond = respond_with()
        while self.since(start_ms) < 700:
            self.assertEqual((await self.send_request("/look/a")).status, 200)
        self.assertEqual(len(self.endpoints[0].requests), 1)
        while len(self.endpoints[0].requests) == 1 and self.since(start_ms) < 4_000:
            await self.send_request("/look/a", f"b{Clock().now()}")
        self.assertGreater(len(self.endpoints[0].requests), 1)

    async def test_request_is_refused_at_once_when_all_endpoints_stay_away(self) -> None:
        await self.start_gateway(turn_away("20"), turn_away("30"))
        await self.send_request("/look/a", "first")
        await self.send_request("/look/a", "second")
        start_ms = Clock().now()
        replies = [await self.send_request("/look/a", f"r{number}") for number in range(10)]
        self.assertEqual([len(endpoint.requests) for endpoint in self.endpoints], [1, 1])
        for reply in replies:
            self.assertEqual((reply.status, json.loads(reply.body)["ran"]), (503, "no"))
            self.assertGreater(float(reply.headers["retry-after"]), 19)
        times = {reply.headers["retry-after"] for reply in replies}
        self.assertGreater(len(times), 5)
        self.assertLess(self.since(start_ms), 4_000)

    async def test_request_waits_for_an_endpoint_that_returns_within_its_objective(self) -> None:
        times_ms: list[int] = []

        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            times_ms.append(Clock().now())
            answer = turn_away("0.3") if len(times_ms) == 1 else respond_with()
            await answer(request, writer)

        await self.start_gateway(respond)
        self.assertEqual((await self.send_request("/look/a")).status, 200)
        self.assertEqual(len(times_ms), 2)
        self.assertGreaterEqual(times_ms[1] - times_ms[0], 300)

    async def test_unreadable_times_are_ignored_and_the_longest_of_several_counts(self) -> None:
        for text in ("-5", "nan", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "inf", ""):
            with self.subTest(text):
                self.assertIsNone(read_away_ms(text))
        for text, away_ms in (("2", 2_000), ("0.25", 250), ("1e9", 600_000), ("1, x, 3", 3_000)):
            with self.subTest(text):
                self.assertEqual(read_away_ms(text), away_ms)


def read_away_ms(text: str) -> int | None:
    """Returns what the platform's translation reads from a 503 with a Retry-After."""
    headers = HTTPHeaders({"Attempt-Id": "a1", "Retry-After": text})
    return DIALECT.read_answer(HttpHead(503, headers)).away_ms


if __name__ == "__main__":
    unittest.main()

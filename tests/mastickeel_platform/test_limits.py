"""Endpoints that name a rate limit get no more requests from the whole fleet than it allows."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import TYPE_CHECKING

from mastickeel.clock import Clock
from tests.mastickeel_platform.gateway_case import FleetTestCase
from tests.mastickeel_platform.standins import Reply, Request, answer_bytes, call, request_bytes

if TYPE_CHECKING:
    from mastickeel_router.gateway import Gateway

GATEWAY_COUNT = 9
REQUESTS_EACH = 5
LIMIT_PER_SECOND = 0.5
WINDOW_S = 4.0
EXCESS = 1.5
"""Multiple of the named limit that the platform accepts."""
SLACK = 5
"""Requests above it that the platform accepts, from all instances together."""


class LimitTest(FleetTestCase):
    """Nine gateways before an endpoint that names a limit."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.limited = await self.add_endpoint(self.respond_limited)
        await self.start_fleet(GATEWAY_COUNT)
        # The first answers are held, so that every gateway has passed on one that names the limit.
        replies = await asyncio.gather(
            *(self.send_to(gateway, f"first-{gateway.callers_port}") for gateway in self.gateways)
        )
        self.assertEqual([reply.status for reply in replies], [200] * GATEWAY_COUNT)

    async def respond_limited(self, request: Request, writer: asyncio.StreamWriter) -> None:
        await self.wait_until(lambda: len(self.limited.requests) >= GATEWAY_COUNT)
        writer.write(answer_bytes(request, extra=f"Server-Limit: {LIMIT_PER_SECOND}"))

    async def send_to(self, gateway: Gateway, request_id: str) -> Reply:
        return await call(gateway.callers_port, request_bytes("/look/a", request_id))

    async def send_burst(self) -> list[Reply]:
        """Sends several requests to each gateway at once; checks what the limited endpoint gets."""
        clock = Clock()
        before, start_ms = len(self.limited.requests), clock.now()
        replies = await asyncio.gather(
            *(
                self.send_to(gateway, f"a{number}-{gateway.callers_port}")
                for gateway in self.gateways
                for number in range(REQUESTS_EACH)
            )
        )
        elapsed_s = (clock.now() - start_ms) / 1_000
        allowed = EXCESS * LIMIT_PER_SECOND * max(WINDOW_S, elapsed_s) + SLACK
        self.assertLessEqual(len(self.limited.requests) - before, allowed)
        return replies

    async def test_fleet_sends_more_requests_than_the_only_endpoint_accepts(self) -> None:
        for reply in await self.send_burst():
            self.assertIn(reply.status, (200, 503))
            if reply.status == 503:
                self.assertGreater(float(reply.headers["retry-after"]), 0)
                self.assertEqual(json.loads(reply.body)["ran"], "no")

    async def test_limit_is_forgotten_when_the_entry_expires_in_an_outage(self) -> None:
        key = "servers/i-1"
        entry = self.store.read(key)
        self.store.delete(key)
        await self.wait_until(lambda: not any(self.count_endpoints()))
        self.store.put(key, entry)
        await self.wait_until(lambda: all(self.count_endpoints()))
        await self.send_burst()

    def count_endpoints(self) -> list[int]:
        """Returns the number of endpoints that each gateway knows."""
        return [len(gateway.registry.all()) for gateway in self.gateways]

    async def test_fleet_sends_more_requests_than_one_of_two_endpoints_accepts(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            writer.write(answer_bytes(request))

        await self.add_endpoint(respond)
        await self.wait_until(lambda: set(self.count_endpoints()) == {2})
        self.assertEqual({reply.status for reply in await self.send_burst()}, {200})


if __name__ == "__main__":
    unittest.main()

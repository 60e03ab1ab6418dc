"""Prompts with a part that crashes endpoints are refused; others are served."""

from __future__ import annotations

import asyncio
import unittest

from tests.mastickeel_platform.gateway_case import FleetTestCase
from tests.mastickeel_platform.standins import (
    RawServer,
    Reply,
    Request,
    call,
    chunk_bytes,
    entry,
    event_bytes,
    request_bytes,
    stream_head_bytes,
)

GATEWAY_COUNT = 3
ENDPOINT_COUNT = 6
CRASHES_BEFORE = 5
"""Crashes after which the platform's rule counts the requests with a crashing part."""
ALLOWED_AFTER = 3
REQUESTS_AFTER = 12
RESTART_S = 0.3
SETTLE_S = 1.0
"""Time for reports to arrive, a third of the time within which the rule expects it."""
CRASHING_PART = "bad:50"


class CrashingEndpoint:
    """An engine that crashes when it begins an answer on the crashing part, and starts again."""

    def __init__(self, case: CrashingPartTest, number: int) -> None:
        self.server = RawServer(self._respond)
        self.crashes = 0
        self._case = case
        self._number = number
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts a process of the endpoint under an id of its own."""
        await self.server.start()
        key = f"servers/i-{self._number}-{self.crashes}"
        self._case.store.put(key, entry(self.server.port, born=1 + self.crashes))

    async def _respond(self, request: Request, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head_bytes(request) + chunk_bytes(event_bytes(1)))
        if CRASHING_PART in request.headers["prompt-prefix"]:
            self._crash()
            return
        await asyncio.sleep(0.02)
        writer.write(chunk_bytes(event_bytes(2)) + b"0\r\n\r\n")

    def _crash(self) -> None:
        self.server.crash()
        self._case.store.delete(f"servers/i-{self._number}-{self.crashes}")
        self.crashes += 1
        task = asyncio.create_task(self._restart())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self) -> None:
        await asyncio.sleep(RESTART_S)
        await self.start()


class CrashingPartTest(FleetTestCase):
    """Three gateways and six engines that crash on one part of prompts."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.engines = [CrashingEndpoint(self, number) for number in range(ENDPOINT_COUNT)]
        for engine in self.engines:
            self.endpoints.append(engine.server)
            await engine.start()
        await self.start_fleet(GATEWAY_COUNT)
        for gateway in self.gateways:
            await self.wait_until(lambda gateway=gateway: gateway.ready)
        self.sent = 0

    async def send_prompt(self, parts: str) -> Reply:
        """Sends a request whose prompt has these parts and one of its own, to the next gateway."""
        self.sent += 1
        port = self.gateways[self.sent % GATEWAY_COUNT].callers_port
        prompt = f"Model: m\r\nToken-Count: 100,20\r\nPrompt-Prefix: {parts},own{self.sent}:10"
        body = f"prompt {self.sent}".encode()
        data = request_bytes("/draft/a", f"r{self.sent}", body=body, headers=prompt)
        return await call(port, data)

    def count_arrivals(self) -> int:
        """Returns how many requests with the crashing part have reached an engine."""
        return sum(
            CRASHING_PART in request.headers["prompt-prefix"]
            for request in self.received_requests()
        )

    async def crash_endpoints(self, parts: str) -> None:
        """Sends requests until the endpoints have crashed five times, and waits for the reports."""
        while sum(engine.crashes for engine in self.engines) < CRASHES_BEFORE:
            await self.send_prompt(parts)
        await asyncio.sleep(SETTLE_S)

    async def test_refused_part_reaches_endpoints_after_a_kill_of_all_instances(self) -> None:
        # Issue 69, the cause of review/10: crashes were known to the memory of processes only.
        await self.crash_endpoints(f"first:30,{CRASHING_PART}")
        before = self.count_arrivals()
        await self.restart_fleet()
        replies = [
            await self.send_prompt(f"first:30,{CRASHING_PART}") for _ in range(REQUESTS_AFTER)
        ]
        self.assertEqual({reply.status for reply in replies}, {503})
        self.assertEqual(self.count_arrivals(), before)
        self.assertEqual((await self.send_prompt("first:30")).status, 200)

    async def test_requests_that_share_a_crashing_part_stop_reaching_endpoints(self) -> None:
        await self.crash_endpoints(f"first:30,{CRASHING_PART}")
        before = self.count_arrivals()
        replies = [
            await self.send_prompt(f"first:30,{CRASHING_PART}") for _ in range(REQUESTS_AFTER)
        ]
        self.assertLessEqual(self.count_arrivals() - before, ALLOWED_AFTER)
        self.assertEqual(replies[-1].status, 503)

    async def test_sound_requests_with_the_same_first_part_are_served(self) -> None:
        await self.crash_endpoints(f"first:30,{CRASHING_PART}")
        replies = []
        for _ in range(REQUESTS_AFTER):
            await self.send_prompt(f"first:30,{CRASHING_PART}")
            replies.append(await self.send_prompt("first:30,other:50"))
        self.assertEqual([reply.complete for reply in replies], [True] * REQUESTS_AFTER)
        self.assertEqual({reply.status for reply in replies}, {200})


if __name__ == "__main__":
    unittest.main()

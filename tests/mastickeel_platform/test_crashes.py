"""A request whose content crashes endpoints stops reaching them, wherever it is sent."""

from __future__ import annotations

import asyncio
import unittest

from mastickeel_router.quarantine.reports import REFUSED_AFTER_CRASHES
from tests.mastickeel_platform.gateway_case import GatewayTestCase
from tests.mastickeel_platform.standins import RawServer, Request, answer_bytes, reset_connection

BODY = b"poison"
ENDPOINTS = 6
ATTEMPTS = 12


class CrashingContentTest(GatewayTestCase):
    """Endpoints that end when they read a certain body; others serve."""

    async def begin_crashing(self) -> None:
        for _ in range(ENDPOINTS):
            await self.add_crashing()
        await self.start_gateway()

    async def add_crashing(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            if request.body != BODY:
                writer.write(answer_bytes(request))
                return
            endpoint.close_listener()
            reset_connection(writer)

        endpoint: RawServer = await self.add_endpoint(respond)

    def crashes(self) -> int:
        return sum(request.body == BODY for request in self.received_requests())

    async def test_content_stops_after_a_few_endpoints_and_others_are_served(self) -> None:
        await self.begin_crashing()
        statuses = []
        for number in range(ATTEMPTS):
            reply = await self.send_request("/once/a", f"p{number}", body=BODY)
            statuses.append(reply.status)
            # As long as a report of the last crash may take.
            await asyncio.sleep(0.05)
        self.assertEqual(self.crashes(), REFUSED_AFTER_CRASHES)
        self.assertEqual(
            statuses, [502] * REFUSED_AFTER_CRASHES + [503] * (ATTEMPTS - REFUSED_AFTER_CRASHES)
        )
        self.assertGreater(float(reply.headers["retry-after"]), 5)
        good = await self.send_request("/once/a", "good", body=b"other")
        self.assertEqual(good.status, 200)

    async def test_repeats_of_one_attempt_stop_too(self) -> None:
        await self.begin_crashing()
        replies = [await self.send_request("/look/a", f"p{n}", body=BODY) for n in range(ATTEMPTS)]
        self.assertLessEqual(self.crashes(), REFUSED_AFTER_CRASHES + 1)
        self.assertEqual(replies[-1].status, 503)

    async def test_answer_that_breaks_off_at_a_living_endpoint_is_no_crash(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            reset_connection(writer)

        await self.start_gateway(*[respond] * 3)
        replies = [await self.send_request("/once/a", f"p{n}", body=BODY) for n in range(ATTEMPTS)]
        self.assertEqual({one.status for one in replies}, {502})


if __name__ == "__main__":
    unittest.main()

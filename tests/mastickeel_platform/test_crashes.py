"""A request content that crashes endpoints is refused after a few crashes, on every route."""

from __future__ import annotations

import asyncio
import unittest

from mastickeel_router.quarantine.reports import REFUSED_AFTER_CRASHES
from tests.mastickeel_platform.gateway_case import FleetTestCase, GatewayTestCase
from tests.mastickeel_platform.standins import (
    RawServer,
    Request,
    answer_bytes,
    call,
    request_bytes,
    reset_connection,
)

BODY = b"poison"
ENDPOINT_COUNT = 6
ATTEMPTS = 12
SETTLE_S = 1.0
"""Time for a record of crashes to be written."""


async def add_crashing_endpoint(case: GatewayTestCase) -> None:
    """Adds an endpoint that crashes on a certain body and does not start again."""

    async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
        if request.body != BODY:
            writer.write(answer_bytes(request))
            return
        endpoint.close_listener()
        reset_connection(writer)

    endpoint: RawServer = await case.add_endpoint(respond)


def count_crashes(case: GatewayTestCase) -> int:
    """Returns how often the body has reached an endpoint."""
    return sum(request.body == BODY for request in case.received_requests())


class CrashingContentTest(GatewayTestCase):
    """Endpoints that crash on a certain body and serve any other."""

    async def start_crashing_endpoints(self) -> None:
        for _ in range(ENDPOINT_COUNT):
            await add_crashing_endpoint(self)
        await self.start_gateway()

    async def test_crashing_content_is_refused_and_others_are_served(self) -> None:
        await self.start_crashing_endpoints()
        statuses = []
        for number in range(ATTEMPTS):
            reply = await self.send_request("/once/a", f"p{number}", body=BODY)
            statuses.append(reply.status)
            # Time for the report of the last crash to arrive.
            await asyncio.sleep(0.05)
        self.assertEqual(count_crashes(self), REFUSED_AFTER_CRASHES)
        self.assertEqual(
            statuses, [502] * REFUSED_AFTER_CRASHES + [503] * (ATTEMPTS - REFUSED_AFTER_CRASHES)
        )
        self.assertGreater(float(reply.headers["retry-after"]), 5)
        good = await self.send_request("/once/a", "good", body=b"other")
        self.assertEqual(good.status, 200)

    async def test_retries_within_one_attempt_count_as_crashes(self) -> None:
        await self.start_crashing_endpoints()
        replies = [await self.send_request("/look/a", f"p{n}", body=BODY) for n in range(ATTEMPTS)]
        self.assertLessEqual(count_crashes(self), REFUSED_AFTER_CRASHES + 1)
        self.assertEqual(replies[-1].status, 503)

    async def test_reset_by_a_live_endpoint_is_not_a_crash(self) -> None:
        async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
            reset_connection(writer)

        await self.start_gateway(*[respond] * 3)
        replies = [await self.send_request("/once/a", f"p{n}", body=BODY) for n in range(ATTEMPTS)]
        self.assertEqual({reply.status for reply in replies}, {502})


class CrashingContentInFleetTest(FleetTestCase):
    """Two gateways and endpoints that crash on a certain body, each once."""

    async def test_refused_content_runs_again_after_a_kill_of_all_instances(self) -> None:
        # Issue 69, review/10: crashes were known to the memory of processes only.
        for _ in range(ENDPOINT_COUNT):
            await add_crashing_endpoint(self)
        await self.start_fleet(2)
        await self.send_poison(REFUSED_AFTER_CRASHES)
        self.assertEqual(count_crashes(self), REFUSED_AFTER_CRASHES)
        await asyncio.sleep(SETTLE_S)
        await self.restart_fleet()
        await self.send_poison(ATTEMPTS)
        self.assertEqual(count_crashes(self), REFUSED_AFTER_CRASHES)

    async def send_poison(self, count: int) -> None:
        """Sends the body that crashes endpoints, to the gateways in turn."""
        for number in range(count):
            port = self.gateways[number % 2].callers_port
            await call(port, request_bytes("/once/a", f"p{number}", body=BODY))
            # Time for the report of the last crash to arrive.
            await asyncio.sleep(0.2)


if __name__ == "__main__":
    unittest.main()

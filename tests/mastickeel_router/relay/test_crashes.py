"""Tests which results of a send and a probe count as a crash of an endpoint."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any

from tornado.httputil import HTTPHeaders

from mastickeel.addresses import Address
from mastickeel.clock import FakeClock
from mastickeel.httpmessages import ConnectionFailedError
from mastickeel.tasks import TaskGroup
from mastickeel_router.discovery import EndpointRecord
from mastickeel_router.quarantine.reports import CrashReports
from mastickeel_router.relay.crashes import CrashDetector
from mastickeel_router.relay.policy import SendOutcome, SendResult
from mastickeel_router.relay.types import CallerRequest, RequestHead

ENDPOINT = EndpointRecord("e1", "s", Address("127.0.0.1", 1), "dc-a", "v1", started_ms=7)


class CrashDetectorTest(unittest.IsolatedAsyncioTestCase):
    """After a broken answer, the endpoint refuses a connection, times out or accepts it."""

    async def asyncSetUp(self) -> None:
        self.clock = FakeClock()
        self.reports = CrashReports(self.clock)
        self.probes = 0
        self.failure: ConnectionFailedError | None = None
        self.tasks = TaskGroup()
        context: Any = SimpleNamespace(client=self, crashes=self.reports, tasks=self.tasks)
        head = RequestHead("POST", "/a", HTTPHeaders())
        request = CallerRequest("r1", head, "h", "", None)
        self.detector = CrashDetector(context, request, "gmina", b"body")

    async def connect(self, address: Address, **limits: Any) -> Any:
        """Replaces `HttpClient.connect`."""
        self.probes += 1
        if self.failure is not None:
            raise self.failure
        return SimpleNamespace(close=lambda: None)

    async def suspected(self, outcome: SendOutcome) -> bool:
        """Returns whether the content is suspected after a send with an outcome."""
        self.detector.record_send(ENDPOINT, SendResult(outcome))
        await self.clock.settle()
        return self.reports.has_suspects

    async def test_refused_connection_is_a_crash(self) -> None:
        self.failure = ConnectionFailedError("connection refused")
        self.failure.refused = True
        self.assertTrue(await self.suspected(SendOutcome.BROKEN))

    async def test_timeout_may_be_a_network_fault_and_is_no_crash(self) -> None:
        self.failure = ConnectionFailedError("no answer")
        self.assertFalse(await self.suspected(SendOutcome.BROKEN))

    async def test_endpoint_that_accepts_connections_has_not_crashed(self) -> None:
        self.assertFalse(await self.suspected(SendOutcome.BROKEN))
        self.assertEqual(self.probes, 1)

    async def test_other_outcomes_are_not_probed(self) -> None:
        for outcome in SendOutcome:
            if outcome is not SendOutcome.BROKEN:
                self.assertFalse(await self.suspected(outcome))
        self.assertEqual(self.probes, 0)


if __name__ == "__main__":
    unittest.main()

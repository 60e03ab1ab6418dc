"""Circuit breakers log when they open and when an endpoint has recovered."""

from __future__ import annotations

import random
import unittest
from unittest.mock import patch

from mastickeel.clock import FakeClock
from mastickeel_router import breaker
from mastickeel_router.breaker import FAILURES_TO_OPEN, FIRST_OPEN_MS, RAMP_MS, CircuitBreakers


class CircuitBreakerLogTest(unittest.IsolatedAsyncioTestCase):
    """Log events of one endpoint that fails and recovers."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.breakers = CircuitBreakers(self.clock, random.Random(1))
        log_patch = patch.object(breaker, "log")
        self.log = log_patch.start()
        self.addCleanup(log_patch.stop)

    def logged_events(self) -> list[tuple[str, str]]:
        return [(call.args[0].name, call.kwargs["endpoint"]) for call in self.log.call_args_list]

    async def test_opening_and_recovery_are_each_logged_once(self) -> None:
        for _ in range(FAILURES_TO_OPEN - 1):
            self.breakers.record_failure("e1")
        self.assertEqual(self.logged_events(), [])
        self.breakers.record_failure("e1")
        self.assertEqual(self.logged_events(), [("endpoint_paused", "e1")])
        fields = self.log.call_args.kwargs
        self.assertEqual((fields["failures"], fields["pause_ms"]), (3, FIRST_OPEN_MS))
        self.breakers.record_failure("e1")
        self.breakers.record_success("e1")
        self.assertEqual(len(self.logged_events()), 1)
        await self.clock.advance(FIRST_OPEN_MS + RAMP_MS)
        self.breakers.record_success("e1")
        self.assertEqual(self.logged_events()[1:], [("endpoint_trusted", "e1")])

    def test_failures_below_the_threshold_are_not_logged(self) -> None:
        self.breakers.record_failure("e1")
        self.breakers.record_success("e1")
        self.breakers.record_success("e2")
        self.assertEqual(self.logged_events(), [])


if __name__ == "__main__":
    unittest.main()

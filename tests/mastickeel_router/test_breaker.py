"""What a breaker changes in the process's belief has a line."""

from __future__ import annotations

import random
import unittest
from unittest.mock import patch

from mastickeel.clock import FakeClock
from mastickeel_router import breaker
from mastickeel_router.breaker import FAILURES_TO_OPEN, FIRST_OPEN_MS, RAMP_MS, CircuitBreakers


class BreakerLinesTest(unittest.IsolatedAsyncioTestCase):
    """One endpoint that fails, and recovers."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.breakers = CircuitBreakers(self.clock, random.Random(1))
        patched = patch.object(breaker, "log")
        self.log = patched.start()
        self.addCleanup(patched.stop)

    def lines(self) -> list[tuple[str, str]]:
        return [(one.args[0].name, one.kwargs["endpoint"]) for one in self.log.call_args_list]

    async def test_pause_and_return_have_a_line_each(self) -> None:
        for _ in range(FAILURES_TO_OPEN - 1):
            self.breakers.record_failure("e1")
        self.assertEqual(self.lines(), [])
        self.breakers.record_failure("e1")
        self.assertEqual(self.lines(), [("endpoint_paused", "e1")])
        fields = self.log.call_args.kwargs
        self.assertEqual((fields["failures"], fields["pause_ms"]), (3, FIRST_OPEN_MS))
        self.breakers.record_failure("e1")
        self.breakers.record_success("e1")
        self.assertEqual(len(self.lines()), 1)
        await self.clock.advance(FIRST_OPEN_MS + RAMP_MS)
        self.breakers.record_success("e1")
        self.assertEqual(self.lines()[1:], [("endpoint_trusted", "e1")])

    def test_failures_that_open_nothing_have_none(self) -> None:
        self.breakers.record_failure("e1")
        self.breakers.record_success("e1")
        self.breakers.record_success("e2")
        self.assertEqual(self.lines(), [])


if __name__ == "__main__":
    unittest.main()

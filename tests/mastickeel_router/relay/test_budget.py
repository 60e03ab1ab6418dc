"""Tests that the retries of all instances stay within the fleet's ratio and slack in any window."""

from __future__ import annotations

import random
import unittest

from mastickeel.clock import FakeClock
from mastickeel_router.relay.budget import MIN_INSTANCES_SHARING, RetryBudget, RetryLimits

LIMITS = RetryLimits(ratio=0.9, slack=58, window_ms=10_000)
GROWN_FLEET = 58


class BudgetTest(unittest.IsolatedAsyncioTestCase):
    async def test_fleet_stays_within_its_limits_when_every_request_fails(self) -> None:
        clock = FakeClock()
        rng = random.Random(5)
        budgets = [RetryBudget(clock, LIMITS) for _ in range(MIN_INSTANCES_SHARING)]
        requests: list[int] = []
        retries: list[int] = []
        for _ in range(1_000):
            await clock.advance(rng.randrange(60))
            budget = rng.choice(budgets)
            budget.record_request("s")
            requests.append(clock.now())
            for _ in range(3):
                if budget.try_acquire("s"):
                    retries.append(clock.now())
        for end in retries[::7]:
            start = end - LIMITS.window_ms
            sent = sum(start < at <= end for at in retries)
            windows = (start, start - LIMITS.window_ms // 2, start - LIMITS.window_ms)
            requested = max(
                sum(begin < at <= begin + LIMITS.window_ms for at in requests) for begin in windows
            )
            self.assertLessEqual(sent, LIMITS.ratio * requested + LIMITS.slack)

    async def test_grown_fleet_stays_within_its_slack(self) -> None:
        clock = FakeClock()
        budgets = [RetryBudget(clock, LIMITS, lambda: GROWN_FLEET) for _ in range(GROWN_FLEET)]
        granted = sum(budget.try_acquire("s") for budget in budgets for _ in range(60))
        self.assertLessEqual(granted, LIMITS.slack)

    async def test_lapsed_entries_of_instances_do_not_enlarge_the_shares(self) -> None:
        clock = FakeClock()
        known = [GROWN_FLEET]
        budgets = [RetryBudget(clock, LIMITS, lambda: known[0]) for _ in range(GROWN_FLEET)]
        for budget in budgets:
            budget.record_request("s")
        known[0] = 1
        granted = sum(budget.try_acquire("s") for budget in budgets for _ in range(60))
        self.assertLessEqual(granted, LIMITS.slack + LIMITS.ratio * GROWN_FLEET)

    async def test_instance_without_requests_may_still_retry(self) -> None:
        clock = FakeClock()
        budget = RetryBudget(clock, LIMITS)
        self.assertTrue(budget.try_acquire("s"))
        self.assertTrue(budget.try_acquire("other"))

    async def test_retries_are_available_again_after_the_window(self) -> None:
        clock = FakeClock()
        budget = RetryBudget(clock, LIMITS)
        while budget.try_acquire("s"):
            pass
        await clock.advance(LIMITS.window_ms + 1)
        self.assertTrue(budget.try_acquire("s"))


if __name__ == "__main__":
    unittest.main()

"""A schedule never allows more requests than its rate and its burst."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from mastickeel_router.ratelimits.schedule import BURST, MIN_PER_SECOND, SendSchedule
from tests.mastickeel_router.ratelimits.windows import most_in_window

WINDOW_MS = 4_000
rates = st.floats(0.1, 50.0)
asks = st.lists(st.tuples(st.integers(0, 3_000), st.integers(0, 2_000)), max_size=120)


class SendScheduleTest(unittest.TestCase):
    @given(rate=rates, asks=asks)
    def test_no_window_has_more_than_the_rate_and_the_burst(
        self, rate: float, asks: list[tuple[int, int]]
    ) -> None:
        schedule, now, sends = SendSchedule(0, rate), 0, []
        for pause_ms, max_wait_ms in asks:
            now += pause_ms
            granted, wait_ms = schedule.reserve(now, rate, max_wait_ms)
            self.assertEqual(granted, wait_ms <= max_wait_ms)
            if granted:
                sends.append(now + wait_ms)
        allowed = rate * WINDOW_MS / 1_000 + BURST
        self.assertLessEqual(most_in_window(sends, WINDOW_MS), allowed + 1e-6)

    @given(rate=rates, other=rates, asks=st.integers(1, 100))
    def test_changed_rate_holds_from_then_on(self, rate: float, other: float, asks: int) -> None:
        schedule = SendSchedule(0, rate)
        for _ in range(asks):
            schedule.reserve(0, rate, 1_000)
        sends = []
        for now in range(0, 20_000, 50):
            granted, wait_ms = schedule.reserve(now, other, 0)
            if granted:
                sends.append(now + wait_ms)
        allowed = other * WINDOW_MS / 1_000 + BURST
        self.assertLessEqual(most_in_window(sends, WINDOW_MS), allowed + 1e-6)

    def test_first_request_waits_since_earlier_ones_are_not_known(self) -> None:
        schedule = SendSchedule(0, 2.0)
        self.assertEqual(schedule.reserve(0, 2.0, 499), (False, 500.0))
        self.assertEqual(schedule.reserve(0, 2.0, 500), (True, 500.0))
        self.assertEqual(schedule.reserve(0, 2.0, 1_000), (True, 1_000.0))

    def test_pause_saves_up_the_burst_only(self) -> None:
        schedule = SendSchedule(0, 2.0)
        granted = [schedule.reserve(60_000, 2.0, 0)[0] for _ in range(BURST + 1)]
        self.assertEqual(granted, [True] * BURST + [False])

    def test_limit_of_zero_is_probed_seldom(self) -> None:
        schedule = SendSchedule(0, 0.0)
        interval_ms = 1_000 / MIN_PER_SECOND
        self.assertEqual(schedule.reserve(0, 0.0, 0), (False, interval_ms))
        self.assertEqual(schedule.reserve(interval_ms, 0.0, 0), (True, 0))


if __name__ == "__main__":
    unittest.main()

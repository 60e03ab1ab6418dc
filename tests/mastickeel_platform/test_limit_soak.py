"""Gateways as processes keep the limits that endpoints name, under random faults."""

from __future__ import annotations

import unittest

from tests.mastickeel_platform.limit_soak import (
    EVACUATION_FAULTS,
    LARGE_FAULTS,
    STORE_FAULTS,
    LimitSoak,
)

SEEDS = (1, 2)
STORE_SEEDS = (3, 4)
EVACUATION_SEEDS = (5, 6)
LARGE_SEEDS = (7,)
INSTANCE_COUNT = 5
DURATION_MS = 15_000


class LimitSoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_limit_is_broken(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = await LimitSoak(seed, INSTANCE_COUNT, DURATION_MS).run()
                self.assertEqual(result.violations, [], result)
                self.assertGreater(result.outcomes["200"], 0, result)

    async def test_no_instance_in_touch_acts_on_an_older_version(self) -> None:
        for seed in STORE_SEEDS:
            with self.subTest(seed=seed):
                result = await LimitSoak(seed, INSTANCE_COUNT, DURATION_MS, STORE_FAULTS).run()
                self.assertEqual(result.violations, [], result)
                self.assertGreater(result.outcomes["probe 200"], 0, result)

    async def test_evacuated_and_cold_endpoints_get_too_much(self) -> None:
        for seed in EVACUATION_SEEDS:
            with self.subTest(seed=seed):
                result = await LimitSoak(seed, INSTANCE_COUNT, DURATION_MS, EVACUATION_FAULTS).run()
                self.assertEqual(result.violations, [], result)
                self.assertGreater(result.outcomes["200"], 0, result)

    async def test_large_configurations_hold_up_what_follows_them(self) -> None:
        for seed in LARGE_SEEDS:
            with self.subTest(seed=seed):
                result = await LimitSoak(seed, INSTANCE_COUNT, DURATION_MS, LARGE_FAULTS).run()
                self.assertEqual(result.violations, [], result)
                self.assertGreater(result.outcomes["probe 200"], 0, result)


if __name__ == "__main__":
    unittest.main()

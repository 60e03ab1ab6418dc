"""Concurrent operators, instances and requests keep every promise in any order of events."""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from bench.histories.configuration import run


class HistoryTest(unittest.TestCase):
    """Random histories with seeds from hypothesis; ``make history`` runs many more."""

    @settings(
        max_examples=6,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.integers(0, 10**6))
    @example(1089)
    def test_no_promise_is_broken(self, seed: int) -> None:
        result = asyncio.run(run(seed))
        self.assertEqual(result.violations_by_promise, {}, f"make history SEED={seed} RUNS=1")
        self.assertGreater(result.operations, 0)

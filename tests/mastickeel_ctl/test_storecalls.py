"""Calls to the store are summed over the logs of all instances."""

from __future__ import annotations

import unittest

from mastickeel_ctl.storecalls import sum_calls


class SumCallsTest(unittest.TestCase):
    def test_calls_of_all_instances(self) -> None:
        records = [
            {
                "event": "store_calls",
                "instance": f"edge-{number}",
                "timestamp": f"2026-01-01T00:00:0{number}.5Z",
                "calls": {"watch idle": 2, "txn instances": number},
            }
            for number in (1, 2)
        ]
        records += [{"event": "started"}, {"event": "store_calls", "calls": 3}]
        ledger = sum_calls(records)
        self.assertEqual(ledger.rows, [("watch idle", 4), ("txn instances", 3)])
        self.assertEqual((ledger.instance_count, ledger.total), (2, 7))
        self.assertEqual(
            ledger.counts_by_second, {"2026-01-01T00:00:01": 3, "2026-01-01T00:00:02": 4}
        )


if __name__ == "__main__":
    unittest.main()

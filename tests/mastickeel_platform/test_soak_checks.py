"""The soak's checks take what is allowed for a break, or a break for what is allowed."""

from __future__ import annotations

import unittest
from dataclasses import replace

from tests.mastickeel_platform.soak_checks import (
    APPLY_MS,
    Change,
    Instance,
    Probe,
    find_late_probes,
)

ACKED_MS = 5_593_754
# Seed 523: version 9 removed the route in the millisecond in which it was probed; edge-4 put it in
# force 4 ms before it refused, while the other instances still served by version 8.
PROBE = Probe(ACKED_MS + 2_050, "edge-4", 8, ACKED_MS, False, 404, "p1", "new8", ACKED_MS + 2_054)
REMOVAL = Change(ACKED_MS + 2_050, 9, "new8", True)


class LateProbesTest(unittest.TestCase):
    def is_late(self, probe: Probe, version: int, *changes: Change) -> bool:
        versions_by_id = {"p1": version} if version else {}
        return bool(find_late_probes([probe], [Instance("edge-4")], [], changes, versions_by_id))

    def test_refusal_by_a_newer_version_counts_as_one_by_an_older(self) -> None:
        self.assertFalse(self.is_late(PROBE, 9, REMOVAL))
        self.assertFalse(self.is_late(PROBE, 10, REMOVAL))

    def test_refusal_by_an_older_version_is_excused_by_a_removal(self) -> None:
        for version in (7, 8):
            self.assertTrue(self.is_late(PROBE, version, REMOVAL))

    def test_refusal_without_a_record_is_excused(self) -> None:
        self.assertTrue(self.is_late(PROBE, 0, REMOVAL))

    def test_removal_of_another_route_or_an_earlier_one_excuses(self) -> None:
        self.assertTrue(self.is_late(PROBE, 9, replace(REMOVAL, route="new7")))
        self.assertTrue(self.is_late(PROBE, 9, replace(REMOVAL, version=7)))
        self.assertTrue(self.is_late(PROBE, 9, replace(REMOVAL, is_removed=False)))
        self.assertTrue(self.is_late(PROBE, 9))

    def test_route_that_is_served_after_its_removal_is_excused(self) -> None:
        served = replace(PROBE, is_removed=True, status=200, at_ms=ACKED_MS + APPLY_MS)
        self.assertTrue(self.is_late(served, 9, REMOVAL))


if __name__ == "__main__":
    unittest.main()

"""KNOWN-RED.txt names tests that exist, so that CI passes over what was meant."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

KNOWN_RED = Path(__file__).parents[2] / "KNOWN-RED.txt"
TEST_ID = re.compile(r"\btests(?:\.\w+)+\.test_\w+(?:\.\w+\.test_\w+)")


class KnownRedTest(unittest.TestCase):
    def test_each_listed_test_exists(self) -> None:
        text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
        loader = unittest.TestLoader()
        for test_id in TEST_ID.findall(text):
            with self.subTest(test_id):
                loader.loadTestsFromName(test_id)
                self.assertEqual(loader.errors, [])

    def test_renamed_class_is_found(self) -> None:
        loader = unittest.TestLoader()
        (test_id,) = TEST_ID.findall("Test: tests.docs.test_known_red.OldName.test_each; Seen: x")
        loader.loadTestsFromName(test_id)
        self.assertTrue(loader.errors)


if __name__ == "__main__":
    unittest.main()

"""Validation of a gateway's settings reports every fault with its key."""

from __future__ import annotations

import unittest
from pathlib import Path

from mastickeel.errors import SettingsError
from mastickeel_router.gateway import load, parse

GOOD = """
[instance]
id = "i"
data_centre = "d"
region = "r"
[callers]
listen = "127.0.0.1:1"
[health]
listen = "127.0.0.1:2"
[store]
urls = ["127.0.0.1:3"]
"""


class SettingsTest(unittest.TestCase):
    def faults(self, text: str) -> str:
        with self.assertRaises(SettingsError) as raised:
            parse(text)
        return "\n".join(raised.exception.faults)

    def test_valid_settings_are_parsed(self) -> None:
        settings = parse(GOOD + "[repeats]\nratio = 1\nslack = 58.0\n")
        self.assertEqual((settings.repeats.ratio, settings.repeats.slack), (1.0, 58.0))

    def test_every_missing_section_is_reported(self) -> None:
        for key in ("instance", "callers", "health", "store"):
            self.assertIn(key, self.faults(""))

    def test_fault_of_a_type_key_or_range_names_its_key(self) -> None:
        self.assertIn("id", self.faults(GOOD.replace('id = "i"', "id = 4")))
        self.assertIn("colour", self.faults(GOOD + 'colour = "red"\n'))
        self.assertIn("repeats.window_ms", self.faults(GOOD + "[repeats]\nwindow_ms = 0\n"))
        self.assertIn("stop.reserve_ms", self.faults(GOOD + "[stop]\ngrace_ms = 400\n"))
        tunnels = '[tunnels]\nlisten = "127.0.0.1:0"\ndescriptors = 0\n'
        self.assertIn("tunnels.descriptors", self.faults(GOOD + tunnels))
        self.assertIn("listen", self.faults(GOOD.replace("127.0.0.1:1", "nowhere")))

    def test_text_that_is_not_toml_is_reported(self) -> None:
        self.assertIn("not TOML", self.faults("node_name=edge-1\n"))

    def test_missing_file_is_named(self) -> None:
        with self.assertRaises(SettingsError) as raised:
            load(Path("/nowhere/settings.toml"))
        self.assertIn("/nowhere/settings.toml", raised.exception.faults[0])


if __name__ == "__main__":
    unittest.main()

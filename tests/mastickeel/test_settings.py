"""Settings are checked completely: every fault is listed with its key and remedy."""

from __future__ import annotations

import os
import unittest
from pathlib import Path
from unittest import mock

from mastickeel.addresses import Address
from mastickeel.errors import SettingsError
from mastickeel.settings import load, parse
from tests.fleet import SETTINGS

EXAMPLES = Path(__file__).parents[2] / "examples"
GOOD = SETTINGS.format(number=1, data_centre=1, store=2379, token="0" * 64, callers="", admin="")


def faults_of(text: str) -> list[str]:
    """Returns the faults of a settings document."""
    try:
        parse(text)
    except SettingsError as error:
        return error.faults
    return []


class SettingsTest(unittest.TestCase):
    """Guards against faults that are missed or reported without a remedy, and printed secrets."""

    def test_good_settings(self) -> None:
        settings = parse(GOOD)
        self.assertEqual(settings.store.urls, (Address("127.0.0.1", 2379),))
        self.assertTrue(settings.pools["draft-models"].checks_fencing)

    def test_examples_have_no_faults(self) -> None:
        for path in sorted(EXAMPLES.glob("*.toml")):
            with self.subTest(path.name):
                self.assertTrue(load(path).pools)

    def test_all_faults_are_listed_at_once(self) -> None:
        text = GOOD.replace('id = "router-1"', "id = 7").replace("leave_ms = 0", "linger_ms = 0")
        text = text.replace("checks_orderer = false", "").replace("127.0.0.1:2379", "store")
        faults = "\n".join(faults_of(text))
        for expected in ("instance.id", "linger_ms", "checks_orderer", "store"):
            self.assertIn(expected, faults)
        self.assertEqual(len(faults_of(text)), 4, faults)

    def test_values_out_of_range_are_refused(self) -> None:
        text = GOOD.replace("body_limit_bytes = 65536", "body_limit_bytes = 0")
        text = text.replace("0" * 64, "abc")
        faults = "\n".join(faults_of(text))
        self.assertIn("callers.body_limit_bytes is 0", faults)
        self.assertIn("token_sha256", faults)

    def test_durations_may_have_a_unit(self) -> None:
        for text, expected_ms in (("1500", 1_500), ('"1.5 s"', 1_500), ('"2min"', 120_000)):
            settings = parse(GOOD.replace("leave_ms = 0", f"leave_ms = {text}"))
            self.assertEqual(settings.shutdown.leave_ms, expected_ms)
        for text in ('"1.5"', '"1.5 hours"', '"-1 s"', "1.5"):
            faults = faults_of(GOOD.replace("leave_ms = 0", f"leave_ms = {text}"))
            self.assertEqual(len(faults), 1, faults)
            self.assertIn("leave_ms", faults[0])

    def test_pool_without_endpoint_checks_is_refused(self) -> None:
        text = GOOD.replace("checks_fencing = true\n", "")
        self.assertIn("'checks_fencing' is missing; add it", "\n".join(faults_of(text)))

    def test_secret_is_given_by_source_and_never_printed(self) -> None:
        text = GOOD.replace(
            '[peers]\nlisten = "127.0.0.1:0"', '[peers]\nlisten = "127.0.0.1:0"\nkey = "hunter2"'
        )
        faults = "\n".join(faults_of(text))
        self.assertIn("env:NAME or file:PATH", faults)
        self.assertNotIn("hunter2", faults)
        named = text.replace("hunter2", "env:PEER_KEY")
        self.assertIn("set the environment variable PEER_KEY", "\n".join(faults_of(named)))
        with mock.patch.dict(os.environ, {"PEER_KEY": "s3cret"}):
            settings = parse(named)
        self.assertNotIn("s3cret", repr(settings))

    def test_missing_peer_key_is_accepted_only_on_loopback(self) -> None:
        text = GOOD.replace('[peers]\nlisten = "127.0.0.1:0"', '[peers]\nlisten = "10.0.0.1:0"')
        self.assertIn("peers.key is missing", "\n".join(faults_of(text)))

    def test_invalid_toml_and_missing_file_are_refused(self) -> None:
        self.assertIn("not TOML", faults_of("[instance")[0])
        with self.assertRaises(SettingsError):
            load(Path("no-such-file.toml"))

"""Data that cannot be decoded is one error, whatever is wrong with it."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from mastickeel.decoding import decode_json, decode_msgpack
from mastickeel.peers import Envelope

ROOT = Path(__file__).parents[2]
PRODUCTS = ("mastickeel", "mastickeel_router", "mastickeel_ctl")
SOURCES = (*(ROOT / "packages" / one / "src" for one in PRODUCTS), ROOT / "platform" / "src")
DEPTH = 5_000
DECODERS = ("msgspec.json.decode", "msgspec.msgpack.decode", "json.loads")


class DecodingTest(unittest.TestCase):
    def test_deep_nesting_raises_an_error_that_readers_do_not_expect(self) -> None:
        for data in (b"[" * DEPTH + b"]" * DEPTH, b'{"a":' * DEPTH + b"1" + b"}" * DEPTH):
            for expected_type in (object, list, dict):
                with self.assertRaises(msgspec.DecodeError):
                    decode_json(data, expected_type)
        for expected_type in (list, msgspec.Raw, Envelope):
            with self.assertRaises(msgspec.DecodeError):
                decode_msgpack(b"\x91" * DEPTH + b"\x01", expected_type)

    @settings(max_examples=500, deadline=None, derandomize=True)
    @given(st.binary(max_size=80))
    def test_any_bytes(self, data: bytes) -> None:
        for decode in (decode_json, decode_msgpack):
            try:
                decode(data)
            except msgspec.DecodeError:
                continue

    def test_module_decodes_without_the_common_error(self) -> None:
        users = []
        for file in (path for source in SOURCES for path in source.rglob("*.py")):
            for node in ast.walk(ast.parse(file.read_text())):
                if isinstance(node, ast.Attribute) and ast.unparse(node) in DECODERS:
                    users.append(file.name)
        self.assertEqual(set(users), {"decoding.py"})


if __name__ == "__main__":
    unittest.main()

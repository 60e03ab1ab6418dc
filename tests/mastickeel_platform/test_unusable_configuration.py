"""A configuration with one wrong value is put in force, or raises an error without a type."""

from __future__ import annotations

import json
import math
import unittest
from copy import deepcopy
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from mastickeel.errors import MastickeelError
from mastickeel_platform.configuration import read_configuration
from mastickeel_router.routes import RouteTable
from tests.mastickeel_platform.standins import configuration, route

KEY = "op/config"
VALID = configuration(
    7,
    route("look", "safe"),
    route("draft", "streaming", gap_target_ms=1_000, sizes=["small", "large"], sticky=True),
    route("split", "unsafe", split=[{"service": "register", "weight": 90}]),
    services=[
        {
            "name": "register",
            "max_conns": 100,
            "engine": {
                "slots": 4,
                "kv_capacity": 1_000,
                "models": [{"name": "small", "cost": 0.1}, {"name": "large", "cost": 1}],
            },
        }
    ],
)
VALUES = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=5)
    | st.lists(st.integers(), max_size=2)
    | st.dictionaries(st.text(max_size=3), st.integers(), max_size=2)
)


def list_paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the paths of all values in a document."""
    children: list[tuple[Any, Any]] = []
    if isinstance(value, dict):
        children = list(value.items())
    elif isinstance(value, list):
        children = list(enumerate(value))
    found = [path] if path else []
    return found + [one for key, child in children for one in list_paths(child, (*path, key))]


def replace_at(document: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Returns a copy of a document with another value at a path."""
    copy = deepcopy(document)
    place = copy
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = value
    return copy


class UnusableConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RouteTable()
        self.table.install(read_configuration(KEY, json.dumps(VALID).encode()), 1)

    def take(self, data: bytes) -> str:
        """Offers a value to the table; returns the reason of a refusal, empty for none."""
        try:
            self.table.install(read_configuration(KEY, data), 2)
        except MastickeelError as error:
            return error.detail
        return ""

    def check_usable(self) -> None:
        """Checks all that a request relies on."""
        in_force = self.table.configuration
        assert in_force is not None
        for one in in_force.routes:
            self.assertIsNotNone(self.table.match(one.host, one.path_prefix))
            self.assertGreater(one.timeout_ms, 0)
            self.assertGreaterEqual(one.attempts, 1)
            self.assertGreaterEqual(min(one.objective_ms, one.max_event_gap_ms), 0)
            self.assertGreater(sum(split.weight for split in one.splits), 0)
            for split in one.splits:
                self.assertTrue(0 <= split.weight < math.inf)
                self.assertIn(split.service, in_force.services_by_name)
        for service in in_force.services_by_name.values():
            self.assertGreaterEqual(service.connections, 0)
            if service.engine is not None:
                self.assertGreater(min(service.engine.slots, service.engine.memory_tokens), 0)
                for model in service.engine.models_by_name.values():
                    self.assertTrue(0 <= model.cost < math.inf)
        for limit in vars(in_force.limits).values():
            self.assertGreater(limit, 0)

    @settings(max_examples=1_000, deadline=None, derandomize=True)
    @given(st.sampled_from(list_paths(VALID)), VALUES)
    def test_one_wrong_value(self, path: tuple[Any, ...], value: Any) -> None:
        self.setUp()
        document = replace_at(VALID, path, value)
        if path != ("version",):
            document["version"] = 8
        self.take(json.dumps(document).encode())
        self.check_usable()

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=60) | VALUES.map(lambda value: json.dumps(value).encode()))
    def test_any_bytes(self, data: bytes) -> None:
        self.setUp()
        self.assertTrue(self.take(data))
        self.assertEqual(self.table.version, 7)

    def test_reason_names_the_field(self) -> None:
        for path, value, field in (
            (("routes", 0, "service"), "nobody", "nobody"),
            (("routes", 1, "timeout_ms"), -1, "timeout"),
            (("routes", 1, "max_attempts"), "two", "max_attempts"),
            (("services", 0, "engine", "slots"), 0, "slots"),
        ):
            document = replace_at(VALID, path, value) | {"version": 8}
            reason = self.take(json.dumps(document).encode())
            self.assertIn(field, reason)
            self.assertEqual(self.table.version, 7)


if __name__ == "__main__":
    unittest.main()

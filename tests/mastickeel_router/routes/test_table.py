"""Tests that the route table accepts only newer configurations and matches the longest prefix."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from mastickeel.errors import NotFoundError, UnauthorizedError, UnavailableError
from mastickeel_router.routes import (
    Caller,
    Route,
    RouteKind,
    RouteTable,
    RoutingConfiguration,
    ServiceTraits,
    Split,
    table,
)


def route(name: str, prefix: str, host: str = "a.example", **changes) -> Route:
    splits = (Split("s", 1),)
    return Route(name, host, prefix, RouteKind.REPEATABLE, splits, 1_000, 200, **changes)


def configuration(version: int, *routes: Route, **changes) -> RoutingConfiguration:
    services = {"s": ServiceTraits("s", connections=1)}
    return RoutingConfiguration(version, routes, services, **changes)


class RouteTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RouteTable()

    def test_requests_are_refused_before_the_first_configuration(self) -> None:
        with self.assertRaises(UnavailableError) as raised:
            self.table.match("a.example", "/x/")
        self.assertIsNotNone(raised.exception.retry_after_ms)

    def test_longest_prefix_wins(self) -> None:
        self.table.install(configuration(1, route("short", "/a/"), route("long", "/a/b/")), 5)
        self.assertEqual(self.table.match("a.example", "/a/b/c").name, "long")
        self.assertEqual(self.table.match("A.Example:8080", "/a/c").name, "short")
        for host, path in (("a.example", "/ab/"), ("b.example", "/a/"), ("a.example", "/a")):
            with self.assertRaises(NotFoundError):
                self.table.match(host, path)

    def test_older_and_equal_versions_are_ignored(self) -> None:
        self.assertTrue(self.table.install(configuration(5, route("new", "/a/")), 1))
        self.assertFalse(self.table.install(configuration(4, route("old", "/b/")), 2))
        self.assertFalse(self.table.install(configuration(5, route("old", "/b/")), 3))
        self.assertEqual(self.table.match("a.example", "/a/").name, "new")

    def test_private_route_requires_a_known_key(self) -> None:
        self.table.install(configuration(1, callers_by_key={"k": Caller("gmina")}), 1)
        private, public = route("p", "/p/"), route("o", "/o/", public=True)
        self.assertEqual(self.table.authenticate(private, "k"), Caller("gmina"))
        self.assertIsNone(self.table.authenticate(public, ""))
        for key in ("", "x"):
            with self.assertRaises(UnauthorizedError):
                self.table.authenticate(private, key)

    def test_log_names_accounts_that_lost_a_key_but_no_keys(self) -> None:
        keys = {"k1": Caller("gmina"), "k2": Caller("gmina"), "k3": Caller("powiat")}
        self.table.install(configuration(1, callers_by_key=keys), 1)
        kept = {"k1": Caller("gmina"), "k3": Caller("powiat")}
        with patch.object(table, "log") as log:
            self.table.install(configuration(2, callers_by_key=kept), 2)
        fields = log.call_args.kwargs
        self.assertEqual(fields["keys_dropped"], ["gmina"])
        self.assertNotIn("k2", str(fields))

    def test_no_key_is_required_without_accounts(self) -> None:
        self.table.install(configuration(1), 1)
        self.assertIsNone(self.table.authenticate(route("p", "/p/"), ""))

    def test_callbacks_get_each_newer_version(self) -> None:
        versions = []
        self.table.on_change.append(lambda new: versions.append(new.version))
        for version in (1, 3, 2):
            self.table.install(configuration(version), 1)
        self.assertEqual(versions, [1, 3])


if __name__ == "__main__":
    unittest.main()

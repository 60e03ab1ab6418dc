"""Every log event stands in the catalogue, and the catalogue lists no other."""

from __future__ import annotations

import importlib
import pkgutil
import unittest
from pathlib import Path

import mastickeel
import mastickeel_router
from mastickeel.events import define_event, events_by_number

CATALOGUE = Path(__file__).parents[2] / "docs" / "EVENTS.md"


def import_all() -> None:
    """Imports every module, so that all events are defined."""
    for package in (mastickeel, mastickeel_router):
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            importlib.import_module(module.name)


def catalogue() -> str:
    """Returns the page that the defined events make."""
    lines = [
        "# Log events",
        "",
        "Each record on standard error is a JSON object with the event's `number` and name. The",
        "numbers never change. `make events` writes this page from the code.",
        "",
        "| number | name | level | meaning |",
        "|---|---|---|---|",
    ]
    for number, event in sorted(events_by_number.items()):
        lines.append(f"| {number} | {event.name} | {event.level} | {event.meaning} |")
    return "\n".join(lines) + "\n"


class EventsTest(unittest.TestCase):
    """The catalogue and the code agree."""

    def test_catalogue_lists_just_the_defined_events(self) -> None:
        import_all()
        self.assertEqual(CATALOGUE.read_text(), catalogue(), "run make events")

    def test_number_is_used_once(self) -> None:
        number = next(iter(events_by_number))
        with self.assertRaises(ValueError):
            define_event(number, "again", "info", "x")
        with self.assertRaises(ValueError):
            define_event(999_999, "again", "loud", "x")


if __name__ == "__main__":
    import_all()
    CATALOGUE.write_text(catalogue())

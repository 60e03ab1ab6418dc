"""The catalogue docs/EVENTS.md lists exactly the log events that the code defines."""

from __future__ import annotations

import importlib
import pkgutil
import unittest
from pathlib import Path

import mastickeel
import mastickeel_platform
import mastickeel_router
from mastickeel.events import define_event, events_by_number

CATALOGUE = Path(__file__).parents[2] / "docs" / "EVENTS.md"


def import_all() -> None:
    """Imports all modules, so that all events are defined."""
    for package in (mastickeel, mastickeel_platform, mastickeel_router):
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            importlib.import_module(module.name)


def catalogue() -> str:
    """Returns the text of the catalogue for the defined events."""
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
    """Guards against a catalogue that differs from the code, and against reused numbers."""

    def test_catalogue_lists_exactly_the_defined_events(self) -> None:
        import_all()
        self.assertEqual(CATALOGUE.read_text(), catalogue(), "run make events")

    def test_used_number_and_unknown_level_are_refused(self) -> None:
        number = next(iter(events_by_number))
        with self.assertRaises(ValueError):
            define_event(number, "again", "info", "x")
        with self.assertRaises(ValueError):
            define_event(999_999, "again", "loud", "x")


if __name__ == "__main__":
    import_all()
    CATALOGUE.write_text(catalogue())

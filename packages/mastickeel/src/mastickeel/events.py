"""Numbered log events, which operators can look up in docs/EVENTS.md.

Each package defines its events in its own modules and its own range of numbers:
1000 process, 1100 store, 1200 callers, 1300 admission, 1400 choice, 1500 dispatch, 1600 billing,
1700 configuration, 1800 membership, 1900 rollouts, 2000 operators, 2100 orders to engines,
2200 quarantine.
"""

from __future__ import annotations

from dataclasses import dataclass

LEVELS = ("debug", "info", "warning", "error")


@dataclass(frozen=True)
class Event:
    """A kind of log record."""

    number: int
    """The stable number of the event."""
    name: str
    """A short name in snake_case."""
    level: str
    """One of LEVELS."""
    meaning: str
    """Text of the catalogue: the occurrence, and the remedy where one is needed."""


events_by_number: dict[int, Event] = {}
"""All events that the imported modules have defined."""


def define_event(number: int, name: str, level: str, meaning: str) -> Event:
    """Defines an event and adds it to the catalogue.

    Args:
        number: The number of the event, used by no other event.
        name: A short name in snake_case.
        level: The log level, one of LEVELS.
        meaning: Text of the catalogue: the occurrence, and the remedy where one is needed.

    Returns:
        The event.

    Raises:
        ValueError: When the number is already in use or the level is unknown.
    """
    if number in events_by_number:
        raise ValueError(f"event {number} is defined twice; take a free number")
    if level not in LEVELS:
        raise ValueError(f"event {number} has level {level!r}; take one of {LEVELS}")
    event = Event(number, name, level, meaning)
    events_by_number[number] = event
    return event


STARTED = define_event(
    1000, "started", "info", "The process serves requests; its addresses are in the record."
)
STOPPING = define_event(
    1001, "stopping", "info", "A stop was requested; open requests run to their end."
)
STOPPED = define_event(1002, "stopped", "info", "The process has released everything and exits.")
SETTINGS_REFUSED = define_event(
    1003, "settings_refused", "error", "The settings have faults; correct the listed keys."
)
TASK_FAILED = define_event(
    1004, "task_failed", "error", "A background task failed; supervised tasks are restarted."
)
STORE_RETRY = define_event(1100, "store_retry", "warning", "A store call failed and is retried.")
STORE_DOWN = define_event(
    1101, "store_down", "warning", "The store does not answer; changes wait until it does."
)
STORE_UP = define_event(1102, "store_up", "info", "The store answers again.")
WATCH_REOPENED = define_event(
    1103, "watch_reopened", "info", "A watch of the store was silent for too long and was reopened."
)

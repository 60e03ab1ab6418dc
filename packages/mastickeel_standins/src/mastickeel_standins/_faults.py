"""Switchable faults of the stand-ins, and the control route that sets them from outside."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import TYPE_CHECKING, Any

from mastickeel_standins._http import JsonHandler

if TYPE_CHECKING:
    from collections.abc import Callable

LISTENERS = "listeners"


@dataclass
class Faults:
    """The faults that every stand-in has; set a field to switch one."""

    outage: bool = False
    """Connections are accepted, then closed without a reply."""
    refuse: bool = False
    """Every call is answered with status 503 and has no effect."""
    delay_ms: float = 0
    """The wait before a call is carried out."""
    listeners: list[Callable[[], None]] = field(default_factory=list, repr=False, compare=False)
    """Called after each change of a field."""

    def __setattr__(self, name: str, value: object) -> None:
        """Sets a field and tells the listeners."""
        super().__setattr__(name, value)
        for listener in list(getattr(self, LISTENERS, ())):
            listener()


@dataclass
class KeyValueFaults(Faults):
    """The faults of the key-value service."""

    reply_delay_ms: float = 0
    """The wait between carrying out a call and its reply."""
    lose_answers: int = 0
    """So many of the next mutating calls take effect and get no reply."""
    lose_answer_when: Callable[[str, bytes], bool] | None = None
    """Told path and body; true lets the call take effect without a reply."""
    silent_watches: bool = False
    """Watches that are open while this is set deliver nothing any more, also afterwards."""
    cut_for: Callable[[str], bool] | None = None
    """Told a call's User-Agent; true closes its connection, and its watches, without a reply."""


def change_faults(faults: Faults, changes: dict[str, Any]) -> None:
    """Sets the named fields, all or none.

    ``cut_for`` takes a list of User-Agent texts, ``lose_answer_when`` a part of the path; null
    switches either off.

    Args:
        faults: What to change.
        changes: The new value of each named field.

    Raises:
        ValueError: When a field is unknown or its value has the wrong type.
    """
    names = {each.name for each in fields(faults)} - {LISTENERS}
    values = {name: _validate_value(faults, names, name, value) for name, value in changes.items()}
    for name, value in values.items():
        setattr(faults, name, value)


def _validate_value(faults: Faults, names: set[str], name: str, value: Any) -> Any:
    """Returns the value to set for a field, or raises ValueError."""
    if name not in names:
        raise ValueError(f"{name} is no fault; there are {', '.join(sorted(names))}.")
    if name == "cut_for":
        return _make_agent_predicate(value)
    if name == "lose_answer_when":
        return _make_path_predicate(value)
    now = getattr(faults, name)
    is_flag = isinstance(now, bool)
    if is_flag != isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} takes {'true or false' if is_flag else 'a number'}.")
    return value


def _make_agent_predicate(agents: list[str] | None) -> Callable[[str], bool] | None:
    """Returns a test for membership in a list of User-Agent texts."""
    if agents is None:
        return None
    if not isinstance(agents, list):
        raise ValueError("cut_for takes a list of User-Agent texts, or null.")
    return set(agents).__contains__


def _make_path_predicate(part: str | None) -> Callable[[str, bytes], bool] | None:
    """Returns a test for a part of the path."""
    if part is None:
        return None
    if not isinstance(part, str):
        raise ValueError("lose_answer_when takes a part of the path, or null.")
    return lambda path, body: part in path


class FaultsHandler(JsonHandler):
    """POST /control/faults: sets faults by name."""

    def initialize(self, faults: Faults) -> None:
        """Takes the faults to change."""
        self.faults = faults

    def post(self) -> None:
        """Sets the fields of the body."""
        try:
            change_faults(self.faults, self.json_body())
        except ValueError as error:
            self.reply({"error": str(error)}, 400)
            return
        self.reply({})

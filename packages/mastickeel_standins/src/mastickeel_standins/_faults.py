"""Switchable faults of the stand-ins and the control route that sets them."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import TYPE_CHECKING, Any

from mastickeel_standins._http import JsonHandler

if TYPE_CHECKING:
    from collections.abc import Callable

LISTENERS = "listeners"


@dataclass
class Faults:
    """Faults common to several stand-ins; setting a field switches the fault."""

    outage: bool = False
    """Whether connections are accepted, then closed without a reply."""
    refuse: bool = False
    """Whether every call is answered with status 503 and has no effect."""
    delay_ms: float = 0
    """Delay before a call is executed, in milliseconds."""
    listeners: list[Callable[[], None]] = field(default_factory=list, repr=False, compare=False)
    """Callbacks to run after each change of a field."""

    def __setattr__(self, name: str, value: object) -> None:
        """Sets a field and calls the listeners."""
        super().__setattr__(name, value)
        for listener in list(getattr(self, LISTENERS, ())):
            listener()


@dataclass
class KeyValueFaults(Faults):
    """Faults of the key-value service."""

    reply_delay_ms: float = 0
    """Delay between executing a call and its reply, in milliseconds."""
    lose_answers: int = 0
    """Number of next mutating calls that take effect but get no reply."""
    lose_answer_when: Callable[[str, bytes], bool] | None = None
    """Returns, for a path and a body, whether the call takes effect but gets no reply."""
    silent_watches: bool = False
    """Whether open watches go silent; they stay silent after the fault is switched off."""
    cut_for: Callable[[str], bool] | None = None
    """Returns, for a User-Agent, whether its connections and watches close without a reply."""


def change_faults(faults: Faults, changes: dict[str, Any]) -> None:
    """Sets the named faults; changes none if one name or value is invalid.

    ``cut_for`` takes a list of User-Agent texts, ``lose_answer_when`` a substring of the path; null
    switches either fault off.

    Args:
        faults: The faults to change.
        changes: New values by fault name.

    Raises:
        ValueError: If a fault name is unknown or a value has the wrong type.
    """
    names = {fault_field.name for fault_field in fields(faults)} - {LISTENERS}
    values = {name: _validate_value(faults, names, name, value) for name, value in changes.items()}
    for name, value in values.items():
        setattr(faults, name, value)


def _validate_value(faults: Faults, names: set[str], name: str, value: Any) -> Any:
    """Returns the value to set for a fault, or raises ValueError if the change is invalid."""
    if name not in names:
        raise ValueError(f"{name} is no fault; there are {', '.join(sorted(names))}.")
    if name == "cut_for":
        return _make_agent_predicate(value)
    if name == "lose_answer_when":
        return _make_path_predicate(value)
    current = getattr(faults, name)
    is_flag = isinstance(current, bool)
    if is_flag != isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} takes {'true or false' if is_flag else 'a number'}.")
    return value


def _make_agent_predicate(agents: list[str] | None) -> Callable[[str], bool] | None:
    """Returns a predicate for membership in a list of User-Agent texts."""
    if agents is None:
        return None
    if not isinstance(agents, list):
        raise ValueError("cut_for takes a list of User-Agent texts, or null.")
    return set(agents).__contains__


def _make_path_predicate(part: str | None) -> Callable[[str, bytes], bool] | None:
    """Returns a predicate for calls whose path contains a substring."""
    if part is None:
        return None
    if not isinstance(part, str):
        raise ValueError("lose_answer_when takes a part of the path, or null.")
    return lambda path, body: part in path


class FaultsHandler(JsonHandler):
    """POST /control/faults: sets faults by name."""

    def initialize(self, faults: Faults) -> None:
        """Stores the faults that the route changes."""
        self.faults = faults

    def post(self) -> None:
        """Sets the faults named in the body."""
        try:
            change_faults(self.faults, self.json_body())
        except ValueError as error:
            self.reply({"error": str(error)}, 400)
            return
        self.reply({})

"""The statements of the operators' language."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel.model import EndpointState, Guard, Stage, VersionState

REPLACE_ROSTER = "replace roster"
"""The act that only an administrator may order."""
Value = str | float | int | bool | tuple["Value", ...]
"""What a literal stands for: durations in milliseconds, shares as 0 to 1."""


@dataclass(frozen=True)
class Position:
    """Where in the text something stands."""

    line: int
    column: int

    def __str__(self) -> str:
        """Returns the position as people read it."""
        return f"line {self.line}, column {self.column}"


@dataclass(frozen=True)
class Assignment:
    """Gives a field a value."""

    field: str
    value: Value
    position: Position


@dataclass(frozen=True)
class DryRun:
    """Asks for the difference that the block would make, without making it."""


@dataclass(frozen=True)
class AtRevision:
    """Makes the block conditional on the revision it was written for."""

    revision: int


@dataclass(frozen=True)
class Condition:
    """Keeps the rows of a table whose column compares so with a value."""

    column: str
    comparison: str
    value: Value


@dataclass(frozen=True)
class Show:
    """Lists a table."""

    source: str
    conditions: tuple[Condition, ...] = ()
    order_by: str = ""
    descending: bool = False
    limit: int = 0
    """The most rows; 0 for all."""
    as_json: bool = False


@dataclass(frozen=True)
class Explain:
    """Gives the figures behind a decision."""

    kind: str
    id: str
    as_json: bool = False


@dataclass(frozen=True)
class Create:
    """Makes an object."""

    kind: str
    id: str
    assignments: tuple[Assignment, ...]
    position: Position


@dataclass(frozen=True)
class Alter:
    """Changes fields of an object."""

    kind: str
    id: str
    assignments: tuple[Assignment, ...]
    position: Position


@dataclass(frozen=True)
class Drop:
    """Removes an object."""

    kind: str
    id: str
    position: Position


@dataclass(frozen=True)
class SetPermission:
    """Allows or denies an account a model, version or service."""

    target_kind: str
    id: str
    account_id: str
    allowed: bool
    position: Position


@dataclass(frozen=True)
class SetVersionState:
    """Takes a version out of use, or puts it back."""

    version_id: str
    state: VersionState
    position: Position


@dataclass(frozen=True)
class AddEndpoint:
    """Puts an endpoint into a pool."""

    id: str
    pool_id: str
    assignments: tuple[Assignment, ...]
    position: Position


@dataclass(frozen=True)
class RemoveEndpoint:
    """Takes an endpoint out of a pool."""

    id: str
    pool_id: str
    position: Position


@dataclass(frozen=True)
class MarkEndpoint:
    """Marks an endpoint as leaving, or as live again."""

    id: str
    pool_id: str
    state: EndpointState
    position: Position


@dataclass(frozen=True)
class AddRule:
    """Says of some calls of a service whether they may be repeated."""

    service_id: str
    method: str
    path: str
    repeatable: bool
    position: Position


@dataclass(frozen=True)
class RemoveRule:
    """Removes what was said of some calls of a service."""

    service_id: str
    method: str
    path: str
    position: Position


@dataclass(frozen=True)
class SetKey:
    """Gives an account a key, named by its digest, or takes it away."""

    account_id: str
    key_hash: str
    present: bool
    position: Position


@dataclass(frozen=True)
class RollOut:
    """Begins a roll-out."""

    id: str
    new: str
    old: str
    stages: tuple[Stage, ...]
    guards: tuple[Guard, ...]
    assignments: tuple[Assignment, ...]
    position: Position


@dataclass(frozen=True)
class SteerRollout:
    """Pauses, resumes or undoes a roll-out."""

    id: str
    action: str
    position: Position


@dataclass(frozen=True)
class Action:
    """Does something that changes no configuration, such as clearing a quarantine."""

    name: str
    """The name under which a slice offers it."""
    id: str
    position: Position


Header = DryRun | AtRevision
"""What may stand before the commands of a block."""
Query = Show | Explain
"""Statements that only ask."""
Command = (
    Create
    | Alter
    | Drop
    | SetPermission
    | SetVersionState
    | AddEndpoint
    | RemoveEndpoint
    | MarkEndpoint
    | AddRule
    | RemoveRule
    | SetKey
    | RollOut
    | SteerRollout
)
"""Statements that change the configuration."""
Statement = Header | Query | Command | Action
"""Any statement."""


@dataclass(frozen=True)
class Block:
    """Commands that are one change, all or none."""

    commands: tuple[Command, ...]
    actions: tuple[Action, ...]
    dry_run: bool = False
    at_revision: int | None = None

"""Statements of the operators' language."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel.model import EndpointState, Guard, Stage, VersionState

REPLACE_ROSTER = "replace roster"
"""Name of the only action that requires an administrator."""
Value = str | float | int | bool | tuple["Value", ...]
"""Value of a literal: durations in milliseconds, percentages as shares of 0 to 1."""


@dataclass(frozen=True)
class Position:
    """Line and column of a statement or assignment in the text."""

    line: int
    column: int

    def __str__(self) -> str:
        """Returns the position as error details show it."""
        return f"line {self.line}, column {self.column}"


@dataclass(frozen=True)
class Assignment:
    """Sets a field to a value."""

    field: str
    value: Value
    position: Position


@dataclass(frozen=True)
class DryRun:
    """Makes the block report its differences without changing the configuration."""


@dataclass(frozen=True)
class AtRevision:
    """Refuses the block unless the configuration in force has this revision."""

    revision: int


@dataclass(frozen=True)
class Condition:
    """Keeps the rows of a table whose column compares to a value as stated."""

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
    """Maximum number of rows; 0 for all."""
    as_json: bool = False


@dataclass(frozen=True)
class Explain:
    """Shows the figures behind a decision."""

    kind: str
    id: str
    as_json: bool = False


@dataclass(frozen=True)
class Create:
    """Creates an object."""

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
    """Withdraws a version from use, or restores it."""

    version_id: str
    state: VersionState
    position: Position


@dataclass(frozen=True)
class AddEndpoint:
    """Adds an endpoint to a pool."""

    id: str
    pool_id: str
    assignments: tuple[Assignment, ...]
    position: Position


@dataclass(frozen=True)
class RemoveEndpoint:
    """Removes an endpoint from a pool."""

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
    """Sets whether calls of a service with a given method and path may be retried."""

    service_id: str
    method: str
    path: str
    repeatable: bool
    position: Position


@dataclass(frozen=True)
class RemoveRule:
    """Removes the rule for calls of a service with a given method and path."""

    service_id: str
    method: str
    path: str
    position: Position


@dataclass(frozen=True)
class SetKey:
    """Adds a key, given as its digest, to an account, or removes it."""

    account_id: str
    key_hash: str
    present: bool
    position: Position


@dataclass(frozen=True)
class RollOut:
    """Starts a rollout."""

    id: str
    new: str
    old: str
    stages: tuple[Stage, ...]
    guards: tuple[Guard, ...]
    assignments: tuple[Assignment, ...]
    position: Position


@dataclass(frozen=True)
class SteerRollout:
    """Pauses, resumes or undoes a rollout."""

    id: str
    action: str
    position: Position


@dataclass(frozen=True)
class Action:
    """Runs an action that leaves the configuration unchanged, such as clearing a quarantine."""

    name: str
    """Name of the action in the catalogue."""
    id: str
    position: Position


Header = DryRun | AtRevision
"""Statements that may precede the commands of a block."""
Query = Show | Explain
"""Statements that read and change nothing."""
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
    """Commands that are applied as one change, all or none, or actions to run."""

    commands: tuple[Command, ...]
    actions: tuple[Action, ...]
    dry_run: bool = False
    at_revision: int | None = None

"""Tables that answer queries, and the registry of tables for the operators' language."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Table:
    """Named columns and rows of plain values."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


Source = Callable[[], Awaitable[Table]]
"""Returns the table for ``show <name>``."""
Explainer = Callable[[str], Awaitable[Table]]
"""Returns the table for ``explain <kind> <id>``."""
Action = Callable[[str, str], Awaitable[str]]
"""Runs a command that changes no configuration, given an id and an author; returns a summary of the
effect for the audit."""


class Catalogue:
    """Tables and actions of the operators' language, which the router's parts register by name."""

    def __init__(self) -> None:
        self.sources_by_name: dict[str, Source] = {}
        """Functions that return the tables for ``show``."""
        self.explainers_by_kind: dict[str, Explainer] = {}
        """Functions that return the tables for ``explain``."""
        self.actions_by_name: dict[str, Action] = {}
        """Actions such as ``clear quarantine``."""

"""The faults that the engine stand-in can be given."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping


class Faults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The base of the mutable faults of a stand-in."""

    def update(self, values: Mapping[str, Any]) -> None:
        """Sets some faults.

        Args:
            values: The new values by name.

        Raises:
            msgspec.ValidationError: When a name or a value is not one of the faults.
        """
        updated = {**msgspec.structs.asdict(self), **values}
        checked = msgspec.convert(updated, type(self))
        for name in values:
            setattr(self, name, getattr(checked, name))


class EngineFaults(Faults):
    """The faults of the engine stand-in; all off at first."""

    crash_on: str | None = None
    """A text that crashes the engine when a prompt with it begins to run."""
    restart_ms: float = 2000
    """How long the engine is down after a crash, in milliseconds."""
    down: bool = False
    """Whether each connection is closed without a reply."""
    silent: bool = False
    """Whether requests are read and never answered."""
    silent_after: int | None = None
    """Pieces after which a stream goes silent, once a generation, while it goes on inside."""
    cut_after: int | None = None
    """Pieces after which a stream's connection is closed, once a generation."""
    fail_rate: float = 0.0
    """The part of the chat requests that fail before they run."""
    fail_status: int = 500
    """The HTTP status of those failures."""
    slow_factor: float = 1.0
    """What the times of generating are multiplied by."""
    late_and_crossed: bool = False
    """Whether old pieces and pieces of another request come in between."""
    no_end_mark: bool = False
    """Whether streams end after the last piece, without a finish reason or an end mark."""
    drop_every_event: int = 0
    """Every how many cache events one is not published; 0 drops none."""
    event_delay_ms: float = 0
    """How late cache events are published, in milliseconds."""
    bad_quality_by_model: dict[str, float] = {}
    """How bad the answers of a model are, 0 to 1, for the rating stand-in."""

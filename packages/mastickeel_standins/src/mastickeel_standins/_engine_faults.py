"""Switchable faults of the engine stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping


class FaultStruct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base class of mutable faults whose names and types msgspec checks."""

    def update(self, values: Mapping[str, Any]) -> None:
        """Sets the named faults; changes none if one name or value is invalid.

        Args:
            values: New values by fault name.

        Raises:
            msgspec.ValidationError: If a fault name is unknown or a value has the wrong type.
        """
        updated = {**msgspec.structs.asdict(self), **values}
        checked = msgspec.convert(updated, type(self))
        for name in values:
            setattr(self, name, getattr(checked, name))


class EngineFaults(FaultStruct):
    """Faults of the engine stand-in, all off by default."""

    crash_on: str | None = None
    """Text that crashes the engine when a prompt that contains it starts to run."""
    restart_ms: float = 2000
    """Downtime after a crash, in milliseconds."""
    down: bool = False
    """Whether each connection is closed without a reply."""
    silent: bool = False
    """Whether requests are read but never answered."""
    silent_after: int | None = None
    """Number of pieces after which a stream stalls, once per generation; generating continues."""
    cut_after: int | None = None
    """Number of pieces after which a stream's connection is closed, once per generation."""
    fail_rate: float = 0.0
    """Fraction of chat requests that fail before they run, 0 to 1."""
    fail_status: int = 500
    """HTTP status of the requests that ``fail_rate`` selects."""
    slow_factor: float = 1.0
    """Factor on the duration of each generation step."""
    late_and_crossed: bool = False
    """Whether streams also carry repeated pieces and pieces of another request."""
    no_end_mark: bool = False
    """Whether streams end after the last piece without a finish reason and an end marker."""
    drop_every_event: int = 0
    """Interval of dropped cache event batches: n drops every n-th batch, 0 drops none."""
    event_delay_ms: float = 0
    """Delay of published cache events, in milliseconds."""
    bad_quality_by_model: dict[str, float] = {}
    """Quality lost in a model's answers, 0 to 1, by model; the rating stand-in subtracts it."""

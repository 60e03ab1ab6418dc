"""The registration record of an instance."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Member:
    """An instance of the fleet as it registers itself in the store."""

    id: str
    address: str
    """``host:port`` of its peer listener."""
    data_centre: str
    region: str
    leaving: bool = False
    """Whether the instance accepts no new work."""
    process: str = ""
    """Random id of the instance's current process."""

"""Reads the log lines of gateways, from files or a stream, and counts those that are none."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_LINE_LENGTH = 65_536
"""The longest line that is read, in characters; ours are below a thousand."""


@dataclass
class LogLines:
    """Lines of logs, in the order of their sources."""

    sources: Iterable[Iterable[str]]
    since: str = ""
    """The first time that is read, ISO 8601 in UTC; empty for all."""
    until: str = ""
    """The time before which lines are read; empty for all."""
    bad_count: int = 0
    """Lines that hold no record."""
    dropped_by_instance: Counter[str] = field(default_factory=Counter)
    """Lines that instances left out under load."""

    def __iter__(self) -> Iterator[dict[str, Any]]:
        """Gives each record of the window."""
        for source in self.sources:
            for text in source:
                record = _read(text)
                if record is None:
                    self.bad_count += bool(text.strip())
                    continue
                if record.get("event") == "lines_dropped":
                    self._note_dropped(record)
                    continue
                if self._is_wanted(str(record.get("timestamp", ""))):
                    yield record

    def _note_dropped(self, record: dict[str, Any]) -> None:
        total = record.get("total")
        name = str(record.get("instance", ""))
        if isinstance(total, int):
            self.dropped_by_instance[name] = max(self.dropped_by_instance[name], total)

    def _is_wanted(self, timestamp: str) -> bool:
        if self.since and timestamp < self.since:
            return False
        return not self.until or timestamp < self.until


def _read(text: str) -> dict[str, Any] | None:
    """Reads a record; log collectors may have put words of their own before it."""
    start = text.find("{")
    if start < 0 or len(text) > MAX_LINE_LENGTH:
        return None
    try:
        record = msgspec.json.decode(text[start:])
    except (msgspec.DecodeError, UnicodeError):
        return None
    return record if isinstance(record, dict) and "event" in record else None

"""Reads gateways' log records from files or a stream, and counts other and dropped lines."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel.decoding import decode_json

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_LINE_LENGTH = 65_536
"""Maximum length of a line in characters; the gateway's lines are below a thousand."""


@dataclass
class LogLines:
    """Iterates over the records of logs, in the order of the sources."""

    sources: Iterable[Iterable[str]]
    since: str = ""
    """Start of the window, inclusive, ISO 8601 in UTC; empty for no limit."""
    until: str = ""
    """End of the window, exclusive, ISO 8601 in UTC; empty for no limit."""
    bad_count: int = 0
    """Number of lines read so far that are neither blank nor a record."""
    dropped_by_instance: Counter[str] = field(default_factory=Counter)
    """Number of lines that each instance did not log because of load."""

    def __iter__(self) -> Iterator[dict[str, Any]]:
        """Yields the records between ``since`` and ``until``."""
        for source in self.sources:
            for text in source:
                record = _parse_record(text)
                if record is None:
                    self.bad_count += bool(text.strip())
                    continue
                if record.get("event") == "lines_dropped":
                    self._record_dropped(record)
                    continue
                if self._is_in_window(str(record.get("timestamp", ""))):
                    yield record

    def _record_dropped(self, record: dict[str, Any]) -> None:
        total = record.get("total")
        instance_id = str(record.get("instance", ""))
        if isinstance(total, int):
            self.dropped_by_instance[instance_id] = max(
                self.dropped_by_instance[instance_id], total
            )

    def _is_in_window(self, timestamp: str) -> bool:
        if self.since and timestamp < self.since:
            return False
        return not self.until or timestamp < self.until


def _parse_record(text: str) -> dict[str, Any] | None:
    """Parses a record, after any prefix that a log collector added; None when there is none."""
    start = text.find("{")
    if start < 0 or len(text) > MAX_LINE_LENGTH:
        return None
    try:
        record = decode_json(text[start:])
    except (msgspec.DecodeError, UnicodeError):
        return None
    return record if isinstance(record, dict) and "event" in record else None

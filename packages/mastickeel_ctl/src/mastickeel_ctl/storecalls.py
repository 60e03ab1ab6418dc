"""Sums the calls to the store that instances report in their logs."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

SECOND_LENGTH = len("2026-01-01T00:00:00")
"""Length of a time up to its seconds."""


@dataclass(frozen=True)
class CallLedger:
    """Calls to the store, over all instances of the logs."""

    rows: list[tuple[str, int]]
    """Kind and cause of the calls with their number, most frequent first."""
    instance_count: int
    """Number of instances that have reported calls."""
    counts_by_second: dict[str, int]
    """Calls by the second in which they were reported; an instance reports at an interval."""
    total: int


def sum_calls(records: Iterable[dict[str, Any]]) -> CallLedger:
    """Returns the sums of the ``store_calls`` records; malformed ones are left out."""
    counts: Counter[str] = Counter()
    counts_by_second: Counter[str] = Counter()
    instances = set()
    for record in records:
        calls = record.get("calls")
        if record["event"] != "store_calls" or not isinstance(calls, dict):
            continue
        instances.add(record.get("instance"))
        counts.update({call: count for call, count in calls.items() if isinstance(count, int)})
        second = str(record.get("timestamp", ""))[:SECOND_LENGTH]
        counts_by_second[second] += sum(one for one in calls.values() if isinstance(one, int))
    return CallLedger(
        counts.most_common(), len(instances), dict(counts_by_second), sum(counts.values())
    )

"""The exposure of one roll-out, as the holder of the duty hands it out in shares."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel_router.rollouts.messages import ExposureRequest

MIN_LEASE_MS = 10_000
"""How long an instance may use what it was granted, in a small fleet."""
REPORTS_PER_LEASE = 2
RECLAIM_AFTER_MS = 120_000
"""After so long a silence an instance is taken for gone, with the answers it had open."""
MAX_REPORTS_PER_SECOND = 16
"""What the holder is willing to hear, whatever the size of the fleet."""
MIN_REPORT_INTERVAL_MS = 500
RECENT_REPORT_MS = 10_000


@dataclass
class _InstanceExposure:
    """What one instance has of the exposure."""

    incarnation: int
    granted: int
    ended: int = 0
    returned: int = 0
    last_report_ms: int = 0

    @property
    def outstanding(self) -> int:
        """Requests granted, and neither answered nor returned."""
        return max(0, self.granted - self.ended - self.returned)


def grant_lease_ms(instances: int) -> int:
    """Returns how long a grant lasts in a fleet of a size, which is longer where reports are rare.

    Args:
        instances: How many there are.
    """
    return max(MIN_LEASE_MS, REPORTS_PER_LEASE * instances * 1_000 // MAX_REPORTS_PER_SECOND)


class Exposure:
    """Who may send how many requests to the new version, and how many are open."""

    def __init__(self, first_grant_ms: int) -> None:
        """Makes the exposure.

        Args:
            first_grant_ms: When the first grant may be made, in clock milliseconds; the grants of
                earlier holders have lapsed by then.
        """
        self._first_grant_ms = first_grant_ms
        self._exposures_by_instance: dict[str, _InstanceExposure] = {}

    @property
    def outstanding(self) -> int:
        """Requests that are open or may still be begun, over the whole fleet."""
        return sum(one.outstanding for one in self._exposures_by_instance.values())

    def record_report(
        self, instance_id: str, report: ExposureRequest, fencing: int, now_ms: int
    ) -> None:
        """Takes an instance's counts.

        Args:
            instance_id: Who reported.
            report: Its report.
            fencing: This holder's number; counts that belong to another are left out.
            now_ms: The time.
        """
        account = self._exposures_by_instance.get(instance_id)
        is_ours = report.fencing == fencing
        if account is None or account.incarnation != report.incarnation:
            account = _InstanceExposure(report.incarnation, report.granted if is_ours else 0)
            self._exposures_by_instance[instance_id] = account
        if is_ours:
            account.ended = max(account.ended, report.ended)
            account.returned = max(account.returned, report.returned)
        account.last_report_ms = now_ms

    def grant(self, instance_id: str, wanted: int, window: int, now_ms: int) -> int:
        """Grants what fits into the window.

        Args:
            instance_id: Who wants it; it has been noted.
            wanted: How many requests.
            window: How many may be outstanding over the whole fleet.
            now_ms: The time.

        Returns:
            What the instance has been granted so far, all in all.
        """
        account = self._exposures_by_instance[instance_id]
        self._reclaim(now_ms)
        if now_ms >= self._first_grant_ms:
            free = max(0, window - self.outstanding)
            fair = max(1, free // max(1, self.count_recent_instances(now_ms)))
            account.granted += min(wanted, free, fair)
        return account.granted

    def count_recent_instances(self, now_ms: int) -> int:
        """Returns how many instances have reported of late."""
        accounts = self._exposures_by_instance.values()
        return sum(1 for one in accounts if one.last_report_ms + RECENT_REPORT_MS > now_ms)

    def report_interval_ms(self, now_ms: int) -> int:
        """Returns when an instance is to report again, so that reports stay few in all."""
        return max(
            MIN_REPORT_INTERVAL_MS,
            self.count_recent_instances(now_ms) * 1_000 // MAX_REPORTS_PER_SECOND,
        )

    def _reclaim(self, now_ms: int) -> None:
        """Takes back what silent instances had."""
        silent = [
            instance_id
            for instance_id, account in self._exposures_by_instance.items()
            if account.last_report_ms + RECLAIM_AFTER_MS < now_ms
        ]
        for instance_id in silent:
            del self._exposures_by_instance[instance_id]

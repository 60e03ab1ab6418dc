"""Divides the exposure of one rollout among the instances, on the duty holder."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel_router.rollouts.messages import ExposureRequest

MIN_LEASE_MS = 10_000
"""Validity of grants in a small fleet."""
REPORTS_PER_LEASE = 2
RECLAIM_AFTER_MS = 120_000
"""Silence after which an instance and its open requests count as gone."""
MAX_REPORTS_PER_SECOND = 16
"""Bound on the reports that the holder receives, for any fleet size."""
MIN_REPORT_INTERVAL_MS = 500
RECENT_REPORT_MS = 10_000


@dataclass
class _InstanceExposure:
    """The exposure granted to one instance."""

    incarnation: int
    granted: int
    ended: int = 0
    returned: int = 0
    last_report_ms: int = 0

    @property
    def outstanding(self) -> int:
        """Granted requests that are neither answered nor returned."""
        return max(0, self.granted - self.ended - self.returned)


def grant_lease_ms(instances: int) -> int:
    """Returns the validity of grants in milliseconds, longer in large fleets with rarer reports.

    Args:
        instances: The number of instances in the fleet.
    """
    return max(MIN_LEASE_MS, REPORTS_PER_LEASE * instances * 1_000 // MAX_REPORTS_PER_SECOND)


class Exposure:
    """Tracks the requests to the new version that each instance has been granted."""

    def __init__(self, first_grant_ms: int) -> None:
        """Creates an exposure without grants.

        Args:
            first_grant_ms: When the first grant may be made, in clock milliseconds; the grants of
                earlier holders have lapsed by then.
        """
        self._first_grant_ms = first_grant_ms
        self._exposures_by_instance: dict[str, _InstanceExposure] = {}

    @property
    def outstanding(self) -> int:
        """Granted requests that are in flight or may still start, over the whole fleet."""
        return sum(exposure.outstanding for exposure in self._exposures_by_instance.values())

    def record_report(
        self, instance_id: str, report: ExposureRequest, fencing: int, now_ms: int
    ) -> None:
        """Records the counts that an instance reports.

        Args:
            instance_id: The reporting instance.
            report: The instance's report.
            fencing: This holder's fencing token; counts that belong to another holder are ignored.
            now_ms: The clock time in milliseconds.
        """
        exposure = self._exposures_by_instance.get(instance_id)
        is_from_this_holder = report.fencing == fencing
        if exposure is None or exposure.incarnation != report.incarnation:
            exposure = _InstanceExposure(
                report.incarnation, report.granted if is_from_this_holder else 0
            )
            self._exposures_by_instance[instance_id] = exposure
        if is_from_this_holder:
            exposure.ended = max(exposure.ended, report.ended)
            exposure.returned = max(exposure.returned, report.returned)
        exposure.last_report_ms = now_ms

    def grant(self, instance_id: str, wanted: int, window: int, now_ms: int) -> int:
        """Grants an instance the wanted requests as far as they fit into the window.

        Args:
            instance_id: The requesting instance, whose report has been recorded before.
            wanted: Number of requests that the instance wants.
            window: Number of requests that may be outstanding over the whole fleet.
            now_ms: The clock time in milliseconds.

        Returns:
            The total of requests granted to the instance so far.
        """
        exposure = self._exposures_by_instance[instance_id]
        self._reclaim(now_ms)
        if now_ms >= self._first_grant_ms:
            available = max(0, window - self.outstanding)
            fair_share = max(1, available // max(1, self.count_recent_instances(now_ms)))
            exposure.granted += min(wanted, available, fair_share)
        return exposure.granted

    def count_recent_instances(self, now_ms: int) -> int:
        """Returns the number of instances that reported within RECENT_REPORT_MS."""
        exposures = self._exposures_by_instance.values()
        return sum(
            1 for exposure in exposures if exposure.last_report_ms + RECENT_REPORT_MS > now_ms
        )

    def report_interval_ms(self, now_ms: int) -> int:
        """Returns the time to an instance's next report in milliseconds, which bounds the rate."""
        return max(
            MIN_REPORT_INTERVAL_MS,
            self.count_recent_instances(now_ms) * 1_000 // MAX_REPORTS_PER_SECOND,
        )

    def _reclaim(self, now_ms: int) -> None:
        """Drops the exposure of silent instances."""
        silent_ids = [
            instance_id
            for instance_id, exposure in self._exposures_by_instance.items()
            if exposure.last_report_ms + RECLAIM_AFTER_MS < now_ms
        ]
        for instance_id in silent_ids:
            del self._exposures_by_instance[instance_id]

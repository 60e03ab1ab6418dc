"""Keeps the evidence that the processes of all instances have reported for and against targets."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel_router.sequential import Block

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mastickeel_router.releases.model import EvidenceReport, ReleaseOrder


class EvidenceReports:
    """Newest report of each process on each order.

    Reports are cumulative and begin at zero with each process. The last one of a process that has
    ended is kept, so that the sums over the reports of an order never shrink.
    """

    def __init__(self) -> None:
        self._reports_by_source: dict[tuple[str, str, int, int], EvidenceReport] = {}
        """Reports by service, instance, begin of the counts and revision of the order."""

    def record(self, instance_id: str, report: EvidenceReport) -> None:
        """Stores a report unless a later one of the same process is known."""
        source = (report.service, instance_id, report.began_wall_ms, report.order_revision)
        known = self._reports_by_source.get(source)
        if known is not None and _count_answers(known) > _count_answers(report):
            return
        if known is None:
            self._drop_paces(instance_id, report)
        self._reports_by_source[source] = report

    def list_reports(
        self, order: ReleaseOrder, *, except_instance: str = ""
    ) -> list[EvidenceReport]:
        """Returns the reports on an order.

        Args:
            order: The order.
            except_instance: Id of an instance whose reports are left out; empty for none.
        """
        return [
            report
            for (service, instance_id, _, revision), report in self._reports_by_source.items()
            if service == order.service
            and revision == order.revision
            and instance_id != except_instance
        ]

    def renumber(self, order: ReleaseOrder, revision_before: int) -> None:
        """Moves the reports on an order to the revision under which it was written again."""
        for (service, instance_id, _, revision), report in list(self._reports_by_source.items()):
            if service == order.service and revision == revision_before:
                del self._reports_by_source[service, instance_id, report.began_wall_ms, revision]
                self.record(instance_id, replace(report, order_revision=order.revision))

    def retain(self, order: ReleaseOrder) -> None:
        """Removes the reports on other orders of a service than the one in force."""
        for source in list(self._reports_by_source):
            if source[0] == order.service and source[3] != order.revision:
                del self._reports_by_source[source]

    def _drop_paces(self, instance_id: str, report: EvidenceReport) -> None:
        """Drops the usual paces in the reports of an instance's earlier processes."""
        for source, known in self._reports_by_source.items():
            if source[:2] == (report.service, instance_id) and known.paces_by_route:
                self._reports_by_source[source] = replace(known, paces_by_route={})


def sum_reports(reports: Iterable[EvidenceReport]) -> tuple[dict[str, Block], ...]:
    """Returns the failures, slow and very slow answers of several reports, by route."""
    failures: dict[str, Block] = {}
    slow: dict[str, Block] = {}
    very_slow: dict[str, Block] = {}
    for report in reports:
        _add(failures, report.blocks_by_route)
        _add(slow, report.slow_by_route)
        _add(very_slow, report.very_slow_by_route)
    return failures, slow, very_slow


def _add(sums_by_route: dict[str, Block], blocks_by_route: dict[str, Block]) -> None:
    for route, block in blocks_by_route.items():
        sums_by_route[route] = sums_by_route.get(route, Block()).plus(block)


def _count_answers(report: EvidenceReport) -> int:
    """Returns the number of counted answers of all kinds, which never shrinks in a process."""
    kinds = (report.blocks_by_route, report.slow_by_route, report.very_slow_by_route)
    return sum(block.new + block.old for blocks in kinds for block in blocks.values())

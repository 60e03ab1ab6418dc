"""Endpoints that are leaving, from whatever source said so first."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel_router.membership.messages import EndpointMark

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock

MARK_RETENTION_MS = 3_600_000
"""How long a mark is kept; the platform's list confirms it for as long as it is true."""

ENDPOINT_LEAVING = define_event(1812, "endpoint_leaving", "info", "An endpoint gets no new work.")
ENDPOINT_BACK = define_event(1813, "endpoint_back", "info", "An endpoint may get work again.")


class LeavingMarks:
    """The marks of this instance; the latest one of an endpoint counts."""

    def __init__(self, clock: Clock) -> None:
        """Makes it without marks.

        Args:
            clock: Dates the marks.
        """
        self.marks_by_id: dict[str, EndpointMark] = {}
        """The latest mark of each endpoint."""
        self.on_new_mark: Callable[[EndpointMark], None] = lambda mark: None
        """Told each mark that is new here."""
        self._clock = clock
        self._digest: int | None = None

    @property
    def leaving(self) -> frozenset[str]:
        """The endpoints that get no new work."""
        return frozenset(one.id for one in self.marks_by_id.values() if one.leaving)

    @property
    def digest(self) -> int:
        """A number that is the same wherever the marks are the same."""
        if self._digest is None:
            marks = sorted((m.id, m.at_ms, m.leaving) for m in self.marks_by_id.values())
            self._digest = xxhash.xxh32_intdigest(repr(marks).encode())
        return self._digest

    def is_leaving(self, endpoint_id: str) -> bool:
        """Says whether an endpoint is known to be leaving."""
        mark = self.marks_by_id.get(endpoint_id)
        return mark is not None and mark.leaving

    def set_leaving(self, endpoint_id: str, leaving: bool) -> None:
        """Marks an endpoint now, unless it is marked so already."""
        if self.is_leaving(endpoint_id) != leaving:
            self.merge(EndpointMark(endpoint_id, self._clock.wall(), leaving))

    def merge(self, mark: EndpointMark) -> None:
        """Takes a mark from any source; an older one than the known changes nothing."""
        known = self.marks_by_id.get(mark.id)
        is_newer = known is None or (mark.at_ms, mark.leaving) > (known.at_ms, known.leaving)
        if not is_newer or mark.at_ms < self._clock.wall() - MARK_RETENTION_MS:
            return
        self.marks_by_id[mark.id] = mark
        self._digest = None
        if mark.leaving != (known is not None and known.leaving):
            log(ENDPOINT_LEAVING if mark.leaving else ENDPOINT_BACK, endpoint=mark.id)
        self.on_new_mark(mark)

    def remove_expired(self) -> None:
        """Drops the marks that are past their time."""
        limit_ms = self._clock.wall() - MARK_RETENTION_MS
        old = [one.id for one in self.marks_by_id.values() if one.at_ms < limit_ms]
        for endpoint_id in old:
            del self.marks_by_id[endpoint_id]
            self._digest = None

"""Tracks to which endpoints this instance has no path, from the results of its connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

MIN_FAILED_ENDPOINTS = 2
"""Endpoints to which connections fail, with no success in between, from which on this instance may
be cut off from all: one endpoint may have ended by itself."""

PATH_LOST = define_event(
    2397,
    "path_lost",
    "warning",
    "This instance cannot connect to endpoints; it reaches them through other instances.",
)
PATH_RESTORED = define_event(
    2398, "path_restored", "info", "This instance connects to an endpoint itself again."
)


class PathMonitor:
    """Tracks the endpoints to which this instance has lost its path."""

    def __init__(self, list_ids: Callable[[], Collection[str]]) -> None:
        """Creates the monitor with all paths in order.

        Args:
            list_ids: Returns the ids of the listed endpoints.
        """
        self.lost_ids: set[str] = set()
        """Ids of the endpoints that are reached through peers."""
        self.is_cut = False
        """Whether all listed endpoints are among them."""
        self.on_lost: list[Callable[[Collection[str]], None]] = []
        """Callbacks with the ids of endpoints to which the path was lost or is back."""
        self.on_cut: list[Callable[[], None]] = []
        """Callbacks after each change of `is_cut`."""
        self._list_ids = list_ids
        self._failed_ids: set[str] = set()

    def record_success(self, endpoint_id: str) -> None:
        """Records a direct connection to an endpoint."""
        self._failed_ids.clear()
        if endpoint_id in self.lost_ids:
            self.lost_ids.remove(endpoint_id)
            log(PATH_RESTORED, endpoint=endpoint_id, still_lost=len(self.lost_ids))
            self._notify([endpoint_id])

    def record_failure(self, endpoint_id: str) -> None:
        """Records that no direct connection to an endpoint could be made."""
        self._failed_ids.add(endpoint_id)

    @property
    def may_be_cut(self) -> bool:
        """Whether the failures suggest that this instance is cut off from all endpoints."""
        return len(self._failed_ids) >= MIN_FAILED_ENDPOINTS

    def record_cut(self) -> None:
        """Records that a peer reaches endpoints to which this instance finds no path."""
        self._failed_ids.clear()
        self.record_lost(self._list_ids())

    def record_lost(self, endpoint_ids: Collection[str]) -> None:
        """Records that the path to endpoints is lost although they may be alive."""
        lost_ids = set(endpoint_ids) - self.lost_ids
        if not lost_ids:
            return
        self.lost_ids |= lost_ids
        log(PATH_LOST, endpoints=sorted(lost_ids), lost=len(self.lost_ids))
        self._notify(lost_ids)

    def retain_listed(self) -> None:
        """Removes endpoints that are no longer listed."""
        self.lost_ids &= set(self._list_ids())
        self._notify([])

    def _notify(self, endpoint_ids: Collection[str]) -> None:
        for on_lost in self.on_lost:
            on_lost(endpoint_ids)
        is_cut = bool(self.lost_ids) and self.lost_ids.issuperset(self._list_ids())
        if is_cut != self.is_cut:
            self.is_cut = is_cut
            for on_cut in self.on_cut:
                on_cut()

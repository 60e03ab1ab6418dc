"""Detects from the results of connections that this instance is cut off from the endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_FAILED_ENDPOINTS = 2
"""Endpoints to which connections fail, with no success in between, from which on the instance is
taken to be cut off: one endpoint may have ended by itself."""
MIN_PROBES = 2
"""Successful probes in a row after which the instance uses its own path again."""

PATH_LOST = define_event(
    2397,
    "path_lost",
    "warning",
    "This instance cannot connect to endpoints; it sends requests through other instances.",
)
PATH_RESTORED = define_event(
    2398, "path_restored", "info", "This instance connects to endpoints itself again."
)


class PathMonitor:
    """Tracks whether connections from this instance to endpoints succeed."""

    def __init__(self) -> None:
        self.is_cut = False
        """Whether this instance is taken to be cut off from the endpoints."""
        self.on_change: list[Callable[[], None]] = []
        """Callbacks after each change of `is_cut`."""
        self._failed_ids: set[str] = set()
        self._probes = 0

    def record_success(self) -> None:
        """Records a connection to an endpoint."""
        self._failed_ids.clear()

    def record_failure(self, endpoint_id: str) -> None:
        """Records that no connection to an endpoint could be made."""
        self._failed_ids.add(endpoint_id)
        if not self.is_cut and len(self._failed_ids) >= MIN_FAILED_ENDPOINTS:
            log(PATH_LOST, endpoints=sorted(self._failed_ids))
            self._change(is_cut=True)

    def record_probe(self, *, succeeded: bool) -> None:
        """Records a probe of an endpoint while the instance is cut off."""
        self._probes = self._probes + 1 if succeeded else 0
        if self.is_cut and self._probes >= MIN_PROBES:
            log(PATH_RESTORED)
            self._change(is_cut=False)

    def _change(self, *, is_cut: bool) -> None:
        self.is_cut = is_cut
        self._failed_ids.clear()
        self._probes = 0
        for notify in self.on_change:
            notify()

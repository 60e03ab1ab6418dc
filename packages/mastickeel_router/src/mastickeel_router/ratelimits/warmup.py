"""Tracks the endpoints that warm up, and the requests a second that they bear meanwhile.

An endpoint that has just started, or has rested, fails under a load that it bears when it is warm.
The limit holds for the sum over all instances, as a rate limit that an endpoint names.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mastickeel.clock import Clock
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.routes import WarmupTraits

MAX_WARMUPS = 4_096
"""Maximum number of endpoints whose warm-up is remembered; the oldest are dropped."""

WARMUP_BEGUN = define_event(
    2415,
    "endpoint_warming",
    "info",
    "An endpoint warms up and gets a limited number of requests a second for warmup_ms.",
)


@dataclass(frozen=True)
class _Warmup:
    """Warm-up of one process of an endpoint."""

    started_ms: int
    """Unix time of the endpoint's start."""
    service: str
    ends_ms: int
    """Clock time from which the endpoint is warm."""


class EndpointWarmups:
    """Warm-ups of endpoints, by the endpoints' entries and by what is known of their rest."""

    def __init__(self, clock: Clock, find_traits: Callable[[str], WarmupTraits | None]) -> None:
        """Creates the tracker without warm-ups.

        Args:
            clock: Times the warm-ups.
            find_traits: Returns what the endpoints of a service bear while they warm up; None if
                they bear any load.
        """
        self._clock = clock
        self._find_traits = find_traits
        self._warmups_by_id: OrderedDict[str, _Warmup] = OrderedDict()

    def record_entry(self, endpoint: EndpointRecord) -> None:
        """Records how long an endpoint's entry says that its warm-up takes."""
        if endpoint.warmup_ms > 0:
            self._extend(endpoint, endpoint.warmup_ms, "entry")

    def record_return(self, endpoints: Iterable[EndpointRecord], reason: str) -> None:
        """Records that endpoints are used again that may be cold, whatever their entries say.

        Args:
            endpoints: The endpoints.
            reason: Why they may be cold, for the log.
        """
        for endpoint in endpoints:
            traits = self._find_traits(endpoint.service)
            if traits is not None:
                self._extend(endpoint, traits.duration_ms, reason)

    def is_warming(self, endpoint: EndpointRecord) -> bool:
        """Returns whether an endpoint warms up and bears only a limited load."""
        return self.find(endpoint.id, endpoint.started_ms) is not None

    def find(self, endpoint_id: str, started_ms: int) -> float | None:
        """Returns the requests a second that an endpoint bears; None when it is warm."""
        warmup = self._warmups_by_id.get(endpoint_id)
        if warmup is None or warmup.started_ms != started_ms:
            return None
        if self._clock.now() >= warmup.ends_ms:
            return None
        traits = self._find_traits(warmup.service)
        return None if traits is None else traits.per_second

    def _extend(self, endpoint: EndpointRecord, warmup_ms: int, reason: str) -> None:
        """Extends the warm-up of an endpoint if it ends earlier."""
        ends_ms = self._clock.now() + warmup_ms
        known = self._warmups_by_id.get(endpoint.id)
        is_same = known is not None and known.started_ms == endpoint.started_ms
        if known is not None and is_same and known.ends_ms >= ends_ms:
            return
        self._warmups_by_id[endpoint.id] = _Warmup(endpoint.started_ms, endpoint.service, ends_ms)
        self._warmups_by_id.move_to_end(endpoint.id)
        if len(self._warmups_by_id) > MAX_WARMUPS:
            self._warmups_by_id.popitem(last=False)
        if not is_same or known is None or known.ends_ms <= self._clock.now():
            log(WARMUP_BEGUN, endpoint=endpoint.id, warmup_ms=warmup_ms, reason=reason)

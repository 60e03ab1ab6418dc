"""Issues the permits to send requests to the limited endpoints that this instance schedules."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.peers import message
from mastickeel_router.ratelimits.schedule import SendSchedule

if TYPE_CHECKING:
    from mastickeel.clock import Clock
    from mastickeel_router.ratelimits.limits import EndpointLimits

BACKUP_SHARE = 0.5
"""Fraction of the limit that the backup issuer gives out: the first issuer may still serve
instances that can reach it."""
MAX_SCHEDULES = 4_096
"""Maximum number of schedules; those used least recently are dropped."""


@message("permit_request")
@dataclass(frozen=True)
class PermitRequest:
    """Asks for the permit to send one request to a limited endpoint."""

    endpoint: str
    started_ms: int
    """Unix time of the endpoint's start."""
    per_second: float
    """The endpoint's limit as the sender knows it."""
    max_wait_ms: float
    """Longest acceptable time until the request may be sent."""
    is_backup: bool = False
    """Whether the sender could not reach the first issuer."""


@message("permit_reply")
@dataclass(frozen=True)
class PermitReply:
    """Grants or denies a permit."""

    granted: bool
    wait_ms: int
    """Time until the request may be sent; when denied, until the next one could be."""


class PermitIssuer:
    """Schedules the sends of the whole fleet to limited endpoints."""

    def __init__(self, clock: Clock, limits: EndpointLimits) -> None:
        """Creates the issuer without schedules.

        Args:
            clock: Times the schedules.
            limits: The limits that this instance knows.
        """
        self._clock = clock
        self._limits = limits
        self._schedules: OrderedDict[tuple[str, int], SendSchedule] = OrderedDict()

    def issue(self, request: PermitRequest) -> PermitReply:
        """Returns a permit if the endpoint's limit allows one in time."""
        now = self._clock.now()
        known = self._limits.find(request.endpoint, request.started_ms)
        per_second = request.per_second if known is None else known
        if request.is_backup:
            per_second *= BACKUP_SHARE
        key = (request.endpoint, request.started_ms)
        schedule = self._schedules.setdefault(key, SendSchedule(now, per_second))
        self._schedules.move_to_end(key)
        if len(self._schedules) > MAX_SCHEDULES:
            self._schedules.popitem(last=False)
        granted, wait_ms = schedule.reserve(now, per_second, request.max_wait_ms)
        return PermitReply(granted, math.ceil(wait_ms))

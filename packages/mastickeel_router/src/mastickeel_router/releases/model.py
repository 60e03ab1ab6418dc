"""Frozen data classes of releases: orders, plans and evidence."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from mastickeel.peers import message
from mastickeel_router.sequential import Block  # noqa: TC001 - msgspec resolves it at run time


class ReleaseState(StrEnum):
    """State of a release."""

    RUNNING = "running"
    COMPLETE = "complete"
    REVERTED = "reverted"


@dataclass(frozen=True)
class ReleaseOrder:
    """Order of the operator to move a service's traffic to a version."""

    service: str
    target: str
    duration_ms: int
    revision: int
    """Store revision of the order, which distinguishes orders of one service."""


@dataclass(frozen=True)
class ReleasePlan:
    """Plan that every instance follows for an order; written by the holder of the duty."""

    service: str
    target: str
    order_revision: int
    state: ReleaseState = ReleaseState.RUNNING
    share: float = 0.0
    """Share of sessions and requests that the target gets, 0 to 1."""
    widened_ms: int = 0
    """Time from the order to the last change of the share."""
    began_wall_ms: int = 0
    """Wall-clock time at which the order was first seen, in Unix milliseconds."""

    def is_ahead_of(self, other: ReleasePlan) -> bool:
        """Returns whether this plan replaced the other one: releases never go back."""
        if self.order_revision != other.order_revision:
            return False
        if self.state is not ReleaseState.RUNNING:
            return True
        return other.state is ReleaseState.RUNNING and self.share > other.share


@message("release_evidence")
@dataclass(frozen=True)
class EvidenceReport:
    """Report of one process of an instance on the answers of both versions since the order.

    The counts are cumulative, so that a later report replaces a lost one.
    """

    service: str
    order_revision: int
    blocks_by_route: dict[str, Block] = field(default_factory=dict)
    """Answers, of which the failures are bad."""
    slow_by_route: dict[str, Block] = field(default_factory=dict)
    """Answers whose pace is known, of which the slow ones are bad."""
    very_slow_by_route: dict[str, Block] = field(default_factory=dict)
    """Answers whose pace is known, of which the very slow ones are bad."""
    paces_by_route: dict[str, dict[str, dict[int, int]]] = field(default_factory=dict)
    """Histograms of the usual paces, by route and model."""
    began_wall_ms: int = 0
    """Wall-clock time at which the counts began at zero, in Unix ms: tells the processes of an
    instance apart."""

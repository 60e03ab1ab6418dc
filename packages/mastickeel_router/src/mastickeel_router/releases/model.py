"""Orders, plans and evidence of releases, as frozen data."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from mastickeel.peers import message
from mastickeel_router.sequential import Block  # noqa: TC001 - msgspec resolves it at run time


class ReleaseState(StrEnum):
    """How far a release is."""

    RUNNING = "running"
    COMPLETE = "complete"
    REVERTED = "reverted"


@dataclass(frozen=True)
class ReleaseOrder:
    """The operator's order to move a service's traffic to a version."""

    service: str
    target: str
    duration_ms: int
    revision: int
    """The store's revision of the order, which tells orders apart."""


@dataclass(frozen=True)
class ReleasePlan:
    """What every instance does about an order; written by the holder of the duty."""

    service: str
    target: str
    order_revision: int
    state: ReleaseState = ReleaseState.RUNNING
    share: float = 0.0
    """The part of sessions and requests that the target gets, 0 to 1."""
    began_wall_ms: int = 0
    """Calendar time at which the order was first seen."""


@message("release_evidence")
@dataclass(frozen=True)
class EvidenceReport:
    """What one instance has seen of both versions since the order; sums, so that a later one holds
    all that a lost one held.
    """

    service: str
    order_revision: int
    blocks_by_route: dict[str, Block] = field(default_factory=dict)

"""Releases: moves a service's traffic to endpoints of another version, or back."""

from mastickeel_router.releases.model import EvidenceReport, ReleaseOrder, ReleasePlan, ReleaseState
from mastickeel_router.releases.service import Releases
from mastickeel_router.releases.sessions import SessionVersions

__all__ = [
    "EvidenceReport",
    "ReleaseOrder",
    "ReleasePlan",
    "ReleaseState",
    "Releases",
    "SessionVersions",
]

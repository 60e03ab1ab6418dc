"""Fleet: which instances live, and what they tell each other."""

from mastickeel_router.fleet.instances import Instances
from mastickeel_router.fleet.sharing import EvidenceSharing, LoadSharing, SessionSharing, WorkSent

__all__ = ["EvidenceSharing", "Instances", "LoadSharing", "SessionSharing", "WorkSent"]

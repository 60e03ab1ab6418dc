"""Fleet: which instances live, and what they tell each other."""

from mastickeel_router.fleet.instances import Instances
from mastickeel_router.fleet.sharing import LoadSharing, WorkSent

__all__ = ["Instances", "LoadSharing", "WorkSent"]

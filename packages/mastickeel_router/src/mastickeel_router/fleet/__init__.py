"""Fleet: which instances live, and what they tell each other."""

from mastickeel_router.fleet.instances import InstanceDirectory
from mastickeel_router.fleet.sharing import (
    share_crashes,
    share_evidence,
    share_loads,
    share_sessions,
)

__all__ = [
    "InstanceDirectory",
    "share_crashes",
    "share_evidence",
    "share_loads",
    "share_sessions",
]

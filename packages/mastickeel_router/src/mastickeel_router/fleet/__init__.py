"""Fleet: the directory of live instances, and the notifications that instances send each other."""

from mastickeel_router.fleet.broadcast import Broadcast, PeerTraits
from mastickeel_router.fleet.instances import InstanceDirectory
from mastickeel_router.fleet.sharing import (
    serve_admissions,
    serve_permits,
    share_crashes,
    share_era,
    share_evidence,
    share_leaving,
    share_limits,
    share_loads,
    share_part_crashes,
    share_path_state,
    share_sessions,
)

__all__ = [
    "Broadcast",
    "InstanceDirectory",
    "PeerTraits",
    "serve_admissions",
    "serve_permits",
    "share_crashes",
    "share_era",
    "share_evidence",
    "share_leaving",
    "share_limits",
    "share_loads",
    "share_part_crashes",
    "share_path_state",
    "share_sessions",
]

"""Membership: the known instances, their liveness, and the endpoints that are leaving."""

from __future__ import annotations

from mastickeel_router.membership.marks import LeavingMarks
from mastickeel_router.membership.member import Member
from mastickeel_router.membership.members import (
    Members,
    is_gone_on_two_paths,
    to_roster_member,
)
from mastickeel_router.membership.platform_list import PlatformList

__all__ = [
    "LeavingMarks",
    "Member",
    "Members",
    "PlatformList",
    "is_gone_on_two_paths",
    "to_roster_member",
]

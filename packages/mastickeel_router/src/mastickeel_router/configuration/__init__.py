"""Replicated configuration: the revision in force, changes to it, and the roster of instances."""

from __future__ import annotations

from mastickeel_router.configuration.acknowledgement import AbsentMembers, ChangeRefusedError
from mastickeel_router.configuration.audit import AuditReader
from mastickeel_router.configuration.freshness import FRESHNESS_BOUND_MS, Freshness, NotFreshError
from mastickeel_router.configuration.peers import ConfigurationPeers
from mastickeel_router.configuration.proposals import ChangeConflictError, Proposer
from mastickeel_router.configuration.recovery import StageRecovery
from mastickeel_router.configuration.renewal import FreshnessRenewal
from mastickeel_router.configuration.rosters import RosterReconciler, RosterReplacement
from mastickeel_router.configuration.snapshots import SnapshotWriter
from mastickeel_router.configuration.state import ConfigurationState
from mastickeel_router.configuration.watcher import ConfigurationWatcher
from mastickeel_router.configuration.writer import ConfigurationWriter

__all__ = [
    "FRESHNESS_BOUND_MS",
    "AbsentMembers",
    "AuditReader",
    "ChangeConflictError",
    "ChangeRefusedError",
    "ConfigurationPeers",
    "ConfigurationState",
    "ConfigurationWatcher",
    "ConfigurationWriter",
    "Freshness",
    "FreshnessRenewal",
    "NotFreshError",
    "Proposer",
    "RosterReconciler",
    "RosterReplacement",
    "SnapshotWriter",
    "StageRecovery",
]

"""Which roll-outs are in force, and which version each gives a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from mastickeel.model import RolloutState, VersionState

if TYPE_CHECKING:
    from mastickeel.model import Configuration, Rollout

HASH_RANGE = float(1 << 64)
ACTIVE_STATES = (RolloutState.RUNNING, RolloutState.PAUSED, RolloutState.HALTED)
DEFAULT_BUDGET = 20
"""Requests that the new version may have unjudged at first, where the plan says nothing."""


def rollouts_in_force(configuration: Configuration) -> list[Rollout]:
    """Returns the roll-outs that decide between versions, at most one for each model.

    Of plans for one model that are under way at once, the one that was begun first counts; the
    others wait for its end.
    """
    by_model: dict[str, Rollout] = {}
    for rollout in sorted(configuration.rollouts_by_id.values(), key=_precedence):
        if rollout.state in ACTIVE_STATES and rollout.model not in by_model:
            by_model[rollout.model] = rollout
    return list(by_model.values())


def waiting_rollouts(configuration: Configuration) -> list[Rollout]:
    """Returns the roll-outs that wait for another of the same model to end."""
    first = {rollout.id for rollout in rollouts_in_force(configuration)}
    rollouts = configuration.rollouts_by_id.values()
    return [one for one in rollouts if one.state in ACTIVE_STATES and one.id not in first]


def current_share(rollout: Rollout) -> float:
    """Returns the share of new sessions that the new version gets at the stage in force."""
    if rollout.state is not RolloutState.RUNNING or rollout.stage >= len(rollout.stages):
        return 0.0
    return rollout.stages[rollout.stage].share


def is_in_share(rollout: Rollout, key: str) -> bool:
    """Says whether a session or request falls into the new version's share.

    Every instance draws alike, and what was drawn at a small share is drawn at a larger one too.

    Args:
        rollout: The plan.
        key: The session, or the request where there is none.
    """
    draw = xxhash.xxh3_64_intdigest(f"{rollout.id}\0{key}".encode()) / HASH_RANGE
    return draw < current_share(rollout)


def is_withdrawn(configuration: Configuration, version_id: str) -> bool:
    """Says whether a version is gone or withdrawn."""
    version = configuration.versions_by_id.get(version_id)
    return version is None or version.state is VersionState.WITHDRAWN


def _precedence(rollout: Rollout) -> tuple[int, int, str]:
    """Orders plans by how far they are, then by when they began."""
    return (-rollout.stage, rollout.stage_since_ms, rollout.id)

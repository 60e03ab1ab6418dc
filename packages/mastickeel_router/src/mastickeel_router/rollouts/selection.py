"""Selects the rollouts in force and the requests that they move to new versions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from mastickeel.model import RolloutState, VersionState

if TYPE_CHECKING:
    from mastickeel.model import Configuration, Rollout

HASH_RANGE = float(1 << 64)
ACTIVE_STATES = (RolloutState.RUNNING, RolloutState.PAUSED, RolloutState.HALTED)
DEFAULT_BUDGET = 20
"""Initial number of unjudged requests of a new version, where the rollout sets none."""


def rollouts_in_force(configuration: Configuration) -> list[Rollout]:
    """Returns the rollouts that decide between versions, at most one for each model.

    Of several active rollouts of one model, the one at the latest stage is in force, and of those
    at the same stage the one whose stage began first. The others wait for its end.
    """
    rollouts_by_model: dict[str, Rollout] = {}
    for rollout in sorted(configuration.rollouts_by_id.values(), key=_precedence):
        if rollout.state in ACTIVE_STATES and rollout.model not in rollouts_by_model:
            rollouts_by_model[rollout.model] = rollout
    return list(rollouts_by_model.values())


def waiting_rollouts(configuration: Configuration) -> list[Rollout]:
    """Returns the active rollouts that wait for another one of the same model to end."""
    in_force_ids = {rollout.id for rollout in rollouts_in_force(configuration)}
    rollouts = configuration.rollouts_by_id.values()
    return [
        rollout
        for rollout in rollouts
        if rollout.state in ACTIVE_STATES and rollout.id not in in_force_ids
    ]


def current_share(rollout: Rollout) -> float:
    """Returns the share of new sessions that the new version gets at the current stage, 0 to 1."""
    if rollout.state is not RolloutState.RUNNING or rollout.stage >= len(rollout.stages):
        return 0.0
    return rollout.stages[rollout.stage].share


def is_in_share(rollout: Rollout, key: str) -> bool:
    """Returns whether a session or request falls into the new version's share.

    The result is the same on every instance, and a key in a small share is also in any larger one.

    Args:
        rollout: The rollout whose current share applies.
        key: The id of the session, or of a request without a session.
    """
    position = xxhash.xxh3_64_intdigest(f"{rollout.id}\0{key}".encode()) / HASH_RANGE
    return position < current_share(rollout)


def is_withdrawn(configuration: Configuration, version_id: str) -> bool:
    """Returns whether a version is withdrawn or no longer exists."""
    version = configuration.versions_by_id.get(version_id)
    return version is None or version.state is VersionState.WITHDRAWN


def _precedence(rollout: Rollout) -> tuple[int, int, str]:
    """Returns the sort key of rollouts: latest stage first, then earliest start of the stage."""
    return (-rollout.stage, rollout.stage_since_ms, rollout.id)

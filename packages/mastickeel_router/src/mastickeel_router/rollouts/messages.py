"""Messages about rollouts between the instances and the duty holder."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from mastickeel.peers import message


class AnswerCounts(NamedTuple):
    """Answers of one account under a rollout, counted since the instance started."""

    new: int = 0
    new_failed: int = 0
    new_slow: int = 0
    new_costly: int = 0
    old: int = 0
    old_failed: int = 0
    old_slow: int = 0
    old_costly: int = 0
    handed_in: int = 0
    """Answers of the new version submitted for a rating."""

    def plus(self, other: AnswerCounts) -> AnswerCounts:
        """Returns the sum of both counts."""
        return AnswerCounts(*(left + right for left, right in zip(self, other, strict=True)))

    def minus(self, other: AnswerCounts) -> AnswerCounts:
        """Returns the increase since other counts, with no value below zero."""
        return AnswerCounts(
            *(max(0, left - right) for left, right in zip(self, other, strict=True))
        )


@message("rollouts.report")
@dataclass(frozen=True)
class ExposureRequest:
    """Reports an instance's answers under a rollout and requests exposure."""

    rollout_id: str
    stage: int
    incarnation: int
    """Random number that distinguishes restarts of an instance."""
    fencing: int
    """Fencing token of the duty holder that the following counts belong to."""
    granted: int
    """Requests granted by this holder, as known to the instance."""
    ended: int
    """Granted requests that have been answered or abandoned."""
    returned: int
    """Granted requests that expired unused."""
    wanted: int
    """Further requests that the instance would send to the new version now."""
    counts_by_account: dict[str, AnswerCounts] = field(default_factory=dict)
    """Totals of the accounts whose counts changed since the last answered request."""


@message("rollouts.grant")
@dataclass(frozen=True)
class ExposureReply:
    """Grants exposure in reply to a request."""

    holds: bool
    """Whether the sender of the reply holds the duty."""
    fencing: int = 0
    granted: int = 0
    """Total granted to the instance by this holder, so that a lost reply does no harm."""
    lease_ms: int = 0
    """Validity of unused requests in milliseconds, from when the request was sent."""
    next_ms: int = 0
    """Time in milliseconds until the instance is to report again."""


@message("rollouts.holder")
@dataclass(frozen=True)
class HolderNotice:
    """Announces the sender as the duty holder."""

    fencing: int


@message("rollouts.stop")
@dataclass(frozen=True)
class StopNotice:
    """Announces that a new version fails repeatedly, so that peers pause its new requests."""

    rollout_id: str
    stage: int

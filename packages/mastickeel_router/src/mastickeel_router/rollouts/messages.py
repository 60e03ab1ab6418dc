"""What instances and the holder of the duty tell each other about roll-outs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from mastickeel.peers import message


class AnswerCounts(NamedTuple):
    """Answers of one account under a roll-out, counted since the instance started."""

    new: int = 0
    new_failed: int = 0
    new_slow: int = 0
    new_costly: int = 0
    old: int = 0
    old_failed: int = 0
    old_slow: int = 0
    old_costly: int = 0
    handed_in: int = 0
    """Answers of the new version that were handed in for a rating."""

    def plus(self, other: AnswerCounts) -> AnswerCounts:
        """Returns the sums."""
        return AnswerCounts(*(one + two for one, two in zip(self, other, strict=True)))

    def minus(self, other: AnswerCounts) -> AnswerCounts:
        """Returns what has come since, none of it below zero."""
        return AnswerCounts(*(max(0, one - two) for one, two in zip(self, other, strict=True)))


@message("rollouts.report")
@dataclass(frozen=True)
class ExposureRequest:
    """What an instance has seen under a roll-out, and what it needs."""

    rollout_id: str
    stage: int
    incarnation: int
    """Tells one life of an instance from the next."""
    fencing: int
    """The holder whose shares the counts below belong to."""
    granted: int
    """Requests that this holder has granted, as far as the instance knows."""
    ended: int
    """How many of them have been answered or given up."""
    returned: int
    """How many of them lapsed unused."""
    wanted: int
    """Further requests that would go to the new version now."""
    counts_by_account: dict[str, AnswerCounts] = field(default_factory=dict)
    """Totals of the accounts that changed since the last report that was answered."""


@message("rollouts.grant")
@dataclass(frozen=True)
class ExposureReply:
    """The holder's answer to a report."""

    holds: bool
    """Whether the sender holds the duty at all."""
    fencing: int = 0
    granted: int = 0
    """Requests granted to the instance so far by this holder; a lost answer costs nothing."""
    lease_ms: int = 0
    """How long unused requests last, from when the report was sent."""
    next_ms: int = 0
    """When to report again."""


@message("rollouts.holder")
@dataclass(frozen=True)
class HolderNotice:
    """Tells who holds the duty."""

    fencing: int


@message("rollouts.stop")
@dataclass(frozen=True)
class StopNotice:
    """Tells that the new version fails plainly: give it no new work for a while."""

    rollout_id: str
    stage: int

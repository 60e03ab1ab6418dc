"""Messages between instances about the members of the fleet and leaving endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from mastickeel.peers import message


class MemberStatus(IntEnum):
    """Status of an instance; within one incarnation, the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEPARTED = 3


@dataclass(frozen=True)
class MemberState:
    """State of one instance as spread by gossip."""

    id: str
    incarnation: int
    """Version of the state; only the instance itself increases it, to refute other reports."""
    standing: MemberStatus
    address: str = ""
    data_centre: str = ""
    region: str = ""
    process: str = ""

    def supersedes(self, other: MemberState | None) -> bool:
        """Returns whether this state takes precedence over another state of the instance.

        A process that is leaving never returns, so LEAVING and DEPARTED take precedence over any
        incarnation of the same process.
        """
        if other is None:
            return True
        if self.process and other.process and self.process != other.process:
            return self.incarnation > other.incarnation
        return self._precedence() > other._precedence()

    def _precedence(self) -> tuple[int, int, int]:
        is_final = self.standing >= MemberStatus.LEAVING
        return (self.standing if is_final else 0, self.incarnation, self.standing)


@dataclass(frozen=True)
class EndpointMark:
    """Mark that an endpoint is leaving, or that it is no longer leaving."""

    id: str
    at_ms: int
    """Calendar time at the source of the mark; of two marks the later counts."""
    leaving: bool


@message("membership.probe")
@dataclass(frozen=True)
class ProbeRequest:
    """Checks whether the receiver is running, and carries gossip."""

    news: tuple[MemberState, ...] = ()
    marks: tuple[EndpointMark, ...] = ()
    digest: int = 0
    """Hash of all marks known to the sender, by which the receiver detects lost marks."""


@message("membership.probe_answer")
@dataclass(frozen=True)
class ProbeReply:
    """Confirms that the sender is running, and carries gossip."""

    news: tuple[MemberState, ...] = ()
    marks: tuple[EndpointMark, ...] = ()
    digest: int = 0


@message("membership.probe_for")
@dataclass(frozen=True)
class IndirectProbeRequest:
    """Asks the receiver to probe another instance that the sender cannot reach."""

    target: str


@message("membership.probe_for_answer")
@dataclass(frozen=True)
class IndirectProbeReply:
    """Reports whether the other instance replied to the probe."""

    reached: bool


@message("membership.marks")
@dataclass(frozen=True)
class MarksNotice:
    """Carries all marks of the sender; sent when digests differ, but not in quick succession."""

    marks: tuple[EndpointMark, ...]

"""What instances say to each other about the fleet."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from mastickeel.peers import message


class MemberStatus(IntEnum):
    """How an instance is believed to be; of one incarnation, the higher number wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEPARTED = 3


@dataclass(frozen=True)
class MemberState:
    """What is believed of one instance."""

    id: str
    incarnation: int
    """Raised by the instance itself alone, to contradict what others believe."""
    standing: MemberStatus
    address: str = ""
    data_centre: str = ""
    region: str = ""
    process: str = ""

    def supersedes(self, other: MemberState | None) -> bool:
        """Says whether this is newer than what was believed.

        A process that is leaving never comes back, so that wins whatever the incarnation.
        """
        if other is None:
            return True
        if self.process and other.process and self.process != other.process:
            return self.incarnation > other.incarnation
        return self._weight() > other._weight()

    def _weight(self) -> tuple[int, int, int]:
        is_final = self.standing >= MemberStatus.LEAVING
        return (self.standing if is_final else 0, self.incarnation, self.standing)


@dataclass(frozen=True)
class EndpointMark:
    """Says that an endpoint is leaving, or that it has come back."""

    id: str
    at_ms: int
    """Calendar time at the source; of two marks the later counts."""
    leaving: bool


@message("membership.probe")
@dataclass(frozen=True)
class ProbeRequest:
    """Asks whether the receiver runs, and carries news."""

    news: tuple[MemberState, ...] = ()
    marks: tuple[EndpointMark, ...] = ()
    digest: int = 0
    """Of all marks known to the sender, so that lost ones are noticed."""


@message("membership.probe_answer")
@dataclass(frozen=True)
class ProbeReply:
    """Says that the sender runs, and carries news."""

    news: tuple[MemberState, ...] = ()
    marks: tuple[EndpointMark, ...] = ()
    digest: int = 0


@message("membership.probe_for")
@dataclass(frozen=True)
class IndirectProbeRequest:
    """Asks the receiver to probe another instance, which the sender does not reach."""

    target: str


@message("membership.probe_for_answer")
@dataclass(frozen=True)
class IndirectProbeReply:
    """Says whether the other instance answered."""

    reached: bool


@message("membership.marks")
@dataclass(frozen=True)
class MarksNotice:
    """All marks of the sender, after digests differed for long."""

    marks: tuple[EndpointMark, ...]

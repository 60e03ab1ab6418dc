"""What instances say to each other about the configuration."""

from __future__ import annotations

from dataclasses import dataclass

from mastickeel.changes import (  # noqa: TC001 - msgspec reads them at run time
    Change,
    Head,
    Proposal,
    Roster,
)
from mastickeel.peers import message


@dataclass(frozen=True)
class HeadState:
    """A state of the head, and all that belongs to it but the revisions themselves."""

    position: int
    """The store's revision of the head key: it only grows, whatever the head says."""
    head: Head
    roster: Roster
    proposal: Proposal | None = None

    def to_update(self, *, include_roster: bool = False) -> HeadUpdate:
        """Returns it for the wire.

        Args:
            include_roster: Whether to send the roster, which most receivers have.
        """
        return HeadUpdate(
            self.position, self.head, self.proposal, self.roster if include_roster else None
        )


@dataclass(frozen=True)
class HeadUpdate:
    """A standing as it is sent: without the roster, unless the receiver may lack it."""

    position: int
    head: Head
    proposal: Proposal | None = None
    roster: Roster | None = None


@message("configuration.stage")
@dataclass(frozen=True)
class StageRequest:
    """Asks to work under a stage and to say so; sent by its coordinator."""

    update: HeadUpdate
    relay: tuple[str, ...] = ()
    """Peers to pass it on to."""


@message("configuration.stage_ack")
@dataclass(frozen=True)
class StageReply:
    """Names the instances that now work under the stage."""

    position: int
    acknowledged: tuple[str, ...]
    heirs: tuple[str, ...] = ()
    """Those that restarted at the address of their place on the roster, and are not on it yet."""


@message("configuration.decided")
@dataclass(frozen=True)
class DecisionNotice:
    """Tells that a stage was committed or undone; lost ones are made up for by the watch."""

    update: HeadUpdate
    relay: tuple[str, ...] = ()


@message("configuration.proof")
@dataclass(frozen=True)
class ProofRequest:
    """Asks how old the receiver's newest proof is, and at which position it stands."""


@message("configuration.proof_answer")
@dataclass(frozen=True)
class ProofReply:
    """The receiver's position and the age of its proof when it answered."""

    position: int
    age_ms: int | None
    known_position: int
    """The newest position that the receiver has heard of."""
    member: bool
    """Whether it knows itself to be on the roster."""


@message("configuration.pull")
@dataclass(frozen=True)
class PullRequest:
    """Asks for what comes after a revision."""

    revision: int


@message("configuration.pull_answer")
@dataclass(frozen=True)
class PullReply:
    """The receiver's standing, and the changes that lead to it; none when there are too many."""

    update: HeadUpdate
    changes: tuple[Change, ...]

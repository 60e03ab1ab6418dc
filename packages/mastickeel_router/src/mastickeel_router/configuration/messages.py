"""Messages between instances about the configuration."""

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
    """The head with its roster and staged proposal, but without the configuration itself."""

    position: int
    """The store's revision of the head key, which grows with each write to the key."""
    head: Head
    roster: Roster
    proposal: Proposal | None = None

    def to_update(self, *, include_roster: bool = False) -> HeadUpdate:
        """Returns the update message for this state.

        Args:
            include_roster: Whether to send the roster, which most receivers already have.
        """
        return HeadUpdate(
            self.position, self.head, self.proposal, self.roster if include_roster else None
        )


@dataclass(frozen=True)
class HeadUpdate:
    """A head state as sent to a peer, with the roster only if the receiver may lack it."""

    position: int
    head: Head
    proposal: Proposal | None = None
    roster: Roster | None = None


@message("configuration.stage")
@dataclass(frozen=True)
class StageRequest:
    """Asks an instance to apply a stage and acknowledge it; sent by the stage's coordinator."""

    update: HeadUpdate
    relay: tuple[str, ...] = ()
    """Peers to which the receiver relays the request."""


@message("configuration.stage_ack")
@dataclass(frozen=True)
class StageReply:
    """Lists the instances that have applied the stage."""

    position: int
    acknowledged: tuple[str, ...]
    heirs: tuple[str, ...] = ()
    """Instances restarted at their roster address whose new process is not on the roster yet."""


@message("configuration.decided")
@dataclass(frozen=True)
class DecisionNotice:
    """Announces that a stage was committed or undone.

    A receiver that misses the notice learns of the decision through its watch on the store.
    """

    update: HeadUpdate
    relay: tuple[str, ...] = ()


@message("configuration.proof")
@dataclass(frozen=True)
class ProofRequest:
    """Asks for the age of the receiver's newest freshness proof and for its position."""


@message("configuration.proof_answer")
@dataclass(frozen=True)
class ProofReply:
    """The replying instance's position, and the age of its proof at the time of the reply."""

    position: int
    age_ms: int | None
    known_position: int
    """The newest position known to the replying instance, applied or not."""
    member: bool
    """Whether the replying instance is on its roster, has loaded, and has not stopped."""


@message("configuration.pull")
@dataclass(frozen=True)
class PullRequest:
    """Asks for the changes after a revision."""

    revision: int


@message("configuration.pull_answer")
@dataclass(frozen=True)
class PullReply:
    """The replying instance's head state, and the changes up to it unless there are too many."""

    update: HeadUpdate
    changes: tuple[Change, ...]

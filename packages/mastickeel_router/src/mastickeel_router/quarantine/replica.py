"""Replica of content states: running sends, crashes and refusals of each request content.

Until a content has completed on a version, it runs on one endpoint at a time over the whole fleet,
and after MAX_CRASHES crashes on none. So a content crashes at most MAX_CRASHES endpoints, however
many instances send it at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from mastickeel.peers import message
from mastickeel_router.quarantine.limits import CRASH_TTL_MS, MAX_CONTENTS

if TYPE_CHECKING:
    from collections.abc import Collection

    from mastickeel.clock import Clock

MAX_CRASHES = 2
"""Crashes after which a content is refused."""
PROOF_TTL_MS = 600_000
"""How long a content that completed on a version may run there without permits."""
PERMIT_TTL_MS = 120_000
"""Lifetime of a permit that is never released, such as after a crash of its instance."""


class Verdict(StrEnum):
    """Answer of a replica to a permit request."""

    GRANTED = "granted"
    BUSY = "busy"
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class Crash:
    """Crash of an endpoint while it ran a content."""

    endpoint_id: str
    at_wall_ms: int


@message("quarantine.permit")
@dataclass(frozen=True)
class PermitRequest:
    """Request for a permit to send a content."""

    fingerprint: int
    account_id: str
    permit: str
    """Id of the send; a repeated request for the same id takes no second permit."""
    version_id: str


@message("quarantine.verdict")
@dataclass(frozen=True)
class PermitReply:
    """Reply to PermitRequest."""

    verdict: Verdict
    crashes: tuple[Crash, ...] = ()
    """Crashes known to the replica; a single replica may not know all of them."""


@message("quarantine.release")
@dataclass(frozen=True)
class PermitReleaseNotice:
    """Notice that a send has ended and its permit is released."""

    fingerprint: int
    permit: str
    version_id: str
    finished: bool
    """Whether the content completed."""


@message("quarantine.crash")
@dataclass(frozen=True)
class CrashReport:
    """Request to record crashes, from the instance that saw a crash or from another replica."""

    fingerprint: int
    account_id: str
    crashes: tuple[Crash, ...]
    permit: str = ""
    """Id of the send that crashed; empty in reports from another replica."""


@message("quarantine.noted")
@dataclass(frozen=True)
class CrashReportReply:
    """Reply to CrashReport."""

    crashes: int


@message("quarantine.clear")
@dataclass(frozen=True)
class ClearRequest:
    """Request to clear the state of a content."""

    fingerprint: int


@message("quarantine.cleared")
@dataclass(frozen=True)
class ClearReply:
    """Reply to ClearRequest."""

    known: bool


def refusal_end_wall_ms(crashes: Collection[Crash]) -> int:
    """Returns when the refusal of a content ends, wall-clock time; 0 if it is not refused."""
    if len(crashes) < MAX_CRASHES:
        return 0
    return max(crash.at_wall_ms for crash in crashes) + CRASH_TTL_MS


@dataclass
class ContentState:
    """State of a content that runs without proof or has crashed an endpoint."""

    account_id: str
    crashes: set[Crash] = field(default_factory=set)
    expiry_ms_by_permit: dict[str, int] = field(default_factory=dict)
    """Expiry times of the permits of running sends, by permit id."""
    holder_ids_by_permit: dict[str, str] = field(default_factory=dict)
    """Ids of the instances that requested the permits."""

    def remove_permit(self, permit: str) -> None:
        """Removes the permit of a send, if it is known."""
        self.expiry_ms_by_permit.pop(permit, None)
        self.holder_ids_by_permit.pop(permit, None)

    @property
    def refused_until_wall_ms(self) -> int:
        """End of the refusal, wall-clock time; 0 if the content is not refused."""
        return refusal_end_wall_ms(self.crashes)


class QuarantineReplica:
    """Replicates the states of the contents assigned to this instance."""

    def __init__(self, clock: Clock) -> None:
        """Creates an empty replica.

        Args:
            clock: Times the expiry of permits and crashes.
        """
        self.states_by_fingerprint: dict[int, ContentState] = {}
        """Content states, the least recently used first."""
        self._proofs_by_fingerprint: dict[int, tuple[tuple[str, int], ...]] = {}
        self._clock = clock

    async def on_permit_request(self, sender: str, request: PermitRequest) -> PermitReply:
        """Grants or denies a permit to send a content."""
        if self.is_proven(request.fingerprint, request.version_id):
            return PermitReply(Verdict.GRANTED)
        state = self._state_of(request.fingerprint, request.account_id)
        now = self._clock.now()
        if state.refused_until_wall_ms:
            return PermitReply(Verdict.QUARANTINED, tuple(state.crashes))
        if any(permit != request.permit for permit in state.expiry_ms_by_permit):
            return PermitReply(Verdict.BUSY, tuple(state.crashes))
        state.expiry_ms_by_permit[request.permit] = now + PERMIT_TTL_MS
        state.holder_ids_by_permit[request.permit] = sender
        return PermitReply(Verdict.GRANTED, tuple(state.crashes))

    async def on_permit_release_notice(self, sender: str, notice: PermitReleaseNotice) -> None:
        """Releases a permit."""
        self.release(notice)

    def release(self, notice: PermitReleaseNotice) -> None:
        """Releases a permit, and marks the content as proven if it completed."""
        state = self.states_by_fingerprint.get(notice.fingerprint)
        if state is None:
            if notice.finished and self.is_proven(notice.fingerprint, notice.version_id):
                self._add_proof(notice.fingerprint, notice.version_id)
            return
        state.remove_permit(notice.permit)
        if state.crashes:
            return
        if notice.finished:
            self._add_proof(notice.fingerprint, notice.version_id)
        if not state.expiry_ms_by_permit:
            del self.states_by_fingerprint[notice.fingerprint]

    def is_proven(self, fingerprint: int, version_id: str) -> bool:
        """Returns whether a content has completed on a version without a crash since."""
        now = self._clock.now()
        return any(
            version == version_id and until_ms > now
            for version, until_ms in self._proofs_by_fingerprint.get(fingerprint, ())
        )

    async def on_crash_report(self, sender: str, report: CrashReport) -> CrashReportReply:
        """Records crashes; known crashes are not counted again."""
        state = self._state_of(report.fingerprint, report.account_id)
        state.remove_permit(report.permit)
        self._proofs_by_fingerprint.pop(report.fingerprint, None)
        state.crashes |= set(report.crashes)
        return CrashReportReply(len(state.crashes))

    async def on_clear_request(self, sender: str, request: ClearRequest) -> ClearReply:
        """Clears the state of a content."""
        proofs = self._proofs_by_fingerprint.pop(request.fingerprint, None)
        state = self.states_by_fingerprint.pop(request.fingerprint, None)
        return ClearReply(proofs is not None or state is not None)

    def permits_held_by(self, holder_ids: Collection[str]) -> list[PermitRequest]:
        """Returns the requests that would grant again the permits of these instances."""
        return [
            PermitRequest(fingerprint, state.account_id, permit, "")
            for fingerprint, state in self.states_by_fingerprint.items()
            for permit, holder_id in state.holder_ids_by_permit.items()
            if holder_id in holder_ids
        ]

    def suspects(self) -> dict[int, ContentState]:
        """Returns the contents with recent crashes, by fingerprint."""
        for fingerprint in list(self.states_by_fingerprint):
            self._remove_expired(self.states_by_fingerprint[fingerprint])
        return {
            fingerprint: state
            for fingerprint, state in self.states_by_fingerprint.items()
            if state.crashes
        }

    def _add_proof(self, fingerprint: int, version_id: str) -> None:
        """Records that a content has completed on a version; bounds the number of proofs."""
        now = self._clock.now()
        others = (
            (version, until_ms)
            for version, until_ms in self._proofs_by_fingerprint.pop(fingerprint, ())
            if version != version_id and until_ms > now
        )
        self._proofs_by_fingerprint[fingerprint] = (*others, (version_id, now + PROOF_TTL_MS))
        if len(self._proofs_by_fingerprint) > MAX_CONTENTS:
            del self._proofs_by_fingerprint[next(iter(self._proofs_by_fingerprint))]

    def _state_of(self, fingerprint: int, account_id: str) -> ContentState:
        """Returns the state of a content, with expired entries removed."""
        state = self.states_by_fingerprint.pop(fingerprint, None) or ContentState(account_id)
        self.states_by_fingerprint[fingerprint] = state
        self._remove_expired(state)
        if len(self.states_by_fingerprint) > MAX_CONTENTS:
            self._evict_one()
        return state

    def _remove_expired(self, state: ContentState) -> None:
        """Removes expired crashes and permits."""
        expired_before_ms = self._clock.wall() - CRASH_TTL_MS
        if not state.refused_until_wall_ms > self._clock.wall():
            state.crashes = {
                crash for crash in state.crashes if crash.at_wall_ms > expired_before_ms
            }
        now = self._clock.now()
        for permit in [
            permit_id
            for permit_id, expiry_ms in state.expiry_ms_by_permit.items()
            if expiry_ms <= now
        ]:
            state.remove_permit(permit)

    def _evict_one(self) -> None:
        """Evicts the least recently used content that has neither crashes nor running sends."""
        for fingerprint, state in self.states_by_fingerprint.items():
            if not state.crashes and not state.expiry_ms_by_permit:
                del self.states_by_fingerprint[fingerprint]
                return

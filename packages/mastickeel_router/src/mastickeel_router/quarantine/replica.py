"""What a holder knows of contents: which run now, which crashed endpoints, which are refused.

Until a content has run to its end on a version, it runs on one endpoint at a time over the whole
fleet, and after MAX_CRASHES on none. So it can crash no more endpoints than that, through however
many instances it is sent at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from mastickeel.peers import message

if TYPE_CHECKING:
    from collections.abc import Collection

    from mastickeel.clock import Clock

MAX_CRASHES = 2
CRASH_TTL_MS = 600_000
"""How long a crash counts, and how long a content is refused after the last one."""
PROOF_TTL_MS = 600_000
"""How long a content that ran to its end may run without limits on that version."""
PERMIT_TTL_MS = 120_000
"""How long a permit stands that is never given back, as when its instance crashed."""
MAX_CONTENTS = 20_000


class Verdict(StrEnum):
    """What a holder says to a request."""

    GRANTED = "granted"
    BUSY = "busy"
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class Crash:
    """An endpoint that crashed while it ran a content."""

    endpoint_id: str
    at_wall_ms: int


@message("quarantine.permit")
@dataclass(frozen=True)
class PermitRequest:
    """Asks whether a content may be sent now."""

    fingerprint: int
    account_id: str
    permit: str
    """Names this send; asking again for the same one takes no second permit."""
    version_id: str


@message("quarantine.verdict")
@dataclass(frozen=True)
class PermitReply:
    """The holder's answer."""

    verdict: Verdict
    crashes: tuple[Crash, ...] = ()
    """Those that the holder knows of; no one holder may know of all."""


@message("quarantine.release")
@dataclass(frozen=True)
class PermitReleaseNotice:
    """Gives a permit back."""

    fingerprint: int
    permit: str
    version_id: str
    finished: bool
    """Whether the content ran to its end."""


@message("quarantine.crash")
@dataclass(frozen=True)
class CrashReport:
    """Tells a holder of crashes, from the instance that saw one or from the other holder."""

    fingerprint: int
    account_id: str
    crashes: tuple[Crash, ...]
    permit: str = ""
    """The permit under which it ran; empty from a holder."""


@message("quarantine.noted")
@dataclass(frozen=True)
class CrashReportReply:
    """The reply to CrashReport."""

    crashes: int


@message("quarantine.clear")
@dataclass(frozen=True)
class ClearRequest:
    """Asks a holder to forget a content's crashes."""

    fingerprint: int


@message("quarantine.cleared")
@dataclass(frozen=True)
class ClearReply:
    """The reply to ClearAsk."""

    known: bool


def refusal_end_wall_ms(crashes: Collection[Crash]) -> int:
    """Returns until when a content is refused, calendar time; 0 when it is not."""
    if len(crashes) < MAX_CRASHES:
        return 0
    return max(crash.at_wall_ms for crash in crashes) + CRASH_TTL_MS


@dataclass
class ContentState:
    """What is known of one content."""

    account_id: str
    crashes: set[Crash] = field(default_factory=set)
    expiry_ms_by_permit: dict[str, int] = field(default_factory=dict)
    """Sends under way, by permit, with the time at which each is forgotten."""
    proven_until_ms_by_version: dict[str, int] = field(default_factory=dict)
    """By version."""

    @property
    def refused_until_wall_ms(self) -> int:
        """Until when the content is refused; 0 when it is not."""
        return refusal_end_wall_ms(self.crashes)


class QuarantineReplica:
    """The contents that this instance holds."""

    def __init__(self, clock: Clock) -> None:
        """Makes an empty holder.

        Args:
            clock: Times permits and crashes.
        """
        self.contents_by_fingerprint: dict[int, ContentState] = {}
        """What is known, the least lately used first."""
        self._clock = clock

    async def on_permit_request(self, sender: str, request: PermitRequest) -> PermitReply:
        """Decides whether a content may be sent now."""
        known = self._content(request.fingerprint, request.account_id)
        now = self._clock.now()
        if known.refused_until_wall_ms:
            return PermitReply(Verdict.QUARANTINED, tuple(known.crashes))
        proven = known.proven_until_ms_by_version.get(request.version_id, 0) > now
        if proven and not known.crashes:
            return PermitReply(Verdict.GRANTED)
        if any(permit != request.permit for permit in known.expiry_ms_by_permit):
            return PermitReply(Verdict.BUSY, tuple(known.crashes))
        known.expiry_ms_by_permit[request.permit] = now + PERMIT_TTL_MS
        return PermitReply(Verdict.GRANTED, tuple(known.crashes))

    async def on_permit_release_notice(self, sender: str, notice: PermitReleaseNotice) -> None:
        """Takes a permit back."""
        self.release(notice)

    def release(self, notice: PermitReleaseNotice) -> None:
        """Takes a permit back at once."""
        known = self.contents_by_fingerprint.get(notice.fingerprint)
        if known is None:
            return
        known.expiry_ms_by_permit.pop(notice.permit, None)
        if notice.finished:
            known.proven_until_ms_by_version[notice.version_id] = self._clock.now() + PROOF_TTL_MS

    async def on_crash_report(self, sender: str, report: CrashReport) -> CrashReportReply:
        """Counts crashes; one that is known already is not counted again."""
        known = self._content(report.fingerprint, report.account_id)
        known.expiry_ms_by_permit.pop(report.permit, None)
        known.proven_until_ms_by_version.clear()
        known.crashes |= set(report.crashes)
        return CrashReportReply(len(known.crashes))

    async def on_clear_request(self, sender: str, request: ClearRequest) -> ClearReply:
        """Forgets a content."""
        return ClearReply(self.contents_by_fingerprint.pop(request.fingerprint, None) is not None)

    def suspects(self) -> dict[int, ContentState]:
        """Returns the contents that have crashed an endpoint of late."""
        for fingerprint in list(self.contents_by_fingerprint):
            self._forget_old(self.contents_by_fingerprint[fingerprint])
        return {
            fingerprint: known
            for fingerprint, known in self.contents_by_fingerprint.items()
            if known.crashes
        }

    def _content(self, fingerprint: int, account_id: str) -> ContentState:
        """Returns what is known of a content, as of now."""
        known = self.contents_by_fingerprint.pop(fingerprint, None) or ContentState(account_id)
        self.contents_by_fingerprint[fingerprint] = known
        self._forget_old(known)
        if len(self.contents_by_fingerprint) > MAX_CONTENTS:
            self._drop_one()
        return known

    def _forget_old(self, known: ContentState) -> None:
        """Forgets crashes and permits whose time is over."""
        oldest = self._clock.wall() - CRASH_TTL_MS
        if not known.refused_until_wall_ms > self._clock.wall():
            known.crashes = {crash for crash in known.crashes if crash.at_wall_ms > oldest}
        now = self._clock.now()
        for permit in [one for one, until in known.expiry_ms_by_permit.items() if until <= now]:
            del known.expiry_ms_by_permit[permit]

    def _drop_one(self) -> None:
        """Makes room, sparing contents that have crashed an endpoint or run now."""
        for fingerprint, known in self.contents_by_fingerprint.items():
            if not known.crashes and not known.expiry_ms_by_permit:
                del self.contents_by_fingerprint[fingerprint]
                return

"""Notifications between instances: work sent to engines, release evidence, sessions, crashes, rate
limits and endpoints that leave.

Lost or late messages lead to a worse placement or a later decision, never to a wrong answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.peers import message
from mastickeel_router.availability import EndpointAwayNotice, EndpointLeavingNotice
from mastickeel_router.paths import PathStateNotice
from mastickeel_router.placement import WorkSentNotice
from mastickeel_router.quarantine.parts import PartCrashReport, PartSuccessNotice
from mastickeel_router.quarantine.reports import ContentCrashReport, ContentSuccessNotice
from mastickeel_router.ratelimits import (
    AdmissionOutcome,
    AdmissionReply,
    AdmissionRequest,
    EndpointLimitNotice,
    PermitReply,
    PermitRequest,
)
from mastickeel_router.releases import EvidenceReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.peers import PeerLink
    from mastickeel.storeera import StoreEra
    from mastickeel_router.availability import EndpointAvailability
    from mastickeel_router.fleet.broadcast import Broadcast
    from mastickeel_router.paths import EndpointPaths
    from mastickeel_router.placement import EndpointLoads
    from mastickeel_router.quarantine.parts import PartSuspicions
    from mastickeel_router.quarantine.reports import CrashReports
    from mastickeel_router.ratelimits import AdmissionCounter, EndpointLimits, PermitIssuer
    from mastickeel_router.releases import Releases, SessionVersions


@message("session_ran")
@dataclass(frozen=True)
class SessionRunNotice:
    """Notification to peers that a request of a session has run on a version."""

    session: str
    version: str


@message("store_era")
@dataclass(frozen=True)
class StoreEraNotice:
    """Notification to peers that the store has come back from an older copy."""

    era: int


def share_loads(
    broadcast: Broadcast,
    loads: EndpointLoads,
    is_listed: Callable[[str], bool] = lambda endpoint_id: True,
) -> None:
    """Sends this instance's work to the peers and applies their work.

    Args:
        broadcast: Sends notices to the peers.
        loads: Loads of the endpoints.
        is_listed: Tells by id whether an endpoint is listed; work on others is ignored.
    """

    def apply(sender: str, notice: WorkSentNotice) -> None:
        if is_listed(notice.endpoint):
            loads.apply_work(notice)

    loads.on_work_sent.append(broadcast.publish)
    broadcast.register_handler(WorkSentNotice, apply)


def share_evidence(broadcast: Broadcast, releases: Releases) -> None:
    """Sends this instance's evidence of releases to the peers and records theirs."""
    releases.on_report.append(broadcast.publish)
    broadcast.register_handler(EvidenceReport, releases.record_evidence)


def share_sessions(broadcast: Broadcast, sessions: SessionVersions) -> None:
    """Sends the versions of sessions to the peers, which may get the sessions' next requests."""
    sessions.on_run.append(
        lambda session, version: broadcast.publish(SessionRunNotice(session, version))
    )
    broadcast.register_handler(
        SessionRunNotice,
        lambda sender, notice: sessions.apply_run(notice.session, notice.version),
    )


def share_crashes(broadcast: Broadcast, reports: CrashReports) -> None:
    """Sends this instance's crash reports and success notices to the peers and applies theirs."""
    reports.on_crash.append(broadcast.publish)
    reports.on_success.append(broadcast.publish)
    broadcast.register_handler(
        ContentCrashReport, lambda sender, report: reports.apply_crash_report(report)
    )
    broadcast.register_handler(
        ContentSuccessNotice, lambda sender, notice: reports.apply_success(notice)
    )


def share_part_crashes(broadcast: Broadcast, suspicions: PartSuspicions) -> None:
    """Sends the crashes and successes of prompts' parts to the peers and applies theirs."""
    suspicions.on_crash.append(broadcast.publish)
    suspicions.on_success.append(broadcast.publish)
    broadcast.register_handler(
        PartCrashReport, lambda sender, report: suspicions.apply_crash_report(report)
    )
    broadcast.register_handler(
        PartSuccessNotice, lambda sender, notice: suspicions.apply_success(notice)
    )


def share_era(broadcast: Broadcast, era: StoreEra) -> None:
    """Sends a new era of the store to the peers, which may learn of it before the store answers."""
    era.on_change.append(lambda number: broadcast.publish(StoreEraNotice(number)))
    broadcast.register_handler(StoreEraNotice, lambda sender, notice: era.observe(notice.era))


def share_limits(
    broadcast: Broadcast, limits: EndpointLimits, is_listed: Callable[[str], bool]
) -> None:
    """Sends the limits that endpoints name to the peers and applies those that peers have seen.

    Args:
        broadcast: Sends notices to the peers.
        limits: The limits that this instance knows.
        is_listed: Tells by id whether an endpoint is listed; limits of others are ignored.
    """

    def apply(sender: str, notice: EndpointLimitNotice) -> None:
        if is_listed(notice.endpoint):
            limits.apply_notice(notice)

    limits.on_notice.append(broadcast.publish)
    broadcast.register_handler(limits.notice_type, apply)


def share_leaving(
    broadcast: Broadcast, availability: EndpointAvailability, is_listed: Callable[[str], bool]
) -> None:
    """Tells the peers which endpoints leave and applies what they tell.

    Args:
        broadcast: Sends notices to the peers.
        availability: What endpoints have said to this instance.
        is_listed: Tells by id whether an endpoint is listed; notices about others are ignored.
    """

    def apply(sender: str, notice: EndpointLeavingNotice) -> None:
        if is_listed(notice.endpoint):
            availability.apply_notice(notice)

    def apply_away(sender: str, notice: EndpointAwayNotice) -> None:
        if is_listed(notice.endpoint):
            availability.apply_away_notice(notice)

    availability.on_notice.append(broadcast.publish)
    broadcast.register_handler(EndpointLeavingNotice, apply)
    broadcast.register_handler(EndpointAwayNotice, apply_away)


def share_path_state(broadcast: Broadcast, paths: EndpointPaths) -> None:
    """Tells the peers whether this instance is cut off from the endpoints, and applies theirs."""
    paths.on_state.append(broadcast.publish)
    broadcast.register_handler(PathStateNotice, paths.apply_notice)


def serve_permits(link: PeerLink, issuer: PermitIssuer) -> None:
    """Answers the peers' requests for permits."""

    async def issue(sender: str, request: PermitRequest) -> PermitReply:
        return issuer.issue(request)

    link.register_handler(PermitRequest, issue)


def serve_admissions(link: PeerLink, counter: AdmissionCounter) -> None:
    """Answers the peers' requests for admissions and records what became of their sends."""

    async def admit(sender: str, request: AdmissionRequest) -> AdmissionReply:
        return counter.admit(request)

    async def settle(sender: str, outcome: AdmissionOutcome) -> None:
        counter.settle(outcome)

    link.register_handler(AdmissionRequest, admit)
    link.register_handler(AdmissionOutcome, settle)

"""Notifications between instances: work sent to engines, release evidence, sessions and crashes.

Lost or late messages lead to a worse placement or a later decision, never to a wrong answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from mastickeel.peers import message
from mastickeel_router.placement import WorkSentNotice
from mastickeel_router.quarantine.reports import ContentCrashReport, ContentSuccessNotice
from mastickeel_router.releases import EvidenceReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.peers import PeerLink
    from mastickeel_router.placement import EndpointLoads
    from mastickeel_router.quarantine.reports import CrashReports
    from mastickeel_router.releases import Releases, SessionVersions


@message("session_ran")
@dataclass(frozen=True)
class SessionRunNotice:
    """Notification to peers that a request of a session has run on a version."""

    session: str
    version: str


def share_loads(
    link: PeerLink,
    loads: EndpointLoads,
    is_listed: Callable[[str], bool] = lambda endpoint_id: True,
) -> None:
    """Sends this instance's work to the peers and applies their work.

    Args:
        link: Connections to the peers.
        loads: Loads of the endpoints.
        is_listed: Tells by id whether an endpoint is listed; work on others is ignored.
    """

    def apply(sender: str, notice: WorkSentNotice) -> None:
        if is_listed(notice.endpoint):
            loads.apply_work(notice)

    loads.on_work_sent.append(lambda sent: _send_to_peers(link, sent))
    _register_handler(link, WorkSentNotice, apply)


def share_evidence(link: PeerLink, releases: Releases) -> None:
    """Sends this instance's evidence of releases to the peers and records theirs."""
    releases.on_report.append(lambda evidence: _send_to_peers(link, evidence))
    _register_handler(link, EvidenceReport, releases.record_evidence)


def share_sessions(link: PeerLink, sessions: SessionVersions) -> None:
    """Sends the versions of sessions to the peers, which may get the sessions' next requests."""
    sessions.on_run.append(
        lambda session, version: _send_to_peers(link, SessionRunNotice(session, version))
    )
    _register_handler(
        link,
        SessionRunNotice,
        lambda sender, notice: sessions.apply_run(notice.session, notice.version),
    )


def share_crashes(link: PeerLink, reports: CrashReports) -> None:
    """Sends this instance's crash reports and success notices to the peers and applies theirs."""
    reports.on_crash.append(lambda report: _send_to_peers(link, report))
    reports.on_success.append(lambda notice: _send_to_peers(link, notice))
    _register_handler(
        link, ContentCrashReport, lambda sender, report: reports.apply_crash_report(report)
    )
    _register_handler(
        link, ContentSuccessNotice, lambda sender, notice: reports.apply_success(notice)
    )


def _send_to_peers(link: PeerLink, notice: Any) -> None:
    for peer_id in link.peer_ids:
        link.send_notice(peer_id, notice)


def _register_handler(
    link: PeerLink, kind: type[Any], on_message: Callable[[str, Any], object]
) -> None:
    """Registers a function for all messages of a kind; the messages get no reply."""

    async def handle(sender: str, notice: Any) -> None:
        on_message(sender, notice)

    link.register_handler(kind, handle)

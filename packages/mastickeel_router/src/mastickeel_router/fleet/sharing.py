"""What instances tell each other: work sent to engines, evidence of releases, sessions, crashes.

Lost or late messages cost a worse choice or a later verdict, never a wrong answer.
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
    """A request of a session has run on a version."""

    session: str
    version: str


def share_loads(
    link: PeerLink,
    loads: EndpointLoads,
    is_listed: Callable[[str], bool] = lambda endpoint_id: True,
) -> None:
    """Tells the peers of this instance's work, and takes theirs.

    Args:
        link: The way to the peers.
        loads: Knows how busy endpoints are, and what they hold.
        is_listed: Tells by id whether an endpoint is listed; work on others is ignored.
    """

    def take(sender: str, sent: WorkSentNotice) -> None:
        if is_listed(sent.endpoint):
            loads.apply_work(sent)

    loads.on_work_sent.append(lambda sent: _send_to_peers(link, sent))
    _register_handler(link, WorkSentNotice, take)


def share_evidence(link: PeerLink, releases: Releases) -> None:
    """Tells the peers what this instance has seen of releases, and takes theirs."""
    releases.on_report.append(lambda evidence: _send_to_peers(link, evidence))
    _register_handler(link, EvidenceReport, releases.record_evidence)


def share_sessions(link: PeerLink, sessions: SessionVersions) -> None:
    """Tells the peers which version sessions ran on: their next requests may come to any."""
    sessions.on_run.append(
        lambda session, version: _send_to_peers(link, SessionRunNotice(session, version))
    )
    _register_handler(
        link, SessionRunNotice, lambda sender, ran: sessions.apply_run(ran.session, ran.version)
    )


def share_crashes(link: PeerLink, reports: CrashReports) -> None:
    """Tells the peers which contents crashed endpoints here, and takes what they saw."""
    reports.on_crash.append(lambda report: _send_to_peers(link, report))
    reports.on_success.append(lambda ran: _send_to_peers(link, ran))
    _register_handler(
        link, ContentCrashReport, lambda sender, report: reports.apply_crash_report(report)
    )
    _register_handler(link, ContentSuccessNotice, lambda sender, ran: reports.apply_success(ran))


def _send_to_peers(link: PeerLink, content: Any) -> None:
    for peer_id in link.peer_ids:
        link.send_notice(peer_id, content)


def _register_handler(link: PeerLink, kind: type[Any], take: Callable[[str, Any], object]) -> None:
    """Hands each message of a kind to a function; nothing is replied."""

    async def handle(sender: str, content: Any) -> None:
        take(sender, content)

    link.register_handler(kind, handle)

"""What instances tell each other: work sent to engines, evidence of releases, sessions, crashes.

Lost or late messages cost a worse choice or a later verdict, never a wrong answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from mastickeel.peers import message
from mastickeel_router.placement import WorkSent
from mastickeel_router.quarantine.reports import ContentCrashReport, ContentSuccessNotice
from mastickeel_router.releases import Evidence

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.peers import PeerLink
    from mastickeel_router.placement import EndpointLoads
    from mastickeel_router.quarantine.reports import CrashReports
    from mastickeel_router.releases import Releases, SessionVersions


@message("session_ran")
@dataclass(frozen=True)
class SessionRan:
    """A request of a session has run on a version."""

    session: str
    version: str


def share_loads(
    link: PeerLink, loads: EndpointLoads, is_known: Callable[[str], bool] = lambda endpoint_id: True
) -> None:
    """Tells the peers of this instance's work, and takes theirs.

    Args:
        link: The way to the peers.
        loads: Knows how busy endpoints are, and what they hold.
        is_known: Whether an endpoint is listed: of others nothing is kept.
    """

    def take(sender: str, sent: WorkSent) -> None:
        if is_known(sent.endpoint):
            loads.take(sent)

    loads.on_work.append(lambda sent: _tell_all(link, sent))
    _take(link, WorkSent, take)


def share_evidence(link: PeerLink, releases: Releases) -> None:
    """Tells the peers what this instance has seen of releases, and takes theirs."""
    releases.on_report.append(lambda evidence: _tell_all(link, evidence))
    _take(link, Evidence, releases.take_evidence)


def share_sessions(link: PeerLink, sessions: SessionVersions) -> None:
    """Tells the peers which version sessions ran on: their next requests may come to any."""
    sessions.on_run.append(lambda session, version: _tell_all(link, SessionRan(session, version)))
    _take(link, SessionRan, lambda sender, ran: sessions.take(ran.session, ran.version))


def share_crashes(link: PeerLink, reports: CrashReports) -> None:
    """Tells the peers which contents crashed endpoints here, and takes what they saw."""
    reports.on_crash.append(lambda report: _tell_all(link, report))
    reports.on_success.append(lambda ran: _tell_all(link, ran))
    _take(link, ContentCrashReport, lambda sender, report: reports.apply_crash_report(report))
    _take(link, ContentSuccessNotice, lambda sender, ran: reports.apply_success(ran))


def _tell_all(link: PeerLink, content: Any) -> None:
    for peer_id in link.peer_ids:
        link.tell(peer_id, content)


def _take(link: PeerLink, kind: type[Any], take: Callable[[str, Any], object]) -> None:
    """Hands each message of a kind to a function; nothing is replied."""

    async def handle(sender: str, content: Any) -> None:
        take(sender, content)

    link.on(kind, handle)

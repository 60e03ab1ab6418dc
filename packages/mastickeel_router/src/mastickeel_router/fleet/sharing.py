"""What instances tell each other: work sent to engines, evidence of releases, sessions.

Lost or late messages cost a worse choice or a later verdict, never a wrong answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.peers import message
from mastickeel_router.releases import Evidence

if TYPE_CHECKING:
    from mastickeel.peers import PeerLink
    from mastickeel_router.placement import EndpointLoads
    from mastickeel_router.releases import Releases, SessionVersions

LEAST_WORK_MS = 20.0
"""Less work than this is not told: it is over before the message has been read."""


@message("work_sent")
@dataclass(frozen=True)
class WorkSent:
    """An instance has sent work to an endpoint."""

    endpoint: str
    work_ms: float
    """How long the endpoint is busy with it."""


class LoadSharing:
    """Tells the peers of this instance's work, and takes theirs."""

    def __init__(self, link: PeerLink, loads: EndpointLoads) -> None:
        """Makes it, and listens on the link.

        Args:
            link: The way to the peers.
            loads: Knows how busy endpoints are.
        """
        self._link = link
        self._loads = loads
        loads.on_work.append(self._tell)
        link.on(WorkSent, self._take)

    def _tell(self, endpoint_id: str, work_ms: float) -> None:
        if work_ms < LEAST_WORK_MS:
            return
        for peer_id in self._link.peer_ids:
            self._link.tell(peer_id, WorkSent(endpoint_id, work_ms))

    async def _take(self, sender: str, sent: WorkSent) -> None:
        self._loads.note_work(sent.endpoint, sent.work_ms)


class EvidenceSharing:
    """Tells the peers what this instance has seen of releases, and takes theirs."""

    def __init__(self, link: PeerLink, releases: Releases) -> None:
        """Makes it, and listens on the link.

        Args:
            link: The way to the peers.
            releases: Weighs the evidence of all.
        """
        self._link = link
        self._releases = releases
        releases.on_report.append(self._tell)
        link.on(Evidence, self._take)

    def _tell(self, evidence: Evidence) -> None:
        for peer_id in self._link.peer_ids:
            self._link.tell(peer_id, evidence)

    async def _take(self, sender: str, evidence: Evidence) -> None:
        self._releases.take_evidence(sender, evidence)


@message("session_ran")
@dataclass(frozen=True)
class SessionRan:
    """A request of a session has run on a version."""

    session: str
    version: str


class SessionSharing:
    """Tells the peers which version sessions ran on, as their next requests may come to any."""

    def __init__(self, link: PeerLink, sessions: SessionVersions) -> None:
        """Makes it, and listens on the link.

        Args:
            link: The way to the peers.
            sessions: Keeps what is told.
        """
        self._link = link
        self._sessions = sessions
        sessions.on_run.append(self._tell)
        link.on(SessionRan, self._take)

    def _tell(self, session: str, version: str) -> None:
        for peer_id in self._link.peer_ids:
            self._link.tell(peer_id, SessionRan(session, version))

    async def _take(self, sender: str, ran: SessionRan) -> None:
        self._sessions.take(ran.session, ran.version)

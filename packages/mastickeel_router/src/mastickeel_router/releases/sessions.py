"""Remembers the version that each session ran on last, on any instance."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock

MAX_SESSIONS = 8_192
"""Maximum number of sessions: about 40 times the number that the fleet serves within a session's
gap."""


class SessionVersions:
    """Latest version of each session, kept for the session gap."""

    def __init__(self, clock: Clock, gap_ms: int) -> None:
        """Creates the record without any session.

        Args:
            clock: Times the gap.
            gap_ms: Maximum time between two requests of one session.
        """
        self.gap_ms = gap_ms
        """Maximum time between two requests of one session; may be replaced at run time."""
        self.on_run: list[Callable[[str, str], None]] = []
        """Callbacks with the session and version of each request that ran on this instance."""
        self._clock = clock
        self._versions: OrderedDict[str, tuple[str, int]] = OrderedDict()

    def record_run(self, session: str, version: str) -> None:
        """Records that a request of a session has run on this instance."""
        if not session:
            return
        self.apply_run(session, version)
        for notify in self.on_run:
            notify(session, version)

    def apply_run(self, session: str, version: str) -> None:
        """Stores the version of a session that ran on this or another instance."""
        self._versions[session] = (version, self._clock.now())
        self._versions.move_to_end(session)
        while len(self._versions) > MAX_SESSIONS:
            self._versions.popitem(last=False)

    def version_of(self, session: str) -> str:
        """Returns the latest version of a session; empty when unknown or after the gap."""
        version, at_ms = self._versions.get(session, ("", 0))
        return version if version and self._clock.now() - at_ms <= self.gap_ms else ""

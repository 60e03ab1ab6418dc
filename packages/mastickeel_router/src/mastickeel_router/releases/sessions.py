"""Which version each session ran on last, on whichever instance."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock

MAX_SESSIONS = 8_192
"""Some 40 times what today's fleet serves within a session's gap."""


class SessionVersions:
    """Sessions that ran within the gap, by name."""

    def __init__(self, clock: Clock, gap_ms: int) -> None:
        """Makes it with no session.

        Args:
            clock: Times the gap.
            gap_ms: The longest time between two requests of one session.
        """
        self.gap_ms = gap_ms
        """The longest time between two requests of one session; may be replaced."""
        self.on_run: list[Callable[[str, str], None]] = []
        """Told of each session and version that ran here, for the peers."""
        self._clock = clock
        self._versions: OrderedDict[str, tuple[str, int]] = OrderedDict()

    def record_run(self, session: str, version: str) -> None:
        """Notes that a request of a session has run here."""
        if not session:
            return
        self.apply_run(session, version)
        for tell in self.on_run:
            tell(session, version)

    def apply_run(self, session: str, version: str) -> None:
        """Takes what ran here or on another instance."""
        self._versions[session] = (version, self._clock.now())
        self._versions.move_to_end(session)
        while len(self._versions) > MAX_SESSIONS:
            self._versions.popitem(last=False)

    def version_of(self, session: str) -> str:
        """Returns the version that a session ran on last; empty after the gap or when unknown."""
        version, at_ms = self._versions.get(session, ("", 0))
        return version if version and self._clock.now() - at_ms <= self.gap_ms else ""

"""Confirms that knowledge of the store is recent enough to refuse a caller by it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel_router.discovery.feeds import StoreFollower
    from mastickeel_router.storeview.view import StoreView

WAIT_MS = 300
"""Longest time for which a request waits for a confirmation."""
CHECK_INTERVAL_MS = 10
RETRY_INTERVAL_MS = 500
"""Time after a failed confirmation in which none is tried: requests are then rejected at once."""


class Confirmation:
    """Asks the store and a peer when the knowledge is older than its bound."""

    def __init__(
        self,
        view: StoreView,
        follower: StoreFollower,
        clock: Clock,
        *,
        max_age_ms: int,
        ask_peers: Callable[[], None],
    ) -> None:
        """Creates the confirmation.

        Args:
            view: The instance's view of the store.
            follower: Reads the store for the view.
            clock: Times the confirmations.
            max_age_ms: Age up to which the knowledge counts as recent.
            ask_peers: Asks a peer for changes in the background.
        """
        self._view = view
        self._follower = follower
        self._clock = clock
        self._max_age_ms = max_age_ms
        self._ask_peers = ask_peers
        self._begun_ms: int | None = None

    @property
    def is_recent(self) -> bool:
        """Whether all that was acknowledged longer ago than the bound is known."""
        age_ms = self._view.age_ms()
        return age_ms is not None and age_ms <= self._max_age_ms

    async def confirm(self) -> bool:
        """Returns whether the knowledge is recent, after asking store and peers if it is not."""
        if self.is_recent:
            return True
        now = self._clock.now()
        if self._begun_ms is None or now - self._begun_ms >= RETRY_INTERVAL_MS:
            self._begun_ms = now
            self._follower.reopen()
            self._ask_peers()
        deadline_ms = self._begun_ms + WAIT_MS
        while not self.is_recent and self._clock.now() < deadline_ms:
            await self._clock.sleep(CHECK_INTERVAL_MS)
        return self.is_recent

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
READ_DELAY_MS = 250
"""Time for which an answer of the store may have been under way or unread when it is dated."""
RETRY_INTERVAL_MS = 500
"""Time after a failed confirmation in which none is tried: requests are then rejected at once."""


class Confirmation:
    """Requests what is new from the store and a peer when the knowledge is older than its bound."""

    def __init__(
        self,
        view: StoreView,
        follower: StoreFollower,
        clock: Clock,
        *,
        max_age_ms: int,
        request_from_peers: Callable[[], None],
    ) -> None:
        """Creates the confirmation.

        Args:
            view: The instance's view of the store.
            follower: Reads the store for the view.
            clock: Times the confirmations.
            max_age_ms: Age up to which the knowledge counts as recent.
            request_from_peers: Requests changes from a peer in the background.
        """
        self._view = view
        self._follower = follower
        self._clock = clock
        self._max_age_ms = max_age_ms
        self._request_from_peers = request_from_peers
        self._begun_ms: int | None = None

    @property
    def is_recent(self) -> bool:
        """Whether all that was acknowledged longer ago than the bound is known."""
        age_ms = self._view.age_ms()
        return age_ms is not None and age_ms <= self._max_age_ms - READ_DELAY_MS

    async def confirm(self) -> bool:
        """Returns whether the knowledge is recent; calls the store and a peer if it is not."""
        if self.is_recent:
            return True
        now = self._clock.now()
        if self._begun_ms is None or now - self._begun_ms >= RETRY_INTERVAL_MS:
            self._begun_ms = now
            self._follower.reopen()
            self._request_from_peers()
        deadline_ms = self._begun_ms + WAIT_MS
        while not self.is_recent and self._clock.now() < deadline_ms:
            await self._clock.sleep(CHECK_INTERVAL_MS)
        return self.is_recent

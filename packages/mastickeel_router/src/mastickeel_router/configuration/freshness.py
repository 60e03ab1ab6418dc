"""How long this instance may go on without proof that no newer change is staged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.errors import UnavailableError

if TYPE_CHECKING:
    from mastickeel.clock import Clock

FRESHNESS_BOUND_MS = 3_000
"""A proof counts this long from when it was asked for."""
FRESHNESS_MARGIN_MS = 300
"""What a coordinator waits beyond the bound, for clocks that run at unlike rates."""
RETRY_AFTER_MS = 2_000


class NotFreshError(UnavailableError):
    """Raised when this instance may have missed a change: nothing may be sent."""

    code = "not_fresh"
    title = "This instance cannot tell whether the configuration has changed."
    remedy = "Send it again after the time in Retry-After, best through another instance."


class Freshness:
    """The newest proof, on this instance's own clock."""

    def __init__(self, clock: Clock) -> None:
        """Makes it without any proof.

        Args:
            clock: Times the bound.
        """
        self._clock = clock
        self._proven_ms: int | None = None

    @property
    def age_ms(self) -> int | None:
        """How old the newest proof is; None when there is none."""
        return None if self._proven_ms is None else self._clock.now() - self._proven_ms

    @property
    def is_fresh(self) -> bool:
        """Whether the newest proof still counts."""
        return self.age_ms is not None and self.age_ms < FRESHNESS_BOUND_MS

    def record_proof(self, at_ms: int) -> None:
        """Takes a proof.

        Args:
            at_ms: The moment for which it surely holds, on the clock for intervals.
        """
        if self._proven_ms is None or at_ms > self._proven_ms:
            self._proven_ms = at_ms

    def check(self) -> None:
        """Passes only while the newest proof counts.

        Raises:
            NotFreshError: When it is too old.
        """
        if not self.is_fresh:
            age = (
                "no proof yet" if self.age_ms is None else f"the last proof is {self.age_ms} ms old"
            )
            raise NotFreshError(f"Not fresh: {age}.", retry_after_ms=RETRY_AFTER_MS)

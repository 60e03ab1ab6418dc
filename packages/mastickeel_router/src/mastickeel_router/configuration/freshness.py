"""Freshness: how long this instance may admit work after its last proof of the newest head."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.errors import UnavailableError

if TYPE_CHECKING:
    from mastickeel.clock import Clock

FRESHNESS_BOUND_MS = 3_000
"""How long a proof is valid, counted from when it was requested."""
FRESHNESS_MARGIN_MS = 300
"""Extra wait of a coordinator beyond the bound, for clocks that run at different rates."""
RETRY_AFTER_MS = 2_000


class NotFreshError(UnavailableError):
    """Raised when this instance may have missed a change, so nothing may be sent."""

    code = "not_fresh"
    title = "This instance cannot tell whether the configuration has changed."
    remedy = "Retry after the time in Retry-After, preferably through another instance."


class Freshness:
    """The newest freshness proof, timed on this instance's own clock."""

    def __init__(self, clock: Clock) -> None:
        """Creates a freshness without a proof.

        Args:
            clock: Times the age of proofs.
        """
        self._clock = clock
        self._proven_ms: int | None = None

    @property
    def age_ms(self) -> int | None:
        """The age of the newest proof; None without a proof."""
        return None if self._proven_ms is None else self._clock.now() - self._proven_ms

    @property
    def is_fresh(self) -> bool:
        """Whether the newest proof is still valid."""
        return self.age_ms is not None and self.age_ms < FRESHNESS_BOUND_MS

    def record_proof(self, at_ms: int) -> None:
        """Records a proof, unless a newer proof is known.

        Args:
            at_ms: The time for which the proof holds, on the monotonic clock.
        """
        if self._proven_ms is None or at_ms > self._proven_ms:
            self._proven_ms = at_ms

    def check(self) -> None:
        """Checks that the newest proof is still valid.

        Raises:
            NotFreshError: When the newest proof is too old or there is no proof.
        """
        if not self.is_fresh:
            age = (
                "no proof yet" if self.age_ms is None else f"the last proof is {self.age_ms} ms old"
            )
            raise NotFreshError(f"Not fresh: {age}.", retry_after_ms=RETRY_AFTER_MS)

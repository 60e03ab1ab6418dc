"""Era of the store: tells apart what was read before and after the store lost its newest writes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log

if TYPE_CHECKING:
    from collections.abc import Callable

STORE_ERA_BEGAN = define_event(
    1104,
    "store_era_began",
    "warning",
    "The store came back from an older copy: its newest writes and leases are gone.",
)

KEPT_MS = 60_000
"""Time for which the writes count that the store has lost, and those are remembered that an older
copy may repeat: their writers have written again long before."""


class StoreEra:
    """Newest era of the store that this instance knows.

    The era rises each time the store comes back from an older copy. Revisions and lease ids are
    then given out again, so that they can be compared within one era only.
    """

    def __init__(self) -> None:
        """Creates an era that is not known yet."""
        self.number: int | None = None
        """The newest era; None before the first answer that names one."""
        self.on_change: list[Callable[[int], None]] = []
        """Callbacks with each later era."""

    def observe(self, number: int) -> bool:
        """Records the era of an answer; returns False if the answer is of an earlier era."""
        known = self.number
        if known is not None and number < known:
            return False
        self.number = number
        if known is not None and number > known:
            log(STORE_ERA_BEGAN, era=number, before=known)
            for notify in self.on_change:
                notify(number)
        return True

"""Tracks the evacuations in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.storeera import KEPT_MS

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from mastickeel.clock import Clock
    from mastickeel_router.discovery import EndpointRecord

EVACUATION_BEGUN = define_event(
    2410,
    "evacuation_begun",
    "warning",
    "The operator has ordered that the endpoints of a data centre get no requests.",
)
EVACUATION_ENDED = define_event(
    2411,
    "evacuation_ended",
    "info",
    "The operator has taken an evacuation back; the data centre's endpoints are used again.",
)
EVACUATION_KEPT = define_event(
    2412,
    "evacuation_kept",
    "warning",
    "The store came back from an older copy without an evacuation; it stays in force for a time.",
)


@dataclass(frozen=True)
class EvacuationOrder:
    """Operator's order that the endpoints of a data centre get no requests."""

    data_centre: str
    revision: int
    """Revision of the store at which the order was written."""


@dataclass(frozen=True)
class _Evacuation:
    """An order in force."""

    order: EvacuationOrder
    since_ms: int
    """Clock time at which this instance learned of the order."""
    expires_ms: int | None = None
    """Clock time at which an order that the store has lost ends; None while the store has it."""


class Evacuations:
    """The evacuations that this instance knows, by data centre."""

    def __init__(self, clock: Clock) -> None:
        """Creates the record without evacuations.

        Args:
            clock: Times the orders that the store has lost.
        """
        self.on_end: list[Callable[[str], None]] = []
        """Callbacks with the data centre of each evacuation that was taken back."""
        self._clock = clock
        self._evacuations_by_data_centre: dict[str, _Evacuation] = {}
        self._list_is_older = False

    @property
    def data_centres(self) -> frozenset[str]:
        """The data centres that are evacuated."""
        self._remove_expired()
        return frozenset(self._evacuations_by_data_centre)

    def covers(self, endpoint: EndpointRecord) -> bool:
        """Returns whether an endpoint may get no request."""
        evacuations = self._evacuations_by_data_centre
        return bool(evacuations) and endpoint.data_centre in self.data_centres

    def apply(self, order: EvacuationOrder, *, is_kept: bool = False) -> bool:
        """Puts an order in force; returns False if it is in force already.

        Args:
            order: The order.
            is_kept: Whether another instance has kept the order, which the store has lost.
        """
        known = self._evacuations_by_data_centre.get(order.data_centre)
        if known is not None and (is_kept or (known.order == order and known.expires_ms is None)):
            return False
        now = self._clock.now()
        self._evacuations_by_data_centre[order.data_centre] = _Evacuation(
            order,
            since_ms=now if known is None else known.since_ms,
            expires_ms=now + KEPT_MS if is_kept else None,
        )
        if known is None:
            log(
                EVACUATION_BEGUN,
                data_centre=order.data_centre,
                revision=order.revision,
                kept=is_kept,
            )
        return True

    def remove(self, data_centre: str, revision: int) -> None:
        """Ends an evacuation that the operator has taken back.

        Args:
            data_centre: The evacuated data centre.
            revision: Revision of the store at which the order was removed.
        """
        evacuation = self._evacuations_by_data_centre.pop(data_centre, None)
        if evacuation is None:
            return
        log(
            EVACUATION_ENDED,
            data_centre=data_centre,
            revision=revision,
            duration_ms=self._clock.now() - evacuation.since_ms,
        )
        for notify in self.on_end:
            notify(data_centre)

    def retain(self, data_centres: Collection[str], revision: int) -> None:
        """Ends the evacuations that a list of all orders lacks; keeps them if the list is older.

        Args:
            data_centres: The data centres of the listed orders.
            revision: Revision of the list.
        """
        absent = [name for name in self.data_centres if name not in data_centres]
        if self._list_is_older:
            self._list_is_older = False
            self._keep(absent)
            return
        for data_centre in absent:
            if self._evacuations_by_data_centre[data_centre].expires_ms is None:
                self.remove(data_centre, revision)

    def begin_era(self) -> None:
        """Records that the next list comes from an older copy of the store."""
        self._list_is_older = True

    def _keep(self, data_centres: Iterable[str]) -> None:
        """Keeps orders in force for a time although the store has lost them."""
        for data_centre in data_centres:
            evacuation = self._evacuations_by_data_centre[data_centre]
            self._evacuations_by_data_centre[data_centre] = _Evacuation(
                evacuation.order, evacuation.since_ms, self._clock.now() + KEPT_MS
            )
            log(EVACUATION_KEPT, data_centre=data_centre, kept_ms=KEPT_MS)

    def _remove_expired(self) -> None:
        """Ends the orders that the store has lost and the operator has not written again."""
        now = self._clock.now()
        for data_centre, evacuation in list(self._evacuations_by_data_centre.items()):
            if evacuation.expires_ms is not None and now >= evacuation.expires_ms:
                self.remove(data_centre, 0)

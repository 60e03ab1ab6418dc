"""Tracks the orders of releases, and which of them an older copy of the store repeats."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

from mastickeel.storeera import KEPT_MS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mastickeel.clock import Clock
    from mastickeel.storeera import StoreEra
    from mastickeel_router.releases.model import ReleaseOrder


class OrderChange(Enum):
    """What an order that was read means for the service's order in force."""

    NEW = "new"
    """It replaces the order in force."""
    REPEATED = "repeated"
    """It is the order in force under another revision; its release goes on."""
    IN_FORCE = "in force"
    OUTDATED = "outdated"
    """It was replaced or removed before."""


@dataclass(frozen=True)
class _OrderInForce:
    order: ReleaseOrder
    era: int | None
    """Era of the store in which the order's revision holds; None if it was kept from another."""
    received_ms: int
    is_predecessor_known: bool
    """Whether this instance knows the order that was in force before, if any."""
    lost_ms: int | None = None
    """Clock time at which a list of a new era lacked the order; None while the store has it."""
    awaited_until_ms: int = 0
    """Clock time until which the operator may write the order again because the store came back
    from an older copy."""


class ReleaseOrders:
    """The order in force of each service.

    A new era of the store begins with an older copy, whose orders have the revision and the content
    that they had before. An order that was not in force recently was therefore written since.
    """

    def __init__(self, clock: Clock, era: StoreEra) -> None:
        """Creates the record without orders.

        Args:
            clock: Times the orders that the store has lost.
            era: The store's era.
        """
        self._clock = clock
        self._era = era
        self._in_force_by_service: dict[str, _OrderInForce] = {}
        self._replaced_ms_by_order: dict[ReleaseOrder, int] = {}
        self._list_is_older = False

    @property
    def services(self) -> list[str]:
        """Names of the services with an order."""
        return list(self._in_force_by_service)

    def get(self, service: str) -> ReleaseOrder | None:
        """Returns the order in force of a service; None without one."""
        known = self._in_force_by_service.get(service)
        return known.order if known is not None else None

    def since_ms(self, order: ReleaseOrder) -> int:
        """Returns the time since the order in force of a service was received."""
        return self._clock.now() - self._in_force_by_service[order.service].received_ms

    def compare(
        self, order: ReleaseOrder, *, is_kept: bool = False, has_progress: bool = False
    ) -> OrderChange:
        """Returns what an order that was read means.

        Args:
            order: The order.
            is_kept: Whether another instance has kept the order from an earlier era of the store.
            has_progress: Whether the release of the order in force has a plan and is not reverted;
                the same order does not begin it anew.
        """
        known = self._in_force_by_service.get(order.service)
        if is_kept:
            return OrderChange.NEW if known is None else OrderChange.OUTDATED
        if known is None:
            return OrderChange.OUTDATED if self._is_of_copy(order, known) else OrderChange.NEW
        is_same = known.order == replace(order, revision=known.order.revision)
        if known.era == self._era.number:
            if known.order.revision >= order.revision:
                return OrderChange.IN_FORCE if known.order == order else OrderChange.OUTDATED
            is_awaited = self._clock.now() < known.awaited_until_ms
            is_repeated = is_same and (has_progress or is_awaited)
            return OrderChange.REPEATED if is_repeated else OrderChange.NEW
        if is_same:
            return OrderChange.REPEATED
        return OrderChange.OUTDATED if self._is_of_copy(order, known) else OrderChange.NEW

    def put(
        self, order: ReleaseOrder, *, is_kept: bool = False, is_predecessor_known: bool = False
    ) -> None:
        """Puts a new order in force.

        Args:
            order: The order.
            is_kept: Whether another instance has kept the order from an earlier era of the store.
            is_predecessor_known: Whether the order that was in force before, if any, is known.
        """
        if (known := self.get(order.service)) is not None:
            self.record_replaced((known,))
        self._in_force_by_service[order.service] = _OrderInForce(
            order,
            None if is_kept else self._era.number,
            self._clock.now(),
            is_predecessor_known or is_kept,
        )

    def renumber(self, order: ReleaseOrder) -> None:
        """Takes over the revision of an order that the operator or the older copy repeats."""
        known = self._in_force_by_service[order.service]
        is_of_copy = self._list_is_older and order.revision == known.order.revision
        self._in_force_by_service[order.service] = replace(
            known,
            order=order,
            era=self._era.number,
            lost_ms=None,
            awaited_until_ms=known.awaited_until_ms if is_of_copy else 0,
        )

    def remove(self, service: str) -> None:
        """Removes the order of a service."""
        known = self._in_force_by_service.pop(service, None)
        if known is not None:
            self.record_replaced((known.order,))

    def record_replaced(self, orders: Iterable[ReleaseOrder]) -> None:
        """Remembers orders that were replaced or removed, which an older copy may have."""
        now = self._clock.now()
        for order, replaced_ms in list(self._replaced_ms_by_order.items()):
            if now - replaced_ms >= KEPT_MS:
                del self._replaced_ms_by_order[order]
        self._replaced_ms_by_order.update(dict.fromkeys(orders, now))

    def begin_era(self) -> None:
        """Records that the next list comes from an older copy of the store."""
        self._list_is_older = True
        until_ms = self._clock.now() + KEPT_MS
        for service, known in self._in_force_by_service.items():
            self._in_force_by_service[service] = replace(known, awaited_until_ms=until_ms)

    def end_list(self, services: Iterable[str]) -> set[str]:
        """Ends a list of all orders; returns the services whose orders the operator has removed.

        An order that the older copy lacks is not removed; it counts as lost from then on.

        Args:
            services: The services with an order in the list.
        """
        absent = self._in_force_by_service.keys() - set(services)
        if not self._list_is_older:
            return absent
        self._list_is_older = False
        now = self._clock.now()
        for service in absent:
            known = self._in_force_by_service[service]
            self._in_force_by_service[service] = replace(known, lost_ms=now)
        return set()

    def find_lost(self) -> list[str]:
        """Returns the services whose orders the operator has not written again in time."""
        oldest_ms = self._clock.now() - KEPT_MS
        return [
            service
            for service, known in self._in_force_by_service.items()
            if known.lost_ms is not None and known.lost_ms <= oldest_ms
        ]

    def _is_of_copy(self, order: ReleaseOrder, known: _OrderInForce | None) -> bool:
        """Returns whether an order is that of the older copy and not written since.

        Without knowledge of what was in force before, only a later revision shows that.
        """
        if not self._list_is_older:
            return False
        if order in self._replaced_ms_by_order:
            return True
        if known is None or known.is_predecessor_known:
            return False
        return order.revision < known.order.revision

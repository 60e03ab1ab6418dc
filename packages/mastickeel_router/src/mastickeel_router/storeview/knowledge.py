"""What this instance knows of the store, kept in time by its own watch and by its peers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from mastickeel_router.discovery.feeds import StoreFollower
from mastickeel_router.storeview.confirmation import Confirmation
from mastickeel_router.storeview.exchange import ChangeExchange, ExchangeTiming
from mastickeel_router.storeview.view import StoreView

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine, Iterable

    from mastickeel.clock import Clock
    from mastickeel.peers import PeerLink
    from mastickeel.storeport import WatchableStore
    from mastickeel.tasks import TaskGroup
    from mastickeel_router.discovery.feeds import WatchHandler
    from mastickeel_router.storeview.watchers import Member

ALL_KEYS_PREFIX = ""
"""Prefix of every key."""


@dataclass(frozen=True)
class FleetAccess:
    """How an instance reaches its peers."""

    link: PeerLink
    own: Member
    list_members: Callable[[], Iterable[Member]]
    """Returns the peers that exchange changes of the store."""


class StoreKnowledge:
    """Knowledge of the store that does not rest on one watch."""

    def __init__(
        self,
        store: WatchableStore,
        handler: WatchHandler,
        *,
        clock: Clock,
        rng: random.Random,
        tasks: TaskGroup,
        max_age_ms: int,
        fleet: FleetAccess | None,
    ) -> None:
        """Creates the knowledge, which is empty until its work runs.

        Args:
            store: The store.
            handler: Receives the keys and the changes.
            clock: Times calls and requests.
            rng: Draws delays and peers.
            tasks: Runs what goes on beside the watch; stopped by its owner.
            max_age_ms: Age up to which a caller may be refused by the knowledge.
            fleet: The peers; None without any.
        """
        self._view = StoreView(handler, clock, store.era)
        self._follower = StoreFollower(store, ALL_KEYS_PREFIX, self._view.handler(), clock, rng)
        self._exchange: ChangeExchange | None = None
        if fleet is not None:
            self._exchange = ChangeExchange(
                self._view,
                self._follower,
                link=fleet.link,
                clock=clock,
                rng=rng,
                tasks=tasks,
                era=store.era,
                own=fleet.own,
                list_members=fleet.list_members,
                timing=ExchangeTiming.for_max_age(max_age_ms),
            )
        self._confirmation = Confirmation(
            self._view,
            self._follower,
            clock,
            max_age_ms=max_age_ms,
            request_from_peers=self._request_from_peers,
        )

    def age_ms(self) -> int | None:
        """Returns the age of the knowledge: what was acknowledged before that time is known."""
        return self._view.age_ms()

    @property
    def is_watching(self) -> bool:
        """Whether this instance watches the store by itself."""
        return not self._follower.is_paused

    async def confirm(self) -> bool:
        """Returns whether a caller may be refused by the knowledge, confirming it if necessary."""
        return await self._confirmation.confirm()

    def work_by_name(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Returns what has to run in the background while the knowledge is in use."""
        work: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
            "follow the store": self._follower.run
        }
        if self._exchange is not None:
            work["exchange changes"] = self._exchange.run
        return work

    def _request_from_peers(self) -> None:
        if self._exchange is not None:
            self._exchange.request_from_one()

"""The endpoints of each pool, what runs on them, and which one a request goes to."""

from __future__ import annotations

import contextlib
from collections import Counter
from typing import TYPE_CHECKING

from mastickeel.errors import UnavailableError
from mastickeel.metrics import Metrics
from mastickeel.model import EndpointState, PoolKind
from mastickeel.rendezvous import rank
from mastickeel_router.breaker import Breakers
from mastickeel_router.dispatch.cache_events import CacheEvents
from mastickeel_router.dispatch.load_reports import LoadReports

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from mastickeel.clock import Clock
    from mastickeel.model import Endpoint, Pool, View
    from mastickeel_router.dispatch.prefixes import PromptPrefix

SUBSET_SIZE = 16
"""Endpoints of a pool that one instance uses, so that connections, pages and cache views stay
bounded and each prefix meets few caches."""
CANDIDATE_COUNT = 2
NO_ENDPOINT_RETRY_MS = 1_000
HIT_CREDIT = 3.0
"""Requests in flight that a whole prefix hit outweighs."""
HOME_CREDIT = 1.0
"""The same for the endpoint that a prefix hashes to while no cache is known to hold it."""
OVERLOAD_FACTOR = 4.0
"""What a request beyond the capacity counts, since it waits for another to end."""


class EndpointTable:
    """This instance's requests in flight, by endpoint, and its choice among them."""

    def __init__(
        self,
        rng: random.Random,
        is_leaving: Callable[[str], bool] = lambda _: False,
        *,
        clock: Clock,
        instance_id: str = "",
        metrics: Metrics | None = None,
    ) -> None:
        """Makes the table.

        Args:
            rng: Picks the candidates.
            is_leaving: Whether an endpoint gets no new work, whatever the configuration says.
            clock: Ages what is known of the endpoints.
            instance_id: Decides which subset of a pool is used.
            metrics: Counts gaps in what is known.
        """
        self.in_flight_by_id: Counter[str] = Counter()
        """Requests that this instance has on each endpoint."""
        self.breakers = Breakers(clock, rng)
        """Which endpoints get nothing, or a share."""
        self.loads = LoadReports(clock, lambda endpoint_id: self.in_flight_by_id[endpoint_id])
        """What engines report of their load."""
        self.caches = CacheEvents(clock, metrics or Metrics())
        """What engines' caches are expected to hold."""
        self._rng = rng
        self._is_leaving = is_leaving
        self._instance_id = instance_id
        self._ranked_by_pool: dict[str, tuple[Pool, list[Endpoint]]] = {}

    def choose(
        self,
        view: View,
        pool_id: str,
        excluded_ids: frozenset[str] = frozenset(),
        prefix: PromptPrefix | None = None,
    ) -> Endpoint:
        """Chooses among two random endpoints and those likely to hold the prompt's prefix.

        Args:
            view: The configuration in force.
            pool_id: The pool.
            excluded_ids: Endpoints that have failed for this request.
            prefix: The beginning of the prompt, where caches matter.

        Returns:
            The endpoint.

        Raises:
            UnavailableError: When none is left; nothing ran there.
        """
        pool = view.committed.pools_by_id.get(pool_id)
        usable = (
            [one for one in self._usable_endpoints(pool) if one.id not in excluded_ids]
            if pool
            else []
        )
        if pool is None or not usable:
            raise self._no_endpoint_error(pool, pool_id)
        admitted = [one for one in usable[:SUBSET_SIZE] if self.breakers.admits(one.id)]
        near = admitted or usable[:SUBSET_SIZE]
        candidates = self._rng.sample(near, min(CANDIDATE_COUNT, len(near)))
        hits_by_id: dict[str, float] = {}
        if prefix is not None and prefix.blocks:
            hits_by_id = self._prefix_credits(near, prefix)
            candidates += [one for one in near if one.id in hits_by_id]
        return min(
            candidates,
            key=lambda one: self.effective_load(one.id, pool.capacity)
            - hits_by_id.get(one.id, 0.0),
        )

    def effective_load(self, endpoint_id: str, capacity: int) -> float:
        """Returns how much runs on an endpoint; what would have to wait counts more."""
        total = self.in_flight_by_id[endpoint_id] + self.loads.other_requests(endpoint_id)
        return total + OVERLOAD_FACTOR * max(0.0, total + 1 - capacity)

    def engine_subset(self, view: View) -> list[Endpoint]:
        """Returns the engines that this instance uses, over all pools."""
        return [
            endpoint
            for pool in view.committed.pools_by_id.values()
            if pool.kind is PoolKind.ENGINE
            for endpoint in self._usable_endpoints(pool)[:SUBSET_SIZE]
        ]

    @contextlib.contextmanager
    def count_in_flight(self, endpoint: Endpoint) -> Iterator[None]:
        """Counts a request on an endpoint while it runs."""
        self.in_flight_by_id[endpoint.id] += 1
        try:
            yield
        finally:
            self.in_flight_by_id[endpoint.id] -= 1

    def _prefix_credits(self, near: list[Endpoint], prefix: PromptPrefix) -> dict[str, float]:
        """Returns the credit of each endpoint that is likely to hold a prefix."""
        credits_by_id = {}
        for endpoint in near:
            cache = self.caches.views_by_id.get(endpoint.id)
            hit = cache.expected_hit_ratio(prefix) if cache else 0.0
            if hit > 0:
                credits_by_id[endpoint.id] = HIT_CREDIT * hit
        if not credits_by_id:
            home = rank(prefix.key, [endpoint.id for endpoint in near])[0]
            credits_by_id[home] = HOME_CREDIT
        return credits_by_id

    def _usable_endpoints(self, pool: Pool) -> list[Endpoint]:
        """Returns the endpoints that may get new work, in this instance's own stable order.

        The first ones are its subset; when some of them cannot be used the next take their place.
        """
        return [
            endpoint
            for endpoint in self._ranked_endpoints(pool)
            if endpoint.state is EndpointState.LIVE
            and not self._is_leaving(endpoint.id)
            and not self.breakers.is_open(endpoint.id)
        ]

    def _ranked_endpoints(self, pool: Pool) -> list[Endpoint]:
        """Ranks a pool's endpoints for this instance, anew only when the pool has changed."""
        known = self._ranked_by_pool.get(pool.id)
        if known is not None and known[0] is pool:
            return known[1]
        endpoints_by_id = {endpoint.id: endpoint for endpoint in pool.endpoints}
        ranked = [endpoints_by_id[one] for one in rank(self._instance_id, endpoints_by_id)]
        self._ranked_by_pool[pool.id] = (pool, ranked)
        return ranked

    def _no_endpoint_error(self, pool: Pool | None, pool_id: str) -> UnavailableError:
        """Says when an endpoint may be tried again."""
        waits_ms = [self.breakers.opens_in_ms(one.id) for one in (pool.endpoints if pool else ())]
        soonest_ms = min((wait for wait in waits_ms if wait > 0), default=NO_ENDPOINT_RETRY_MS)
        return UnavailableError(
            f"Pool {pool_id} has no usable endpoint.",
            retry_after_ms=max(soonest_ms, NO_ENDPOINT_RETRY_MS),
        )

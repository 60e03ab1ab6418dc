"""Selects endpoints for requests by load, circuit breaker state and expected cache hits."""

from __future__ import annotations

import contextlib
from collections import Counter
from typing import TYPE_CHECKING

from mastickeel.errors import UnavailableError
from mastickeel.metrics import Metrics
from mastickeel.model import EndpointState, PoolKind
from mastickeel.rendezvous import rank
from mastickeel_router.breaker import CircuitBreakers
from mastickeel_router.dispatch.cache_events import CacheEvents
from mastickeel_router.dispatch.load_reports import LoadReports

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from mastickeel.clock import Clock
    from mastickeel.model import Endpoint, Pool, View
    from mastickeel_router.dispatch.prefixes import PromptPrefix

SUBSET_SIZE = 16
"""Endpoints of a pool that one instance uses, so that connections, metrics pages and cache views
stay bounded and requests with the same prefix reach few caches."""
CANDIDATE_COUNT = 2
NO_ENDPOINT_RETRY_MS = 1_000
HIT_CREDIT = 3.0
"""Requests in flight that a complete prefix hit outweighs."""
HOME_CREDIT = 1.0
"""Credit, in requests, of the endpoint that a prefix hashes to while no cache holds the prefix."""
OVERLOAD_FACTOR = 4.0
"""Extra weight of each request beyond the capacity, since it waits for another one to end."""


class EndpointTable:
    """Tracks this instance's requests in flight and selects endpoints."""

    def __init__(
        self,
        rng: random.Random,
        is_leaving: Callable[[str], bool] = lambda _: False,
        *,
        clock: Clock,
        instance_id: str = "",
        metrics: Metrics | None = None,
    ) -> None:
        """Creates a table without requests in flight.

        Args:
            rng: Picks candidates at random.
            is_leaving: Returns whether an endpoint gets no new requests, although the
                configuration may still list it as live.
            clock: Times breakers, load reports and cache events.
            instance_id: Determines which subset of a pool this instance uses.
            metrics: Counts gaps in cache events.
        """
        self.in_flight_by_id: Counter[str] = Counter()
        """Number of this instance's requests in flight on each endpoint."""
        self.breakers = CircuitBreakers(clock, rng)
        """Circuit breakers, which stop or limit the requests to failing endpoints."""
        self.loads = LoadReports(clock, lambda endpoint_id: self.in_flight_by_id[endpoint_id])
        """Load reported by the engines."""
        self.caches = CacheEvents(clock, metrics or Metrics())
        """Expected content of the engines' caches."""
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
        """Chooses the best of two random endpoints and those likely to hold the prompt's prefix.

        Args:
            view: The configuration in force.
            pool_id: The pool to choose from.
            excluded_ids: Endpoints that have failed for this request.
            prefix: The prefix of the prompt; None when caches don't matter.

        Returns:
            The chosen endpoint.

        Raises:
            UnavailableError: When the pool has no usable endpoint left.
        """
        pool = view.committed.pools_by_id.get(pool_id)
        usable = (
            [
                endpoint
                for endpoint in self._usable_endpoints(pool)
                if endpoint.id not in excluded_ids
            ]
            if pool
            else []
        )
        if pool is None or not usable:
            raise self._no_endpoint_error(pool, pool_id)
        admitted = [
            endpoint
            for endpoint in usable[:SUBSET_SIZE]
            if self.breakers.allows_request(endpoint.id)
        ]
        eligible = admitted or usable[:SUBSET_SIZE]
        candidates = self._rng.sample(eligible, min(CANDIDATE_COUNT, len(eligible)))
        cache_credits_by_id: dict[str, float] = {}
        if prefix is not None and prefix.blocks:
            cache_credits_by_id = self._prefix_credits(eligible, prefix)
            candidates += [endpoint for endpoint in eligible if endpoint.id in cache_credits_by_id]
        return min(
            candidates,
            key=lambda endpoint: self.effective_load(endpoint.id, pool.capacity)
            - cache_credits_by_id.get(endpoint.id, 0.0),
        )

    def effective_load(self, endpoint_id: str, capacity: int) -> float:
        """Returns the requests in flight on an endpoint; those beyond its capacity weigh more.

        Args:
            endpoint_id: The endpoint.
            capacity: Requests that the endpoint runs at once.
        """
        total = self.in_flight_by_id[endpoint_id] + self.loads.other_requests(endpoint_id)
        return total + OVERLOAD_FACTOR * max(0.0, total + 1 - capacity)

    def engine_subset(self, view: View) -> list[Endpoint]:
        """Returns the engines that this instance uses, from all pools."""
        return [
            endpoint
            for pool in view.committed.pools_by_id.values()
            if pool.kind is PoolKind.ENGINE
            for endpoint in self._usable_endpoints(pool)[:SUBSET_SIZE]
        ]

    @contextlib.contextmanager
    def count_in_flight(self, endpoint: Endpoint) -> Iterator[None]:
        """Counts a request as in flight on an endpoint while the context is open."""
        self.in_flight_by_id[endpoint.id] += 1
        try:
            yield
        finally:
            self.in_flight_by_id[endpoint.id] -= 1

    def _prefix_credits(self, endpoints: list[Endpoint], prefix: PromptPrefix) -> dict[str, float]:
        """Returns the load credit of each endpoint that is likely to hold a prefix."""
        credits_by_id = {}
        for endpoint in endpoints:
            cache = self.caches.views_by_id.get(endpoint.id)
            hit_ratio = cache.expected_hit_ratio(prefix) if cache else 0.0
            if hit_ratio > 0:
                credits_by_id[endpoint.id] = HIT_CREDIT * hit_ratio
        if not credits_by_id:
            home_id = rank(prefix.key, [endpoint.id for endpoint in endpoints])[0]
            credits_by_id[home_id] = HOME_CREDIT
        return credits_by_id

    def _usable_endpoints(self, pool: Pool) -> list[Endpoint]:
        """Returns the endpoints that may get new requests, in this instance's own stable order.

        The first ones are this instance's subset; the next ones replace those that are unusable.
        """
        return [
            endpoint
            for endpoint in self._ranked_endpoints(pool)
            if endpoint.state is EndpointState.LIVE
            and not self._is_leaving(endpoint.id)
            and not self.breakers.is_open(endpoint.id)
        ]

    def _ranked_endpoints(self, pool: Pool) -> list[Endpoint]:
        """Returns a pool's endpoints ranked for this instance, cached until the pool changes."""
        cached = self._ranked_by_pool.get(pool.id)
        if cached is not None and cached[0] is pool:
            return cached[1]
        endpoints_by_id = {endpoint.id: endpoint for endpoint in pool.endpoints}
        ranked = [endpoints_by_id[key] for key in rank(self._instance_id, endpoints_by_id)]
        self._ranked_by_pool[pool.id] = (pool, ranked)
        return ranked

    def _no_endpoint_error(self, pool: Pool | None, pool_id: str) -> UnavailableError:
        """Returns an error with the delay until an endpoint may be tried again."""
        delays_ms = [
            self.breakers.remaining_open_ms(endpoint.id)
            for endpoint in (pool.endpoints if pool else ())
        ]
        shortest_delay_ms = min(
            (delay for delay in delays_ms if delay > 0), default=NO_ENDPOINT_RETRY_MS
        )
        return UnavailableError(
            f"Pool {pool_id} has no usable endpoint.",
            retry_after_ms=max(shortest_delay_ms, NO_ENDPOINT_RETRY_MS),
        )

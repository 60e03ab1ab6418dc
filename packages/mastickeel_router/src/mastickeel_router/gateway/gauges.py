"""Gauges of one instance, whose values are read on each scrape."""

from __future__ import annotations

import math
import time
from functools import partial
from typing import TYPE_CHECKING, Protocol

from mastickeel_router.listeners.memory import Holder

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mastickeel_router.availability import EndpointAvailability
    from mastickeel_router.discovery import EndpointRegistry
    from mastickeel_router.evacuation import Evacuations
    from mastickeel_router.gateway.counted_store import CountedStore
    from mastickeel_router.gateway.metrics import GatewayMetrics
    from mastickeel_router.listeners import RequestListener
    from mastickeel_router.listeners.memory import HeldMemory
    from mastickeel_router.paths import EndpointPaths, PathMonitor, TunnelListener
    from mastickeel_router.placement import EndpointLoads
    from mastickeel_router.quarantine.parts import PartSuspicions
    from mastickeel_router.ratelimits import EndpointLimits, EndpointWarmups, SendAdmissions
    from mastickeel_router.relay.budget import RetryBudget
    from mastickeel_router.releases import Releases
    from mastickeel_router.routes import RouteTable
    from mastickeel_router.storeview import StoreKnowledge

PEER_COUNTERS = {
    "sent": "Messages sent to other instances",
    "sent_bytes": "Bytes of messages sent to other instances",
    "received": "Messages received from other instances",
    "received_bytes": "Bytes of messages received from other instances",
    "dropped": "Messages to other instances that were dropped",
}
"""Counters of the peer link that are shown as gauges, with their descriptions."""


class GaugedComponents(Protocol):
    """Components of a gateway whose state the gauges show."""

    metrics: GatewayMetrics
    listener: RequestListener
    loads: EndpointLoads
    registry: EndpointRegistry
    table: RouteTable
    store: CountedStore
    releases: Releases
    budget: RetryBudget
    limits: EndpointLimits
    warmups: EndpointWarmups
    evacuations: Evacuations
    availability: EndpointAvailability
    admissions: SendAdmissions
    held_memory: HeldMemory
    crashing_parts: PartSuspicions
    path_monitor: PathMonitor
    paths: EndpointPaths
    tunnels: TunnelListener
    knowledge: StoreKnowledge | None

    def knowledge_age_ms(self) -> int | None:
        """Returns the age of what is known of the store; None before the first list."""

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send new connections."""


def add_gauges(gateway: GaugedComponents, peer_totals: Mapping[str, int]) -> None:
    """Adds the gauges of a gateway to its metrics.

    Args:
        gateway: The gateway whose state the gauges show.
        peer_totals: Totals of the peer link by name.
    """
    metrics = gateway.metrics
    metrics.add_gauge("open_requests", "Requests under way", lambda: gateway.listener.open_requests)
    metrics.add_gauge("endpoints", "Endpoints known", lambda: len(gateway.registry.all()))
    metrics.add_gauge(
        "endpoints_limited",
        "Endpoints with a rate limit: their own, or that of their warm-up",
        lambda: _count_limited(gateway),
    )
    metrics.add_gauge(
        "endpoints_warming",
        "Endpoints that warm up",
        lambda: sum(map(gateway.warmups.is_warming, gateway.registry.all())),
    )
    metrics.add_gauge(
        "data_centres_evacuated",
        "Data centres whose endpoints get no requests",
        lambda: len(gateway.evacuations.data_centres),
    )
    metrics.add_gauge(
        "endpoints_evacuated",
        "Endpoints that get no requests because their data centre is evacuated",
        lambda: sum(map(gateway.evacuations.covers, gateway.registry.all())),
    )
    metrics.add_gauge(
        "answer_bytes",
        "Size of the answers under way that this instance holds",
        lambda: gateway.held_memory.bytes_by_holder[Holder.ANSWER],
    )
    metrics.add_gauge(
        "caller_bytes",
        "Size of callers' connections and of the requests that they send",
        lambda: gateway.held_memory.bytes_by_holder[Holder.CALLER],
    )
    metrics.add_gauge(
        "caller_connections",
        "Open connections of callers",
        lambda: gateway.listener.connections.open_count,
    )
    metrics.add_gauge(
        "answers_evicted",
        "Answers and callers' connections given up since the start because the memory or the "
        "connections were used up",
        lambda: gateway.held_memory.evictions,
    )
    metrics.add_gauge(
        "endpoints_leaving",
        "Endpoints that have said that they leave",
        lambda: sum(map(gateway.availability.is_leaving, gateway.registry.all())),
    )
    metrics.add_gauge(
        "endpoints_away",
        "Endpoints that want no requests from this instance for a time",
        lambda: sum(map(bool, map(gateway.availability.wait_ms, gateway.registry.all()))),
    )
    metrics.add_gauge(
        "parts_refused",
        "Parts of prompts that are refused because they crashed endpoints",
        lambda: len(gateway.crashing_parts.refused_parts),
    )
    metrics.add_gauge(
        "paths_lost",
        "Endpoints that this instance reaches only through other instances",
        lambda: len(gateway.path_monitor.lost_ids),
    )
    metrics.add_gauge(
        "tunnels_open", "Tunnels open for other instances", lambda: gateway.tunnels.open_count
    )
    metrics.add_gauge(
        "tunnels_used",
        "Connections made through other instances since the start",
        lambda: gateway.paths.tunnels_used,
    )
    metrics.add_gauge(
        "endpoints_brittle",
        "Endpoints that fail when they have to reject too many requests",
        lambda: sum(map(gateway.admissions.is_brittle, gateway.registry.all())),
    )
    metrics.add_gauge(
        "engines_crowding",
        "Time for a token at the engines, relative to that with few requests",
        lambda: gateway.loads.figures.crowding,
    )
    metrics.add_gauge(
        "leaving_share",
        "The largest part of a kind's requests that leaves the data centre",
        lambda: gateway.loads.leaving.largest if gateway.loads.leaving is not None else 0.0,
    )
    metrics.add_gauge("ready", "Whether new connections are taken", lambda: gateway.ready)
    metrics.add_gauge(
        "routes_version",
        "Version of the configuration in force",
        lambda: gateway.table.version,
    )
    metrics.add_gauge("release_share", "The largest of a release", lambda: gateway.releases.share)
    metrics.add_gauge(
        "leads_releases", "Whether it moves releases on", lambda: gateway.releases.is_leader
    )
    metrics.add_gauge("repeats_paid", "Repeats since the start", lambda: gateway.budget.granted)
    metrics.add_gauge("repeats_refused", "Repeats not paid for", lambda: gateway.budget.refused)
    metrics.add_gauge(
        "store_silent_seconds",
        "Since the store last answered",
        lambda: _to_seconds(gateway.store.age_ms()),
    )
    metrics.add_gauge(
        "knowledge_age_seconds",
        "Age of what is known of the store, by the own watch or by other instances",
        lambda: _to_seconds(gateway.knowledge_age_ms()),
    )
    metrics.add_gauge(
        "watches_store",
        "Whether it watches the store by itself",
        lambda: gateway.knowledge is not None and gateway.knowledge.is_watching,
    )
    metrics.add_gauge(
        "store_era", "Era of the store; 0 if not known", lambda: gateway.store.era.number or 0
    )
    metrics.add_gauge("processor_seconds", "Processor time since the start", time.process_time)
    for name, description in PEER_COUNTERS.items():
        metrics.add_gauge(
            f"peer_{name}", description, partial(peer_totals.__getitem__, f"peers.{name}")
        )


def _count_limited(gateway: GaugedComponents) -> int:
    """Returns the number of listed endpoints that have a rate limit."""
    limits = map(gateway.limits.limit_of, gateway.registry.all())
    return sum(limit is not None for limit in limits)


def _to_seconds(age_ms: int | None) -> float:
    """Returns an age in seconds; infinite for none, as before the first answer."""
    return math.inf if age_ms is None else age_ms / 1_000

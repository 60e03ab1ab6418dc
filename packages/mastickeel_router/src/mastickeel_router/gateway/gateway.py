"""Gateway of one instance: wires the components together, starts, drains and stops them."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel import events
from mastickeel._kvtypes import KeyValue
from mastickeel.errors import MastickeelError
from mastickeel.events import define_event
from mastickeel.httpclient import HttpClient
from mastickeel.logs import log
from mastickeel.metrics import Metrics
from mastickeel.peers import PeerLink
from mastickeel.rendezvous import rank
from mastickeel.tasks import TaskGroup
from mastickeel_router.availability import EndpointAvailability, EndpointAwayNotice
from mastickeel_router.discovery import EndpointRegistry
from mastickeel_router.discovery.feeds import WatchHandler, combine_handlers
from mastickeel_router.evacuation import EvacuationOrder, Evacuations
from mastickeel_router.fleet import (
    Broadcast,
    InstanceDirectory,
    PeerTraits,
    serve_admissions,
    serve_permits,
    share_crashes,
    share_era,
    share_evidence,
    share_leaving,
    share_limits,
    share_loads,
    share_part_crashes,
    share_path_state,
    share_sessions,
)
from mastickeel_router.gateway.counted_store import CountedStore
from mastickeel_router.gateway.gauges import add_gauges
from mastickeel_router.gateway.keeping import LostWrites
from mastickeel_router.gateway.metrics import METRICS_PATH, GatewayMetrics
from mastickeel_router.gateway.pages import PAGE_CONNECTION_BYTES, Page, PageListener
from mastickeel_router.gateway.storecalls import StoreCalls, find_subject
from mastickeel_router.listeners import RequestListener
from mastickeel_router.listeners.connections import ConnectionTable
from mastickeel_router.listeners.listener import CONNECTION_BYTES
from mastickeel_router.listeners.memory import HeldMemory
from mastickeel_router.paths import EndpointPaths, PathMonitor, TunnelListener
from mastickeel_router.paths.paths import TunnelPeer
from mastickeel_router.placement import EndpointLoads
from mastickeel_router.placement.leaving import LeavingShares
from mastickeel_router.quarantine.kept import CrashRecords
from mastickeel_router.quarantine.parts import PartSuspicions
from mastickeel_router.quarantine.reports import CrashReports
from mastickeel_router.ratelimits import (
    AdmissionCounter,
    EndpointLimits,
    EndpointWarmups,
    PermitIssuer,
    SendAdmissions,
    SendPermits,
)
from mastickeel_router.ratelimits.limits import REFUSAL_TOLERANCE
from mastickeel_router.relay import Dispatcher
from mastickeel_router.relay.budget import RetryBudget
from mastickeel_router.relay.context import Context
from mastickeel_router.relay.policy import PlannedStop
from mastickeel_router.releases import ReleaseOrder, Releases
from mastickeel_router.releases.decision import ReleaseShares
from mastickeel_router.routes import (
    CallerLimits,
    RouteTable,
    RoutingConfiguration,
    WarmupTraits,
)
from mastickeel_router.storeview import FleetAccess, Member, StoreKnowledge

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from mastickeel.addresses import Address
    from mastickeel.clock import Clock
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.gateway.deployment import Deployment
    from mastickeel_router.gateway.keeping import KeptItem, KeptWrites
    from mastickeel_router.gateway.settings import GatewaySettings
    from mastickeel_router.relay.context import SendObservation
    from mastickeel_router.relay.types import AnswerHead

START_TIMEOUT_MS = 1_500
"""Maximum time that the callers' listener stays closed until the store's data is loaded. A refused
connection makes callers try another instance at once; once the listener is open, callers get an
error with a retry time until the data is loaded."""
START_CHECK_INTERVAL_MS = 5
PREFERRED_LEADERS = 4
"""Number of instances that campaign first for the duty of leading releases."""
IDLE_CHECK_INTERVAL_MS = 50
"""Interval of checks for open requests during a drain."""
ENOUGH_SHARE = 0.5
"""Part of the grace period that is enough for a request to end, whatever its own limit allows."""
IDLE_BEFORE_STOP_MS = 200
"""Time without open requests after which a drain ends; the last accepted connection may still bring
its first request."""
END_TIMEOUT_MS = 100
"""Time in which the requests that a drain ends get their answers."""
END_CHECK_INTERVAL_MS = 5
"""Interval of checks whether the requests that a drain ends have got their answers."""

MAX_LOGGED_ERROR = 300
"""Maximum length of an error's text in a log record."""
MAX_QUEUED_BATCHES = 32
"""Batches of notices queued for an instance that does not read: those of three seconds."""

VALUE_IGNORED = define_event(
    2350,
    "value_ignored",
    "warning",
    "A value in the store could not be decoded and was ignored; check its writer.",
)
METRICS_NOT_SERVED = define_event(
    2351,
    "figures_not_served",
    "error",
    "The metrics listener could not be opened; choose a free address.",
)


class Gateway:
    """Components of one instance, and their life cycle."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        make_deployment: Callable[[HttpClient], Deployment],
        seed: int | None = None,
    ) -> None:
        """Creates the components without starting them.

        Args:
            settings: Validated settings.
            clock: Clock of all components.
            make_deployment: Creates the adapter to the deployment's store and wire formats.
            seed: Seed of the random numbers; None for an unpredictable one.
        """
        self.settings = settings
        """Settings in force."""
        self.clock = clock
        """Clock of all components."""
        self.rng = random.Random(seed)
        """Random number generator of all components."""
        self.http = HttpClient(clock)
        """HTTP client for endpoints and the store."""
        self.table = RouteTable()
        """Routes and API keys in force."""
        self.registry = EndpointRegistry(clock)
        """Registry of live endpoints."""
        self.loads = EndpointLoads(
            clock,
            self.rng,
            settings.instance.data_centre,
            learns_over_fleet=settings.placement.learns_over_fleet,
            leaving=self._make_leaving(),
        )
        """Load of each endpoint, estimated from sends."""
        self.budget = RetryBudget(clock, settings.repeats, self._count_instances)
        """Retry budget."""
        self.crashes = CrashReports(clock, self._runs_trial)
        """Request contents that crashed endpoints."""
        self.crashing_parts = PartSuspicions(clock, self._rank_of)
        """Parts of prompts that are suspected of crashing endpoints."""
        self.warmups = EndpointWarmups(clock, self._find_warmup_traits)
        """Endpoints that warm up."""
        self.limits = EndpointLimits(clock, find_other=self.warmups.find)
        """Rate limits of endpoints: those that they have named, and those of their warm-up."""
        self.evacuations = Evacuations(clock)
        """Data centres whose endpoints get no requests."""
        self.tolerances = EndpointLimits(clock, REFUSAL_TOLERANCE)
        """Refusals a second that brittle endpoints tolerate."""
        self.admission_counter = AdmissionCounter(clock)
        """Counts the fleet's sends to the brittle endpoints that this instance counts."""
        self.availability = EndpointAvailability(clock, self.rng)
        """What endpoints have said about taking further requests."""
        self.held_memory = HeldMemory(clock, settings.memory.held_bytes)
        """Memory that callers and endpoints make this instance hold."""
        self.planned_stop: PlannedStop | None = None
        """The planned stop; None before a drain begins."""
        self.callers_port = 0
        """Port of the callers' listener; 0 before the start."""
        self.health_port = 0
        """Port of the health check listener; 0 before the start."""
        self.metrics_port = 0
        """Port of the metrics listener; 0 before the start, or when there is none."""
        self._tasks = TaskGroup()
        self.path_monitor = PathMonitor(lambda: [one.id for one in self.registry.all()])
        """Endpoints to which this instance has lost its path."""
        self.path_monitor.on_lost.append(self.loads.breakers.reset)
        self.paths = EndpointPaths(
            self.http,
            clock=clock,
            rng=self.rng,
            tasks=self._tasks,
            monitor=self.path_monitor,
            list_peers=self._list_tunnel_peers,
            list_endpoints=self.registry.all,
        )
        """Connections to endpoints."""
        self.tunnels = TunnelListener(
            self.http,
            clock=clock,
            monitor=self.path_monitor,
            find_endpoint=self._find_endpoint,
            accepts=self._accepts,
            longest_timeout_ms=self._longest_timeout_ms,
        )
        """Tunnels to endpoints for peers that are cut off from them."""
        self.metrics = GatewayMetrics()
        """Metrics of this instance."""
        deployment = make_deployment(self.http)
        self.store_calls = StoreCalls(clock)
        """Ledger of the calls to the store."""
        self.store = CountedStore(
            deployment.store, clock, self._record_store_call, self._find_subject
        )
        """The deployment's store; counts the calls."""
        self._subjects_by_prefix: dict[str, str] = {}
        self._deployment = replace(deployment, store=self.store)
        self.releases = Releases(
            self._deployment,
            instance_id=settings.instance.id,
            prefix=settings.store.prefix,
            clock=clock,
            session_gap_ms=settings.sessions.gap_ms,
            shares=ReleaseShares.for_exposure(settings.releases.exposure_share),
            is_preferred=lambda: self._rank_of("releases") < PREFERRED_LEADERS,
        )
        """Releases under way; decide on which versions a request may run."""
        self._lost_writes = LostWrites(
            self.store,
            instance_id=settings.instance.id,
            prefix=settings.store.prefix,
            clock=clock,
            tasks=self._tasks,
            list_peers=self._list_recent_peers,
            list_ended=self.registry.list_ended,
            keeps_replaced=lambda key: bool(deployment.parse_order_key(key)),
            apply=self._apply_lost_writes,
        )
        self.crash_records = CrashRecords(
            self.store,
            self.crashes,
            self.crashing_parts,
            prefix=settings.store.prefix,
            clock=clock,
            rank_of=self._rank_of,
        )
        """Crashes in the store."""
        self.knowledge: StoreKnowledge | None = None
        """What this instance knows of the store; None before the start."""
        self._peer_metrics = Metrics()
        self.permit_issuer = PermitIssuer(clock, self.limits)
        """Issues permits for the limited endpoints that this instance schedules."""
        self._link, self._instances = self._make_fleet()
        self.permits = SendPermits(
            clock,
            self.limits,
            self.permit_issuer,
            instance_id=settings.instance.id,
            link=self._link,
            list_peers=self._list_recent_peers,
        )
        """Permits to send requests to limited endpoints."""
        self.admissions = SendAdmissions(
            clock,
            self.tolerances,
            self.admission_counter,
            instance_id=settings.instance.id,
            link=self._link,
            list_peers=self._list_recent_peers,
            list_service=self.registry.usable,
        )
        """Admissions of sends to brittle endpoints."""
        self.registry.on_entry.append(self.warmups.record_entry)
        self.evacuations.on_end.append(self._record_return)
        self.registry.on_lifetime_end.append(self.loads.reset_endpoint)
        self.registry.on_lifetime_end.append(self.permits.reset_endpoint)
        self.registry.on_lifetime_end.append(self.admissions.reset_endpoint)
        self.table.on_change.append(
            lambda configuration: self.listener.apply_limits(configuration.limits)
        )
        self._metrics_listener = PageListener(
            METRICS_PATH, self.metrics.render_page, self._make_page_connections()
        )
        self._dispatcher = Dispatcher(self._make_context())
        self.listener = RequestListener(
            self._dispatcher.serve,
            self._write_refusal,
            self._caller_limits,
            wants_body=self._dispatcher.wants_body,
            connections=ConnectionTable(
                self.held_memory, settings.max_caller_connections, CONNECTION_BYTES
            ),
        )
        """Listener of callers."""
        self._health_listener = PageListener(
            settings.health.path,
            lambda: Page(200 if self.ready else 503),
            self._make_page_connections(),
        )
        add_gauges(self, self._peer_metrics.totals_by_name)

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send new connections."""
        return self._has_loaded and self.planned_stop is None

    @property
    def _has_loaded(self) -> bool:
        """Whether routes, endpoints and releases have been loaded from the store."""
        loaded = self.table.configuration is not None and self.registry.loaded
        return loaded and self.releases.ready

    async def start(self) -> None:
        """Starts following the store, and opens the listeners."""
        deployment = self._deployment
        handlers_by_prefix = {
            # Comes first: what it says of the lists that follow has to be known before them.
            self._lost_writes.key: self._lost_writes.handler(),
            deployment.operator_prefix: self._make_operator_handler(),
            deployment.entries_prefix: self._make_entry_handler(),
            self.releases.plans_prefix: self.releases.plan_handler(),
            self.releases.duties_prefix: self.releases.duty_handler(),
            self.crash_records.keys_prefix: self.crash_records.handler(),
        }
        if self._instances is not None:
            handlers_by_prefix[self._instances.entries_prefix] = self._instances.entry_handler()
            self._subjects_by_prefix[self._instances.entries_prefix] = "instances"
        self._subjects_by_prefix |= {
            self._lost_writes.key: "lost writes",
            deployment.operator_prefix: "operator",
            deployment.entries_prefix: "endpoints",
            self.releases.plans_prefix: "releases",
            self.releases.duties_prefix: "duties",
            self.crash_records.keys_prefix: "crashes",
        }
        self._tasks.start_supervised(self.clock, "report store calls", self.store_calls.run)
        self._tasks.start_supervised(
            self.clock, "sweep callers", lambda: self.listener.run_sweeps(self.clock)
        )
        self._tasks.start_supervised(self.clock, "keep crashes", self.crash_records.run)
        self.knowledge = self._make_knowledge(combine_handlers(handlers_by_prefix))
        if self._link is not None and self._instances is not None and self.settings.peers:
            await self._link.bind(self.settings.peers.listen)
            if (tunnels := self.settings.tunnels) is not None:
                port = self.tunnels.open(tunnels.listen, tunnels.max_open)
                self._instances.tunnels_port = port
            self._tasks.start_supervised(self.clock, "probe endpoints", self.paths.run_probes)
            self._tasks.start_supervised(self.clock, "register", self._instances.keep_registered)
            self._tasks.start_supervised(self.clock, "tell crashes", self.crashes.run_resending)
            self._tasks.start_supervised(
                self.clock, "tell crashing parts", self.crashing_parts.run_resending
            )
        for name, work in (self.knowledge.work_by_name() | self.releases.work_by_name()).items():
            self._tasks.start_supervised(self.clock, name, work)
        self.health_port = self._health_listener.listen(self.settings.health.listen)
        if self.settings.metrics is not None:
            self._listen_for_metrics(self.settings.metrics.listen)
        deadline_ms = self.clock.now() + START_TIMEOUT_MS
        while not self._has_loaded and self.clock.now() < deadline_ms:
            await self.clock.sleep(START_CHECK_INTERVAL_MS)
        self.callers_port = self.listener.listen(self.settings.callers.listen)
        log(events.STARTED, callers=self.callers_port, health=self.health_port)

    def _listen_for_metrics(self, address: Address) -> None:
        """Opens the metrics listener; logs a failure, because requests can be served without it."""
        try:
            self.metrics_port = self._metrics_listener.listen(address)
        except OSError as error:
            log(METRICS_NOT_SERVED, address=str(address), error=str(error))

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Applies changed settings; listeners and the store's address change only at a restart."""
        self.settings = settings
        self.budget.limits = settings.repeats
        self.releases.sessions.gap_ms = settings.sessions.gap_ms
        self.releases.shares = ReleaseShares.for_exposure(settings.releases.exposure_share)

    async def drain(self) -> None:
        """Ends readiness, then stops accepting connections and waits for open requests.

        Open requests are ended with an answer. Returns at the latest ``reserve_ms`` before the end
        of the grace period.
        """
        stop = self.settings.stop
        now = self.clock.now()
        end_ms = now + stop.grace_ms - stop.reserve_ms - END_TIMEOUT_MS
        leave_end_ms = min(now + stop.leave_ms, end_ms)
        self.planned_stop = PlannedStop(end_ms, round(stop.grace_ms * ENOUGH_SHARE))
        self.tunnels.refuse_new()
        self.store_calls.report()
        log(events.STOPPING, open_requests=self.listener.open_requests)
        self.listener.disable_keep_alive()
        # In the background: a store that does not answer must not use up the grace period.
        self._tasks.start(self.releases.release_duty())
        await self._refuse_late_until(leave_end_ms)
        self.listener.stop()
        idle_since_ms = self.clock.now()
        while (now := self.clock.now()) < end_ms:
            self.listener.close_idle()
            if self.listener.open_requests or self.tunnels.open_count:
                idle_since_ms = now
            elif now - idle_since_ms >= IDLE_BEFORE_STOP_MS:
                break
            await self._refuse_late_until(min(now + IDLE_CHECK_INTERVAL_MS, end_ms))
        self._dispatcher.end_requests()
        timeout_ms = self.clock.now() + END_TIMEOUT_MS
        while self.listener.open_requests and self.clock.now() < timeout_ms:
            await self.clock.sleep(END_CHECK_INTERVAL_MS)

    async def _refuse_late_until(self, until_ms: int) -> None:
        """Waits, and refuses the requests that are being read and can no longer end in time."""
        while (now := self.clock.now()) < until_ms:
            await self.clock.sleep(min(IDLE_CHECK_INTERVAL_MS, until_ms - now))
            self.listener.refuse_unread(self._dispatcher.refuse_late)

    async def stop(self) -> None:
        """Closes all listeners and connections at once, which aborts open requests."""
        open_requests = self.listener.open_requests
        await self.listener.close()
        self.tunnels.close()
        await self._health_listener.close()
        await self._metrics_listener.close()
        await self._tasks.stop()
        await self.http.close()
        if self._link is not None:
            await self._link.close()
        log(events.STOPPED, cut_requests=open_requests)

    def _record_store_call(self, kind: str, result: str, cause: str) -> None:
        self.metrics.record_store_call(kind, result)
        self.store_calls.record(kind, cause)

    def _find_subject(self, key: str) -> str:
        return find_subject(key, self._subjects_by_prefix)

    def _accepts(self, endpoint: EndpointRecord) -> bool:
        """Returns whether an endpoint may be sent a request now."""
        return self.availability.accepts(endpoint) and not self.evacuations.covers(endpoint)

    def _find_warmup_traits(self, service: str) -> WarmupTraits | None:
        """Returns what the endpoints of a service bear while they warm up; None for any load."""
        configuration = self.table.configuration
        traits = configuration.services_by_name.get(service) if configuration else None
        return traits.warmup if traits is not None else None

    def _record_return(self, data_centre: str) -> None:
        """Records that the endpoints of a data centre have rested and may be cold."""
        endpoints = (one for one in self.registry.all() if one.data_centre == data_centre)
        self.warmups.record_return(endpoints, "evacuation")

    def _runs_trial(self, fingerprint: int) -> bool:
        """Whether this instance, of all live ones, runs the trial of a refused content."""
        return self._rank_of(str(fingerprint)) == 0

    def _rank_of(self, key: str) -> int:
        """Returns the rank of this instance among all live ones for a key, from 0."""
        own_id = self.settings.instance.id
        peer_ids = self._link.peer_ids if self._link is not None else ()
        return rank(key, (own_id, *peer_ids)).index(own_id)

    def _longest_timeout_ms(self) -> int:
        """Returns the longest timeout of the configured routes; 0 without a configuration."""
        configuration = self.table.configuration
        routes = configuration.routes if configuration else ()
        return max((route.timeout_ms for route in routes), default=0)

    def _find_endpoint(self, address: Address) -> EndpointRecord | None:
        """Returns the endpoint that is listed at an address; None if there is none."""
        return next((one for one in self.registry.all() if one.address == address), None)

    def _list_tunnel_peers(self) -> Mapping[str, TunnelPeer]:
        """Returns the peers that open tunnels to endpoints, by id."""
        if self._instances is None:
            return {}
        traits = self._instances.traits_by_peer
        own_data_centre = self.settings.instance.data_centre
        return {
            peer: TunnelPeer(
                address, peer in traits and traits[peer].data_centre == own_data_centre
            )
            for peer, address in self._instances.tunnels_by_peer.items()
            if peer not in traits or self._is_in_region(traits[peer].data_centre)
        }

    def _is_in_region(self, data_centre: str) -> bool:
        """Returns whether a data centre is in the region of this instance, as far as is known.

        Requests pass through no other region, as their homes may not allow it.
        """
        own = self.settings.instance.region
        return self.settings.regions.get(data_centre, own) == own

    def _notify_tunnel_peer(self, endpoint: EndpointRecord, head: AnswerHead, via: str) -> None:
        """Tells the instance that has passed a request on that the endpoint turned it away."""
        if head.away_ms and self._link is not None:
            notice = EndpointAwayNotice(endpoint.id, endpoint.started_ms, head.away_ms)
            self._link.send_notice(via, notice)

    def _count_instances(self) -> int:
        """Returns the number of instances of the fleet that are known now, with this one."""
        return 1 + (len(self._link.peer_ids) if self._link is not None else 0)

    def _list_recent_peers(self) -> Collection[str]:
        """Returns the ids of the peers that are in the directory or were there recently."""
        return self._instances.recent_peer_ids if self._instances is not None else ()

    def _make_fleet(self) -> tuple[PeerLink | None, InstanceDirectory | None]:
        """Creates peer link and instance directory; None without `peers` in the settings."""
        settings = self.settings
        if settings.peers is None:
            return None, None
        link = PeerLink(
            settings.instance.id,
            clock=self.clock,
            metrics=self._peer_metrics,
            max_queued_messages=MAX_QUEUED_BATCHES,
        )
        traits = PeerTraits(
            settings.instance.data_centre, settings.peers.link_mbps, exchanges_changes=True
        )
        instances = InstanceDirectory(
            self._deployment.store,
            link,
            prefix=settings.store.prefix,
            host=settings.peers.listen.host,
            traits=traits,
            clock=self.clock,
        )
        broadcast = Broadcast(
            link,
            clock=self.clock,
            traits=traits,
            traits_by_peer=instances.traits_by_peer,
            tasks=self._tasks,
        )
        share_loads(
            broadcast, self.loads, lambda endpoint_id: self.registry.get(endpoint_id) is not None
        )
        share_evidence(broadcast, self.releases)
        share_sessions(broadcast, self.releases.sessions)
        share_crashes(broadcast, self.crashes)
        share_part_crashes(broadcast, self.crashing_parts)
        share_path_state(broadcast, self.paths)
        share_era(broadcast, self.store.era)
        share_limits(
            broadcast, self.limits, lambda endpoint_id: self.registry.get(endpoint_id) is not None
        )
        share_limits(
            broadcast,
            self.tolerances,
            lambda endpoint_id: self.registry.get(endpoint_id) is not None,
        )
        share_leaving(
            broadcast,
            self.availability,
            lambda endpoint_id: self.registry.get(endpoint_id) is not None,
        )
        serve_permits(link, self.permit_issuer)
        serve_admissions(link, self.admission_counter)
        return link, instances

    def _make_leaving(self) -> LeavingShares | None:
        """Returns what decides which requests leave the data centre; None for a fixed price."""
        price = self.settings.placement.leaving_price_ms_per_kb
        return None if price is None else LeavingShares(self.clock, self.rng, price)

    def _make_page_connections(self) -> ConnectionTable:
        """Returns the connections of a listener for pages."""
        return ConnectionTable(
            self.held_memory, self.settings.max_page_connections, PAGE_CONNECTION_BYTES
        )

    def _make_context(self) -> Context:
        return Context(
            clock=self.clock,
            rng=self.rng,
            paths=self.paths,
            dialect=self._deployment.dialect,
            table=self.table,
            registry=self.registry,
            loads=self.loads,
            budget=self.budget,
            crashes=self.crashes,
            crashing_parts=self.crashing_parts,
            limits=self.limits,
            availability=self.availability,
            evacuations=self.evacuations,
            regions_by_data_centre=self.settings.regions,
            accepts=self._accepts,
            tolerances=self.tolerances,
            admissions=self.admissions,
            permits=self.permits,
            held_memory=self.held_memory,
            planned_stop=lambda: self.planned_stop,
            tasks=self._tasks,
            select_endpoints=self.releases.select_endpoints,
            sessions=self.releases.sessions,
            store_age_ms=self.store.age_ms,
            knowledge_age_ms=self.knowledge_age_ms,
            confirm_knowledge=self._confirm_knowledge,
            open_sends=self.releases.evidence.open_sends,
            on_send=self._record_send,
            on_send_abandoned=self.releases.record_abandoned,
            on_tunnelled_head=self._notify_tunnel_peer,
            on_request_end=self.metrics.record_request,
            on_error_reply=self.metrics.record_error_reply,
        )

    def knowledge_age_ms(self) -> int | None:
        """Returns the age of what is known of the store; None before the first list."""
        return self.knowledge.age_ms() if self.knowledge is not None else None

    async def _confirm_knowledge(self) -> bool:
        return self.knowledge is not None and await self.knowledge.confirm()

    def _record_send(self, observation: SendObservation) -> None:
        self.releases.record_send(observation)
        self.metrics.record_send(observation)

    def _caller_limits(self) -> CallerLimits:
        configuration = self.table.configuration
        return configuration.limits if configuration else CallerLimits()

    def _write_refusal(self, error: MastickeelError) -> tuple[int, dict[str, str], bytes]:
        return self._deployment.dialect.write_error(error, "")

    def _make_knowledge(self, handler: WatchHandler) -> StoreKnowledge:
        """Creates the knowledge of the store; one watch for all keys, as each call is billed."""
        deployment = self._deployment
        fleet = None
        if self._link is not None and self.settings.peers is not None:
            instance = self.settings.instance
            own = Member(instance.id, instance.data_centre, self.settings.peers.link_mbps)
            fleet = FleetAccess(self._link, own, self._list_members)
        return StoreKnowledge(
            deployment.store,
            handler,
            clock=self.clock,
            rng=self.rng,
            tasks=self._tasks,
            max_age_ms=self.settings.knowledge.max_age_ms,
            fleet=fleet,
        )

    def _list_members(self) -> list[Member]:
        """Returns the connected peers that exchange changes of the store."""
        if self._link is None or self._instances is None:
            return []
        traits_by_peer = self._instances.traits_by_peer
        return [
            Member(peer, traits.data_centre, traits.link_mbps)
            for peer in self._link.peer_ids
            if (traits := traits_by_peer.get(peer)) is not None and traits.exchanges_changes
        ]

    def _make_operator_handler(self) -> WatchHandler:
        def on_list(items: tuple[KeyValue, ...], revision: int) -> None:
            for item in items:
                self._apply_operator_item(item)
            present_services = {self._deployment.parse_order_key(item.key) for item in items}
            self.releases.retain_orders(present_services)
            evacuated = {self._deployment.parse_evacuation_key(item.key) for item in items}
            self.evacuations.retain(evacuated, revision)

        def on_delete(key: str, revision: int) -> None:
            self._lost_writes.remove_value(key)
            if service := self._deployment.parse_order_key(key):
                self.releases.remove_order(service)
            if data_centre := self._deployment.parse_evacuation_key(key):
                self.evacuations.remove(data_centre, revision)

        def on_new_era() -> None:
            self.releases.begin_era()
            self.evacuations.begin_era()

        return WatchHandler(on_list, self._apply_operator_item, on_delete, on_new_era=on_new_era)

    def _apply_operator_item(self, item: KeyValue, *, is_kept: bool = False) -> None:
        """Applies a value of the operator; logs and ignores an unusable one."""
        try:
            value = self._deployment.read_operator_item(item)
            is_in_force = False
            if isinstance(value, RoutingConfiguration):
                is_in_force = self.table.install(value, item.mod_revision)
            elif isinstance(value, ReleaseOrder):
                is_in_force = self.releases.apply_order(value, is_kept=is_kept)
            elif isinstance(value, EvacuationOrder):
                is_in_force = self.evacuations.apply(value, is_kept=is_kept)
        except MastickeelError as error:
            _log_ignored(item, error)
            return
        if is_in_force:
            self._lost_writes.record_value(item)

    def _apply_lost_writes(self, kept: KeptWrites, is_listed: bool) -> None:
        """Applies what another instance has kept from before the store lost its newest writes."""
        self.releases.record_replaced(self._read_orders(kept.replaced))
        for item in kept.items:
            self._apply_operator_item(_make_item(item), is_kept=True)
        if is_listed:
            self.releases.begin_era()
            self.evacuations.begin_era()
            self.registry.begin_era()
        self.registry.record_ended(kept.ended_starts_by_id)

    def _read_orders(self, items: Iterable[KeptItem]) -> list[ReleaseOrder]:
        """Returns the orders of releases among kept values."""
        orders = []
        for item in items:
            try:
                value = self._deployment.read_operator_item(_make_item(item))
            except MastickeelError as error:
                _log_ignored(_make_item(item), error)
                continue
            if isinstance(value, ReleaseOrder):
                orders.append(value)
        return orders

    def _make_entry_handler(self) -> WatchHandler:
        registry, deployment = self.registry, self._deployment

        def on_list(items: tuple[KeyValue, ...], revision: int) -> None:
            records, written_since = [], set()
            for item in items:
                try:
                    record = deployment.read_entry(item.key, item.value)
                except MastickeelError as error:
                    _log_ignored(item, error)
                    continue
                records.append(record)
                if self._lost_writes.was_written_since(item):
                    written_since.add(record.id)
            registry.replace(records, revision, written_since)

        def on_put(item: KeyValue) -> None:
            try:
                registry.put(deployment.read_entry(item.key, item.value), item.mod_revision)
            except MastickeelError as error:
                _log_ignored(item, error)
                registry.remove(deployment.parse_entry_key(item.key), item.mod_revision)

        def on_delete(key: str, revision: int) -> None:
            registry.remove(deployment.parse_entry_key(key), revision)

        return WatchHandler(
            on_list,
            on_put,
            on_delete,
            registry.begin_outage,
            registry.end_outage,
            registry.begin_era,
        )


def _make_item(item: KeptItem) -> KeyValue:
    """Returns a kept value as an item of the store."""
    return KeyValue(item.key, item.value, item.revision, 0, 0)


def _log_ignored(item: KeyValue, error: MastickeelError) -> None:
    """Logs a value that was ignored; the error may quote a part of it."""
    detail = error.detail[:MAX_LOGGED_ERROR]
    log(VALUE_IGNORED, key=item.key, revision=item.mod_revision, error=detail)

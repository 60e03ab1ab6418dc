"""One gateway: the slices put together, started, drained and stopped."""

from __future__ import annotations

import math
import random
from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel import events
from mastickeel.errors import MastickeelError
from mastickeel.events import define_event
from mastickeel.httpclient import HttpClient
from mastickeel.logs import log
from mastickeel.metrics import Metrics
from mastickeel.peers import PeerLink
from mastickeel.rendezvous import rank
from mastickeel.tasks import TaskGroup
from mastickeel_router.discovery import EndpointRegistry, follow_prefix
from mastickeel_router.discovery.feeds import WatchHandler, combine_handlers
from mastickeel_router.fleet import (
    InstanceDirectory,
    share_crashes,
    share_evidence,
    share_loads,
    share_sessions,
)
from mastickeel_router.gateway.counted import CountedStore
from mastickeel_router.gateway.figures import PATH as FIGURES_PATH
from mastickeel_router.gateway.figures import Figures
from mastickeel_router.gateway.pages import Page, PageListener
from mastickeel_router.placement import EndpointLoads
from mastickeel_router.quarantine.reports import CrashReports
from mastickeel_router.relay import CallerListener, Dispatcher
from mastickeel_router.relay.budget import RetryBudget
from mastickeel_router.relay.context import Context
from mastickeel_router.releases import ReleaseOrder, Releases
from mastickeel_router.routes import CallerLimits, RouteTable, RoutingConfiguration

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel._kvtypes import KeyValue
    from mastickeel.addresses import Address
    from mastickeel.clock import Clock
    from mastickeel_router.gateway.deployment import Deployment
    from mastickeel_router.gateway.settings import GatewaySettings
    from mastickeel_router.relay.context import SendObservation

START_WAIT_MS = 1_500
"""How long callers are not listened to while nothing can be served: a refused connection is tried
elsewhere at once. Later they get an answer that says when to come back."""
START_CHECK_MS = 5
EVERYTHING = ""
"""The prefix of all keys."""
IDLE_CHECK_MS = 50
"""How often a stop looks whether the open requests have ended."""
QUIET_MS = 200
"""How long none may have been open before the process ends: a connection that was accepted last
may still bring its first request."""

VALUE_IGNORED = define_event(
    2350, "value_ignored", "warning", "A value of the store cannot be read; it changes nothing."
)
FIGURES_NOT_SERVED = define_event(
    2351, "figures_not_served", "error", "The metrics address is taken; choose another."
)


class Gateway:
    """All that one instance runs."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        make_deployment: Callable[[HttpClient], Deployment],
        seed: int | None = None,
    ) -> None:
        """Makes a gateway, which does nothing until it is started.

        Args:
            settings: Checked settings.
            clock: Times everything in it.
            make_deployment: Makes the adapter to the systems around it.
            seed: Makes its random draws repeatable; None for fresh ones.
        """
        self.settings = settings
        """What it runs with."""
        self.clock = clock
        """What times everything in it."""
        self.draw = random.Random(seed)
        """Its random numbers."""
        self.http = HttpClient(clock)
        """Its connections to endpoints and the store."""
        self.table = RouteTable()
        """Routes and keys in force."""
        self.registry = EndpointRegistry(clock)
        """The endpoints that live."""
        self.loads = EndpointLoads(clock, self.draw, settings.instance.data_centre)
        """What its own sends have shown of them."""
        self.budget = RetryBudget(clock, settings.repeats)
        """What it may still send a second time."""
        self.crashes = CrashReports(clock, self._is_trier)
        """The contents that crashed endpoints."""
        self.leaving = False
        """Whether a stop has begun."""
        self.callers_port = 0
        """Where it serves callers, once started."""
        self.health_port = 0
        """Where it answers health checks, once started."""
        self.metrics_port = 0
        """Where it serves figures, once started; 0 for nowhere."""
        self._tasks = TaskGroup()
        self.figures = Figures()
        """What it counts."""
        deployment = make_deployment(self.http)
        self._store = CountedStore(deployment.store, clock, self.figures.note_store_call)
        self._deployment = replace(deployment, store=self._store)
        self.releases = Releases(
            self._deployment,
            instance_id=settings.instance.id,
            prefix=settings.store.prefix,
            clock=clock,
            session_gap_ms=settings.sessions.gap_ms,
        )
        """Which versions requests may run on while a release is under way."""
        self._link, self._instances = self._make_fleet()
        self.registry.on_lifetime_end.append(self.loads.reset_endpoint)
        self.table.on_change.append(lambda new: self._listener.apply_limits(new.limits))
        self._watch_figures()
        self._figures_listener = PageListener(FIGURES_PATH, self.figures.page)
        self._dispatcher = Dispatcher(self._context())
        self._listener = CallerListener(self._dispatcher.serve, self._write_refusal, self._limits)
        self._health = PageListener(settings.health.path, lambda: Page(200 if self.ready else 503))

    @property
    def ready(self) -> bool:
        """Whether it takes new connections."""
        return self._knows_enough and not self.leaving

    @property
    def _knows_enough(self) -> bool:
        """Whether what it serves with has been read from the store."""
        loaded = self.table.configuration is not None and self.registry.loaded
        return loaded and self.releases.ready

    async def start(self) -> None:
        """Opens the listeners and begins to follow the store."""
        deployment = self._deployment
        readers_by_prefix = {
            deployment.operator_prefix: self._operator_reader(),
            deployment.entries_prefix: self._entry_reader(),
            self.releases.plans_prefix: self.releases.plan_handler(),
            self.releases.duties_prefix: self.releases.duty_handler(),
        }
        if self._link is not None and self._instances is not None and self.settings.peers:
            await self._link.bind(self.settings.peers.listen)
            self._tasks.start_supervised(self.clock, "register", self._instances.keep_registered)
            self._tasks.start_supervised(self.clock, "tell crashes", self.crashes.run_resending)
            readers_by_prefix[self._instances.entries_prefix] = self._instances.entry_handler()
        self._follow(combine_handlers(readers_by_prefix))
        for name, work in self.releases.work_by_name().items():
            self._tasks.start_supervised(self.clock, name, work)
        self.health_port = self._health.listen(self.settings.health.listen)
        if self.settings.metrics is not None:
            self._listen_for_figures(self.settings.metrics.listen)
        until_ms = self.clock.now() + START_WAIT_MS
        while not self._knows_enough and self.clock.now() < until_ms:
            await self.clock.sleep(START_CHECK_MS)
        self.callers_port = self._listener.listen(self.settings.callers.listen)
        log(events.STARTED, callers=self.callers_port, health=self.health_port)

    def _listen_for_figures(self, address: Address) -> None:
        """Serves figures; requests are served also where their port is taken."""
        try:
            self.metrics_port = self._figures_listener.listen(address)
        except OSError as error:
            log(FIGURES_NOT_SERVED, address=str(address), error=str(error))

    def apply(self, settings: GatewaySettings) -> None:
        """Takes changed settings; listeners and the store's address stay until a restart."""
        self.settings = settings
        self.budget.limits = settings.repeats
        self.releases.sessions.gap_ms = settings.sessions.gap_ms

    async def drain(self) -> None:
        """Takes no new connections, and waits for the open requests while there is time."""
        stop = self.settings.stop
        until_ms = self.clock.now() + stop.grace_ms - stop.reserve_ms
        self.leaving = True
        log(events.STOPPING, open_requests=self._listener.open_requests)
        self._listener.disable_keep_alive()
        # Beside the rest: a store that does not answer must not take up the grace.
        self._tasks.start(self.releases.release_duty())
        await self.clock.sleep(min(stop.leave_ms, until_ms - self.clock.now()))
        self._listener.stop()
        quiet_since_ms = self.clock.now()
        while (now := self.clock.now()) < until_ms:
            self._listener.close_idle()
            if self._listener.open_requests:
                quiet_since_ms = now
            elif now - quiet_since_ms >= QUIET_MS:
                break
            await self.clock.sleep(IDLE_CHECK_MS)

    async def stop(self) -> None:
        """Closes everything at once."""
        open_requests = self._listener.open_requests
        await self._listener.close()
        await self._health.close()
        await self._figures_listener.close()
        await self._tasks.stop()
        await self.http.close()
        if self._link is not None:
            await self._link.close()
        log(events.STOPPED, cut_requests=open_requests)

    def _is_trier(self, content: int) -> bool:
        """Whether this instance, of all that live, tries a refused content again."""
        myself = self.settings.instance.id
        others = self._link.peer_ids if self._link is not None else ()
        return rank(str(content), (myself, *others))[0] == myself

    def _make_fleet(self) -> tuple[PeerLink | None, InstanceDirectory | None]:
        """Makes the link to the other instances, if the settings say where it listens."""
        settings = self.settings
        if settings.peers is None:
            return None, None
        link = PeerLink(settings.instance.id, clock=self.clock, metrics=Metrics())
        share_loads(
            link, self.loads, lambda endpoint_id: self.registry.get(endpoint_id) is not None
        )
        share_evidence(link, self.releases)
        share_sessions(link, self.releases.sessions)
        share_crashes(link, self.crashes)
        instances = InstanceDirectory(
            self._deployment.store,
            link,
            prefix=settings.store.prefix,
            host=settings.peers.listen.host,
            clock=self.clock,
        )
        return link, instances

    def _context(self) -> Context:
        return Context(
            clock=self.clock,
            rng=self.draw,
            client=self.http,
            dialect=self._deployment.dialect,
            table=self.table,
            registry=self.registry,
            loads=self.loads,
            budget=self.budget,
            crashes=self.crashes,
            tasks=self._tasks,
            select_endpoints=self.releases.select_endpoints,
            sessions=self.releases.sessions,
            store_age_ms=self._store.age_ms,
            on_send=self._observe,
            on_request_end=self.figures.note_request,
            on_error_reply=self.figures.note_unserved,
        )

    def _observe(self, seen: SendObservation) -> None:
        self.releases.record_send(seen)
        self.figures.note_send(seen)

    def _watch_figures(self) -> None:
        """Serves what is not counted but read when it is asked for."""
        figures = self.figures
        figures.watch("open_requests", "Requests under way", lambda: self._listener.open_requests)
        figures.watch("endpoints", "Endpoints known", lambda: len(self.registry.all()))
        figures.watch("ready", "Whether new connections are taken", lambda: self.ready)
        figures.watch(
            "routes_version",
            "Version of the configuration in force",
            lambda: self.table.version,
        )
        figures.watch("release_share", "The largest of a release", lambda: self.releases.share)
        figures.watch(
            "leads_releases", "Whether it moves releases on", lambda: self.releases.is_leader
        )
        figures.watch("repeats_paid", "Repeats since the start", lambda: self.budget.granted)
        figures.watch("repeats_refused", "Repeats not paid for", lambda: self.budget.refused)
        figures.watch("store_silent_seconds", "Since the store last answered", self._silent_s)

    def _silent_s(self) -> float:
        """Returns how old the newest word of the store is, in seconds; infinite before any."""
        age_ms = self._store.age_ms()
        return math.inf if age_ms is None else age_ms / 1_000

    def _limits(self) -> CallerLimits:
        configuration = self.table.configuration
        return configuration.limits if configuration else CallerLimits()

    def _write_refusal(self, error: MastickeelError) -> tuple[int, dict[str, str], bytes]:
        return self._deployment.dialect.write_refusal(error, "")

    def _follow(self, reader: WatchHandler) -> None:
        """Keeps following the store; one watch serves all, as each call is paid for."""
        store = self._deployment.store
        self._tasks.start_supervised(
            self.clock,
            "follow the store",
            lambda: follow_prefix(store, EVERYTHING, reader, clock=self.clock, rng=self.draw),
        )

    def _operator_reader(self) -> WatchHandler:
        def on_list(items: tuple[KeyValue, ...], revision: int) -> None:
            for item in items:
                self._take_operator_item(item)
            present = {self._deployment.order_of_key(item.key) for item in items}
            self.releases.retain_orders(present)

        def on_delete(key: str, revision: int) -> None:
            if service := self._deployment.order_of_key(key):
                self.releases.remove_order(service)

        return WatchHandler(on_list, self._take_operator_item, on_delete)

    def _take_operator_item(self, item: KeyValue) -> None:
        """Takes what the operator wrote under one key."""
        try:
            read = self._deployment.read_operator_item(item)
        except MastickeelError as error:
            log(VALUE_IGNORED, key=item.key, revision=item.mod_revision, error=error.detail)
            return
        if isinstance(read, RoutingConfiguration):
            self.table.install(read, item.mod_revision)
        elif isinstance(read, ReleaseOrder):
            self.releases.apply_order(read)

    def _entry_reader(self) -> WatchHandler:
        registry, deployment = self.registry, self._deployment

        def on_list(items: tuple[KeyValue, ...], revision: int) -> None:
            records = []
            for item in items:
                try:
                    records.append(deployment.read_entry(item.key, item.value))
                except MastickeelError as error:
                    log(VALUE_IGNORED, key=item.key, revision=revision, error=error.detail)
            registry.replace(records, revision)

        def on_put(item: KeyValue) -> None:
            try:
                registry.put(deployment.read_entry(item.key, item.value), item.mod_revision)
            except MastickeelError as error:
                log(VALUE_IGNORED, key=item.key, revision=item.mod_revision, error=error.detail)
                registry.remove(deployment.endpoint_of_key(item.key), item.mod_revision)

        def on_delete(key: str, revision: int) -> None:
            registry.remove(deployment.endpoint_of_key(key), revision)

        return WatchHandler(on_list, on_put, on_delete, registry.begin_outage, registry.end_outage)

"""The router of one instance: assembly, start, drain and stop."""

from __future__ import annotations

import contextlib
import random
import resource
from typing import TYPE_CHECKING, Any

from mastickeel import events
from mastickeel.errors import StoreError
from mastickeel.events import define_event
from mastickeel.httpclient import HttpClient
from mastickeel.keyvalue import KeyValueClient
from mastickeel.logs import log
from mastickeel.metrics import Metrics
from mastickeel.model import Operator, Role
from mastickeel.peers import PeerLink
from mastickeel.tasks import TaskGroup
from mastickeel_router import callers, operators
from mastickeel_router.admission import (
    AccountLimits,
    AdmissionGate,
    CeilingCoordinator,
    Ceilings,
    ConcurrencyLimit,
    CostEstimates,
    FairQueue,
)
from mastickeel_router.billing import BillLedger
from mastickeel_router.callers.state import AccountIndex
from mastickeel_router.choice import ChoiceService
from mastickeel_router.control import ControlPlane, InstanceIdentity
from mastickeel_router.dispatch import ChatDispatcher, EndpointTable, ServiceDispatcher
from mastickeel_router.dispatch.intents import IntentTable
from mastickeel_router.listeners import RequestListener
from mastickeel_router.listeners.applications import make_tls_context, serve_with
from mastickeel_router.listeners.connections import (
    ConnectionTable,
    count_caller_connections,
    count_page_connections,
)
from mastickeel_router.listeners.listener import CONNECTION_BYTES, TLS_BYTES
from mastickeel_router.listeners.memory import HeldMemory
from mastickeel_router.operators.fleet_tables import FleetTables
from mastickeel_router.overview import OverviewSources, register_overview_tables
from mastickeel_router.quarantine.guard import Quarantine
from mastickeel_router.rollouts import EngineOrders, RolloutService
from mastickeel_router.routes import CallerLimits
from mastickeel_router.tables import Catalogue
from mastickeel_router.web import measure_json_work, write_refusal

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from tornado.web import Application

    from mastickeel.clock import Clock
    from mastickeel.model import Endpoint, View
    from mastickeel.settings import AdminSettings, CallersSettings, Settings
    from mastickeel_router.listeners import RequestHead
    from mastickeel_router.membership import Members
    from mastickeel_router.requests import Outcome

BILLS_TIMEOUT_MS = 60_000
"""Limit on the wait for the store or two peers to accept the last bills during a stop."""
HEADER_BYTES = 16_384
"""Maximum size of a request's headers."""
IDLE_TIMEOUT_MS = 300_000
"""Time for which a connection may be idle, or be silent in a request or an answer."""
LINGER_MS = 1_000
"""Time after the last request for which callers' open connections still get an answer."""

LISTED_AS_LEAVING = define_event(
    1009,
    "listed_as_leaving",
    "info",
    "The platform lists this instance as leaving; it accepts no new work.",
)


class Router:
    """One router instance with all its parts."""

    def __init__(self, settings: Settings, clock: Clock, seed: int | None = None) -> None:
        """Creates a router, which does nothing until it is started.

        Args:
            settings: Checked settings.
            clock: Times all parts of the router.
            seed: Seed of the random numbers; None for an unpredictable one.
        """
        self.settings = settings
        """The checked settings."""
        self.clock = clock
        """The clock of all parts."""
        self.metrics = Metrics(settings.metrics.statsd, settings.metrics.prefix)
        """The metrics of all parts."""
        self.rng = random.Random(seed)
        """Source of random numbers."""
        self.http = HttpClient(clock)
        """HTTP connections to endpoints and the platform."""
        self.tasks = TaskGroup()
        """The background tasks."""
        self.callers_port = 0
        """Port for callers; 0 before the start."""
        self.admin_port = 0
        """Port for operators; 0 before the start."""
        self.held_memory = HeldMemory(clock, settings.memory.held_bytes)
        """Memory that callers, operators and endpoints make this instance hold."""
        self._listeners: list[RequestListener] = []
        self._is_stopped = False
        self._make_clients()
        self._make_parts()

    def _make_clients(self) -> None:
        """Creates the store client and the link to the peers."""
        settings = self.settings
        self.store = KeyValueClient(
            self.http,
            settings.store.urls,
            clock=self.clock,
            timeout_ms=settings.store.timeout_ms,
            calls_per_second=settings.store.calls_per_second,
            name=settings.instance.id,
        )
        peers = settings.peers
        self.link = PeerLink(
            settings.instance.id,
            clock=self.clock,
            metrics=self.metrics,
            secret=peers.key.read() if peers.key else None,
            other_secret=peers.other_key.read() if peers.other_key else None,
        )

    def _make_parts(self) -> None:
        """Creates the parts; each may use the parts created before it."""
        prefix = self.settings.store.prefix
        instance = self.settings.instance
        self.control = ControlPlane(
            InstanceIdentity(instance.id, instance.data_centre, instance.region),
            store=self.store,
            prefix=prefix,
            link=self.link,
            clock=self.clock,
            rng=self.rng,
        )
        self.control.on_local_leaving.append(self._on_local_leaving)
        self.configuration = self.control.configuration
        self.writer = self.control.writer
        self.ledger = BillLedger(
            self.store,
            prefix,
            instance_id=self.settings.instance.id,
            clock=self.clock,
            link=self.link,
            members=lambda: self.members,
            metrics=self.metrics,
        )
        self.gate = self._make_gate()
        self.quarantine = Quarantine(
            link=self.link,
            members=lambda: self.members,
            http=self.http,
            clock=self.clock,
            rng=self.rng,
        )
        self.rollouts = RolloutService(
            self.settings,
            clock=self.clock,
            rng=self.rng,
            link=self.link,
            store=self.store,
            configuration=self.configuration,
            writer=self.writer,
            is_candidate=lambda: not self.members.local_member.leaving,
        )
        self.choice = ChoiceService(
            self.settings,
            clock=self.clock,
            rng=self.rng,
            http=self.http,
            link=self.link,
            metrics=self.metrics,
            configuration=self.configuration,
            members=lambda: self.members,
            rollouts=self.rollouts.participant,
        )
        self.chooser = self.choice.chooser
        self.choice.reader.on_rating = self.rollouts.controller.on_rating
        self.engine_orders = EngineOrders(
            self.http,
            self.clock,
            pools=self.settings.pools,
            configuration=lambda: self.configuration.view.committed,
            fencing=lambda: self.rollouts.duty.fencing_token,
        )
        self.rollouts.duty_tasks.append(self.engine_orders.run)
        if self.settings.platform.ratings:
            self.rollouts.duty_tasks.append(self.choice.reader.run)
        self.endpoints = EndpointTable(
            self.rng,
            lambda endpoint_id: self.members.is_leaving(endpoint_id),
            clock=self.clock,
            instance_id=self.settings.instance.id,
            metrics=self.metrics,
        )
        fresh_view = self.configuration.fresh_view
        self.chat = ChatDispatcher(
            self.http,
            self.endpoints,
            fresh_view,
            self._on_outcome,
            metrics=self.metrics,
            memory=self.held_memory,
            tasks=self.tasks,
            guard=self.quarantine.guard,
        )
        self.services = ServiceDispatcher(self.http, self.endpoints, fresh_view)
        self.intents = IntentTable(self.store, prefix, clock=self.clock, tasks=self.tasks)
        self.catalogue = Catalogue()
        self.fleet_tables = FleetTables(self.link, lambda: self.members)
        register_overview_tables(self._overview_sources())
        self.choice.register_tables(self.catalogue)
        self.rollouts.register_tables(self.catalogue)

    def _make_gate(self) -> AdmissionGate:
        """Creates the admission gate with its limits, ceilings and queue."""

        def instance_count() -> int:
            return len(self.members.live()) + 1

        def view() -> View:
            return self.configuration.view

        self.limits = AccountLimits(
            link=self.link, members=lambda: self.members, view=view, clock=self.clock
        )
        coordinator = CeilingCoordinator(
            self.store,
            self.settings.store.prefix,
            view=view,
            clock=self.clock,
            rng=self.rng,
            instance_count=instance_count,
        )
        self.ceilings = Ceilings(
            coordinator,
            holder=self.ledger.journal.source,
            link=self.link,
            members=lambda: self.members,
            clock=self.clock,
        )
        capacity = ConcurrencyLimit(
            view, instance_count, lambda endpoint_id: self.members.is_leaving(endpoint_id)
        )
        return AdmissionGate(
            view=view,
            clock=self.clock,
            limits=self.limits,
            ceilings=self.ceilings,
            queue=FairQueue(self.clock, self.rng, capacity.max_running),
            capacity=capacity,
            estimates=CostEstimates(),
            check_billing_capacity=self.ledger.check_capacity,
        )

    def _engine_subset(self) -> list[Endpoint]:
        """Returns the subset of engines that this instance uses."""
        return self.endpoints.engine_subset(self.configuration.view)

    def _on_outcome(self, outcome: Outcome) -> None:
        """Passes the outcome of a run to the chooser, the admission gate and the rollouts."""
        self.chooser.observe(outcome)
        self.gate.observe(outcome)
        self.rollouts.participant.observe(outcome)

    async def start(self) -> None:
        """Loads the configuration, opens the listeners, and joins the fleet."""
        await self.link.bind(self.settings.peers.listen)
        self.tasks.start(self.metrics.run(self.clock))
        settings = self.settings
        await self.control.start(settings.peers.listen.host, self.http, settings.platform.instances)
        for name, task in self._background_tasks_by_name().items():
            self.tasks.start_supervised(self.clock, name, task)
        self.callers_port = self._listen_for_callers()
        self.admin_port = self._listen_for_operators()
        log(events.STARTED, callers=self.callers_port, admin=self.admin_port, peers=self.link.port)

    def _background_tasks_by_name(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Returns the background tasks of the parts, by name."""
        return {
            "loads": lambda: self.endpoints.loads.poll(self.http, self._engine_subset),
            "caches": lambda: self.endpoints.caches.follow(self._engine_subset),
            "bills": self.ledger.run,
            "admission": self.gate.run_idle_release,
            "slots": self.limits.run_slot_renewal,
            "quarantine": self.quarantine.run_crash_copying,
            **self.choice.work_by_name(),
            **self.rollouts.work_by_name(),
        }

    def _on_local_leaving(self) -> None:
        """Closes the gate after the platform has listed this instance as leaving."""
        if self.gate.stop_requested:
            return
        log(LISTED_AS_LEAVING, open_requests=self.gate.open_requests)
        self.gate.stop_requested = True
        self.tasks.start(self._close_gate())

    async def _close_gate(self) -> None:
        """Refuses new work after the balancer has had time to stop sending requests here."""
        await self.clock.sleep(self.settings.shutdown.leave_ms)
        self.gate.refuses_requests = True

    async def drain(self) -> None:
        """Refuses new work and waits for the open requests, up to the drain timeout."""
        log(events.STOPPING, open_requests=self.gate.open_requests)
        self.gate.stop_requested = True
        with contextlib.suppress(StoreError):
            await self.members.announce_leaving()
        await self.choice.sessions.transfer_records()
        await self.rollouts.duty.release()
        await self._close_gate()
        with contextlib.suppress(TimeoutError):
            await self.clock.wait_for(
                self.gate.wait_until_drained(), self.settings.shutdown.drain_ms
            )

    async def close_gracefully(self) -> None:
        """Flushes the last bills to the store or two peers, then lets open connections end."""
        await self.gate.close()
        await self.ledger.close(BILLS_TIMEOUT_MS)
        for listener in self._listeners:
            listener.stop()
        # Requests on kept-alive connections are still refused as "not run" for LINGER_MS. If the
        # connection closed under a request, its caller could not tell whether the request ran.
        await self.clock.sleep(LINGER_MS)

    async def stop(self) -> None:
        """Stops all parts at once; a second call does nothing."""
        if self._is_stopped:
            return
        self._is_stopped = True
        for listener in self._listeners:
            listener.stop()
        await self.control.leave_fleet()
        await self.control.stop()
        await self.tasks.stop()
        await self.ledger.abandon()
        for listener in self._listeners:
            await listener.close()
        await self.http.close()
        await self.link.close()
        self.metrics.flush()
        log(events.STOPPED)

    @property
    def members(self) -> Members:
        """The other instances; available once this router is started."""
        return self.control.members

    def _overview_sources(self) -> OverviewSources:
        return OverviewSources(
            catalogue=self.catalogue,
            fleet_tables=self.fleet_tables,
            members=lambda: self.members,
            configuration=self.configuration,
            gate=self.gate,
            endpoints=self.endpoints,
            rollouts=self.rollouts,
            quarantine=self.quarantine,
            control=self.control,
            ledger=self.ledger,
        )

    def _listen_for_callers(self) -> int:
        """Opens the callers' listener and returns its port."""
        settings = self.settings.callers
        state = callers.CallersState(
            clock=self.clock,
            metrics=self.metrics,
            configuration=self.configuration,
            gate=self.gate,
            chooser=self.chooser,
            chat=self.chat,
            services=self.services,
            ledger=self.ledger,
            accounts=AccountIndex(),
            intents=self.intents,
            held_memory=self.held_memory,
        )
        return self._listen(
            callers.make_application(state),
            settings,
            body_bytes=settings.body_limit_bytes,
            max_connections=count_caller_connections(_read_descriptors()),
            wants_body=lambda head: callers.wants_body(state, head),
            measure_work=callers.measure_work,
        )

    def _listen_for_operators(self) -> int:
        """Opens the operators' listener and returns its port."""
        configured_operators = tuple(
            Operator(entry.id, entry.token_sha256, Role(entry.role))
            for entry in self.settings.operators
        )
        state = operators.OperatorsState(
            instance_id=self.settings.instance.id,
            clock=self.clock,
            configuration=self.configuration,
            writer=self.writer,
            gate=self.gate,
            catalogue=self.catalogue,
            audit=self.control.audit,
            ledger=self.ledger,
            settings_operators=configured_operators,
        )
        return self._listen(
            operators.make_application(state),
            self.settings.admin,
            body_bytes=operators.MAX_BODY_BYTES,
            max_connections=count_page_connections(_read_descriptors()),
            wants_body=lambda head: operators.wants_body(state, head),
            measure_work=measure_json_work,
        )

    def _listen(
        self,
        application: Application,
        settings: CallersSettings | AdminSettings,
        *,
        body_bytes: int,
        max_connections: int,
        wants_body: Callable[[RequestHead], bool],
        measure_work: Callable[[RequestHead, bytearray], int],
    ) -> int:
        """Opens a listener that closes with the router, and returns its port."""
        limits = CallerLimits(HEADER_BYTES, body_bytes, idle_timeout_ms=IDLE_TIMEOUT_MS)
        tls = make_tls_context(settings.tls)
        connection_bytes = CONNECTION_BYTES + (TLS_BYTES if tls else 0)
        listener = RequestListener(
            serve_with(application),
            write_refusal,
            lambda: limits,
            wants_body=wants_body,
            connections=ConnectionTable(self.held_memory, max_connections, connection_bytes),
            measure_work=measure_work,
        )
        port = listener.listen(settings.listen, tls)
        self._listeners.append(listener)
        self.tasks.start_supervised(
            self.clock, f"sweep {port}", lambda: listener.run_sweeps(self.clock)
        )
        return port


def _read_descriptors() -> int:
    """Returns the number of file descriptors that this process may use."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]

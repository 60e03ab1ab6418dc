"""Carries releases out: this instance's part in each, and the duty of leading them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec
import xxhash

from mastickeel.errors import StoreError
from mastickeel.events import define
from mastickeel.keyvalue import Put
from mastickeel.logs import log
from mastickeel_router.discovery.feeds import WatchHandler
from mastickeel_router.duties import Duty, DutyTiming
from mastickeel_router.relay.policy import SendOutcome
from mastickeel_router.releases.decision import VersionComparison, advance_plan
from mastickeel_router.releases.model import (
    EvidenceReport,
    ReleaseOrder,
    ReleasePlan,
    ReleaseState,
)
from mastickeel_router.releases.pace import PaceBaseline
from mastickeel_router.releases.sessions import SessionVersions
from mastickeel_router.sequential import Block

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Sequence
    from typing import Any

    from mastickeel._kvtypes import KeyValue
    from mastickeel.clock import Clock
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.gateway.deployment import Deployment
    from mastickeel_router.relay.context import SendObservation
    from mastickeel_router.relay.types import CallerRequest

DUTY_TIMING = DutyTiming(ttl_seconds=3, renew_interval_ms=800, campaign_interval_ms=1_800)
"""A holder that is lost is replaced within five seconds, under half of the shortest release."""
LEAD_INTERVAL_MS = 800
"""How often the holder weighs the evidence."""
REPORT_INTERVAL_MS = 700
"""How often an instance tells what it has seen, if that has changed."""
HASH_SPAN = float(1 << 64)
SESSION_MOVE_FROM = 0.55
"""The part of a release before which no session moves to the target: a little over its half."""

ORDER_TAKEN = define(2360, "release_ordered", "info", "The operator ordered a release.")
PLAN_TAKEN = define(2361, "release_plan", "info", "A release's share or state has changed.")
PLAN_WRITTEN = define(2362, "release_plan_written", "info", "The duty's holder wrote a plan.")
ROUND_FAILED = define(
    2364,
    "release_round_failed",
    "warning",
    "A release's step did not reach the store; tried again.",
)
PLAN_UNREADABLE = define(
    2363, "release_plan_unreadable", "warning", "A release's plan cannot be read; it is ignored."
)


class Releases:
    """All releases as this instance knows them."""

    def __init__(
        self,
        deployment: Deployment,
        *,
        instance_id: str,
        prefix: str,
        clock: Clock,
        session_gap_ms: int,
    ) -> None:
        """Makes it without any release.

        Args:
            deployment: Gives the store and tells the operator.
            instance_id: This instance.
            prefix: What its keys begin with.
            clock: Times stages and sessions.
            session_gap_ms: How long a session is remembered after a request.
        """
        self._deployment = deployment
        self._store = deployment.store
        self._instance_id = instance_id
        self.plans_prefix = f"{prefix}/releases/"
        """What the keys of plans begin with."""
        self.on_report: list[Callable[[EvidenceReport], None]] = []
        """Told of what this instance has seen, for its peers."""
        self._clock = clock
        self._orders_by_service: dict[str, ReleaseOrder] = {}
        self._seen_ms_by_service: dict[str, int] = {}
        self._ordered_while_running: set[str] = set()
        self._plans_by_service: dict[str, ReleasePlan] = {}
        self._counts_by_service: dict[str, dict[str, Block]] = {}
        self._reported_by_service: dict[str, dict[str, Block]] = {}
        self._evidence_by_instance: dict[tuple[str, str], EvidenceReport] = {}
        self.sessions = SessionVersions(clock, session_gap_ms)
        """Which version each session ran on last."""
        self._pace_baseline = PaceBaseline()
        self._plans_read = False
        self._leaving = False
        self.duties_prefix = f"{prefix}/duties/"
        """What the keys of duties begin with."""
        self._duty = Duty(
            "releases",
            instance_id=instance_id,
            store=self._store,
            prefix=prefix,
            clock=clock,
            is_candidate=lambda: bool(self._running()) and not self._leaving,
            timing=DUTY_TIMING,
        )

    @property
    def ready(self) -> bool:
        """Whether this instance knows how far each release is that it has an order for."""
        return self._plans_read or not self._running()

    def apply_order(self, order: ReleaseOrder) -> None:
        """Takes an order of the operator."""
        known = self._orders_by_service.get(order.service)
        if known is not None and known.revision >= order.revision:
            return
        self._orders_by_service[order.service] = order
        self._seen_ms_by_service[order.service] = self._clock.now()
        if self._plans_read:
            self._ordered_while_running.add(order.service)
        self._counts_by_service[order.service] = {}
        log(
            ORDER_TAKEN,
            service=order.service,
            target=order.target,
            duration_ms=order.duration_ms,
            revision=order.revision,
        )

    def retain_orders(self, services: set[str]) -> None:
        """Drops the orders of all other services."""
        for service in set(self._orders_by_service) - services:
            self.remove_order(service)

    def remove_order(self, service: str) -> None:
        """Forgets an order that is gone; what was reverted stays out of use."""
        plan = self._plan(service)
        if plan is None or plan.state is not ReleaseState.REVERTED:
            self._orders_by_service.pop(service, None)

    def select_endpoints(
        self,
        service: str,
        request: CallerRequest,
        records: Sequence[EndpointRecord],
        *,
        pin: str = "",
        failed: bool = False,
    ) -> Sequence[EndpointRecord]:
        """Keeps the endpoints whose version a request may run on.

        Args:
            service: Where it goes.
            request: The request.
            records: The service's endpoints.
            pin: The version that the request's session ran on before; empty for none.
            failed: Whether a send of the request has failed: then it stays off the version on
                trial.
        """
        order = self._orders_by_service.get(service)
        if order is None:
            return records
        old = [one for one in records if one.version != order.target]
        target = [one for one in records if one.version == order.target]
        plan = self._plan(service)
        if plan is not None and plan.state is ReleaseState.COMPLETE:
            return target or old
        share = 0.0 if plan is None else plan.share
        if share >= 1.0:
            return target or old
        if share <= 0.0:
            return old
        wants_target = self._wants_target(request, order, share, pin, failed)
        return target if wants_target and target else old

    def record_send(self, observation: SendObservation) -> None:
        """Counts an answer for or against its version."""
        service = observation.endpoint.service
        order = self._orders_by_service.get(service)
        on_trial = order is not None and observation.endpoint.version == order.target
        if order is not None and service in self._running() and _is_informative(observation):
            bad = self._pace_baseline.is_bad(observation)
            block = Block(1, int(bad)) if on_trial else Block(0, 0, 1, int(bad))
            counts = self._counts_by_service[service]
            counts[observation.route.name] = counts.get(observation.route.name, Block()).plus(block)
        if not on_trial:
            self._pace_baseline.record(observation)

    def record_evidence(self, instance_id: str, evidence: EvidenceReport) -> None:
        """Takes what an instance has seen; every instance keeps it, as any may lead next."""
        self._evidence_by_instance[evidence.service, instance_id] = evidence

    def plan_handler(self) -> WatchHandler:
        """Returns what takes the plans from the store."""
        return WatchHandler(self._apply_plans, self._apply_plan, lambda key, revision: None)

    def duty_handler(self) -> WatchHandler:
        """Returns what takes word of duties from the store: a free one is taken soon."""

        def on_delete(key: str, revision: int) -> None:
            if key == self._duty.key:
                self._duty.record_vacancy()

        return WatchHandler(lambda items, revision: None, lambda item: None, on_delete)

    def work_by_name(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Returns the background work."""
        return {
            "release evidence": self._report,
            "release duty": lambda: self._duty.run(self._lead_releases),
        }

    @property
    def share(self) -> float:
        """The largest share of requests that a release under way gives to its target; 0 without."""
        plans = (self._plan(service) for service in self._running())
        return max((plan.share for plan in plans if plan is not None), default=0.0)

    @property
    def leads(self) -> bool:
        """Whether this instance surely holds the duty of moving releases on."""
        return self._duty.fencing_token is not None

    async def release_duty(self) -> None:
        """Hands the duty on, as this instance leaves."""
        self._leaving = True
        await self._duty.release()

    def _plan(self, service: str) -> ReleasePlan | None:
        """Returns the plan of a service's order, if there is one yet."""
        plan = self._plans_by_service.get(service)
        order = self._orders_by_service.get(service)
        if plan is None or order is None or plan.order_revision != order.revision:
            return None
        return plan

    def _running(self) -> list[str]:
        """Returns the services whose releases are not at their end."""
        running = []
        for service in self._orders_by_service:
            plan = self._plan(service)
            if plan is None or plan.state is ReleaseState.RUNNING:
                running.append(service)
        return running

    def _wants_target(
        self, request: CallerRequest, order: ReleaseOrder, share: float, pin: str, failed: bool
    ) -> bool:
        """Says whether a request goes to the target, the same on every instance."""
        if pin == order.target:
            return True
        if pin and self._seen_for_ms(order) < SESSION_MOVE_FROM * order.duration_ms:
            return False
        if failed:
            return False
        name = f"{request.session or request.id}\0{order.target}"
        return xxhash.xxh3_64_intdigest(name.encode()) / HASH_SPAN < share

    def _seen_for_ms(self, order: ReleaseOrder) -> int:
        return self._clock.now() - self._seen_ms_by_service[order.service]

    def _elapsed_ms(self, order: ReleaseOrder, began_wall_ms: int) -> int:
        """Returns the time since the order; by the calendar only if it came before this process."""
        seen_for_ms = self._seen_for_ms(order)
        if order.service in self._ordered_while_running:
            return seen_for_ms
        return max(seen_for_ms, self._clock.wall() - began_wall_ms)

    def _apply_plans(self, items: tuple[KeyValue, ...], revision: int) -> None:
        self._plans_read = True
        for item in items:
            self._apply_plan(item)

    def _apply_plan(self, item: KeyValue) -> None:
        try:
            plan = msgspec.json.decode(item.value, type=ReleasePlan)
        except msgspec.MsgspecError as error:
            log(PLAN_UNREADABLE, key=item.key, error=str(error))
            return
        if self._plans_by_service.get(plan.service) == plan:
            return
        self._plans_by_service[plan.service] = plan
        log(
            PLAN_TAKEN,
            service=plan.service,
            target=plan.target,
            share=plan.share,
            state=plan.state.value,
            revision=item.mod_revision,
        )

    async def _report(self) -> None:
        """Tells the peers what this instance has seen, while releases run and there is news."""
        while True:
            await self._clock.sleep(REPORT_INTERVAL_MS)
            for service in self._running():
                counts = dict(self._counts_by_service.get(service, {}))
                if counts == self._reported_by_service.get(service, {}):
                    continue
                self._reported_by_service[service] = counts
                evidence = EvidenceReport(
                    service, self._orders_by_service[service].revision, counts
                )
                self.record_evidence(self._instance_id, evidence)
                for tell in self.on_report:
                    tell(evidence)

    async def _lead_releases(self) -> None:
        """Moves each release on, while this instance holds the duty."""
        verdicts_by_revision: dict[int, VersionComparison] = {}
        while True:
            for service in self._running():
                order = self._orders_by_service[service]
                verdict = verdicts_by_revision.setdefault(order.revision, VersionComparison())
                try:
                    await self._advance_release(order, verdict)
                except StoreError as error:
                    # Read and written anew in the next round.
                    log(ROUND_FAILED, service=service, error=str(error))
            await self._clock.sleep(LEAD_INTERVAL_MS)

    async def _advance_release(self, order: ReleaseOrder, comparison: VersionComparison) -> None:
        """Weighs the evidence of one release and writes its plan if that changes."""
        key = f"{self.plans_prefix}{order.service}"
        plan = self._plan(order.service) or await self._read_plan(key, order)
        comparison.add_totals(self._sum_evidence(order))
        began_wall_ms = plan.began_wall_ms or self._clock.wall() - self._seen_for_ms(order)
        wanted = advance_plan(
            replace(plan, began_wall_ms=began_wall_ms),
            order,
            elapsed_ms=self._elapsed_ms(order, began_wall_ms),
            answers=comparison.answers,
            is_bad=comparison.is_bad,
        )
        if wanted == plan:
            return
        await self._write_plan(key, order, wanted)

    def _sum_evidence(self, order: ReleaseOrder) -> dict[str, Block]:
        """Adds the evidence of all instances for one order."""
        sums_by_route: dict[str, Block] = {}
        for evidence in self._evidence_by_instance.values():
            if evidence.order_revision != order.revision:
                continue
            for route, block in evidence.blocks_by_route.items():
                sums_by_route[route] = sums_by_route.get(route, Block()).plus(block)
        return sums_by_route

    async def _read_plan(self, key: str, order: ReleaseOrder) -> ReleasePlan:
        """Returns the plan as the store has it, or a new one for an order without."""
        if (item := await self._store.get(key)) is not None:
            self._apply_plan(item)
        fresh = ReleasePlan(order.service, order.target, order.revision)
        return self._plan(order.service) or fresh

    async def _write_plan(self, key: str, order: ReleaseOrder, plan: ReleasePlan) -> None:
        """Writes a plan, and tells the operator, if the duty is still held."""
        if self._duty.fencing_token is None:
            return
        puts = (
            Put(key, msgspec.json.encode(plan)),
            self._deployment.write_release_state(order, plan.state),
        )
        result = await self._store.txn((self._duty.held_condition(),), puts)
        if result.succeeded:
            log(
                PLAN_WRITTEN,
                service=plan.service,
                share=plan.share,
                state=plan.state.value,
                fencing=self._duty.fencing_token,
            )
            self._plans_by_service[plan.service] = plan


def _is_informative(observation: SendObservation) -> bool:
    """Whether a send says something of the version: refusals of a full endpoint do not."""
    return observation.result.outcome in (SendOutcome.WHOLE, SendOutcome.BROKEN)

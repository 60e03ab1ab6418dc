"""Carries out releases: selects the version of each request, and advances releases while this
instance holds the duty.
"""

from __future__ import annotations

from dataclasses import asdict, replace
from typing import TYPE_CHECKING

import msgspec
import xxhash

from mastickeel.decoding import decode_json
from mastickeel.errors import StoreError
from mastickeel.events import define_event
from mastickeel.keyvalue import Put
from mastickeel.logs import log
from mastickeel_router.discovery.feeds import WatchHandler
from mastickeel_router.duties import Duty, DutyTiming
from mastickeel_router.releases.decision import ReleaseShares, VersionComparison, advance_plan
from mastickeel_router.releases.evidence import ReleaseEvidence
from mastickeel_router.releases.model import (
    EvidenceReport,
    ReleaseOrder,
    ReleasePlan,
    ReleaseState,
)
from mastickeel_router.releases.orders import OrderChange, ReleaseOrders
from mastickeel_router.releases.reports import EvidenceReports, sum_reports
from mastickeel_router.releases.sessions import SessionVersions

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable, Sequence
    from typing import Any

    from mastickeel._kvtypes import KeyValue
    from mastickeel.clock import Clock
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.gateway.deployment import Deployment
    from mastickeel_router.relay.context import OpenSend, SendObservation
    from mastickeel_router.relay.types import CallerRequest

DUTY_TIMING = DutyTiming(ttl_seconds=3, renew_interval_ms=800, campaign_interval_ms=1_800)
"""Replaces a lost holder within five seconds, which is under half of the shortest release."""
LEAD_INTERVAL_MS = 800
"""Interval at which the holder of the duty evaluates the evidence."""
REPORT_INTERVAL_MS = 700
"""Interval at which an instance reports its evidence to its peers if the evidence has changed."""
HASH_SPAN = float(1 << 64)
SESSION_MOVE_FROM = 0.55
"""Fraction of a release's duration before which no running session moves to the target: sessions
keep their version in the first half, and the rest is a margin."""

ORDER_APPLIED = define_event(2360, "release_ordered", "info", "The operator ordered a release.")
ORDER_RENUMBERED = define_event(
    2366,
    "release_order_renumbered",
    "info",
    "The operator wrote a release's order again; the release goes on.",
)
ORDER_OUTDATED = define_event(
    2368,
    "release_order_outdated",
    "info",
    "An order was ignored that had been replaced or removed, or that was kept and is known.",
)
PLAN_APPLIED = define_event(
    2361, "release_plan", "info", "This instance has read a new share or state of a release."
)
PLAN_WRITTEN = define_event(
    2362,
    "release_plan_written",
    "info",
    "This instance holds the duty and has written a release's plan.",
)
ROUND_FAILED = define_event(
    2364,
    "release_round_failed",
    "warning",
    "A release was not advanced because the store failed; retried in the next round.",
)
TARGET_AVOIDED = define_event(
    2365,
    "release_target_avoided",
    "warning",
    "This instance found the target bad; no new sessions go there until the holder decides.",
)
TARGET_COMPARED = define_event(
    2367,
    "release_target_compared",
    "info",
    "This instance holds the duty; answers of the new and the old version, the bad ones, evidence.",
)
PLAN_UNREADABLE = define_event(
    2363, "release_plan_unreadable", "warning", "A release's plan is malformed and is ignored."
)


class Releases:
    """State of all releases on this instance."""

    def __init__(
        self,
        deployment: Deployment,
        *,
        instance_id: str,
        prefix: str,
        clock: Clock,
        session_gap_ms: int,
        shares: ReleaseShares | None = None,
        is_preferred: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates the state without any release.

        Args:
            deployment: Provides the store and the operator's view of a release's state.
            instance_id: Id of this instance.
            prefix: Prefix of the keys of plans and duties.
            clock: Times releases and sessions.
            session_gap_ms: Time after a request for which the version of its session is kept.
            shares: First shares of a target; None for the largest.
            is_preferred: Returns whether this instance is one of the first that should hold the
                duty of leading releases.
        """
        self._deployment = deployment
        self._store = deployment.store
        self._instance_id = instance_id
        self.plans_prefix = f"{prefix}/releases/"
        """Prefix of the keys of plans."""
        self.on_report: list[Callable[[EvidenceReport], None]] = []
        """Callbacks for this instance's evidence reports, which are sent to its peers."""
        self._clock = clock
        self.shares = shares or ReleaseShares()
        """First shares of a target."""
        self._orders = ReleaseOrders(clock, self._store.era)
        self._ordered_while_running: set[str] = set()
        self._plans_by_service: dict[str, ReleasePlan] = {}
        self._stored_plans_by_service: dict[str, ReleasePlan] = {}
        self._reported_by_service: dict[str, EvidenceReport] = {}
        self._comparisons_by_service: dict[str, tuple[int, VersionComparison]] = {}
        self.reports = EvidenceReports()
        """Evidence of all instances for and against the targets of running releases."""
        self.sessions = SessionVersions(clock, session_gap_ms)
        """Latest version of each session."""
        self.evidence = ReleaseEvidence(clock)
        """Answers of this instance for and against the targets of running releases."""
        self._plans_read = False
        self._leaving = False
        self.duties_prefix = f"{prefix}/duties/"
        """Prefix of the keys of duties."""
        self._duty = Duty(
            "releases",
            instance_id=instance_id,
            store=self._store,
            prefix=prefix,
            clock=clock,
            is_candidate=lambda: bool(self._unsettled()) and not self._leaving,
            is_preferred=is_preferred,
            timing=DUTY_TIMING,
        )
        self._store.era.on_change.append(lambda era: self._duty.record_new_era())

    @property
    def ready(self) -> bool:
        """Whether this instance knows the plan of each release that it has an order for."""
        return self._plans_read or not self._running()

    def apply_order(self, order: ReleaseOrder, *, is_kept: bool = False) -> bool:
        """Applies an order of the operator if it is newer than the service's current order.

        Args:
            order: The order.
            is_kept: Whether another instance has kept the order from an earlier era of the store.

        Returns:
            Whether the order is in force.
        """
        known = self._orders.get(order.service)
        plan = self._plan(order.service)
        has_progress = plan is not None and plan.state is not ReleaseState.REVERTED
        change = self._orders.compare(order, is_kept=is_kept, has_progress=has_progress)
        if change is OrderChange.OUTDATED:
            log(ORDER_OUTDATED, service=order.service, revision=order.revision, kept=is_kept)
            return False
        if change is OrderChange.IN_FORCE:
            return True
        if change is OrderChange.REPEATED and known is not None:
            self._renumber_order(known, order)
            return True
        self._orders.put(order, is_kept=is_kept, is_predecessor_known=self._plans_read)
        if self._plans_read:
            self._ordered_while_running.add(order.service)
        self.evidence.begin(order)
        self.reports.retain(order)
        log(
            ORDER_APPLIED,
            service=order.service,
            target=order.target,
            duration_ms=order.duration_ms,
            revision=order.revision,
            kept=is_kept,
        )
        return True

    def order_of(self, service: str) -> ReleaseOrder | None:
        """Returns the order in force of a service; None without one."""
        return self._orders.get(service)

    def record_replaced(self, orders: Iterable[ReleaseOrder]) -> None:
        """Records orders that were replaced or removed, which an older copy may have."""
        self._orders.record_replaced(orders)

    def begin_era(self) -> None:
        """Records that the next list comes from an older copy of the store.

        Orders that it lacks stay for a time, and those that it has in an older form stay until the
        operator's next write.
        """
        self._orders.begin_era()
        self._stored_plans_by_service.clear()

    def retain_orders(self, services: set[str]) -> None:
        """Removes the orders of all services that are not in `services`."""
        for service in self._orders.end_list(services):
            self.remove_order(service)

    def remove_lost_orders(self) -> None:
        """Removes the orders that the store has lost and the operator has not written again."""
        for service in self._orders.find_lost():
            self.remove_order(service)

    def remove_order(self, service: str) -> None:
        """Removes an order that was deleted; a reverted target stays excluded."""
        plan = self._plan(service)
        if plan is None or plan.state is not ReleaseState.REVERTED:
            self._orders.remove(service)

    def _renumber_order(self, known: ReleaseOrder, order: ReleaseOrder) -> None:
        """Keeps the progress of an order that the operator has written again in a new era."""
        service = order.service
        plan = self._plan(service)
        _, comparison = self._comparisons_by_service.get(service, (0, VersionComparison()))
        self._orders.renumber(order)
        self._comparisons_by_service[service] = (order.revision, comparison)
        if plan is not None:
            self._plans_by_service[service] = replace(plan, order_revision=order.revision)
        self.reports.renumber(order, known.revision)
        log(ORDER_RENUMBERED, service=service, revision=order.revision, before=known.revision)

    def select_endpoints(
        self,
        service: str,
        request: CallerRequest,
        records: Sequence[EndpointRecord],
        *,
        pin: str = "",
        failed: bool = False,
    ) -> Sequence[EndpointRecord]:
        """Returns the endpoints whose version a request may run on.

        Args:
            service: Name of the request's service.
            request: The request.
            records: The service's endpoints.
            pin: Version that the request's session ran on last; empty for none.
            failed: Whether a send of the request has failed, which excludes the target version
                unless the session is pinned to it.
        """
        order = self._orders.get(service)
        if order is None:
            return records
        old = [record for record in records if record.version != order.target]
        target = [record for record in records if record.version == order.target]
        plan = self._plan(service)
        if plan is not None and plan.state is ReleaseState.COMPLETE:
            return target or old
        share = 0.0 if plan is None else plan.share
        if share <= 0.0:
            return old
        if self._comparison(order).is_bad:
            # The duty's holder may be lost. Sessions on the target stay there until it decides.
            return target if pin == order.target and target else old or target
        if share >= 1.0:
            return target or old
        wants_target = self._wants_target(request, order, share, pin, failed)
        return target if wants_target and target else old

    def record_send(self, observation: SendObservation) -> None:
        """Counts an answer for its version, and whether the answer was bad."""
        service = observation.endpoint.service
        order = self._orders.get(service)
        is_target = order is not None and observation.endpoint.version == order.target
        if service in self._running():
            self.evidence.record_answer(observation)
        if not is_target:
            self.evidence.record_usual(observation)

    def record_abandoned(self, send: OpenSend) -> None:
        """Counts a send that ended without an answer if it was slow until then."""
        if send.endpoint.service in self._running():
            self.evidence.count_open_send(send)

    def record_evidence(self, instance_id: str, evidence: EvidenceReport) -> None:
        """Stores an instance's evidence; every instance keeps it because any may lead next."""
        self.reports.record(instance_id, evidence)

    def plan_handler(self) -> WatchHandler:
        """Returns the handler of the plans' keys in the store."""
        return WatchHandler(self._apply_plans, self._apply_plan, lambda key, revision: None)

    def duty_handler(self) -> WatchHandler:
        """Returns the handler of the duties' keys; this instance soon claims a released duty."""

        def on_list(items: tuple[KeyValue, ...], revision: int) -> None:
            if any(item.key == self._duty.key for item in items):
                self._duty.record_holder()
            else:
                self._duty.record_vacancy()

        def on_put(item: KeyValue) -> None:
            if item.key == self._duty.key:
                self._duty.record_holder()

        def on_delete(key: str, revision: int) -> None:
            if key == self._duty.key:
                self._duty.record_vacancy()

        return WatchHandler(on_list, on_put, on_delete)

    def work_by_name(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Returns the functions that start the background tasks, by the tasks' names."""
        return {
            "release evidence": self._report,
            "release duty": lambda: self._duty.run(self._lead_releases),
        }

    @property
    def share(self) -> float:
        """Largest share of requests that a running release gives to its target; 0 without one."""
        plans = (self._plan(service) for service in self._running())
        return max((plan.share for plan in plans if plan is not None), default=0.0)

    @property
    def is_leader(self) -> bool:
        """Whether this instance certainly holds the duty of leading releases."""
        return self._duty.fencing_token is not None

    async def release_duty(self) -> None:
        """Releases the duty because this instance is leaving."""
        self._leaving = True
        await self._duty.release()

    def _comparison(self, order: ReleaseOrder) -> VersionComparison:
        """Returns the comparison of the versions of an order."""
        revision, comparison = self._comparisons_by_service.get(order.service, (0, None))
        if comparison is None or revision != order.revision:
            comparison = VersionComparison()
            self._comparisons_by_service[order.service] = (order.revision, comparison)
        return comparison

    def _evaluate(self, order: ReleaseOrder) -> VersionComparison:
        """Adds the newest evidence of all instances to the comparison of an order."""
        comparison = self._comparison(order)
        was_bad = comparison.is_bad
        plan = self._plan(order.service)
        share = plan.share if plan is not None else 0.0
        comparison.add_totals(*sum_reports(self.reports.list_reports(order)), share=share)
        if comparison.is_bad and not was_bad:
            log(TARGET_AVOIDED, service=order.service, target=order.target)
        return comparison

    def _plan(self, service: str) -> ReleasePlan | None:
        """Returns the plan of a service's current order; None when there is none yet."""
        plan = self._plans_by_service.get(service)
        order = self._orders.get(service)
        if plan is None or order is None or plan.order_revision != order.revision:
            return None
        return plan

    def _list_running(self) -> list[ReleaseOrder]:
        """Returns the orders whose releases are not finished."""
        running = []
        for service in self._orders.services:
            order, plan = self._orders.get(service), self._plan(service)
            if order is not None and (plan is None or plan.state is ReleaseState.RUNNING):
                running.append(order)
        return running

    def _running(self) -> list[str]:
        """Returns the services whose releases are not finished."""
        return [order.service for order in self._list_running()]

    def _wants_target(
        self, request: CallerRequest, order: ReleaseOrder, share: float, pin: str, failed: bool
    ) -> bool:
        """Returns whether a request goes to the target; all instances decide alike by a hash."""
        if pin == order.target:
            return True
        if pin and self._since_order_ms(order) < SESSION_MOVE_FROM * order.duration_ms:
            return False
        if failed:
            return False
        name = f"{request.session or request.id}\0{order.target}"
        return xxhash.xxh3_64_intdigest(name.encode()) / HASH_SPAN < share

    def _unsettled(self) -> list[str]:
        """Returns the services whose releases run, or whose plans the store does not have."""
        running = self._running()
        return running + [
            service
            for service in self._orders.services
            if service not in running
            and self._plan(service) != self._stored_plans_by_service.get(service)
        ]

    def _since_order_ms(self, order: ReleaseOrder) -> int:
        return self._orders.since_ms(order)

    def _elapsed_ms(self, order: ReleaseOrder, began_wall_ms: int) -> int:
        """Returns the time since the order; uses wall time only if the order predates this process.

        A step of the wall clock therefore affects only instances that started after the order.
        """
        since_order_ms = self._since_order_ms(order)
        if order.service in self._ordered_while_running:
            return since_order_ms
        return max(since_order_ms, self._clock.wall() - began_wall_ms)

    def _apply_plans(self, items: tuple[KeyValue, ...], revision: int) -> None:
        self._plans_read = True
        for item in items:
            self._apply_plan(item)

    def _apply_plan(self, item: KeyValue) -> None:
        try:
            plan = decode_json(item.value, ReleasePlan)
        except msgspec.MsgspecError as error:
            log(PLAN_UNREADABLE, key=item.key, error=str(error))
            return
        self._stored_plans_by_service[plan.service] = plan
        known = self._plans_by_service.get(plan.service)
        if known is not None and (known == plan or known.is_ahead_of(plan)):
            return
        self._plans_by_service[plan.service] = plan
        log(
            PLAN_APPLIED,
            service=plan.service,
            target=plan.target,
            share=plan.share,
            state=plan.state.value,
            revision=item.mod_revision,
        )

    async def _report(self) -> None:
        """Evaluates the evidence of running releases, and reports this instance's if it changed."""
        while True:
            await self._clock.sleep(REPORT_INTERVAL_MS)
            self.remove_lost_orders()
            for order in self._list_running():
                service = order.service
                peers = self.reports.list_reports(order, except_instance=self._instance_id)
                self.evidence.judge(service, peers)
                self._evaluate(order)
                evidence = self.evidence.report(order)
                if evidence == self._reported_by_service.get(service):
                    continue
                self._reported_by_service[service] = evidence
                self.record_evidence(self._instance_id, evidence)
                for notify in self.on_report:
                    notify(evidence)

    async def _lead_releases(self) -> None:
        """Advances each running release while this instance holds the duty."""
        while True:
            for service in self._unsettled():
                if (order := self._orders.get(service)) is None:
                    continue
                try:
                    await self._advance_release(order)
                except StoreError as error:
                    # The next round reads and writes the plan again.
                    log(ROUND_FAILED, service=service, error=str(error))
            await self._clock.sleep(LEAD_INTERVAL_MS)

    async def _advance_release(self, order: ReleaseOrder) -> None:
        """Evaluates the evidence of one release and writes the plan if the plan changes."""
        key = f"{self.plans_prefix}{order.service}"
        plan = self._plan(order.service) or await self._read_plan(key, order)
        known = self._comparison(order).totals
        comparison = self._evaluate(order)
        if comparison.totals != known:
            log(
                TARGET_COMPARED,
                service=order.service,
                target=order.target,
                evidence=round(comparison.evidence, 2),
                processes=len(self.reports.list_reports(order)),
                **asdict(comparison.totals),
                slow=asdict(comparison.slow_totals),
                very_slow=asdict(comparison.very_slow_totals),
            )
        began_wall_ms = plan.began_wall_ms or self._clock.wall() - self._since_order_ms(order)
        next_plan = advance_plan(
            replace(plan, began_wall_ms=began_wall_ms),
            order,
            shares=self.shares,
            elapsed_ms=self._elapsed_ms(order, began_wall_ms),
            answers=comparison.answers,
            is_bad=comparison.is_bad,
            is_suspect=comparison.is_suspect,
            is_held=comparison.is_held,
        )
        if next_plan == plan == self._stored_plans_by_service.get(order.service):
            return
        await self._write_plan(key, order, next_plan)

    async def _read_plan(self, key: str, order: ReleaseOrder) -> ReleasePlan:
        """Returns the plan from the store, or a new one when the order has none."""
        if (item := await self._store.get(key)) is not None:
            self._apply_plan(item)
        new_plan = ReleasePlan(order.service, order.target, order.revision)
        return self._plan(order.service) or new_plan

    async def _write_plan(self, key: str, order: ReleaseOrder, plan: ReleasePlan) -> None:
        """Writes a plan and the release's state for the operator if the duty is still held."""
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
            self._stored_plans_by_service[plan.service] = plan

"""The whole path under faults: three routers, callers, operators, and every promise checked."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from bench.fleets.callers import Account, Callers, ChatSend, Instance, ServiceSend
from bench.fleets.faults import FAULTS_BY_KIND, PlannedFault, struck_engine
from bench.fleets.operations import Operators, PlannedChange
from bench.fleets.promises import Violation, check_all
from bench.fleets.recorder import (
    BillSeen,
    Call,
    ChangeKind,
    Interval,
    Policy,
    Recorder,
    RevisionSeen,
)
from bench.fleets.work import call_service, repeat_until, settle_bills, work_beside
from bench.histories.scaled_clock import ScaledClock
from bench.histories.types import HistoryResult
from mastickeel.changes import hash_secret
from mastickeel.model import Account as ConfiguredAccount
from mastickeel_router.demo import ACCOUNT_KEY, CHEAP_VERSION, EXPENSIVE_VERSION
from mastickeel_router.requests import AUTO_MODEL
from mastickeel_standins.keyvalue import KeyValueStandin
from mastickeel_standins.plain import PlainStandin
from tests.fleet import Fleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bench.fleets.recorder import History
    from mastickeel.clock import Clock
    from mastickeel.model import Delta

CLOCK_FACTOR = 5
"""A run of 5 s takes 1 s."""
RUN_MS = 6_000
FAULT_MS = 1_500
MAXIMUM_FAULTS = 3
ROUTERS = 3
ENGINES = 3
TOKENS = 5
PIECE_MS = 40
PAUSE_MS = 300
IN_FORCE_LONGEST_MS = 3_000
SAMPLE_MS = 200
OVERTIME_MS = 150_000
"""A run whose calls have not ended by then has failed."""
SETTLE_MS = 20_000
SETTLE_POLL_MS = 200
RESEND_SHARE = 0.3
STREAM_SHARE = 0.7
MODELS = (AUTO_MODEL, "draft-small", EXPENSIVE_VERSION)
ATTEMPTS = 5
POOL = "draft-models"
REGISTER = "register-1"
SERVICE = "order-register"
DEMO = Account("demo", ACCOUNT_KEY)
NARROW = Account("narrow", "narrow-key")
"""An account that allows the dear version alone."""
BASE = Policy(
    allowed_by_account={
        DEMO.id: frozenset({CHEAP_VERSION, EXPENSIVE_VERSION}),
        NARROW.id: frozenset({EXPENSIVE_VERSION}),
    },
    live=frozenset({CHEAP_VERSION, EXPENSIVE_VERSION}),
)


@dataclass(frozen=True)
class Schedule:
    """All that varies between runs."""

    seed: int
    """Draws what callers and operators do."""
    faults: tuple[PlannedFault, ...] = ()
    run_ms: int = RUN_MS


@dataclass
class PathRun:
    """One run."""

    schedule: Schedule
    clock: Clock = field(default_factory=lambda: ScaledClock(CLOCK_FACTOR))

    def __post_init__(self) -> None:
        self.draw = random.Random(self.schedule.seed)
        """Its random numbers."""
        self.fleet = Fleet(
            clock=self.clock,
            store=KeyValueStandin(self.clock),
            register=PlainStandin(SERVICE, self.clock),
        )
        """The routers and stand-ins."""
        self.recorder = Recorder(self.clock)
        """What was seen."""
        self.instances: list[Instance] = []
        """The routers that callers are sent to."""
        self._operators = Operators(self.fleet.http, self.recorder)
        self._callers = Callers(self.fleet.http, lambda version_id, length: TOKENS)
        self._operations = 0
        self._routers = ROUTERS
        self._until_ms = 0

    async def run(self) -> History:
        """Runs callers, operators and faults, and returns what was seen."""
        try:
            await self._start()
            base_revision = self.fleet.routers[0].configuration.revision
            await self.clock.wait_for(self._work(), self.schedule.run_ms + OVERTIME_MS)
            await self._settle()
            return self.recorder.history(BASE, base_revision)
        finally:
            await self.fleet.stop()

    def next_operation(self) -> str:
        """Returns a fresh id."""
        self._operations += 1
        return f"op-{self._operations}"

    def random_instance(self) -> Instance:
        """Returns one of the routers, as a balancer would."""
        return self.draw.choice(self.instances)

    async def add_router(self) -> Instance:
        """Starts one more router."""
        self._routers += 1
        number = self._routers
        router = await self.fleet.add_router(number)
        instance = Instance(router.settings.instance.id, router.callers_port)
        self.instances.append(instance)
        return instance

    async def replace_router(self, fault: PlannedFault) -> None:
        """Drains and stops a router gracefully, and starts another in its place."""
        if len(self.fleet.routers) < 2:
            return
        router = self.fleet.routers[fault.at_ms % len(self.fleet.routers)]
        instance_id = router.settings.instance.id
        began_ms = self.clock.now()
        # The balancer goes on sending callers here until the instance has stopped.
        await router.drain()
        await router.close_gracefully()
        self.instances = [one for one in self.instances if one.id != instance_id]
        self.fleet.routers.remove(router)
        await router.stop()
        self.recorder.shutdowns.append(Interval(instance_id, began_ms, self.clock.now()))
        await self.add_router()

    async def mark_endpoint_leaving(self, fault: PlannedFault) -> None:
        """Lets an operator mark an engine as leaving, unless it is the last one."""
        if len(self.recorder.leaving) + 1 >= len(self.fleet.engines):
            return
        engine_id = struck_engine(self, fault).endpoint_id
        for _ in range(ATTEMPTS):
            change = PlannedChange(self.next_operation(), ChangeKind.LEAVE, engine_id, POOL)
            told = await self._operators.change(change, self._random_admin_port())
            if told.revision:
                return
            await self.clock.sleep(fault.length_ms / ATTEMPTS)

    def newest_operation(self) -> int:
        """Returns the number of the operation that began last."""
        return self._operations

    def _random_admin_port(self) -> int:
        return self.draw.choice(self.fleet.routers).admin_port

    async def _start(self) -> None:
        engine: dict[str, Any] = {"clock": self.clock, "tokens": TOKENS, "piece_ms": PIECE_MS}
        # The objects need the addresses of the stand-ins, which the fleet starts first.
        self.fleet.default_delta = _with_narrow(self.fleet.default_delta)  # type: ignore[method-assign]
        await self.fleet.start(routers=ROUTERS, engines=ENGINES, **engine)
        for router in self.fleet.routers:
            self.instances.append(Instance(router.settings.instance.id, router.callers_port))
        for one in self.fleet.engines:
            self.recorder.watch_engine(one)
        self._until_ms = self.clock.now() + self.schedule.run_ms

    async def _work(self) -> None:
        """Lets everybody work until the time is over, then for the open calls to end."""
        workers: list[Awaitable[None]] = [
            self._until_over(lambda: self._chat(DEMO, "session-1")),
            self._until_over(lambda: self._chat(DEMO, "session-2")),
            self._until_over(lambda: self._chat(DEMO)),
            self._until_over(lambda: self._chat(NARROW)),
            self._until_over(self._call_service),
            self._until_over(self._call_service),
            self._until_over(self._withdraw_and_restore),
            self._until_over(
                lambda: self._change(ChangeKind.ALLOW, ChangeKind.DENY, CHEAP_VERSION)
            ),
        ]
        faults = [self._bring_about(fault) for fault in self.schedule.faults]
        await work_beside([*workers, *faults], self._sample())

    async def _until_over(self, act: Callable[[], Awaitable[None]]) -> None:
        await repeat_until(
            act, clock=self.clock, draw=self.draw, until_ms=self._until_ms, pause_ms=PAUSE_MS
        )

    async def _chat(self, account: Account, session: str = "") -> None:
        send = ChatSend(
            self.next_operation(),
            account,
            stream=self.draw.random() < STREAM_SHARE,
            session=session,
            # A session whose caller names versions would move by itself.
            model=AUTO_MODEL if session else self.draw.choice(MODELS),
        )
        self.recorder.calls.append(await self._callers.chat(send, self.random_instance()))

    async def _call_service(self) -> None:
        """Calls the register; sends it again, elsewhere, when the outcome is not known."""
        repeatable = self.draw.random() < 0.25
        operation = self.next_operation()
        send = ServiceSend(operation, DEMO, SERVICE, repeatable=repeatable)
        if repeatable:
            send = replace(send, method="GET")
        elif self.draw.random() < 0.6:
            send = replace(send, idempotency_key=f"key-{operation}")
        await call_service(send, self._send_service, draw=self.draw, resend_share=RESEND_SHARE)

    async def _send_service(self, send: ServiceSend) -> Call:
        call = await self._callers.service(send, self.random_instance())
        self.recorder.calls.append(call)
        return call

    async def _withdraw_and_restore(self) -> None:
        version_id = self.draw.choice((CHEAP_VERSION, EXPENSIVE_VERSION))
        await self._change(ChangeKind.WITHDRAW, ChangeKind.RESTORE, version_id)

    async def _allow_and_deny(self) -> None:
        await self._change(ChangeKind.ALLOW, ChangeKind.DENY, CHEAP_VERSION)

    async def _change(self, first: ChangeKind, second: ChangeKind, version_id: str) -> None:
        """Makes a change, and takes it back some time later."""
        for kind, longest_ms in ((first, PAUSE_MS), (second, IN_FORCE_LONGEST_MS)):
            await self.clock.sleep(self.draw.uniform(longest_ms / 2, longest_ms))
            change = PlannedChange(self.next_operation(), kind, version_id, NARROW.id)
            await self._operators.change(change, self._random_admin_port())

    async def _bring_about(self, fault: PlannedFault) -> None:
        await self.clock.sleep(fault.at_ms)
        self.recorder.faults_by_kind[fault.kind] += 1
        await FAULTS_BY_KIND[fault.kind](self, fault)

    async def _sample(self) -> None:
        """Notes which revision each instance works under, again and again."""
        while True:
            now_ms = self.clock.now()
            for router in self.fleet.routers:
                revision = router.configuration.revision
                self.recorder.revisions.append(
                    RevisionSeen(router.settings.instance.id, revision, now_ms)
                )
            await self.clock.sleep(SAMPLE_MS)

    async def _settle(self) -> None:
        """Reads the audits, bills and endpoints once everything has come to rest."""
        for engine in self.fleet.engines:
            self.recorder.add_engine_starts(engine)
        self.recorder.add_service_runs(REGISTER, self.fleet.register)
        await self._wait_for_audits()
        await settle_bills(
            self.recorder,
            self._bills,
            clock=self.clock,
            settle_ms=SETTLE_MS,
            poll_ms=SETTLE_POLL_MS,
        )

    async def _wait_for_audits(self) -> None:
        """Gives instances that were cut off the time to catch up, then reads every audit."""
        newest = max(router.configuration.revision for router in self.fleet.routers)
        waits = [router.configuration.wait_for_revision(newest) for router in self.fleet.routers]
        with contextlib.suppress(TimeoutError):
            await self.clock.wait_for(asyncio.gather(*waits), SETTLE_MS)
        for router in self.fleet.routers:
            await self._operators.read_audit(router.settings.instance.id, router.admin_port)

    async def _bills(self) -> list[BillSeen]:
        ledger = self.fleet.routers[0].ledger
        return [
            BillSeen(
                bill.id, bill.account_id, bill.cost, tuple(run.version_id for run in bill.runs)
            )
            for account in (DEMO, NARROW)
            for bill in await ledger.list_bills(account.id)
        ]


def plan(seed: int) -> Schedule:
    """Draws the faults of a seed."""
    draw = random.Random(f"faults {seed}")
    kinds = sorted(FAULTS_BY_KIND)
    faults = tuple(
        PlannedFault(draw.choice(kinds), draw.randrange(RUN_MS), draw.randrange(100, FAULT_MS))
        for _ in range(draw.randint(0, MAXIMUM_FAULTS))
    )
    return Schedule(seed, faults)


async def check(schedule: Schedule) -> tuple[HistoryResult, dict[str, list[Violation]]]:
    """Runs a schedule and checks every promise.

    Args:
        schedule: What happens.

    Returns:
        The counts, and what was seen of each broken promise.
    """
    path = PathRun(schedule)
    history = await path.run()
    violations = check_all(history)
    counts = Counter({name: len(found) for name, found in violations.items()})
    operations = len(history.calls) + len(history.changes)
    faults = dict(path.recorder.faults_by_kind)
    return HistoryResult(schedule.seed, operations, faults, dict(counts)), violations


async def run(seed: int) -> HistoryResult:
    """Runs the schedule of a seed.

    Args:
        seed: Gives the same callers, operators and faults again.

    Returns:
        The counts.
    """
    result, _ = await check(plan(seed))
    return result


def _with_narrow(make: Callable[[], Delta]) -> Callable[[], Delta]:
    """Adds the account that allows the dear version alone."""

    def with_narrow() -> Delta:
        delta = make()
        account = ConfiguredAccount(
            NARROW.id,
            key_hashes=(hash_secret(NARROW.key),),
            allowed=("draft-large",),
            quality_target=0.0,
        )
        return replace(delta, accounts=(*delta.accounts, account))

    return with_narrow

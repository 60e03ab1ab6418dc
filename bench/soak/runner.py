"""Routers as processes under faults for minutes: ``python -m bench.soak --minutes M --seed N``."""

from __future__ import annotations

import argparse
import asyncio
import functools
import random
import signal
import sys
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
import psutil

from bench.fleets.callers import Callers, ChatSend, Instance, ServiceSend
from bench.fleets.client import HOST
from bench.fleets.faults import FAULTS_BY_KIND, PlannedFault, struck_engine
from bench.fleets.operations import Operators, PlannedChange
from bench.fleets.processes import ProcessFleet, RouterProcess, open_files
from bench.fleets.promises import Violation, check_all
from bench.fleets.recorder import BillSeen, Call, ChangeKind, End, Interval, Policy, Recorder
from bench.fleets.work import call_service, repeat_until, settle_bills, work_beside
from bench.soak.growth import Growth, Sample, Samples
from bench.soak.mix import (
    FREMANTLE,
    POOL,
    WOLANSKI,
    draw_chat,
    draw_service,
    make_delta,
    tokens_of,
)
from mastickeel.logs import configure
from mastickeel_router.demo import CHEAP_VERSION, EXPENSIVE_VERSION

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bench.fleets.recorder import History
    from mastickeel.model import Delta

MEMORY_GROWTH_LIMIT = 1.05
CALLERS = 12
SERVICE_CALLERS = 4
OPEN_FILES_LIMIT = 2 * (CALLERS + SERVICE_CALLERS)
"""Each open call may hold a descriptor on either side of a router."""
MINIMUM_ROUTERS = 3
MAXIMUM_ROUTERS = 9
ENGINES = 6
PIECE_MS = 5
BATCH = 32
PAUSE_MS = 400
CHANGE_PAUSE_MS = 8_000
FAULT_PAUSE_MS = 6_000
FAULT_MS = 6_000
PAUSE_LONGEST_MS = 15_000
TOGETHER_SHARE = 0.3
RESEND_SHARE = 0.3
SAMPLE_MS = 2_000
SETTLE_MS = 60_000
SETTLE_POLL_MS = 1_000
MILLISECONDS_PER_MINUTE = 60_000
BASE = Policy(
    allowed_by_account={
        account.id: frozenset({CHEAP_VERSION, EXPENSIVE_VERSION})
        for account in (WOLANSKI, FREMANTLE)
    },
    live=frozenset({CHEAP_VERSION, EXPENSIVE_VERSION}),
)
SERVICE_ENDPOINT = "register-1"


class Soak:
    """One soak."""

    def __init__(self, seed: int, minutes: float, routers: int) -> None:
        """Makes a soak, which does nothing until it is run.

        Args:
            seed: Draws what callers, operators and faults do.
            minutes: How long callers work.
            routers: How many routers.
        """
        self.processes = ProcessFleet()
        """The routers and stand-ins."""
        self.fleet = self.processes.fleet
        """The stand-ins."""
        self.clock = self.fleet.clock
        """What times it all."""
        self.recorder = Recorder(self.clock)
        """What was seen."""
        self.draw = random.Random(seed)
        """Its random numbers."""
        self.samples_by_instance: dict[str, Samples] = {}
        """Memory and descriptors."""
        self._count = routers
        self._started = routers
        self._operations = 0
        self._minutes = minutes
        self._until_ms = 0
        self._busy: set[RouterProcess] = set()
        self._callers = Callers(self.fleet.http, tokens_of)
        self._operators = Operators(self.fleet.http, self.recorder)

    async def run(self) -> History:
        """Runs everything and returns what was seen."""
        try:
            await self._start()
            await self._work()
            await self._settle()
            return self.recorder.history(BASE, 1)
        finally:
            await self.processes.stop()

    def newest_operation(self) -> int:
        """Returns the number of the operation that began last."""
        return self._operations

    async def replace_router(self, fault: PlannedFault) -> None:
        """Ends a router with SIGTERM, and starts another in its place."""
        if router := self._pick():
            began_ms = self.clock.now()
            await router.stop(signal.SIGTERM)
            self.recorder.shutdowns.append(
                Interval(instance_id(router), began_ms, self.clock.now())
            )
            await self._start_another(router)

    async def kill_router(self, fault: PlannedFault) -> None:
        """Kills a router, and starts another in its place."""
        if router := self._pick():
            began_ms = self.clock.now()
            await router.stop(signal.SIGKILL)
            self.recorder.kills.append(Interval(instance_id(router), began_ms, self.clock.now()))
            await self._start_another(router)

    async def pause_router(self, fault: PlannedFault) -> None:
        """Stops a router in its tracks for a while."""
        if router := self._pick():
            began_ms = self.clock.now()
            router.send(signal.SIGSTOP)
            await self.clock.sleep(self.draw.randrange(1_000, PAUSE_LONGEST_MS))
            router.send(signal.SIGCONT)
            self.recorder.isolations.append(
                Interval(instance_id(router), began_ms, self.clock.now())
            )
            self._busy.discard(router)

    async def mark_endpoint_leaving(self, fault: PlannedFault) -> None:
        """Lets an operator mark an engine as leaving, while more than half are left."""
        if len(self.recorder.leaving) < ENGINES // 2:
            engine_id = struck_engine(self, fault).endpoint_id
            await self._change(ChangeKind.LEAVE, engine_id, POOL)

    async def _start(self) -> None:
        self.fleet.default_delta = self._delta  # type: ignore[method-assign]
        await self.processes.start(
            self._count, engines=ENGINES, tokens=tokens_of, piece_ms=PIECE_MS, batch=BATCH
        )
        for engine in self.fleet.engines:
            self.recorder.watch_engine(engine)
        for router in self.processes.routers:
            self._watch(router)
        self._until_ms = self.clock.now() + int(self._minutes * MILLISECONDS_PER_MINUTE)

    def _delta(self) -> Delta:
        addresses = {one.endpoint_id: f"{HOST}:{one.port}" for one in self.fleet.engines}
        return make_delta(addresses, f"{HOST}:{self.fleet.register.port}")

    async def _work(self) -> None:
        works: list[Callable[[], Awaitable[None]]] = [
            *(functools.partial(self._chat, f"session-{one}") for one in range(CALLERS)),
            *([self._call_service] * SERVICE_CALLERS),
            self._withdraw_and_restore,
            self._strike,
        ]
        await work_beside([self._until_over(one) for one in works], self._sample())

    async def _until_over(self, act: Callable[[], Awaitable[None]]) -> None:
        await repeat_until(
            act, clock=self.clock, draw=self.draw, until_ms=self._until_ms, pause_ms=PAUSE_MS
        )

    async def _chat(self, session: str) -> None:
        send: ChatSend = draw_chat(self.draw, self._next_operation(), session)
        self.recorder.calls.append(await self._callers.chat(send, self._random_instance()))

    async def _call_service(self) -> None:
        """Calls a plain service; sends it again, elsewhere, when the outcome is not known."""
        send: ServiceSend = draw_service(self.draw, self._next_operation())
        await call_service(send, self._send_service, draw=self.draw, resend_share=RESEND_SHARE)

    async def _send_service(self, send: ServiceSend) -> Call:
        call = await self._callers.service(send, self._random_instance())
        self.recorder.calls.append(call)
        return call

    async def _withdraw_and_restore(self) -> None:
        version_id = self.draw.choice((CHEAP_VERSION, EXPENSIVE_VERSION))
        for kind in (ChangeKind.WITHDRAW, ChangeKind.RESTORE):
            await self.clock.sleep(self.draw.uniform(0, CHANGE_PAUSE_MS))
            await self._change(kind, version_id)

    async def _change(self, kind: ChangeKind, subject: str, owner: str = "") -> None:
        change = PlannedChange(self._next_operation(), kind, subject, owner)
        await self._operators.change(change, self.draw.choice(self.processes.routers).admin_port)

    async def _strike(self) -> None:
        """Brings about one fault, or two together."""
        await self.clock.sleep(self.draw.uniform(0, FAULT_PAUSE_MS))
        count = 2 if self.draw.random() < TOGETHER_SHARE else 1
        kinds = self.draw.choices(sorted(PROCESS_FAULTS_BY_KIND), k=count)
        faults = [
            PlannedFault(kind, self.draw.randrange(1_000), self.draw.randrange(500, FAULT_MS))
            for kind in kinds
        ]
        self.recorder.faults_by_kind.update(kinds)
        await asyncio.gather(*(PROCESS_FAULTS_BY_KIND[fault.kind](self, fault) for fault in faults))

    async def _sample(self) -> None:
        """Notes revisions, memory and descriptors, again and again."""
        while True:
            for router in list(self.processes.routers):
                if router in self._busy:
                    continue
                self._sample_process(router)
                await self._operators.read_revision(instance_id(router), router.admin_port)
            await self.clock.sleep(SAMPLE_MS)

    def _sample_process(self, router: RouterProcess) -> None:
        try:
            figures = router.figures
            sample = Sample(self.clock.now(), figures.memory_info().rss, open_files(figures))
        except (psutil.NoSuchProcess, OSError):
            return
        self.samples_by_instance[instance_id(router)].taken.append(sample)

    async def _settle(self) -> None:
        """Reads audits and bills once everything has come to rest."""
        for engine in self.fleet.engines:
            self.recorder.add_engine_starts(engine)
        self.recorder.add_service_runs(SERVICE_ENDPOINT, self.fleet.register)
        for router in self.processes.routers:
            await self._operators.read_audit(instance_id(router), router.admin_port)
        reader = await self.fleet.add_router(0)

        async def read_bills() -> list[BillSeen]:
            return [
                BillSeen(bill.id, bill.account_id, bill.cost)
                for account in (WOLANSKI, FREMANTLE)
                for bill in await reader.ledger.list_bills(account.id)
            ]

        await settle_bills(
            self.recorder,
            read_bills,
            clock=self.clock,
            settle_ms=SETTLE_MS,
            poll_ms=SETTLE_POLL_MS,
        )

    def _next_operation(self) -> str:
        self._operations += 1
        return f"op-{self._operations}"

    def _random_instance(self) -> Instance:
        """Returns a router as the balancer would, which does not know of pauses and kills."""
        router = self.draw.choice(self.processes.routers)
        return Instance(instance_id(router), router.callers_port)

    def _pick(self) -> RouterProcess | None:
        """Picks a router that nothing else strikes, while two are left."""
        free = [one for one in self.processes.routers if one not in self._busy]
        if len(free) <= 2:
            return None
        router = self.draw.choice(free)
        self._busy.add(router)
        return router

    async def _start_another(self, ended: RouterProcess) -> None:
        self._started += 1
        router = RouterProcess(self._started, self.fleet.store.port)
        self._busy.add(router)
        self.processes.routers[self.processes.routers.index(ended)] = router
        await router.start(self.fleet.http)
        self._watch(router)
        self._busy -= {router, ended}

    def _watch(self, router: RouterProcess) -> None:
        name = instance_id(router)
        self.samples_by_instance[name] = Samples(name, self.clock.now())


async def kill_router(run: Soak, fault: PlannedFault) -> None:
    """Kills a router, and starts another in its place."""
    await run.kill_router(fault)


async def pause_router(run: Soak, fault: PlannedFault) -> None:
    """Stops a router in its tracks for a while."""
    await run.pause_router(fault)


PROCESS_FAULTS_BY_KIND: dict[str, Callable[[Soak, PlannedFault], Awaitable[None]]] = {
    **FAULTS_BY_KIND,
    "router_killed": kill_router,
    "router_paused": pause_router,
}
"""Every fault that a soak can have."""


def instance_id(router: RouterProcess) -> str:
    """Returns what a router calls itself."""
    return f"router-{router.number}"


def main() -> int:
    """Runs a soak.

    Returns:
        1 when a promise was broken, else 0.
    """
    parser = argparse.ArgumentParser(prog="python -m bench.soak", description=__doc__)
    parser.add_argument("--minutes", type=float, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--routers", type=int, help="3 to 9; drawn from the seed when left out")
    options = parser.parse_args()
    configure("error")
    drawn = random.Random(options.seed).randint(MINIMUM_ROUTERS, MAXIMUM_ROUTERS)
    soak = Soak(options.seed, options.minutes, options.routers or drawn)
    history = asyncio.run(soak.run())
    violations = check_all(history)
    growths = [growth for one in soak.samples_by_instance.values() if (growth := one.growth())]
    for name, found in violations.items():
        for violation in found[:3]:
            print(f"VIOLATION {name}: {violation.detail}", file=sys.stderr)
    print(summary(soak, history, violations, growths, options.seed))
    return 1 if violations else 0


def summary(
    soak: Soak,
    history: History,
    violations: dict[str, list[Violation]],
    growths: list[Growth],
    seed: int,
) -> str:
    """Returns the closing line."""
    memory = max((one.memory_ratio for one in growths), default=None)
    files = max((one.open_files for one in growths), default=None)
    ends = Counter(call.end.value for call in history.calls)
    refusals = Counter(call.code for call in history.calls if call.end is End.REFUSED)
    body = {
        "seed": seed,
        "routers": len(soak.processes.routers),
        "operations": len(history.calls) + len(history.changes),
        "ends": dict(sorted(ends.items())),
        "refusals": dict(sorted(refusals.items())),
        "faults": dict(sorted(soak.recorder.faults_by_kind.items())),
        "violations": {name: len(found) for name, found in sorted(violations.items())},
        "measured_routers": len(growths),
        "memory_ratio": memory,
        "memory_met": None if memory is None else memory < MEMORY_GROWTH_LIMIT,
        "open_files_growth": files,
        "open_files_met": None if files is None else files <= OPEN_FILES_LIMIT,
    }
    return msgspec.json.encode(body).decode()


if __name__ == "__main__":
    sys.exit(main())

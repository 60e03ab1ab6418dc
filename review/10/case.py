"""After all gateways were killed, a request that crashes workers reaches them again."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

sys.path.append(str(Path(__file__).resolve().parents[1]))

from bed_case import TROUBLE, Bed, make_configuration, make_route, run_case
from bed_clients import Clients
from bed_gateways import CONTACT_S
from bed_workers import Worker

if TYPE_CHECKING:
    from bed_http import Message

SERVICE = "order-register"
PER_SECOND = 40.0
POISON = b"crash"
POISON_GAP_S = 2.0
BACK_S = 3.0
"""Time after which a worker that has crashed is back."""
LENGTH_S = 70.0
KILL_AT_S = 20.0
MOST_RETRIES = 3
QUIET_S = 6.0
"""Pause of the request after the kill, while the machines are out of touch."""
QUIET_NUMBER = 1_000
"""Number of the first attempt after the pause."""


class BrittleWorker(Worker):
    """A worker that crashes as soon as it begins to run the request."""

    def __init__(self, bed: Bed, worker_id: str) -> None:
        super().__init__(bed, worker_id, SERVICE, "v1")
        self.crashes: list[tuple[float, str]] = []
        self.broken: list[str] = []
        """Ids of the other requests that it held as it crashed."""
        self.held: set[str] = set()
        self._tasks_back: set[asyncio.Task[None]] = set()

    async def run(self, request: Message) -> int:
        """Runs a request; returns the status of its answer."""
        request_id = request.headers["attempt-id"]
        if request.body == POISON:
            self.crashes.append((time.monotonic(), request_id))
            self._record(f"{request_id} crashes {self.id}")
            self.broken += self.held
            self.held.clear()
            self._tasks_back.add(asyncio.ensure_future(self._come_back()))
            self.stop()
            await asyncio.sleep(1.0)
        self.held.add(request_id)
        try:
            return await super().run(request)
        finally:
            self.held.discard(request_id)

    async def _come_back(self) -> None:
        await asyncio.sleep(BACK_S)
        self.born = int(time.time() * 1_000)
        self._running = 0
        self._free = asyncio.Semaphore(6)
        await self.start()


async def play(bed: Bed) -> bool:
    """Plays the case; returns whether the rule held."""
    bed.store.write("op/config", make_configuration(7, [make_route("file", SERVICE)]))
    fleet = await bed.start(3)
    workers = []
    for number in range(4):
        worker = BrittleWorker(bed, f"i-{number}")
        await worker.start()
        workers.append(worker)
    await asyncio.sleep(CONTACT_S + 1.0)
    begin = time.monotonic()
    clients = bed.clients = Clients(fleet, bed.record)
    load = asyncio.ensure_future(clients.run("/file/a", PER_SECOND, begin + LENGTH_S))

    async def send_poison() -> None:
        number = 0
        while time.monotonic() < begin + LENGTH_S - 5.0:
            gateway = fleet.gateways[number % len(fleet.gateways)]
            if killed.is_set() and number < QUIET_NUMBER:
                # It does not come while the machines are out of touch: such retries do not count.
                await asyncio.sleep(QUIET_S)
                number = QUIET_NUMBER
                continue
            await clients.send("/file/p", body=POISON, gateway=gateway, label="p-")
            number += 1
            await asyncio.sleep(POISON_GAP_S)

    killed = asyncio.Event()
    poison = asyncio.ensure_future(send_poison())
    await asyncio.sleep(KILL_AT_S)
    if TROUBLE:
        for gateway in fleet.gateways:
            fleet.signal(gateway, signal.SIGKILL)
        killed.set()
    await asyncio.gather(load, poison)

    crashes = sorted(one for worker in workers for one in worker.crashes)
    if len(crashes) < 3:
        raise RuntimeError("the request has not crashed three workers")
    limit = crashes[2][0] + CONTACT_S
    retries = []
    for worker in workers:
        for one in worker.arrivals:
            if one.id.startswith("p-") and one.at > limit and bed.touch[one.id]:
                retries.append(one)
    broken = sum(len(worker.broken) for worker in workers)
    bed.judge(
        f"the request crashed {len(crashes)} workers at "
        + ", ".join(f"{at - begin:.1f} s" for at, _ in crashes)
        + f"; {len(retries)} retries reached workers later than contact_ms after the third crash, "
        f"allowed {MOST_RETRIES}; {broken} other requests were running at workers that crashed"
    )
    return len(retries) <= MOST_RETRIES


run_case(__file__, play)

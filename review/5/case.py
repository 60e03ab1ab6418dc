"""After a short outage of the store, a worker that leaves is used for longer than allowed.

The store fails for a second. When it has been sound again for longer than `contact_ms`, the entry of
a worker is removed; the worker never reported draining and goes on serving for a while.
"""

from __future__ import annotations

import asyncio
import time

from review.case import Case, run_case
from review.client import send, write_request
from review.http import read_request, write_answer

GATEWAYS, WORKERS = 6, 4
CONTACT_S, DRAIN_S = 3.0, 2.0
OUTAGE_S = 1.0
REMOVED_AFTER_S = CONTACT_S + 0.4
RATE_PER_S = 150
LENGTH_S = 12.0


class Worker:
    """A worker of a plain service; notes when requests reach it."""

    def __init__(self, number: int, case: Case) -> None:
        self.number, self.case = number, case
        self.arrivals: list[tuple[float, str]] = []

    async def start(self) -> None:
        """Starts the worker and registers it."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        entry = {
            "service": "register",
            "address": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
            "zone": "z-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1_790_000_000_000,
        }
        await self.case.store.put(f"servers/i-{self.number}", entry)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                self.arrivals.append((time.monotonic(), request.id))
                await asyncio.sleep(0.03)
                writer.write(write_answer(request, 200, b"done"))
        except ConnectionError:
            pass
        finally:
            writer.close()


async def play(case: Case) -> bool:
    """Plays the case; returns whether the rule held."""
    workers = [Worker(number, case) for number in range(WORKERS)]
    for worker in workers:
        await worker.start()
    route = {
        "name": "look",
        "host": "desk.example",
        "path_prefix": "/look/",
        "route_type": "safe",
        "timeout_ms": 800,
        "slo_ms": 150,
        "priority": 1,
        "service": "register",
        "max_attempts": 2,
    }
    configuration = {
        "version": 3,
        "routes": [route],
        "services": [{"name": "register", "health_path": "/healthz", "max_conns": 110}],
        "tenants": [{"name": "gmina", "api_keys": ["key-1"]}],
    }
    await case.store.put("op/config", configuration)
    await case.start_gateways(GATEWAYS)
    await asyncio.sleep(2 * CONTACT_S)
    removed_s = 0.0

    async def disturb() -> None:
        nonlocal removed_s
        if case.trouble:
            case.note(f"the store fails for {OUTAGE_S} s")
            await case.store.fail(OUTAGE_S)
            case.note("the store is back")
        else:
            await asyncio.sleep(OUTAGE_S)
        await asyncio.sleep(REMOVED_AFTER_S)
        await case.store.remove("servers/i-0")
        removed_s = time.monotonic()
        case.note("the entry of worker 0 is removed; the store has accepted it")

    sent_s: dict[str, float] = {}

    async def ask(number: int) -> None:
        request_id = f"a{number:05d}"
        gateway = case.gateways[number % len(case.gateways)]
        data = write_request(
            "GET", "desk.example", f"/look/{number}", request_id, deadline_ms=1_500
        )
        sent_s[request_id] = time.monotonic()
        answer = await send(gateway.ip, gateway.frontend, data, deadline_s=1.5)
        if answer.status != 200:
            case.note(f"client: {request_id} got status {answer.status}")

    tasks = [asyncio.ensure_future(disturb())]
    for number in range(round(LENGTH_S * RATE_PER_S)):
        tasks.append(asyncio.ensure_future(ask(number)))
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.gather(*tasks)
    late = [
        (at_s - removed_s, request_id)
        for at_s, request_id in workers[0].arrivals
        if at_s > removed_s + DRAIN_S and sent_s[request_id] > removed_s + DRAIN_S
    ]
    for after_s, request_id in late:
        case.note(f"worker 0 got {request_id} {after_s:.3f} s after its removal was accepted")
    counts = [len(worker.arrivals) for worker in workers]
    case.note(f"arrivals by worker {counts}; {len(late)} at worker 0 later than drain_ms")
    return not late


if __name__ == "__main__":
    run_case(__file__, play)

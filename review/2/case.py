"""An entry in the store that can't be read stops the fleet from learning which workers leave.

Another writer puts an entry under servers/ whose bytes can't be read: JSON that is nested deeply.
After that a worker reports draining. With the entry, requests go on reaching it.
"""

from __future__ import annotations

import asyncio
import time

from review.case import Case, run_case
from review.client import send, write_request
from review.http import read_request, write_answer

DRAIN_S = 2.0
CONTACT_S = 3.0
WORKERS = 3
RATE_PER_S = 20
DEPTH = 5_000
RESTART_WAIT_S = 12.0


class Worker:
    """A worker of a plain service; notes when requests reach it."""

    def __init__(self, number: int, case: Case) -> None:
        self.number, self.case, self.port = number, case, 0
        self.arrivals: list[tuple[float, str]] = []

    async def start(self) -> None:
        """Starts the worker and registers it."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        await self.register("ready")

    async def register(self, state: str) -> None:
        """Writes the worker's entry."""
        entry = {
            "service": "register",
            "address": f"127.0.0.1:{self.port}",
            "zone": "z-a",
            "version": "v1",
            "slots": 6,
            "state": state,
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
    await case.start_gateways(2)
    await asyncio.sleep(CONTACT_S)
    if case.trouble:
        nested = b'{"note":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
        await case.store.put("servers/i-other", nested)
        case.note(f"another writer puts servers/i-other with {len(nested)} bytes")
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

    tasks = []
    leaving_s = 0.0
    for number in range(RATE_PER_S * 14):
        if number == RATE_PER_S * 2:
            await workers[0].register("draining")
            leaving_s = time.monotonic()
            case.note("worker 0 reports draining; the store has accepted it")
        tasks.append(asyncio.ensure_future(ask(number)))
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.gather(*tasks)
    late = [
        (at_s - leaving_s, request_id)
        for at_s, request_id in workers[0].arrivals
        if at_s > leaving_s + DRAIN_S and sent_s[request_id] > leaving_s + DRAIN_S
    ]
    for after_s, request_id in late[:5]:
        case.note(f"worker 0 got {request_id} {after_s:.3f} s after its draining was accepted")
    restarted = case.gateways[1]
    await restarted.kill()
    await restarted.start()
    is_ready = await restarted.wait_until_ready(RESTART_WAIT_S)
    case.note(f"{restarted.name} was restarted; ready within {RESTART_WAIT_S} s: {is_ready}")
    counts = [len(worker.arrivals) for worker in workers]
    case.note(f"arrivals by worker {counts}; {len(late)} at worker 0 later than drain_ms")
    return not late


if __name__ == "__main__":
    run_case(__file__, play)

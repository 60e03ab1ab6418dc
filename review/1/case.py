"""A resumed stream whose last worker answers with an error of its own is left open for good.

Six workers serve resumable streams of about five seconds. One worker is grey: it answers a part of
its requests with 500. Five times one of the other workers crashes for some seconds, so that the
streams that it held are sent once more.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time

from review.case import Case, run_case
from review.client import Answer, send, write_request
from review.http import LAST_CHUNK, read_request, write_answer, write_event, write_stream_head

WORKERS = 6
GREY_SHARE = 0.45
CRASH_S = 4.5
CRASHES_AT_S = (6.0, 13.0, 20.0, 27.0, 34.0)
LENGTH_S = 40.0
STREAMS_PER_S = 50
EVENTS, EVENT_GAP_S = 20, 0.25
TIMEOUT_MS, DEADLINE_MS = 8_000, 10_000
SLO_MS, PAUSE_MS = 2_000, 1_000
GAP_S = max(2.0, 4 * SLO_MS / 1_000, 8 * PAUSE_MS / 1_000)


class Worker:
    """A worker that streams events, from the one after Last-Event-Id."""

    def __init__(self, number: int, case: Case) -> None:
        self.number, self.case = number, case
        self.port, self.grey = 0, False
        self.rng = random.Random(number)
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, born: int) -> None:
        """Starts the worker and registers it."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        entry = {
            "service": "drafts",
            "address": f"127.0.0.1:{self.port}",
            "zone": "z-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": born,
        }
        await self.case.store.put(f"servers/i-{self.number}", entry)

    def crash(self) -> int:
        """Resets all channels and refuses new ones; returns the number of channels."""
        assert self.server is not None
        self.server.close()
        count = len(self.writers)
        for writer in list(self.writers):
            with contextlib.suppress(Exception):
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
        return count

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                after = int(request.headers.get("last-event-id", "0"))
                if self.grey and self.rng.random() < GREY_SHARE:
                    self.case.note(f"worker {self.number}: {request.id} after event {after}: 500")
                    writer.write(write_answer(request, 500, b"failed"))
                    continue
                if after:
                    self.case.note(
                        f"worker {self.number}: {request.id} goes on after event {after}"
                    )
                writer.write(write_stream_head(request))
                for event in range(after + 1, EVENTS + 1):
                    await asyncio.sleep(EVENT_GAP_S)
                    writer.write(write_event(event))
                    await writer.drain()
                writer.write(LAST_CHUNK)
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def crash_in_turn(case: Case, workers: list[Worker]) -> None:
    """Crashes one worker after the other; each is back after some seconds."""
    began = time.monotonic()
    for worker, at_s in zip(workers[1:], CRASHES_AT_S, strict=False):
        await asyncio.sleep(began + at_s - time.monotonic())
        case.note(f"worker {worker.number} crashes with {worker.crash()} channels")
        await asyncio.sleep(CRASH_S)
        await worker.start(born=round(time.time() * 1_000))
        case.note(f"worker {worker.number} is back")


async def play(case: Case) -> bool:
    """Plays the case; returns whether the rule held."""
    workers = [Worker(number, case) for number in range(WORKERS)]
    for worker in workers:
        await worker.start(born=round(time.time() * 1_000))
    route = {
        "name": "draft",
        "host": "desk.example",
        "path_prefix": "/draft/",
        "route_type": "streaming",
        "timeout_ms": TIMEOUT_MS,
        "slo_ms": SLO_MS,
        "gap_target_ms": PAUSE_MS,
        "priority": 1,
        "service": "drafts",
        "max_attempts": 2,
        "resumable": True,
    }
    configuration = {
        "version": 3,
        "routes": [route],
        "services": [{"name": "drafts", "health_path": "/healthz", "max_conns": 370}],
        "tenants": [{"name": "gmina", "api_keys": ["key-1"]}],
    }
    await case.store.put("op/config", configuration)
    await case.start_gateways(2)
    workers[0].grey = case.trouble
    crashing = asyncio.ensure_future(crash_in_turn(case, workers if case.trouble else []))
    answers: dict[str, Answer] = {}

    async def ask(number: int) -> None:
        request_id = f"a{number:05d}"
        gateway = case.gateways[number % len(case.gateways)]
        data = write_request(
            "POST", "desk.example", f"/draft/{number}", request_id, deadline_ms=DEADLINE_MS
        )
        answer = await send(
            gateway.ip, gateway.frontend, data, deadline_s=DEADLINE_MS / 1_000, gap_s=GAP_S
        )
        answers[request_id] = answer
        end = f"after {answer.ended_s:.3f} s" if answer.ended_s else "never"
        if answer.gave_up_s:
            end += f", client gave up after {answer.gave_up_s:.3f} s"
        if not answer.complete or answer.status != 200:
            pieces = answer.body.count(b"\n\n")
            case.note(
                f"client: {request_id} got status {answer.status}, {pieces} events, "
                f"complete {answer.complete}, ended {end}"
            )

    tasks = []
    for number in range(round(LENGTH_S * STREAMS_PER_S)):
        tasks.append(asyncio.ensure_future(ask(number)))
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.gather(*tasks, crashing)
    limit_s = TIMEOUT_MS / 1_000
    ends_s = [
        answer.gave_up_s if answer.ended_s is None else answer.ended_s
        for answer in answers.values()
    ]
    unanswered = [end_s for end_s in ends_s if end_s is None or end_s > limit_s]
    # Clients that gave up within that half second don't count as unanswered after it.
    late = [end_s for end_s in unanswered if end_s is None or end_s > limit_s + 0.5]
    whole = sum(a.complete and a.status == 200 for a in answers.values())
    case.note(
        f"{len(answers)} streams, {whole} whole; {len(unanswered)} unanswered at the route's "
        f"timeout of {limit_s} s, {len(late)} of them half a second later"
    )
    return not (len(late) >= 8 and len(late) > len(unanswered) / 2)


if __name__ == "__main__":
    run_case(__file__, play)

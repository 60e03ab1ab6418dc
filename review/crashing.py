"""A worker of a plain service that one content crashes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time

from review.case import Case
from review.client import send, write_request
from review.gateway import GatewayProcess
from review.http import read_request, write_answer

WORKER_DOWN_S = 2.5
FILING_WORK_S = 0.4
FILINGS_PER_S = 30


class CrashingWorker:
    """A worker that one content crashes."""

    def __init__(self, number: int, case: Case) -> None:
        self.number, self.case = number, case
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.crashes: list[tuple[float, str]] = []

    async def start(self) -> None:
        """Starts the worker and registers it."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        entry = {
            "service": "register",
            "address": f"127.0.0.1:{self.port}",
            "zone": "z-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": round(time.time() * 1_000),
        }
        await self.case.store.put(f"servers/i-{self.number}", entry)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if request.target.startswith("/look/crash"):
                    self.crash(request.id)
                    return
                await asyncio.sleep(FILING_WORK_S)
                writer.write(write_answer(request, 200, b"done"))
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self, request_id: str) -> None:
        """Resets all channels, refuses new ones, and is back after some seconds."""
        assert self.server is not None
        self.crashes.append((time.monotonic(), request_id))
        self.case.note(f"worker {self.number}: {request_id} begins to run and crashes it")
        self.server.close()
        for writer in list(self.writers):
            with contextlib.suppress(Exception):
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
        asyncio.get_running_loop().call_later(
            WORKER_DOWN_S, lambda: asyncio.ensure_future(self.start())
        )


def late_retries(workers: list[CrashingWorker], contact_s: float) -> list[tuple[float, str]]:
    """Returns the runs that began later than `contact_s` after the third crash of a worker."""
    crashes = sorted(crash for worker in workers for crash in worker.crashes)
    return [one for one in crashes[3:] if one[0] > crashes[2][0] + contact_s]


async def file_orders(case: Case, gateways: list[GatewayProcess]) -> None:
    """Sends sound requests that may run once, until cancelled; notes how many were lost.

    They only show what the crashes cost others; no check rests on them.
    """
    sent = lost = 0
    tasks: set[asyncio.Task[None]] = set()

    async def ask(number: int) -> None:
        nonlocal lost
        gateway = gateways[number % len(gateways)]
        data = write_request(
            "POST",
            "desk.example",
            f"/file/{number}",
            f"f{number:05d}",
            deadline_ms=1_500,
            body=b"order %d" % number,
        )
        answer = await send(gateway.ip, gateway.frontend, data, deadline_s=1.5)
        lost += answer.status in (0, 502, 504)

    try:
        while True:
            task = asyncio.ensure_future(ask(sent))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            sent += 1
            await asyncio.sleep(1 / FILINGS_PER_S)
    finally:
        case.note(f"of {sent} sound filings, {lost} were lost with the worker that ran them")


ROUTES = [
    {
        "name": "look",
        "host": "desk.example",
        "path_prefix": "/look/",
        "route_type": "safe",
        "timeout_ms": 800,
        "slo_ms": 150,
        "priority": 1,
        "service": "register",
        "max_attempts": 2,
    },
    {
        "name": "file",
        "host": "desk.example",
        "path_prefix": "/file/",
        "route_type": "unsafe",
        "timeout_ms": 1_200,
        "slo_ms": 600,
        "priority": 1,
        "service": "register",
        "max_attempts": 1,
    },
]
"""Lookups, one of which crashes workers, and filings, which may run once."""

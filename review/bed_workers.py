"""Stand-in of the workers of a plain service."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bed_http import Message, Server, read_message, write_message

if TYPE_CHECKING:
    from bed_case import Bed

WORK_S = 0.045
"""Work of a plain request, as on the sheets."""
SLOTS = 6
QUEUE = 24


@dataclass(frozen=True)
class Arrival:
    """A request that reached a worker."""

    id: str
    worker: str
    version: str
    at: float


class Worker(Server):
    """One worker; `respond` may be replaced."""

    def __init__(self, bed: Bed, worker_id: str, service: str, version: str) -> None:
        super().__init__("127.0.0.1")
        self.id = worker_id
        self.service = service
        self.version = version
        self.zone = "zone-a"
        self.born = int(time.time() * 1_000)
        self.arrivals: list[Arrival] = []
        self.ran: list[str] = []
        self.failed_at: list[float] = []
        self._bed = bed
        self._store = bed.store
        self._record = bed.record
        self._running = 0
        self._free = asyncio.Semaphore(SLOTS)

    @property
    def key(self) -> str:
        """Key of the worker in the store."""
        return f"servers/{self.id}"

    async def start(self) -> None:
        """Opens the port and registers the worker as ready."""
        await self.listen()
        self.register("ready")

    def register(self, state: str) -> None:
        """Writes the worker's entry."""
        entry = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": SLOTS,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        self._store.write(self.key, entry)
        self._record(f"worker {self.id} ({self.version}) is {state}")

    def end(self) -> None:
        """Ends the process and removes its entry."""
        self.stop()
        self._store.remove(self.key)
        self._record(f"worker {self.id} ({self.version}) has ended")

    async def drain(self) -> None:
        """Reports that it drains, serves on for the drain time and a little longer, and ends."""
        self.register("draining")
        await asyncio.sleep(3.0)
        self.end()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one channel."""
        while (request := await read_message(reader)) is not None:
            if request.target == "/healthz":
                writer.write(write_message("HTTP/1.1 200 OK", {"Instance-Id": self.id}))
            else:
                writer.write(await self._answer(request))
            await writer.drain()

    async def _answer(self, request: Message) -> bytes:
        request_id = request.headers.get("attempt-id", "")
        echo = {"Attempt-Id": request_id}
        if request.headers.get("expect-instance", self.id) != self.id:
            return write_message("HTTP/1.1 421 Misdirected", echo | {"Instance-Id": self.id})
        self.arrivals.append(Arrival(request_id, self.id, self.version, time.monotonic()))
        self._bed.note_arrival(request_id)
        self._record(f"{request_id} reaches {self.id} ({self.version})")
        if self._running >= SLOTS + QUEUE:
            return write_message("HTTP/1.1 503 Full", echo | {"Not-Executed": "1"})
        self._running += 1
        try:
            async with self._free:
                self.ran.append(request_id)
                status = await self.run(request)
        finally:
            self._running -= 1
        if status >= 500:
            self.failed_at.append(time.monotonic())
        self._record(f"{request_id} ran at {self.id} ({self.version}): {status}")
        return write_message(f"HTTP/1.1 {status} X", echo | {"Server-Seal": "3e1b.07"}, b"done")

    async def run(self, request: Message) -> int:
        """Runs a request; returns the status of its answer."""
        await asyncio.sleep(WORK_S)
        return 200

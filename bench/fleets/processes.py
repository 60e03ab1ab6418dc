"""Routers as processes of their own on loopback, with the stand-ins in the driver's process."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import random
import signal
import socket
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import psutil

from bench.fleets.client import HOST
from mastickeel.addresses import Address
from mastickeel.changes import hash_secret
from mastickeel.httpmessages import FIRST_BYTE_TIMEOUT_MS, HttpRequest, Timeouts
from mastickeel_router.demo import OPERATOR_TOKEN
from tests.fleet import DATA_CENTRES, SETTINGS, Fleet

if TYPE_CHECKING:
    from mastickeel.httpclient import HttpClient
    from mastickeel.model import Delta

ANY_PORT = f"{HOST}:0"
FIRST_PORT = random.randrange(11_000, 20_000)
LAST_PORT = 32_000
READY_TIMEOUT_MS = 120_000
READY_POLL_MS = 50
STOP_TIMEOUT_MS = FIRST_BYTE_TIMEOUT_MS + 15_000
"""After when a process that was asked to end is killed: a silent endpoint holds a call for the
first part, the rest is for marks, bills and lingering. Routers themselves would wait for longer."""
MILLISECONDS_PER_SECOND = 1_000
NANOSECONDS_PER_SECOND = 1_000_000_000


def free_ports(count: int) -> list[int]:
    """Returns ports that were free a moment ago, outside those that connections draw from."""
    found: list[int] = []
    while len(found) < count:
        port = next(_candidate_ports)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            found.append(port)
    return found


_candidate_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))


@dataclass(eq=False)
class RouterProcess:
    """One router in a process of its own."""

    number: int
    """Its number in the fleet."""
    store_port: int
    """Where the key-value service is."""
    extra: str = ""
    """More settings."""
    callers_port: int = 0
    """Where it serves callers."""
    admin_port: int = 0
    """Where it serves operators."""
    process: asyncio.subprocess.Process | None = None
    """The process, once started."""
    folder: tempfile.TemporaryDirectory[str] = field(default_factory=tempfile.TemporaryDirectory)
    """Holds its settings and its log."""

    async def start(self, http: HttpClient) -> None:
        """Starts the process and waits until it is ready.

        Args:
            http: Asks whether it is ready.

        Raises:
            RuntimeError: When it ended instead, with the end of its log.
        """
        ports = free_ports(3)
        self.callers_port, self.admin_port = ports[0], ports[1]
        settings = Path(self.folder.name) / "settings.toml"
        settings.write_text(self._settings(ports))
        with self._log_path.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "mastickeel_router.cli", "serve", "--settings", str(settings)),
                stdout=output,
                stderr=output,
            )
        await http.clock.wait_for(self._wait_ready(http), READY_TIMEOUT_MS)

    @property
    def figures(self) -> psutil.Process:
        """The process as psutil sees it."""
        assert self.process is not None
        return psutil.Process(self.process.pid)

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def cpu_seconds(self) -> float:
        """Returns the processor time of all threads so far, finer than the kernel's ticks."""
        assert self.process is not None
        tasks = Path(f"/proc/{self.process.pid}/task").iterdir()
        nanoseconds = (int((one / "schedstat").read_text().split()[0]) for one in tasks)
        return sum(nanoseconds) / NANOSECONDS_PER_SECOND

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to this process alone."""
        if self.running:
            assert self.process is not None
            self.process.send_signal(number)

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> int:
        """Asks the process to end, and ends it when it does not.

        Args:
            number: The signal to ask with.

        Returns:
            Its exit status.
        """
        assert self.process is not None
        self.send(signal.SIGCONT)
        self.send(number)
        try:
            await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_MS / MILLISECONDS_PER_SECOND)
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()
        return self.process.returncode or 0

    def log_tail(self, lines: int = 5) -> str:
        """Returns the end of its log."""
        return "\n".join(self._log_path.read_text(errors="replace").splitlines()[-lines:])

    @property
    def _log_path(self) -> Path:
        return Path(self.folder.name) / "log"

    def _settings(self, ports: list[int]) -> str:
        text = SETTINGS.format(
            number=self.number,
            store=self.store_port,
            token=hash_secret(OPERATOR_TOKEN),
            data_centre=self.number % DATA_CENTRES,
            callers="",
            admin="",
        )
        for port in ports:
            text = text.replace(ANY_PORT, f"{HOST}:{port}", 1)
        return text + self.extra

    async def _wait_ready(self, http: HttpClient) -> None:
        address = Address(HOST, self.admin_port)
        waits = Timeouts(first_byte_ms=MILLISECONDS_PER_SECOND)
        while self.running:
            with contextlib.suppress(Exception):
                answer = await http.call(address, HttpRequest("GET", "/ready"), waits)
                if answer.status == 200:
                    return
            await http.clock.sleep(READY_POLL_MS)
        raise RuntimeError(f"Router {self.number} ended before it was ready: {self.log_tail()}")


@dataclass
class ProcessFleet:
    """Routers as processes around the stand-ins of one driver."""

    fleet: Fleet = field(default_factory=Fleet)
    """The stand-ins, and the caller's functions."""
    routers: list[RouterProcess] = field(default_factory=list)
    """The routers."""

    async def start(
        self, routers: int, *, delta: Delta | None = None, extra: str = "", **engine: Any
    ) -> None:
        """Starts the stand-ins, makes the objects through a router of this process, and the rest.

        Args:
            routers: How many processes.
            delta: The objects; the demo's when None.
            extra: More settings of every router.
            engine: How the engines are.
        """
        await self.fleet.start(routers=1, delta=delta, **engine)
        maker = self.fleet.routers.pop()
        await maker.drain()
        await maker.stop()
        for number in range(1, routers + 1):
            self.routers.append(RouterProcess(number, self.fleet.store.port, extra))
        await asyncio.gather(*(one.start(self.fleet.http) for one in self.routers))

    async def stop(self) -> None:
        """Stops the processes that are left, then the stand-ins."""
        await asyncio.gather(*(one.stop() for one in self.routers if one.running))
        await self.fleet.stop()


def open_files(process: psutil.Process) -> int:
    """Returns how many file descriptors a process has open."""
    return len(os.listdir(f"/proc/{process.pid}/fd"))

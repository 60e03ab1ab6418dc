"""Runs one case: the record, the exit code, and the end of what was started."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
import traceback
from pathlib import Path
from typing import TYPE_CHECKING, Any

from bed_clients import HOST, KEY, Clients
from bed_gateways import Fleet, draw_host
from bed_store import Store

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HELD, BROKEN, NOT_RUN = 0, 1, 2
MOST_S = 115.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Bed:
    """Store, gateways and record of one case."""

    def __init__(self, folder: Path) -> None:
        self.begin = time.monotonic()
        self._lines: list[str] = []
        self._folder = folder
        self.store = Store(f"{draw_host()}.1")
        self.fleet: Fleet | None = None
        self.clients: Clients | None = None
        self.verdict = ""
        """The figures that decide."""
        self.touch: dict[str, bool] = {}
        """Whether the machine that sent a request was in touch as it reached a worker, by id."""

    def note_arrival(self, request_id: str) -> None:
        """Notes whether the machine that sent a request to a worker is in touch."""
        attempt = self.clients.attempts.get(request_id) if self.clients is not None else None
        self.touch[request_id] = attempt is not None and attempt.gateway.is_in_touch(
            time.monotonic()
        )

    def record(self, text: str) -> None:
        """Adds a line to the record."""
        self._lines.append(f"{time.monotonic() - self.begin:9.3f} {text}")

    async def start(self, gateways: int) -> Fleet:
        """Starts the store and the gateways; the configuration has to be written before."""
        self.fleet = Fleet(gateways, f"{self.store.host}:{self.store.port}", self.record)
        await self.fleet.start()
        return self.fleet

    def judge(self, verdict: str) -> None:
        """Records the figures of the verdict."""
        self.verdict = verdict
        self.record(verdict)

    def write_record(self) -> None:
        """Writes the record into the folder of the case."""
        (self._folder / "record.txt").write_text("\n".join(self._lines) + "\n")


def make_route(name: str, service: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_type": "unsafe",
        "timeout_ms": 1200,
        "slo_ms": 200,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "public": False,
    } | fields


def make_configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns a configuration with one tenant."""
    services = sorted({route["service"] for route in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": one, "max_conns": 110} for one in services],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY]}],
    }


def run_case(file: str, play: Callable[[Bed], Awaitable[bool]]) -> None:
    """Plays a case and exits: 0 if the rule held, 1 if it broke, 2 if the case couldn't run."""
    folder = Path(file).resolve().parent
    code = asyncio.run(_run(folder, play))
    sys.exit(code)


async def _run(folder: Path, play: Callable[[Bed], Awaitable[bool]]) -> int:
    bed = Bed(folder)
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    await bed.store.listen()
    leases = asyncio.ensure_future(bed.store.run_leases())
    code, verdict = NOT_RUN, "the case could not run; see record.txt"
    try:
        held = await asyncio.wait_for(play(bed), MOST_S)
        code = HELD if held else BROKEN
        verdict = bed.verdict
    except (Exception, asyncio.CancelledError):
        bed.record(traceback.format_exc())
        code = NOT_RUN
    finally:
        leases.cancel()
        if bed.fleet is not None:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for path in bed.fleet.folder.glob("*.log"):
                    (Path(keep) / path.name).write_bytes(path.read_bytes())
            await bed.fleet.stop()
        bed.store.stop()
        bed.record(f"exit {code}")
        bed.write_record()
        print(verdict, f"exit {code}", sep="\n")
    return code

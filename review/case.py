"""Runs a case: a temporary folder, the record, the exit code, and the end of all processes."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.gateway import ROOT, GatewayProcess
from review.store import Store

LIMIT_S = 115.0


class CannotRunError(Exception):
    """Raised when a case couldn't run."""


class Case:
    """Environment of one run."""

    def __init__(
        self, folder: Path, record_path: Path, make_store: Callable[[Case], Store] | None
    ) -> None:
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = make_store(self) if make_store else Store()
        self.gateways: list[GatewayProcess] = []
        self._began = time.monotonic()
        self._record = record_path.open("w")

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Writes a line to the record."""
        self._record.write(f"{self.now():8.3f} {text}\n")
        self._record.flush()

    async def start_gateways(self, count: int, **limits: object) -> None:
        """Starts gateways and waits until all are ready."""
        for number in range(1, count + 1):
            gateway = GatewayProcess(number, self.store.port, self.folder, **limits)
            self.gateways.append(gateway)
            await gateway.start()
            self.note(f"started {gateway.name} at {gateway.ip}:{gateway.frontend}")
        for gateway in self.gateways:
            if not await gateway.wait_until_ready():
                raise CannotRunError(f"{gateway.name} isn't ready")
        self.note("all gateways are ready")

    async def close(self) -> None:
        """Ends all processes and the store."""
        for gateway in self.gateways:
            await gateway.kill()
        await self.store.stop()
        self._record.close()


def run_case(
    path: str,
    play: Callable[[Case], Awaitable[bool]],
    make_store: Callable[[Case], Store] | None = None,
) -> None:
    """Runs a case and exits with 0 (the rule held), 1 (it was broken) or 2 (it couldn't run).

    Args:
        path: Path of the case's program.
        play: Plays the case; returns whether the rule held.
        make_store: Creates the store; None for a sound one.
    """

    async def main() -> int:
        with tempfile.TemporaryDirectory() as name:
            case = Case(Path(name), Path(path).resolve().parent / "record.txt", make_store)
            code = 2
            try:
                if not (ROOT / "target/deps/mastickeel_platform").is_dir():
                    raise CannotRunError("run the build of deploy/system.toml first")
                await case.store.start()
                held = await asyncio.wait_for(play(case), LIMIT_S)
                code = 0 if held else 1
                for gateway in case.gateways:
                    for line in gateway.errors()[:3]:
                        case.note(f"log of {gateway.name}: {line[:300]}")
            except CannotRunError as error:
                case.note(f"couldn't run: {error}")
            except Exception:
                case.note(f"couldn't run: {traceback.format_exc()}")
            case.note(f"exit code {code}")
            await case.close()
            return code

    sys.exit(asyncio.run(main()))

"""Releases of a plain service: the operator's orders, the workers of each version, and EXPOSURE."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from bed_gateways import BOUNDS
from bed_workers import WORK_S, Worker

if TYPE_CHECKING:
    from bed_case import Bed
    from bed_clients import Clients
    from bed_http import Message

DRAINS_AFTER_S = 3.0
"""Time after `reverted` at which the new workers drain: some seconds, by the page."""


class VersionWorker(Worker):
    """A worker of one version, which may turn bad."""

    bad_from = float("inf")
    bad_share = 0.0
    rng = random.Random(2)

    async def run(self, request: Message) -> int:
        """Runs a request; returns the status of its answer."""
        await asyncio.sleep(WORK_S * self.rng.uniform(0.7, 1.5))
        is_bad = time.monotonic() >= self.bad_from and self.rng.random() < self.bad_share
        return 500 if is_bad else 200


class Release:
    """The operator and the workers of one service."""

    def __init__(self, bed: Bed, service: str, rng: random.Random) -> None:
        self.workers: list[VersionWorker] = []
        self.bad_answers: list[float] = []
        self.states: list[tuple[float, str, str]] = []
        """Time, target and state of each report of the system."""
        self.drains_after_s = DRAINS_AFTER_S
        self._bed = bed
        self._service = service
        self._rng = rng
        self._live = ""
        self._target = ""
        self._ended: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        bed.store.on_status.append(self._read_status)

    async def start_workers(self, version: str, count: int) -> None:
        """Starts workers of a version."""
        self._live = self._live or version
        for number in range(count):
            worker = VersionWorker(
                self._bed,
                f"i-{version}-{number}",
                self._service,
                version,
            )
            worker.rng = self._rng
            worker.zone = ("zone-a", "zone-b", "zone-c")[number % 3]
            self.workers.append(worker)
            await worker.start()

    def order(self, target: str, duration_s: int) -> float:
        """Writes an order of the operator; returns its time."""
        self._target = target
        self._ended.discard(target)
        order = {"service": self._service, "target": target, "duration_s": duration_s}
        self._bed.store.write(f"op/rollout/{self._service}", order)
        self._bed.record(f"order: {target} within {duration_s} s")
        return time.monotonic()

    def turn_bad(self, version: str, at: float, share: float) -> None:
        """Lets the workers of a version fail a share of their requests from a time on."""
        for worker in self.workers:
            if worker.version == version:
                worker.bad_from, worker.bad_share = at, share

    async def wait_for(self, state: str, timeout_s: float) -> None:
        """Waits until the system reports a state of the newest order."""
        deadline = time.monotonic() + timeout_s
        while not any(one[1:] == (self._target, state) for one in self.states):
            if time.monotonic() > deadline:
                raise RuntimeError(f"{self._target} is not {state} in time")
            await asyncio.sleep(0.05)

    def _read_status(self, key: str, status: dict[str, str]) -> None:
        if key != f"status/rollout/{self._service}":
            return
        target, state = status["target"], status["state"]
        if not self.states or self.states[-1][1:] != (target, state):
            self.states.append((time.monotonic(), target, state))
            self._bed.record(f"status: {target} is {state}")
        if target != self._target or target in self._ended:
            return
        if state == "complete":
            self._ended.add(target)
            for worker in self._list(self._live):
                worker.end()
                self.workers.remove(worker)
            self._live = target
        elif state == "reverted":
            self._ended.add(target)
            task = asyncio.ensure_future(self._drain(target))
            self._tasks.add(task)

    async def _drain(self, version: str) -> None:
        await asyncio.sleep(self.drains_after_s)
        await asyncio.gather(*(worker.drain() for worker in self._list(version)))

    def _list(self, version: str) -> list[VersionWorker]:
        return [worker for worker in self.workers if worker.version == version]


class Exposure:
    """Judges the rule EXPOSURE for one bad version."""

    def __init__(
        self,
        bed: Bed,
        release: Release,
        clients: Clients,
        version: str,
        ordered: float,
        duration_s: float,
    ) -> None:
        self._bed = bed
        self._clients = clients
        self._version = version
        self._ordered = ordered
        self._deadline = ordered + duration_s
        self._release = release
        self._all = list(release.workers)

    def add(self, workers: list[VersionWorker]) -> None:
        """Adds workers that were started since."""
        self._all += workers

    def judge(self) -> bool:
        """Returns whether the rule held, and records the figures."""
        arrivals = [
            one
            for worker in self._all
            for one in worker.arrivals
            if self._ordered <= one.at <= self._deadline
        ]
        bad = [one for one in arrivals if one.version == self._version and self._bed.touch[one.id]]
        allowed = BOUNDS["exposure_share"] * len(arrivals) + BOUNDS["exposure_slack"]
        failures = sorted(
            at for worker in self._all if worker.version == self._version for at in worker.failed_at
        )
        text = f"{self._version} got {len(bad)} of {len(arrivals)} requests, allowed {allowed:.0f}"
        late = []
        if len(failures) >= 50:
            limit = failures[49] + BOUNDS["rollback_ms"] / 1_000
            late = [
                one
                for worker in self._all
                for one in worker.arrivals
                if one.version == self._version
                and one.id in self._clients.attempts
                and self._clients.attempts[one.id].sent > limit
                and self._bed.touch[one.id]
            ]
            text += f"; its 50th bad answer came {failures[49] - self._ordered:.1f} s after the"
            text += f" order; {len(late)} requests later than rollback_ms after it"
        attempts = [
            one
            for one in self._clients.attempts.values()
            if self._ordered <= one.sent <= self._deadline
        ]
        failed = sum(one.status >= 500 or not one.status for one in attempts)
        text += f"; {failed} of {len(attempts)} client attempts failed"
        self._bed.judge(text)
        return len(bad) <= allowed and not late

"""Soak of gateways as processes before endpoints that limit, leave, turn away, crash or are cut.

Run by hand with more seeds and instances:
``python -m tests.mastickeel_platform.limit_soak --first 1 --seeds 50 --instances 9``.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import math
import os
import random
import signal
import sys
import tempfile
import zlib
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from mastickeel.clock import Clock
from mastickeel.tasks import TaskGroup
from tests.mastickeel_platform.gateway_case import PEERS, SETTINGS
from tests.mastickeel_platform.standins import (
    FakeStore,
    RawServer,
    Reply,
    Request,
    answer_bytes,
    call,
    configuration,
    entry,
    read_reply,
    request_bytes,
    route,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine

RATES = (0.5, 1.0, 1.6, 4.0, 12.0)
ENDPOINT_COUNT = 3
WINDOW_MS = 4_000
EXCESS = 1.5
SLACK = 5
CONTACT_MS = 3_000
"""The platform's bounds: what an endpoint may get in a window above its limit, and the time after
the first answer with a limit, and after an instance's fault, from which on requests count."""
DRAIN_MS = 2_000
"""Time after an endpoint has said that it leaves, from which its sender may send nothing."""
AWAY_FROM_MS = 500
MAX_SENT_WHILE_AWAY = 2
"""Time after a refusal with a time to stay away, and the most requests between it and the end."""
AWAY_S = (0.6, 1.5, 3.0, 6.0)
CRASHES_BEFORE = 5
MAX_SENT_TO_CRASH = 3
"""Crashes of a part after which, CONTACT_MS later, requests with it count, and the most of them."""
MAX_SOUND_REFUSED = 0.05
"""Largest share of requests without a crashing part that may be refused for their parts."""
FALLS_ALLOWED = 2
FALLS_SHARE = 0.1
"""Falls that are allowed in one time in which endpoints are brittle: a number and a share of the
endpoints."""
TOLERANCES = (1, 2)
BRITTLE_ROOM = 2
BRITTLE_FOR_MS = (5_000, 9_000)
CRASH_AFTER_MS = (20, 120)
RESTART_MS = 1_000
CRASHING_INTERVAL_MS = 250
CRASHING_FOR_MS = (3_000, 9_000)
MIN_SERVED_WHEN_CUT = 2 / 3
MAX_FAILED_WHEN_CUT = 10
MAX_FAILED_SHARE = 1 / 50
"""Share of the other instances' rate at which instances that are cut off from all endpoints serve
first tries, and the failures there that are allowed: a number and a share of all first tries."""
MIN_SERVED_ELSEWHERE = 0.5
"""Share of first tries that the other instances serve, below which the endpoints' own limits decide
who is served."""
CUT_FOR_MS = (4_000, 8_000)
START_TIMEOUT_MS = 30_000
REQUEST_TIMEOUT_MS = 8_000
REQUEST_INTERVAL_MS = 150
"""Mean time between two requests of one client; each instance has two clients."""
WORK_MS = (5, 60)
FAULT_PAUSE_MS = 1_500
CRASHING_PREFIX = "bad"
SOUND_PARTS = "f1:5,50:10"
CONFIGURATION = configuration(7, route("look", "safe", max_attempts=2))


@dataclass(frozen=True)
class Arrival:
    """A request at an endpoint."""

    at_ms: int
    sender: str
    request_id: str
    born: int
    """Start of the endpoint's process."""
    ran: bool
    part: str = ""
    """The crashing part of its prompt; empty for none."""


@dataclass(frozen=True)
class Statement:
    """An answer that says that the endpoint leaves, or that it wants nothing for a time."""

    at_ms: int
    sender: str
    born: int
    away_ms: float | None = None
    """Time to stay away; None when the endpoint leaves."""


@dataclass
class LimitedEndpoint:
    """An endpoint that names a limit while it has one."""

    id: str
    server: RawServer
    born: int = 1
    is_leaving: bool = False
    is_draining: bool = False
    """Whether its entry says that it leaves."""
    away_s: float | None = None
    """Time to stay away in its refusals; None while it serves."""
    statements: list[Statement] = field(default_factory=list)
    limit: float | None = None
    named_since_ms: int | None = None
    """Time of the first answer with the present limit."""
    periods: list[tuple[float, int, int]] = field(default_factory=list)
    """Limits that are over: requests a second, and the times of the first and last answer."""
    arrivals: list[Arrival] = field(default_factory=list)
    tolerance: int | None = None
    """Refusals a second that the endpoint bears; None while it is not brittle."""
    running: int = 0
    refusals: list[Arrival] = field(default_factory=list)
    """Requests that were turned away for want of room while it was brittle."""

    def set_limit(self, limit: float | None, now_ms: int) -> None:
        """Ends the present limit and begins another."""
        if self.limit is not None and self.named_since_ms is not None:
            self.periods.append((self.limit, self.named_since_ms, now_ms))
        self.limit, self.named_since_ms = limit, None


@dataclass
class Instance:
    """A gateway process."""

    id: str
    process: asyncio.subprocess.Process | None = None
    port: int = 0
    faults_ms: list[tuple[int, int]] = field(default_factory=list)
    """Spans in which the process was stopped, restarted or cut off."""
    cut_file: Path = Path()
    """File that cuts the process off from endpoints."""


@dataclass(frozen=True)
class Try:
    """First try of a request without a crashing part."""

    at_ms: int
    instance: str
    served: bool


@dataclass(frozen=True)
class Cut:
    """Time in which some instances were cut off from all endpoints."""

    begin_ms: int
    end_ms: int
    instances: frozenset[str]


@dataclass
class Result:
    """What a run has shown."""

    seed: int
    outcomes: Counter[str]
    violations: list[str]
    fault_counts: Counter[str]


class LimitSoak:
    """One run."""

    def __init__(self, seed: int, instance_count: int, duration_ms: int) -> None:
        """Creates a run that has not started.

        Args:
            seed: Seed of the faults, limits and requests.
            instance_count: Number of gateway processes.
            duration_ms: Time under faults.
        """
        self._seed = seed
        self._rng = random.Random(seed)
        self._clock = Clock()
        self._duration_ms = duration_ms
        self._store = FakeStore()
        self._instances = [Instance(f"edge-{number}") for number in range(instance_count)]
        self._endpoints: list[LimitedEndpoint] = []
        self._outcomes: Counter[str] = Counter()
        self._faults: Counter[str] = Counter()
        self._violations: list[str] = []
        self._tries: list[Try] = []
        self._cuts: list[Cut] = []
        self._crashes_ms_by_part: dict[str, list[int]] = defaultdict(list)
        self._ids_by_sender: dict[str, str] = {}
        self._refused_ids: set[str] = set()
        self._served_ids: set[str] = set()
        self._ended = False
        self._tasks = TaskGroup()

    async def run(self) -> Result:
        """Starts everything, breaks it for the duration, and checks what the endpoints got."""
        with tempfile.TemporaryDirectory() as folder:
            await self._store.server.start()
            self._store.put("op/config", CONFIGURATION)
            for number in range(ENDPOINT_COUNT):
                await self._add_endpoint(number)
            try:
                starts = (self._start(instance, Path(folder)) for instance in self._instances)
                await asyncio.gather(*starts)
                clients = [
                    asyncio.create_task(client(instance))
                    for instance in self._instances
                    for client in (self._send_on_new, self._send_on_kept)
                ]
                await self._break(Path(folder))
                self._ended = True
                await asyncio.gather(*clients)
            finally:
                await self._stop_all()
        self._check()
        return Result(self._seed, self._outcomes, self._violations, self._faults)

    async def _add_endpoint(self, number: int) -> None:
        endpoint = LimitedEndpoint(f"i-{number}", RawServer(self._respond))
        self._endpoints.append(endpoint)
        await endpoint.server.start()
        self._write_entry(endpoint)

    def _write_entry(self, endpoint: LimitedEndpoint) -> None:
        state = "draining" if endpoint.is_draining else "ready"
        value = entry(endpoint.server.port, born=endpoint.born, state=state)
        self._store.put(f"servers/{endpoint.id}", value)

    async def _respond(self, request: Request, writer: asyncio.StreamWriter) -> None:
        endpoint = next(
            one for one in self._endpoints if one.id == request.headers["expect-instance"]
        )
        now = self._clock.now()
        sender = self._ids_by_sender.get(request.id, "")
        away_s, born = endpoint.away_s, endpoint.born
        middle = request.headers.get("prompt-prefix", "").split(",")[1:2]
        part = middle[0] if middle and middle[0].startswith(CRASHING_PREFIX) else ""
        endpoint.arrivals.append(Arrival(now, sender, request.id, born, away_s is None, part))
        if part and away_s is None and endpoint.tolerance is None:
            await self._clock.sleep(self._rng.uniform(*CRASH_AFTER_MS))
            if endpoint.born == born:
                self._crashes_ms_by_part[part].append(self._clock.now())
                self._tasks.start(self._crash(endpoint))
            return
        fields = []
        if endpoint.tolerance is not None:
            fields.append(f"Server-Brittle: {endpoint.tolerance}")
        has_room = endpoint.tolerance is None or endpoint.running < BRITTLE_ROOM
        if not has_room:
            endpoint.refusals.append(endpoint.arrivals[-1])
            fields.append("Not-Executed: 1")
            endpoint.arrivals[-1] = replace(endpoint.arrivals[-1], ran=False)
        elif away_s is not None:
            fields += ["Not-Executed: 1", f"Retry-After: {away_s}"]
            endpoint.statements.append(Statement(now, sender, born, away_s * 1_000))
        else:
            endpoint.running += 1
            await self._clock.sleep(self._rng.uniform(*WORK_MS))
            endpoint.running -= 1
        if endpoint.is_leaving and endpoint.born == born:
            fields.append("Server-Leaving: 1")
            endpoint.statements.append(Statement(self._clock.now(), sender, born))
        if endpoint.limit is not None:
            fields.append(f"Server-Limit: {endpoint.limit}")
            if endpoint.named_since_ms is None:
                endpoint.named_since_ms = self._clock.now()
        status = "200 OK" if has_room and away_s is None else "503 Busy"
        writer.write(answer_bytes(request, status=status, extra="\r\n".join(fields)))

    async def _crash(self, endpoint: LimitedEndpoint) -> None:
        """Crashes an endpoint, which starts again under another time of its start."""
        endpoint.set_limit(None, self._clock.now())
        endpoint.born += 1
        endpoint.is_leaving = endpoint.is_draining = False
        endpoint.server.crash()
        await self._clock.sleep(RESTART_MS)
        endpoint.server.port = 0
        await endpoint.server.start()
        self._write_entry(endpoint)

    async def _start(self, instance: Instance, folder: Path) -> None:
        """Starts a gateway process and waits until it listens."""
        path = folder / f"{instance.id}.conf"
        text = SETTINGS.format(port=self._store.server.port).replace("edge-1", instance.id)
        instance.cut_file = folder / f"{instance.id}.cut"
        instance.cut_file.touch()
        path.write_text(text.replace('level = "error"', 'level = "info"') + PEERS)
        process = instance.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.mastickeel_platform.cut_gateway",
            "serve",
            env={
                **os.environ,
                "MASTICKEEL_CONFIG": str(path),
                "CUT_FILE": str(instance.cut_file),
            },
            stdout=asyncio.subprocess.PIPE,
        )
        await self._clock.wait_for(self._read_port(instance), START_TIMEOUT_MS)
        self._tasks.start(_discard(process.stdout))

    async def _read_port(self, instance: Instance) -> None:
        """Reads the port from the log; another fault may end the process before it listens."""
        process = instance.process
        assert process is not None and process.stdout is not None
        async for line in process.stdout:
            record = json.loads(line)
            if record["event"] == "started":
                instance.port = record["callers"]
                return
        code = await process.wait()
        if instance.process is process:
            raise RuntimeError(f"{instance.id} ended before it listened, with code {code}")

    async def _send_on_new(self, instance: Instance) -> None:
        """Sends requests on new connections until the run ends."""
        number = 0
        while not self._ended:
            number += 1
            await self._pause()
            request_id = self._name_request(instance, f"n{number}")
            reply = self._call(instance.port, request_id)
            await self._try(instance, request_id, reply)

    async def _call(self, port: int, request_id: str, parts: str = SOUND_PARTS) -> Reply:
        return await call(port, _prompt_bytes(request_id, parts))

    async def _send_on_kept(self, instance: Instance) -> None:
        """Sends requests on one connection until its process is gone, then opens another."""
        number = 0
        while not self._ended:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", instance.port)
            except OSError:
                await self._pause()
                continue
            is_open = True
            while is_open and not self._ended:
                number += 1
                await self._pause()
                request_id = self._name_request(instance, f"k{number}")
                writer.write(_prompt_bytes(request_id, SOUND_PARTS))
                is_open = await self._try(instance, request_id, read_reply(reader))
            writer.close()

    def _name_request(self, instance: Instance, number: str) -> str:
        request_id = f"{instance.id}-{number}"
        self._ids_by_sender[request_id] = instance.id
        return request_id

    async def _try(
        self, instance: Instance, request_id: str, reply: Coroutine[object, object, Reply]
    ) -> bool:
        """Awaits a reply to a sound request; returns whether the connection can be used again."""
        at_ms = self._clock.now()
        is_open = await self._exchange(instance, request_id, reply)
        self._tries.append(Try(at_ms, instance.id, request_id in self._served_ids))
        return is_open

    async def _exchange(
        self, instance: Instance, request_id: str, reply: Coroutine[object, object, Reply]
    ) -> bool:
        """Awaits a reply and records it; returns whether the connection can be used again."""
        try:
            got = await self._clock.wait_for(reply, REQUEST_TIMEOUT_MS)
        except (OSError, TimeoutError, ValueError, IndexError) as error:
            self._outcomes[type(error).__name__] += 1
            return False
        is_part = got.status == 503 and b'"part_refused"' in got.body
        self._outcomes["part_refused" if is_part else str(got.status)] += 1
        self._outcomes["sound_refused"] += is_part and CRASHING_PREFIX not in request_id
        if got.status == 200:
            self._served_ids.add(request_id)
        if got.status in (401, 403, 404):
            self._violations.append(f"{request_id}: {got.status} though the route is there")
        if got.status == 503:
            self._refused_ids.add(request_id)
            if "retry-after" not in got.headers:
                self._violations.append(f"{request_id}: refused without a time to come back")
        return got.status != 0 and got.headers.get("connection") != "close"

    async def _pause(self) -> None:
        await self._clock.sleep(self._rng.expovariate(1 / REQUEST_INTERVAL_MS))

    async def _break(self, folder: Path) -> None:
        """Changes limits and injects faults, in series and overlapping."""
        end_ms = self._clock.now() + self._duration_ms
        running: list[asyncio.Task[None]] = []
        faults = {
            "limit": self._change_limit,
            "kill": lambda: self._restart(signal.SIGKILL, folder),
            "term": lambda: self._restart(signal.SIGTERM, folder),
            "freeze": self._freeze,
            "store": self._lose_store,
            "entry": self._lose_entry,
            "older": self._restore_older_copy,
            "leave": self._replace_endpoint,
            "away": self._turn_away,
            "part": self._send_crashing_part,
            "cut": self._cut_off,
            "brittle": self._be_brittle,
        }
        for endpoint in self._endpoints[: self._rng.randint(1, ENDPOINT_COUNT)]:
            endpoint.set_limit(self._rng.choice(RATES), self._clock.now())
        while self._clock.now() < end_ms:
            name = self._rng.choice(("limit", *faults))
            self._faults[name] += 1
            running.append(asyncio.create_task(faults[name]()))
            await self._clock.sleep(self._rng.uniform(0, 2 * FAULT_PAUSE_MS))
        await asyncio.gather(*running)

    async def _change_limit(self) -> None:
        endpoint = self._rng.choice(self._endpoints)
        endpoint.set_limit(self._rng.choice((None, *RATES)), self._clock.now())

    async def _replace_endpoint(self) -> None:
        """Lets an endpoint leave, with or without a word in its entry, and start again."""
        endpoint = self._rng.choice(self._endpoints)
        if endpoint.is_leaving:
            return
        endpoint.is_leaving = True
        await self._clock.sleep(self._rng.uniform(0, 2_000))
        if self._rng.random() < 0.5:
            endpoint.is_draining = True
            self._write_entry(endpoint)
        await self._clock.sleep(self._rng.uniform(1_000, 5_000))
        endpoint.set_limit(None, self._clock.now())
        endpoint.born += 1
        endpoint.is_leaving = endpoint.is_draining = False
        self._write_entry(endpoint)

    async def _turn_away(self) -> None:
        """Lets an endpoint turn all requests away for some time."""
        endpoint = self._rng.choice(self._endpoints)
        endpoint.away_s = self._rng.choice(AWAY_S)
        await self._clock.sleep(self._rng.uniform(500, 3_000))
        endpoint.away_s = None

    async def _be_brittle(self) -> None:
        """Lets all endpoints say that they are brittle for a time; checks how often they fall."""
        if any(endpoint.tolerance is not None for endpoint in self._endpoints):
            return
        tolerance = self._rng.choice(TOLERANCES)
        begin_ms = self._clock.now()
        for endpoint in self._endpoints:
            endpoint.tolerance = tolerance
            endpoint.refusals.clear()
        await self._clock.sleep(self._rng.uniform(*BRITTLE_FOR_MS))
        falls = 0
        for endpoint in self._endpoints:
            endpoint.tolerance = None
            times_ms = [
                one.at_ms
                for one in endpoint.refusals
                if one.at_ms >= begin_ms + CONTACT_MS and not self._is_excused(one)
            ]
            falls += sum(
                last - first < 1_000
                for first, last in zip(times_ms, times_ms[tolerance:], strict=False)
            )
        self._outcomes["brittle_refusals"] += sum(len(one.refusals) for one in self._endpoints)
        if falls > FALLS_ALLOWED + FALLS_SHARE * len(self._endpoints):
            self._violations.append(f"{falls} falls since {begin_ms}, tolerance {tolerance}")

    async def _cut_off(self) -> None:
        """Cuts some instances, but not all, off from all endpoints."""
        if any(cut.end_ms > self._clock.now() for cut in self._cuts):
            return
        count = self._rng.randint(1, len(self._instances) - 1)
        instances = self._rng.sample(self._instances, count)
        how = self._rng.choice(("hang", "refuse"))
        end_ms = self._clock.now() + round(self._rng.uniform(*CUT_FOR_MS))
        ids = frozenset(instance.id for instance in instances)
        self._cuts.append(Cut(self._clock.now(), end_ms, ids))
        while self._clock.now() < end_ms:
            ports = " ".join(str(endpoint.server.port) for endpoint in self._endpoints)
            for instance in instances:
                # Replaced as a whole: a process may read it at any moment.
                new_file = instance.cut_file.with_suffix(".new")
                new_file.write_text(f"{how} {ports}")
                new_file.replace(instance.cut_file)
            await self._clock.sleep(100)
        for instance in instances:
            instance.cut_file.write_text("")

    async def _send_crashing_part(self) -> None:
        """Sends requests with one part that crashes endpoints, no two alike, to any instance."""
        part = f"{CRASHING_PREFIX}{self._rng.getrandbits(32):08x}:10"
        end_ms = self._clock.now() + self._rng.uniform(*CRASHING_FOR_MS)
        number = 0
        while self._clock.now() < end_ms:
            number += 1
            instance = self._rng.choice(self._instances)
            request_id = self._name_request(instance, f"{part}-{number}")
            self._tasks.start(
                self._exchange(
                    instance, request_id, self._call(instance.port, request_id, f"f1:5,{part}")
                )
            )
            await self._clock.sleep(self._rng.expovariate(1 / CRASHING_INTERVAL_MS))

    async def _restart(self, signal_number: signal.Signals, folder: Path) -> None:
        instance = self._rng.choice(self._instances)
        process = instance.process
        if process is None:
            return
        instance.process = None
        begin_ms = self._clock.now()
        process.send_signal(signal_number)
        await process.wait()
        await self._start(instance, folder)
        instance.faults_ms.append((begin_ms, self._clock.now()))

    async def _freeze(self) -> None:
        instance = self._rng.choice(self._instances)
        process = instance.process
        if process is None:
            return
        instance.process = None
        begin_ms = self._clock.now()
        process.send_signal(signal.SIGSTOP)
        await self._clock.sleep(self._rng.uniform(300, 4_000))
        process.send_signal(signal.SIGCONT)
        instance.process = process
        instance.faults_ms.append((begin_ms, self._clock.now()))

    async def _lose_store(self) -> None:
        """Lets the store refuse all calls, and ends the leases of some or all instances."""
        self._store.refusal_status = 503
        await self._clock.sleep(self._rng.uniform(200, 2_500))
        for lease in list(self._store.leases):
            if self._rng.random() < 0.7:
                self._store.end_lease(lease)
        self._store.refusal_status = 0

    async def _restore_older_copy(self) -> None:
        """Lets the store come back from an older copy; its other writers then write again."""
        copy = self._store.copy()
        await self._clock.sleep(self._rng.uniform(500, 4_000))
        self._store.refusal_status = 503
        await self._clock.sleep(self._rng.uniform(0, 800))
        self._store.restore(copy)
        self._store.refusal_status = 0
        writes = [lambda: self._store.put("op/config", CONFIGURATION)]
        writes += [partial(self._write_entry, endpoint) for endpoint in self._endpoints]
        self._rng.shuffle(writes)
        for write in writes:
            await self._clock.sleep(self._rng.uniform(0, 500))
            write()

    async def _lose_entry(self) -> None:
        """Lets an endpoint's entry expire and come back while its process goes on."""
        endpoint = self._rng.choice(self._endpoints)
        key = f"servers/{endpoint.id}"
        if self._store.read(key) is None:
            return
        self._store.delete(key)
        await self._clock.sleep(self._rng.uniform(0, 1_500))
        self._write_entry(endpoint)

    async def _stop_all(self) -> None:
        for instance in self._instances:
            if instance.process is not None and instance.process.returncode is not None:
                self._violations.append(
                    f"{instance.id} ended by itself with code {instance.process.returncode}"
                )
            if instance.process is not None and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        for endpoint in self._endpoints:
            endpoint.set_limit(None, self._clock.now())
            await endpoint.server.stop()
        await self._store.server.stop()
        await self._tasks.stop()

    def _check(self) -> None:
        """Checks the limits, and that what was refused has not run."""
        ran_ids = {
            arrival.request_id for one in self._endpoints for arrival in one.arrivals if arrival.ran
        }
        self._violations += [f"{one}: refused but run" for one in ran_ids & self._refused_ids]
        for cut in self._cuts:
            self._check_cut(cut)
        for part, crashes_ms in self._crashes_ms_by_part.items():
            self._check_part(part, sorted(crashes_ms))
        if self._outcomes["sound_refused"] > MAX_SOUND_REFUSED * self._outcomes["200"]:
            self._violations.append(f"{self._outcomes['sound_refused']} sound requests refused")
        for endpoint in self._endpoints:
            for per_second, begin_ms, end_ms in endpoint.periods:
                self._check_period(endpoint, per_second, begin_ms + CONTACT_MS, end_ms)
            for statement in endpoint.statements:
                self._check_statement(endpoint, statement)

    def _check_cut(self, cut: Cut) -> None:
        """Checks that instances which were cut off served nearly as many first tries as others."""
        tries = [
            one
            for one in self._tries
            if cut.begin_ms + CONTACT_MS <= one.at_ms <= cut.end_ms
            and not self._has_fault(one.instance, one.at_ms)
        ]
        shares = []
        for is_cut in (True, False):
            served = [one.served for one in tries if (one.instance in cut.instances) == is_cut]
            shares.append((sum(served), len(served)))
        (cut_served, cut_tries), (served, other_tries) = shares
        if not cut_tries or not other_tries:
            return
        share, other_share = cut_served / cut_tries, served / other_tries
        if other_share < MIN_SERVED_ELSEWHERE:
            return
        allowed = MAX_FAILED_WHEN_CUT + MAX_FAILED_SHARE * len(tries)
        if share < MIN_SERVED_WHEN_CUT * other_share and cut_tries - cut_served > allowed:
            self._violations.append(f"{cut}: served {shares[0]} of first tries, others {shares[1]}")

    def _check_part(self, part: str, crashes_ms: list[int]) -> None:
        """Checks that the instances stop to send a part that has crashed endpoints."""
        if len(crashes_ms) < CRASHES_BEFORE:
            return
        begin_ms = crashes_ms[CRASHES_BEFORE - 1] + CONTACT_MS
        sent = [
            arrival
            for endpoint in self._endpoints
            for arrival in endpoint.arrivals
            if arrival.part == part and arrival.at_ms > begin_ms and not self._is_excused(arrival)
        ]
        if len(sent) > MAX_SENT_TO_CRASH:
            self._violations.append(
                f"{part}: {len(sent)} requests after {len(crashes_ms)} crashes at {crashes_ms}"
            )

    def _check_statement(self, endpoint: LimitedEndpoint, statement: Statement) -> None:
        """Checks what the receiver of a statement sent after it; a fault since then excuses it."""
        begin_ms, end_ms = statement.at_ms + DRAIN_MS, math.inf
        allowed = 0
        if statement.away_ms is not None:
            begin_ms, end_ms = statement.at_ms + AWAY_FROM_MS, statement.at_ms + statement.away_ms
            allowed = MAX_SENT_WHILE_AWAY
        instance = next(one for one in self._instances if one.id == statement.sender)
        faults_ms = [end for _, end in instance.faults_ms if end >= statement.at_ms]
        end_ms = min([end_ms, *faults_ms])
        sent = [
            arrival
            for arrival in endpoint.arrivals
            if (arrival.sender, arrival.born) == (statement.sender, statement.born)
            and begin_ms < arrival.at_ms <= end_ms
        ]
        if len(sent) > allowed:
            self._violations.append(f"{endpoint.id}: {len(sent)} requests after {statement}")

    def _check_period(
        self, endpoint: LimitedEndpoint, per_second: float, begin_ms: int, end_ms: int
    ) -> None:
        allowed = EXCESS * per_second * WINDOW_MS / 1_000 + SLACK
        counted = [
            arrival
            for arrival in endpoint.arrivals
            if begin_ms <= arrival.at_ms <= end_ms and not self._is_excused(arrival)
        ]
        first = 0
        for last, arrival in enumerate(counted):
            while counted[first].at_ms <= arrival.at_ms - WINDOW_MS:
                first += 1
            if last - first + 1 > allowed:
                self._violations.append(
                    f"{endpoint.id} named {per_second} a second and got {last - first + 1}"
                    f" requests in {WINDOW_MS} ms, allowed {allowed:g}"
                )
                return

    def _is_excused(self, arrival: Arrival) -> bool:
        """Returns whether the sender was under a fault, or just after it."""
        return self._has_fault(arrival.sender, arrival.at_ms)

    def _has_fault(self, instance_id: str, at_ms: int) -> bool:
        """Returns whether an instance was under a fault, or just after it."""
        instance = next(one for one in self._instances if one.id == instance_id)
        return any(
            begin_ms <= at_ms <= end_ms + CONTACT_MS for begin_ms, end_ms in instance.faults_ms
        )


def _prompt_bytes(request_id: str, parts: str) -> bytes:
    """Returns the bytes of a request whose prompt has these parts and one of its own."""
    body = request_id.encode()
    own = f"{zlib.crc32(body):x}:10"
    headers = f"Model: m\r\nToken-Count: 100,20\r\nPrompt-Prefix: {parts},{own}"
    return request_bytes("/look/a", request_id, body=body, headers=headers)


async def _discard(stream: asyncio.StreamReader | None) -> None:
    """Reads a stream to its end."""
    while stream is not None and await stream.read(65_536):
        pass


def main() -> int:
    """Runs several seeds and prints a line for each; returns 1 after a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--instances", type=int, default=9)
    parser.add_argument("--seconds", type=int, default=20)
    options = parser.parse_args()
    totals: dict[str, int] = defaultdict(int)
    for seed in range(options.first, options.first + options.seeds):
        soak = LimitSoak(seed, options.instances, options.seconds * 1_000)
        result = asyncio.run(soak.run())
        totals["violations"] += len(result.violations)
        print(seed, dict(result.outcomes), dict(result.fault_counts), result.violations, flush=True)
    print(json.dumps(totals))
    return 1 if totals["violations"] else 0


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(main())

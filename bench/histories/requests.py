"""Requests under faults: each answer whole and its own, nothing run twice, each "not run" true."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from bench.fleets.client import HOST
from bench.fleets.faults import set_for_a_while
from bench.histories.scaled_clock import ScaledClock
from bench.histories.types import HistoryResult
from mastickeel.addresses import Address
from mastickeel.errors import StoreError
from mastickeel.httpmessages import (
    ConnectionFailedError,
    ExchangeBrokenError,
    HttpRequest,
    Timeouts,
)
from mastickeel_router.demo import ACCOUNT_KEY
from mastickeel_standins.engine import generate_pieces
from mastickeel_standins.keyvalue import KeyValueStandin
from mastickeel_standins.plain import PlainStandin
from tests.fleet import Fleet, read_json, stream_events

if TYPE_CHECKING:
    from mastickeel.httpmessages import HttpAnswer

CLOCK_FACTOR = 25
START_ATTEMPTS = 5
ROUTERS = (2, 3)
ENGINES = 3
TOKENS = 6
PIECE_MS = 40
CALLERS = 6
OPERATIONS_PER_CALLER = 3
PAUSE_MS = 600
FAULTS = (1, 3)
FAULT_START_MS = 1_200
FAULT_LENGTH_MS = (500, 4_000)
STORE_SLOW_MS = 800
LOST_ANSWERS = 2
SERVICE = "order-register"
PATIENCE = Timeouts(connect_ms=200_000, first_byte_ms=200_000, between_bytes_ms=200_000)
"""Callers wait for an answer, so that none is taken for cut when the machine is busy."""

Fault = Callable[["RequestsRun", float], Awaitable[None]]
"""Brings a fault about for so many milliseconds."""


@dataclass
class RequestsRun:
    """One run and what was seen in it."""

    seed: int
    clock: ScaledClock = field(default_factory=lambda: ScaledClock(CLOCK_FACTOR))
    violations_by_promise: Counter[str] = field(default_factory=Counter)
    faults_by_kind: Counter[str] = field(default_factory=Counter)
    details: list[str] = field(default_factory=list)
    """A line for each violation."""
    refused_ids: list[str] = field(default_factory=list)
    """Requests that were told that they did not run."""
    keyed: dict[str, str] = field(default_factory=dict)
    """The body sent under each key; each is sent again when all faults are over."""
    bodies: list[str] = field(default_factory=list)
    """Bodies of the calls without a key, each sent once."""
    answers_by_key: dict[str, set[int]] = field(default_factory=dict)
    """The numbers of the runs that the repeats of each key were answered with."""
    operations: int = 0

    def __post_init__(self) -> None:
        self.draw = random.Random(self.seed)
        """Its random numbers."""
        self.fleet = self._make_fleet()
        """The routers and stand-ins."""

    def _make_fleet(self) -> Fleet:
        return Fleet(
            clock=self.clock,
            store=KeyValueStandin(self.clock),
            register=PlainStandin(SERVICE, self.clock),
        )

    async def _start(self) -> None:
        """Starts the fleet, anew where a busy machine made the first change time out."""
        engine: dict[str, Any] = {"clock": self.clock, "tokens": TOKENS, "piece_ms": PIECE_MS}
        routers = self.draw.randint(*ROUTERS)
        for attempt in range(START_ATTEMPTS):
            try:
                await self.fleet.start(routers=routers, engines=ENGINES, **engine)
                return
            except StoreError:
                await self.fleet.stop()
                if attempt == START_ATTEMPTS - 1:
                    raise
                self.fleet = self._make_fleet()

    async def run(self) -> HistoryResult:
        """Runs callers and faults, and checks what was seen from both sides."""
        await self._start()
        try:
            faults = [self._fault() for _ in range(self.draw.randint(*FAULTS))]
            await asyncio.gather(*(self._caller() for _ in range(CALLERS)), *faults)
            await asyncio.gather(*(self._send(body, key) for key, body in self.keyed.items()))
            self._check_endpoints()
        finally:
            await self.fleet.stop()
        return HistoryResult(
            self.seed,
            self.operations,
            dict(self.faults_by_kind),
            dict(self.violations_by_promise),
        )

    def broken(self, promise: str, detail: str) -> None:
        """Notes a violation."""
        self.violations_by_promise[promise] += 1
        self.details.append(f"{promise}: {detail}")

    async def _fault(self) -> None:
        """Brings one random fault about, and lifts it."""
        kind = self.draw.choice(sorted(FAULTS_BY_KIND))
        length_ms = self.draw.uniform(*FAULT_LENGTH_MS)
        await self.clock.sleep(self.draw.uniform(0, FAULT_START_MS))
        self.faults_by_kind[kind] += 1
        await FAULTS_BY_KIND[kind](self, length_ms)

    async def _caller(self) -> None:
        """Sends one operation after another."""
        acts = (self._chat, self._chat, self._keyed, self._keyed, self._unkeyed)
        for _ in range(OPERATIONS_PER_CALLER):
            self.operations += 1
            act = self.draw.choice(acts)
            await act(self.operations)
            await self.clock.sleep(self.draw.uniform(0, PAUSE_MS))

    async def _call(self, path: str, body: bytes, headers: dict[str, str]) -> HttpAnswer:
        """Sends a request to a random router, and waits for as long as it takes."""
        router = self.draw.choice(self.fleet.routers)
        given = {"Authorization": f"Bearer {ACCOUNT_KEY}", **headers}
        request = HttpRequest("POST", path, given, body)
        return await self.fleet.http.call(Address(HOST, router.callers_port), request, PATIENCE)

    async def _chat(self, number: int) -> None:
        """Asks for an answer, streamed or whole, and checks it."""
        prompt = f"question {number} of {self.seed}"
        stream = self.draw.random() < 0.7
        try:
            messages = [{"role": "user", "content": prompt}]
            body = {"model": "auto", "stream": stream, "messages": messages}
            answer = await self._call("/v1/chat/completions", msgspec.json.encode(body), {})
        except (ConnectionFailedError, ExchangeBrokenError) as error:
            self.broken("whole answer", f"cut without an error: {error}")
            return
        if answer.status != 200:
            self._note_refusal(answer)
        elif stream:
            self._check_stream(answer, prompt)
        else:
            text = read_json(answer)["choices"][0]["message"]["content"]
            self._check_text(answer, prompt, text)

    def _check_stream(self, answer: HttpAnswer, prompt: str) -> None:
        """Checks that a stream ends with its mark and is whole, or ends with an error."""
        events = stream_events(answer)
        if events[-1:] == ["[DONE]"]:
            decoded = [msgspec.json.decode(event) for event in events[:-1]]
            text = "".join(
                choice["delta"].get("content") or ""
                for event in decoded
                for choice in event["choices"]
            )
            self._check_text(answer, prompt, text)
            return
        problem = msgspec.json.decode(events[-1]) if events else {}
        if "error" not in problem:
            self.broken("whole answer", "a stream ended with neither its mark nor an error")
        elif problem["ran"] == "no":
            self.broken("not run", f"pieces came, and yet: {problem}")

    def _check_text(self, answer: HttpAnswer, prompt: str, text: str) -> None:
        version = answer.headers["X-Mastickeel-Version"]
        if text != "".join(generate_pieces(version, f"user: {prompt}", TOKENS)):
            self.broken("whole answer", f"{version} to {prompt!r} gave {text!r}")

    async def _keyed(self, number: int) -> None:
        """Calls the service under a key, and repeats that, some of it at once."""
        key, body = f"key-{number}", f"order {number}"
        self.keyed[key] = body
        await self._send(body, key)
        repeats = self.draw.randint(0, 2)
        await asyncio.gather(*(self._send(body, key) for _ in range(repeats)))

    async def _unkeyed(self, number: int) -> None:
        """Calls the service once, without a key."""
        body = f"unkeyed order {number}"
        self.bodies.append(body)
        await self._send(body, "")

    async def _send(self, body: str, key: str) -> None:
        headers = {"Idempotency-Key": key} if key else {}
        try:
            path = f"/services/{SERVICE}/orders"
            answer = await self._call(path, body.encode(), headers)
        except (ConnectionFailedError, ExchangeBrokenError) as error:
            self.broken("whole answer", f"a call was cut without an error: {error}")
            return
        if answer.status != 200:
            self._note_refusal(answer)
            return
        decoded = read_json(answer)
        if decoded["echo"] != body:
            self.broken("own answer", f"{body!r} got the answer to {decoded['echo']!r}")
        if key:
            self.answers_by_key.setdefault(key, set()).add(decoded["ran"])

    def _note_refusal(self, answer: HttpAnswer) -> None:
        """Keeps the id of a request that was told that it did not run."""
        problem = read_json(answer)
        if problem["ran"] == "no":
            self.refused_ids.append(problem["request_id"])

    def _check_endpoints(self) -> None:
        """Checks the logs of the endpoints against what callers were told."""
        register = self.fleet.register
        for key, runs in register.runs_by_key.items():
            if runs > 1:
                self.broken("at most once", f"{key} ran {runs} times")
        bodies = Counter(run.body for run in register.runs)
        for body in self.bodies:
            if bodies[body] > 1:
                self.broken("at most once", f"{body!r} ran {bodies[body]} times")
        for key, answered in self.answers_by_key.items():
            if len(answered) > 1:
                self.broken("same outcome", f"{key} was answered from runs {sorted(answered)}")
        ran = {run.request_id for run in register.runs}
        for engine in self.fleet.engines:
            ran |= {run.request_id for run in engine.runs} | set(engine.running_by_id)
        for request_id in self.refused_ids:
            if request_id in ran:
                self.broken("not run", f"{request_id} ran")


async def run(seed: int) -> HistoryResult:
    """Runs one history.

    Args:
        seed: Draws all that varies.

    Returns:
        What was counted.
    """
    return await RequestsRun(seed).run()


def _engine_fault(**faults: Any) -> Fault:
    """Returns a fault that sets fields of one random engine for a while."""

    async def bring_about(run: RequestsRun, length_ms: float) -> None:
        engine = run.draw.choice(run.fleet.engines)
        before = {name: getattr(engine.faults, name) for name in faults}
        engine.faults.update(faults)
        await run.clock.sleep(length_ms)
        engine.faults.update(before)

    return bring_about


async def _engine_crash(run: RequestsRun, length_ms: float) -> None:
    engine = run.draw.choice(run.fleet.engines)
    engine.faults.restart_ms = length_ms
    engine.crash()
    await run.clock.sleep(length_ms)


def _service_fault(name: str, value: object, off: object) -> Fault:
    """Returns a fault of the plain service."""
    return lambda run, length_ms: set_for_a_while(
        run.clock, run.fleet.register.faults, name, value, off, length_ms
    )


def _store_fault(name: str, value: object, off: object) -> Fault:
    """Returns a fault of the key-value service."""
    return lambda run, length_ms: set_for_a_while(
        run.clock, run.fleet.store.faults, name, value, off, length_ms
    )


FAULTS_BY_KIND: dict[str, Fault] = {
    "engine crash": _engine_crash,
    "engine down": _engine_fault(down=True),
    "engine silent": _engine_fault(silent=True),
    "engine refuses": _engine_fault(fail_rate=1.0, fail_status=503),
    "engine fails": _engine_fault(fail_rate=1.0, fail_status=500),
    "stream cut": _engine_fault(cut_after=2),
    "stream silent": _engine_fault(silent_after=3),
    "stream crossed": _engine_fault(late_and_crossed=True),
    "stream without end": _engine_fault(no_end_mark=True),
    "engine slow": _engine_fault(slow_factor=4.0),
    "service down": _service_fault("down", True, False),
    "service loses answers": _service_fault("lose_answer", True, False),
    "service slow": _service_fault("delay_ms", STORE_SLOW_MS, 0),
    "store down": _store_fault("outage", True, False),
    "store slow": _store_fault("delay_ms", STORE_SLOW_MS, 0),
    "store loses answers": _store_fault("lose_answers", LOST_ANSWERS, 0),
}
"""Every fault, by its kind."""

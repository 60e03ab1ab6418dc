"""A stand-in for a plain service, which answers anything and remembers what it ran."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel.clock import Clock

from ._engine_faults import Faults
from ._engine_http import StandinServer

if TYPE_CHECKING:
    from ._engine_http import Exchange

CONTROL_PREFIX = "/__control"
KEY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "X-Request-Id"


@dataclass(frozen=True)
class PlainRun:
    """A record of one call that ran."""

    number: int
    """The running number, from 1."""
    method: str
    """The HTTP method."""
    path: str
    """The path with its query."""
    idempotency_key: str | None
    """The idempotency key, if there was one."""
    request_id: str | None
    """The request id, if there was one."""
    body: str
    """The body."""
    at_ms: int
    """When it ran, on the clock's intervals."""


class PlainFaults(Faults):
    """The faults of the plain stand-in; all off at first."""

    lose_answer: bool | int = False
    """Whether calls run and their connection is closed without a reply; a number counts down."""
    delay_ms: float = 0
    """How long a call waits after it ran, in milliseconds."""
    silent: bool = False
    """Whether calls are read and neither run nor answered."""
    down: bool = False
    """Whether each connection is closed without a reply or a run."""
    fail_status: int | None = None
    """An HTTP status with which calls are refused before they run."""


class PlainStandin:
    """A plain service that runs each call, as often as it is sent."""

    def __init__(self, name: str, clock: Clock | None = None) -> None:
        """Makes a service; it listens after ``start``.

        Args:
            name: The name of the service.
            clock: The clock; the real one when None.
        """
        self.name = name
        """The name of the service."""
        self.clock = clock or Clock()
        """The clock."""
        self.faults = PlainFaults()
        """The faults, which may be changed at any time."""
        self.runs: list[PlainRun] = []
        """The calls that ran, in order."""
        self.runs_by_key: Counter[str] = Counter()
        """How often a call ran, by idempotency key."""
        self._server = StandinServer(self._handle)

    @property
    def port(self) -> int:
        """The port, known after the start."""
        return self._server.port

    async def start(self, port: int = 0, host: str = "127.0.0.1") -> None:
        """Listens.

        Args:
            port: The port; 0 takes a free one.
            host: The loopback address.
        """
        self._server.start(port, host)

    async def stop(self) -> None:
        """Closes everything."""
        await self._server.stop()

    async def _handle(self, exchange: Exchange) -> None:
        """Answers a call, or shows the faults that forbid it."""
        if exchange.request.path.startswith(CONTROL_PREFIX + "/"):
            await self._handle_control(exchange)
        elif self.faults.down:
            exchange.drop()
        elif self.faults.silent:
            await exchange.closed.wait()
        elif self.faults.fail_status is not None:
            await exchange.json(self.faults.fail_status, {"error": "made to fail"})
        else:
            await self._run(exchange)

    async def _run(self, exchange: Exchange) -> None:
        """Runs a call and answers it, unless the answer is to be lost."""
        run = self._record_run(exchange)
        loses_answer = self._consume_answer_loss()
        await self.clock.sleep(self.faults.delay_ms)
        if loses_answer:
            exchange.drop()
            return
        answer = {
            "service": self.name,
            "method": run.method,
            "path": run.path,
            "ran": run.number,
            "echo": run.body,
        }
        await exchange.json(200, answer)

    def _record_run(self, exchange: Exchange) -> PlainRun:
        """Records a call."""
        request = exchange.request
        run = PlainRun(
            number=len(self.runs) + 1,
            method=request.method or "",
            path=request.uri or "",
            idempotency_key=exchange.header(KEY_HEADER),
            request_id=exchange.header(REQUEST_ID_HEADER),
            body=request.body.decode("utf-8", "replace"),
            at_ms=self.clock.now(),
        )
        self.runs.append(run)
        if run.idempotency_key is not None:
            self.runs_by_key[run.idempotency_key] += 1
        return run

    def _consume_answer_loss(self) -> bool:
        """Returns whether this answer is lost, counting down a number of losses."""
        losses = self.faults.lose_answer
        if not losses:
            return False
        if losses is not True:
            self.faults.lose_answer = losses - 1
        return True

    async def _handle_control(self, exchange: Exchange) -> None:
        """Answers the routes for checking, which no fault touches."""
        key = f"{exchange.request.method} {exchange.request.path.removeprefix(CONTROL_PREFIX)}"
        if key == "GET /runs":
            await exchange.json(200, {"runs": self.runs, "runs_by_key": self.runs_by_key})
        elif key == "POST /faults":
            await handle_faults_request(exchange, self.faults)
        else:
            await exchange.json(404, {"error": "not found"})


async def handle_faults_request(exchange: Exchange, faults: Faults) -> None:
    """Answers a request that sets faults.

    Args:
        exchange: The caller's connection; the body is an object of values by name.
        faults: The faults to set.
    """
    try:
        faults.update(msgspec.json.decode(exchange.request.body, type=dict[str, Any]))
    except ValueError as error:
        await exchange.json(400, {"error": str(error)})
        return
    await exchange.json(200, faults)

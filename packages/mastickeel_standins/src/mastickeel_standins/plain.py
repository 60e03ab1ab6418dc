"""Stand-in for a plain service that echoes every call and records it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel.clock import Clock

from ._engine_faults import FaultStruct
from ._engine_http import StandinServer

if TYPE_CHECKING:
    from ._engine_http import Exchange

CONTROL_PREFIX = "/__control"
KEY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "X-Request-Id"


@dataclass(frozen=True)
class PlainRun:
    """Record of one executed call."""

    number: int
    """Sequence number, from 1."""
    method: str
    """The HTTP method."""
    path: str
    """The path with its query."""
    idempotency_key: str | None
    """The idempotency key, or None."""
    request_id: str | None
    """The request's id, or None."""
    body: str
    """The body as text."""
    at_ms: int
    """Monotonic time of the execution."""


class PlainFaults(FaultStruct):
    """Faults of the plain stand-in, all off by default."""

    lose_answer: bool | int = False
    """Whether executed calls get no reply; a number limits the fault to that many calls."""
    delay_ms: float = 0
    """Delay between executing a call and replying, in milliseconds."""
    silent: bool = False
    """Whether calls are read but neither executed nor answered."""
    down: bool = False
    """Whether each connection is closed without executing the call or replying."""
    fail_status: int | None = None
    """HTTP status with which calls are refused before they run; None executes them."""


class PlainStandin:
    """Plain service that executes every call it receives, repeats included."""

    def __init__(self, name: str, clock: Clock | None = None) -> None:
        """Creates a service that listens after ``start``.

        Args:
            name: The service's name.
            clock: Source of time; the system clock when None.
        """
        self.name = name
        """The service's name."""
        self.clock = clock or Clock()
        """Source of time."""
        self.faults = PlainFaults()
        """Faults, which a test may change at any time."""
        self.runs: list[PlainRun] = []
        """Executed calls, in order."""
        self.runs_by_key: Counter[str] = Counter()
        """Number of executed calls by idempotency key."""
        self._server = StandinServer(self._handle)

    @property
    def port(self) -> int:
        """The TCP port; 0 before ``start``."""
        return self._server.port

    async def start(self, port: int = 0, host: str = "127.0.0.1") -> None:
        """Binds the port and starts listening.

        Args:
            port: The port; 0 chooses a free port.
            host: The loopback address.
        """
        self._server.start(port, host)

    async def stop(self) -> None:
        """Closes the port and all connections and cancels the calls in progress."""
        await self._server.stop()

    async def _handle(self, exchange: Exchange) -> None:
        """Handles a call, subject to the faults."""
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
        """Executes a call and replies unless a fault loses the reply."""
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
        """Adds a call to the records."""
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
        """Returns whether the ``lose_answer`` fault loses this reply; counts the fault down."""
        losses = self.faults.lose_answer
        if not losses:
            return False
        if losses is not True:
            self.faults.lose_answer = losses - 1
        return True

    async def _handle_control(self, exchange: Exchange) -> None:
        """Handles the control routes, which ignore the faults."""
        key = f"{exchange.request.method} {exchange.request.path.removeprefix(CONTROL_PREFIX)}"
        if key == "GET /runs":
            await exchange.json(200, {"runs": self.runs, "runs_by_key": self.runs_by_key})
        elif key == "POST /faults":
            await handle_faults_request(exchange, self.faults)
        else:
            await exchange.json(404, {"error": "not found"})


async def handle_faults_request(exchange: Exchange, faults: FaultStruct) -> None:
    """Handles a request that sets faults and sends all faults.

    Args:
        exchange: The caller's connection; the body is an object of values by fault name.
        faults: The faults to change.
    """
    try:
        faults.update(msgspec.json.decode(exchange.request.body, type=dict[str, Any]))
    except ValueError as error:
        await exchange.json(400, {"error": str(error)})
        return
    await exchange.json(200, faults)

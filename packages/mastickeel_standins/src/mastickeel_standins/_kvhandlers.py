"""HTTP handlers of the key-value stand-in, which apply the faults to each call."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from mastickeel_standins._http import JsonHandler
from mastickeel_standins._kvjson import to_snake_case
from mastickeel_standins._kvstate import (
    FAILED_PRECONDITION,
    INVALID_ARGUMENT,
    NOT_FOUND,
    OUT_OF_RANGE,
    RESOURCE_EXHAUSTED,
    UNAVAILABLE,
    UNIMPLEMENTED,
    KeyValueError,
)
from mastickeel_standins._kvtxn import mutates

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel_standins._faults import KeyValueFaults
    from mastickeel_standins._kvlease import Leases
    from mastickeel_standins._kvwatch import Watches

SERVICE_VERSION = "3.5.13"
WATCH_PATH = "/v3/watch"
TXN_PATH = "/v3/kv/txn"
KEEP_ALIVE_PATH = "/v3/lease/keepalive"
VERSION_PATH = "/version"
MUTATING_PATHS = frozenset(
    {
        "/v3/kv/put",
        "/v3/kv/deleterange",
        "/v3/kv/compaction",
        "/v3/lease/grant",
        "/v3/lease/revoke",
        "/v3/kv/lease/revoke",
        KEEP_ALIVE_PATH,
    }
)
STATUSES_BY_CODE = {
    INVALID_ARGUMENT: 400,
    NOT_FOUND: 404,
    RESOURCE_EXHAUSTED: 429,
    FAILED_PRECONDITION: 400,
    OUT_OF_RANGE: 400,
    UNIMPLEMENTED: 501,
    UNAVAILABLE: 503,
}


class Service(Protocol):
    """Interface of the stand-in that the handlers use."""

    clock: Clock
    faults: KeyValueFaults
    leases: Leases
    watches: Watches

    def is_cut(self, agent: str) -> bool:
        """Returns whether a fault closes a caller's connections without a reply."""

    def admit(self, path: str, is_mutating: bool) -> None:
        """Counts a call and checks it against the faults and the rate limit."""

    def execute(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Executes a call other than a watch and commits its changes."""

    def consume_answer_loss(self, path: str, raw: bytes, is_mutating: bool) -> bool:
        """Returns whether a fault loses the reply to an executed call."""

    def get_counts(self) -> dict[str, Any]:
        """Returns the call counters."""


class CallHandler(JsonHandler):
    """Handler of one gateway call, subject to the faults."""

    def initialize(self, service: Service) -> None:
        """Stores the service and the caller's User-Agent."""
        self.service = service
        self.user_agent = self.request.headers.get("User-Agent", "")
        self._on_close: Callable[[], None] = lambda: None

    def on_connection_close(self) -> None:
        """Closes the watch when the caller disconnects."""
        self._on_close()

    async def post(self) -> None:
        """Executes the call and sends its response or error."""
        try:
            await self._answer()
        except KeyValueError as error:
            self._reply_error(error)
        except ValueError as error:
            self._reply_error(KeyValueError(INVALID_ARGUMENT, str(error)))

    async def _answer(self) -> None:
        """Executes the call, with the faults applied before and after the execution."""
        service, path, faults = self.service, self.request.path, self.service.faults
        body = to_snake_case(self.json_body())
        is_mutating = path in MUTATING_PATHS or (path == TXN_PATH and mutates(body))
        if not await self._admit(is_mutating):
            return
        if path == WATCH_PATH:
            await self._watch(body)
            return
        response = service.execute(path, body)
        is_lost = service.consume_answer_loss(path, self.request.body, is_mutating)
        if faults.reply_delay_ms:
            await service.clock.sleep(faults.reply_delay_ms)
        if is_lost or service.is_cut(self.user_agent):
            self.drop()
            return
        self.reply(response)

    async def _admit(self, is_mutating: bool) -> bool:
        """Applies the faults that precede the execution; returns whether the call is executed."""
        service = self.service
        try:
            service.admit(self.request.path, is_mutating)
        except KeyValueError:
            if not service.is_cut(self.user_agent):
                raise
        if service.faults.delay_ms and not service.is_cut(self.user_agent):
            await service.clock.sleep(service.faults.delay_ms)
        if service.is_cut(self.user_agent):
            self.drop()
            return False
        return True

    async def _watch(self, body: dict[str, Any]) -> None:
        """Creates a watch and streams its results."""
        service = self.service
        service.leases.expire_due()
        watch = service.watches.create(body, self.user_agent, service.faults.silent_watches)
        self._on_close = lambda: service.watches.close(watch)
        self.set_header("Content-Type", "application/json")
        await service.watches.stream(watch, self, service.is_cut)

    def _reply_error(self, error: KeyValueError) -> None:
        """Sends an error in the gateway's format."""
        body = {"error": error.message, "code": error.code, "message": error.message}
        self.reply(body, STATUSES_BY_CODE[error.code])


class VersionHandler(CallHandler):
    """GET /version, from which client libraries derive the API's path prefix."""

    async def get(self) -> None:
        """Sends the service's version."""
        try:
            if await self._admit(is_mutating=False):
                self.reply({"etcdserver": SERVICE_VERSION, "etcdcluster": "3.5.0"})
        except KeyValueError as error:
            self._reply_error(error)


class CountsHandler(JsonHandler):
    """GET /control/counts: the call counters."""

    def initialize(self, service: Service) -> None:
        """Stores the service whose counters are sent."""
        self.service = service

    def get(self) -> None:
        """Sends the call counters."""
        self.reply(self.service.get_counts())

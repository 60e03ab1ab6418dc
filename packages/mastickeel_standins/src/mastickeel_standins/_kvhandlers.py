"""The HTTP handlers of the key-value stand-in: each call goes through the faults."""

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
    """What the handlers ask of the stand-in."""

    clock: Clock
    faults: KeyValueFaults
    leases: Leases
    watches: Watches

    def is_cut(self, agent: str) -> bool:
        """Returns whether a caller's connections are closed without a reply."""

    def admit(self, path: str, is_mutating: bool) -> None:
        """Counts a call and refuses it when a fault or the limit says so."""

    def execute(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Carries out one call other than a watch."""

    def consume_answer_loss(self, path: str, raw: bytes, is_mutating: bool) -> bool:
        """Returns whether the answer of a call that was carried out is to be lost."""

    def get_counts(self) -> dict[str, Any]:
        """Returns the counters."""


class CallHandler(JsonHandler):
    """One call of the gateway, through the faults."""

    def initialize(self, service: Service) -> None:
        """Takes the service to call."""
        self.service = service
        self.user_agent = self.request.headers.get("User-Agent", "")
        self._on_close: Callable[[], None] = lambda: None

    def on_connection_close(self) -> None:
        """Ends the watch when its caller goes."""
        self._on_close()

    async def post(self) -> None:
        """Carries out the call and answers it."""
        try:
            await self._answer()
        except KeyValueError as error:
            self._reply_error(error)
        except ValueError as error:
            self._reply_error(KeyValueError(INVALID_ARGUMENT, str(error)))

    async def _answer(self) -> None:
        """Takes the call through the faults, before and after carrying it out."""
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
        """Returns whether the call gets as far as being carried out."""
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
        """Streams a watch."""
        service = self.service
        service.leases.expire_due()
        watch = service.watches.create(body, self.user_agent, service.faults.silent_watches)
        self._on_close = lambda: service.watches.close(watch)
        self.set_header("Content-Type", "application/json")
        await service.watches.stream(watch, self, service.is_cut)

    def _reply_error(self, error: KeyValueError) -> None:
        """Answers with an error as the gateway writes it."""
        body = {"error": error.message, "code": error.code, "message": error.message}
        self.reply(body, STATUSES_BY_CODE[error.code])


class VersionHandler(CallHandler):
    """GET /version, by which client libraries find the API's prefix."""

    async def get(self) -> None:
        """Answers with the version."""
        try:
            if await self._admit(is_mutating=False):
                self.reply({"etcdserver": SERVICE_VERSION, "etcdcluster": "3.5.0"})
        except KeyValueError as error:
            self._reply_error(error)


class CountsHandler(JsonHandler):
    """GET /control/counts: the counters."""

    def initialize(self, service: Service) -> None:
        """Takes the service whose counters to show."""
        self.service = service

    def get(self) -> None:
        """Answers with the counters."""
        self.reply(self.service.get_counts())

"""A few routers with stand-ins for the store, engines and services, in one process on loopback."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel.addresses import Address
from mastickeel.changes import hash_secret
from mastickeel.clock import Clock
from mastickeel.httpclient import HttpClient
from mastickeel.httpmessages import HttpAnswer, HttpRequest, Timeouts
from mastickeel.settings import Settings, parse
from mastickeel_router.demo import ACCOUNT_KEY, OPERATOR_TOKEN, demo_delta
from mastickeel_router.router import Router
from mastickeel_standins.engine import EngineStandin
from mastickeel_standins.keyvalue import KeyValueStandin
from mastickeel_standins.plain import PlainStandin

if TYPE_CHECKING:
    from mastickeel.model import Delta

SETTINGS = """
[instance]
id = "router-{number}"
data_centre = "dc-{data_centre}"
region = "region-1"

[callers]
listen = "127.0.0.1:0"
body_limit_bytes = 65536
{callers}
[admin]
listen = "127.0.0.1:0"
{admin}
[peers]
listen = "127.0.0.1:0"

[store]
urls = ["127.0.0.1:{store}"]
calls_per_second = 1000.0

[shutdown]
leave_ms = 0

[pools.draft-models]
checks_fencing = true
checks_orderer = false

[[operators]]
id = "root"
token_sha256 = "{token}"
"""
DATA_CENTRES = 3
TIMEOUTS = Timeouts(first_byte_ms=10_000, between_bytes_ms=10_000)


def make_settings(
    number: int, store_port: int, *, callers: str = "", admin: str = "", extra: str = ""
) -> Settings:
    """Returns the settings of one router of a fleet.

    Args:
        number: Number of the router.
        store_port: Port of the key-value service.
        callers: Additional keys of the table ``callers``.
        admin: Additional keys of the table ``admin``.
        extra: Additional tables.
    """
    text = SETTINGS.format(
        number=number,
        store=store_port,
        token=hash_secret(OPERATOR_TOKEN),
        data_centre=number % DATA_CENTRES,
        callers=callers,
        admin=admin,
    )
    return parse(text + extra)


@dataclass
class Fleet:
    """Routers and stand-ins that a test controls and inspects."""

    clock: Clock = field(default_factory=Clock)
    store: KeyValueStandin = field(default_factory=KeyValueStandin)
    engines: list[EngineStandin] = field(default_factory=list)
    register: PlainStandin = field(default_factory=lambda: PlainStandin("order-register"))
    routers: list[Router] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.http = HttpClient(self.clock)

    async def start(
        self, routers: int = 1, engines: int = 2, delta: Delta | None = None, **engine: Any
    ) -> None:
        """Starts the stand-ins and routers, and commits the given change or the demo's objects."""
        models = ("draft-small@1", "draft-large@1")
        self.engines = [
            EngineStandin(f"engine-{number}", **{"models": models, **engine})
            for number in range(1, engines + 1)
        ]
        for standin in (self.store, self.register, *self.engines):
            await standin.start()
        for number in range(1, routers + 1):
            await self.add_router(number)
        first = self.routers[0]
        change = await first.writer.commit(
            delta or self.default_delta(), base=0, author="test", text="objects of the test"
        )
        for router in self.routers:
            await router.configuration.wait_for_revision(change.revision)

    async def start_empty(self) -> None:
        """Starts one router on an empty store, without endpoints."""
        await self.store.start()
        await self.add_router(1)

    def default_delta(self) -> Delta:
        """Returns the demo's objects on this fleet's stand-ins."""
        addresses = {engine.endpoint_id: f"127.0.0.1:{engine.port}" for engine in self.engines}
        return demo_delta(addresses, f"127.0.0.1:{self.register.port}")

    async def add_router(self, number: int, **tables: str) -> Router:
        """Starts another router; ``tables`` are the keyword arguments of ``make_settings``."""
        settings = make_settings(number, self.store.port, **tables)
        router = Router(settings, self.clock, seed=number)
        await router.start()
        self.routers.append(router)
        return router

    async def stop(self) -> None:
        """Stops all routers and stand-ins."""
        for router in self.routers:
            await router.stop()
        for standin in (*self.engines, self.register, self.store):
            with contextlib.suppress(Exception):
                await standin.stop()
        await self.http.close()

    async def call(
        self,
        path: str,
        body: Any = None,
        *,
        router: int = 0,
        method: str = "POST",
        key: str | None = ACCOUNT_KEY,
        headers: dict[str, str] | None = None,
    ) -> HttpAnswer:
        """Sends a caller's request and returns the complete answer."""
        port = self.routers[router].callers_port
        return await self._send(port, path, body, method, key, headers)

    async def admin(
        self, path: str, body: Any = None, *, router: int = 0, token: str = OPERATOR_TOKEN
    ) -> HttpAnswer:
        """Sends an operator's request: a POST with a body, otherwise a GET."""
        port = self.routers[router].admin_port
        return await self._send(port, path, body, "POST" if body else "GET", token, None)

    async def command(self, text: str, *, router: int = 0) -> dict[str, Any]:
        """Sends an operator's commands and returns the JSON answer."""
        answer = await self.admin("/admin/v1/commands", {"text": text}, router=router)
        return read_json(answer)

    async def chat(
        self, text: str = "hello", *, router: int = 0, model: str = "auto", **fields: Any
    ) -> HttpAnswer:
        """Sends a chat request."""
        headers = fields.pop("headers", None)
        body = {"model": model, "messages": [{"role": "user", "content": text}], **fields}
        return await self.call("/v1/chat/completions", body, router=router, headers=headers)

    async def _send(
        self,
        port: int,
        path: str,
        body: Any,
        method: str,
        key: str | None,
        headers: dict[str, str] | None,
    ) -> HttpAnswer:
        content = body if isinstance(body, bytes) else msgspec.json.encode(body) if body else b""
        auth_headers = {"Authorization": f"Bearer {key}"} if key else {}
        request = HttpRequest(method, path, {**auth_headers, **(headers or {})}, content)
        return await self.http.call(Address("127.0.0.1", port), request, TIMEOUTS)


def read_json(answer: HttpAnswer) -> dict[str, Any]:
    """Returns the JSON object of an answer."""
    decoded: dict[str, Any] = msgspec.json.decode(answer.body)
    return decoded


def stream_events(answer: HttpAnswer) -> list[str]:
    """Returns the data of each event of a streamed answer."""
    lines = answer.body.decode().split("\n")
    return [line[5:].strip() for line in lines if line.startswith("data:")]

"""Test case that runs a gateway over loopback against a fake store and scripted endpoints."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Any

from mastickeel.clock import Clock
from mastickeel_platform.deployment import make_deployment
from mastickeel_router.gateway import Gateway, parse
from tests.mastickeel_platform.standins import (
    FakeStore,
    RawServer,
    Reply,
    Request,
    StoreAccess,
    call,
    configuration,
    entry,
    request_bytes,
    route,
)

if TYPE_CHECKING:
    from tests.mastickeel_platform.standins import Responder

SETTINGS = """
[instance]
id = "edge-1"
data_centre = "dc-a"
region = "r"
[callers]
listen = "127.0.0.1:0"
[health]
listen = "127.0.0.1:0"
path = "/readyz"
[metrics]
listen = "127.0.0.1:0"
[store]
urls = ["127.0.0.1:{port}"]
timeout_ms = 300
[repeats]
ratio = 0.9
slack = 160
[stop]
leave_ms = 10
grace_ms = 3000
[logs]
level = "error"
"""
PEERS = """
[peers]
listen = "127.0.0.1:0"
[tunnels]
listen = "127.0.0.1:0"
"""
WAIT_POLLS = 400
WAIT_POLL_S = 0.02


class GatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """A gateway between callers and endpoints whose responses the test scripts."""

    ROUTES = (
        route("once", "unsafe", max_attempts=1),
        route("look", "safe", max_attempts=2),
        route("draft", "streaming"),
        route("open", "safe", public=True),
    )

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.endpoints: list[RawServer] = []
        store_port = await self.store.server.start()
        self.store.put("op/config", configuration(7, *self.ROUTES))
        settings = parse(SETTINGS.format(port=store_port))
        self.gateway = Gateway(
            settings, Clock(), lambda client: make_deployment(client, settings), seed=1
        )

    async def asyncTearDown(self) -> None:
        await self.gateway.stop()
        for endpoint in self.endpoints:
            await endpoint.stop()
        await self.store.server.stop()

    async def start_gateway(self, *responders: Responder, **changes: Any) -> None:
        """Starts an endpoint per responder and the gateway; waits until it is ready."""
        for respond in responders:
            await self.add_endpoint(respond, **changes)
        await self.gateway.start()
        await self.wait_until(lambda: self.gateway.ready)

    async def add_endpoint(self, respond: Responder, **changes: Any) -> RawServer:
        """Starts an endpoint and writes its entry to the store."""
        endpoint = RawServer(respond)
        self.endpoints.append(endpoint)
        port = await endpoint.start()
        self.store.put(f"servers/i-{len(self.endpoints)}", entry(port, **changes))
        return endpoint

    async def wait_until(self, condition: Any) -> None:
        """Waits until a condition holds; fails the test after 400 polls, 8 s."""
        for _ in range(WAIT_POLLS):
            if condition():
                return
            await asyncio.sleep(WAIT_POLL_S)
        self.fail("the condition did not become true in time")

    async def send_request(self, path: str, request_id: str = "a1", **parts: Any) -> Reply:
        """Sends a caller's request and returns the reply."""
        return await call(self.gateway.callers_port, request_bytes(path, request_id, **parts))

    def received_requests(self) -> list[Request]:
        """Returns all requests that reached an endpoint."""
        return [request for endpoint in self.endpoints for request in endpoint.requests]


class FleetTestCase(GatewayTestCase):
    """Several gateways with one store, each with an access of its own."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.gateways: list[Gateway] = []
        self.accesses: list[StoreAccess] = []

    async def asyncTearDown(self) -> None:
        for gateway in self.gateways:
            await gateway.stop()
        for access in self.accesses:
            await access.server.stop()
        await super().asyncTearDown()

    async def start_fleet(self, count: int) -> None:
        """Starts gateways and waits until each knows the others."""
        for number in range(1, count + 1):
            await self.add_gateway(number)
        await self.wait_until(
            lambda: all(len(self.peer_ids(gateway)) == count - 1 for gateway in self.gateways)
        )

    async def add_gateway(self, number: int) -> Gateway:
        """Starts one gateway, named edge-`number`."""
        access = StoreAccess(self.store)
        self.accesses.append(access)
        text = SETTINGS.format(port=await access.server.start()).replace("edge-1", f"edge-{number}")
        settings = parse(text + PEERS)
        gateway = Gateway(
            settings, Clock(), lambda client: make_deployment(client, settings), seed=number
        )
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    async def restart_fleet(self) -> None:
        """Ends all gateways without a drain, and starts as many again under their names."""
        ended, self.gateways = self.gateways, []
        for gateway in ended:
            await gateway.stop()
        await self.start_fleet(len(ended))
        await self.wait_until(lambda: all(gateway.ready for gateway in self.gateways))

    def peer_ids(self, gateway: Gateway) -> tuple[str, ...]:
        """Returns the ids of the instances that a gateway knows."""
        link: Any = gateway._link
        return tuple(link.peer_ids)

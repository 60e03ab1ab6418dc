"""Requests at an instance that is cut off from the endpoints are served through its peers."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Any

from tests.mastickeel_platform.gateway_case import FleetTestCase
from tests.mastickeel_platform.standins import (
    Reply,
    Request,
    answer_bytes,
    call,
    chunk_bytes,
    event_bytes,
    request_bytes,
    stream_head_bytes,
)

if TYPE_CHECKING:
    from mastickeel.addresses import Address
    from mastickeel_router.gateway import Gateway

GATEWAY_COUNT = 3
ENDPOINT_COUNT = 4
WARM_UP = 6
"""Requests in which an instance may find out that it is cut off."""
REQUEST_COUNT = 10


async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
    """Answers plain requests and streams."""
    if not request.target.startswith("/draft"):
        writer.write(answer_bytes(request, request.id.encode()))
        return
    writer.write(stream_head_bytes(request) + chunk_bytes(event_bytes(1)))
    await asyncio.sleep(0.02)
    writer.write(chunk_bytes(event_bytes(2)) + b"0\r\n\r\n")


class CutInstanceTest(FleetTestCase):
    """Three gateways and four endpoints; the test cuts gateways off from all endpoints."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for _ in range(ENDPOINT_COUNT):
            await self.add_endpoint(respond)
        await self.start_fleet(GATEWAY_COUNT)
        for gateway in self.gateways:
            await self.wait_until(lambda gateway=gateway: gateway.ready)

    def cut(self, gateway: Gateway, *, hangs: bool = False) -> None:
        """Cuts a gateway off: new connections to endpoints are refused, or get no answer."""
        client: Any = gateway.http
        open_stream = client._open
        ports = {endpoint.port for endpoint in self.endpoints}

        async def open_if_reachable(address: Address, timeout_ms: float) -> Any:
            if address.port not in ports or client.heals:
                return await open_stream(address, timeout_ms)
            if hangs:
                await gateway.clock.sleep(timeout_ms)
                raise TimeoutError("no answer")
            raise ConnectionRefusedError("refused")

        client.heals = False
        client._open = open_if_reachable

    async def send(self, gateway: Gateway, path: str, request_id: str) -> Reply:
        data = request_bytes(path, request_id, body=request_id.encode())
        return await call(gateway.callers_port, data)

    async def serve_all(self, gateway: Gateway, path: str) -> None:
        """Sends requests to a gateway and checks that each is served at the first try."""
        for number in range(WARM_UP):
            await self.send(gateway, path, f"w{number}")
        for number in range(REQUEST_COUNT):
            reply = await self.send(gateway, path, f"r{number}")
            self.assertEqual((reply.status, reply.complete), (200, True), reply)

    async def test_requests_are_served_while_connections_are_refused(self) -> None:
        self.cut(self.gateways[0])
        await self.serve_all(self.gateways[0], "/look/a")
        await self.serve_all(self.gateways[0], "/draft/a")

    async def test_requests_are_served_while_connections_hang(self) -> None:
        self.cut(self.gateways[0], hangs=True)
        await self.serve_all(self.gateways[0], "/look/a")

    async def test_requests_are_served_while_most_instances_are_cut(self) -> None:
        self.cut(self.gateways[0])
        self.cut(self.gateways[1])
        for gateway in self.gateways[:2]:
            await self.serve_all(gateway, "/look/a")

    async def test_request_that_may_not_be_repeated_runs_once(self) -> None:
        self.cut(self.gateways[0])
        await self.serve_all(self.gateways[0], "/once/a")
        ids = [request.id for request in self.received_requests()]
        self.assertEqual(len(ids), len(set(ids)))


if __name__ == "__main__":
    unittest.main()

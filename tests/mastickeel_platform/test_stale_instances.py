"""An instance that does not hear the store in time answers callers by what it knew before."""

from __future__ import annotations

import json
import unittest
from typing import TYPE_CHECKING, Any

from mastickeel_router.fleet.broadcast import NoticeBatch
from tests.mastickeel_platform.gateway_case import FleetTestCase, GatewayTestCase
from tests.mastickeel_platform.standins import (
    Request,
    StoreAccess,
    answer_bytes,
    call,
    configuration,
    request_bytes,
    route,
)

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

GATEWAY_COUNT = 3
ORDER_KEY = "op/rollout/register"
NEW_ROUTE = route("new", "safe")
NEW_KEY = [{"name": "gmina", "api_keys": ["key-1", "key-2"], "priority": 0}]
SEND_COUNT = 20


async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
    writer.write(answer_bytes(request, request.headers["expect-instance"].encode()))


def silence(access: StoreAccess) -> None:
    access.silent = True


def silence_watches(access: StoreAccess) -> None:
    access.watches_silent = True


def refuse(access: StoreAccess) -> None:
    access.refusal_status = 503


FAULTS_BY_NAME: dict[str, Callable[[StoreAccess], None]] = {
    "hangs": silence,
    "watches silent": silence_watches,
    "refuses": refuse,
}


class FaultyAccessTest(FleetTestCase):
    """Three gateways; the store fails the first one in some way and serves the others."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for _ in range(2):
            await self.add_endpoint(respond)
        await self.start_fleet(GATEWAY_COUNT)
        for gateway in self.gateways:
            await self.wait_until(lambda gateway=gateway: gateway.ready)
        self.first = self.gateways[0]

    async def status_of(self, path: str, key: str = "key-1") -> int:
        """Returns the status of the first gateway's reply to a request."""
        data = request_bytes(path).replace(b"key-1", key.encode())
        return (await call(self.first.callers_port, data)).status

    async def check_in_force(self, begin: Callable[[StoreAccess], None]) -> None:
        """Changes everything that the store holds, and waits until the first gateway acts on it."""
        begin(self.accesses[0])
        self.store.put("op/config", configuration(8, *self.ROUTES, NEW_ROUTE, tenants=NEW_KEY))
        self.store.put("servers/i-1", self.store.read("servers/i-1") | {"state": "draining"})
        order = {"service": "register", "target": "v2", "duration_s": 60}
        self.store.put(ORDER_KEY, order)
        await self.wait_until(lambda: self.first.table.version == 8)
        await self.wait_until(lambda: len(self.first.registry.usable("register")) == 1)
        await self.wait_until(lambda: self.first.releases.order_of("register") is not None)
        self.assertEqual(await self.status_of("/new/a"), 200)
        self.assertEqual(await self.status_of("/look/a", "key-2"), 200)
        bodies = {
            (await call(self.first.callers_port, request_bytes("/look/a", f"r{number}"))).body
            for number in range(SEND_COUNT)
        }
        self.assertEqual(bodies, {b"i-2"})

    async def test_change_is_unknown_to_an_instance_whose_calls_hang(self) -> None:
        await self.check_in_force(silence)

    async def test_change_is_unknown_to_an_instance_whose_watches_are_silent(self) -> None:
        await self.check_in_force(silence_watches)

    async def test_change_is_unknown_to_an_instance_that_the_store_refuses(self) -> None:
        await self.check_in_force(refuse)

    async def test_changes_of_an_outage_are_delivered_again_after_the_peers_told_them(self) -> None:
        refuse(self.accesses[0])
        self.store.put("op/config", configuration(8, *self.ROUTES))
        self.store.put("op/config", configuration(9, *self.ROUTES, NEW_ROUTE))
        await self.wait_until(lambda: self.first.table.version == 9)
        self.accesses[0].refusal_status = 0
        self.store.put("servers/i-1", self.store.read("servers/i-1") | {"state": "draining"})
        await self.wait_until(lambda: len(self.first.registry.usable("register")) == 1)
        self.assertEqual(self.first.table.version, 9)

    async def test_notice_of_a_change_is_lost_with_a_silent_hub(self) -> None:
        async def lose(sender: str, batch: NoticeBatch) -> None:
            return None

        for gateway in self.gateways:
            link: Any = gateway._link
            link.register_handler(NoticeBatch, lose)
        silence_watches(self.accesses[0])
        revision = self.store.put("op/config", configuration(8, *self.ROUTES, NEW_ROUTE))
        knowledge: Any = self.first.knowledge
        await self.wait_until(lambda: knowledge._exchange._notified.revision >= revision)

    async def test_version_that_is_written_late_replaces_a_newer_one(self) -> None:
        self.store.put("op/config", configuration(9, *self.ROUTES, NEW_ROUTE))
        for gateway in self.gateways:
            await self.wait_until(lambda gateway=gateway: gateway.table.version == 9)
        self.store.put("op/config", configuration(8, *self.ROUTES))
        self.store.put("servers/i-1", self.store.read("servers/i-1") | {"state": "draining"})
        for gateway in self.gateways:
            await self.wait_until(lambda gateway=gateway: len(gateway.registry.all()) == 2)
            await self.wait_until(
                lambda gateway=gateway: len(gateway.registry.usable("register")) == 1
            )
            self.assertEqual(gateway.table.version, 9)


class LoneInstanceTest(GatewayTestCase):
    """One gateway without peers."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.start_gateway(respond)

    async def test_change_is_unknown_to_a_lone_instance_whose_watches_are_silent(self) -> None:
        self.store.watches_silent = True
        self.store.put("op/config", configuration(8, *self.ROUTES, NEW_ROUTE))
        await self.wait_until(lambda: self.gateway.table.version == 8)

    async def test_caller_gets_404_or_401_by_knowledge_that_may_be_out_of_date(self) -> None:
        self.store.silent = True
        for path, key in (("/new/a", "key-1"), ("/look/a", "key-2")):
            data = request_bytes(path).replace(b"key-1", key.encode())
            status = 0
            # The age of the knowledge grows from that of the last answer.
            for _ in range(300):
                reply = await call(self.gateway.callers_port, data)
                status = reply.status
                if status == 503:
                    break
                self.assertIn(status, (401, 404))
                await self.gateway.clock.sleep(20)
            self.assertEqual(status, 503)
            self.assertGreater(float(reply.headers["retry-after"]), 0)
            self.assertEqual(json.loads(reply.body)["ran"], "no")
        self.assertEqual((await self.send_request("/look/a")).status, 200)
        self.store.silent = False
        await self.wait_until(lambda: self.gateway.store.age_ms() < 100)
        self.assertEqual((await self.send_request("/new/a")).status, 404)

    async def test_unusable_configuration_holds_back_what_follows_it(self) -> None:
        unusable = (
            configuration("8", *self.ROUTES),  # type: ignore[arg-type]
            configuration(8, *self.ROUTES, route("new", "safe", path_prefix="new")),
            configuration(8, *self.ROUTES, route("new", "safe", timeout_ms=0)),
            configuration(8, *self.ROUTES, route("new", "safe", max_attempts="2")),
            configuration(8, *self.ROUTES, route("new", "safe", service=None)),
            configuration(8, *self.ROUTES, NEW_ROUTE, NEW_ROUTE),
            configuration(8, *self.ROUTES, tenants=[{"name": "gmina", "api_keys": "key-1"}]),
            configuration(8, *self.ROUTES, limits={"max_body_bytes": -1}),
            configuration(8, route("new", "safe", split=[{"service": "register", "weight": 0}])),
            configuration(8.5, *self.ROUTES),  # type: ignore[arg-type]
        )
        for number, value in enumerate(unusable):
            with self.subTest(number):
                self.store.put("op/config", value)
                follower = await self.add_endpoint(respond)
                name = f"i-{self.endpoints.index(follower) + 1}"
                await self.wait_until(lambda name=name: self.gateway.registry.get(name))
                self.assertEqual(self.gateway.table.version, 7)
                self.assertEqual((await self.send_request("/look/a")).status, 200)
        self.store.put("op/config", configuration(8, *self.ROUTES))
        await self.wait_until(lambda: self.gateway.table.version == 8)


if __name__ == "__main__":
    unittest.main()

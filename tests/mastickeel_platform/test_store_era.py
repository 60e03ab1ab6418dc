"""The store comes back from an older copy: nothing reverts that was in force, nothing is missed."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from mastickeel.addresses import Address
from mastickeel.clock import Clock
from mastickeel.errors import (
    StoreEraChangedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from mastickeel.httpclient import HttpClient
from mastickeel.keyvalue import Put
from mastickeel_platform.store import PlatformStore
from mastickeel_router.releases.model import ReleaseState
from tests.mastickeel_platform.gateway_case import FleetTestCase, GatewayTestCase
from tests.mastickeel_platform.standins import (
    FakeStore,
    Request,
    answer_bytes,
    call,
    configuration,
    entry,
    request_bytes,
    route,
)

if TYPE_CHECKING:
    import asyncio

GATEWAY_COUNT = 3
ORDER_KEY = "op/rollout/register"
EVACUATION_KEY = "op/evacuate/dc-far"
STATUS_KEY = "status/rollout/register"
SEND_COUNT = 30


async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
    writer.write(answer_bytes(request, request.headers["expect-instance"].encode()))


class EraTest(GatewayTestCase):
    """One gateway before two endpoints."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.start_gateway(respond)

    async def wait_for_era(self) -> None:
        """Waits until the gateway has listed the restored store."""
        await self.wait_until(lambda: self.gateway.store.era.number == self.store.era)
        lists = self.store.calls.count("GET /kv-range")
        if lists < self.store.era:
            await self.wait_until(lambda: self.store.calls.count("GET /kv-range") >= self.store.era)
        await self.wait_until(lambda: self.store.calls[-1] == "GET /kv-watch")

    async def served_by(self) -> set[bytes]:
        """Returns the bodies of several replies: the ids of the endpoints that sent them."""
        return {
            (await self.send_request("/look/a", f"r{number}")).body for number in range(SEND_COUNT)
        }

    async def test_changes_under_revisions_given_out_again_are_missed(self) -> None:
        copy = self.store.copy()
        for number in range(4):
            self.store.put(f"servers/lost-{number}", entry(1, service="other"))
        await self.wait_until(lambda: self.gateway.registry.get("lost-3") is not None)
        self.store.restore(copy)
        self.store.put("op/config", configuration(8, *self.ROUTES, route("new", "safe")))
        for number in range(4):
            self.store.put(f"servers/late-{number}", entry(1, service="other"))
        await self.wait_until(lambda: self.gateway.table.version == 8)
        await self.wait_until(lambda: self.gateway.registry.get("late-0") is not None)

    async def test_older_configuration_does_not_replace_the_one_in_force(self) -> None:
        copy = self.store.copy()
        self.store.put("op/config", configuration(8, *self.ROUTES[1:]))
        await self.wait_until(lambda: self.gateway.table.version == 8)
        self.store.restore(copy)
        await self.wait_for_era()
        self.assertEqual(self.gateway.table.version, 8)
        self.assertEqual((await self.send_request("/once/a")).status, 404)

    async def test_endpoint_that_was_draining_or_gone_is_not_used_again(self) -> None:
        await self.add_endpoint(respond)
        await self.add_endpoint(respond)
        await self.wait_until(lambda: len(self.gateway.registry.usable("register")) == 3)
        copy = self.store.copy()
        self.store.put("servers/i-1", self.store.read("servers/i-1") | {"state": "draining"})
        self.store.delete("servers/i-2")
        await self.wait_until(lambda: len(self.gateway.registry.usable("register")) == 1)
        self.store.restore(copy)
        await self.wait_for_era()
        self.assertEqual(await self.served_by(), {b"i-3"})
        # What an endpoint writes after that counts.
        self.store.put("servers/i-2", entry(self.endpoints[1].port, born=1_700_000_000_001))
        await self.wait_until(lambda: len(self.gateway.registry.usable("register")) == 2)

    async def test_endpoints_registered_since_the_copy_are_used_until_they_write_again(
        self,
    ) -> None:
        copy = self.store.copy()
        await self.add_endpoint(respond)
        await self.wait_until(lambda: len(self.gateway.registry.usable("register")) == 2)
        self.store.restore(copy)
        await self.wait_for_era()
        self.assertEqual(len(self.gateway.registry.usable("register")), 2)

    async def test_order_lost_with_the_store_does_not_open_its_target_to_all(self) -> None:
        await self.add_endpoint(respond, version="v2")
        await self.wait_until(lambda: len(self.gateway.registry.usable("register")) == 2)
        order = {"service": "register", "target": "v2", "duration_s": 60}
        copy = self.store.copy()
        for _ in range(SEND_COUNT):
            self.store.put("op/other", b"moves the revisions on")
        revision = self.store.put(ORDER_KEY, order)
        await self.wait_until(lambda: self.store.read(STATUS_KEY) is not None)
        releases = self.gateway.releases
        releases._comparison(releases.order_of("register"))._found_bad = True
        await self.wait_until(lambda: self.store.read(STATUS_KEY)["state"] == "reverted")
        self.store.restore(copy)
        await self.wait_for_era()
        self.assertEqual(await self.served_by(), {b"i-1"})
        # The order comes again under an earlier revision; its release stays reverted.
        self.assertLess(self.store.put(ORDER_KEY, order), revision)
        await self.wait_until(
            lambda: (self.store.read(STATUS_KEY) or {}).get("state") == "reverted"
        )
        plan = releases._plan("register")
        assert plan is not None
        self.assertIs(plan.state, ReleaseState.REVERTED)
        self.assertEqual(await self.served_by(), {b"i-1"})


class FleetEraTest(FleetTestCase):
    """Three gateways."""

    async def test_newcomer_acts_on_the_older_copy_alone(self) -> None:
        for version in ("v1", "v1", "v1", "v2"):
            await self.add_endpoint(respond, version=version)
        await self.start_fleet(GATEWAY_COUNT)
        first = self.gateways[0]
        await self.wait_until(lambda: len(first.registry.usable("register")) == 4)
        copy = self.store.copy()
        self.store.put("op/config", configuration(8, *self.ROUTES[1:]))
        self.store.put("servers/i-1", self.store.read("servers/i-1") | {"state": "draining"})
        self.store.delete("servers/i-2")
        order = {"service": "register", "target": "v2", "duration_s": 60}
        self.store.put(ORDER_KEY, order)
        await self.wait_until(lambda: first.releases._plan("register") is not None)
        for gateway in self.gateways:
            await self.wait_until(lambda gateway=gateway: gateway.table.version == 8)
            releases = gateway.releases
            releases._comparison(releases.order_of("register"))._found_bad = True
        await self.wait_until(lambda: self.store.read(STATUS_KEY)["state"] == "reverted")
        self.store.restore(copy)
        await self.wait_until(lambda: self.store.read(first._lost_writes.key) is not None)
        await self.wait_until(lambda: self.store.read(STATUS_KEY) is not None)
        newcomer = await self.add_gateway(GATEWAY_COUNT + 1)
        await self.wait_until(lambda: newcomer.ready)
        bodies = {
            (await call(newcomer.callers_port, request_bytes("/look/a", f"r{number}"))).body
            for number in range(SEND_COUNT)
        }
        self.assertEqual(bodies, {b"i-3"})
        self.assertEqual(newcomer.table.version, 8)
        # One instance has written for all; the operator's next write counts again.
        writes = self.store.calls.count("POST /kv-txn")
        self.store.put(ORDER_KEY, order | {"target": "v1"})
        await self.wait_until(lambda: newcomer.releases.order_of("register").target == "v1")
        self.assertLess(writes, 10 * GATEWAY_COUNT)

    async def restore_with_order(self) -> dict[str, object]:
        """Lets the store come back from a copy whose order is then written again; returns it."""
        for version in ("v1", "v2", "v3"):
            await self.add_endpoint(respond, version=version)
        await self.start_fleet(GATEWAY_COUNT)
        order: dict[str, object] = {"service": "register", "target": "v2", "duration_s": 60}
        self.store.put(ORDER_KEY, order)
        self.store.put(EVACUATION_KEY, {"zone": "dc-far"})
        await self.wait_until(
            lambda: all(one.releases.order_of("register") for one in self.gateways)
        )
        self.store.restore(self.store.copy())
        record = self.gateways[0]._lost_writes.key
        await self.wait_until(lambda: self.store.read(record) is not None)
        self.store.put(ORDER_KEY, order)
        return order

    async def test_newcomer_acts_on_an_order_that_was_replaced_since_the_drill(self) -> None:
        # Issue 69, review/9: the list that has the new order was taken for the older copy.
        order = await self.restore_with_order()
        self.store.put(ORDER_KEY, order | {"target": "v3"})
        newcomer = await self.add_gateway(GATEWAY_COUNT + 1)
        await self.wait_until(lambda: newcomer.ready)
        newest = newcomer.releases.order_of("register")
        self.assertEqual(newest.target if newest else "", "v3")

    async def test_newcomer_acts_on_orders_that_were_removed_since_the_drill(self) -> None:
        await self.restore_with_order()
        self.store.delete(ORDER_KEY)
        self.store.delete(EVACUATION_KEY)
        record = self.gateways[0]._lost_writes.key
        await self.wait_until(
            lambda: {item["key"] for item in self.store.read(record)["items"]} == {"op/config"}
        )
        newcomer = await self.add_gateway(GATEWAY_COUNT + 1)
        await self.wait_until(lambda: newcomer.ready)
        self.assertIsNone(newcomer.releases.order_of("register"))
        self.assertEqual(newcomer.evacuations.data_centres, frozenset())

    async def test_newcomer_does_not_use_an_endpoint_that_has_registered_again(self) -> None:
        await self.start_fleet(GATEWAY_COUNT)
        await self.add_endpoint(respond)
        await self.wait_until(lambda: self.gateways[0].registry.usable("register") != [])
        written = self.store.read("servers/i-1")
        self.store.delete("servers/i-1")
        await self.wait_until(lambda: self.gateways[0].registry.usable("register") == [])
        self.store.restore(self.store.copy())
        record = self.gateways[0]._lost_writes.key
        await self.wait_until(lambda: self.store.read(record) is not None)
        self.store.put("servers/i-1", written)
        newcomer = await self.add_gateway(GATEWAY_COUNT + 1)
        await self.wait_until(lambda: newcomer.ready)
        self.assertEqual(len(newcomer.registry.usable("register")), 1)

    async def test_instances_register_again_when_lease_ids_are_given_out_again(self) -> None:
        copy = self.store.copy()
        await self.start_fleet(GATEWAY_COUNT)
        self.store.restore(copy)
        self.store.leases.update(dict.fromkeys(range(1, GATEWAY_COUNT + 1), 12_000))
        prefix = self.gateways[0]._instances.entries_prefix  # type: ignore[union-attr]

        def registered() -> set[str]:
            return {key.removeprefix(prefix) for key in self.store.items if key.startswith(prefix)}

        expected = {gateway.settings.instance.id for gateway in self.gateways}
        await self.wait_until(lambda: registered() == expected)

    async def test_era_that_one_instance_learns_is_known_to_all(self) -> None:
        await self.start_fleet(GATEWAY_COUNT)
        first, *others = self.gateways
        number = (first.store.era.number or 0) + 1
        self.store.silent = True
        first.store.era.observe(number)
        await self.wait_until(lambda: all(gateway.store.era.number == number for gateway in others))


class PlatformStoreEraTest(unittest.IsolatedAsyncioTestCase):
    """The client of the store."""

    async def asyncSetUp(self) -> None:
        self.platform = FakeStore()
        port = await self.platform.server.start()
        self.addAsyncCleanup(self.platform.server.stop)
        http = HttpClient(Clock())
        self.addAsyncCleanup(http.close)
        self.store = PlatformStore(http, Address("127.0.0.1", port), timeout_ms=200)

    async def test_answer_of_an_earlier_era_changes_nothing(self) -> None:
        self.platform.put("a", b"1")
        self.platform.era = 5
        await self.store.get("a")
        self.platform.era = 4
        with self.assertRaises(StoreUnavailableError):
            await self.store.get("a")
        with self.assertRaises(StoreOutcomeUnknownError):
            await self.store.txn((), (Put("a", b"2"),))
        self.assertEqual(self.store.era.number, 5)

    async def test_pages_of_two_eras_are_not_one_list(self) -> None:
        self.platform.page_size = 1
        self.platform.put("p/a", b"1")
        self.platform.put("p/b", b"1")
        call = self.store._call

        async def raise_era(*args: object, **options: object) -> object:
            answer = await call(*args, **options)  # type: ignore[arg-type]
            self.platform.era += 1
            return answer

        self.store._call = raise_era  # type: ignore[assignment,method-assign]
        with self.assertRaises(StoreEraChangedError):
            await self.store.range("p/", prefix=True)

    async def test_watch_ends_with_its_era(self) -> None:
        await self.store.get("a")
        watch = self.store.watch("", self.platform.revision + 1)
        await anext(watch)
        self.platform.restore(self.platform.copy())
        self.platform.put("a", b"1")
        with self.assertRaises(StoreEraChangedError):
            await anext(watch)

    async def test_store_that_names_no_era(self) -> None:
        self.platform.era = ""  # type: ignore[assignment]
        await self.store.get("a")
        self.assertIsNone(self.store.era.number)


if __name__ == "__main__":
    unittest.main()

"""A large value does not hold up what is written after it, and a change costs by its own size."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING

from tests.mastickeel_router.storeview.configurations import ROUTES, encode, make_routes
from tests.mastickeel_router.storeview.simulation import (
    CHANGE_KEY,
    ENDPOINTS_PREFIX,
    LINK_MBPS,
    SERVICE,
    SimulatedFleet,
    SimulatedInstance,
)

if TYPE_CHECKING:
    from collections.abc import Callable

APPLY_MS = 3_000
"""Time within which a change must be in force at each instance."""
DRAIN_MS = 3_000
"""Time for which an endpoint may be used after the store has accepted that it leaves."""
SETTLED_MS = 6_000
FLEET = (13, 12, 12)
CHANGE_INTERVAL_MS = 2_000
STORM_GAP_MS = 60
CONTACT_MS = 4_000
"""Time after an impairment of the store from which on bounds hold."""
CHANGES_PER_DAY = 5_400
CONTROL_BYTES_PER_S = 4_000
"""What an instance may spend on control when the configuration changes so often."""


class LargeValueTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # The debug mode of asyncio records a traceback for each of many thousand calls.
        asyncio.get_running_loop().set_debug(False)

    async def start_fleet(self) -> SimulatedFleet:
        fleet = SimulatedFleet(FLEET, max_age_ms=APPLY_MS, link_mbps=LINK_MBPS)
        self.addAsyncCleanup(fleet.stop)
        await fleet.start()
        await fleet.clock.advance(SETTLED_MS)
        return fleet

    async def check_change(self, fleet: SimulatedFleet, value: bytes) -> None:
        in_force_ms = await fleet.change(value, limit_ms=APPLY_MS)
        late = {one.id for one in fleet.instances} - in_force_ms.keys()
        self.assertEqual(late, set())

    async def test_small_changes_after_a_large_configuration_are_late(self) -> None:
        """Guards against issue 73: CONFIG after a configuration of 1,400 routes."""
        fleet = await self.start_fleet()
        routes = make_routes(ROUTES, seed=1)
        await self.check_change(fleet, encode(6, routes))
        for version in range(8, 16, 2):
            await fleet.clock.advance(CHANGE_INTERVAL_MS)
            routes[version] = routes[version] | {"service": "service-9"}
            await self.check_change(fleet, encode(version, routes))

    async def test_endpoint_that_leaves_beside_a_large_configuration_is_used_too_long(self) -> None:
        """Guards against small news that wait behind large ones (KNOWN-RED 7, DRAIN)."""
        for after_ms in (0, 100, 300, 900):
            with self.subTest(after_ms=after_ms):
                fleet = await self.start_fleet()
                fleet.store.put(f"{ENDPOINTS_PREFIX}i-1", b"")
                await fleet.clock.advance(SETTLED_MS)
                fleet.store.put(CHANGE_KEY, encode(6, make_routes(2 * ROUTES, seed=1)))
                await fleet.clock.advance(after_ms)
                fleet.store.delete(f"{ENDPOINTS_PREFIX}i-1")
                await fleet.clock.advance(DRAIN_MS)
                users = [one.id for one in fleet.instances if one.endpoints.usable(SERVICE)]
                self.assertEqual(users, [])
                await fleet.stop()

    async def test_change_of_one_route_costs_as_much_as_the_configuration(self) -> None:
        """Guards against whole values for small changes: a node may spend 4 KB/s on control."""
        fleet = await self.start_fleet()
        routes = make_routes(ROUTES, seed=1)
        fleet.store.put(CHANGE_KEY, encode(6, routes))
        await fleet.clock.advance(3 * APPLY_MS)
        before = {one.id: one.link.uplink.carried_bytes for one in fleet.instances}
        interval_ms = 24 * 3_600 * 1_000 // CHANGES_PER_DAY
        for version in (8, 10):
            routes[version] = routes[version] | {"service": "service-9"}
            fleet.store.put(CHANGE_KEY, encode(version, routes))
            await fleet.clock.advance(interval_ms)
        sent = [one.link.uplink.carried_bytes - before[one.id] for one in fleet.instances]
        self.assertLessEqual(max(sent), CONTROL_BYTES_PER_S * 2 * interval_ms // 1_000)

    async def test_two_large_configurations_in_a_row_are_late(self) -> None:
        fleet = await self.start_fleet()
        for interval_ms in (20, 200, 700):
            with self.subTest(interval_ms=interval_ms):
                fleet.store.put(CHANGE_KEY, encode(6, make_routes(ROUTES, seed=interval_ms)))
                await fleet.clock.advance(interval_ms)
                await self.check_change(fleet, encode(8, make_routes(ROUTES, seed=interval_ms + 1)))

    async def test_storm_after_a_large_configuration_is_late(self) -> None:
        fleet = await self.start_fleet()
        routes = make_routes(ROUTES, seed=1)
        fleet.store.put(CHANGE_KEY, encode(6, routes))
        before = {one.id: one.link.downlink.carried_bytes for one in fleet.instances}
        for version in range(7, 32):
            await fleet.clock.advance(STORM_GAP_MS)
            routes[version] = routes[version] | {"service": "service-9"}
            fleet.store.put(CHANGE_KEY, encode(version, routes))
        await self.check_change(fleet, encode(32, routes[:-1]))
        followers = [one for one in fleet.instances if not one.is_watching]
        received = [one.link.downlink.carried_bytes - before[one.id] for one in followers]
        # Less than the large value once, as it is written.
        self.assertLess(max(received), len(encode(6, routes)))

    async def test_value_that_cannot_be_compressed_is_late(self) -> None:
        """Values of keys and names that are drawn, up to the store's limit of 1 MB."""
        fleet = await self.start_fleet()
        rng = random.Random(1)
        fleet.store.put("tenants/all", rng.randbytes(500_000))
        await self.check_change(fleet, rng.randbytes(500_000))

    async def test_large_configuration_is_late_with_lost_watchers(self) -> None:
        """A watcher is lost while it sends, or its connections are."""

        def cut(instance: SimulatedInstance, fleet: SimulatedFleet) -> None:
            is_cut = fleet.network.is_cut
            fleet.network.is_cut = lambda *ends: instance.id in ends or is_cut(*ends)

        faults: dict[str, Callable[[SimulatedInstance, SimulatedFleet], None]] = {
            "frozen": lambda one, fleet: one.freeze(),
            "cut": cut,
            "silent store": lambda one, fleet: setattr(one.store.access, "silent", True),
            "slow link": lambda one, fleet: setattr(one.link.uplink, "mbps", 1.0),
        }
        for fault, apply in faults.items():
            for after_ms in (30, 150, 400):
                with self.subTest(fault=fault, after_ms=after_ms):
                    fleet = await self.start_fleet()
                    value = random.Random(after_ms).randbytes(300_000)
                    fleet.store.put(CHANGE_KEY, value)
                    await fleet.clock.advance(after_ms)
                    lost = fleet.list_watchers()[::2]
                    for instance in lost:
                        apply(instance, fleet)
                    await fleet.clock.advance(APPLY_MS - after_ms)
                    late = [one.id for one in fleet.instances if one.value != value]
                    excused = {one.id for one in lost if fault in ("frozen", "cut")}
                    self.assertEqual(set(late) - excused, set())
                    await fleet.stop()

    async def test_lossy_links_make_a_large_configuration_late(self) -> None:
        fleet = await self.start_fleet()
        rng = random.Random(1)
        fleet.network.is_cut = lambda sender, receiver: rng.random() < 0.05
        routes = make_routes(ROUTES, seed=1)
        await self.check_change(fleet, encode(6, routes))
        for version in (8, 10):
            routes[version] = routes[version] | {"service": "service-9"}
            await self.check_change(fleet, encode(version, routes))

    async def test_instances_that_start_after_a_large_configuration_are_late(self) -> None:
        fleet = await self.start_fleet()
        routes = make_routes(ROUTES, seed=1)
        fleet.store.put(CHANGE_KEY, encode(6, routes))
        added = [SimulatedInstance(fleet, 100 + number, "dc-0", 5.0) for number in range(3)]
        fleet.instances += added
        for instance in added:
            instance.start()
        await fleet.clock.advance(APPLY_MS)
        self.assertEqual([one.id for one in fleet.instances if one.value != encode(6, routes)], [])
        await self.check_change(fleet, encode(8, routes[:-1]))

    async def test_older_copy_of_the_store_has_another_large_value(self) -> None:
        """Revisions are given out again, so that a difference may be from another base."""
        fleet = await self.start_fleet()
        routes = make_routes(ROUTES, seed=1)
        await self.check_change(fleet, encode(6, routes))
        copy, revision = dict(fleet.store.items_by_key), fleet.store.revision
        await self.check_change(fleet, encode(8, routes[:-1]))
        fleet.store.restore(copy, revision)
        other = make_routes(ROUTES, seed=2)
        fleet.store.put(CHANGE_KEY, encode(10, other))
        await fleet.clock.advance(CONTACT_MS)
        await self.check_change(fleet, encode(12, other[:-1]))

    async def test_store_that_fails_some_makes_a_large_configuration_late(self) -> None:
        for access in ("silent", "refuses", "watches_silent"):
            with self.subTest(access=access):
                fleet = await self.start_fleet()
                for instance in fleet.instances[1::2]:
                    setattr(instance.store.access, access, True)
                await fleet.clock.advance(2 * APPLY_MS)
                routes = make_routes(ROUTES, seed=1)
                await self.check_change(fleet, encode(6, routes))
                await self.check_change(fleet, encode(8, routes[:-1]))
                await fleet.stop()


if __name__ == "__main__":
    unittest.main()

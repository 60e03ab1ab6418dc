"""Orders to engines that check the fencing number and to engines that do not."""

from __future__ import annotations

import unittest

from mastickeel.clock import Clock, FakeClock
from mastickeel.httpclient import HttpClient
from mastickeel.model import Configuration, Endpoint, Pool, PoolKind, Version, VersionState
from mastickeel.settings import PoolSettings
from mastickeel_router.rollouts import orders
from mastickeel_router.rollouts.orders import EngineOrders
from mastickeel_standins.engine import EngineStandin

OLD, NEW = "scribe@1", "scribe@2"


class SkippingClock(FakeClock):
    """Passes every wait at once, so that a round takes no time."""

    async def sleep(self, milliseconds: float) -> None:
        self._step_to(self.now() + int(milliseconds))


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    """Two engines of one pool."""

    async def start(self, checks: bool, models: tuple[tuple[str, ...], ...]) -> None:
        self.clock = SkippingClock()
        self.http = HttpClient(Clock())
        self.addAsyncCleanup(self.http.close)
        self.engines = [
            EngineStandin(f"e{n}", models=loaded, load_ms=1, checks_fencing=checks)
            for n, loaded in enumerate(models)
        ]
        for engine in self.engines:
            await engine.start()
            self.addAsyncCleanup(engine.stop)
        endpoints = tuple(
            Endpoint(one.endpoint_id, f"127.0.0.1:{one.port}", "dc") for one in self.engines
        )
        self.pool = Pool("scribes", PoolKind.ENGINE, endpoints)
        self.states = {OLD: VersionState.LIVE, NEW: VersionState.LIVE}
        self.fencing: int | None = 5
        self.orders = self.make_orders(checks)

    def make_orders(self, checks: bool) -> EngineOrders:
        return EngineOrders(
            self.http,
            self.clock,
            pools={"scribes": PoolSettings(checks_fencing=checks, checks_orderer=False)},
            configuration=self.configuration,
            fencing=lambda: self.fencing,
        )

    def configuration(self) -> Configuration:
        versions = {
            name: Version(name, "scribe", "scribes", state) for name, state in self.states.items()
        }
        return Configuration(1, {}, versions, {"scribes": self.pool})

    def loaded(self) -> list[set[str]]:
        return [set(engine.orders.models) for engine in self.engines]

    def given(self) -> int:
        return sum(len(engine.orders.log) for engine in self.engines)

    async def test_missing_versions_are_loaded_one_at_a_time(self) -> None:
        await self.start(True, ((OLD,), (OLD,)))
        await self.orders.run_round()
        self.assertEqual(self.given(), 1, "the weight store is spared")
        self.clock._step_to(self.clock.now() + orders.LOAD_INTERVAL_MS)
        await self.orders.run_round()
        self.assertEqual(self.loaded(), [{OLD, NEW}, {OLD, NEW}])
        self.clock._step_to(self.clock.now() + orders.LOAD_INTERVAL_MS)
        await self.orders.run_round()
        self.assertEqual(self.given(), 2, "what is true is not ordered again")

    async def test_withdrawn_version_stays_on_its_last_endpoint(self) -> None:
        await self.start(True, ((OLD, NEW), (OLD, NEW)))
        self.states[NEW] = VersionState.WITHDRAWN
        await self.orders.run_round()
        self.assertEqual(self.given(), 0, "it may be restored")
        self.clock._step_to(self.clock.now() + orders.UNLOAD_AFTER_MS)
        for _ in range(3):
            await self.orders.run_round()
        self.assertEqual(sum(NEW in models for models in self.loaded()), 1)
        self.assertEqual(self.given(), 1)

    async def test_old_holder_that_wakes_is_refused_by_engines_that_check(self) -> None:
        await self.start(True, ((OLD,), (OLD, NEW)))
        await self.orders.run_round()
        self.states[NEW] = VersionState.WITHDRAWN
        self.fencing = 4
        old_holder = self.make_orders(True)
        await old_holder.run_round()
        self.clock._step_to(self.clock.now() + orders.UNLOAD_AFTER_MS)
        await old_holder.run_round()
        self.assertEqual([one["accepted"] for one in self.engines[0].orders.log], [True, False])
        self.assertEqual(self.loaded()[0], {OLD, NEW})

    async def test_engines_that_do_not_check_get_no_order_before_the_old_ones_are_over(
        self,
    ) -> None:
        await self.start(False, ((OLD,), (OLD,)))
        await self.orders.run_round()
        self.assertEqual(self.given(), 0)
        self.clock._step_to(self.clock.now() + orders.ORDER_TIMEOUT_MS)
        await self.orders.run_round()
        self.assertEqual(self.given(), 1)
        self.fencing = 6
        self.clock._step_to(self.clock.now() + orders.LOAD_INTERVAL_MS)
        await self.orders.run_round()
        self.assertEqual(self.given(), 1, "a new holder waits again")

    async def test_without_the_duty_nothing_is_ordered(self) -> None:
        await self.start(True, ((OLD,), (OLD,)))
        self.fencing = None
        await self.orders.run_round()
        self.assertEqual(self.given(), 0)

    async def test_pool_that_settings_do_not_name_gets_no_orders(self) -> None:
        await self.start(True, ((OLD,), (OLD,)))
        self.pool = Pool("others", PoolKind.ENGINE, self.pool.endpoints)
        await self.orders.run_round()
        self.assertEqual(self.given(), 0)

    async def test_engine_that_is_down_holds_up_no_other(self) -> None:
        await self.start(True, ((OLD,), (OLD,)))
        self.engines[0].faults.down = True
        await self.orders.run_round()
        self.assertEqual(self.loaded()[1], {OLD, NEW})


if __name__ == "__main__":
    unittest.main()

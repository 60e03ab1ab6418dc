"""A few instances watch the store for the fleet, and a change is in force everywhere in time."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING

from mastickeel_router.discovery.feeds import OutageEnd
from mastickeel_router.storeview.watchers import (
    Member,
    choose_watcher,
    is_watcher,
    rank_watchers,
)
from tests.mastickeel_router.storeview.simulation import (
    CHANGE_KEY,
    ENDPOINTS_PREFIX,
    SERVICE,
    SimulatedFleet,
    SimulatedInstance,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

APPLY_MS = 2_000
"""Time within which a change must be in force at each instance that reaches the store or a peer."""
CONTACT_MS = 3_000
"""Time after an outage of the store from which on an endpoint that left may not be used longer."""
DRAIN_MS = 2_000
"""Time for which an endpoint may be used after the store has accepted that it leaves."""
ENDPOINT_KEY = f"{ENDPOINTS_PREFIX}i-1"
SETTLED_MS = 6_000
MEASURED_MS = 20_000
FAULTS: dict[str, Callable[[SimulatedInstance], None]] = {
    "frozen": SimulatedInstance.freeze,
    "refused": lambda one: setattr(one.store.access, "refuses", True),
    "silent store": lambda one: setattr(one.store.access, "silent", True),
    "silent watches": lambda one: setattr(one.store.access, "watches_silent", True),
}
SEEDS = range(4)


class RankingTest(unittest.TestCase):
    def test_fastest_links_watch_and_others_are_spread_over_them(self) -> None:
        members = [Member(f"e{number}", "a", 10.0 + 90 * (number < 5)) for number in range(60)]
        ranking = rank_watchers(members, "a")
        self.assertEqual(ranking.watcher_count, 3)
        self.assertLessEqual(set(ranking.watchers), {"e0", "e1", "e2", "e3", "e4"})
        chosen = {choose_watcher(one, ranking, ()) for one in ranking.ids[3:]}
        self.assertEqual(chosen, set(ranking.watchers))
        self.assertNotIn(choose_watcher("e59", ranking, ranking.ids[:1]), ranking.ids[:1])

    def test_small_fleet_has_three_watchers_whatever_its_data_centres(self) -> None:
        for data_centres in (["a"] * 9, ["a", "b"] * 5, ["a", "b", "c"] * 3):
            members = [Member(f"e{number}", one) for number, one in enumerate(data_centres)]
            rankings = [rank_watchers(members, one) for one in set(data_centres)]
            self.assertGreaterEqual(sum(len(one.watchers) for one in rankings), 3)

    def test_those_first_in_the_ranking_begin_when_no_watcher_is_heard(self) -> None:
        members = [Member(f"e{number}", one) for number, one in enumerate(["a", "b", "c"] * 13)]
        ranking = rank_watchers(members, "a")

        def count(unheard_ms: int) -> int:
            return sum(
                is_watcher(one, ranking, (), unheard_ms=unheard_ms, patience_ms=1_000)
                for one in ranking.ids
            )

        self.assertEqual([count(one) for one in (0, 1_000, 1_101, 2_000)], [1, 1, 3, 13])


class WatchersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # The debug mode of asyncio records a traceback for each of many thousand calls.
        asyncio.get_running_loop().set_debug(False)

    async def start_fleet(self, data_centres: Sequence[int]) -> SimulatedFleet:
        fleet = SimulatedFleet(data_centres, max_age_ms=APPLY_MS)
        self.addAsyncCleanup(fleet.stop)
        await fleet.start()
        await fleet.clock.advance(SETTLED_MS)
        return fleet

    async def test_calls_grow_slower_than_the_fleet(self) -> None:
        calls = []
        for data_centres in ([3, 3, 3], [20, 19, 19]):
            fleet = await self.start_fleet(data_centres)
            self.assertEqual(len(fleet.list_watchers()), 3)
            before = fleet.count_calls()
            await fleet.clock.advance(MEASURED_MS)
            calls.append(fleet.count_calls() - before)
        self.assertLessEqual(calls[1], 1.5 * calls[0])

    async def test_start_of_all_makes_few_calls(self) -> None:
        fleet = SimulatedFleet([20, 19, 19], max_age_ms=APPLY_MS)
        self.addAsyncCleanup(fleet.stop)
        await fleet.start()
        await fleet.clock.advance(SETTLED_MS)
        self.assertTrue(all(one.loaded_ms is not None for one in fleet.instances))
        self.assertLessEqual(fleet.count_calls(), 3 * len(fleet.instances))

    async def test_change_is_in_force_at_once_without_trouble(self) -> None:
        fleet = await self.start_fleet([4, 4, 4])
        in_force_ms = await fleet.change(b"1", limit_ms=APPLY_MS)
        self.assertEqual(len(in_force_ms), 12)
        self.assertLessEqual(max(in_force_ms.values()), APPLY_MS // 4)

    async def check_fault(self, fault: str, seed: int, *, of_all_watchers: bool) -> None:
        """Breaks watchers, and checks that a change is in force in time at all others."""
        rng = random.Random(seed)
        fleet = await self.start_fleet([4, 4, 4])
        await fleet.clock.advance(rng.randrange(2_000))
        broken = fleet.list_watchers()
        if not of_all_watchers:
            broken = rng.sample(broken, rng.randint(1, len(broken) - 1))
        for instance in broken:
            FAULTS[fault](instance)
        await fleet.clock.advance(rng.choice((0, 300, 1_500, 4_000)))
        in_force_ms = await fleet.change(b"1", limit_ms=APPLY_MS)
        # An instance that is frozen, or reaches the store alone, is not in touch.
        late = {
            one.id
            for one in fleet.instances
            if one.id not in in_force_ms and not (fault == "frozen" and one in broken)
        }
        self.assertEqual(late, set(), (fault, seed))
        await fleet.stop()

    async def test_change_is_late_with_lost_watchers(self) -> None:
        for fault in FAULTS:
            for seed in SEEDS:
                with self.subTest(fault=fault, seed=seed):
                    await self.check_fault(fault, seed, of_all_watchers=False)

    async def test_change_is_late_when_all_watchers_are_lost_at_once(self) -> None:
        for fault in FAULTS:
            for seed in SEEDS:
                with self.subTest(fault=fault, seed=seed):
                    await self.check_fault(fault, seed, of_all_watchers=True)

    async def test_parted_data_centres_watch_for_themselves(self) -> None:
        fleet = await self.start_fleet([4, 4, 4])
        data_centres = {one.id: one.data_centre for one in fleet.instances}
        fleet.network.is_cut = lambda sender, receiver: (
            data_centres[sender] != data_centres[receiver]
        )
        self.assertEqual(len(await fleet.change(b"1", limit_ms=APPLY_MS)), 12)

    async def test_connections_between_instances_stay_silent_for_good(self) -> None:
        fleet = await self.start_fleet([4, 4, 4])
        ids = [one.id for one in fleet.instances]
        fleet.network.silent_connections = {(one, other) for one in ids for other in ids}
        self.assertEqual(len(await fleet.change(b"1", limit_ms=APPLY_MS)), 12)
        # Those that had to stand in for the watchers leave the store to them again.
        await fleet.clock.advance(3 * APPLY_MS)
        self.assertEqual(len(fleet.list_watchers()), 3)

    async def test_first_call_that_is_lost_after_a_pause_counts_as_an_outage(self) -> None:
        fleet = await self.start_fleet([1, 1, 1, 3])
        instance = next(one for one in fleet.instances if not one.is_watching)
        instance.store.access.silent = True
        instance.knowledge._follower.resume(0)
        await fleet.clock.advance(450)
        instance.store.access.silent = False
        await fleet.clock.advance(APPLY_MS)
        self.assertEqual(instance.outages, 0)

    async def remove_with_outage_at(self, witnesses: int) -> tuple[SimulatedFleet, list[str]]:
        """Removes a key just after watchers saw an outage; returns who took the outage over."""
        fleet = await self.start_fleet([4, 4, 4])
        fleet.store.put("endpoints/i-1", b"")
        await fleet.clock.advance(1_000)
        watchers = fleet.list_watchers()
        for instance in watchers[:witnesses]:
            instance.knowledge._view.handler().on_outage()
            instance.knowledge._view.handler().on_recovery(OutageEnd(instance.clock.now()))
        seen = {one.id: one.outages for one in fleet.instances}
        fleet.store.delete("endpoints/i-1")
        await fleet.clock.advance(APPLY_MS)
        return fleet, [one.id for one in fleet.instances if one.outages > seen[one.id]]

    async def test_followers_drop_endpoints_that_an_outage_let_expire(self) -> None:
        fleet, taken_over = await self.remove_with_outage_at(3)
        watchers = {one.id for one in fleet.list_watchers()}
        self.assertEqual(set(taken_over), {one.id for one in fleet.instances} - watchers)

    async def measure_removal(
        self, fleet: SimulatedFleet, disturb: Callable[[], Awaitable[None]], after_ms: int
    ) -> int:
        """Removes an endpoint some time after a disturbance; returns how long it is used then."""
        fleet.store.put(ENDPOINT_KEY, b"")
        await fleet.clock.advance(SETTLED_MS)
        await disturb()
        await fleet.clock.advance(after_ms)
        fleet.store.delete(ENDPOINT_KEY)
        begin_ms = fleet.clock.now()
        while any(one.endpoints.usable(SERVICE) for one in fleet.instances):
            await fleet.clock.advance(20)
        return fleet.clock.now() - begin_ms

    async def test_endpoint_that_leaves_after_an_outage_is_used_for_too_long(self) -> None:
        """Guards against grace times that begin when a follower hears of the end of an outage."""
        for outage_ms in (300, 1_000, 4_500):
            for fault in ("refuses", "silent"):
                fleet = await self.start_fleet([2, 2, 2])

                async def fail(
                    fleet: SimulatedFleet = fleet, outage_ms: int = outage_ms, fault: str = fault
                ) -> None:
                    for instance in fleet.instances:
                        setattr(instance.store.access, fault, True)
                    await fleet.clock.advance(outage_ms)
                    for instance in fleet.instances:
                        setattr(instance.store.access, fault, False)

                for after_ms in (CONTACT_MS, CONTACT_MS + 400, CONTACT_MS + 1_500):
                    with self.subTest(outage_ms=outage_ms, fault=fault, after_ms=after_ms):
                        used_ms = await self.measure_removal(fleet, fail, after_ms)
                        self.assertLessEqual(used_ms, DRAIN_MS)

    async def test_endpoint_that_leaves_after_a_cut_watch_is_used_for_too_long(self) -> None:
        """Guards against a single failed call that counts as an outage of the store."""
        for cut in ("one", "all"):
            fleet = await self.start_fleet([2, 2, 2])

            async def cut_watches(fleet: SimulatedFleet = fleet, cut: str = cut) -> None:
                for instance in fleet.list_watchers()[: 1 if cut == "one" else None]:
                    instance.store.cut_watch()
                await fleet.clock.advance(0)

            for after_ms in (0, 20, 300, 1_000):
                with self.subTest(cut=cut, after_ms=after_ms):
                    used_ms = await self.measure_removal(fleet, cut_watches, after_ms)
                    self.assertLessEqual(used_ms, DRAIN_MS)

    async def test_two_watchers_that_are_cut_off_confirm_each_others_outage(self) -> None:
        """An endpoint that left was used for 2,140 ms (hunted berths, seed 923326905201)."""
        for after_ms in range(500, 3_000, 100):
            with self.subTest(after_ms=after_ms):
                fleet = await self.start_fleet([3, 3, 2])
                fleet.store.put(ENDPOINT_KEY, b"")
                await fleet.clock.advance(CONTACT_MS)
                cut = fleet.list_watchers()[:2]
                for instance in cut:
                    instance.store.access.refuses = True
                await fleet.clock.advance(after_ms)
                fleet.store.delete(ENDPOINT_KEY)
                await fleet.clock.advance(DRAIN_MS)
                users = {one.id for one in fleet.instances if one.endpoints.usable(SERVICE)}
                self.assertEqual(users - {one.id for one in cut}, set())
                await fleet.stop()

    async def test_one_watcher_that_the_store_failed_makes_others_keep_endpoints(self) -> None:
        _, taken_over = await self.remove_with_outage_at(1)
        self.assertEqual(taken_over, [])

    async def test_instance_without_any_peer_watches_for_itself(self) -> None:
        fleet = await self.start_fleet([4, 4, 4])
        lone = fleet.instances[-1]
        fleet.network.is_cut = lambda sender, receiver: lone.id in (sender, receiver)
        await fleet.clock.advance(2 * APPLY_MS)
        self.assertTrue(lone.is_watching)
        self.assertEqual(len(await fleet.change(b"1", limit_ms=APPLY_MS)), 12)
        fleet.network.is_cut = lambda sender, receiver: False
        await fleet.clock.advance(3 * APPLY_MS)
        self.assertEqual(len(fleet.list_watchers()), 3)

    async def test_era_of_the_store_is_unknown_to_those_that_do_not_watch(self) -> None:
        fleet = await self.start_fleet([4, 4, 4])
        copy, revision = dict(fleet.store.items_by_key), fleet.store.revision
        for number in range(5):
            fleet.store.put(CHANGE_KEY, str(number).encode())
        await fleet.clock.advance(1_000)
        fleet.store.restore(copy, revision)
        self.assertEqual(len(await fleet.change(b"after", limit_ms=APPLY_MS)), 12)
        await fleet.clock.advance(3 * APPLY_MS)
        self.assertEqual(len(fleet.list_watchers()), 3)

    async def test_watcher_that_was_frozen_vouches_for_what_it_read_before(self) -> None:
        fleet = await self.start_fleet([1, 1, 1])
        frozen, other = fleet.list_watchers()[:2]
        await fleet.clock.advance(300)
        frozen.freeze()
        # The answers that it is about to read are from before the change.
        await fleet.clock.advance(2_500)
        for instance in fleet.instances:
            instance.store.access.silent = True
        other.store.access.silent = frozen.store.access.silent = True
        fleet.store.put(CHANGE_KEY, b"1")
        await fleet.clock.advance(APPLY_MS + 500)
        frozen.thaw()
        for _ in range(20):
            confirming = asyncio.ensure_future(other.knowledge.confirm())
            await fleet.clock.advance(400)
            self.assertFalse(await confirming and other.value != b"1")

    async def test_keys_removed_in_an_outage_are_told_with_the_outage(self) -> None:
        fleet = await self.start_fleet([4, 4, 4])
        fleet.store.put("endpoints/i-1", b"")
        await fleet.clock.advance(1_000)
        for instance in fleet.instances:
            instance.store.access.refuses = True
        await fleet.clock.advance(3_000)
        fleet.store.delete("endpoints/i-1")
        for instance in fleet.instances:
            instance.store.access.refuses = False
        await fleet.clock.advance(2 * APPLY_MS)
        self.assertEqual([one.id for one in fleet.instances if not one.outages], [])


if __name__ == "__main__":
    unittest.main()

"""Evacuations are in force from the order until it is taken back, also over an older store."""

from __future__ import annotations

import unittest

from mastickeel.addresses import Address
from mastickeel.clock import FakeClock
from mastickeel.storeera import KEPT_MS
from mastickeel_router.discovery import EndpointRecord
from mastickeel_router.evacuation import EvacuationOrder, Evacuations


def make_endpoint(data_centre: str) -> EndpointRecord:
    return EndpointRecord(f"e-{data_centre}", "s", Address("127.0.0.1", 1), data_centre, "v1")


class EvacuationsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.evacuations = Evacuations(self.clock)
        self.ended: list[str] = []
        self.evacuations.on_end.append(self.ended.append)

    def order(self, *data_centres: str) -> None:
        for data_centre in data_centres:
            self.assertTrue(self.evacuations.apply(EvacuationOrder(data_centre, 5)))

    def covered(self) -> list[str]:
        return [name for name in ("a", "b", "c") if self.evacuations.covers(make_endpoint(name))]

    async def test_order_covers_its_data_centre_until_it_is_taken_back(self) -> None:
        self.order("a")
        self.assertEqual(self.covered(), ["a"])
        self.evacuations.remove("a", 6)
        self.assertEqual((self.covered(), self.ended), ([], ["a"]))

    async def test_two_data_centres_are_evacuated_and_end_one_by_one(self) -> None:
        self.order("a", "b")
        self.evacuations.remove("a", 7)
        self.assertEqual((self.covered(), self.ended), (["b"], ["a"]))

    async def test_take_back_without_an_order_ends_nothing(self) -> None:
        self.evacuations.remove("a", 7)
        self.assertEqual(self.ended, [])

    async def test_repeated_order_is_one_evacuation(self) -> None:
        self.order("a")
        self.assertFalse(self.evacuations.apply(EvacuationOrder("a", 5)))
        self.evacuations.remove("a", 7)
        self.assertEqual((self.covered(), self.ended), ([], ["a"]))

    async def test_take_back_is_missed_and_the_next_list_lacks_the_order(self) -> None:
        self.order("a", "b")
        self.evacuations.retain({"b"}, 9)
        self.assertEqual((self.covered(), self.ended), (["b"], ["a"]))

    async def test_older_copy_of_the_store_lacks_the_order(self) -> None:
        self.order("a")
        self.evacuations.begin_era()
        self.evacuations.retain(set(), 3)
        await self.clock.advance(KEPT_MS - 1)
        self.assertEqual((self.covered(), self.ended), (["a"], []))
        await self.clock.advance(1)
        self.assertEqual((self.covered(), self.ended), ([], ["a"]))

    async def test_operator_writes_the_order_again_that_the_store_has_lost(self) -> None:
        self.order("a")
        self.evacuations.begin_era()
        self.evacuations.retain(set(), 3)
        self.order("a")
        await self.clock.advance(KEPT_MS)
        self.assertEqual(self.covered(), ["a"])

    async def test_later_list_of_the_same_era_does_not_end_a_kept_order_early(self) -> None:
        self.order("a")
        self.evacuations.begin_era()
        self.evacuations.retain(set(), 3)
        self.evacuations.retain(set(), 4)
        self.assertEqual(self.covered(), ["a"])

    async def test_newcomer_learns_of_a_lost_order_from_what_another_has_kept(self) -> None:
        self.evacuations.apply(EvacuationOrder("a", 5), is_kept=True)
        self.assertEqual(self.covered(), ["a"])
        await self.clock.advance(KEPT_MS)
        self.assertEqual(self.covered(), [])

    async def test_kept_order_does_not_replace_the_one_in_force(self) -> None:
        self.order("a")
        self.evacuations.apply(EvacuationOrder("a", 4), is_kept=True)
        await self.clock.advance(KEPT_MS)
        self.assertEqual(self.covered(), ["a"])


if __name__ == "__main__":
    unittest.main()

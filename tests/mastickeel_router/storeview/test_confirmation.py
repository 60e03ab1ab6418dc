"""Knowledge counts as recent only if all that was acknowledged before its bound is known."""

from __future__ import annotations

import random
import unittest

from mastickeel._kvtypes import KeyValue
from mastickeel.clock import FakeClock
from mastickeel.storeera import StoreEra
from mastickeel_router.discovery.feeds import StoreFollower, WatchHandler
from mastickeel_router.storeview.confirmation import Confirmation
from mastickeel_router.storeview.view import StoreView
from tests.mastickeel_router.memorystore import MemoryStore

MAX_AGE_MS = 2_000
DELAY_MS = 60
"""Time for which an answer of the store waits at a busy instance before it is read."""


class ConfirmationTest(unittest.IsolatedAsyncioTestCase):
    async def test_answer_that_was_read_late_hides_a_change_for_longer_than_its_bound(self) -> None:
        clock, era = FakeClock(), StoreEra()
        ignored = WatchHandler(lambda items, revision: None, lambda item: None, lambda key, _: None)
        view = StoreView(ignored, clock, era)
        follower = StoreFollower(MemoryStore(), "", view.handler(), clock, random.Random(1))
        confirmation = Confirmation(
            view, follower, clock, max_age_ms=MAX_AGE_MS, request_from_peers=lambda: None
        )
        item = KeyValue("routes/all", b"", 5, 5, 0)
        formed_ms = clock.now()
        await clock.advance(DELAY_MS)
        view.handler().on_list((item,), 5)
        self.assertTrue(confirmation.is_recent)
        # A change that was acknowledged just after the answer was formed must be in force now.
        await clock.advance(formed_ms + MAX_AGE_MS + 1 - clock.now())
        self.assertFalse(confirmation.is_recent)


if __name__ == "__main__":
    unittest.main()

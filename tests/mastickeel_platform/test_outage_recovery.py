"""After an outage of the store an instance learns of changes too late for its callers."""

from __future__ import annotations

import asyncio
import random
import unittest

from mastickeel.addresses import Address
from mastickeel.clock import FakeClock
from mastickeel_platform.store import PlatformStore
from mastickeel_router.discovery import follow_prefix
from mastickeel_router.discovery.feeds import WatchHandler
from tests.mastickeel_platform.simulation import WATCH_STEP_MS, SimulatedHttp
from tests.mastickeel_platform.standins import FakeStore

SEEDS = range(20)
OUTAGES = 4
CONTACT_MS = 3_000
"""Time after an outage from which on an instance counts as in contact with the store."""
APPLY_MS = 2_000
"""Time after its acknowledgement within which a change must be in force."""
STORE_TIMEOUT_MS = 1_500


class OutageRecoveryTest(unittest.IsolatedAsyncioTestCase):
    """An instance without peers, outages of random lengths, and changes during and after them."""

    async def play(self, seed: int, fault: str) -> list[str]:
        """Plays outages; returns a line for each change that is not in force in time."""
        rng = random.Random(seed)
        clock = FakeClock()
        store = FakeStore()
        http = SimulatedHttp(store, clock)
        values: list[int] = []
        handler = WatchHandler(
            lambda items, _: values.extend(int(item.value) for item in items),
            lambda item: values.append(int(item.value)),
            lambda key, revision: None,
        )
        client = PlatformStore(http, Address("store", 1), timeout_ms=STORE_TIMEOUT_MS)  # type: ignore[arg-type]
        task = asyncio.ensure_future(
            follow_prefix(client, "", handler, clock=clock, rng=random.Random(seed))
        )
        late, version = [], 0
        for _ in range(OUTAGES):
            await clock.advance(rng.randrange(1_000, 4_000))
            setattr(http, fault, 503 if fault == "refusal_status" else True)
            await clock.advance(rng.randrange(200, 6_000))
            setattr(http, fault, 0 if fault == "refusal_status" else False)
            end_ms = clock.now()
            for delay_ms in (0, rng.randrange(0, CONTACT_MS)):
                await clock.advance(end_ms + delay_ms - clock.now())
                version += 1
                store.put("op/config", version)
                due_ms = max(end_ms + CONTACT_MS, clock.now() + WATCH_STEP_MS + APPLY_MS)
                await clock.advance(due_ms - clock.now())
                if values[-1:] != [version]:
                    late.append(f"seed {seed}: version {version}, known {values[-1:]}")
                end_ms = clock.now()
        task.cancel()
        return late

    async def play_all(self, fault: str) -> list[str]:
        return [line for seed in SEEDS for line in await self.play(seed, fault)]

    async def test_change_is_unknown_in_contact_with_a_store_that_was_silent(self) -> None:
        self.assertEqual(await self.play_all("silent"), [])

    async def test_change_is_unknown_in_contact_with_a_store_that_refused_calls(self) -> None:
        self.assertEqual(await self.play_all("refusal_status"), [])

    async def test_change_is_unknown_in_contact_with_a_store_whose_watches_were_silent(
        self,
    ) -> None:
        self.assertEqual(await self.play_all("watches_silent"), [])


if __name__ == "__main__":
    unittest.main()

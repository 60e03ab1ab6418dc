"""Requests to routers with a rating service that works, is down, or sends bad ratings."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel.clock import Clock
from mastickeel_standins.ratings import RatingStandin
from tests.fleet import Fleet, read_json

if TYPE_CHECKING:
    from mastickeel.model import Delta
    from mastickeel_router.router import Router

SMALL, LARGE = "draft-small@1", "draft-large@1"
LEARNING_TIMEOUT_S = 10


class RatedFleet(Fleet):
    """A fleet with a rating service and an account with a quality target."""

    def __init__(self) -> None:
        super().__init__()
        self.quality_by_version = {SMALL: 0.1, LARGE: 1.0}
        self.ratings = RatingStandin(
            Clock(), 1, lambda _, __, version: self.quality_by_version[version]
        )

    async def add_router(self, number: int, **tables: str) -> Router:
        address = f'\n[platform]\nratings = "127.0.0.1:{self.ratings.port}"\n'
        return await super().add_router(number, extra=address, **tables)

    def default_delta(self) -> Delta:
        delta = super().default_delta()
        return replace(delta, accounts=(replace(delta.accounts[0], quality_target=0.9),))

    async def start(self, **options: object) -> None:  # type: ignore[override]
        await self.ratings.start()
        await super().start(**options)  # type: ignore[arg-type]

    async def stop(self) -> None:
        await super().stop()
        await self.ratings.stop()


class RatingServiceTest(unittest.IsolatedAsyncioTestCase):
    """Two routers that share one rating service."""

    async def asyncSetUp(self) -> None:
        self.fleet = RatedFleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(routers=2, engines=1)

    async def answering_versions(self, count: int = 12) -> list[str]:
        answers = [await self.fleet.chat(router=number % 2) for number in range(count)]
        self.assertEqual({answer.status for answer in answers}, {200})
        return [answer.headers["X-Mastickeel-Version"] for answer in answers]

    async def wait_until_learned(self, ratings: int) -> None:
        """Waits until both routers have counted a number of ratings."""
        async with asyncio.timeout(LEARNING_TIMEOUT_S):
            while any(
                sum(tally.rated for tally in router.choice.learner.tallies_by_subject.values())
                < ratings
                for router in self.fleet.routers
            ):
                for router in self.fleet.routers:
                    await router.choice.sharing.run_round()
                await asyncio.sleep(0.05)

    async def test_failed_judgement_runs_the_expensive_version_on_the_same_bill(self) -> None:
        answer = await self.fleet.chat()
        self.assertEqual(answer.headers["X-Mastickeel-Version"], LARGE)
        bills = await self.fleet.routers[0].ledger.list_bills("demo")
        self.assertEqual([run.version_id for run in bills[0].runs], [SMALL, LARGE])
        self.assertEqual(read_json(answer)["usage"]["cost_micros"], bills[0].cost)

    async def test_passed_judgement_releases_the_cheap_answer(self) -> None:
        self.fleet.quality_by_version[SMALL] = 1.0
        answer = await self.fleet.chat(stream=True)
        self.assertEqual(answer.headers["X-Mastickeel-Version"], SMALL)
        self.assertTrue(answer.body.endswith(b"data: [DONE]\n\n"))

    async def test_ratings_reach_all_routers(self) -> None:
        await self.answering_versions()
        await self.wait_until_learned(3)
        subjects = [set(router.choice.learner.tallies_by_subject) for router in self.fleet.routers]
        self.assertEqual(subjects[0], subjects[1])

    async def test_expensive_version_answers_while_the_rating_service_is_down(self) -> None:
        self.fleet.ratings.faults.down = True
        self.assertEqual(set(await self.answering_versions()), {LARGE})
        self.assertFalse(self.fleet.routers[0].choice.ratings.available)

    async def test_malformed_replies_release_no_answer_and_are_not_counted(self) -> None:
        self.fleet.ratings.faults.wrong_shape = True
        self.assertEqual(set(await self.answering_versions()), {LARGE})
        self.assertFalse(self.fleet.routers[0].choice.learner.tallies_by_subject)

    async def test_contradictory_ratings_do_not_raise_the_pass_rate(self) -> None:
        self.fleet.quality_by_version[SMALL] = 1.0
        self.fleet.ratings.faults.contradictory = True
        await self.answering_versions(20)
        await self.wait_until_learned(8)
        for tally in self.fleet.routers[1].choice.learner.tallies_by_subject.values():
            self.assertLess(tally.passed, 0.75 * tally.rated + 1)


if __name__ == "__main__":
    unittest.main()

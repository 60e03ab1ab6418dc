"""Guards against a rating stand-in that lists ratings early or twice, or ignores its faults."""

from __future__ import annotations

import unittest

from mastickeel.clock import FakeClock
from mastickeel_standins.ratings import RatingStandin

from ._engine_calls import call

BODY = {"request_id": "r1", "account": "a1", "kind": "k1", "version": "v1"}


class RatingStandinTest(unittest.IsolatedAsyncioTestCase):
    async def start_service(self, **settings):
        clock = FakeClock()
        service = RatingStandin(clock, 1, lambda account, kind, version: 0.8, **settings)
        await service.start()
        self.addAsyncCleanup(service.stop)
        return clock, service

    async def test_ratings_are_listed_once_after_the_delay(self):
        clock, service = await self.start_service(late_ms=50)
        answered = await call(service.port, "POST", "/v1/ratings", BODY)
        self.assertEqual(answered, (202, {"rating_id": "rating-1"}))
        path = "/v1/ratings?after="
        empty = {"ratings": [], "cursor": 0}
        self.assertEqual((await call(service.port, "GET", f"{path}0"))[1], empty)
        await clock.advance(50)
        page = (await call(service.port, "GET", f"{path}0"))[1]
        rating = {**BODY, "score": 0.8, "pass": True, "rated_ms": clock.wall()}
        self.assertEqual(page, {"ratings": [rating], "cursor": 1})
        self.assertEqual((await call(service.port, "GET", f"{path}1"))[1]["ratings"], [])

    async def test_sampling_noise_and_bad_quality(self):
        _, service = await self.start_service(
            sample=0.5, noise=0.1, bad_quality_by_model={"v2": 0.8}
        )
        for _ in range(100):
            await call(service.port, "POST", "/v1/ratings", BODY)
        self.assertTrue(30 < len(service.ratings) < 70)
        self.assertGreater(len({rating.score for rating in service.ratings}), 10)
        now = await call(service.port, "POST", "/v1/ratings/now", {**BODY, "version": "v2"})
        self.assertFalse(now[1]["pass"])

    async def test_faults(self):
        _, service = await self.start_service()
        service.faults.contradictory = True
        await call(service.port, "POST", "/v1/ratings", BODY)
        self.assertEqual([rating.passed for rating in service.ratings], [True, False])
        service.faults.wrong_shape = True
        page = (await call(service.port, "GET", "/v1/ratings"))[1]
        self.assertNotIn("ratings", page)
        self.assertEqual((await call(service.port, "POST", "/v1/ratings", {}))[0], 400)


if __name__ == "__main__":
    unittest.main()

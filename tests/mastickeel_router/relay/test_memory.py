"""Answers under way hold no more memory than their limit; the largest is given up first."""

from __future__ import annotations

import random
import unittest

from mastickeel.httpmessages import AnswerTooLargeError
from mastickeel_router.relay.memory import AnswerMemory, MemoryShare

LIMIT_BYTES = 100


class AnswerMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.memory = AnswerMemory(LIMIT_BYTES)
        self.evicted: list[str] = []

    def open_share(self, name: str, size: int) -> MemoryShare:
        share = self.memory.open_share(lambda: self.evicted.append(name))
        share.resize(size)
        return share

    def test_largest_answer_is_given_up_for_a_small_one(self) -> None:
        self.open_share("small", 10)
        large = self.open_share("large", 80)
        self.open_share("new", 30)
        self.assertEqual((self.evicted, self.memory.held_bytes), (["large"], 40))
        with self.assertRaises(AnswerTooLargeError):
            large.resize(90)
        self.assertEqual((self.memory.held_bytes, self.memory.evictions), (40, 1))

    def test_answer_that_is_the_largest_itself_is_refused(self) -> None:
        self.open_share("small", 30)
        with self.assertRaises(AnswerTooLargeError):
            self.open_share("large", 80)
        self.assertEqual((self.evicted, self.memory.held_bytes), ([], 30))

    def test_sizes_add_up_in_any_order(self) -> None:
        rng = random.Random(30)
        shares: list[MemoryShare] = []
        for _ in range(2_000):
            share = rng.choice(shares) if shares and rng.random() < 0.8 else self.open_share("", 0)
            shares.append(share)
            action = rng.random()
            try:
                if action < 0.7:
                    share.resize(rng.randrange(60))
                elif action < 0.85:
                    share.shrink(rng.randrange(60))
                else:
                    share.close()
            except AnswerTooLargeError:
                pass
            self.assertLessEqual(self.memory.held_bytes, LIMIT_BYTES)
            self.assertEqual(self.memory.held_bytes, sum(one.size for one in set(shares)))


if __name__ == "__main__":
    unittest.main()

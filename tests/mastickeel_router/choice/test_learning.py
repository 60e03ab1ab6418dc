"""What the ratings teach, and that all instances learn the same."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from mastickeel.clock import FakeClock
from mastickeel.model import Account, Configuration, Version
from mastickeel_router.choice.learning import (
    KINDS_PER_ACCOUNT,
    SUBJECTS_LIMIT,
    Learner,
    Subject,
    Tally,
    delivered_subject,
)
from mastickeel_router.choice.ratings import RatingEntry, RatingPage
from mastickeel_router.choice.sharing import OTHER_KINDS, RatingReader, RatingSharing
from mastickeel_standins.links import LinkHub

SUBJECT = Subject("gmina", "draft", "small@1", False)
CONFIGURATION = Configuration(
    accounts_by_id={"gmina": Account("gmina")},
    versions_by_id={"small@1": Version("small@1", "small", "pool")},
)


def entry(number: int, passed: bool, **fields: str) -> RatingEntry:
    """Returns a rating."""
    given_fields = {"account": "gmina", "kind": "draft", "version": "small@1", **fields}
    return RatingEntry(request_id=f"r{number}#0", passed=passed, **given_fields)


def read(learner: Learner, page: RatingPage, cursor: int = 0) -> None:
    """Counts a page."""
    reader = RatingReader(learner, None, FakeClock(), lambda: CONFIGURATION)  # type: ignore[arg-type]
    reader.record_page(page, 0, cursor)


class FoldTest(unittest.TestCase):
    """The fold of the log."""

    @seed(1)
    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.booleans(), max_size=40), st.lists(st.integers(0, 40), max_size=8))
    def test_any_overlapping_reads_and_merges_give_the_same(
        self, verdicts: list[bool], cuts: list[int]
    ) -> None:
        """Two readers that read in different pieces, and merge in any order, agree."""
        log = [entry(number, passed) for number, passed in enumerate(verdicts)]
        whole, pieces, merged = Learner(), Learner(), Learner()
        read(whole, RatingPage(tuple(log), len(log)))
        for cut in cuts:
            start = min(cut, pieces.cursor, len(log))
            end = min(start + 7, len(log))
            read(pieces, RatingPage(tuple(log[start:end]), end), start)
            merged.merge(pieces.entries_after(0, 100))
        read(pieces, RatingPage(tuple(log[pieces.cursor :]), len(log)), pieces.cursor)
        merged.merge(whole.entries_after(0, 100))
        merged.merge(pieces.entries_after(0, 100))
        self.assertEqual(whole.tallies_by_subject, pieces.tallies_by_subject)
        self.assertEqual(whole.tallies_by_subject, merged.tallies_by_subject)

    def test_unknown_accounts_and_wrong_shapes_count_for_nothing(self) -> None:
        learner = Learner()
        page = RatingPage((entry(1, True, account="other"), None, entry(2, False)), 3)
        read(learner, page)
        given = delivered_subject("gmina", "draft")
        rated = {one: tally.rated for one, tally in learner.tallies_by_subject.items()}
        self.assertEqual(rated, {SUBJECT: 1, given: 1})
        self.assertEqual(learner.cursor, 3)

    def test_answers_kept_back_count_for_the_version_only(self) -> None:
        learner = Learner()
        kept_back = RatingEntry("r1#0k", "gmina", "draft", "small@1", False)
        given_next = RatingEntry("r1#1", "gmina", "draft", "small@1", True)
        read(learner, RatingPage((kept_back, given_next), 2))
        self.assertEqual(learner.tallies_by_subject[SUBJECT][1:3], (0.0, 1.0))
        self.assertEqual(learner.tallies_by_subject[SUBJECT._replace(retry=True)][1:3], (1.0, 1.0))
        self.assertEqual(learner.delivered_tally("gmina", "draft")[1:3], (1.0, 1.0))

    def test_contradictory_ratings_raise_the_doubt(self) -> None:
        plain, doubtful = Learner(), Learner()
        read(plain, RatingPage(tuple(entry(n, True) for n in range(50)), 50))
        both = [entry(n // 2, n % 2 == 0) for n in range(100)]
        read(doubtful, RatingPage(tuple(both), 100))
        cautious = [one.estimate(SUBJECT, 0.0).lower_bound(1.3) for one in (plain, doubtful)]
        self.assertLess(cautious[1], 0.55)
        self.assertGreater(cautious[0], 0.8)

    def test_made_up_kinds_are_counted_together(self) -> None:
        learner = Learner()
        log = [entry(n, True, kind=f"kind {n}") for n in range(KINDS_PER_ACCOUNT * 2)]
        read(learner, RatingPage(tuple(log), len(log)))
        kinds = {subject.kind for subject in learner.tallies_by_subject}
        self.assertEqual(len(kinds), KINDS_PER_ACCOUNT + 1)
        self.assertIn(OTHER_KINDS, kinds)

    def test_figures_are_bounded(self) -> None:
        learner = Learner()
        for number in range(SUBJECTS_LIMIT + 50):
            learner.record_rating(SUBJECT._replace(account_id=f"a{number}"), True, number + 1)
        self.assertEqual(len(learner.tallies_by_subject), SUBJECTS_LIMIT)
        self.assertNotIn(SUBJECT._replace(account_id="a0"), learner.tallies_by_subject)


class EstimateTest(unittest.TestCase):
    """The step from ratings to expectations."""

    def test_few_data_mean_more_doubt_and_the_dearer_version(self) -> None:
        learner = Learner()
        cheap, dear = (learner.estimate(SUBJECT, rank).lower_bound(1.3) for rank in (0.0, 1.0))
        self.assertLess(cheap, dear)
        draws = random.Random(2)
        widths = []
        for at in range(1, 301):
            learner.record_rating(SUBJECT, draws.random() < 0.9, at)
            widths.append(learner.estimate(SUBJECT, 0.0).deviation)
        self.assertLess(widths[-1], widths[20] / 2)

    def test_drift_is_noticed_within_some_dozens_of_ratings(self) -> None:
        learner = Learner()
        draws = random.Random(3)
        for at in range(1, 601):
            learner.record_rating(SUBJECT, draws.random() < 0.95, at)
        for at in range(601, 701):
            learner.record_rating(SUBJECT, draws.random() < 0.6, at)
        self.assertLess(learner.estimate(SUBJECT, 0.0).mean, 0.72)

    def test_other_accounts_help_a_new_one_but_do_not_outweigh_its_own(self) -> None:
        learner = Learner()
        other = SUBJECT._replace(account_id="other")
        for at in range(1, 401):
            learner.record_rating(other, True, at)
        self.assertGreater(learner.estimate(SUBJECT, 0.0).mean, 0.9)
        for at in range(401, 481):
            learner.record_rating(SUBJECT, at % 2 == 0, at)
        self.assertLess(learner.estimate(SUBJECT, 0.0).mean, 0.65)


class SharingTest(unittest.IsolatedAsyncioTestCase):
    """Figures spread among instances without a reader of their own."""

    async def test_new_instance_starts_from_what_the_fleet_knows(self) -> None:
        hub = LinkHub(FakeClock())
        learners = {name: Learner() for name in ("a", "b", "c")}
        sharing = {
            name: RatingSharing(learner, hub.add(name), hub.clock, random.Random(4))  # type: ignore[arg-type]
            for name, learner in learners.items()
        }
        for number in range(300):
            learners["a"].record_rating(SUBJECT._replace(account_id=f"a{number}"), True, number + 1)
        learners["a"].advance_cursor(300)
        hub.remove("c")
        while not await sharing["b"].run_round():
            pass
        self.assertEqual(learners["b"].tallies_by_subject, learners["a"].tallies_by_subject)
        self.assertEqual(learners["b"].cursor, 300)

    async def test_instance_that_took_a_part_does_not_claim_the_whole(self) -> None:
        hub = LinkHub(FakeClock())
        full, part = Learner(), Learner()
        RatingSharing(full, hub.add("full"), hub.clock, random.Random(5))  # type: ignore[arg-type]
        sharing = RatingSharing(part, hub.add("part"), hub.clock, random.Random(5))  # type: ignore[arg-type]
        for number in range(200):
            full.record_rating(SUBJECT._replace(account_id=f"a{number}"), True, number + 1)
        full.advance_cursor(200)
        self.assertFalse(await sharing.run_round())
        self.assertEqual(part.cursor, 0)
        hub.remove("full")
        part.record_rating(SUBJECT._replace(account_id="a0"), True, 1)
        self.assertEqual(part.tallies_by_subject[SUBJECT._replace(account_id="a0")].rated, 1)


class FakeLog:
    """The rating service's log, as RatingClient gives it."""

    def __init__(self) -> None:
        self.entries: list[RatingEntry] = []

    async def fetch_page(self, cursor: int) -> RatingPage:
        return RatingPage(tuple(self.entries[cursor:]), len(self.entries))


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    """One instance reads the log, and others go on where it stopped."""

    async def asyncSetUp(self) -> None:
        self.hub = LinkHub(FakeClock())
        self.log = FakeLog()
        self.learners = [Learner(), Learner()]
        self.readers = [
            RatingReader(one, self.log, self.hub.clock, lambda: CONFIGURATION)  # type: ignore[arg-type]
            for one in self.learners
        ]
        self.sharing = [
            RatingSharing(one, self.hub.add(f"i{n}"), self.hub.clock, random.Random(n))  # type: ignore[arg-type]
            for n, one in enumerate(self.learners)
        ]

    def rated(self) -> list[float]:
        return [one.tallies_by_subject.get(SUBJECT, Tally()).rated for one in self.learners]

    async def test_next_holder_and_one_that_wakes_count_no_rating_twice(self) -> None:
        self.log.entries = [entry(number, True) for number in range(8)]
        await self.readers[0].read()
        self.log.entries += [entry(number, True) for number in range(8, 12)]
        await self.sharing[1].run_round()
        await self.readers[1].read()
        await self.readers[0].read()
        await self.readers[0].read()
        once = Tally()
        for at in range(1, 13):
            once = once.with_rating(True, at)
        self.assertEqual(self.rated(), [once.rated, once.rated])

    async def test_log_that_begins_anew_is_read_from_its_start(self) -> None:
        self.log.entries = [entry(number, True) for number in range(8)]
        await self.readers[0].read()
        await self.sharing[1].run_round()
        self.log.entries = [entry(number, False) for number in range(100, 103)]
        await self.readers[0].read()
        await self.sharing[1].run_round()
        self.assertEqual(self.learners[0].tallies_by_subject, self.learners[1].tallies_by_subject)
        self.assertGreater(self.rated()[1], 10)


class TallyTest(unittest.TestCase):
    """The averages."""

    def test_old_ratings_fade(self) -> None:
        tally = Tally()
        for at in range(1, 5_000):
            tally = tally.with_rating(True, at)
        self.assertLess(tally.rated, 700)


if __name__ == "__main__":
    unittest.main()

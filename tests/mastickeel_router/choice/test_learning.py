"""Pass rates estimated from ratings, and their equality on all instances."""

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


def make_entry(number: int, passed: bool, **fields: str) -> RatingEntry:
    """Returns an entry of the ratings log."""
    given_fields = {"account": "gmina", "kind": "draft", "version": "small@1", **fields}
    return RatingEntry(request_id=f"r{number}#0", passed=passed, **given_fields)


def count_page(learner: Learner, page: RatingPage, cursor: int = 0) -> None:
    """Counts a page of the log in a learner."""
    reader = RatingReader(learner, None, FakeClock(), lambda: CONFIGURATION)  # type: ignore[arg-type]
    reader.record_page(page, 0, cursor)


class RatingCountTest(unittest.TestCase):
    """Counting the entries of the log."""

    @seed(1)
    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.booleans(), max_size=40), st.lists(st.integers(0, 40), max_size=8))
    def test_overlapping_reads_and_merges_give_the_same_tallies(
        self, verdicts: list[bool], cuts: list[int]
    ) -> None:
        """Guards against ratings counted twice or lost when reads overlap or tallies are merged."""
        log = [make_entry(number, passed) for number, passed in enumerate(verdicts)]
        whole_reader, piecewise_reader, merging_reader = Learner(), Learner(), Learner()
        count_page(whole_reader, RatingPage(tuple(log), len(log)))
        for cut in cuts:
            start = min(cut, piecewise_reader.cursor, len(log))
            end = min(start + 7, len(log))
            count_page(piecewise_reader, RatingPage(tuple(log[start:end]), end), start)
            merging_reader.merge(piecewise_reader.entries_after(0, 100))
        count_page(
            piecewise_reader,
            RatingPage(tuple(log[piecewise_reader.cursor :]), len(log)),
            piecewise_reader.cursor,
        )
        merging_reader.merge(whole_reader.entries_after(0, 100))
        merging_reader.merge(piecewise_reader.entries_after(0, 100))
        self.assertEqual(whole_reader.tallies_by_subject, piecewise_reader.tallies_by_subject)
        self.assertEqual(whole_reader.tallies_by_subject, merging_reader.tallies_by_subject)

    def test_unknown_accounts_and_malformed_entries_are_not_counted(self) -> None:
        learner = Learner()
        page = RatingPage((make_entry(1, True, account="other"), None, make_entry(2, False)), 3)
        count_page(learner, page)
        delivered = delivered_subject("gmina", "draft")
        rated = {subject: tally.rated for subject, tally in learner.tallies_by_subject.items()}
        self.assertEqual(rated, {SUBJECT: 1, delivered: 1})
        self.assertEqual(learner.cursor, 3)

    def test_withheld_answers_count_for_the_version_only(self) -> None:
        learner = Learner()
        withheld = RatingEntry("r1#0k", "gmina", "draft", "small@1", False)
        delivered = RatingEntry("r1#1", "gmina", "draft", "small@1", True)
        count_page(learner, RatingPage((withheld, delivered), 2))
        self.assertEqual(learner.tallies_by_subject[SUBJECT][1:3], (0.0, 1.0))
        self.assertEqual(learner.tallies_by_subject[SUBJECT._replace(retry=True)][1:3], (1.0, 1.0))
        self.assertEqual(learner.delivered_tally("gmina", "draft")[1:3], (1.0, 1.0))

    def test_contradictory_ratings_lower_the_confidence_bound(self) -> None:
        consistent, contradictory = Learner(), Learner()
        count_page(consistent, RatingPage(tuple(make_entry(n, True) for n in range(50)), 50))
        entries = [make_entry(n // 2, n % 2 == 0) for n in range(100)]
        count_page(contradictory, RatingPage(tuple(entries), 100))
        bounds = [
            learner.estimate(SUBJECT, 0.0).lower_bound(1.3)
            for learner in (consistent, contradictory)
        ]
        self.assertLess(bounds[1], 0.55)
        self.assertGreater(bounds[0], 0.8)

    def test_kinds_over_the_limit_are_counted_together(self) -> None:
        learner = Learner()
        log = [make_entry(n, True, kind=f"kind {n}") for n in range(KINDS_PER_ACCOUNT * 2)]
        count_page(learner, RatingPage(tuple(log), len(log)))
        kinds = {subject.kind for subject in learner.tallies_by_subject}
        self.assertEqual(len(kinds), KINDS_PER_ACCOUNT + 1)
        self.assertIn(OTHER_KINDS, kinds)

    def test_number_of_tallies_is_bounded(self) -> None:
        learner = Learner()
        for number in range(SUBJECTS_LIMIT + 50):
            learner.record_rating(SUBJECT._replace(account_id=f"a{number}"), True, number + 1)
        self.assertEqual(len(learner.tallies_by_subject), SUBJECTS_LIMIT)
        self.assertNotIn(SUBJECT._replace(account_id="a0"), learner.tallies_by_subject)


class EstimateTest(unittest.TestCase):
    """Estimates derived from ratings."""

    def test_few_ratings_widen_the_bound_and_favour_the_expensive_version(self) -> None:
        learner = Learner()
        cheap, expensive = (learner.estimate(SUBJECT, rank).lower_bound(1.3) for rank in (0.0, 1.0))
        self.assertLess(cheap, expensive)
        rng = random.Random(2)
        widths = []
        for at in range(1, 301):
            learner.record_rating(SUBJECT, rng.random() < 0.9, at)
            widths.append(learner.estimate(SUBJECT, 0.0).deviation)
        self.assertLess(widths[-1], widths[20] / 2)

    def test_drift_is_detected_within_100_ratings(self) -> None:
        learner = Learner()
        rng = random.Random(3)
        for at in range(1, 601):
            learner.record_rating(SUBJECT, rng.random() < 0.95, at)
        for at in range(601, 701):
            learner.record_rating(SUBJECT, rng.random() < 0.6, at)
        self.assertLess(learner.estimate(SUBJECT, 0.0).mean, 0.72)

    def test_ratings_of_other_accounts_do_not_outweigh_those_of_the_account(self) -> None:
        learner = Learner()
        other = SUBJECT._replace(account_id="other")
        for at in range(1, 401):
            learner.record_rating(other, True, at)
        self.assertGreater(learner.estimate(SUBJECT, 0.0).mean, 0.9)
        for at in range(401, 481):
            learner.record_rating(SUBJECT, at % 2 == 0, at)
        self.assertLess(learner.estimate(SUBJECT, 0.0).mean, 0.65)


class SharingTest(unittest.IsolatedAsyncioTestCase):
    """Instances that do not read the log pull tallies from their peers."""

    async def test_new_instance_pulls_all_tallies_of_a_peer(self) -> None:
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

    async def test_partial_pull_does_not_advance_the_cursor(self) -> None:
        hub = LinkHub(FakeClock())
        full, partial = Learner(), Learner()
        RatingSharing(full, hub.add("full"), hub.clock, random.Random(5))  # type: ignore[arg-type]
        sharing = RatingSharing(partial, hub.add("part"), hub.clock, random.Random(5))  # type: ignore[arg-type]
        for number in range(200):
            full.record_rating(SUBJECT._replace(account_id=f"a{number}"), True, number + 1)
        full.advance_cursor(200)
        self.assertFalse(await sharing.run_round())
        self.assertEqual(partial.cursor, 0)
        hub.remove("full")
        partial.record_rating(SUBJECT._replace(account_id="a0"), True, 1)
        self.assertEqual(partial.tallies_by_subject[SUBJECT._replace(account_id="a0")].rated, 1)


class FakeLog:
    """The rating service's log, in place of a RatingClient."""

    def __init__(self) -> None:
        self.entries: list[RatingEntry] = []

    async def fetch_page(self, cursor: int) -> RatingPage:
        return RatingPage(tuple(self.entries[cursor:]), len(self.entries))


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    """The reader of the log changes, or the service restarts its log."""

    async def asyncSetUp(self) -> None:
        self.hub = LinkHub(FakeClock())
        self.log = FakeLog()
        self.learners = [Learner(), Learner()]
        self.readers = [
            RatingReader(learner, self.log, self.hub.clock, lambda: CONFIGURATION)  # type: ignore[arg-type]
            for learner in self.learners
        ]
        self.sharing = [
            RatingSharing(learner, self.hub.add(f"i{n}"), self.hub.clock, random.Random(n))  # type: ignore[arg-type]
            for n, learner in enumerate(self.learners)
        ]

    def rated_sums(self) -> list[float]:
        return [learner.tallies_by_subject.get(SUBJECT, Tally()).rated for learner in self.learners]

    async def test_no_rating_is_counted_twice_when_the_reader_changes(self) -> None:
        self.log.entries = [make_entry(number, True) for number in range(8)]
        await self.readers[0].read()
        self.log.entries += [make_entry(number, True) for number in range(8, 12)]
        await self.sharing[1].run_round()
        await self.readers[1].read()
        await self.readers[0].read()
        await self.readers[0].read()
        expected = Tally()
        for at in range(1, 13):
            expected = expected.with_rating(True, at)
        self.assertEqual(self.rated_sums(), [expected.rated, expected.rated])

    async def test_restarted_log_is_read_from_its_start(self) -> None:
        self.log.entries = [make_entry(number, True) for number in range(8)]
        await self.readers[0].read()
        await self.sharing[1].run_round()
        self.log.entries = [make_entry(number, False) for number in range(100, 103)]
        await self.readers[0].read()
        await self.sharing[1].run_round()
        self.assertEqual(self.learners[0].tallies_by_subject, self.learners[1].tallies_by_subject)
        self.assertGreater(self.rated_sums()[1], 10)


class TallyTest(unittest.TestCase):
    """Decay of old ratings."""

    def test_old_ratings_fade(self) -> None:
        tally = Tally()
        for at in range(1, 5_000):
            tally = tally.with_rating(True, at)
        self.assertLess(tally.rated, 700)


if __name__ == "__main__":
    unittest.main()

"""Learns from the log of ratings how often each version's answers pass.

The state is a fold of the rating service's log: two instances that have read the log to the same
position hold the same figures. So merging is taking the newer figure of each subject, which is
commutative and idempotent, and a rating is counted once however often it is read.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

SUBJECTS_LIMIT = 8_192
KINDS_PER_ACCOUNT = 16
DECAY_RATINGS = 600
"""After so many further ratings, a rating has lost most of its weight."""
RECENT_RATINGS = 40
"""The memory of the second, faster average, which notices drift."""
DRIFT_DEVIATIONS = 4.0
POOL_WEIGHT_LIMIT = 16.0
"""The most ratings that other accounts' experience with a version counts for."""
PRIOR_WEIGHT = 4.0
CHEAPEST_PRIOR = 0.5
MOST_EXPENSIVE_PRIOR = 0.9
RETRY_PRIOR_FACTOR = 0.8
"""What a version is held to pass of the requests on which another has failed, before any data."""
POSITION_BITS = 40
DELIVERED = ""
"""Stands in for the version where the answers given to callers are counted."""


class Subject(NamedTuple):
    """What is rated together."""

    account_id: str
    kind: str
    version_id: str
    retry: bool
    """Whether the version answered after a cheaper one had failed the same request."""


class Tally(NamedTuple):
    """The ratings of a subject, older ones weighing less."""

    at: int = 0
    """The position in the log of the last rating."""
    passed: float = 0.0
    rated: float = 0.0
    recent_passed: float = 0.0
    recent_rated: float = 0.0

    def with_rating(self, passed: bool, at: int) -> Tally:
        """Returns the tally with one more rating."""
        keep, keep_recent = 1 - 1 / DECAY_RATINGS, 1 - 1 / RECENT_RATINGS
        tally = Tally(
            at,
            self.passed * keep + passed,
            self.rated * keep + 1,
            self.recent_passed * keep_recent + passed,
            self.recent_rated * keep_recent + 1,
        )
        return tally._without_the_past() if tally._has_drifted() else tally

    def _has_drifted(self) -> bool:
        """Says whether the recent ratings contradict the older ones."""
        if self.rated < 2 * RECENT_RATINGS:
            return False
        mean = (self.passed + 1) / (self.rated + 2)
        spread = math.sqrt(mean * (1 - mean) / (RECENT_RATINGS * 2))
        return abs(self.recent_passed / self.recent_rated - mean) > DRIFT_DEVIATIONS * spread

    def _without_the_past(self) -> Tally:
        return self._replace(passed=self.recent_passed, rated=self.recent_rated)


class Estimate(NamedTuple):
    """How often a subject passes, as far as is known."""

    mean: float
    deviation: float

    def lower_bound(self, deviations: float) -> float:
        """Returns a lower confidence bound."""
        return max(0.0, self.mean - deviations * self.deviation)


class Learner:
    """What this instance knows of the ratings."""

    def __init__(self) -> None:
        self.tallies_by_subject: dict[Subject, Tally] = {}
        """The figures."""
        self.cursor = 0
        """Every rating up to here is in the figures; see ``position_of``."""
        self._pools: dict[tuple[str, str, bool], tuple[float, float]] = {}
        self._kinds_by_account: dict[str, set[str]] = {}

    def record_rating(self, subject: Subject, passed: bool, at: int) -> None:
        """Counts one rating of the log, unless it is counted already.

        Args:
            subject: What was rated.
            passed: The verdict.
            at: Its position in the log.
        """
        tally = self.tallies_by_subject.get(subject, Tally())
        if tally.at < at:
            self._put(subject, tally.with_rating(passed, at))

    def advance_cursor(self, cursor: int) -> None:
        """Notes that the log has been read up to a position."""
        self.cursor = max(self.cursor, cursor)

    def merge(self, entries: Iterable[tuple[Subject, Tally]]) -> None:
        """Takes over what another instance has counted further."""
        for subject, tally in entries:
            if self.tallies_by_subject.get(subject, Tally()).at < tally.at:
                self._put(subject, tally)

    def entries_after(self, at: int, limit: int) -> list[tuple[Subject, Tally]]:
        """Returns the oldest figures that have changed after a position."""
        newer = [entry for entry in self.tallies_by_subject.items() if entry[1].at > at]
        return sorted(newer, key=lambda entry: entry[1].at)[:limit]

    def can_track_kind(self, account_id: str, kind: str) -> bool:
        """Says whether a kind of request may be counted by itself; bounds what callers make up."""
        kinds = self._kinds_by_account.get(account_id, set())
        return kind in kinds or len(kinds) < KINDS_PER_ACCOUNT

    def estimate(self, subject: Subject, price_rank: float) -> Estimate:
        """Estimates how often a subject passes.

        Few ratings of its own are filled up with those of other accounts for the same kind, and
        these with the order of prices.

        Args:
            subject: The account, kind and version.
            price_rank: 0 for the cheapest candidate, 1 for the dearest.

        Returns:
            The estimate.
        """
        own = self.tallies_by_subject.get(subject, Tally())
        pool_passed, pool_rated = self._pools.get(subject[1:], (0.0, 0.0))
        others_passed = max(0.0, pool_passed - own.passed)
        others_rated = max(0.0, pool_rated - own.rated)
        base, base_strength = self._base(subject, price_rank)
        pool_mean = (base * base_strength + others_passed) / (base_strength + others_rated)
        pool_mean = min(pool_mean, 1.0)
        strength = min(POOL_WEIGHT_LIMIT, base_strength + others_rated)
        rated = strength + own.rated
        mean = min(1.0, (pool_mean * strength + own.passed) / rated)
        return Estimate(mean, math.sqrt(mean * (1 - mean) / (rated + 1)))

    def _base(self, subject: Subject, rank: float) -> tuple[float, float]:
        """Returns the expectation without ratings of the kind, and how many these are worth.

        A version that often passes where a cheaper one has failed passes no less often otherwise.
        """
        if subject.retry:
            mean = self.estimate(subject._replace(retry=False), rank).mean
            return RETRY_PRIOR_FACTOR * mean, PRIOR_WEIGHT
        base = CHEAPEST_PRIOR + (MOST_EXPENSIVE_PRIOR - CHEAPEST_PRIOR) * rank
        retry = self.tallies_by_subject.get(subject._replace(retry=True), Tally())
        mean = (retry.passed + base * PRIOR_WEIGHT) / (retry.rated + PRIOR_WEIGHT)
        if mean <= base:
            return base, PRIOR_WEIGHT
        return min(1.0, mean), min(POOL_WEIGHT_LIMIT, PRIOR_WEIGHT + retry.rated)

    def delivered_tally(self, account_id: str, kind: str) -> Tally:
        """Returns the ratings of the answers that callers were given, of whatever version."""
        return self.tallies_by_subject.get(delivered_subject(account_id, kind), Tally())

    def _put(self, subject: Subject, tally: Tally) -> None:
        """Sets the figures of a subject and of its pool, within the limit."""
        before = self.tallies_by_subject.get(subject, Tally())
        if not before.at and len(self.tallies_by_subject) >= SUBJECTS_LIMIT:
            self._drop_oldest()
        self.tallies_by_subject[subject] = tally
        self._kinds_by_account.setdefault(subject.account_id, set()).add(subject.kind)
        self._change_pool(subject, tally.passed - before.passed, tally.rated - before.rated)

    def _drop_oldest(self) -> None:
        oldest = min(self.tallies_by_subject, key=lambda one: self.tallies_by_subject[one].at)
        tally = self.tallies_by_subject.pop(oldest)
        self._change_pool(oldest, -tally.passed, -tally.rated)

    def _change_pool(self, subject: Subject, passed: float, rated: float) -> None:
        pool_passed, pool_rated = self._pools.get(subject[1:], (0.0, 0.0))
        self._pools[subject[1:]] = (pool_passed + passed, pool_rated + rated)


def delivered_subject(account_id: str, kind: str) -> Subject:
    """Returns the subject under which the answers given to callers are counted."""
    return Subject(account_id, kind, DELIVERED, False)


def pack_position(epoch: int, cursor: int) -> int:
    """Returns a position that grows also when the rating service begins its log anew.

    Args:
        epoch: How often the log has begun anew.
        cursor: The service's own cursor.
    """
    return epoch << POSITION_BITS | cursor


def unpack_position(position: int) -> tuple[int, int]:
    """Returns what a position was made of."""
    return position >> POSITION_BITS, position & ((1 << POSITION_BITS) - 1)

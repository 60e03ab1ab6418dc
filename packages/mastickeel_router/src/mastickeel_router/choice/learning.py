"""Estimates from the log of ratings how often each version's answers pass.

The state is a fold over the rating service's log: two instances that have read the log up to the
same position hold the same tallies. Merging therefore takes the newer tally of each subject, which
is commutative and idempotent, and a rating is counted once however often it is read.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

SUBJECTS_LIMIT = 8_192
KINDS_PER_ACCOUNT = 16
DECAY_RATINGS = 600
"""Further ratings after which a rating has lost most of its weight."""
RECENT_RATINGS = 40
"""Further ratings after which a rating has lost most of its weight in the recent average."""
DRIFT_DEVIATIONS = 4.0
"""Standard deviations between the recent and the long-term average that count as drift."""
PRIOR_WEIGHT_LIMIT = 16.0
"""Maximum number of ratings that a prior counts for, however many ratings it is drawn from."""
PRIOR_WEIGHT = 4.0
"""Number of ratings that a prior counts for before other ratings are added to it."""
CHEAPEST_PRIOR = 0.5
"""Pass rate assumed of the cheapest candidate before any ratings."""
MOST_EXPENSIVE_PRIOR = 0.9
"""Pass rate assumed of the most expensive candidate before any ratings."""
RETRY_PRIOR_FACTOR = 0.8
"""Factor on the pass rate that gives the prior for requests on which a cheaper version failed."""
POSITION_BITS = 40
"""Bits of a position that hold the rating service's cursor."""
DELIVERED = ""
"""Stands for the version id where delivered answers of all versions are counted together."""


class Subject(NamedTuple):
    """Answers whose ratings are counted together."""

    account_id: str
    kind: str
    version_id: str
    retry: bool
    """Whether the version answered after a cheaper one had failed the same request."""


class Tally(NamedTuple):
    """Sums over the ratings of a subject, with exponentially decaying weights."""

    at: int = 0
    """Position in the log of the last rating."""
    passed: float = 0.0
    rated: float = 0.0
    recent_passed: float = 0.0
    recent_rated: float = 0.0

    def with_rating(self, passed: bool, position: int) -> Tally:
        """Returns the tally with one more rating, restarted from the recent ones on drift."""
        decay, recent_decay = 1 - 1 / DECAY_RATINGS, 1 - 1 / RECENT_RATINGS
        tally = Tally(
            position,
            self.passed * decay + passed,
            self.rated * decay + 1,
            self.recent_passed * recent_decay + passed,
            self.recent_rated * recent_decay + 1,
        )
        return tally._restart_from_recent() if tally._has_drifted() else tally

    def _has_drifted(self) -> bool:
        """Returns whether the recent ratings contradict the long-term average."""
        if self.rated < 2 * RECENT_RATINGS:
            return False
        mean = (self.passed + 1) / (self.rated + 2)
        spread = math.sqrt(mean * (1 - mean) / (RECENT_RATINGS * 2))
        return abs(self.recent_passed / self.recent_rated - mean) > DRIFT_DEVIATIONS * spread

    def _restart_from_recent(self) -> Tally:
        return self._replace(passed=self.recent_passed, rated=self.recent_rated)


class Estimate(NamedTuple):
    """Estimated pass rate of a subject."""

    mean: float
    deviation: float
    """Standard deviation of the mean."""

    def lower_bound(self, deviations: float) -> float:
        """Returns the lower confidence bound of the pass rate.

        Args:
            deviations: Standard deviations below the mean.
        """
        return max(0.0, self.mean - deviations * self.deviation)


class Learner:
    """Pass rate estimates learned from the ratings that this instance has received."""

    def __init__(self) -> None:
        self.tallies_by_subject: dict[Subject, Tally] = {}
        """Tally of each subject."""
        self.cursor = 0
        """Position up to which all ratings are counted; see ``pack_position``."""
        self._totals_over_accounts: dict[tuple[str, str, bool], tuple[float, float]] = {}
        """Sums of ``passed`` and ``rated`` over all accounts, by kind, version and retry."""
        self._kinds_by_account: dict[str, set[str]] = {}

    def record_rating(self, subject: Subject, passed: bool, position: int) -> None:
        """Counts one rating of the log, unless it has been counted already.

        Args:
            subject: Subject of the rated answer.
            passed: Whether the answer passed.
            position: Position of the rating in the log; see ``pack_position``.
        """
        tally = self.tallies_by_subject.get(subject, Tally())
        if tally.at < position:
            self._store(subject, tally.with_rating(passed, position))

    def advance_cursor(self, cursor: int) -> None:
        """Records that the log has been read up to a position."""
        self.cursor = max(self.cursor, cursor)

    def merge(self, entries: Iterable[tuple[Subject, Tally]]) -> None:
        """Takes over those tallies of another instance that are newer than the local ones."""
        for subject, tally in entries:
            if self.tallies_by_subject.get(subject, Tally()).at < tally.at:
                self._store(subject, tally)

    def entries_after(self, position: int, limit: int) -> list[tuple[Subject, Tally]]:
        """Returns up to ``limit`` tallies that changed after a position, oldest change first."""
        newer = [entry for entry in self.tallies_by_subject.items() if entry[1].at > position]
        return sorted(newer, key=lambda entry: entry[1].at)[:limit]

    def can_track_kind(self, account_id: str, kind: str) -> bool:
        """Returns whether a kind of request may have tallies of its own.

        Callers choose the names of kinds, so their number per account is bounded.
        """
        kinds = self._kinds_by_account.get(account_id, set())
        return kind in kinds or len(kinds) < KINDS_PER_ACCOUNT

    def estimate(self, subject: Subject, price_rank: float) -> Estimate:
        """Estimates the pass rate of a subject.

        When the subject has few ratings of its own, those of other accounts for the same kind and
        version complement them, and a prior by price rank complements both.

        Args:
            subject: The subject to estimate.
            price_rank: 0 for the cheapest candidate, 1 for the most expensive.

        Returns:
            The estimate.
        """
        own = self.tallies_by_subject.get(subject, Tally())
        total_passed, total_rated = self._totals_over_accounts.get(subject[1:], (0.0, 0.0))
        others_passed = max(0.0, total_passed - own.passed)
        others_rated = max(0.0, total_rated - own.rated)
        prior, prior_weight = self._estimate_prior(subject, price_rank)
        others_mean = (prior * prior_weight + others_passed) / (prior_weight + others_rated)
        others_mean = min(others_mean, 1.0)
        others_weight = min(PRIOR_WEIGHT_LIMIT, prior_weight + others_rated)
        rated = others_weight + own.rated
        mean = min(1.0, (others_mean * others_weight + own.passed) / rated)
        return Estimate(mean, math.sqrt(mean * (1 - mean) / (rated + 1)))

    def _estimate_prior(self, subject: Subject, price_rank: float) -> tuple[float, float]:
        """Returns the prior pass rate of a subject and the number of ratings it counts for.

        A version that often passes after a cheaper one has failed is assumed to pass no less often
        on other requests.
        """
        if subject.retry:
            mean = self.estimate(subject._replace(retry=False), price_rank).mean
            return RETRY_PRIOR_FACTOR * mean, PRIOR_WEIGHT
        prior = CHEAPEST_PRIOR + (MOST_EXPENSIVE_PRIOR - CHEAPEST_PRIOR) * price_rank
        retry = self.tallies_by_subject.get(subject._replace(retry=True), Tally())
        mean = (retry.passed + prior * PRIOR_WEIGHT) / (retry.rated + PRIOR_WEIGHT)
        if mean <= prior:
            return prior, PRIOR_WEIGHT
        return min(1.0, mean), min(PRIOR_WEIGHT_LIMIT, PRIOR_WEIGHT + retry.rated)

    def delivered_tally(self, account_id: str, kind: str) -> Tally:
        """Returns the tally of the answers delivered to callers, over all versions."""
        return self.tallies_by_subject.get(delivered_subject(account_id, kind), Tally())

    def _store(self, subject: Subject, tally: Tally) -> None:
        """Stores a subject's tally and updates the totals; drops the oldest tally at the limit."""
        previous = self.tallies_by_subject.get(subject, Tally())
        if not previous.at and len(self.tallies_by_subject) >= SUBJECTS_LIMIT:
            self._drop_oldest()
        self.tallies_by_subject[subject] = tally
        self._kinds_by_account.setdefault(subject.account_id, set()).add(subject.kind)
        self._adjust_totals(subject, tally.passed - previous.passed, tally.rated - previous.rated)

    def _drop_oldest(self) -> None:
        oldest = min(
            self.tallies_by_subject, key=lambda subject: self.tallies_by_subject[subject].at
        )
        tally = self.tallies_by_subject.pop(oldest)
        self._adjust_totals(oldest, -tally.passed, -tally.rated)

    def _adjust_totals(self, subject: Subject, passed: float, rated: float) -> None:
        total_passed, total_rated = self._totals_over_accounts.get(subject[1:], (0.0, 0.0))
        self._totals_over_accounts[subject[1:]] = (total_passed + passed, total_rated + rated)


def delivered_subject(account_id: str, kind: str) -> Subject:
    """Returns the subject under which the answers delivered to callers are counted."""
    return Subject(account_id, kind, DELIVERED, False)


def pack_position(epoch: int, cursor: int) -> int:
    """Packs an epoch and a cursor into a position that grows even when the log restarts.

    Args:
        epoch: Number of times that the rating service has restarted its log.
        cursor: The service's own cursor.
    """
    return epoch << POSITION_BITS | cursor


def unpack_position(position: int) -> tuple[int, int]:
    """Returns the epoch and the cursor that a position was packed from."""
    return position >> POSITION_BITS, position & ((1 << POSITION_BITS) - 1)

"""Guards of one rollout: a sequential test per metric, over all accounts and per account."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.model import Guard
from mastickeel_router.sequential import Block, SequentialTest, alpha_share

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mastickeel.model import Rollout
    from mastickeel_router.rollouts.messages import AnswerCounts

ALPHA = 0.01
"""Probability that a rollout's guards ever halt a version that is no worse than permitted."""
MAX_ACCOUNTS_TESTED = 32
ALL_ACCOUNTS = "all accounts"
DEFAULT_GUARDS = (Guard("failures", 0.02),)
"""Guards of a rollout that names none."""
LATENCY_SLACK = 0.02
"""Permitted difference in the share of answers over the limit, since limits are estimates."""


@dataclass(frozen=True)
class GuardResult:
    """The evidence of one guard against the new version."""

    metric: str
    account_id: str
    """The id of the account, or ALL_ACCOUNTS."""
    evidence: float
    threshold: float
    """The evidence at which the rollout is halted."""
    answers: int

    @property
    def is_reached(self) -> bool:
        """Whether the evidence requires a halt of the rollout."""
        return self.evidence >= self.threshold


class Guards:
    """Runs the tests of one rollout."""

    def __init__(self, rollout: Rollout) -> None:
        """Creates the tests of a rollout.

        Args:
            rollout: The rollout to guard.
        """
        self.guards = rollout.guards or DEFAULT_GUARDS
        """The guards of the rollout, or the default guards."""
        self._tests_by_metric: dict[str, dict[str, SequentialTest]] = {
            guard.metric: {ALL_ACCOUNTS: self._new_test(guard)} for guard in self.guards
        }

    def add_counts(self, account_id: str, counts: AnswerCounts) -> None:
        """Adds answers of an account to the tests.

        Args:
            account_id: The account.
            counts: The new answers since the last call.
        """
        for guard in self.guards:
            if guard.metric == "failures":
                self._add_block(guard, account_id, counts, counts.new_failed, counts.old_failed)
            elif guard.metric == "latency":
                self._add_block(guard, account_id, counts, counts.new_slow, counts.old_slow)
            elif guard.metric == "cost":
                self._add_block(guard, account_id, counts, counts.new_costly, counts.old_costly)

    def add_rating(self, account_id: str, is_new: bool, passed: bool) -> None:
        """Adds one rating to the tests.

        Args:
            account_id: The account whose answer was rated.
            is_new: Whether the new version gave the answer.
            passed: Whether the rating was positive.
        """
        for guard in self.guards:
            if guard.metric == "ratings":
                bad = int(not passed)
                block = Block(new=1, new_bad=bad) if is_new else Block(old=1, old_bad=bad)
                for test in self._tests_of(guard, account_id):
                    test.add(block)

    def judged_answers(self) -> int:
        """Returns the smallest number of new answers that any guard has judged."""
        return min(tests[ALL_ACCOUNTS].judged_answers for tests in self._tests_by_metric.values())

    def results(self) -> Iterator[GuardResult]:
        """Yields the result of each test."""
        for tests in self._tests_by_metric.values():
            metric = next(
                name
                for name, metric_tests in self._tests_by_metric.items()
                if metric_tests is tests
            )
            for index, (account_id, test) in enumerate(tests.items()):
                threshold = self._evidence_threshold(index)
                yield GuardResult(metric, account_id, test.evidence, threshold, test.judged_answers)

    def _evidence_threshold(self, index: int) -> float:
        """Returns the evidence that a test needs for a halt, so that all tests share ALPHA.

        The test over all accounts gets most of ALPHA, the tests of single accounts share the rest.
        """
        return len(self.guards) / (ALPHA * alpha_share(index + 1))

    def _add_block(
        self, guard: Guard, account_id: str, counts: AnswerCounts, new_bad: int, old_bad: int
    ) -> None:
        for test in self._tests_of(guard, account_id):
            test.add(Block(counts.new, new_bad, counts.old, old_bad))

    def _tests_of(self, guard: Guard, account_id: str) -> list[SequentialTest]:
        """Returns the tests to which an account's answers are added."""
        tests = self._tests_by_metric[guard.metric]
        if account_id not in tests and len(tests) <= MAX_ACCOUNTS_TESTED:
            tests[account_id] = self._new_test(guard)
        account_tests = [tests[account_id]] if account_id in tests else []
        return [tests[ALL_ACCOUNTS], *account_tests]

    def _new_test(self, guard: Guard) -> SequentialTest:
        is_share = guard.metric in ("failures", "ratings")
        return SequentialTest(guard.limit if is_share else LATENCY_SLACK)

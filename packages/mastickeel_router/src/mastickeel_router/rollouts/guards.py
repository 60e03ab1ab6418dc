"""The guards of one roll-out: a test for each metric, over all accounts and for each one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.model import Guard
from mastickeel_router.sequential import Block, SequentialTest, share_of_alpha

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mastickeel.model import Rollout
    from mastickeel_router.rollouts.messages import AnswerCounts

ALPHA = 0.01
"""The chance that a plan's guards ever halt a version that is no worse than they permit."""
MAX_ACCOUNTS_TESTED = 32
ALL_ACCOUNTS = "all accounts"
DEFAULT_GUARDS = (Guard("failures", 0.02),)
"""What guards a plan that names none."""
LATENCY_SLACK = 0.02
"""By how much the share of answers over the mark may differ, as marks are estimates."""


@dataclass(frozen=True)
class GuardResult:
    """What a guard has against the new version."""

    metric: str
    account_id: str
    """The account, or ALL_ACCOUNTS."""
    evidence: float
    threshold: float
    """The evidence at which the plan is halted."""
    answers: int

    @property
    def is_reached(self) -> bool:
        """Whether the plan is to be halted."""
        return self.evidence >= self.threshold


class Guards:
    """The tests of one roll-out."""

    def __init__(self, rollout: Rollout) -> None:
        """Makes the tests.

        Args:
            rollout: The plan.
        """
        self.guards = rollout.guards or DEFAULT_GUARDS
        """What the plan guards against."""
        self._tests_by_metric: dict[str, dict[str, SequentialTest]] = {
            guard.metric: {ALL_ACCOUNTS: self._new_test(guard)} for guard in self.guards
        }

    def add_counts(self, account_id: str, counts: AnswerCounts) -> None:
        """Takes answers of an account."""
        for guard in self.guards:
            if guard.metric == "failures":
                self._add_block(guard, account_id, counts, counts.new_failed, counts.old_failed)
            elif guard.metric == "latency":
                self._add_block(guard, account_id, counts, counts.new_slow, counts.old_slow)
            elif guard.metric == "cost":
                self._add_block(guard, account_id, counts, counts.new_costly, counts.old_costly)

    def add_rating(self, account_id: str, is_new: bool, passed: bool) -> None:
        """Takes one rating."""
        for guard in self.guards:
            if guard.metric == "ratings":
                bad = int(not passed)
                block = Block(new=1, new_bad=bad) if is_new else Block(old=1, old_bad=bad)
                for test in self._tests_of(guard, account_id):
                    test.add(block)

    def judged_answers(self) -> int:
        """Returns how many new answers the guard that knows least has judged."""
        return min(tests[ALL_ACCOUNTS].answers for tests in self._tests_by_metric.values())

    def results(self) -> Iterator[GuardResult]:
        """Returns what each test has found."""
        for tests in self._tests_by_metric.values():
            metric = next(name for name, found in self._tests_by_metric.items() if found is tests)
            for number, (account_id, test) in enumerate(tests.items()):
                needed = self._evidence_threshold(number)
                yield GuardResult(metric, account_id, test.evidence, needed, test.answers)

    def _evidence_threshold(self, number: int) -> float:
        """Returns the evidence that a test needs, so that all of them share ALPHA.

        Most of it goes to the test over all accounts, the rest to those of single ones.
        """
        return len(self.guards) / (ALPHA * share_of_alpha(number + 1))

    def _add_block(
        self, guard: Guard, account_id: str, counts: AnswerCounts, new_bad: int, old_bad: int
    ) -> None:
        for test in self._tests_of(guard, account_id):
            test.add(Block(counts.new, new_bad, counts.old, old_bad))

    def _tests_of(self, guard: Guard, account_id: str) -> list[SequentialTest]:
        """Returns the tests that an account's answers go into."""
        tests = self._tests_by_metric[guard.metric]
        if account_id not in tests and len(tests) <= MAX_ACCOUNTS_TESTED:
            tests[account_id] = self._new_test(guard)
        own = [tests[account_id]] if account_id in tests else []
        return [tests[ALL_ACCOUNTS], *own]

    def _new_test(self, guard: Guard) -> SequentialTest:
        is_share = guard.metric in ("failures", "ratings")
        return SequentialTest(guard.limit if is_share else LATENCY_SLACK)

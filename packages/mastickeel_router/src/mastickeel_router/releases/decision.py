"""Decides the progress of a release from the elapsed time and the evidence: pure functions."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel_router.releases.model import ReleaseState
from mastickeel_router.sequential import Block, SequentialTest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mastickeel_router.releases.model import ReleaseOrder, ReleasePlan

FIRST_SHARE = 0.25
"""Initial share of the target. Deployments allow a bad target 0.0975 to 0.15 of all requests of a
release, so that it has to be found within the first part of the release."""
SECOND_SHARE = 0.5
"""Second share of the target: loads the endpoints of both versions alike while both are present."""
SECOND_SHARE_FROM = 0.3
"""Fraction of the release's duration after which the target gets its second share."""
FULL_SHARE_FROM = 0.66
"""Fraction of the release's duration after which the target gets all requests."""
COMPLETE_FROM = 0.86
"""Fraction of the release's duration after which the old endpoints may stop. By then most requests
that the old version was still running have ended, and the 3.4 s left of the usual 24 s suffice to
replace a lost holder of the duty."""
MIN_ANSWERS_TO_WIDEN = 8
"""Minimum number of the target's answers before the target gets more than its first share."""
TOLERATED_EXCESS = 0.05
"""Tolerated excess of the target's share of bad answers over the old version's share."""
TOLERATED_SLOW_EXCESS = 0.2
"""Tolerated excess of the target's share of slow answers: wider, as the endpoints of two versions
may have different load and a somewhat slower version is not a bad one."""
SLOW_EFFECTS = (0.3, 0.5)
SLOW_EFFECT_WEIGHTS = (0.5, 0.5)
REVERT_EVIDENCE = 100.0
"""Evidence at which a release is reverted; a sound version reaches it with a probability of 1 in
100 for bad and for slow answers each."""
SUSPECT_EVIDENCE = 3.0
"""Evidence from which the target's share is not widened; a sound version reaches it with a
probability of 1 in 3 at most, and loses it with further good answers."""
ALL_ROUTES = ""


class VersionComparison:
    """Sequential tests of the target against the old version, for each route and for all routes."""

    def __init__(self) -> None:
        self.evidence = 0.0
        """Most evidence against the target of any kind, on any route or over all routes."""
        self._found_bad = False
        self._bad = _RouteTests(lambda: SequentialTest(TOLERATED_EXCESS))
        self._slow = _RouteTests(
            lambda: SequentialTest(
                TOLERATED_SLOW_EXCESS, effects=SLOW_EFFECTS, weights=SLOW_EFFECT_WEIGHTS
            )
        )

    @property
    def totals(self) -> Block:
        """Answers of both versions, and the bad ones among them."""
        return self._bad.total

    @property
    def slow_totals(self) -> Block:
        """Answers of both versions whose pace is known, and the slow ones among them."""
        return self._slow.total

    @property
    def answers(self) -> int:
        """Number of the target's answers."""
        return self.totals.new

    @property
    def is_bad(self) -> bool:
        """Whether the target was significantly worse on some route or over all routes."""
        return self._found_bad

    @property
    def is_suspect(self) -> bool:
        """Whether there is some evidence that the target is worse on some route or over all."""
        return self.evidence >= SUSPECT_EVIDENCE

    def add_totals(
        self, bad_by_route: dict[str, Block], slow_by_route: dict[str, Block] | None = None
    ) -> None:
        """Adds the totals over all instances; tests only the increase since the last call.

        Args:
            bad_by_route: Counts of answers and bad ones since the order, by route.
            slow_by_route: Counts of answers whose pace is known, and slow ones, by route.
        """
        self._bad.add_totals(bad_by_route)
        self._slow.add_totals(slow_by_route or {})
        self.evidence = max(self._bad.evidence, self._slow.evidence)
        self._found_bad = self._found_bad or self.evidence >= REVERT_EVIDENCE


class _RouteTests:
    """Sequential tests of one kind of fault, for each route and for all routes."""

    def __init__(self, make_test: Callable[[], SequentialTest]) -> None:
        self.total = Block()
        """Answers on all routes."""
        self._make_test = make_test
        self._tests_by_route: dict[str, SequentialTest] = {}
        self._totals_by_route: dict[str, Block] = {}

    @property
    def evidence(self) -> float:
        """Most evidence on any route or over all routes."""
        return max((test.evidence for test in self._tests_by_route.values()), default=0.0)

    def add_totals(self, blocks_by_route: dict[str, Block]) -> None:
        """Tests the increase of the totals since the last call."""
        for route, block in [
            *blocks_by_route.items(),
            (ALL_ROUTES, _sum(blocks_by_route.values())),
        ]:
            fresh = _difference(block, self._totals_by_route.get(route, Block()))
            if fresh is None:
                continue
            self._totals_by_route[route] = block
            if route not in self._tests_by_route:
                self._tests_by_route[route] = self._make_test()
            self._tests_by_route[route].add(fresh)
        self.total = self._totals_by_route.get(ALL_ROUTES, Block())


def advance_plan(
    plan: ReleasePlan,
    order: ReleaseOrder,
    *,
    elapsed_ms: float,
    answers: int,
    is_bad: bool,
    is_suspect: bool,
) -> ReleasePlan:
    """Returns the plan with its next share and state.

    Args:
        plan: The current plan.
        order: The operator's order.
        elapsed_ms: Time since the order.
        answers: Number of the target's answers.
        is_bad: Whether the target is significantly worse than the old version.
        is_suspect: Whether there is some evidence that it is worse; its share is then not widened.
    """
    if plan.state is not ReleaseState.RUNNING:
        return plan
    if is_bad:
        return replace(plan, state=ReleaseState.REVERTED, share=0.0)
    progress = elapsed_ms / max(1, order.duration_ms)
    share = FIRST_SHARE
    if progress >= SECOND_SHARE_FROM and answers >= MIN_ANSWERS_TO_WIDEN and not is_suspect:
        share = 1.0 if progress >= FULL_SHARE_FROM else SECOND_SHARE
    share = max(share, plan.share)
    if progress >= COMPLETE_FROM and share >= 1.0:
        return replace(plan, state=ReleaseState.COMPLETE, share=1.0)
    return replace(plan, share=share)


def _sum(blocks: Iterable[Block]) -> Block:
    total = Block()
    for block in blocks:
        total = total.plus(block)
    return total


def _difference(block: Block, previous: Block) -> Block | None:
    """Returns the increase of the counts; None if there is none or if counts were lost."""
    fresh = Block(
        max(0, block.new - previous.new),
        max(0, block.new_bad - previous.new_bad),
        max(0, block.old - previous.old),
        max(0, block.old_bad - previous.old_bad),
    )
    if not fresh.new and not fresh.old:
        return None
    return Block(fresh.new, min(fresh.new, fresh.new_bad), fresh.old, min(fresh.old, fresh.old_bad))

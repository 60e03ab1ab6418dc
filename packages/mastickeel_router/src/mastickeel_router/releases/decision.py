"""Decides the progress of a release from the elapsed time and the evidence: pure functions."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from mastickeel_router.releases.model import ReleaseState
from mastickeel_router.sequential import Block, SequentialTest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mastickeel_router.releases.model import ReleaseOrder, ReleasePlan

FIRST_SHARE_FACTOR = 1.2
"""Initial share of the target, as a multiple of the part of a release's requests that a bad target
may get: one that turns bad halfway has then had two thirds of that part."""
SECOND_SHARE_FACTOR = 2.0
"""Second share of the target, as a multiple of the same part."""
MIN_FIRST_SHARE = 0.18
MIN_SECOND_SHARE = 0.3
"""Smaller shares leave the caches of the target's endpoints empty when they get more requests."""
MAX_FIRST_SHARE = 0.25
THIRD_SHARE = 0.5
"""Third share of the target: loads the endpoints of both versions alike while both are present, and
fills the caches of the target's endpoints before they get all requests."""
SECOND_SHARE_FROM = 0.4
"""Fraction of the release's duration after which the target gets its second share."""
THIRD_SHARE_FROM = 0.55
"""Fraction of the release's duration after which the target gets its third share."""
FULL_SHARE_FROM = 0.66
"""Fraction of the release's duration after which the target gets all requests."""
COMPLETE_FROM = 0.86
"""Fraction of the release's duration after which the old endpoints may stop. By then most requests
that the old version was still running have ended, and the 3.4 s left of the usual 24 s suffice to
replace a lost holder of the duty."""
LAST_MOMENT = 0.93
"""Fraction of the release's duration after which a release that is held is reverted."""
MIN_STEP = 0.05
"""Fraction of the release's duration between two steps, in which answers of a new share arrive."""
MIN_ANSWERS_TO_WIDEN = 8
"""Minimum number of the target's answers before the target gets more than its first share."""
TOLERATED_EXCESS = 0.05
"""Tolerated excess of the target's share of bad answers over the old version's share."""
TOLERATED_SLOW_EXCESS = 0.1
"""Tolerated excess of the target's shares of slow and very slow answers: a somewhat slower version
is not a bad one."""
TOLERATED_SLOW_EXCESS_AT_FULL_SHARE = 0.2
"""The same while the target has all new requests, as its endpoints then have more load."""
SLOW_EFFECTS = (0.3, 0.5)
SLOW_EFFECT_WEIGHTS = (0.5, 0.5)
REVERT_EVIDENCE = 100.0
"""Evidence at which a release is reverted; a sound version reaches it with a probability of 1 in
100 for failures, slow and very slow answers each."""
HOLD_EVIDENCE = 10.0
"""Evidence from which a release is not completed, and is reverted at its end."""
SUSPECT_EVIDENCE = 3.0
"""Evidence from which the target's share is not widened; a sound version reaches it with a
probability of 1 in 3 at most, and loses it with further good answers."""
ALL_ROUTES = ""


@dataclass(frozen=True)
class ReleaseShares:
    """First shares of the target."""

    first: float = MAX_FIRST_SHARE
    second: float = THIRD_SHARE

    @classmethod
    def for_exposure(cls, exposure: float) -> ReleaseShares:
        """Returns the shares for the part of a release's requests that a bad target may get."""
        return cls(
            min(MAX_FIRST_SHARE, max(MIN_FIRST_SHARE, FIRST_SHARE_FACTOR * exposure)),
            min(THIRD_SHARE, max(MIN_SECOND_SHARE, SECOND_SHARE_FACTOR * exposure)),
        )


class VersionComparison:
    """Sequential tests of the target against the old version, for each route and for all routes."""

    def __init__(self) -> None:
        self.evidence = 0.0
        """Most evidence against the target of any kind, on any route or over all routes."""
        self._found_bad = False
        self._failures = _RouteTests(lambda: SequentialTest(TOLERATED_EXCESS))
        self._slow = _RouteTests(_make_slow_test)
        self._very_slow = _RouteTests(_make_slow_test)

    @property
    def totals(self) -> Block:
        """Answers of both versions, and the failures among them."""
        return self._failures.total

    @property
    def slow_totals(self) -> Block:
        """Answers of both versions whose pace is known, and the slow ones among them."""
        return self._slow.total

    @property
    def very_slow_totals(self) -> Block:
        """Answers of both versions whose pace is known, and the very slow ones among them."""
        return self._very_slow.total

    @property
    def answers(self) -> int:
        """Number of the target's answers."""
        return self.totals.new

    @property
    def is_bad(self) -> bool:
        """Whether the target was significantly worse on some route or over all routes."""
        return self._found_bad

    @property
    def is_held(self) -> bool:
        """Whether there is so much evidence against the target that it must not be completed."""
        return self.evidence >= HOLD_EVIDENCE

    @property
    def is_suspect(self) -> bool:
        """Whether there is some evidence that the target is worse on some route or over all."""
        return self.evidence >= SUSPECT_EVIDENCE

    def add_totals(
        self,
        failures_by_route: dict[str, Block],
        slow_by_route: dict[str, Block] | None = None,
        very_slow_by_route: dict[str, Block] | None = None,
        *,
        share: float = MAX_FIRST_SHARE,
    ) -> None:
        """Adds the totals over all instances; tests only the increase since the last call.

        Args:
            failures_by_route: Counts of answers and failures since the order, by route.
            slow_by_route: Counts of answers whose pace is known, and slow ones, by route.
            very_slow_by_route: Counts of answers whose pace is known, and very slow ones, by route.
            share: The target's share of new requests.
        """
        slow_limit = TOLERATED_SLOW_EXCESS
        if share >= 1.0:
            slow_limit = TOLERATED_SLOW_EXCESS_AT_FULL_SHARE
        self._failures.add_totals(failures_by_route, TOLERATED_EXCESS)
        self._slow.add_totals(slow_by_route or {}, slow_limit)
        self._very_slow.add_totals(very_slow_by_route or {}, slow_limit)
        tests = (self._failures, self._slow, self._very_slow)
        self.evidence = max(test.evidence for test in tests)
        self._found_bad = self._found_bad or self.evidence >= REVERT_EVIDENCE


def _make_slow_test() -> SequentialTest:
    return SequentialTest(TOLERATED_SLOW_EXCESS, effects=SLOW_EFFECTS, weights=SLOW_EFFECT_WEIGHTS)


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

    def add_totals(self, blocks_by_route: dict[str, Block], limit: float) -> None:
        """Tests the increase of the totals since the last call, with an allowed excess."""
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
            self._tests_by_route[route].add(fresh, limit=limit)
        self.total = self._totals_by_route.get(ALL_ROUTES, Block())


def advance_plan(
    plan: ReleasePlan,
    order: ReleaseOrder,
    *,
    shares: ReleaseShares,
    elapsed_ms: float,
    answers: int,
    is_bad: bool,
    is_suspect: bool,
    is_held: bool = False,
) -> ReleasePlan:
    """Returns the plan with its next share and state.

    Args:
        plan: The current plan.
        order: The operator's order.
        shares: First shares of the target.
        elapsed_ms: Time since the order.
        answers: Number of the target's answers.
        is_bad: Whether the target is significantly worse than the old version.
        is_suspect: Whether there is some evidence that it is worse; its share is then not widened.
        is_held: Whether there is much evidence that it is worse; it is then not completed.
    """
    if plan.state is not ReleaseState.RUNNING:
        return plan
    progress = elapsed_ms / max(1, order.duration_ms)
    if is_bad or (is_held and progress >= LAST_MOMENT):
        return replace(plan, state=ReleaseState.REVERTED, share=0.0)
    if plan.share >= 1.0 and progress >= COMPLETE_FROM and not is_held:
        return replace(plan, state=ReleaseState.COMPLETE)
    share = plan.share or shares.first
    may_widen = answers >= MIN_ANSWERS_TO_WIDEN and not is_suspect
    if may_widen and elapsed_ms - plan.widened_ms >= MIN_STEP * order.duration_ms:
        if progress >= FULL_SHARE_FROM and share >= shares.second:
            share = 1.0
        elif progress >= THIRD_SHARE_FROM and share >= shares.second:
            share = max(share, THIRD_SHARE)
        elif progress >= SECOND_SHARE_FROM:
            share = max(share, shares.second)
    if share == plan.share:
        return plan
    return replace(plan, share=share, widened_ms=round(elapsed_ms))


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

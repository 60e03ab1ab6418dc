"""Decides how far a release goes: pure, from the time that has passed and the evidence."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel_router.releases.model import ReleaseState
from mastickeel_router.sequential import Block, SequentialTest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mastickeel_router.releases.model import ReleaseOrder, ReleasePlan

FIRST_SHARE = 0.25
"""The target's share at first: below the 0.15 of all requests that a bad one may get."""
SECOND_SHARE = 0.5
"""Both versions' endpoints work alike, as long as both are there."""
SECOND_SHARE_FROM = 0.3
"""The part of the release's time after which sessions may move to the target."""
FULL_SHARE_FROM = 0.66
COMPLETE_FROM = 0.86
"""When the old endpoints may stop: requests that ran on when all moved have mostly ended, and in
the 3.4 of the usual 24 s that are left a holder that is lost is replaced."""
MIN_ANSWERS_TO_WIDEN = 8
"""The fewest answers of the target before it gets more than its first share."""
TOLERATED_EXCESS = 0.05
"""By how much the target's share of bad answers may be above the old version's."""
REVERT_EVIDENCE = 100.0
"""The evidence at which a release is reverted: a sound version is by a chance of 1 in 100."""
ALL_ROUTES = ""


class VersionComparison:
    """Tests of the target against the old version, for each route and for all together."""

    def __init__(self) -> None:
        self.answers = 0
        """Answers of the target so far."""
        self._tests_by_route: dict[str, SequentialTest] = {}
        self._seen_by_route: dict[str, Block] = {}

    @property
    def is_bad(self) -> bool:
        """Whether the target is surely worse on some route or on all."""
        return any(test.evidence >= REVERT_EVIDENCE for test in self._tests_by_route.values())

    def add_totals(self, blocks_by_route: dict[str, Block]) -> None:
        """Takes the sums over all instances; what is new since the last time is weighed.

        Args:
            blocks_by_route: Counts since the order.
        """
        for route, block in [
            *blocks_by_route.items(),
            (ALL_ROUTES, _sum(blocks_by_route.values())),
        ]:
            seen = self._seen_by_route.get(route, Block())
            fresh = _difference(block, seen)
            if fresh is None:
                continue
            self._seen_by_route[route] = block
            self._tests_by_route.setdefault(route, SequentialTest(TOLERATED_EXCESS)).add(fresh)
        self.answers = self._seen_by_route.get(ALL_ROUTES, Block()).new


def advance_plan(
    plan: ReleasePlan, order: ReleaseOrder, *, elapsed_ms: float, answers: int, is_bad: bool
) -> ReleasePlan:
    """Returns the plan as it should be now.

    Args:
        plan: As it is.
        order: What the operator asked for.
        elapsed_ms: Time since the order.
        answers: Answers of the target so far.
        is_bad: Whether the target is surely worse.
    """
    if plan.state is not ReleaseState.RUNNING:
        return plan
    if is_bad:
        return replace(plan, state=ReleaseState.REVERTED, share=0.0)
    passed = elapsed_ms / max(1, order.duration_ms)
    share = FIRST_SHARE
    if passed >= SECOND_SHARE_FROM and answers >= MIN_ANSWERS_TO_WIDEN:
        share = 1.0 if passed >= FULL_SHARE_FROM else SECOND_SHARE
    share = max(share, plan.share)
    if passed >= COMPLETE_FROM and share >= 1.0:
        return replace(plan, state=ReleaseState.COMPLETE, share=1.0)
    return replace(plan, share=share)


def _sum(blocks: Iterable[Block]) -> Block:
    total = Block()
    for block in blocks:
        total = total.plus(block)
    return total


def _difference(block: Block, seen: Block) -> Block | None:
    """Returns what was added; None when nothing was, or an instance's counts were lost."""
    fresh = Block(
        max(0, block.new - seen.new),
        max(0, block.new_bad - seen.new_bad),
        max(0, block.old - seen.old),
        max(0, block.old_bad - seen.old_bad),
    )
    if not fresh.new and not fresh.old:
        return None
    return Block(fresh.new, min(fresh.new, fresh.new_bad), fresh.old, min(fresh.old, fresh.old_bad))

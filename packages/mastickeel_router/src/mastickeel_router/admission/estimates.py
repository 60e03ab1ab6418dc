"""Estimates of a request's cost before it runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from mastickeel_router.choice.chooser import find_allowed_versions

if TYPE_CHECKING:
    from mastickeel.model import View
    from mastickeel_router.requests import ChatRequest, Outcome

BYTES_PER_TOKEN = 3
"""Lower than usual, so that prompt lengths are overestimated rather than underestimated."""
DEFAULT_COMPLETION_TOKENS = 1_024
"""Assumed completion length when the request has no limit and the account no history."""
COMPLETION_MARGIN = 1.25
LONGEST_DECAY = 0.995
LIMIT_FIELDS = ("max_completion_tokens", "max_tokens")


class CostEstimates:
    """Estimates costs from the longest recent completion of each account."""

    def __init__(self) -> None:
        self._longest_by_account: dict[str, float] = {}

    def estimate_cost(self, request: ChatRequest, view: View) -> int:
        """Returns the highest expected cost of a request, in micros.

        Args:
            request: The request to run.
            view: The configuration; the most expensive candidate version counts.
        """
        prompt = len(msgspec.json.encode(request.body)) // BYTES_PER_TOKEN + 1
        completion = self._completion_tokens(request)
        versions = find_allowed_versions(request, view)
        return max((version.compute_cost(prompt, completion) for version in versions), default=0)

    def observe(self, outcome: Outcome) -> None:
        """Updates the longest completion of the outcome's account, which decays with each run."""
        longest = self._longest_by_account.get(outcome.account_id, 0.0) * LONGEST_DECAY
        self._longest_by_account[outcome.account_id] = max(longest, outcome.usage.completion_tokens)

    def _completion_tokens(self, request: ChatRequest) -> int:
        """Returns the caller's token limit, or the longest recent completion with a margin."""
        for name in LIMIT_FIELDS:
            if isinstance(limit := request.body.get(name), int):
                return limit
        longest = self._longest_by_account.get(request.account_id, 0.0)
        return int(longest * COMPLETION_MARGIN) or DEFAULT_COMPLETION_TOKENS

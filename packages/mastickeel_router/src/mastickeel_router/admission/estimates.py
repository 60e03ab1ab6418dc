"""What a request may cost, before it runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from mastickeel_router.choice.chooser import find_allowed_versions

if TYPE_CHECKING:
    from mastickeel.model import View
    from mastickeel_router.requests import ChatRequest, Outcome

BYTES_PER_TOKEN = 3
"""Fewer than usual, so that the prompt is rather counted too long."""
DEFAULT_COMPLETION_TOKENS = 1_024
"""Held to be generated where the caller sets no limit and nothing is known yet."""
COMPLETION_MARGIN = 1.25
LONGEST_DECAY = 0.995
LIMIT_FIELDS = ("max_completion_tokens", "max_tokens")


class CostEstimates:
    """The longest answers of late, by account."""

    def __init__(self) -> None:
        self._longest_by_account: dict[str, float] = {}

    def estimate_cost(self, request: ChatRequest, view: View) -> int:
        """Returns what a request costs at most, in micros, as far as can be told.

        Args:
            request: What is to run.
            view: Gives the versions; the dearest that may run counts.
        """
        prompt = len(msgspec.json.encode(request.body)) // BYTES_PER_TOKEN + 1
        completion = self._completion_tokens(request)
        versions = find_allowed_versions(request, view)
        return max((version.compute_cost(prompt, completion) for version in versions), default=0)

    def observe(self, outcome: Outcome) -> None:
        """Learns how long answers are."""
        longest = self._longest_by_account.get(outcome.account_id, 0.0) * LONGEST_DECAY
        self._longest_by_account[outcome.account_id] = max(longest, outcome.usage.completion_tokens)

    def _completion_tokens(self, request: ChatRequest) -> int:
        """Returns the caller's limit, or a margin over the longest answer of late."""
        for name in LIMIT_FIELDS:
            if isinstance(limit := request.body.get(name), int):
                return limit
        longest = self._longest_by_account.get(request.account_id, 0.0)
        return int(longest * COMPLETION_MARGIN) or DEFAULT_COMPLETION_TOKENS

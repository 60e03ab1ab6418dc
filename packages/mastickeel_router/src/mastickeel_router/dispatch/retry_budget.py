"""Retry budgets, which limit retries to a share of the successes of an account and pool."""

from __future__ import annotations

RETRY_TOKENS_PER_SUCCESS = 0.1
INITIAL_RETRY_TOKENS = 10.0
MAX_RETRY_TOKENS = 50.0


class RetryBudget:
    """Holds a token bucket for each account and pool, refilled by successes and not by time.

    Without successes the buckets are not refilled, so that a fault cannot multiply the load.
    """

    def __init__(self) -> None:
        self._tokens_by_key: dict[tuple[str, str], float] = {}

    def record_success(self, account_id: str, pool_id: str) -> None:
        """Adds the tokens that one success earns."""
        key = (account_id, pool_id)
        tokens = self._tokens_by_key.get(key, INITIAL_RETRY_TOKENS)
        self._tokens_by_key[key] = min(MAX_RETRY_TOKENS, tokens + RETRY_TOKENS_PER_SUCCESS)

    def try_spend(self, account_id: str, pool_id: str) -> bool:
        """Spends one token on a retry; returns False when less than one token is left."""
        key = (account_id, pool_id)
        tokens = self._tokens_by_key.get(key, INITIAL_RETRY_TOKENS)
        if tokens < 1:
            return False
        self._tokens_by_key[key] = tokens - 1
        return True

"""Retry budgets: how many second sends the successes of an account and pool have paid for."""

from __future__ import annotations

RETRY_TOKENS_PER_SUCCESS = 0.1
INITIAL_RETRY_TOKENS = 10.0
MAX_RETRY_TOKENS = 50.0


class RetryBudget:
    """A token bucket for each account and pool, filled by successes and not by time.

    When everything fails nothing fills the buckets, so that a fault cannot multiply the load.
    """

    def __init__(self) -> None:
        self._tokens_by_key: dict[tuple[str, str], float] = {}

    def record_success(self, account_id: str, pool_id: str) -> None:
        """Adds what one success pays for."""
        key = (account_id, pool_id)
        tokens = self._tokens_by_key.get(key, INITIAL_RETRY_TOKENS)
        self._tokens_by_key[key] = min(MAX_RETRY_TOKENS, tokens + RETRY_TOKENS_PER_SUCCESS)

    def try_spend(self, account_id: str, pool_id: str) -> bool:
        """Takes one retry; False when there is none left."""
        key = (account_id, pool_id)
        tokens = self._tokens_by_key.get(key, INITIAL_RETRY_TOKENS)
        if tokens < 1:
            return False
        self._tokens_by_key[key] = tokens - 1
        return True

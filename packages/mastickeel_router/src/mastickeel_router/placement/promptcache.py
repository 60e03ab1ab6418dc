"""Estimates which prompt parts an engine has cached, from the prompts that were sent to it."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mastickeel_router.placement.scoring import Demand

MAX_PARTS = 2_048
"""Maximum number of parts remembered for each endpoint; bounds the cache where the size of the
engine's memory is not known."""
PART_TTL_MS = 60_000
"""Time after which a part is no longer assumed to be cached: requests that this instance does not
see evict it eventually."""


class PromptCache:
    """The prompt parts cached by one engine, least recently used first: the engine's own order of
    eviction.
    """

    def __init__(self) -> None:
        """Creates an empty cache."""
        self._tokens = 0
        self._parts: OrderedDict[tuple[str, str], tuple[int, int]] = OrderedDict()

    def add_prompt(
        self, model: str, parts: Iterable[tuple[str, int]], memory_tokens: int, now_ms: int
    ) -> None:
        """Adds the parts of a prompt that was sent to the engine, and evicts what no longer fits.

        Args:
            model: Name of the model that reads the prompt; models do not share cached parts.
            parts: Ids and token counts of the parts, in order.
            memory_tokens: Tokens that fit into the engine's memory; 0 when not known.
            now_ms: Current clock time in milliseconds.
        """
        for part, tokens in parts:
            known = self._parts.pop((model, part), None)
            self._tokens += tokens - (known[0] if known else 0)
            self._parts[model, part] = (tokens, now_ms)
        limit = memory_tokens or self._tokens
        while self._tokens > limit or len(self._parts) > MAX_PARTS:
            _, (tokens, _) = self._parts.popitem(last=False)
            self._tokens -= tokens

    def cached_tokens(self, demand: Demand, model: str, now_ms: int) -> int:
        """Returns the tokens of a prompt's leading parts, up to the first that is not cached."""
        total = 0
        for part in demand.parts:
            cached = self._parts.get((model, part.id))
            if cached is None or cached[1] + PART_TTL_MS <= now_ms:
                break
            total += part.tokens
        return total

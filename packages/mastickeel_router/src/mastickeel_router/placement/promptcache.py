"""Which parts of prompts an engine's memory holds, worked out from what was sent there."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mastickeel_router.placement.scoring import Demand

MAX_PARTS = 2_048
"""Parts remembered for each endpoint, where the size of its memory is not known."""
PART_TTL_MS = 60_000
"""How long a part is believed to be held: what ran there unseen displaces it in the end."""


class PromptCache:
    """The parts at one engine, the least recently used first, as the engine lets them go."""

    def __init__(self) -> None:
        """Makes an empty memory."""
        self._tokens = 0
        self._parts: OrderedDict[tuple[str, str], tuple[int, int]] = OrderedDict()

    def add_prompt(
        self, model: str, parts: Iterable[tuple[str, int]], memory_tokens: int, now_ms: int
    ) -> None:
        """Takes note of a prompt that was sent there.

        Args:
            model: The model that reads it; models do not share parts.
            parts: Ids and tokens, in order.
            memory_tokens: What fits into the memory; 0 when not known.
            now_ms: The time.
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
        """Counts the tokens of a prompt's parts that are held, up to the first that is not."""
        total = 0
        for part in demand.parts:
            held = self._parts.get((model, part.id))
            if held is None or held[1] + PART_TTL_MS <= now_ms:
                break
            total += part.tokens
        return total

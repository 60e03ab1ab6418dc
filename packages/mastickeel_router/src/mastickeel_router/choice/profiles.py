"""Average tokens and times of answers, by account, kind of request, and version."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel.model import Version
    from mastickeel_router.requests import Outcome

PROFILES_LIMIT = 8_192
SMOOTHING = 0.05
"""Minimum weight of the newest answer in a moving average."""
DEFAULT_PROMPT_TOKENS = 400.0
DEFAULT_COMPLETION_TOKENS = 300.0
DEFAULT_FIRST_PIECE_MS = 500.0
DEFAULT_TOTAL_MS = 3_000.0


@dataclass(frozen=True)
class Profile:
    """Moving averages over answers; the defaults apply before the first answer."""

    prompt_tokens: float = DEFAULT_PROMPT_TOKENS
    completion_tokens: float = DEFAULT_COMPLETION_TOKENS
    first_piece_ms: float = DEFAULT_FIRST_PIECE_MS
    total_ms: float = DEFAULT_TOTAL_MS
    answer_count: int = 0

    def with_outcome(self, outcome: Outcome) -> Profile:
        """Returns the averages updated with one more answer."""
        weight = max(SMOOTHING, 1 / (self.answer_count + 1))
        return Profile(
            _move_average(self.prompt_tokens, outcome.usage.prompt_tokens, weight),
            _move_average(self.completion_tokens, outcome.usage.completion_tokens, weight),
            _move_average(self.first_piece_ms, outcome.first_event_ms, weight),
            _move_average(self.total_ms, outcome.total_ms, weight),
            self.answer_count + 1,
        )

    def cost(self, version: Version) -> float:
        """Returns the cost of an average answer at a version's current price, in micros."""
        return float(version.compute_cost(round(self.prompt_tokens), round(self.completion_tokens)))


class Profiles:
    """The averages that this instance has observed, up to PROFILES_LIMIT."""

    def __init__(self) -> None:
        self._profiles_by_key: OrderedDict[tuple[str, str, str], Profile] = OrderedDict()

    def observe(self, outcome: Outcome) -> None:
        """Updates the averages of the answer's version and of its kind of request."""
        for version_id in (outcome.version_id, ""):
            key = (outcome.account_id, outcome.kind, version_id)
            self._profiles_by_key[key] = self._profiles_by_key.pop(key, Profile()).with_outcome(
                outcome
            )
        while len(self._profiles_by_key) > PROFILES_LIMIT:
            self._profiles_by_key.popitem(last=False)

    def find(self, account_id: str, kind: str, version_id: str) -> Profile:
        """Returns the averages of a version, or of the kind of request if the version has none."""
        own = self._profiles_by_key.get((account_id, kind, version_id))
        return own or self._profiles_by_key.get((account_id, kind, "")) or Profile()


def _move_average(average: float, value: float, weight: float) -> float:
    return average + weight * (value - average)

"""Which of a route's models runs a request, and when its answer is given up for a larger one's."""

from __future__ import annotations

from dataclasses import dataclass

CONFIDENCE_WANTED = 50
"""The lowest opinion of a model of its own answer, of 100, at which the answer is taken."""
LONGEST_READ_PART = 0.5
"""The part of the latency objective that may have passed when an answer is given up: a larger
model has to read the prompt again."""


@dataclass(frozen=True)
class Opinion:
    """What is known when the head of an answer has come."""

    confidence: int | None
    """The model's own opinion, 0 to 100; None when it gives none."""
    size: int
    """The model's place among the route's, 0 for the smallest."""
    sizes: int
    """How many models the route has."""
    waited_ms: float
    objective_ms: float


def next_size(opinion: Opinion) -> int | None:
    """Returns the place of the model that should answer instead; None to take the answer."""
    if opinion.confidence is None or opinion.size + 1 >= opinion.sizes:
        return None
    if opinion.confidence >= CONFIDENCE_WANTED:
        return None
    if opinion.waited_ms > LONGEST_READ_PART * opinion.objective_ms:
        return None
    return opinion.sizes - 1

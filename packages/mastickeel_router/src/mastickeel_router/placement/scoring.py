"""The cost of giving a request to an endpoint, in milliseconds, from what is known of both."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel_router.relay.types import PromptPart

PREFILL_TOKENS_PER_MS = 49.6
"""Prompt tokens that an engine reads in a millisecond; from the deployments' sheets."""
SLOWDOWN_PER_REQUEST_MS = 25.0
"""What a request that already runs at an engine costs the next one: its part of each step."""
PLAIN_REQUEST_MS = 45.0
"""What a request that already runs at a plain service costs the next one: its work, as the
deployments' sheets say, over the slots of an endpoint."""
MIN_REMOTE_SAVING_MS = 150.0
"""From which saving on large prompts have one home for all data centres; bytes between them are
priced."""
CROSS_DATA_CENTRE_COST_MS = 60.0
"""What bytes between data centres are worth; above the round trip of 2 ms, as they are priced."""
DELAYED_REQUESTS = 1.25
"""How many others wait for what a prompt takes to read, on average: an engine that reads what
another one holds is missing to them. From replays of a recorded load."""
HOME_HIT_PROBABILITY = 0.2
"""How likely a prompt's shared parts lie at the endpoint where all instances send them first."""


@dataclass(frozen=True)
class Demand:
    """What a request asks of an endpoint."""

    tokens_in: int = 0
    parts: tuple[PromptPart, ...] = ()
    is_engine: bool = False
    work_factor: float = 1.0
    """How long the model takes for a token, against the engine's sheet."""
    memory_tokens: int = 0
    """What fits into an engine's memory; 0 when not known."""

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may have."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def allows_remote_home(self) -> bool:
        """Whether reading the shared parts again takes longer than the way to their home."""
        return self.shared_tokens * self.work_factor / PREFILL_TOKENS_PER_MS > MIN_REMOTE_SAVING_MS


@dataclass(frozen=True)
class Candidate:
    """What is known of an endpoint."""

    slots: int
    running: int
    """Requests of this instance that run there."""
    same_data_centre: bool
    cached_tokens: int = 0
    """Tokens of the prompt that this instance has sent there lately, in one row from the start."""
    is_home: bool = False
    """Whether all instances of the data centre send prompts with these parts there first."""
    backlog_ms: float = 0.0
    """Work that all instances have sent there and that is not done yet."""
    slowdown: float = 1.0
    """How long its answers take against those of its peers."""


def prefill_ms(demand: Demand, candidate: Candidate) -> float:
    """Returns how long the endpoint needs for the parts of the prompt that it does not hold."""
    held = float(candidate.cached_tokens)
    if candidate.is_home:
        held = max(held, HOME_HIT_PROBABILITY * demand.shared_tokens)
    return max(0.0, demand.tokens_in - held) * demand.work_factor / PREFILL_TOKENS_PER_MS


def score(demand: Demand, candidate: Candidate) -> float:
    """Returns what the request would cost there, in milliseconds; less is better."""
    distance_ms = 0.0 if candidate.same_data_centre else CROSS_DATA_CENTRE_COST_MS
    delayed_ms = DELAYED_REQUESTS * prefill_ms(demand, candidate) if demand.is_engine else 0.0
    return first_event_wait_ms(demand, candidate) + delayed_ms + distance_ms


def first_event_wait_ms(demand: Demand, candidate: Candidate) -> float:
    """Returns how long the request is expected to wait there for its first event."""
    if not demand.is_engine:
        load_ms = PLAIN_REQUEST_MS * candidate.running / max(1, candidate.slots)
        return (PLAIN_REQUEST_MS + load_ms) * candidate.slowdown
    load_ms = candidate.backlog_ms + SLOWDOWN_PER_REQUEST_MS * candidate.running
    return (prefill_ms(demand, candidate) + load_ms) * candidate.slowdown

"""Scores endpoints by the expected cost of a request, in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel_router.relay.types import PromptPart

PREFILL_TOKENS_PER_MS = 49.6
"""Prompt tokens that an engine reads in a millisecond, as the deployments' data sheets state."""
SLOWDOWN_PER_REQUEST_MS = 25.0
"""Delay that a running request adds to the next one at an engine: its share of each step."""
PLAIN_REQUEST_MS = 45.0
"""Processing time of a request at a plain service, as the deployments' data sheets state. A running
request delays the next one by this time divided by the endpoint's slots."""
MIN_REMOTE_SAVING_MS = 150.0
"""Prefill time saved from which on a prompt's home may be in another data centre: traffic between
data centres is charged."""
CROSS_DATA_CENTRE_COST_MS = 60.0
"""Cost of sending a request to another data centre. Exceeds the round trip of 2 ms because traffic
between data centres is charged."""
MEAN_DELAYED_REQUESTS = 1.25
"""Mean number of other requests that a prefill delays. The score counts the prefill time once more
for each of them, because an engine that reads a part which another engine has cached is not
available to other requests."""
HOME_HIT_PROBABILITY = 0.2
"""Probability that the shared parts of a prompt are cached at their home endpoint."""


@dataclass(frozen=True)
class Demand:
    """Resources that a request needs at an endpoint."""

    tokens_in: int = 0
    parts: tuple[PromptPart, ...] = ()
    is_engine: bool = False
    work_factor: float = 1.0
    """Time per token of the model, relative to the engine's data sheet."""
    memory_tokens: int = 0
    """Tokens that fit into an engine's memory; 0 when not known."""
    objective_ms: int = 0
    """Latency objective; 0 when not known."""
    traffic_bytes: int = 0
    """Expected size of the request and its answer."""

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may share: all but the last part."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def allows_remote_home(self) -> bool:
        """Whether reading the shared parts again costs more than sending them to a home endpoint in
        another data centre.
        """
        return self.shared_tokens * self.work_factor / PREFILL_TOKENS_PER_MS > MIN_REMOTE_SAVING_MS


@dataclass(frozen=True)
class Candidate:
    """State of an endpoint that may serve a request."""

    slots: int
    running: int
    """Requests of this instance that are running at the endpoint."""
    same_data_centre: bool
    cached_tokens: int = 0
    """Tokens of the longest prompt prefix that the endpoint has cached."""
    is_home: bool = False
    """Whether the endpoint is the prompt's home, to which all instances of the data centre send
    prompts with the same shared parts first.
    """
    backlog_ms: float = 0.0
    """Expected time until the endpoint has done the work that all instances have sent to it."""
    slowdown: float = 1.0
    """Latency of the endpoint's answers, relative to its peers."""
    distance_ms: float | None = None
    """Cost of the way to the endpoint; None for the usual one."""


def prefill_ms(demand: Demand, candidate: Candidate) -> float:
    """Returns the time that the endpoint needs to read the uncached part of the prompt."""
    cached = float(candidate.cached_tokens)
    if candidate.is_home:
        cached = max(cached, HOME_HIT_PROBABILITY * demand.shared_tokens)
    return max(0.0, demand.tokens_in - cached) * demand.work_factor / PREFILL_TOKENS_PER_MS


def score(demand: Demand, candidate: Candidate) -> float:
    """Returns the cost of placing a request at an endpoint, in milliseconds; lower is better."""
    distance_ms = candidate.distance_ms
    if distance_ms is None:
        distance_ms = 0.0 if candidate.same_data_centre else CROSS_DATA_CENTRE_COST_MS
    delayed_ms = MEAN_DELAYED_REQUESTS * prefill_ms(demand, candidate) if demand.is_engine else 0.0
    return first_event_wait_ms(demand, candidate) + delayed_ms + distance_ms


def first_event_wait_ms(demand: Demand, candidate: Candidate) -> float:
    """Returns the expected time until the endpoint sends the request's first event."""
    if not demand.is_engine:
        load_ms = PLAIN_REQUEST_MS * candidate.running / max(1, candidate.slots)
        return (PLAIN_REQUEST_MS + load_ms) * candidate.slowdown
    load_ms = candidate.backlog_ms + SLOWDOWN_PER_REQUEST_MS * candidate.running
    return (prefill_ms(demand, candidate) + load_ms) * candidate.slowdown

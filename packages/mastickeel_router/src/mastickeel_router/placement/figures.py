"""Learns from the fleet's answers how long engines take, instead of taking it from data sheets."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel_router.placement.escalation import CROWDED_FROM, FirstEventLatency

if TYPE_CHECKING:
    from mastickeel.clock import Clock

START_TOKEN_MS = 16.0
"""Time for a generated token of the largest model until answers have shown it."""
MIN_TOKEN_MS = 1.0
MAX_TOKEN_MS = 250.0
"""Bounds of the time for a token that one answer can show."""
FLEET_WEIGHT = 0.08
"""Weight of the newest answer in averages over all instances' answers."""
SPREADS = 1.5
"""Mean deviations above the mean at which the time for a token is taken: an answer that does not
end by its deadline is lost."""
SETTLED_ANSWERS = 30
"""Answers after which a model's mean no longer depends on its start."""
FLOOR_DRIFT = 1.0005
"""Factor by which the least mean of a model grows with each answer, so that it is forgotten when
all engines have become slower for good."""
CALM_BELOW = 1.15
"""Crowding below which engines that were crowded count as calm again."""
MAX_PENDING = 64
MAX_IN_NOTICE = 4
"""Maximum number of observations that wait to be sent, and of those in a notice."""

ENGINES_CROWDED = define_event(
    2421,
    "engines_crowded",
    "info",
    "Answers go on slower than they did with few requests; fewer run on the largest model.",
)
ENGINES_CALM = define_event(
    2422, "engines_calm", "info", "Answers go on at about their best pace again."
)


@dataclass(frozen=True)
class AnswerObservation:
    """What one answer of an engine has shown."""

    model: str
    priority: int
    """Priority with which the request was sent to the engine."""
    extra_ms: int | None = None
    """Time until the first event beyond the prediction; None if not observed."""
    token_ms: float | None = None
    """Time for a token after the first event; None if not observed."""


class AnswerFigures:
    """Figures of the engines' answers by model, over all instances or over this one's sends."""

    def __init__(self, clock: Clock, *, over_fleet: bool) -> None:
        """Creates figures that say what the data sheets say.

        Args:
            clock: Times the decay of what was learned.
            over_fleet: Whether the instances tell each other of their answers; if not, the time
                for a token is not learned, as one instance sees few answers.
        """
        self._over_fleet = over_fleet
        weights = {"newest_weight": FLEET_WEIGHT} if over_fleet else {}
        self._first_events = FirstEventLatency(clock, **weights)
        self._token_ms_by_model: dict[str, tuple[float, float]] = {}
        self._floors_by_model: dict[str, float] = {}
        self._counts_by_model: Counter[str] = Counter()
        self._is_crowded = False
        self._pending: deque[AnswerObservation] = deque(maxlen=MAX_PENDING)

    def record_first_event(
        self, model: str, priority: int, first_event_ms: float, predicted_ms: float
    ) -> None:
        """Records the measured and the predicted time from a send to its first event."""
        extra_ms = round(max(0.0, first_event_ms - predicted_ms))
        self._record(AnswerObservation(model, priority, extra_ms=extra_ms))

    def record_rest(self, model: str, priority: int, tokens: int, rest_ms: float) -> None:
        """Records the time from an answer's first event to its end.

        Args:
            model: Name of the model.
            priority: Priority with which the request was sent.
            tokens: Tokens that the caller expects at most.
            rest_ms: The time; of an answer that was cut off, the time until then, which it would
                have exceeded.
        """
        if tokens > 0:
            token_ms = min(MAX_TOKEN_MS, max(MIN_TOKEN_MS, rest_ms / tokens))
            self._record(AnswerObservation(model, priority, token_ms=round(token_ms, 1)))

    def extra_ms(self, model: str, priority: int) -> float:
        """Returns the expected time until a first event beyond the prediction."""
        return self._first_events.extra_ms(self._key(model, priority))

    def token_ms(self, model: str) -> float:
        """Returns the time for a token within which most answers of a model go on."""
        known = self._token_ms_by_model.get(model)
        return START_TOKEN_MS if known is None else known[0] + SPREADS * known[1]

    @property
    def crowding(self) -> float:
        """Time for a token relative to that of engines with few requests; 1 when not known.

        Engines read prompts between the tokens of other requests, so that each answer goes on
        slower the more of them there are.
        """
        ratios = (
            self._token_ms_by_model[model][0] / floor
            for model, floor in self._floors_by_model.items()
        )
        return max(ratios, default=1.0)

    def take_pending(self) -> tuple[AnswerObservation, ...]:
        """Returns the observations for the next notice to the peers, each once."""
        count = min(MAX_IN_NOTICE, len(self._pending))
        return tuple(self._pending.popleft() for _ in range(count))

    def apply(self, observation: AnswerObservation) -> None:
        """Adds what an answer of this or another instance has shown."""
        if observation.extra_ms is not None:
            key = self._key(observation.model, observation.priority)
            self._first_events.record(key, max(0, observation.extra_ms), 0)
        if observation.token_ms is not None and self._over_fleet:
            token_ms = min(MAX_TOKEN_MS, max(MIN_TOKEN_MS, observation.token_ms))
            self._add_token_ms(observation.model, token_ms)

    def _record(self, observation: AnswerObservation) -> None:
        self.apply(observation)
        if self._over_fleet:
            self._pending.append(observation)

    def _add_token_ms(self, model: str, token_ms: float) -> None:
        """Moves the mean and the mean deviation of a model towards the newest answer."""
        mean, deviation = self._token_ms_by_model.get(model, (START_TOKEN_MS, 0.0))
        mean += FLEET_WEIGHT * (token_ms - mean)
        deviation += FLEET_WEIGHT * (abs(token_ms - mean) - deviation)
        self._token_ms_by_model[model] = (mean, deviation)
        self._counts_by_model[model] += 1
        if self._counts_by_model[model] >= SETTLED_ANSWERS:
            floor = self._floors_by_model.get(model, mean) * FLOOR_DRIFT
            self._floors_by_model[model] = min(floor, mean)
        self._log_crowding()

    def _log_crowding(self) -> None:
        """Logs when the engines become crowded, and when they are calm again."""
        crowding = self.crowding
        if crowding >= CROWDED_FROM and not self._is_crowded:
            self._is_crowded = True
            log(ENGINES_CROWDED, crowding=round(crowding, 2))
        elif crowding < CALM_BELOW and self._is_crowded:
            self._is_crowded = False
            log(ENGINES_CALM, crowding=round(crowding, 2))

    def _key(self, model: str, priority: int) -> tuple[str, int]:
        """Returns the key of the averages; urgent requests pass others in the engines' queues."""
        return model, priority if self._over_fleet else 0

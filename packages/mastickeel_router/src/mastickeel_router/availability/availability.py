"""Tracks which endpoints leave, and which want no requests from this instance for a time.

Both outlive the endpoint's entry in the store, which may expire, come back from an older copy or
still say that the endpoint accepts requests. They end with the endpoint's process.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.peers import message

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.relay.types import AnswerHead

MAX_STATEMENTS = 4_096
"""Maximum number of endpoints whose statements are kept; the oldest are dropped."""
MAX_AWAY_MS = 600_000
"""Longest time for which an endpoint is left alone, so that a wrong value does not remove it."""
RETURN_SPREAD = 0.2
MAX_RETURN_SPREAD_MS = 500
"""Part of the time, and the most, by which a return is delayed at random: the instances that an
endpoint turned away together do not return together."""

ENDPOINT_LEAVING = define_event(
    2394,
    "endpoint_leaving",
    "info",
    "An endpoint has said that it leaves; it gets no more requests until it starts again.",
)
ENDPOINT_AWAY = define_event(
    2395,
    "endpoint_away",
    "warning",
    "An endpoint has turned a request away and wants none from this instance for away_ms.",
)


@message("endpoint_leaving")
@dataclass(frozen=True)
class EndpointLeavingNotice:
    """Notification to peers that an endpoint has said that it leaves."""

    endpoint: str
    started_ms: int
    """Unix time of the endpoint's start; a later start does not leave."""


@message("endpoint_away")
@dataclass(frozen=True)
class EndpointAwayNotice:
    """Notification to the peer that has passed a request on to an endpoint that turned it away."""

    endpoint: str
    started_ms: int
    """Unix time of the endpoint's start."""
    away_ms: int
    """Time for which the endpoint wants no requests from that peer."""


@dataclass(frozen=True)
class _Statement:
    """What one process of an endpoint has said."""

    started_ms: int
    is_leaving: bool = False
    returns_ms: int = 0
    """Clock time from which the endpoint wants requests again."""


class EndpointAvailability:
    """Statements of endpoints about taking further requests."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Creates the tracker without any statement.

        Args:
            clock: Times the returns.
            rng: Spreads the returns.
        """
        self.on_notice: list[Callable[[EndpointLeavingNotice], None]] = []
        """Callbacks for endpoints that have told this instance that they leave."""
        self._clock = clock
        self._rng = rng
        self._statements_by_id: OrderedDict[str, _Statement] = OrderedDict()

    def is_leaving(self, endpoint: EndpointRecord) -> bool:
        """Returns whether an endpoint has said that it leaves."""
        return self._find(endpoint).is_leaving

    def wait_ms(self, endpoint: EndpointRecord) -> int:
        """Returns the time for which an endpoint wants no requests from this instance."""
        return max(0, self._find(endpoint).returns_ms - self._clock.now())

    def accepts(self, endpoint: EndpointRecord) -> bool:
        """Returns whether an endpoint may be sent a request now."""
        return not self.is_leaving(endpoint) and not self.wait_ms(endpoint)

    def record_answer(self, endpoint: EndpointRecord, head: AnswerHead) -> None:
        """Records what an answer's head says, whatever the answer's outcome.

        Args:
            endpoint: The endpoint to which the request was sent.
            head: The head of the answer.
        """
        if head.status == 421:
            # Another endpoint has answered at this address.
            return
        notice = EndpointLeavingNotice(endpoint.id, endpoint.started_ms)
        if head.leaving and self._record_leaving(notice, own=True):
            for callback in self.on_notice:
                callback(notice)
        if head.away_ms:
            self._record_away(endpoint.id, endpoint.started_ms, min(head.away_ms, MAX_AWAY_MS))

    def apply_notice(self, notice: EndpointLeavingNotice) -> None:
        """Records that an endpoint has told another instance that it leaves."""
        self._record_leaving(notice, own=False)

    def apply_away_notice(self, notice: EndpointAwayNotice) -> None:
        """Records that an endpoint has turned away a request that this instance passed on."""
        away_ms = max(0, min(notice.away_ms, MAX_AWAY_MS))
        self._record_away(notice.endpoint, notice.started_ms, away_ms)

    def _find(self, endpoint: EndpointRecord) -> _Statement:
        return self._find_start(endpoint.id, endpoint.started_ms)

    def _find_start(self, endpoint_id: str, started_ms: int) -> _Statement:
        known = self._statements_by_id.get(endpoint_id)
        if known is None or known.started_ms != started_ms:
            return _Statement(started_ms)
        return known

    def _record_leaving(self, notice: EndpointLeavingNotice, *, own: bool) -> bool:
        """Records that an endpoint leaves; returns False if that is known or of an older start."""
        endpoint_id, started_ms = notice.endpoint, notice.started_ms
        known = self._statements_by_id.get(endpoint_id)
        if known is None or known.started_ms < started_ms:
            known = _Statement(started_ms)
        elif known.started_ms > started_ms or known.is_leaving:
            return False
        log(ENDPOINT_LEAVING, endpoint=endpoint_id, started_ms=started_ms, own=own)
        self._store(endpoint_id, replace(known, is_leaving=True))
        return True

    def _record_away(self, endpoint_id: str, started_ms: int, away_ms: int) -> None:
        known = self._statements_by_id.get(endpoint_id)
        if known is not None and known.started_ms > started_ms:
            return
        log(ENDPOINT_AWAY, endpoint=endpoint_id, away_ms=away_ms)
        spread_ms = min(away_ms * RETURN_SPREAD, MAX_RETURN_SPREAD_MS)
        returns_ms = self._clock.now() + away_ms + round(self._rng.uniform(0, spread_ms))
        known = self._find_start(endpoint_id, started_ms)
        self._store(endpoint_id, replace(known, returns_ms=max(known.returns_ms, returns_ms)))

    def _store(self, endpoint_id: str, statement: _Statement) -> None:
        self._statements_by_id[endpoint_id] = statement
        self._statements_by_id.move_to_end(endpoint_id)
        if len(self._statements_by_id) > MAX_STATEMENTS:
            self._statements_by_id.popitem(last=False)

"""Tracks the rate limits that endpoints name in their answers."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.peers import message

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel.events import Event
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.relay.types import AnswerHead

LIFT_HOLD_MS = 500
"""Time after an answer that names a limit before which an answer without one does not end it:
answers of other connections may have been written before it."""
MAX_LIMITS = 4_096
"""Maximum number of limits; the oldest are dropped. A limit outlives the endpoint's entry in the
store, which may expire in an outage while the endpoint's process goes on."""
RENOTIFY_INTERVAL_MS = 1_000
"""Minimum interval of notices about a limit that has not changed, for instances that have missed
the earlier ones."""

LIMIT_NAMED = define_event(
    2390, "endpoint_limited", "warning", "An endpoint accepts only this many requests a second."
)
LIMIT_LIFTED = define_event(
    2391, "endpoint_limit_lifted", "info", "An endpoint no longer limits its requests."
)


BRITTLE_NAMED = define_event(
    2400,
    "endpoint_brittle",
    "warning",
    "An endpoint fails when it has to reject more requests a second than this.",
)
BRITTLE_LIFTED = define_event(
    2401, "endpoint_brittle_lifted", "info", "An endpoint no longer says that it is brittle."
)


@message("endpoint_limit")
@dataclass(frozen=True)
class EndpointLimitNotice:
    """Notification to peers that an endpoint has named a rate limit, or names none any more."""

    endpoint: str
    started_ms: int
    """Unix time of the endpoint's start; limits end with the endpoint's process."""
    per_second: float | None
    """Requests a second from all instances; None when the limit is lifted."""


@message("endpoint_brittle")
@dataclass(frozen=True)
class EndpointBrittleNotice(EndpointLimitNotice):
    """Notification to peers that an endpoint tolerates few refusals a second, or no more."""


@dataclass(frozen=True)
class LimitKind:
    """A kind of number that endpoints name in all their answers while it holds."""

    read: Callable[[AnswerHead], float | None]
    """Returns the number that an answer names; None for none."""
    notice_type: type[EndpointLimitNotice]
    named: Event
    """Logged when an endpoint names another number than before."""
    lifted: Event
    """Logged when an endpoint names none any more."""


RATE_LIMIT = LimitKind(lambda head: head.rate_limit, EndpointLimitNotice, LIMIT_NAMED, LIMIT_LIFTED)
REFUSAL_TOLERANCE = LimitKind(
    lambda head: head.refusal_tolerance, EndpointBrittleNotice, BRITTLE_NAMED, BRITTLE_LIFTED
)


@dataclass(frozen=True)
class _Limit:
    """Newest limit of one endpoint."""

    per_second: float
    started_ms: int
    named_ms: int
    """Clock time at which this instance last learned of the limit."""
    notified_ms: int
    """Clock time of the last notice from this instance to its peers."""
    lifts_ms: int | None = None
    """Clock time at which the limit ends unless it is named again; None while it is in force."""


class EndpointLimits:
    """The rate limits in force, by endpoint."""

    def __init__(
        self,
        clock: Clock,
        kind: LimitKind = RATE_LIMIT,
        find_other: Callable[[str, int], float | None] = lambda endpoint_id, started_ms: None,
    ) -> None:
        """Creates the tracker without limits.

        Args:
            clock: Times the observations.
            kind: Number that is tracked.
            find_other: Returns the limit of one process of an endpoint that follows from something
                else than its answers; None for none. The lower one counts.
        """
        self.on_notice: list[Callable[[EndpointLimitNotice], None]] = []
        """Callbacks for limits that an answer to this instance has named or lifted."""
        self._clock = clock
        self._kind = kind
        self._find_other = find_other
        self._limits_by_id: OrderedDict[str, _Limit] = OrderedDict()

    @property
    def notice_type(self) -> type[EndpointLimitNotice]:
        """Type of the notices about these limits."""
        return self._kind.notice_type

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint has named a number."""
        return not self._limits_by_id

    def limit_of(self, endpoint: EndpointRecord) -> float | None:
        """Returns the requests a second that an endpoint accepts; None without a limit."""
        return self.find(endpoint.id, endpoint.started_ms)

    def find(self, endpoint_id: str, started_ms: int) -> float | None:
        """Returns the limit of one process of an endpoint; None without a limit."""
        limits = (
            self._find_named(endpoint_id, started_ms),
            self._find_other(endpoint_id, started_ms),
        )
        return min((limit for limit in limits if limit is not None), default=None)

    def _find_named(self, endpoint_id: str, started_ms: int) -> float | None:
        """Returns the limit that one process of an endpoint has named; None for none."""
        limit = self._limits_by_id.get(endpoint_id)
        if limit is None or limit.started_ms != started_ms:
            return None
        if limit.lifts_ms is not None and self._clock.now() >= limit.lifts_ms:
            return None
        return limit.per_second

    def record_answer(self, endpoint: EndpointRecord, head: AnswerHead, sent_ms: int) -> None:
        """Records what an answer's head says about the endpoint's limit.

        Args:
            endpoint: The endpoint to which the request was sent.
            head: The head of the answer.
            sent_ms: Clock time at which the request was sent.
        """
        if head.status == 421:
            # Another endpoint has answered at this address.
            return
        number = self._kind.read(head)
        if number is not None:
            self._record_named(endpoint.id, endpoint.started_ms, number, notify=True)
            return
        limit = self._limits_by_id.get(endpoint.id)
        # The answer to a request that was sent before the limit was named may be older than it.
        if limit is not None and head.signed and sent_ms > limit.named_ms:
            self._lift(endpoint.id, endpoint.started_ms, notify=True)

    def apply_notice(self, notice: EndpointLimitNotice) -> None:
        """Records what another instance has learned about an endpoint's limit."""
        if notice.per_second is None:
            self._lift(notice.endpoint, notice.started_ms, notify=False)
        else:
            self._record_named(notice.endpoint, notice.started_ms, notice.per_second, notify=False)

    def _record_named(
        self, endpoint_id: str, started_ms: int, per_second: float, *, notify: bool
    ) -> None:
        known = self._limits_by_id.get(endpoint_id)
        if known is not None and known.started_ms > started_ms:
            return
        now = self._clock.now()
        changed = (
            known is None
            or known.lifts_ms is not None
            or (known.per_second, known.started_ms) != (per_second, started_ms)
        )
        if changed:
            log(self._kind.named, endpoint=endpoint_id, per_second=per_second, own=notify)
        notified_ms = now if known is None or changed else known.notified_ms
        notify = notify and (changed or now - notified_ms >= RENOTIFY_INTERVAL_MS)
        self._limits_by_id[endpoint_id] = _Limit(
            per_second, started_ms, now, now if notify else notified_ms
        )
        self._limits_by_id.move_to_end(endpoint_id)
        if len(self._limits_by_id) > MAX_LIMITS:
            self._limits_by_id.popitem(last=False)
        if notify:
            self._notify(self._kind.notice_type(endpoint_id, started_ms, per_second))

    def _lift(self, endpoint_id: str, started_ms: int, *, notify: bool) -> None:
        limit = self._limits_by_id.get(endpoint_id)
        if limit is None or limit.started_ms != started_ms or limit.lifts_ms is not None:
            return
        lifts_ms = limit.named_ms + LIFT_HOLD_MS
        self._limits_by_id[endpoint_id] = replace(limit, lifts_ms=lifts_ms)
        log(self._kind.lifted, endpoint=endpoint_id, per_second=limit.per_second, own=notify)
        if notify:
            self._notify(self._kind.notice_type(endpoint_id, started_ms, None))

    def _notify(self, notice: EndpointLimitNotice) -> None:
        for callback in self.on_notice:
            callback(notice)

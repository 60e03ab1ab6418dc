"""Counts the answers of both versions of a release at this instance: failures and slow answers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel_router.relay.policy import SendOutcome
from mastickeel_router.releases.model import EvidenceReport
from mastickeel_router.releases.pace import Pace, PaceBaseline, has_pace, is_failure
from mastickeel_router.sequential import Block

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mastickeel.clock import Clock
    from mastickeel_router.relay.context import OpenSend, SendObservation
    from mastickeel_router.releases.model import ReleaseOrder

MAX_WAITING_ANSWERS = 512
MAX_WAIT_MS = 10_000
"""Time for which an answer waits until the usual pace is known; after it, it tells nothing."""


@dataclass(frozen=True)
class _WaitingAnswer:
    """An answer that is counted once the usual pace is known."""

    observation: SendObservation
    since_ms: int


class _Counts:
    """Counts of one release, by route."""

    def __init__(self, order: ReleaseOrder, clock: Clock) -> None:
        self.target = order.target
        self.since_ms = clock.now()
        """Clock time at which the order arrived."""
        self.began_wall_ms = clock.wall()
        """Wall-clock time at which the order arrived, in Unix ms; it identifies these counts."""
        self.failures_by_route: dict[str, Block] = {}
        self.slow_by_route_and_pace: dict[Pace, dict[str, Block]] = {
            Pace.SLOW: {},
            Pace.VERY_SLOW: {},
        }

    def add(
        self, blocks_by_route: dict[str, Block], answer: SendObservation | OpenSend, is_bad: bool
    ) -> None:
        """Adds an answer to the counts of its endpoint's version."""
        is_target = answer.endpoint.version == self.target
        block = Block(1, int(is_bad)) if is_target else Block(0, 0, 1, int(is_bad))
        route = answer.route.name
        blocks_by_route[route] = blocks_by_route.get(route, Block()).plus(block)


class ReleaseEvidence:
    """Answers of this instance since the order of each service, and the usual paces."""

    def __init__(self, clock: Clock) -> None:
        """Creates the counts without any release.

        Args:
            clock: Times the answers that wait for the usual pace.
        """
        self.open_sends: set[OpenSend] = set()
        """Sends of this instance whose answers have not ended."""
        self._clock = clock
        self._paces = PaceBaseline()
        self._counts_by_service: dict[str, _Counts] = {}
        self._waiting: deque[_WaitingAnswer] = deque(maxlen=MAX_WAITING_ANSWERS)

    def begin(self, order: ReleaseOrder) -> None:
        """Starts the counts of an order anew."""
        self._counts_by_service[order.service] = _Counts(order, self._clock)
        self._waiting = deque(
            (one for one in self._waiting if one.observation.endpoint.service != order.service),
            maxlen=MAX_WAITING_ANSWERS,
        )

    def record_answer(self, answer: SendObservation) -> None:
        """Counts an answer of a running release."""
        if answer.result.outcome not in (SendOutcome.WHOLE, SendOutcome.BROKEN):
            # Refusals of a full endpoint tell nothing about its version.
            return
        counts = self._counts_by_service[answer.endpoint.service]
        failed = is_failure(answer.result)
        counts.add(counts.failures_by_route, answer, failed)
        counts_pace = not failed and has_pace(answer) and answer.started_ms >= counts.since_ms
        if counts_pace and not self._count_pace(answer):
            self._waiting.append(_WaitingAnswer(answer, self._clock.now()))

    def record_usual(self, answer: SendObservation) -> None:
        """Adds the pace of an answer of a version that is not under test."""
        self._paces.record(answer)

    def count_open_send(self, send: OpenSend) -> None:
        """Counts an open send as slow or very slow, each once, when it is certain to be.

        Sends from before the order do not count: of these only the slow ones are still open.
        """
        counts = self._counts_by_service[send.endpoint.service]
        if send.started_ms < counts.since_ms:
            return
        pace = self._paces.classify_open(send)
        for limit, slow_by_route in counts.slow_by_route_and_pace.items():
            if send.counted_pace < limit <= pace:
                counts.add(slow_by_route, send, True)
        send.counted_pace = max(send.counted_pace, pace)

    def judge(self, service: str, peers: Iterable[EvidenceReport]) -> None:
        """Counts slow open sends of a service, and the answers that waited for the usual pace.

        Args:
            service: Name of the service.
            peers: Reports of the other instances on the same order.
        """
        reports = [peer.paces_by_route for peer in peers]
        self._paces.update_usual(service, [self._paces.summarize(service), *reports])
        for send in self.open_sends:
            if send.endpoint.service == service:
                self.count_open_send(send)
        oldest_ms = self._clock.now() - MAX_WAIT_MS
        waiting, self._waiting = self._waiting, deque(maxlen=MAX_WAITING_ANSWERS)
        for answer in waiting:
            is_other = answer.observation.endpoint.service != service
            counted = not is_other and self._count_pace(answer.observation)
            if not counted and answer.since_ms > oldest_ms:
                self._waiting.append(answer)

    def report(self, order: ReleaseOrder) -> EvidenceReport:
        """Returns the counts since an order."""
        counts = self._counts_by_service[order.service]
        slow = counts.slow_by_route_and_pace
        return EvidenceReport(
            order.service,
            order.revision,
            dict(counts.failures_by_route),
            dict(slow[Pace.SLOW]),
            dict(slow[Pace.VERY_SLOW]),
            self._paces.summarize(order.service),
            counts.began_wall_ms,
        )

    def _count_pace(self, answer: SendObservation) -> bool:
        """Counts the pace of an answer; returns False if it has to wait for the usual pace."""
        pace = self._paces.classify(answer)
        if pace is None:
            return False
        counts = self._counts_by_service[answer.endpoint.service]
        for limit, slow_by_route in counts.slow_by_route_and_pace.items():
            if answer.counted_pace < limit:
                counts.add(slow_by_route, answer, pace >= limit)
        return True

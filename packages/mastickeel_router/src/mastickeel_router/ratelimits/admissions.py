"""Bounds how many requests brittle endpoints have to reject, over the whole fleet.

An endpoint that is full refuses a request within milliseconds. A send to a brittle endpoint counts
against the refusals that the endpoint tolerates until it is known not to be refused. One instance
counts the sends of the whole fleet to an endpoint, as for permits.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.peers import PeerRefusedError, PeerTimeoutError, message
from mastickeel.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mastickeel.clock import Clock
    from mastickeel.peers import PeerLink
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.ratelimits.limits import EndpointLimits

REFUSAL_WINDOW_MS = 1_100
"""Time in which refusals add up at an endpoint, with the time of a refusal to its counter."""
ADMITTED_AFTER_MS = 100
"""Time after a send without a refusal from which it counts as admitted."""
UNUSED_AFTER_MS = 250
"""Time after which an admission is given back whose send is not connected yet."""
OPEN_TTL_MS = 1_500
"""Time after which a send counts as refused whose outcome was not reported: its sender may have
ended. Above the timeout of a connection."""
RETRY_MS = 50
"""Pause before a further request for an admission that was denied for open sends."""
REPLY_TIMEOUT_MS = 200
SUSPICION_MS = 2_000
"""Time for which a counter that did not reply is not asked again."""
COUNTERS = 2
"""Instances that may count the sends to an endpoint: the second one, which begins with the last
second used up, if the first one does not reply."""
MAX_WINDOWS = 4_096
"""Maximum number of windows; those used least recently are dropped."""

COUNTER_SILENT = define_event(
    2402,
    "admission_counter_silent",
    "warning",
    "The instance that counts the sends to a brittle endpoint did not reply.",
)


@message("admission_request")
@dataclass(frozen=True)
class AdmissionRequest:
    """Asks whether one request may be sent to a brittle endpoint."""

    endpoint: str
    started_ms: int
    """Unix time of the endpoint's start."""
    tolerance: float
    """Refusals a second that the endpoint tolerates."""


@message("admission_reply")
@dataclass(frozen=True)
class AdmissionReply:
    """Allows a send, or denies it."""

    number: int
    """Number of the admission; 0 when denied."""
    wait_ms: int = 0
    """Time until the next send may be allowed."""


@message("admission_outcome")
@dataclass(frozen=True)
class AdmissionOutcome:
    """Tells whether an allowed send was refused for lack of room."""

    endpoint: str
    started_ms: int
    number: int
    refused: bool


@dataclass(frozen=True)
class Admission:
    """Permission for one send to a brittle endpoint."""

    endpoint: EndpointRecord
    number: int
    counter_id: str
    """Instance that counts the sends to the endpoint."""


@dataclass
class _Window:
    """Sends to one endpoint that were refused lately or may still be."""

    open_ms_by_number: dict[int, int] = field(default_factory=dict)
    refused_ms: deque[int] = field(default_factory=deque)


class AdmissionCounter:
    """Counts the sends of the fleet to the brittle endpoints that this instance counts."""

    def __init__(self, clock: Clock) -> None:
        """Creates the counter without sends.

        Args:
            clock: Times sends and refusals.
        """
        self._clock = clock
        self._numbers = itertools.count(1)
        self._windows: OrderedDict[tuple[str, int], _Window] = OrderedDict()

    def admit(self, request: AdmissionRequest) -> AdmissionReply:
        """Allows a send if its refusal, with all others that may come, is tolerated."""
        now = self._clock.now()
        key = (request.endpoint, request.started_ms)
        window = self._windows.get(key)
        if window is None:
            # The refusals of the last second are not known.
            window = self._windows[key] = _Window()
            window.refused_ms.extend([now] * int(request.tolerance))
        self._windows.move_to_end(key)
        if len(self._windows) > MAX_WINDOWS:
            self._windows.popitem(last=False)
        self._expire(window, now)
        if len(window.open_ms_by_number) + len(window.refused_ms) + 1 > request.tolerance:
            if window.open_ms_by_number or not window.refused_ms:
                return AdmissionReply(0, RETRY_MS)
            return AdmissionReply(0, window.refused_ms[0] + REFUSAL_WINDOW_MS - now)
        number = next(self._numbers)
        window.open_ms_by_number[number] = now
        return AdmissionReply(number)

    def settle(self, outcome: AdmissionOutcome) -> None:
        """Records whether a send was refused."""
        window = self._windows.get((outcome.endpoint, outcome.started_ms))
        if window is None:
            return
        window.open_ms_by_number.pop(outcome.number, None)
        if outcome.refused:
            window.refused_ms.append(self._clock.now())

    def _expire(self, window: _Window, now: int) -> None:
        """Forgets refusals that no longer count, and counts sends without an outcome as refused."""
        for number, sent_ms in list(window.open_ms_by_number.items()):
            if now - sent_ms >= OPEN_TTL_MS:
                del window.open_ms_by_number[number]
                window.refused_ms.append(now)
        while window.refused_ms and now - window.refused_ms[0] >= REFUSAL_WINDOW_MS:
            window.refused_ms.popleft()


class SendAdmissions:
    """Admissions of this instance's sends to brittle endpoints."""

    def __init__(
        self,
        clock: Clock,
        tolerances: EndpointLimits,
        counter: AdmissionCounter,
        *,
        instance_id: str,
        link: PeerLink | None,
        list_peers: Callable[[], Iterable[str]],
        list_service: Callable[[str], Iterable[EndpointRecord]],
    ) -> None:
        """Creates the admissions.

        Args:
            clock: Times denials.
            tolerances: Refusals a second that endpoints tolerate, as far as they say so.
            counter: Counts the sends to endpoints that this instance counts.
            instance_id: Id of this instance.
            link: Connections to the peers; None without peers.
            list_peers: Returns the ids of the peers, also of those that left lately.
            list_service: Returns the endpoints of a service.
        """
        self._clock = clock
        self._tolerances = tolerances
        self._counter = counter
        self._instance_id = instance_id
        self._link = link
        self._list_peers = list_peers
        self._list_service = list_service
        self._denied_until_ms: dict[str, int] = {}
        self._suspected_until_ms: dict[str, int] = {}

    def known_wait_ms(self, endpoint: EndpointRecord) -> int:
        """Returns the time for which no send is admitted, as the last reply said."""
        return max(0, self._denied_until_ms.get(endpoint.id, 0) - self._clock.now())

    def reset_endpoint(self, endpoint_id: str) -> None:
        """Removes what is known of an endpoint that has ended or restarted."""
        self._denied_until_ms.pop(endpoint_id, None)

    def is_brittle(self, endpoint: EndpointRecord) -> bool:
        """Returns whether a send to an endpoint needs an admission."""
        return self._tolerance_of(endpoint) is not None

    def _tolerance_of(self, endpoint: EndpointRecord) -> float | None:
        """Returns the refusals a second that an endpoint tolerates; None if it is not brittle.

        One that has not answered yet is taken to be like the others of its service.
        """
        if self._tolerances.is_empty:
            return None
        own = self._tolerances.limit_of(endpoint)
        if own is not None:
            return own
        others = map(self._tolerances.limit_of, self._list_service(endpoint.service))
        return min((number for number in others if number is not None), default=None)

    async def acquire(self, endpoint: EndpointRecord) -> tuple[Admission | None, int]:
        """Requests the admission of one send.

        Returns:
            The admission, or None with the milliseconds after which to ask again.
        """
        if wait_ms := self.known_wait_ms(endpoint):
            return None, wait_ms
        tolerance = self._tolerance_of(endpoint) or 0.0
        request = AdmissionRequest(endpoint.id, endpoint.started_ms, tolerance)
        ranking = rank(endpoint.id, {self._instance_id, *self._list_peers()})
        reply, counter_id = None, ""
        for counter_id in ranking[:COUNTERS]:
            if counter_id == self._instance_id:
                reply = self._counter.admit(request)
            else:
                reply = await self._ask_peer(counter_id, request)
            if reply is not None:
                break
        if reply is None:
            reply = AdmissionReply(0, SUSPICION_MS)
        if not reply.number:
            wait_ms = max(1, reply.wait_ms)
            self._denied_until_ms[endpoint.id] = self._clock.now() + wait_ms
            return None, wait_ms
        return Admission(endpoint, reply.number, counter_id), 0

    def settle(self, admission: Admission, *, refused: bool) -> None:
        """Reports whether an admitted send was refused for lack of room."""
        endpoint = admission.endpoint
        outcome = AdmissionOutcome(endpoint.id, endpoint.started_ms, admission.number, refused)
        if admission.counter_id == self._instance_id:
            self._counter.settle(outcome)
        elif self._link is not None:
            self._link.send_notice(admission.counter_id, outcome)

    async def _ask_peer(self, counter_id: str, request: AdmissionRequest) -> AdmissionReply | None:
        """Returns the reply of a counter; None when it is not connected or does not reply."""
        if self._link is None or counter_id not in self._link.peer_ids:
            return None
        if self._suspected_until_ms.get(counter_id, 0) > self._clock.now():
            return None
        try:
            return await self._link.request(counter_id, request, AdmissionReply, REPLY_TIMEOUT_MS)
        except (PeerTimeoutError, PeerRefusedError) as error:
            log(COUNTER_SILENT, counter=counter_id, endpoint=request.endpoint, error=str(error))
            self._suspected_until_ms[counter_id] = self._clock.now() + SUSPICION_MS
            return None

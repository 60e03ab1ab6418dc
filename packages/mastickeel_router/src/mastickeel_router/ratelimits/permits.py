"""Acquires permits for sends to limited endpoints.

A limit holds for the sum over all instances, so one instance schedules the sends of the whole
fleet to an endpoint: the first of the endpoint's rendezvous ranking. The second one takes over, at
a part of the rate, for instances that cannot reach the first. No other instance issues permits, so
that instances whose views of the fleet differ cannot add up to more than the limit's tolerance.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.peers import PeerRefusedError, PeerTimeoutError
from mastickeel.rendezvous import rank
from mastickeel_router.ratelimits.issuer import PermitReply, PermitRequest
from mastickeel_router.ratelimits.schedule import interval_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mastickeel.clock import Clock
    from mastickeel.peers import PeerLink
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.ratelimits.issuer import PermitIssuer
    from mastickeel_router.ratelimits.limits import EndpointLimits

ISSUER_COUNT = 2
"""Number of instances that may issue permits for an endpoint."""
REPLY_TIMEOUT_MS = 200
"""Time without a reply after which the next issuer is asked."""
SUSPICION_MS = 2_000
"""Time for which an issuer that did not reply is not asked again."""

ISSUER_SUSPECTED = define_event(
    2393,
    "permit_issuer_suspected",
    "warning",
    "The instance that issues permits for a limited endpoint did not reply.",
)


class SendPermits:
    """Permits of this instance to send requests to limited endpoints."""

    def __init__(
        self,
        clock: Clock,
        limits: EndpointLimits,
        issuer: PermitIssuer,
        *,
        instance_id: str,
        link: PeerLink | None,
        list_peers: Callable[[], Iterable[str]],
    ) -> None:
        """Creates the permits.

        Args:
            clock: Times denials and the suspicion of issuers.
            limits: The limits that this instance knows.
            issuer: Issues the permits of the endpoints that this instance schedules.
            instance_id: Id of this instance.
            link: Connections to the peers; None without peers.
            list_peers: Returns the ids of the peers, including those that have left the directory
                a short time ago: an outage of the store can empty it, and instances that believed
                themselves alone would each use the whole limit.
        """
        self._clock = clock
        self._limits = limits
        self._issuer = issuer
        self._instance_id = instance_id
        self._link = link
        self._list_peers = list_peers
        self._used_up_until_ms: dict[str, float] = {}
        self._suspected_until_ms: dict[str, int] = {}

    def known_wait_ms(self, endpoint: EndpointRecord) -> float:
        """Returns the time for which the endpoint's limit is used up, as the last reply said."""
        if self._limits.limit_of(endpoint) is None:
            return 0
        return max(0.0, self._used_up_until_ms.get(endpoint.id, 0) - self._clock.now())

    def reset_endpoint(self, endpoint_id: str) -> None:
        """Removes what is known of an endpoint that has ended or restarted."""
        self._used_up_until_ms.pop(endpoint_id, None)

    async def acquire(self, endpoint: EndpointRecord, max_wait_ms: float = 0) -> PermitReply:
        """Acquires the permit to send one request.

        Args:
            endpoint: The endpoint; one without a limit needs no permit.
            max_wait_ms: Longest acceptable time until the request may be sent.

        Returns:
            The permit with the time to wait before the send, or the denial.
        """
        per_second = self._limits.limit_of(endpoint)
        if per_second is None:
            return PermitReply(True, 0)
        reply = await self._request_permit(endpoint, per_second, max_wait_ms)
        if reply.wait_ms:
            wait_ms = reply.wait_ms + (interval_ms(per_second) if reply.granted else 0)
            self._used_up_until_ms[endpoint.id] = self._clock.now() + wait_ms
        return reply

    async def _request_permit(
        self, endpoint: EndpointRecord, per_second: float, max_wait_ms: float
    ) -> PermitReply:
        """Asks the endpoint's issuers in turn; denies the permit when none of them replies."""
        ranking = rank(endpoint.id, {self._instance_id, *self._list_peers()})
        for position, issuer_id in enumerate(ranking[:ISSUER_COUNT]):
            request = PermitRequest(
                endpoint.id, endpoint.started_ms, per_second, max_wait_ms, position > 0
            )
            if issuer_id == self._instance_id:
                return self._issuer.issue(request)
            reply = await self._ask_peer(issuer_id, request)
            if reply is not None:
                return reply
        return PermitReply(False, SUSPICION_MS)

    async def _ask_peer(self, issuer_id: str, request: PermitRequest) -> PermitReply | None:
        """Returns the reply of an issuer; None when it is not connected or does not reply."""
        link, now = self._link, self._clock.now()
        if link is None or issuer_id not in link.peer_ids:
            return None
        if self._suspected_until_ms.get(issuer_id, 0) > now:
            return None
        try:
            return await link.request(issuer_id, request, PermitReply, REPLY_TIMEOUT_MS)
        except (PeerTimeoutError, PeerRefusedError) as error:
            self._suspected_until_ms[issuer_id] = self._clock.now() + SUSPICION_MS
            log(ISSUER_SUSPECTED, issuer=issuer_id, endpoint=request.endpoint, error=str(error))
            return None

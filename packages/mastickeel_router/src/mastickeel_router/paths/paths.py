"""Connects to endpoints, through a peer while this instance is cut off from them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.httpmessages import ConnectionFailedError, Timeouts, TunnelRefusedError
from mastickeel.peers import message
from mastickeel_router.paths.tunnels import ENDPOINT_FAULTS

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping, Sequence

    from mastickeel.addresses import Address
    from mastickeel.clock import Clock
    from mastickeel.httpclient import HttpClient, HttpConnection
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.paths.monitor import PathMonitor

MAX_PEERS_TRIED = 3
"""Peers that are tried for one connection."""
AVOID_MS = 2_000
"""Time for which a peer that opened no tunnel is tried last."""
PROBE_INTERVAL_MS = 500
"""Interval of probes while this instance is cut off; each one is a connection to an endpoint."""
PROBE_TIMEOUT_MS = 500
NOTICE_INTERVAL_MS = 1_000
"""Interval at which an instance that is cut off says so again."""
NOTICE_TTL_MS = 3 * NOTICE_INTERVAL_MS
"""Time for which a peer is taken to be cut off after it has said so."""
VERDICT_TIMEOUT_MS = 1_000
"""Timeout of a connection that shows whether an endpoint has ended: allows for one packet
retransmission."""


@message("path_state")
@dataclass(frozen=True)
class PathStateNotice:
    """Notice that an instance is cut off from the endpoints, or no longer is."""

    is_cut: bool


@dataclass(frozen=True)
class TunnelPeer:
    """A peer that opens tunnels to endpoints."""

    address: Address
    is_near: bool
    """Whether it is in the data centre of this instance."""


class EndpointPaths:
    """Opens connections to endpoints."""

    def __init__(
        self,
        client: HttpClient,
        *,
        clock: Clock,
        rng: random.Random,
        monitor: PathMonitor,
        list_peers: Callable[[], Mapping[str, TunnelPeer]],
        list_endpoints: Callable[[], Sequence[EndpointRecord]],
    ) -> None:
        """Creates the paths.

        Args:
            client: Opens connections.
            clock: Times probes and notices.
            rng: Spreads tunnels over the peers.
            monitor: Tracks whether this instance is cut off.
            list_peers: Returns the peers that open tunnels, by id.
            list_endpoints: Returns the endpoints, for probes.
        """
        self.on_state: list[Callable[[PathStateNotice], None]] = []
        """Callbacks that tell the peers whether this instance is cut off."""
        self.tunnels_used = 0
        """Number of connections made through peers since the start."""
        self._client = client
        self._clock = clock
        self._rng = rng
        self._monitor = monitor
        self._list_peers = list_peers
        self._list_endpoints = list_endpoints
        self._avoided_until_ms: dict[str, int] = {}
        self._cut_until_ms: dict[str, int] = {}
        self._next_probe = 0
        self._notified_ms: int | None = None
        monitor.on_change.append(self._notify)

    @property
    def is_cut(self) -> bool:
        """Whether this instance is taken to be cut off from the endpoints."""
        return self._monitor.is_cut

    async def connect(self, endpoint: EndpointRecord, timeouts: Timeouts) -> HttpConnection:
        """Opens a new connection to an endpoint, through a peer if this instance is cut off.

        Raises:
            ConnectionFailedError: When no connection could be made; nothing was sent.
        """
        if not self._monitor.is_cut:
            try:
                return await self._connect_directly(endpoint, timeouts)
            except ConnectionFailedError:
                if not self._monitor.is_cut:
                    raise
        return await self._connect_through_peer(endpoint, timeouts)

    async def has_ended(self, endpoint: EndpointRecord) -> bool:
        """Returns whether an endpoint's process has ended: connections to it are refused.

        A path that is lost may look the same, so that a peer has to see it too, if there is one.
        """
        timeouts = Timeouts(connect_ms=VERDICT_TIMEOUT_MS)
        try:
            (await self._connect_directly(endpoint, timeouts)).close()
        except ConnectionFailedError as error:
            if not error.refused:
                return False
        else:
            return False
        if not self._rank_peers():
            return not self._monitor.is_cut
        try:
            (await self._connect_through_peer(endpoint, timeouts)).close()
        except ConnectionFailedError as error:
            return error.refused
        return False

    def apply_notice(self, sender: str, notice: PathStateNotice) -> None:
        """Records that a peer is cut off from the endpoints, or no longer is."""
        if notice.is_cut:
            self._cut_until_ms[sender] = self._clock.now() + NOTICE_TTL_MS
        else:
            self._cut_until_ms.pop(sender, None)

    async def run_probes(self) -> None:
        """Probes endpoints while this instance is cut off, until cancelled."""
        while True:
            await self._clock.sleep(PROBE_INTERVAL_MS)
            if self._monitor.is_cut:
                self._repeat_notice()
                await self._probe_next()

    async def _connect_directly(
        self, endpoint: EndpointRecord, timeouts: Timeouts
    ) -> HttpConnection:
        try:
            # A reused connection may be dead, silent or hold the answer to another request; a new
            # connection costs the endpoint a millisecond.
            connection = await self._client.connect(endpoint.address, timeouts=timeouts, fresh=True)
        except ConnectionFailedError:
            self._monitor.record_failure(endpoint.id)
            raise
        self._monitor.record_success()
        return connection

    async def _connect_through_peer(
        self, endpoint: EndpointRecord, timeouts: Timeouts
    ) -> HttpConnection:
        """Opens a connection through the first peer that can.

        Raises:
            ConnectionFailedError: When no peer can, or a peer found that the endpoint cannot be
                reached.
        """
        for peer_id, peer in self._rank_peers()[:MAX_PEERS_TRIED]:
            try:
                connection = await self._client.connect(
                    endpoint.address, timeouts=timeouts, fresh=True, via=peer.address
                )
            except TunnelRefusedError as error:
                if error.reason in ENDPOINT_FAULTS:
                    raise
                self._avoid(peer_id)
            except ConnectionFailedError:
                self._avoid(peer_id)
            else:
                connection.via = peer_id
                self.tunnels_used += 1
                return connection
        raise ConnectionFailedError(f"Neither this instance nor a peer reaches {endpoint.id}.")

    def _rank_peers(self) -> list[tuple[str, TunnelPeer]]:
        """Returns the peers that are not known to be cut off, in the order of their trial."""
        now = self._clock.now()
        peers = [
            (peer_id, peer)
            for peer_id, peer in self._list_peers().items()
            if self._cut_until_ms.get(peer_id, 0) <= now
        ]
        self._rng.shuffle(peers)
        return sorted(
            peers,
            key=lambda one: (self._avoided_until_ms.get(one[0], 0) > now, not one[1].is_near),
        )

    def _avoid(self, peer_id: str) -> None:
        now = self._clock.now()
        avoided = {peer: end_ms for peer, end_ms in self._avoided_until_ms.items() if end_ms > now}
        self._avoided_until_ms = {**avoided, peer_id: now + AVOID_MS}

    async def _probe_next(self) -> None:
        """Probes the next endpoint."""
        endpoints = self._list_endpoints()
        if not endpoints:
            return
        self._next_probe += 1
        endpoint = endpoints[self._next_probe % len(endpoints)]
        try:
            connection = await self._client.connect(
                endpoint.address, timeouts=Timeouts(connect_ms=PROBE_TIMEOUT_MS), fresh=True
            )
        except ConnectionFailedError:
            self._monitor.record_probe(succeeded=False)
        else:
            connection.close()
            self._monitor.record_probe(succeeded=True)

    def _repeat_notice(self) -> None:
        if self._notified_ms is None or self._clock.now() - self._notified_ms >= NOTICE_INTERVAL_MS:
            self._notify()

    def _notify(self) -> None:
        self._notified_ms = self._clock.now()
        for callback in self.on_state:
            callback(PathStateNotice(self._monitor.is_cut))

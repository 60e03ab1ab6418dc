"""Connects to endpoints, through a peer where this instance has lost its own path."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.httpmessages import ConnectionFailedError, Timeouts, TunnelRefusedError
from mastickeel.logs import log
from mastickeel.peers import message
from mastickeel_router.paths.findings import Finding, decide_end
from mastickeel_router.paths.tunnels import ENDPOINT_FAULTS

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping, Sequence

    from mastickeel.addresses import Address
    from mastickeel.clock import Clock
    from mastickeel.httpclient import HttpClient, HttpConnection
    from mastickeel.tasks import TaskGroup
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.paths.monitor import PathMonitor

MAX_PEERS_TRIED = 3
"""Peers that are tried for one connection."""
MAX_PEERS_CHECKED = 9
"""Peers that are requested to find out whether an endpoint has ended, as many of them may have
ended themselves."""
MIN_FAILED_PEERS = 2
"""Peers that must fail to connect to an endpoint, if there are as many, before it is taken to be
unreachable for all: one may be cut off itself, or a whole data centre."""
AVOID_MS = 2_000
"""Time for which a peer that did not respond, or has too many tunnels, is tried last."""
PROBE_INTERVAL_MS = 500
"""Interval of probes of endpoints to which the path is lost; each one is a connection."""
PROBE_TIMEOUT_MS = 500
VERIFY_INTERVAL_MS = 1_000
"""Least time between two checks whether peers reach an endpoint that this instance does not."""
NOTICE_INTERVAL_MS = 1_000
"""Interval at which an instance that is cut off says so again."""
NOTICE_TTL_MS = 3 * NOTICE_INTERVAL_MS
"""Time for which a peer is taken to be cut off after it has said so."""
CHECK_TIMEOUT_MS = 1_000
"""Timeout of a connection that shows whether an endpoint has ended: allows for one packet
retransmission."""

NO_PATH = define_event(
    2403,
    "no_path",
    "info",
    "Neither this instance nor a peer connects to an endpoint, which may have ended.",
)


@message("path_state")
@dataclass(frozen=True)
class PathStateNotice:
    """Notice that an instance is cut off from all endpoints, or no longer is."""

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
        tasks: TaskGroup,
        monitor: PathMonitor,
        list_peers: Callable[[], Mapping[str, TunnelPeer]],
        list_endpoints: Callable[[], Sequence[EndpointRecord]],
    ) -> None:
        """Creates the paths.

        Args:
            client: Opens connections.
            clock: Times probes and notices.
            rng: Spreads tunnels over the peers.
            tasks: Runs checks in the background.
            monitor: Tracks to which endpoints the path is lost.
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
        self._tasks = tasks
        self._monitor = monitor
        self._list_peers = list_peers
        self._list_endpoints = list_endpoints
        self._avoided_until_ms: dict[str, int] = {}
        self._cut_until_ms: dict[str, int] = {}
        self._verified_ms_by_id: dict[str, int] = {}
        self._checks_by_lifetime: dict[tuple[str, int], asyncio.Task[bool]] = {}
        self._next_probe = 0
        self._notified_ms: int | None = None
        monitor.on_cut.append(self._notify)

    def is_lost(self, endpoint_id: str) -> bool:
        """Returns whether this instance has lost its path to an endpoint."""
        return endpoint_id in self._monitor.lost_ids

    async def connect(self, endpoint: EndpointRecord, timeouts: Timeouts) -> HttpConnection:
        """Opens a new connection to an endpoint, through a peer if the own path is lost.

        Raises:
            ConnectionFailedError: When no connection could be made; nothing was sent.
        """
        if not self.is_lost(endpoint.id):
            try:
                return await self._connect_directly(endpoint, timeouts)
            except ConnectionFailedError:
                if not self._monitor.may_be_cut:
                    self._verify(endpoint)
                    raise
            connection = await self._connect_through_peer(endpoint, timeouts)
            self._monitor.record_cut()
            return connection
        try:
            return await self._connect_through_peer(endpoint, timeouts)
        except TunnelRefusedError:
            raise
        except ConnectionFailedError:
            # No peer helps, so that the own path may have been given up by mistake.
            return await self._connect_directly(endpoint, timeouts)

    async def has_ended(self, endpoint: EndpointRecord) -> bool:
        """Returns whether an endpoint's process has ended: connections to it are refused.

        A path that is lost may look the same, so that peers have to see it too, if there are any.
        """
        lifetime = (endpoint.id, endpoint.started_ms)
        check = self._checks_by_lifetime.get(lifetime)
        if check is None:
            check = self._tasks.start(self._check_ended(endpoint))
            self._checks_by_lifetime[lifetime] = check
            check.add_done_callback(lambda _: self._checks_by_lifetime.pop(lifetime, None))
        return await asyncio.shield(check)

    def apply_notice(self, sender: str, notice: PathStateNotice) -> None:
        """Records that a peer is cut off from all endpoints, or no longer is."""
        if notice.is_cut:
            self._cut_until_ms[sender] = self._clock.now() + NOTICE_TTL_MS
        else:
            self._cut_until_ms.pop(sender, None)

    async def run_probes(self) -> None:
        """Probes the endpoints to which the path is lost, until cancelled."""
        while True:
            await self._clock.sleep(PROBE_INTERVAL_MS)
            if self._monitor.lost_ids:
                self._repeat_notice()
                await self._probe_lost()

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
        self._monitor.record_success(endpoint.id)
        return connection

    async def _connect_through_peer(
        self, endpoint: EndpointRecord, timeouts: Timeouts
    ) -> HttpConnection:
        """Opens a connection through the first peer that can.

        Raises:
            TunnelRefusedError: When enough peers found that the endpoint cannot be reached.
            ConnectionFailedError: When no peer can, for another reason.
        """
        peers = _mix_data_centres(self._rank_peers())[:MAX_PEERS_TRIED]
        missing_failures = min(MIN_FAILED_PEERS, len(peers))
        for peer_id, peer in peers:
            try:
                connection = await self._client.connect(
                    endpoint.address, timeouts=timeouts, fresh=True, via=peer.address
                )
            except TunnelRefusedError as error:
                if error.reason in ENDPOINT_FAULTS:
                    missing_failures -= 1
                    if not missing_failures:
                        raise
                elif error.reason == "connection_limit_reached":
                    self._avoid(peer_id)
            except ConnectionFailedError:
                self._avoid(peer_id)
            else:
                connection.via = peer_id
                self.tunnels_used += 1
                return connection
        raise ConnectionFailedError(f"No peer reaches {endpoint.id}.")

    async def _check_ended(self, endpoint: EndpointRecord) -> bool:
        """Returns whether this instance and its peers are refused by an endpoint."""
        timeouts = Timeouts(connect_ms=CHECK_TIMEOUT_MS)
        try:
            (await self._connect_directly(endpoint, timeouts)).close()
        except ConnectionFailedError as error:
            if not error.refused:
                return False
        else:
            return False
        if not self._list_peers():
            return True
        may_be_cut = self._monitor.may_be_cut
        peers = _mix_data_centres(self._rank_peers())[:MAX_PEERS_CHECKED]
        findings: list[Finding] = []
        for batch in (peers[:MAX_PEERS_TRIED], peers[MAX_PEERS_TRIED:]):
            findings += await asyncio.gather(
                *(self._find_through_peer(endpoint, *one, timeouts) for one in batch)
            )
            has_ended = decide_end(
                findings, is_last=len(findings) == len(peers), may_be_cut=may_be_cut
            )
            if has_ended is not None:
                break
        if Finding.REACHED in findings:
            self._monitor.record_lost([endpoint.id])
        return bool(has_ended)

    async def _find_through_peer(
        self, endpoint: EndpointRecord, peer_id: str, peer: TunnelPeer, timeouts: Timeouts
    ) -> Finding:
        """Returns what a peer finds when it connects to an endpoint."""
        try:
            connection = await self._client.connect(
                endpoint.address, timeouts=timeouts, fresh=True, via=peer.address
            )
        except TunnelRefusedError as error:
            return Finding.REFUSED if error.refused else Finding.UNCERTAIN
        except ConnectionFailedError:
            self._avoid(peer_id)
            return Finding.NO_REPLY
        connection.close()
        return Finding.REACHED

    def _verify(self, endpoint: EndpointRecord) -> None:
        """Checks in the background whether peers reach an endpoint that this instance does not."""
        now = self._clock.now()
        recent = {
            one: at for one, at in self._verified_ms_by_id.items() if now - at < VERIFY_INTERVAL_MS
        }
        if endpoint.id not in recent and self._rank_peers():
            recent[endpoint.id] = now
            self._tasks.start(self._find_path(endpoint))
        self._verified_ms_by_id = recent

    async def _find_path(self, endpoint: EndpointRecord) -> None:
        """Records the path to an endpoint as lost if a peer reaches it."""
        try:
            timeouts = Timeouts(connect_ms=CHECK_TIMEOUT_MS)
            (await self._connect_through_peer(endpoint, timeouts)).close()
        except ConnectionFailedError as error:
            log(NO_PATH, endpoint=endpoint.id, error=error.detail)
            return
        self._monitor.record_lost([endpoint.id])

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

    async def _probe_lost(self) -> None:
        """Probes endpoints to which the path is lost, one after the other until one fails."""
        self._monitor.retain_listed()
        lost = [one for one in self._list_endpoints() if self.is_lost(one.id)]
        for _ in range(len(lost)):
            self._next_probe += 1
            endpoint = lost[self._next_probe % len(lost)]
            try:
                connection = await self._client.connect(
                    endpoint.address, timeouts=Timeouts(connect_ms=PROBE_TIMEOUT_MS), fresh=True
                )
            except ConnectionFailedError:
                return
            connection.close()
            self._monitor.record_success(endpoint.id)

    def _repeat_notice(self) -> None:
        is_due = (
            self._notified_ms is None or self._clock.now() - self._notified_ms >= NOTICE_INTERVAL_MS
        )
        if self._monitor.is_cut and is_due:
            self._notify()

    def _notify(self) -> None:
        self._notified_ms = self._clock.now()
        for callback in self.on_state:
            callback(PathStateNotice(self._monitor.is_cut))


def _mix_data_centres(peers: list[tuple[str, TunnelPeer]]) -> list[tuple[str, TunnelPeer]]:
    """Moves the first peer of the other data centres, or else of this one, to the second place."""
    if not peers:
        return peers
    first, *others = peers
    other = next((one for one in others if one[1].is_near != first[1].is_near), None)
    return peers if other is None else [first, other, *(one for one in others if one != other)]

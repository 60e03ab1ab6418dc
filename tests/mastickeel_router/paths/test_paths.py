"""An instance that is cut off connects through peers, and takes no endpoint for ended by itself."""

from __future__ import annotations

import asyncio
import random
import unittest
from types import SimpleNamespace
from typing import Any

from mastickeel.addresses import Address
from mastickeel.clock import FakeClock
from mastickeel.httpmessages import ConnectionFailedError, Timeouts, TunnelRefusedError
from mastickeel_router.discovery import EndpointRecord
from mastickeel_router.paths import EndpointPaths, PathMonitor, PathStateNotice
from mastickeel_router.paths.monitor import MIN_FAILED_ENDPOINTS, MIN_PROBES
from mastickeel_router.paths.paths import (
    AVOID_MS,
    NOTICE_INTERVAL_MS,
    NOTICE_TTL_MS,
    PROBE_INTERVAL_MS,
    TunnelPeer,
)

ENDPOINTS = [
    EndpointRecord(f"e{n}", "s", Address("127.0.0.1", n + 1), "dc-a", "v1", started_ms=7)
    for n in range(3)
]
NEAR, FAR = Address("127.0.0.2", 1), Address("127.0.0.3", 1)


def refused() -> ConnectionFailedError:
    error = ConnectionFailedError("connection refused")
    error.refused = True
    return error


class EndpointPathsTest(unittest.IsolatedAsyncioTestCase):
    """Connections of which the test decides the outcome, by the address that is called."""

    async def asyncSetUp(self) -> None:
        self.clock = FakeClock()
        self.peers = {"near": TunnelPeer(NEAR, True), "far": TunnelPeer(FAR, False)}
        self.failures: dict[Address | None, ConnectionFailedError] = {}
        """Failure of connections through a peer's address; None for direct ones."""
        self.calls: list[Address | None] = []
        self.monitor = PathMonitor()
        self.paths = EndpointPaths(
            self,  # type: ignore[arg-type]
            clock=self.clock,
            rng=random.Random(1),
            monitor=self.monitor,
            list_peers=lambda: self.peers,
            list_endpoints=lambda: ENDPOINTS,
        )

    async def connect(self, address: Address, *, via: Address | None = None, **options: Any) -> Any:
        """Replaces `HttpClient.connect`."""
        self.calls.append(via)
        if via in self.failures:
            raise self.failures[via]
        return SimpleNamespace(via="", close=lambda: None)

    async def connect_to(self, endpoint: EndpointRecord) -> str:
        """Returns through which peer a connection goes; empty for none, `failed` if it fails."""
        try:
            return (await self.paths.connect(endpoint, Timeouts())).via
        except ConnectionFailedError:
            return "failed"

    async def cut(self, failure: ConnectionFailedError | None = None) -> None:
        self.failures[None] = failure or ConnectionFailedError("no answer")
        for endpoint in ENDPOINTS[:MIN_FAILED_ENDPOINTS]:
            await self.connect_to(endpoint)
        self.calls.clear()

    async def test_one_endpoint_that_fails_is_no_lost_path(self) -> None:
        self.failures[None] = refused()
        self.assertEqual([await self.connect_to(ENDPOINTS[0]) for _ in range(5)], ["failed"] * 5)
        self.failures.clear()
        await self.connect_to(ENDPOINTS[1])
        self.failures[None] = refused()
        self.assertEqual(await self.connect_to(ENDPOINTS[1]), "failed")
        self.assertFalse(self.paths.is_cut)

    async def test_second_endpoint_that_fails_is_reached_through_the_near_peer(self) -> None:
        self.failures[None] = refused()
        self.assertEqual(
            [await self.connect_to(endpoint) for endpoint in ENDPOINTS], ["failed", "near", "near"]
        )
        self.assertEqual(self.calls, [None, None, NEAR, NEAR])

    async def test_peer_that_opens_no_tunnel_is_tried_last_for_a_time(self) -> None:
        await self.cut()
        self.failures[NEAR] = TunnelRefusedError("full", "connection_limit_reached")
        self.assertEqual([await self.connect_to(one) for one in ENDPOINTS], ["far"] * 3)
        self.assertEqual(self.calls, [NEAR, FAR, FAR, FAR])
        del self.failures[NEAR]
        await self.clock.advance(AVOID_MS)
        self.assertEqual(await self.connect_to(ENDPOINTS[0]), "near")

    async def test_peers_that_are_cut_off_are_not_tried(self) -> None:
        await self.cut()
        self.paths.apply_notice("near", PathStateNotice(True))
        self.assertEqual(await self.connect_to(ENDPOINTS[0]), "far")
        self.paths.apply_notice("near", PathStateNotice(False))
        self.assertEqual(await self.connect_to(ENDPOINTS[0]), "near")
        for peer in self.peers:
            self.paths.apply_notice(peer, PathStateNotice(True))
        self.calls.clear()
        self.assertEqual((await self.connect_to(ENDPOINTS[0]), self.calls), ("failed", []))
        await self.clock.advance(NOTICE_TTL_MS)
        self.assertEqual(await self.connect_to(ENDPOINTS[0]), "near")

    async def test_endpoint_that_a_peer_cannot_reach_either_fails_at_once(self) -> None:
        await self.cut()
        self.failures[NEAR] = TunnelRefusedError("ended", "connection_refused")
        self.assertEqual((await self.connect_to(ENDPOINTS[2]), self.calls), ("failed", [NEAR]))

    async def test_probes_bring_the_own_path_back_and_peers_are_told(self) -> None:
        notices: list[PathStateNotice] = []
        self.paths.on_state.append(notices.append)
        await self.cut()
        probing = asyncio.ensure_future(self.paths.run_probes())
        await self.clock.advance(NOTICE_INTERVAL_MS + PROBE_INTERVAL_MS)
        self.assertTrue(self.paths.is_cut)
        del self.failures[None]
        await self.clock.advance(MIN_PROBES * PROBE_INTERVAL_MS)
        self.assertFalse(self.paths.is_cut)
        self.assertEqual(await self.connect_to(ENDPOINTS[0]), "")
        self.assertEqual([notice.is_cut for notice in notices], [True] * 3 + [False])
        probing.cancel()

    async def test_endpoint_has_ended_if_a_peer_is_refused_too(self) -> None:
        endpoint = ENDPOINTS[0]
        self.assertFalse(await self.paths.has_ended(endpoint))
        self.failures[None] = ConnectionFailedError("no answer")
        self.assertFalse(await self.paths.has_ended(endpoint))
        self.failures[None] = refused()
        self.assertFalse(await self.paths.has_ended(endpoint))
        for reason, has_ended in (
            ("connection_refused", True),
            ("connection_timeout", False),
            ("destination_unavailable", False),
        ):
            self.failures[NEAR] = TunnelRefusedError("failed", reason)
            self.failures[FAR] = TunnelRefusedError("failed", "destination_unavailable")
            self.assertEqual(await self.paths.has_ended(endpoint), has_ended, reason)

    async def test_without_peers_a_refusal_counts_unless_the_instance_is_cut_off(self) -> None:
        self.peers.clear()
        self.failures[None] = refused()
        self.assertTrue(await self.paths.has_ended(ENDPOINTS[0]))
        await self.cut(refused())
        self.assertFalse(await self.paths.has_ended(ENDPOINTS[0]))


if __name__ == "__main__":
    unittest.main()

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
from mastickeel.tasks import TaskGroup
from mastickeel_router.discovery import EndpointRecord
from mastickeel_router.paths import EndpointPaths, PathMonitor, PathStateNotice
from mastickeel_router.paths.monitor import MIN_FAILED_ENDPOINTS
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
        self.down: set[Address] = set()
        """Addresses to which no direct connection succeeds."""
        self.tasks = TaskGroup()
        self.monitor = PathMonitor(lambda: [endpoint.id for endpoint in ENDPOINTS])
        self.paths = EndpointPaths(
            self,  # type: ignore[arg-type]
            clock=self.clock,
            rng=random.Random(1),
            tasks=self.tasks,
            monitor=self.monitor,
            list_peers=lambda: self.peers,
            list_endpoints=lambda: ENDPOINTS,
        )

    async def connect(self, address: Address, *, via: Address | None = None, **options: Any) -> Any:
        """Replaces `HttpClient.connect`."""
        self.calls.append(via)
        if via in self.failures:
            raise self.failures[via]
        if via is None and address in self.down:
            raise refused()
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

    async def test_one_endpoint_that_fails_for_all_is_no_lost_path(self) -> None:
        self.down = {ENDPOINTS[0].address}
        for peer in (NEAR, FAR):
            self.failures[peer] = TunnelRefusedError("ended", "connection_refused")
        self.assertEqual([await self.connect_to(ENDPOINTS[0]) for _ in range(5)], ["failed"] * 5)
        await self.clock.settle()
        self.assertEqual(self.monitor.lost_ids, set())
        await self.connect_to(ENDPOINTS[1])
        self.down = {ENDPOINTS[1].address}
        self.assertEqual(await self.connect_to(ENDPOINTS[1]), "failed")
        self.assertEqual(self.monitor.lost_ids, set())

    async def test_second_endpoint_found_lost_shows_the_cut(self) -> None:
        self.failures[None] = ConnectionFailedError("no answer")
        self.assertEqual(await self.connect_to(ENDPOINTS[0]), "failed")
        await self.clock.settle()
        self.assertEqual(self.monitor.lost_ids, {ENDPOINTS[0].id})
        self.assertEqual([await self.connect_to(one) for one in ENDPOINTS[1:]], ["near"] * 2)
        self.assertTrue(self.monitor.is_cut)

    async def test_endpoint_that_only_peers_reach_is_reached_through_them(self) -> None:
        self.down = {ENDPOINTS[0].address}
        self.assertEqual(await self.connect_to(ENDPOINTS[0]), "failed")
        await self.clock.settle()
        self.assertEqual(
            [await self.connect_to(endpoint) for endpoint in ENDPOINTS], ["near", "", ""]
        )
        self.assertFalse(self.monitor.is_cut)

    async def test_second_endpoint_that_fails_is_reached_through_the_near_peer(self) -> None:
        self.failures[None] = refused()
        self.assertEqual(
            [await self.connect_to(endpoint) for endpoint in ENDPOINTS], ["failed", "near", "near"]
        )
        self.assertTrue(self.monitor.is_cut)

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
        self.assertEqual((await self.connect_to(ENDPOINTS[0]), self.calls), ("failed", [None]))
        await self.clock.advance(NOTICE_TTL_MS)
        self.assertEqual(await self.connect_to(ENDPOINTS[0]), "near")

    async def test_endpoint_is_down_if_two_peers_fail_and_one_peer_may_be_cut_itself(self) -> None:
        await self.cut()
        self.failures[NEAR] = TunnelRefusedError("ended", "connection_refused")
        self.assertEqual((await self.connect_to(ENDPOINTS[2]), self.calls), ("far", [NEAR, FAR]))
        self.failures[FAR] = TunnelRefusedError("ended", "connection_timeout")
        with self.assertRaises(TunnelRefusedError):
            await self.paths.connect(ENDPOINTS[2], Timeouts())

    async def test_data_centre_that_is_cut_as_a_whole_finds_a_peer_elsewhere(self) -> None:
        for number in range(3):
            address = Address("127.0.0.4", number + 1)
            self.peers[f"near{number}"] = TunnelPeer(address, True)
            self.failures[address] = TunnelRefusedError("cut too", "connection_timeout")
        self.failures[NEAR] = TunnelRefusedError("cut too", "connection_refused")
        self.failures[None] = refused()
        self.assertEqual(
            [await self.connect_to(endpoint) for endpoint in ENDPOINTS], ["failed", "far", "far"]
        )

    async def test_own_path_is_tried_last_if_no_peer_helps(self) -> None:
        await self.cut()
        self.failures[NEAR] = self.failures[FAR] = ConnectionFailedError("no answer")
        del self.failures[None]
        self.assertEqual(await self.connect_to(ENDPOINTS[0]), "")
        self.assertFalse(self.paths.is_lost(ENDPOINTS[0].id))

    async def test_probes_bring_the_own_path_back_and_peers_are_told(self) -> None:
        notices: list[PathStateNotice] = []
        self.paths.on_state.append(notices.append)
        await self.cut()
        probing = asyncio.ensure_future(self.paths.run_probes())
        await self.clock.advance(NOTICE_INTERVAL_MS + PROBE_INTERVAL_MS)
        self.assertTrue(self.monitor.is_cut)
        del self.failures[None]
        self.down = {ENDPOINTS[2].address}
        await self.clock.advance(2 * PROBE_INTERVAL_MS)
        self.assertEqual(self.monitor.lost_ids, {ENDPOINTS[2].id})
        self.assertEqual(await self.connect_to(ENDPOINTS[0]), "")
        self.assertEqual((notices[0].is_cut, notices[1].is_cut), (True, True))
        self.assertFalse(notices[-1].is_cut)
        probing.cancel()

    async def test_endpoint_has_ended_if_peers_are_refused_too(self) -> None:
        endpoint = ENDPOINTS[0]
        self.assertFalse(await self.paths.has_ended(endpoint))
        self.failures[None] = ConnectionFailedError("no answer")
        self.assertFalse(await self.paths.has_ended(endpoint))
        self.failures[None] = refused()
        self.assertFalse(await self.paths.has_ended(endpoint))
        for far, has_ended in (
            ("connection_refused", True),
            ("destination_ip_prohibited", True),
            ("connection_timeout", False),
            ("destination_unavailable", False),
        ):
            self.failures[NEAR] = TunnelRefusedError("failed", "connection_refused")
            self.failures[FAR] = TunnelRefusedError("failed", far)
            self.assertEqual(await self.paths.has_ended(endpoint), has_ended, far)

    async def test_endpoint_that_crashes_after_the_loss_of_peers_has_not_ended(self) -> None:
        """Guards against crashes that go unnoticed until the lost peers are no longer listed."""
        for live in range(3):
            lost = {f"lost-{n}": Address("127.0.1.1", n + 1) for n in range(6)}
            witnesses = {f"live-{n}": Address("127.0.1.2", n + 1) for n in range(live)}
            addresses = {**lost, **witnesses}
            self.peers.clear()
            self.peers.update({one: TunnelPeer(at, True) for one, at in addresses.items()})
            self.failures = {None: refused()}
            self.failures |= dict.fromkeys(lost.values(), ConnectionFailedError("no answer"))
            for address in witnesses.values():
                self.failures[address] = TunnelRefusedError("ended", "connection_refused")
            with self.subTest(live=live):
                self.monitor.record_success(ENDPOINTS[1].id)
                self.assertTrue(await self.paths.has_ended(ENDPOINTS[0]))

    async def test_instance_that_reaches_nobody_reports_crashes(self) -> None:
        self.failures = dict.fromkeys((NEAR, FAR), ConnectionFailedError("no answer"))
        self.failures[None] = refused()
        for endpoint in ENDPOINTS[1:]:
            await self.connect_to(endpoint)
        self.assertFalse(await self.paths.has_ended(ENDPOINTS[0]))

    async def test_live_endpoint_is_taken_for_ended_beside_lost_peers(self) -> None:
        self.failures = {None: refused(), NEAR: ConnectionFailedError("no answer")}
        self.assertFalse(await self.paths.has_ended(ENDPOINTS[0]))
        self.failures[FAR] = TunnelRefusedError("failed", "connection_timeout")
        self.assertFalse(await self.paths.has_ended(ENDPOINTS[0]))

    async def test_without_peers_a_refusal_counts(self) -> None:
        self.peers.clear()
        self.failures[None] = refused()
        for endpoint in ENDPOINTS:
            self.assertTrue(await self.paths.has_ended(endpoint))

    async def test_endpoints_that_peers_find_ended_are_no_lost_paths(self) -> None:
        self.failures[None] = refused()
        for peer in (NEAR, FAR):
            self.failures[peer] = TunnelRefusedError("ended", "connection_refused")
        for endpoint in ENDPOINTS:
            self.assertEqual(await self.connect_to(endpoint), "failed")
            self.assertTrue(await self.paths.has_ended(endpoint))
        self.assertEqual(self.monitor.lost_ids, set())

    async def test_questions_at_the_same_time_share_a_check(self) -> None:
        self.failures[None] = refused()
        self.peers.clear()
        results = await asyncio.gather(*(self.paths.has_ended(ENDPOINTS[0]) for _ in range(9)))
        self.assertEqual((results, self.calls), ([True] * 9, [None]))


if __name__ == "__main__":
    unittest.main()

"""All instances together keep an endpoint's limit, whatever each knows of the others."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING, Any

from mastickeel.addresses import Address
from mastickeel.clock import FakeClock
from mastickeel.peers import PeerTimeoutError
from mastickeel.rendezvous import rank
from mastickeel.tasks import TaskGroup
from mastickeel_router.discovery import EndpointRecord
from mastickeel_router.ratelimits import (
    EndpointLimitNotice,
    EndpointLimits,
    PermitIssuer,
    SendPermits,
)
from mastickeel_router.ratelimits.permits import ISSUER_COUNT, SUSPICION_MS
from tests.mastickeel_router.ratelimits.windows import most_in_window

if TYPE_CHECKING:
    from collections.abc import Iterable

ENDPOINT = EndpointRecord("e1", "s", Address("127.0.0.1", 1), "dc-a", "v1", started_ms=5)
TODAYS_FLEET = 9
GROWN_FLEET = 58
RATES = (0.1, 1.6, 20.0)
WINDOW_MS = 4_000
EXCESS = 1.5
SLACK = 5
"""What the platform accepts in a window: the excess over the limit, and the slack of the fleet."""
DELAY_MS = 2
ROUND_MS = 500
SEEDS = range(5)


class Instance:
    """One instance with its view of the fleet; stands in for its `PeerLink` too."""

    def __init__(self, fleet: Fleet, instance_id: str, per_second: float) -> None:
        self.id = instance_id
        self.peer_ids: set[str] = set()
        self.former_ids: set[str] = set()
        self._fleet = fleet
        limits = EndpointLimits(fleet.clock)
        limits.apply_notice(EndpointLimitNotice(ENDPOINT.id, ENDPOINT.started_ms, per_second))
        self.issuer = PermitIssuer(fleet.clock, limits)
        self.permits = SendPermits(
            fleet.clock,
            limits,
            self.issuer,
            instance_id=instance_id,
            link=self,  # type: ignore[arg-type]
            list_peers=lambda: self.peer_ids | self.former_ids,
        )

    async def request(self, peer: str, content: Any, kind: type[Any], timeout_ms: float) -> Any:
        """Delivers a message and returns the reply; times out when either side is silent."""
        clock, ends = self._fleet.clock, frozenset((peer, self.id))
        await clock.sleep(DELAY_MS)
        if ends & self._fleet.silent or ends in self._fleet.cut:
            await clock.sleep(timeout_ms - DELAY_MS)
            raise PeerTimeoutError(f"{peer} is silent.")
        reply = self._fleet.by_id[peer].issuer.issue(content)
        await clock.sleep(DELAY_MS)
        return reply


class Fleet:
    """Instances that all send as many requests as they are permitted."""

    def __init__(self, clock: FakeClock, count: int, per_second: float) -> None:
        self.clock = clock
        self.per_second = per_second
        self.silent: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.by_id: dict[str, Instance] = {}
        self.sends_ms: list[float] = []
        self.tasks = TaskGroup()
        for number in range(count):
            self.add(f"i{number}")
        self.issuers = rank(ENDPOINT.id, self.by_id)[:ISSUER_COUNT]

    def add(self, instance_id: str) -> None:
        """Adds an instance, or replaces its process; all instances know each other."""
        self.by_id[instance_id] = Instance(self, instance_id, self.per_second)
        for instance in self.by_id.values():
            instance.peer_ids = set(self.by_id) - {instance.id}

    def empty_directory(self, ids: Iterable[str]) -> None:
        """Lets instances lose all peers, as after an outage of the store."""
        for instance_id in ids:
            instance = self.by_id[instance_id]
            instance.former_ids |= instance.peer_ids
            instance.peer_ids = set()

    def refill_directory(self, ids: Iterable[str]) -> None:
        """Lets all instances find these peers again."""
        for instance in self.by_id.values():
            instance.peer_ids |= set(ids) - {instance.id}

    async def send_for(self, duration_ms: int, max_wait_ms: float = 0) -> None:
        """Lets every instance try to send once a round."""
        for _ in range(duration_ms // ROUND_MS):
            for instance in self.by_id.values():
                self.tasks.start(self._send(instance, max_wait_ms))
            await self.clock.advance(ROUND_MS)

    async def _send(self, instance: Instance, max_wait_ms: float) -> None:
        permit = await instance.permits.acquire(ENDPOINT, max_wait_ms)
        if permit.granted:
            self.sends_ms.append(self.clock.now() + permit.wait_ms)


class FleetLimitTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = FakeClock()

    def start_fleet(self, count: int, per_second: float) -> Fleet:
        fleet = Fleet(self.clock, count, per_second)
        self.addAsyncCleanup(fleet.tasks.stop)
        return fleet

    def check_limit(self, fleet: Fleet) -> None:
        allowed = EXCESS * fleet.per_second * WINDOW_MS / 1_000 + SLACK
        self.assertLessEqual(most_in_window(fleet.sends_ms, WINDOW_MS), allowed)

    async def test_one_request_from_each_instance_at_once_exceeds_no_limit(self) -> None:
        # A share for each instance starts with a whole request: 58 at once where 11 are allowed.
        for count in (TODAYS_FLEET, GROWN_FLEET):
            for per_second in RATES[:2]:
                with self.subTest(count=count, per_second=per_second):
                    fleet = self.start_fleet(count, per_second)
                    await fleet.send_for(5_000)
                    self.check_limit(fleet)

    async def test_requests_that_wait_use_the_limit_and_do_not_exceed_it(self) -> None:
        for per_second in RATES[1:]:
            with self.subTest(per_second=per_second):
                fleet = self.start_fleet(TODAYS_FLEET, per_second)
                start_ms = self.clock.now()
                await fleet.send_for(16_000, max_wait_ms=1_000)
                self.check_limit(fleet)
                offered = min(per_second, TODAYS_FLEET * 1_000 / ROUND_MS)
                sent = sum(at_ms < start_ms + 16_000 for at_ms in fleet.sends_ms)
                self.assertGreaterEqual(sent, 0.9 * offered * 15)

    async def test_silent_first_issuer_is_replaced_at_half_the_rate(self) -> None:
        fleet = self.start_fleet(TODAYS_FLEET, 2.0)
        fleet.silent = {fleet.issuers[0]}
        await fleet.send_for(16_000)
        others = len(fleet.sends_ms)
        self.check_limit(fleet)
        self.assertGreater(others, 8)
        fleet.silent = set()
        await fleet.send_for(2 * SUSPICION_MS)
        self.check_limit(fleet)

    async def test_first_issuer_that_only_some_reach_and_the_second_one_add_up(self) -> None:
        fleet = self.start_fleet(TODAYS_FLEET, 5.0)
        first, second = fleet.issuers
        others = sorted(set(fleet.by_id) - {first, second})
        fleet.cut = {frozenset((first, peer)) for peer in [second, *others[: len(others) // 2]]}
        await fleet.send_for(12_000, max_wait_ms=1_000)
        self.check_limit(fleet)

    async def test_instances_without_any_issuer_do_not_send(self) -> None:
        fleet = self.start_fleet(TODAYS_FLEET, 2.0)
        fleet.silent = set(fleet.issuers)
        await fleet.send_for(8_000)
        self.check_limit(fleet)

    async def test_instances_that_lose_the_directory_do_not_each_use_the_whole_limit(self) -> None:
        # Leases may end in an outage of the store; each instance then lists itself alone.
        for per_second in RATES[1:]:
            with self.subTest(per_second=per_second):
                fleet = self.start_fleet(GROWN_FLEET, per_second)
                await fleet.send_for(1_000)
                fleet.empty_directory(fleet.by_id)
                await fleet.send_for(1_000)
                ids = sorted(fleet.by_id)
                for first in range(0, GROWN_FLEET, 20):
                    fleet.refill_directory(ids[first : first + 20])
                    await fleet.send_for(ROUND_MS)
                await fleet.send_for(2_000)
                self.check_limit(fleet)

    async def test_faults_in_series_do_not_add_up(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                fleet = self.start_fleet(TODAYS_FLEET, rng.choice(RATES))
                for number in range(8):
                    fault = rng.choice(("silence", "restart", "lose", "find", "join", "none"))
                    some = set(rng.sample(sorted(fleet.by_id), 2)) | {rng.choice(fleet.issuers)}
                    fleet.silent = some if fault == "silence" else set()
                    if fault == "restart":
                        fleet.add(rng.choice(fleet.issuers))
                    elif fault == "lose":
                        fleet.empty_directory(some)
                    elif fault == "find":
                        fleet.refill_directory(some)
                    elif fault == "join":
                        fleet.add(f"new-{number}")
                    await fleet.send_for(ROUND_MS * rng.randint(1, 6), rng.choice((0, 1_000)))
                self.check_limit(fleet)


if __name__ == "__main__":
    unittest.main()

"""Gateways that find each other in the store, and act on what the others tell."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from mastickeel.clock import Clock
from mastickeel_platform.deployment import make_deployment
from mastickeel_router.gateway import Gateway, parse
from mastickeel_router.placement import WorkSentNotice
from mastickeel_router.quarantine.reports import REFUSED_AFTER_CRASHES
from mastickeel_router.releases import EvidenceReport
from mastickeel_router.sequential import Block
from tests.mastickeel_platform.path import SETTINGS, PathTest
from tests.mastickeel_platform.standins import Request, answer, call, request_bytes

if TYPE_CHECKING:
    import asyncio

PEERS = """
[peers]
listen = "127.0.0.1:0"
"""
CONTENT = 7
GATEWAYS = 3


async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(request))


class FleetTest(PathTest):
    """Three gateways before one store and one endpoint."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.gateways: list[Gateway] = []
        await self.add_endpoint(respond)
        for number in range(1, GATEWAYS + 1):
            await self.add_gateway(number)
        await self.until(lambda: all(len(self.peers(one)) == 2 for one in self.gateways))

    async def asyncTearDown(self) -> None:
        for gateway in self.gateways:
            await gateway.stop()
        await super().asyncTearDown()

    async def add_gateway(self, number: int) -> Gateway:
        text = SETTINGS.format(port=self.store.server.port).replace("edge-1", f"edge-{number}")
        settings = parse(text + PEERS)
        gateway = Gateway(
            settings, Clock(), lambda client: make_deployment(client, settings), seed=number
        )
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    def peers(self, gateway: Gateway) -> tuple[str, ...]:
        link: Any = gateway._link
        return tuple(link.peer_ids)

    def refuses(self, gateway: Gateway) -> bool:
        """Whether a gateway refuses the content."""
        suspect = gateway.crashes._active_suspect(CONTENT)
        return suspect is not None and len(suspect.crashed_ms_by_lifetime) >= REFUSED_AFTER_CRASHES

    async def test_crashes_that_each_saw_are_added_up_on_all_and_told_to_a_newcomer(self) -> None:
        for number, gateway in enumerate(self.gateways):
            gateway.crashes.record_crash(CONTENT, f"i-{number}/0")
        await self.until(lambda: all(self.refuses(one) for one in self.gateways))
        late = await self.add_gateway(GATEWAYS + 1)
        await self.until(lambda: self.refuses(late))
        self.gateways[0].crashes.record_success(CONTENT)
        await self.until(lambda: not any(self.refuses(one) for one in self.gateways))

    async def test_one_of_them_tries_a_refused_content(self) -> None:
        for content in range(20):
            triers = [one.crashes._runs_trial(content) for one in self.gateways]
            self.assertEqual(sum(triers), 1)

    async def test_work_and_sessions_of_one_are_known_to_the_others(self) -> None:
        first, *others = self.gateways
        sent = WorkSentNotice("i-1", 5_000.0, "m", (("part", 10),), 100)
        unlisted = WorkSentNotice("i-gone", 5_000.0, "m", (("part", 10),), 100)
        for tell in first.loads.on_work_sent:
            tell(unlisted)
            tell(sent)
        first.releases.sessions.record_run("session-1", "v1")
        await self.until(lambda: all("i-1" in one.loads._caches_by_id for one in others))
        await self.until(
            lambda: all(one.releases.sessions.version_of("session-1") for one in others)
        )
        for one in others:
            self.assertNotIn("i-gone", one.loads._caches_by_id)

    async def test_evidence_of_one_is_weighed_by_the_others(self) -> None:
        first, *others = self.gateways
        evidence = EvidenceReport("s", 7, {"r": Block()})
        for tell in first.releases.on_report:
            tell(evidence)
        known = [one.releases._evidence_by_instance for one in others]
        await self.until(lambda: all(evidence in one.values() for one in known))

    async def test_word_of_a_free_duty_reaches_the_standbys(self) -> None:
        duties = [one.releases._duty for one in self.gateways]
        with patch.object(type(duties[0]), "note_vacant", autospec=True) as told:
            self.store.put(duties[0].key, b"edge-9")
            self.store.delete(duties[0].key)
            await self.until(lambda: told.call_count >= GATEWAYS)
        self.assertEqual({one.args[0] for one in told.call_args_list}, set(duties))

    async def test_each_serves_and_one_that_ends_is_forgotten(self) -> None:
        for gateway in self.gateways:
            await self.until(lambda gateway=gateway: gateway.ready)
            reply = await call(gateway.callers_port, request_bytes("/look/a"))
            self.assertEqual(reply.status, 200)
        instances: Any = self.gateways[2]._instances
        self.store.delete(f"{instances.entries_prefix}edge-3")
        await self.until(lambda: len(self.peers(self.gateways[0])) == 1)


if __name__ == "__main__":
    unittest.main()

"""Gateways find each other in the store, and share crashes, loads, sessions and evidence."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from tornado.httputil import HTTPHeaders

from mastickeel_router.placement import WorkSentNotice
from mastickeel_router.quarantine.reports import REFUSED_AFTER_CRASHES
from mastickeel_router.relay.types import AnswerHead
from mastickeel_router.releases import EvidenceReport, ReleaseOrder
from mastickeel_router.sequential import Block
from tests.mastickeel_platform.gateway_case import FleetTestCase
from tests.mastickeel_platform.standins import Request, answer_bytes, call, request_bytes

if TYPE_CHECKING:
    import asyncio

    from mastickeel_router.gateway import Gateway

CONTENT = 7
GATEWAY_COUNT = 3
NOTICE_COUNT = 10


async def respond(request: Request, writer: asyncio.StreamWriter) -> None:
    writer.write(answer_bytes(request))


class FleetTest(FleetTestCase):
    """Three gateways with one store and one endpoint."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.add_endpoint(respond)
        await self.start_fleet(GATEWAY_COUNT)

    def refuses(self, gateway: Gateway) -> bool:
        """Returns whether a gateway refuses the content."""
        suspect = gateway.crashes._active_suspect(CONTENT)
        return suspect is not None and len(suspect.crashed_ms_by_lifetime) >= REFUSED_AFTER_CRASHES

    async def test_crashes_seen_by_each_are_summed_on_all_and_sent_to_a_newcomer(self) -> None:
        for number, gateway in enumerate(self.gateways):
            gateway.crashes.record_crash(CONTENT, f"i-{number}/0")
        await self.wait_until(lambda: all(self.refuses(gateway) for gateway in self.gateways))
        newcomer = await self.add_gateway(GATEWAY_COUNT + 1)
        await self.wait_until(lambda: self.refuses(newcomer))
        self.gateways[0].crashes.record_success(CONTENT)
        await self.wait_until(lambda: not any(self.refuses(gateway) for gateway in self.gateways))

    async def test_exactly_one_gateway_runs_the_trial_of_a_refused_content(self) -> None:
        for content in range(20):
            runs_trial = [gateway.crashes._runs_trial(content) for gateway in self.gateways]
            self.assertEqual(sum(runs_trial), 1)

    async def test_sent_work_and_sessions_are_shared(self) -> None:
        first, *others = self.gateways
        sent = WorkSentNotice("i-1", 5_000.0, "m", (("part", 10),), 100)
        unlisted = WorkSentNotice("i-gone", 5_000.0, "m", (("part", 10),), 100)
        for notify in first.loads.on_work_sent:
            notify(unlisted)
            notify(sent)
        first.releases.sessions.record_run("session-1", "v1")
        await self.wait_until(
            lambda: all("i-1" in gateway.loads._caches_by_id for gateway in others)
        )
        await self.wait_until(
            lambda: all(gateway.releases.sessions.version_of("session-1") for gateway in others)
        )
        for gateway in others:
            self.assertNotIn("i-gone", gateway.loads._caches_by_id)

    async def test_messages_of_a_request_do_not_grow_with_the_fleet(self) -> None:
        totals = [gateway._peer_metrics.totals_by_name for gateway in self.gateways]
        sent_before = [total["peers.sent"] for total in totals]
        for number, gateway in enumerate(self.gateways):
            for notice in range(NOTICE_COUNT):
                gateway.releases.sessions.record_run(f"session-{number}-{notice}", "v1")
        last = f"-{NOTICE_COUNT - 1}"
        for gateway in self.gateways:
            await self.wait_until(
                lambda gateway=gateway: all(
                    gateway.releases.sessions.version_of(f"session-{number}{last}")
                    for number in range(GATEWAY_COUNT)
                )
            )
        sent = [total["peers.sent"] - n for total, n in zip(totals, sent_before, strict=True)]
        # One gateway relays the notices of all; the others send each notice once at most.
        self.assertLessEqual(sum(count > NOTICE_COUNT for count in sent), 1, sent)

    async def test_release_evidence_is_shared(self) -> None:
        first, *others = self.gateways
        evidence = EvidenceReport("s", 7, {"r": Block()})
        for notify in first.releases.on_report:
            notify(evidence)
        order = ReleaseOrder("s", "v2", 1_000, 7)
        await self.wait_until(
            lambda: all(
                evidence in gateway.releases.reports.list_reports(order) for gateway in others
            )
        )

    async def test_limit_named_to_one_is_known_to_all_and_to_a_newcomer(self) -> None:
        endpoint = self.gateways[0].registry.all()[0]
        named = AnswerHead(200, HTTPHeaders(), "a1", signed=True, rate_limit=2.0)
        first, *others = self.gateways

        def is_known_to_all(limit: float | None) -> bool:
            first.limits.record_answer(
                endpoint, replace(named, rate_limit=limit), first.clock.now()
            )
            return all(gateway.limits.limit_of(endpoint) == limit for gateway in self.gateways)

        await self.wait_until(lambda: is_known_to_all(2.0))
        others.append(await self.add_gateway(GATEWAY_COUNT + 1))
        await self.wait_until(lambda: is_known_to_all(2.0))
        await self.wait_until(lambda: is_known_to_all(None))

    async def test_standbys_are_notified_of_a_vacant_duty(self) -> None:
        duties = [gateway.releases._duty for gateway in self.gateways]
        with patch.object(type(duties[0]), "record_vacancy", autospec=True) as record_vacancy:
            self.store.put(duties[0].key, b"edge-9")
            self.store.delete(duties[0].key)
            await self.wait_until(lambda: record_vacancy.call_count >= GATEWAY_COUNT)
        self.assertEqual({notice.args[0] for notice in record_vacancy.call_args_list}, set(duties))

    async def test_every_gateway_serves_and_a_deleted_one_is_removed(self) -> None:
        for gateway in self.gateways:
            await self.wait_until(lambda gateway=gateway: gateway.ready)
            reply = await call(gateway.callers_port, request_bytes("/look/a"))
            self.assertEqual(reply.status, 200)
        instances: Any = self.gateways[2]._instances
        self.store.delete(f"{instances.entries_prefix}edge-3")
        await self.wait_until(lambda: len(self.peer_ids(self.gateways[0])) == 1)


if __name__ == "__main__":
    unittest.main()

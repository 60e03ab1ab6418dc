"""At most two endpoints crash for one content, through however many instances it is sent."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest.mock import patch

from mastickeel.clock import FakeClock
from mastickeel.errors import EndpointError, MastickeelError
from mastickeel.httpmessages import ConnectionFailedError
from mastickeel.model import Endpoint
from mastickeel.rendezvous import rank
from mastickeel_router.quarantine import Quarantine, QuarantinedError
from mastickeel_router.quarantine import guard as guard_module
from mastickeel_router.quarantine.fingerprints import compute_fingerprint
from mastickeel_router.quarantine.replica import (
    CRASH_TTL_MS,
    PERMIT_TTL_MS,
    Crash,
    CrashReport,
    PermitReleaseNotice,
    PermitRequest,
    QuarantineReplica,
    Verdict,
)
from mastickeel_router.requests import ChatRequest
from tests.fleet import Fleet, read_json
from tests.peers import Nodes


def make_request(number: int, text: str = "poison", account: str = "demo") -> ChatRequest:
    body = {"model": "auto", "messages": [{"role": "user", "content": text}], "user": str(number)}
    return ChatRequest(f"request-{number}", account, "auto", body, False, 0)


class HolderTest(unittest.IsolatedAsyncioTestCase):
    """One holder, by itself."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.holder = QuarantineReplica(self.clock)

    async def ask(self, permit: str, version: str = "v") -> Verdict:
        ask = PermitRequest(1, "demo", permit, version)
        return (await self.holder.on_permit_request("", ask)).verdict

    async def crash(self, permit: str, endpoint: str) -> None:
        crash = Crash(endpoint, self.clock.wall())
        await self.holder.on_crash_report("", CrashReport(1, "demo", (crash,), permit))

    async def test_one_runs_at_a_time_until_one_has_ended(self) -> None:
        self.assertEqual([await self.ask(one) for one in "aab"], ["granted", "granted", "busy"])
        self.holder.release(PermitReleaseNotice(1, "a", "v", finished=True))
        self.assertEqual([await self.ask(one) for one in "cde"], ["granted"] * 3)
        others = [await self.ask(one, version="w") for one in "fg"]
        self.assertEqual(others, ["granted", "busy"])

    async def test_a_suspect_runs_alone_and_after_the_second_crash_not_at_all(self) -> None:
        await self.ask("a")
        await self.crash("a", "engine-1")
        self.assertEqual([await self.ask("b"), await self.ask("c")], ["granted", "busy"])
        await self.crash("b", "engine-2")
        self.assertEqual(await self.ask("c"), Verdict.QUARANTINED)

    async def test_what_ran_well_before_is_a_suspect_after_a_crash(self) -> None:
        self.holder.release(PermitReleaseNotice(1, "a", "v", finished=True))
        await self.ask("a")
        self.holder.release(PermitReleaseNotice(1, "a", "v", finished=True))
        await self.crash("b", "engine-1")
        self.assertEqual([await self.ask("c"), await self.ask("d")], ["granted", "busy"])

    async def test_a_quarantine_ends(self) -> None:
        for permit in "ab":
            await self.ask(permit)
            await self.crash(permit, f"engine-{permit}")
        await self.clock.advance(CRASH_TTL_MS - 1_000)
        self.assertEqual(await self.ask("c"), Verdict.QUARANTINED)
        await self.clock.advance(2_000)
        self.assertEqual(await self.ask("c"), Verdict.GRANTED)
        self.assertEqual(self.holder.suspects(), {})

    async def test_permits_of_a_crashed_instance_are_forgotten(self) -> None:
        await self.ask("a")
        self.assertEqual(await self.ask("b"), Verdict.BUSY)
        await self.clock.advance(PERMIT_TTL_MS + 1)
        self.assertEqual(await self.ask("b"), Verdict.GRANTED)

    def test_the_fingerprint_is_of_the_content_and_account(self) -> None:
        first = compute_fingerprint(make_request(1))
        self.assertEqual(first, compute_fingerprint(make_request(2)))
        self.assertNotEqual(first, compute_fingerprint(make_request(1, "other")))
        self.assertNotEqual(first, compute_fingerprint(make_request(1, account="other")))


class GuardTest(unittest.IsolatedAsyncioTestCase):
    """Five instances, and endpoints that each crash on the content."""

    async def asyncSetUp(self) -> None:
        self.nodes = Nodes()
        self.addAsyncCleanup(self.nodes.stop)
        await self.nodes.start(5)
        self.crashed: list[str] = []
        self.running = asyncio.Event()
        self.guards_by_id = {
            node.id: Quarantine(
                link=node.link,
                members=node.get_members,
                http=node.http,
                clock=self.nodes.clock,
                rng=random.Random(node.id),
            )
            for node in self.nodes.nodes_by_id.values()
        }
        self.ranked = rank(str(compute_fingerprint(make_request(0))), self.nodes.nodes_by_id)

    async def send(self, node_id: str, number: int) -> str:
        """Sends the content from one instance; returns the code of its end."""
        endpoint = Endpoint(f"engine-{number}", "127.0.0.1:1", "dc-0")
        try:
            async with self.guards_by_id[node_id].guard(make_request(number), "v", endpoint):
                self.running.set()
                await asyncio.sleep(0.03)
                self.crashed.append(endpoint.id)
                raise EndpointError() from ConnectionFailedError()
        except MastickeelError as error:
            return error.code

    async def send_everywhere(self, times: int) -> list[str]:
        ids = [one for one in self.guards_by_id if not self.nodes.nodes_by_id[one].is_dead]
        sends = [self.send(ids[n % len(ids)], n) for n in range(times)]
        return await asyncio.gather(*sends)

    async def test_sent_at_once_through_all_instances_it_crashes_two(self) -> None:
        with patch.object(guard_module, "BUSY_LIMIT_MS", 60_000):
            codes = await self.send_everywhere(15)
        self.assertEqual(len(self.crashed), 2)
        self.assertEqual(codes.count("quarantined"), 13)

    async def test_when_a_holder_goes_between_the_crashes_the_count_goes_on(self) -> None:
        await self.send(self.ranked[4], 0)
        await self.nodes.kill(self.nodes.nodes_by_id[self.ranked[0]])
        await self.send_everywhere(8)
        self.assertEqual(len(self.crashed), 2)

    async def test_when_a_holder_goes_silent_under_running_sends_the_count_goes_on(self) -> None:
        first = asyncio.ensure_future(self.send(self.ranked[4], 100))
        await self.running.wait()
        self.nodes.partitioned_ids.add(self.ranked[0])
        await asyncio.gather(first, *(self.send(one, n) for n, one in enumerate(self.ranked[1:])))
        self.assertEqual(len(self.crashed), 2)

    async def test_a_new_holder_is_told_of_crashes(self) -> None:
        with patch.object(guard_module, "CRASH_COPIES", 2):
            await self.send(self.ranked[0], 0)
        for node_id in self.ranked[:2]:
            guard = self.guards_by_id[node_id]
            self.assertEqual(len(guard.replica.suspects()), 1)
        await self.nodes.kill(self.nodes.nodes_by_id[self.ranked[0]])
        await self.guards_by_id[self.ranked[1]].send_known_crashes()
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.guards_by_id[self.ranked[2]].replica.suspects()), 1)

    async def test_an_instance_cut_off_from_all_others_sends_nothing_unproven(self) -> None:
        self.nodes.partitioned_ids.add("node-3")
        self.assertEqual(await self.send("node-3", 0), "unavailable")
        self.assertEqual(self.crashed, [])

    async def test_a_crash_that_cannot_be_told_keeps_its_permit_in_the_count(self) -> None:
        sending = asyncio.ensure_future(self.send(self.ranked[4], 100))
        await self.running.wait()
        self.nodes.partitioned_ids.add(self.ranked[4])
        await sending
        self.nodes.partitioned_ids.clear()
        with patch.object(guard_module, "BUSY_LIMIT_MS", 300):
            codes = [await self.send(one, n) for n, one in enumerate(self.ranked[:2])]
        self.assertEqual((codes, len(self.crashed)), (["unavailable"] * 2, 1))

    async def test_two_holders_that_know_of_one_crash_each_refuse_together(self) -> None:
        for number, node_id in enumerate(self.ranked[:2]):
            crash = Crash(f"engine-{number}", self.nodes.clock.wall())
            report = CrashReport(compute_fingerprint(make_request(0)), "demo", (crash,))
            await self.guards_by_id[node_id].replica.on_crash_report("", report)
        self.assertEqual(await self.send(self.ranked[4], 1), "quarantined")

    async def test_cleared_it_may_run_again(self) -> None:
        await self.send_everywhere(4)
        fingerprint = self.guards_by_id[self.ranked[0]].table().rows[0][0]
        await self.guards_by_id["node-1"].clear(fingerprint, "root")
        self.assertEqual(await self.send("node-2", 9), "endpoint_failed")


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    """Three routers before five engines that crash on a text."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(routers=3, engines=5)
        for engine in self.fleet.engines:
            engine.faults.crash_on = "poison"
            engine.faults.restart_ms = 300

    def crashes(self) -> int:
        return sum(engine.crashes for engine in self.fleet.engines)

    async def test_two_engines_crash_and_then_every_router_refuses(self) -> None:
        await asyncio.gather(*(self.fleet.chat("poison", router=n % 3) for n in range(9)))
        self.assertEqual(self.crashes(), 2)
        await asyncio.sleep(0.4)
        for router in range(3):
            answer = await self.fleet.chat("poison", router=router)
            problem = read_json(answer)
            self.assertEqual((answer.status, problem["code"]), (422, QuarantinedError.code))
            self.assertEqual(problem["ran"], "no")
            self.assertGreater(int(answer.headers["Retry-After"]), 60)
        self.assertEqual(self.crashes(), 2)

    async def test_the_same_content_many_times_runs_when_it_is_good(self) -> None:
        answers = await asyncio.gather(*(self.fleet.chat("same", router=n % 3) for n in range(12)))
        self.assertEqual({one.status for one in answers}, {200})

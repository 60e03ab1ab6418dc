"""A content crashes at most two endpoints, however many instances send it."""

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
from mastickeel_router.quarantine import guard as guard_module
from mastickeel_router.quarantine.fingerprints import compute_fingerprint
from mastickeel_router.quarantine.guard import Quarantine, QuarantinedError
from mastickeel_router.quarantine.replica import (
    CRASH_TTL_MS,
    PERMIT_TTL_MS,
    PROOF_TTL_MS,
    Crash,
    CrashReport,
    PermitReleaseNotice,
    PermitReply,
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


class ReplicaTest(unittest.IsolatedAsyncioTestCase):
    """A single replica."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.replica = QuarantineReplica(self.clock)

    async def request_permit(self, permit: str, version: str = "v") -> Verdict:
        request = PermitRequest(1, "demo", permit, version)
        return (await self.replica.on_permit_request("", request)).verdict

    async def report_crash(self, permit: str, endpoint: str) -> None:
        crash = Crash(endpoint, self.clock.wall())
        await self.replica.on_crash_report("", CrashReport(1, "demo", (crash,), permit))

    async def test_unproven_content_runs_once_at_a_time_until_it_completes(self) -> None:
        self.assertEqual(
            [await self.request_permit(permit) for permit in "aab"], ["granted", "granted", "busy"]
        )
        self.replica.release(PermitReleaseNotice(1, "a", "v", finished=True))
        self.assertEqual([await self.request_permit(permit) for permit in "cde"], ["granted"] * 3)
        others = [await self.request_permit(permit, version="w") for permit in "fg"]
        self.assertEqual(others, ["granted", "busy"])

    async def test_suspect_runs_once_at_a_time_and_is_refused_after_the_second_crash(self) -> None:
        await self.request_permit("a")
        await self.report_crash("a", "engine-1")
        self.assertEqual(
            [await self.request_permit("b"), await self.request_permit("c")], ["granted", "busy"]
        )
        await self.report_crash("b", "engine-2")
        self.assertEqual(await self.request_permit("c"), Verdict.QUARANTINED)

    async def test_proven_content_is_a_suspect_after_a_crash(self) -> None:
        self.replica.release(PermitReleaseNotice(1, "a", "v", finished=True))
        await self.request_permit("a")
        self.replica.release(PermitReleaseNotice(1, "a", "v", finished=True))
        await self.report_crash("b", "engine-1")
        self.assertEqual(
            [await self.request_permit("c"), await self.request_permit("d")], ["granted", "busy"]
        )

    async def test_completed_content_keeps_its_proof_and_no_state(self) -> None:
        await self.request_permit("a")
        self.replica.release(PermitReleaseNotice(1, "a", "v", finished=True))
        self.assertEqual(self.replica.states_by_fingerprint, {})
        await self.clock.advance(PROOF_TTL_MS - 1)
        self.assertEqual(await self.request_permit("b"), Verdict.GRANTED)
        self.replica.release(PermitReleaseNotice(1, "b", "v", finished=True))
        await self.clock.advance(PROOF_TTL_MS - 1)
        self.assertEqual(
            [await self.request_permit(permit) for permit in "cd"], [Verdict.GRANTED] * 2
        )
        await self.clock.advance(1)
        self.assertEqual(
            [await self.request_permit(permit) for permit in "ef"], [Verdict.GRANTED, Verdict.BUSY]
        )

    async def test_run_that_completes_after_a_crash_proves_nothing(self) -> None:
        for permit in "ab":
            await self.request_permit("a")
            self.replica.release(PermitReleaseNotice(1, permit, "v", finished=True))
        await self.report_crash("b", "engine-1")
        self.replica.release(PermitReleaseNotice(1, "a", "v", finished=True))
        self.assertFalse(self.replica.is_proven(1, "v"))

    async def test_quarantine_expires(self) -> None:
        for permit in "ab":
            await self.request_permit(permit)
            await self.report_crash(permit, f"engine-{permit}")
        await self.clock.advance(CRASH_TTL_MS - 1_000)
        self.assertEqual(await self.request_permit("c"), Verdict.QUARANTINED)
        await self.clock.advance(2_000)
        self.assertEqual(await self.request_permit("c"), Verdict.GRANTED)
        self.assertEqual(self.replica.suspects(), {})

    async def test_permits_of_a_crashed_instance_expire(self) -> None:
        await self.request_permit("a")
        self.assertEqual(await self.request_permit("b"), Verdict.BUSY)
        await self.clock.advance(PERMIT_TTL_MS + 1)
        self.assertEqual(await self.request_permit("b"), Verdict.GRANTED)

    def test_fingerprint_depends_on_content_and_account(self) -> None:
        first = compute_fingerprint(make_request(1))
        self.assertEqual(first, compute_fingerprint(make_request(2)))
        self.assertNotEqual(first, compute_fingerprint(make_request(1, "other")))
        self.assertNotEqual(first, compute_fingerprint(make_request(1, account="other")))


class GuardTest(unittest.IsolatedAsyncioTestCase):
    """Five instances, and endpoints that all crash on the same content."""

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
        for guard in self.guards_by_id.values():
            guard.observe_members()
        self.ranked = rank(str(compute_fingerprint(make_request(0))), self.nodes.nodes_by_id)

    async def send(self, node_id: str, number: int) -> str:
        """Sends the content from one instance; returns the error code."""
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
        ids = [
            node_id for node_id in self.guards_by_id if not self.nodes.nodes_by_id[node_id].is_dead
        ]
        sends = [self.send(ids[n % len(ids)], n) for n in range(times)]
        return await asyncio.gather(*sends)

    async def test_concurrent_sends_from_all_instances_crash_two_endpoints(self) -> None:
        with patch.object(guard_module, "BUSY_LIMIT_MS", 60_000):
            codes = await self.send_everywhere(15)
        self.assertEqual(len(self.crashed), 2)
        self.assertEqual(codes.count("quarantined"), 13)

    async def test_crash_count_survives_a_replica_killed_between_crashes(self) -> None:
        await self.send(self.ranked[4], 0)
        await self.nodes.kill(self.nodes.nodes_by_id[self.ranked[0]])
        await self.send_everywhere(8)
        self.assertEqual(len(self.crashed), 2)

    async def test_crash_count_survives_a_replica_cut_off_during_sends(self) -> None:
        first = asyncio.ensure_future(self.send(self.ranked[4], 100))
        await self.running.wait()
        self.nodes.partitioned_ids.add(self.ranked[0])
        await asyncio.gather(
            first, *(self.send(node_id, n) for n, node_id in enumerate(self.ranked[1:]))
        )
        self.assertEqual(len(self.crashed), 2)

    async def test_new_replica_receives_known_crashes(self) -> None:
        with patch.object(guard_module, "CRASH_COPIES", 2):
            await self.send(self.ranked[0], 0)
        for node_id in self.ranked[:2]:
            guard = self.guards_by_id[node_id]
            self.assertEqual(len(guard.replica.suspects()), 1)
        await self.nodes.kill(self.nodes.nodes_by_id[self.ranked[0]])
        await self.guards_by_id[self.ranked[1]].send_known_crashes()
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.guards_by_id[self.ranked[2]].replica.suspects()), 1)

    async def test_isolated_instance_sends_no_unproven_content(self) -> None:
        self.nodes.partitioned_ids.add("node-3")
        self.assertEqual(await self.send("node-3", 0), "unavailable")
        self.assertEqual(self.crashed, [])

    async def test_permit_of_an_unreported_crash_stays_counted(self) -> None:
        """The instance is cut off when its endpoint crashes, so no replica gets the report."""
        sending = asyncio.ensure_future(self.send(self.ranked[4], 100))
        await self.running.wait()
        self.nodes.partitioned_ids.add(self.ranked[4])
        await sending
        self.nodes.partitioned_ids.clear()
        with patch.object(guard_module, "BUSY_LIMIT_MS", 300):
            codes = [await self.send(node_id, n) for n, node_id in enumerate(self.ranked[:2])]
        self.assertEqual((codes, len(self.crashed)), (["unavailable"] * 2, 1))

    async def test_send_of_a_killed_instance_is_forgotten_when_its_replicas_are_lost(self) -> None:
        """The send crashes its endpoint; two replicas are killed and the third one is cut off."""
        sending = asyncio.ensure_future(self.send(self.ranked[0], 100))
        await self.running.wait()
        self.nodes.partitioned_ids.add(self.ranked[2])
        for node_id in self.ranked[:2]:
            await self.nodes.kill(self.nodes.nodes_by_id[node_id])
        for number in range(3):
            await asyncio.gather(*(self.send(peer, number) for peer in self.ranked[3:]))
        await sending
        self.assertLessEqual(len(self.crashed), 2)

    async def check_copied_permit(self, holder_id: str, copier_id: str) -> None:
        """Checks that a permit counts at the new replicas once two are lost, until released."""
        sending = asyncio.ensure_future(self.send(holder_id, 100))
        await self.running.wait()
        for node_id in self.ranked[:2]:
            await self.nodes.kill(self.nodes.nodes_by_id[node_id])
        await self.guards_by_id[copier_id].copy_permits()
        with (
            patch.object(guard_module, "DEPARTURE_HOLD_MS", 0),
            patch.object(guard_module, "BUSY_LIMIT_MS", 0),
        ):
            self.assertEqual(await self.send(self.ranked[3], 1), "unavailable")
        await sending
        self.assertEqual(self.crashed, ["engine-100"])

    async def test_permit_of_a_running_send_is_lost_with_two_replicas(self) -> None:
        await self.check_copied_permit(holder_id=self.ranked[4], copier_id=self.ranked[4])
        with patch.object(guard_module, "DEPARTURE_HOLD_MS", 0):
            self.assertEqual(await self.send(self.ranked[3], 2), "endpoint_failed")
        self.assertEqual(len(self.crashed), 2)

    async def test_permit_of_a_killed_instance_is_lost_with_two_replicas(self) -> None:
        await self.check_copied_permit(holder_id=self.ranked[0], copier_id=self.ranked[2])

    async def test_second_of_two_sends_under_one_id_fails_in_the_guard(self) -> None:
        # Callers choose the ids of their requests.
        codes = await asyncio.gather(*(self.send(self.ranked[4], 1) for _ in range(2)))
        self.assertEqual(codes, ["endpoint_failed"] * 2)

    async def test_permit_that_is_granted_late_is_released(self) -> None:
        late_replica = self.guards_by_id[self.ranked[0]].replica
        answer = late_replica.on_permit_request

        async def answer_late(sender: str, request: PermitRequest) -> PermitReply:
            reply = await answer(sender, request)
            await asyncio.sleep(2 * guard_module.REQUEST_TIMEOUT_MS / 1_000)
            return reply

        link = self.nodes.nodes_by_id[self.ranked[0]].link
        link.register_handler(PermitRequest, answer_late)
        endpoint = Endpoint("engine-0", "127.0.0.1:1", "dc-0")
        async with self.guards_by_id[self.ranked[4]].guard(make_request(0), "v", endpoint):
            pass
        await asyncio.sleep(0.1)
        self.assertEqual(late_replica.states_by_fingerprint, {})
        self.assertTrue(late_replica.is_proven(compute_fingerprint(make_request(0)), "v"))

    async def test_two_replicas_with_one_different_crash_each_refuse_together(self) -> None:
        for number, node_id in enumerate(self.ranked[:2]):
            crash = Crash(f"engine-{number}", self.nodes.clock.wall())
            report = CrashReport(compute_fingerprint(make_request(0)), "demo", (crash,))
            await self.guards_by_id[node_id].replica.on_crash_report("", report)
        self.assertEqual(await self.send(self.ranked[4], 1), "quarantined")

    async def test_cleared_content_may_run_again(self) -> None:
        await self.send_everywhere(4)
        fingerprint = self.guards_by_id[self.ranked[0]].table().rows[0][0]
        await self.guards_by_id["node-1"].clear(fingerprint, "root")
        self.assertEqual(await self.send("node-2", 9), "endpoint_failed")


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    """Three routers with five engines that crash on a certain text."""

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

    async def test_harmless_content_runs_many_times(self) -> None:
        answers = await asyncio.gather(*(self.fleet.chat("same", router=n % 3) for n in range(12)))
        self.assertEqual({answer.status for answer in answers}, {200})

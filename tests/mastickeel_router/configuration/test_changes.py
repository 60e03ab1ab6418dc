"""A change is applied on every instance or on none, for each fault at each step of the change."""

from __future__ import annotations

import asyncio
import base64
import unittest
from typing import Any

from bench.fleets.control_fleet import PREFIX, ControlFleet, first_delta, restore, withdraw
from mastickeel.changes import AuditRecord, decode
from mastickeel.errors import MastickeelError, StoreOutcomeUnknownError
from mastickeel.httpmessages import ExchangeBrokenError
from mastickeel.model import Account, Delta
from mastickeel_router.configuration import ChangeConflictError, ChangeRefusedError

FAULT_MS = 14_000
"""Duration of a pause or disconnection of the coordinator."""
SETTLED_MS = 32_000
"""Time from the start of a change by which all instances must agree."""


def step_of(body: dict[str, Any]) -> str:
    """Returns the step of a change that a transaction performs: stage, commit, undo or empty."""
    names = set()
    for operation in body.get("success") or []:
        for kind, request in operation.items():
            key = base64.b64decode(request["key"]).decode().removeprefix(f"{PREFIX}/config/")
            names.add(f"{kind.removeprefix('request_')} {key.partition('/')[0]}")
    if "put head" not in names:
        return ""
    if "put staged" in names:
        return "stage"
    return "commit" if names & {"put log", "put roster"} else "undo"


class ChangeTest(unittest.IsolatedAsyncioTestCase):
    """Changes by operators in a fleet of four instances.

    Guards against an answer that does not match the outcome, and against work that only one of the
    two configurations allows while a change is staged.
    """

    async def asyncSetUp(self) -> None:
        self.fleet = ControlFleet(seed=7)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(4)

    async def test_change_is_in_force_everywhere_when_it_is_accepted(self) -> None:
        await self.fleet.commit("i-2", withdraw("small@1"), base=1)
        self.assertFalse(
            any(self.fleet.admits(instance_id, "small@1") for instance_id in self.fleet.nodes_by_id)
        )
        await self.fleet.advance(300)
        self.assertEqual(set(self.fleet.revisions().values()), {2})

    async def test_staged_change_admits_only_what_both_allow(self) -> None:
        both = Delta(
            accounts=(Account("town", allowed=("large@1",)), Account("port", allowed=("small@1",))),
        )
        released = asyncio.Event()
        self.disconnect_peers_until("i-4", released)
        task = asyncio.ensure_future(self.fleet.committing("i-1", both, base=1))
        await self.fleet.advance(200)
        for instance_id in ("i-1", "i-2", "i-3"):
            admitted = [
                self.fleet.admits(instance_id, v) for v in ("small@1", "small@2", "large@1")
            ]
            self.assertEqual(admitted, [False, False, True])
            self.assertFalse(self.fleet.admits(instance_id, "small@1", "port"))
        self.assertFalse(task.done())
        released.set()
        await self.fleet.until(task)
        self.assertTrue(self.fleet.admits("i-1", "small@1", "port"))

    def disconnect_peers_until(self, instance_id: str, released: asyncio.Event) -> None:
        """Disconnects an instance from its peers until an event is set, and silences all watches.

        The instance can still read the store.
        """
        self.fleet.network.allow = lambda a, b: instance_id not in (a, b) or released.is_set()
        self.fleet.store.faults.silent_watches = True

    async def test_operators_at_the_same_moment_get_one_winner(self) -> None:
        tasks = [
            asyncio.ensure_future(self.fleet.committing(f"i-{n}", withdraw("small@1"), base=1))
            for n in (1, 2, 3, 4)
        ]
        await self.fleet.until(asyncio.wait(tasks))
        outcomes = [task.exception() for task in tasks]
        self.assertEqual(outcomes.count(None), 1)
        refused = [error for error in outcomes if error]
        self.assertTrue(all(isinstance(error, ChangeConflictError) for error in refused))
        self.assertEqual(await self.fleet.commit("i-3", restore("small@1"), base=2), 3)

    async def test_refusal_names_missing_instances_and_is_audited(self) -> None:
        self.fleet.cut_peers("i-1")
        with self.assertRaises(ChangeRefusedError) as caught:
            await self.fleet.commit("i-1", withdraw("small@1"), base=1, text="withdraw it")
        for instance_id in ("i-2", "i-3", "i-4"):
            self.assertIn(instance_id, caught.exception.detail)
        self.fleet.cut_peers()
        await self.fleet.advance(3_000)
        self.assertTrue(
            all(self.fleet.admits(instance_id, "small@1") for instance_id in self.fleet.nodes_by_id)
        )
        found = self.fleet.store.state.select(
            f"{PREFIX}/audit/".encode(), f"{PREFIX}/audit0".encode(), 0
        )
        records = [decode(item.value, AuditRecord) for item in found]
        self.assertEqual(
            [(record.author, record.text) for record in records], [("operator", "withdraw it")]
        )

    async def test_commit_found_by_reading_back_is_not_reported_as_refused(self) -> None:
        """The reply to the commit is lost, and the store fails after the outcome was read back."""
        lost = []

        def hook(when: str, body: dict[str, Any]) -> None:
            steps = body.get("success") or []
            is_reading_back = len(steps) == 3 and all(
                "request_range" in operation for operation in steps
            )
            if when == "after" and step_of(body) == "commit":
                lost.append(body)
                raise ExchangeBrokenError("lost")
            if lost and not is_reading_back:
                raise ExchangeBrokenError("out")

        self.fleet.nodes_by_id["i-1"].store.on_call = hook
        self.assertEqual(await self.fleet.commit("i-1", withdraw("small@1"), base=1), 2)
        self.assertEqual(len(lost), 1)

    async def test_condition_that_does_not_hold_stops_the_change(self) -> None:
        from mastickeel.keyvalue import Compare

        writer = self.fleet.nodes_by_id["i-1"].control.writer
        missing = Compare(f"{PREFIX}/duties/none", "VERSION", 1)
        commit = writer.commit(
            withdraw("small@1"), base=1, author="x", text="", conditions=(missing,)
        )
        with self.assertRaises(ChangeConflictError):
            await self.fleet.until(commit)
        self.assertTrue(self.fleet.admits("i-2", "small@1"))


class FaultTest(unittest.IsolatedAsyncioTestCase):
    """The coordinator fails at each write of a change, before or after the write takes effect.

    Guards against a change that stays staged, is in force on some instances only, or is reported as
    refused although it was made.
    """

    async def test_fault_at_each_step(self) -> None:
        self.tasks: list[asyncio.Future[Any]] = []
        faults = (self.kill, self.pause, self.disconnect_store, self.lose_reply)
        for step in ("stage", "commit"):
            for moment in ("before", "after"):
                for fault in faults:
                    if moment == "before" and fault == self.lose_reply:
                        continue
                    with self.subTest(step=step, moment=moment, fault=fault.__name__):
                        await self.run_case(step, moment, fault)

    async def run_case(self, step: str, moment: str, fault: Any) -> None:
        """Makes a change with a fault at its coordinator, and checks the outcome.

        Once the change is accepted, no instance may admit work for the withdrawn version.
        """
        self.fleet = fleet = ControlFleet(seed=11)
        try:
            await fleet.start(4)
            self.inject(step, moment, fault)
            task = asyncio.ensure_future(fleet.committing("i-1", withdraw("small@1"), base=1))
            accepted_ms = None
            for _ in range(SETTLED_MS // 500):
                await fleet.advance(500)
                if task.done() and not task.cancelled() and not task.exception():
                    accepted_ms = accepted_ms or fleet.clock.now()
                if accepted_ms:
                    admitted = [
                        instance_id
                        for instance_id in fleet.nodes_by_id
                        if fleet.admits(instance_id, "small@1")
                    ]
                    self.assertEqual(admitted, [], "work on a withdrawn version")
            await self.check_end(task, accepted_ms is not None)
        finally:
            await fleet.stop()

    async def check_end(self, task: asyncio.Future[int], accepted: bool) -> None:
        """Checks that all instances agree, the answer was correct, and the next change succeeds."""
        fleet = self.fleet
        revisions = set(fleet.revisions().values())
        self.assertEqual(len(revisions), 1, fleet.revisions())
        revision = revisions.pop()
        error = task.exception() if task.done() and not task.cancelled() else None
        if accepted:
            self.assertEqual(revision, 2)
        elif error and not isinstance(error, StoreOutcomeUnknownError):
            self.assertEqual(revision, 1, f"{error!r}, though the change was made")
        states = [node.control.configuration for node in fleet.nodes_by_id.values()]
        self.assertTrue(all(state.head_state.head.stage is None for state in states))
        self.assertTrue(all(fleet.is_fresh(instance_id) for instance_id in fleet.nodes_by_id))
        expected = revision == 1
        self.assertTrue(
            all(
                fleet.admits(instance_id, "small@1") is expected
                for instance_id in fleet.nodes_by_id
            )
        )
        self.assertEqual(await fleet.commit("i-3", first_delta(), base=revision), revision + 1)

    def inject(self, step: str, moment: str, fault: Any) -> None:
        """Injects a fault once, before or after a step of the coordinator."""
        done = []

        def hook(when: str, body: dict[str, Any]) -> None:
            if not done and when == moment and step_of(body) == step:
                done.append(step)
                fault(moment)

        self.fleet.nodes_by_id["i-1"].store.on_call = hook

    def kill(self, moment: str) -> None:
        self.tasks.append(asyncio.ensure_future(self.fleet.kill("i-1")))
        if moment == "before":
            raise ExchangeBrokenError("killed")

    def pause(self, moment: str) -> None:
        clock = self.fleet.nodes_by_id["i-1"].clock
        clock.pause()
        self.tasks.append(asyncio.ensure_future(self.run_after_fault(clock.resume)))

    def disconnect_store(self, moment: str) -> None:
        self.fleet.cut_store("i-1")
        self.tasks.append(asyncio.ensure_future(self.run_after_fault(self.fleet.cut_store)))
        if moment == "before":
            raise ExchangeBrokenError("cut")

    def lose_reply(self, moment: str) -> None:
        raise ExchangeBrokenError("lost")

    async def run_after_fault(self, work: Any) -> None:
        await self.fleet.clock.sleep(FAULT_MS)
        work()


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """A roster so large that stage requests go through relays.

    Members behind a crashed relay must still acknowledge, by direct requests.
    """

    async def test_crashed_relay_does_not_delay_the_change(self) -> None:
        fleet = ControlFleet(seed=6)
        self.addAsyncCleanup(fleet.stop)
        await fleet.start(20)
        await fleet.kill("i-10")
        began_ms = fleet.clock.now()
        await fleet.commit("i-7", withdraw("small@1"), base=1)
        self.assertLess(fleet.clock.now() - began_ms, 5_000)
        self.assertFalse(
            any(fleet.admits(instance_id, "small@1") for instance_id in fleet.nodes_by_id)
        )
        await fleet.advance(500)
        self.assertEqual(set(fleet.revisions().values()), {2})


class LargeChangeTest(unittest.IsolatedAsyncioTestCase):
    """The size limit of a single change."""

    async def test_change_over_the_limit_is_refused_before_anything_is_written(self) -> None:
        fleet = ControlFleet(seed=3)
        self.addAsyncCleanup(fleet.stop)
        await fleet.start(1)
        hashes = tuple(f"{n:064x}" for n in range(12_000))
        with self.assertRaises(MastickeelError) as caught:
            await fleet.commit("i-1", Delta(accounts=(Account("town", hashes),)), base=1)
        self.assertIn("limit", caught.exception.detail)
        self.assertEqual(fleet.revisions(), {"i-1": 1})

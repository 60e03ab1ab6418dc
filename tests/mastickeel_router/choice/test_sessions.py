"""Sessions keep their version across instances, and only a withdrawal moves them."""

from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel.clock import FakeClock
from mastickeel.metrics import Metrics
from mastickeel.model import Account, Configuration, Version, VersionState, View
from mastickeel.rendezvous import rank
from mastickeel_router.choice import Chooser, Learner, Sessions
from mastickeel_router.choice.sessions import MOVED_HEADER, TOKEN_HEADER, record_key
from mastickeel_router.requests import ChatRequest
from mastickeel_standins.links import LinkHub
from tests.fleet import Fleet

if TYPE_CHECKING:
    from collections.abc import Sequence

    from mastickeel_router.choice import Plan

OLD, NEW, OTHER = "scribe@1", "scribe@2", "scribe@3"


class DrawingInstance:
    """An instance that gives each new session a version of its own liking."""

    def __init__(self, hub: LinkHub, name: str, prefers: str) -> None:
        self.name = name
        link = hub.add(name)
        self.sessions = Sessions(
            link, Metrics(), "secret", lambda key: rank(key, hub.links_by_id)  # type: ignore[arg-type]
        )
        self.chooser = Chooser(hub.clock, Learner(), None, self.sessions, self)
        self._prefers = prefers

    def narrow(self, versions: list[Version], view: View) -> list[Version]:
        preferred = [version for version in versions if version.id == self._prefers]
        return preferred or versions[:1]

    def substitute(
        self, request: ChatRequest, version_ids: tuple[str, ...], view: View
    ) -> tuple[str, ...]:
        return version_ids

    def finish(self, request_id: str) -> None:
        """Does nothing."""

    def on_answer_submitted(self, account_id: str, version_id: str) -> None:
        """Does nothing."""


def make_view(withdrawn: Sequence[str] = (), revision: int = 1) -> View:
    """Returns a configuration with three versions."""
    versions = {
        one: Version(
            one,
            "scribe",
            "pool",
            VersionState.WITHDRAWN if one in withdrawn else VersionState.LIVE,
        )
        for one in (OLD, NEW, OTHER)
    }
    accounts = {name: Account(name, allowed=("scribe",)) for name in ("pilot", "clerk")}
    return View(Configuration(revision, accounts, versions))


def ask(session: str, number: int = 0, account: str = "pilot") -> ChatRequest:
    """Returns a request of a session."""
    return ChatRequest(f"r{number}", account, "scribe", {}, False, 0, session=session)


class SessionTest(unittest.IsolatedAsyncioTestCase):
    """Five instances that would each choose differently."""

    async def asyncSetUp(self) -> None:
        self.hub = LinkHub(FakeClock())
        liking = (OLD, NEW, OTHER, OLD, NEW)
        self.instances = [
            DrawingInstance(self.hub, f"i{number}", liked) for number, liked in enumerate(liking)
        ]
        self.view = make_view()

    async def plan(self, instance: int, request: ChatRequest) -> Plan:
        return await self.instances[instance].chooser.plan(request, self.view)

    def withdraw(self, version_id: str) -> None:
        self.view = make_view(withdrawn=(version_id,), revision=2)
        for instance in self.instances:
            instance.sessions.forget({version_id})

    async def test_first_requests_at_once_on_all_instances_agree(self) -> None:
        for number in range(30):
            plans = await asyncio.gather(
                *(self.plan(one, ask(f"s{number}", one)) for one in range(5))
            )
            self.assertEqual(len({plan.first_step.version_id for plan in plans}), 1)

    async def test_record_survives_the_loss_of_one_keeper_while_another_is_paused(self) -> None:
        for number in range(20):
            request = ask(f"s{number}")
            key = record_key("pilot", f"s{number}", "scribe")
            ranked = rank(key, self.hub.links_by_id)
            held = (await self.plan(int(ranked[0][1:]), request)).first_step.version_id
            lost = self.hub.links_by_id.pop(ranked[0])
            self.hub.allow = lambda sender, receiver, paused=ranked[1]: (
                paused not in (sender, receiver)
            )
            asking = asyncio.ensure_future(self.plan(int(ranked[4][1:]), request))
            await self.hub.clock.advance(5_000)
            self.assertEqual((await asking).first_step.version_id, held)
            self.hub.links_by_id[ranked[0]] = lost
            self.hub.allow = lambda sender, receiver: True

    async def test_token_holds_anywhere_but_not_for_another_account(self) -> None:
        plan = await self.plan(2, ask("s1"))
        token = plan.headers[TOKEN_HEADER]
        self.hub.links_by_id.clear()
        self.assertEqual((await self.plan(0, ask(token))).first_step.version_id, OTHER)
        self.assertEqual((await self.plan(0, ask(token + "x"))).first_step.version_id, OLD)
        stranger = await self.plan(0, ask(token, account="clerk"))
        self.assertEqual(stranger.first_step.version_id, OLD)

    async def test_replacing_instances_one_by_one_moves_no_session(self) -> None:
        draws = random.Random(6)
        versions = {}
        for number in range(40):
            plan = await self.plan(draws.randrange(5), ask(f"s{number}"))
            versions[f"s{number}"] = plan.first_step.version_id
        for place in range(5):
            self.hub.remove(f"i{place}")
            self.instances[place] = DrawingInstance(self.hub, f"new-{place}", OTHER)
            for session, version_id in versions.items():
                plan = await self.plan(draws.randrange(5), ask(session))
                self.assertEqual(plan.first_step.version_id, version_id)
                self.assertNotIn(MOVED_HEADER, plan.headers)

    async def test_leaving_instance_hands_its_records_over(self) -> None:
        versions = {}
        for number in range(40):
            plan = await self.plan(number % 5, ask(f"s{number}"))
            versions[f"s{number}"] = plan.first_step.version_id
        for place in (0, 1):
            leaving = self.instances[place]
            link = self.hub.links_by_id.pop(leaving.name)
            await leaving.sessions.transfer_records()
            await asyncio.sleep(0.01)
            self.assertNotIn(link.instance_id, self.hub.links_by_id)
        self.instances = self.instances[2:] + [
            DrawingInstance(self.hub, f"new-{place}", OTHER) for place in (0, 1)
        ]
        for session, version_id in versions.items():
            plan = await self.plan(4, ask(session))
            self.assertEqual(plan.first_step.version_id, version_id)

    async def test_only_a_withdrawal_moves_a_session_and_the_caller_sees_it(self) -> None:
        before = await self.plan(1, ask("s1"))
        self.assertEqual(before.first_step.version_id, NEW)
        self.withdraw(NEW)
        moved = await self.plan(3, ask("s1"))
        self.assertEqual(moved.headers[MOVED_HEADER], f"{NEW} {moved.first_step.version_id}")
        self.view = make_view(revision=3)
        for instance in range(5):
            plan = await self.plan(instance, ask("s1"))
            self.assertEqual(plan.first_step.version_id, moved.first_step.version_id)

    async def test_moves_at_once_on_all_instances_agree(self) -> None:
        for instance in range(5):
            await self.plan(instance, ask("s1"))
        pinned = (await self.plan(0, ask("s1"))).first_step.version_id
        self.withdraw(pinned)
        plans = await asyncio.gather(*(self.plan(one, ask("s1", one)) for one in range(5)))
        self.assertEqual(len({plan.first_step.version_id for plan in plans}), 1)

    async def test_session_goes_on_when_no_keeper_answers(self) -> None:
        plan = await self.plan(0, ask("s1"))
        self.hub.allow = lambda sender, receiver: False
        again = await self.plan(0, ask("s1"))
        self.assertEqual(again.first_step.version_id, plan.first_step.version_id)
        self.assertEqual((await self.plan(0, ask("fresh"))).first_step.version_id, OLD)

    async def test_pin_never_leads_outside_the_allowance(self) -> None:
        token = (await self.plan(1, ask("s1"))).headers[TOKEN_HEADER]
        narrow = replace(self.view.committed.accounts_by_id["pilot"], allowed=(OLD,))
        accounts = {**self.view.committed.accounts_by_id, "pilot": narrow}
        staged = replace(self.view.committed, accounts_by_id=accounts)
        self.view = View(self.view.committed, staged)
        for session in ("s1", token):
            self.assertEqual((await self.plan(1, ask(session))).first_step.version_id, OLD)


class SessionOverHttpTest(unittest.IsolatedAsyncioTestCase):
    """Three routers, and a caller that meets each of them."""

    async def test_session_keeps_its_version_until_it_is_withdrawn(self) -> None:
        fleet = Fleet()
        self.addAsyncCleanup(fleet.stop)
        await fleet.start(routers=3)
        by_id = {"X-Session-Id": "clerk-1"}
        answers = [await fleet.chat(router=one, headers=by_id) for one in range(3)]
        versions = {answer.headers["X-Mastickeel-Version"] for answer in answers}
        self.assertEqual(versions, {"draft-small@1"})
        token = {TOKEN_HEADER: answers[0].headers[TOKEN_HEADER]}
        await fleet.command("withdraw version draft-small@1")
        for router in fleet.routers:
            await router.configuration.wait_for(2)
        moved = await fleet.chat(router=1, headers=token)
        self.assertEqual(moved.headers[MOVED_HEADER], "draft-small@1 draft-large@1")
        token = {TOKEN_HEADER: moved.headers[TOKEN_HEADER]}
        await fleet.command("restore version draft-small@1")
        for router in fleet.routers:
            await router.configuration.wait_for(3)
        for number, headers in enumerate((token, by_id, token)):
            answer = await fleet.chat(router=number, headers=headers)
            self.assertEqual(answer.headers["X-Mastickeel-Version"], "draft-large@1")
            self.assertNotIn(MOVED_HEADER, answer.headers)


if __name__ == "__main__":
    unittest.main()

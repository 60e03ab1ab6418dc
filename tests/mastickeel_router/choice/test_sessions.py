"""Sessions keep their version on all instances until the version may no longer be used."""

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


class BiasedInstance:
    """An instance that plans every new session on its preferred version."""

    def __init__(self, hub: LinkHub, name: str, preferred_id: str) -> None:
        self.name = name
        link = hub.add(name)
        self.sessions = Sessions(
            link, Metrics(), "secret", lambda key: rank(key, hub.links_by_id)  # type: ignore[arg-type]
        )
        self.chooser = Chooser(hub.clock, Learner(), None, self.sessions, self)
        self._preferred_id = preferred_id

    def filter_candidates(self, versions: list[Version], view: View) -> list[Version]:
        preferred = [version for version in versions if version.id == self._preferred_id]
        return preferred or versions[:1]

    def substitute(
        self, request: ChatRequest, version_ids: tuple[str, ...], view: View
    ) -> tuple[str, ...]:
        return version_ids

    def on_request_ended(self, request_id: str) -> None:
        """Does nothing."""

    def on_answer_submitted(self, account_id: str, version_id: str) -> None:
        """Does nothing."""


def make_view(withdrawn: Sequence[str] = (), revision: int = 1) -> View:
    """Returns a configuration with three versions."""
    versions = {
        version_id: Version(
            version_id,
            "scribe",
            "pool",
            VersionState.WITHDRAWN if version_id in withdrawn else VersionState.LIVE,
        )
        for version_id in (OLD, NEW, OTHER)
    }
    accounts = {name: Account(name, allowed=("scribe",)) for name in ("pilot", "clerk")}
    return View(Configuration(revision, accounts, versions))


def make_request(session: str, number: int = 0, account: str = "pilot") -> ChatRequest:
    """Returns a request of a session."""
    return ChatRequest(f"r{number}", account, "scribe", {}, False, 0, session=session)


class SessionTest(unittest.IsolatedAsyncioTestCase):
    """Five instances with different preferred versions."""

    async def asyncSetUp(self) -> None:
        self.hub = LinkHub(FakeClock())
        preferences = (OLD, NEW, OTHER, OLD, NEW)
        self.instances = [
            BiasedInstance(self.hub, f"i{number}", preferred_id)
            for number, preferred_id in enumerate(preferences)
        ]
        self.view = make_view()

    async def plan(self, instance: int, request: ChatRequest) -> Plan:
        return await self.instances[instance].chooser.plan(request, self.view)

    def withdraw(self, version_id: str) -> None:
        self.view = make_view(withdrawn=(version_id,), revision=2)
        for instance in self.instances:
            instance.sessions.drop_records({version_id})

    async def test_concurrent_first_requests_on_all_instances_get_one_version(self) -> None:
        for number in range(30):
            plans = await asyncio.gather(
                *(
                    self.plan(instance, make_request(f"s{number}", instance))
                    for instance in range(5)
                )
            )
            self.assertEqual(len({plan.first_step.version_id for plan in plans}), 1)

    async def test_record_survives_the_loss_of_one_holder_while_another_is_paused(self) -> None:
        for number in range(20):
            request = make_request(f"s{number}")
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

    async def test_token_is_valid_on_every_instance_but_not_for_another_account(self) -> None:
        plan = await self.plan(2, make_request("s1"))
        token = plan.headers[TOKEN_HEADER]
        self.hub.links_by_id.clear()
        self.assertEqual((await self.plan(0, make_request(token))).first_step.version_id, OTHER)
        self.assertEqual((await self.plan(0, make_request(token + "x"))).first_step.version_id, OLD)
        stranger = await self.plan(0, make_request(token, account="clerk"))
        self.assertEqual(stranger.first_step.version_id, OLD)

    async def test_replacing_instances_one_by_one_moves_no_session(self) -> None:
        rng = random.Random(6)
        versions = {}
        for number in range(40):
            plan = await self.plan(rng.randrange(5), make_request(f"s{number}"))
            versions[f"s{number}"] = plan.first_step.version_id
        for place in range(5):
            self.hub.remove(f"i{place}")
            self.instances[place] = BiasedInstance(self.hub, f"new-{place}", OTHER)
            for session, version_id in versions.items():
                plan = await self.plan(rng.randrange(5), make_request(session))
                self.assertEqual(plan.first_step.version_id, version_id)
                self.assertNotIn(MOVED_HEADER, plan.headers)

    async def test_leaving_instance_transfers_its_records(self) -> None:
        versions = {}
        for number in range(40):
            plan = await self.plan(number % 5, make_request(f"s{number}"))
            versions[f"s{number}"] = plan.first_step.version_id
        for place in (0, 1):
            leaving = self.instances[place]
            link = self.hub.links_by_id.pop(leaving.name)
            await leaving.sessions.transfer_records()
            await asyncio.sleep(0.01)
            self.assertNotIn(link.instance_id, self.hub.links_by_id)
        self.instances = self.instances[2:] + [
            BiasedInstance(self.hub, f"new-{place}", OTHER) for place in (0, 1)
        ]
        for session, version_id in versions.items():
            plan = await self.plan(4, make_request(session))
            self.assertEqual(plan.first_step.version_id, version_id)

    async def test_withdrawal_moves_a_session_and_the_answer_tells_the_caller(self) -> None:
        before = await self.plan(1, make_request("s1"))
        self.assertEqual(before.first_step.version_id, NEW)
        self.withdraw(NEW)
        moved = await self.plan(3, make_request("s1"))
        self.assertEqual(moved.headers[MOVED_HEADER], f"{NEW} {moved.first_step.version_id}")
        self.view = make_view(revision=3)
        for instance in range(5):
            plan = await self.plan(instance, make_request("s1"))
            self.assertEqual(plan.first_step.version_id, moved.first_step.version_id)

    async def test_concurrent_moves_on_all_instances_get_one_version(self) -> None:
        for instance in range(5):
            await self.plan(instance, make_request("s1"))
        pinned = (await self.plan(0, make_request("s1"))).first_step.version_id
        self.withdraw(pinned)
        plans = await asyncio.gather(
            *(self.plan(instance, make_request("s1", instance)) for instance in range(5))
        )
        self.assertEqual(len({plan.first_step.version_id for plan in plans}), 1)

    async def test_session_continues_when_no_holder_replies(self) -> None:
        plan = await self.plan(0, make_request("s1"))
        self.hub.allow = lambda sender, receiver: False
        again = await self.plan(0, make_request("s1"))
        self.assertEqual(again.first_step.version_id, plan.first_step.version_id)
        self.assertEqual((await self.plan(0, make_request("fresh"))).first_step.version_id, OLD)

    async def test_pin_to_a_version_that_is_not_allowed_is_ignored(self) -> None:
        token = (await self.plan(1, make_request("s1"))).headers[TOKEN_HEADER]
        narrow = replace(self.view.committed.accounts_by_id["pilot"], allowed=(OLD,))
        accounts = {**self.view.committed.accounts_by_id, "pilot": narrow}
        staged = replace(self.view.committed, accounts_by_id=accounts)
        self.view = View(self.view.committed, staged)
        for session in ("s1", token):
            self.assertEqual((await self.plan(1, make_request(session))).first_step.version_id, OLD)


class SessionOverHttpTest(unittest.IsolatedAsyncioTestCase):
    """A caller that sends the requests of a session to three routers in turn."""

    async def test_session_keeps_its_version_until_it_is_withdrawn(self) -> None:
        fleet = Fleet()
        self.addAsyncCleanup(fleet.stop)
        await fleet.start(routers=3)
        by_id = {"X-Session-Id": "clerk-1"}
        answers = [await fleet.chat(router=number, headers=by_id) for number in range(3)]
        versions = {answer.headers["X-Mastickeel-Version"] for answer in answers}
        self.assertEqual(versions, {"draft-small@1"})
        token = {TOKEN_HEADER: answers[0].headers[TOKEN_HEADER]}
        await fleet.command("withdraw version draft-small@1")
        for router in fleet.routers:
            await router.configuration.wait_for_revision(2)
        moved = await fleet.chat(router=1, headers=token)
        self.assertEqual(moved.headers[MOVED_HEADER], "draft-small@1 draft-large@1")
        token = {TOKEN_HEADER: moved.headers[TOKEN_HEADER]}
        await fleet.command("restore version draft-small@1")
        for router in fleet.routers:
            await router.configuration.wait_for_revision(3)
        for number, headers in enumerate((token, by_id, token)):
            answer = await fleet.chat(router=number, headers=headers)
            self.assertEqual(answer.headers["X-Mastickeel-Version"], "draft-large@1")
            self.assertNotIn(MOVED_HEADER, answer.headers)


if __name__ == "__main__":
    unittest.main()

"""The peers' link: only the fleet's keys get through, also while keys are changed."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass

from mastickeel.addresses import Address
from mastickeel.clock import Clock
from mastickeel.metrics import Metrics
from mastickeel.peers import PeerLink, PeerTimeoutError, generate_secret, message

LOOPBACK = Address("127.0.0.1", 0)


@message("tests.hello")
@dataclass(frozen=True)
class Hello:
    """A question and its reply."""

    text: str


class QuickClock(Clock):
    """Lets the time for which a silent key is tried pass sooner."""

    def now(self) -> int:
        return super().now() * 20


class CurveTest(unittest.IsolatedAsyncioTestCase):
    """Real sockets over loopback."""

    async def link(self, name: str, secret: str | None, other: str | None = None) -> PeerLink:
        link = PeerLink(
            name, clock=QuickClock(), metrics=Metrics(), secret=secret, other_secret=other
        )

        async def on_hello(sender: str, hello: Hello) -> Hello:
            self.heard.append((name, sender))
            return Hello(f"{name} heard {hello.text}")

        link.register_handler(Hello, on_hello)
        await link.bind(LOOPBACK)
        self.addAsyncCleanup(link.close)
        return link

    async def asyncSetUp(self) -> None:
        self.heard: list[tuple[str, str]] = []

    async def test_same_key_gets_through_and_a_wrong_one_or_none_does_not(self) -> None:
        secret = generate_secret()
        server = await self.link("server", secret)
        right = await self.link("right", secret)
        wrong = await self.link("wrong", generate_secret())
        plain = await self.link("plain", None)
        for one in (right, wrong, plain):
            one.connect("server", Address("127.0.0.1", server.port))
        reply = await right.request("server", Hello("x"), Hello)
        self.assertEqual(reply.text, "server heard x")
        for one in (wrong, plain):
            with self.assertRaises(PeerTimeoutError):
                await one.request("server", Hello("x"), Hello, 300)
        self.assertEqual(self.heard, [("server", "right")])

    async def test_keys_are_changed_one_instance_at_a_time(self) -> None:
        old, new = generate_secret(), generate_secret()
        before = await self.link("before", old)
        first = await self.link("first", old, new)
        second = await self.link("second", new, old)
        after = await self.link("after", new)
        for one, other in ((before, first), (first, second), (second, after)):
            await self.reach(one, other)
            await self.reach(other, one)
        after.connect("before", Address("127.0.0.1", before.port))
        with self.assertRaises(PeerTimeoutError):
            await after.request("before", Hello("x"), Hello, 300)

    async def reach(self, one: PeerLink, other: PeerLink) -> None:
        """Asks until the right key has been found."""
        one.connect(other.instance_id, Address("127.0.0.1", other.port))
        for _ in range(10):
            try:
                await one.request(other.instance_id, Hello("x"), Hello, 300)
            except PeerTimeoutError:
                await asyncio.sleep(0)
            else:
                return
        self.fail(f"{one.instance_id} never reached {other.instance_id}")

"""Answers without end, to many callers at once, at gateways on the smallest machines."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from typing import TYPE_CHECKING, Any

from tests.crowds import ORDINARY_S
from tests.mastickeel_platform.crowds import CrowdCase
from tests.mastickeel_platform.standins import request_bytes, route

if TYPE_CHECKING:
    from tests.crowds import Member
    from tests.mastickeel_platform.standins import Request

CALLERS = 100
"""Callers that wait for an answer which does not end."""
BLOCK_BYTES = 64 * 1024
HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Type: {type}\r\n\r\n"
FAILED = b"HTTP/1.1 50"
EVENTS = "text/event-stream"
BLOCKS_BY_KIND = {
    "event": (EVENTS, b"data: x\n" * (BLOCK_BYTES // 8)),
    "line": (EVENTS, b"x" * BLOCK_BYTES),
    "events": (EVENTS, b"data: x\n\n" * (BLOCK_BYTES // 9)),
    "body": ("text/plain", b"x" * BLOCK_BYTES),
}
"""Type and repeated block of each kind of answer that does not end."""


class AnswersCase(CrowdCase):
    """An endpoint whose answers, at paths that name a kind, do not end."""

    def make_configuration(self) -> dict[str, Any]:
        fields = super().make_configuration()
        fields["routes"].append(route("draft", "streaming"))
        return fields

    async def respond(self, request: Request, writer: asyncio.StreamWriter) -> None:
        kind = request.target.rpartition("/")[2]
        if kind not in BLOCKS_BY_KIND:
            await super().respond(request, writer)
            return
        content_type, block = BLOCKS_BY_KIND[kind]
        writer.write(HEAD.format(id=request.id, type=content_type).encode())
        while True:
            writer.write(block)
            await writer.drain()

    async def wait_for_endless(self, target: str) -> None:
        """Waits for answers that do not end as many callers, each until its request has failed."""
        numbers = itertools.count()

        async def press(member: Member) -> None:
            await member.send(request_bytes(target, f"e{next(numbers)}"))
            async with asyncio.timeout(ORDINARY_S):
                reply = await member.reader.readexactly(len(FAILED))
            self.assertEqual(reply, FAILED)

        await self.gather_crowd(self.callers_port, CALLERS, press)
        await self.check_process()


class SmallMachineTest(AnswersCase):
    """A machine of the smallest fleets."""

    limit_mb = 88

    async def test_event_without_end_at_a_plain_route(self) -> None:
        await self.wait_for_endless("/look/event")

    async def test_line_without_end_at_a_plain_route(self) -> None:
        await self.wait_for_endless("/look/line")

    async def test_events_without_end_at_a_plain_route(self) -> None:
        await self.wait_for_endless("/look/events")

    async def test_body_without_end(self) -> None:
        await self.wait_for_endless("/look/body")

    async def test_event_without_end_in_a_stream(self) -> None:
        await self.wait_for_endless("/draft/event")

    async def test_line_without_end_in_a_stream(self) -> None:
        await self.wait_for_endless("/draft/line")


class UsualMachineTest(SmallMachineTest):
    """A machine of the usual fleets."""

    limit_mb = 150


if __name__ == "__main__":
    unittest.main()

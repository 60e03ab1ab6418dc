"""Answers of engines without end, to many callers at once, end no router."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from mastickeel_standins import _engine_stream
from tests.crowds import ORDINARY_S
from tests.mastickeel_router.crowds import CHAT, PressCase, make_chat

if TYPE_CHECKING:
    from mastickeel_standins._engine_faults import EngineFaults
    from mastickeel_standins._engine_generation import Generation
    from mastickeel_standins._engine_http import Exchange
    from tests.crowds import Member

CALLERS = 100
"""Callers that wait for an answer which does not end."""
ENDLESS_PIECES = 7
"""Number of pieces that stands for an answer without end."""
LONG_PROMPT = "endless " * 40
SHORT_PROMPT_CHARACTERS = 100
BLOCK = b"data: x\n" * 8_192


def count_pieces(model: str, prompt_characters: int) -> int:
    """Returns the number of pieces in an answer."""
    return ENDLESS_PIECES if prompt_characters > SHORT_PROMPT_CHARACTERS else 2


class EndlessEventTest(PressCase):
    """Engines that answer the prompts of a crowd with an event that does not end."""

    engines = 4
    engine = {"tokens": count_pieces, "piece_ms": 0, "first_piece_ms": 0, "batch": CALLERS}

    def prepare(self) -> None:
        write_pieces = _engine_stream._write_pieces

        async def write(
            exchange: Exchange, generation: Generation, start: int, faults: EngineFaults
        ) -> None:
            if len(generation.pieces) != ENDLESS_PIECES:
                await write_pieces(exchange, generation, start, faults)
            while not exchange.closed.is_set() and len(generation.pieces) == ENDLESS_PIECES:
                await exchange.write(BLOCK)

        patching = patch.object(_engine_stream, "_write_pieces", write)
        patching.start()
        self.addCleanup(patching.stop)

    async def wait_for_endless(self, **fields: Any) -> None:
        """Waits for answers that do not end as many callers, each until its request has failed."""
        request = make_chat(LONG_PROMPT, **fields)
        data = self.head(CHAT, f"Content-Length: {len(request.body)}") + request.body

        async def press(member: Member) -> None:
            await member.send(data)
            async with asyncio.timeout(ORDINARY_S):
                await member.reader.readexactly(1)

        await self.gather_crowd(self.callers_port, CALLERS, press)
        await self.check_process()

    async def test_streamed_answers(self) -> None:
        await self.wait_for_endless(stream=True)

    async def test_collected_answers(self) -> None:
        await self.wait_for_endless(stream=False)

    async def test_answers_of_a_named_version(self) -> None:
        await self.wait_for_endless(stream=True, model="draft-large@1")


if __name__ == "__main__":
    unittest.main()

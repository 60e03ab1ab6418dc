"""Log lines never block: lines beyond the rate or the buffer are dropped and counted."""

from __future__ import annotations

import os
import unittest

from mastickeel.clock import FakeClock
from mastickeel.linestream import (
    BURST_LINES,
    MAX_LINES_PER_SECOND,
    MAX_PENDING_BYTES,
    LineStream,
)


class LineStreamTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.clock = FakeClock()
        self.stream = LineStream(self.writer, self.clock)

    async def asyncTearDown(self) -> None:
        os.close(self.reader)
        os.close(self.writer)

    def put(self, text: str) -> None:
        self.stream.write(text)
        self.stream.flush()

    def read(self) -> bytes:
        parts = []
        while True:
            try:
                parts.append(os.read(self.reader, 65_536))
            except BlockingIOError:
                return b"".join(parts)

    def test_lines_arrive(self) -> None:
        self.put("one\n")
        self.put("two\n")
        self.assertEqual(self.read(), b"one\ntwo\n")

    async def test_stopped_reader_does_not_block_and_memory_is_bounded(self) -> None:
        line = "x" * 999 + "\n"
        for _ in range(BURST_LINES):
            self.put(line)
        self.assertGreater(self.stream.dropped, 0)
        self.assertLessEqual(len(self.stream._pending), MAX_PENDING_BYTES + len(line))
        self.read()
        self.stream.flush()
        self.read()
        await self.clock.advance(1_000)
        for _ in range(20):
            self.put("after\n")
            self.read()
        self.put("last\n")
        self.assertIn(b"last\n", self.read())

    def test_routine_lines_are_dropped_before_failures(self) -> None:
        self.stream = LineStream(self.writer, self.clock, routine_markers=("served", "placed"))
        for _ in range(BURST_LINES):
            self.put("served\n")
            self.read()
        self.assertEqual(self.stream.dropped, BURST_LINES // 2)
        for _ in range(BURST_LINES // 2):
            self.put("failed\n")
            self.read()
        self.assertEqual(self.stream.dropped, BURST_LINES // 2)

    async def test_rate_is_limited_and_dropped_lines_are_reported(self) -> None:
        for _ in range(BURST_LINES + 50):
            self.put("a\n")
            self.read()
        self.assertEqual(self.stream.dropped, 50)
        await self.clock.advance(1_000)
        for _ in range(MAX_LINES_PER_SECOND + 7):
            self.put("b\n")
        self.assertEqual(self.stream.dropped, 57)
        self.assertIn(b'"total": 50', self.read())


if __name__ == "__main__":
    unittest.main()

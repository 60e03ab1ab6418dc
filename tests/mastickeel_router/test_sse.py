"""Splitting a byte stream into events, however it is cut and whatever ends its lines."""

from __future__ import annotations

import random
import unittest

from mastickeel.httpmessages import AnswerTooLargeError
from mastickeel_router.sse import MAX_EVENT_BYTES, EventSplitter, event_sequence


def split_all(data: bytes, cuts: list[int]) -> tuple[list[bytes], int]:
    """Splits data that arrives in chunks; returns the events and what is pending at the end."""
    splitter = EventSplitter()
    events: list[bytes] = []
    for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        events += splitter.split(data[start:end])
    return events + splitter.finish(), splitter.pending_bytes


class EventSequenceTest(unittest.TestCase):
    def test_number_that_is_too_long_ends_the_exchange(self) -> None:
        """Guards against streams that are lost for an odd id of one event."""
        for digits in (b"9" * 5_000, b"\xc2\xb2", b"-1", b""):
            self.assertIsNone(event_sequence(b"id: " + digits + b"\n\n"))


class EventSplitterTest(unittest.TestCase):
    def test_events_do_not_depend_on_chunks_or_line_ends(self) -> None:
        rng = random.Random(29)
        for line_end in (b"\n", b"\r\n", b"\r"):
            events = [
                line_end.join((b"id: %d" % number, b"data: x", b"", b"")) for number in range(4)
            ]
            data = b"".join(events)
            for _ in range(200):
                cuts = sorted(rng.choices(range(len(data) + 1), k=rng.randrange(8)))
                with self.subTest(line_end=line_end, cuts=cuts):
                    self.assertEqual(split_all(data, cuts), (events, 0))
            self.assertEqual([event_sequence(event) for event in events], [0, 1, 2, 3])

    def test_each_cut_inside_an_event_leaves_it_pending(self) -> None:
        for line_end in (b"\n", b"\r\n"):
            first, second = (line_end.join((b"id: %d" % n, b"data: x", b"", b"")) for n in (1, 2))
            for length in range(1, len(second) - len(line_end) + 1):
                with self.subTest(line_end=line_end, length=length):
                    self.assertEqual(split_all(first + second[:length], []), ([first], length))

    def test_event_that_is_given_up_holds_no_memory(self) -> None:
        """Also while the error that ends the stream keeps the splitter."""
        splitter = EventSplitter()
        empty_bytes = splitter.held_bytes
        with self.assertRaises(AnswerTooLargeError):
            while True:
                splitter.split(b"x" * 16_384)
        self.assertGreater(splitter.held_bytes, MAX_EVENT_BYTES)
        splitter.clear()
        self.assertEqual((splitter.held_bytes, splitter.pending_bytes), (empty_bytes, 0))
        self.assertEqual(splitter.split(b"id: 1\n\n"), [b"id: 1\n\n"])

    def test_comments_after_the_last_event_belong_to_no_event(self) -> None:
        self.assertEqual(
            split_all(b"data: x\n\n: end\n\n", []), ([b"data: x\n\n", b": end\n\n"], 0)
        )
        self.assertEqual(split_all(b"data: x\n\n: end\n", []), ([b"data: x\n\n", b": end\n"], 0))
        self.assertEqual(split_all(b"data: x\n\n: en", []), ([b"data: x\n\n"], 4))


if __name__ == "__main__":
    unittest.main()

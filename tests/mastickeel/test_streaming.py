"""Parsed answers do not depend on how their bytes are split; invalid answers are refused."""

from __future__ import annotations

import unittest

from mastickeel.httpclient import HEADER_LIMIT_BYTES
from mastickeel.streaming import _AnswerParser

CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: 1\r\n\r\n"
    b"5;note=x\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
)
SIZED = b"HTTP/1.1 503 Full\r\nContent-Length: 4\r\nX-A: 1\r\n\r\nbusy"
UNSIZED = b"HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nto the end"
CASES = ((CHUNKED, 200, b"hello world"), (SIZED, 503, b"busy"), (UNSIZED, 200, b"to the end"))


def feed(data: bytes, size: int) -> tuple[_AnswerParser, bytes]:
    """Feeds an answer to a new parser in pieces of ``size`` bytes."""
    parser = _AnswerParser()
    parts = [parser.feed(data[at : at + size]) for at in range(0, len(data), size)]
    return parser, b"".join(parts)


class AnswerTest(unittest.TestCase):
    """Guards against answers misread because of packet borders, framing or extra bytes."""

    def test_result_does_not_depend_on_the_split(self) -> None:
        for data, status, body in CASES:
            for size in range(1, len(data) + 1):
                with self.subTest(status=status, size=size):
                    parser, got = feed(data, size)
                    assert parser.head is not None
                    self.assertEqual((parser.head.status, got), (status, body))
                    self.assertEqual(parser.head.headers["X-A"], "1")

    def test_end_is_detected_unless_the_connection_ends_the_body(self) -> None:
        parsers = [feed(data, 7)[0] for data, _, _ in CASES]
        self.assertEqual([parser.ended for parser in parsers], [True, True, False])
        self.assertEqual([parser.ends_with_connection for parser in parsers], [False, False, True])
        self.assertFalse(_AnswerParser().ends_with_connection)
        self.assertFalse(feed(CHUNKED[:-3], 7)[0].ended)

    def test_informational_answer_is_skipped(self) -> None:
        interim = b"HTTP/1.1 100 Continue\r\nX-B: 2\r\n\r\n"
        parser, got = feed(interim + SIZED, 9)
        assert parser.head is not None
        self.assertEqual((parser.head.status, got, parser.ended), (503, b"busy", True))
        self.assertNotIn("X-B", parser.head.headers)

    def test_bytes_after_the_answer_are_ignored(self) -> None:
        for extra in (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", b"garbage\r\n\r\n"):
            for size in (5, 1_000):
                parser, got = feed(SIZED + extra, size)
                assert parser.head is not None
                self.assertEqual((parser.head.status, got, parser.ended), (503, b"busy", True))

    def test_invalid_answer_is_refused(self) -> None:
        wrong_size = CHUNKED.replace(b"5;note=x", b"zz")
        long_head = b"HTTP/1.1 200 OK\r\n" + b"X-A: 1\r\n" * HEADER_LIMIT_BYTES
        for data in (b"nonsense\r\n\r\n", wrong_size, long_head):
            with self.subTest(data=data[:20]), self.assertRaises(ValueError):
                feed(data, 4_096)


if __name__ == "__main__":
    unittest.main()

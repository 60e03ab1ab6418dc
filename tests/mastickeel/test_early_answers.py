"""Answers that come while the request's body is still being written."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
import tempfile
import unittest
from pathlib import Path

from mastickeel.addresses import Address
from mastickeel.httpmessages import ExchangeBrokenError, HttpRequest
from tests.early_answers import (
    BLOCKED_S,
    ENDS,
    UNREAD_ENDS,
    answer_early,
    close_at_once,
    end_side_then_read_on,
    end_side_then_reset,
    read_nothing,
)
from tests.mastickeel_router.operators.test_application import make_certificate
from tests.readers import ReadAnswer, ReaderCase

UPLOAD = HttpRequest("POST", "/", {}, bytes(12_000_000))
"""A request that fits into no buffer of the kernel."""
UNFRAMED = b"HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nhalf"
SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n"
PROMPT_S = 0.5
"""Time within which a whole answer is passed on; the exchange itself may take 2 s."""


class UnframedAnswerTest(ReaderCase):
    """Answers without a length or chunks, which end with the connection."""

    async def test_answer_that_ends_before_the_upload_is_read_is_not_whole(self) -> None:
        for end in ENDS:
            for read_bytes in (0, 5_000_000):
                address = await self.serve(answer_early(UNFRAMED, end, read_bytes=read_bytes))
                for read in self.readers:
                    with (
                        self.subTest(read.__name__, end=end.__name__, read_bytes=read_bytes),
                        self.assertRaises(ExchangeBrokenError),
                    ):
                        await read(address, UPLOAD)

    async def test_answer_that_ends_before_a_short_upload_is_read_is_not_whole(self) -> None:
        """The kernel has taken the whole request, and the server's kernel has not."""
        request = HttpRequest("POST", "/", {}, bytes(300_000))
        for end in UNREAD_ENDS:
            address = await self.serve(answer_early(UNFRAMED, end))
            for read in self.readers:
                with (
                    self.subTest(read.__name__, end=end.__name__),
                    self.assertRaises(ExchangeBrokenError),
                ):
                    await read(address, request)

    async def test_upload_that_is_read_after_the_end_of_the_answer_raises_no_untyped_error(
        self,
    ) -> None:
        address = await self.serve(answer_early(UNFRAMED, end_side_then_read_on))
        for read in self.readers:
            with self.subTest(read.__name__), contextlib.suppress(ExchangeBrokenError):
                await read(address, UPLOAD)

    async def test_answer_that_ends_after_the_upload_is_read_is_whole(self) -> None:
        size = len(UPLOAD.body)
        for end in (close_at_once, end_side_then_reset):
            address = await self.serve(answer_early(UNFRAMED, end, read_bytes=size))
            for read in self.readers:
                with self.subTest(read.__name__, end=end.__name__):
                    self.assertEqual(await read(address, UPLOAD), ReadAnswer(200, b"half"))


class FramedAnswerTest(ReaderCase):
    """Answers with a length or chunks, which are whole before the connection ends."""

    async def test_whole_answer_is_not_held_until_the_upload_is_read(self) -> None:
        for answer in (SIZED, CHUNKED):
            for end in (*UNREAD_ENDS, read_nothing):
                address = await self.serve(answer_early(answer, end))
                for read in self.readers:
                    with self.subTest(read.__name__, answer=answer, end=end.__name__):
                        async with asyncio.timeout(PROMPT_S):
                            self.assertEqual(await read(address, UPLOAD), ReadAnswer(200, b"half"))


class TlsTest(ReaderCase):
    """Over TLS an orderly close cannot be told from a cut connection; held before issue 66."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        certificate, key = make_certificate(Path(folder.name))
        self.server_tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self.server_tls.load_cert_chain(certificate, key)
        self.client.tls = ssl.create_default_context(cafile=str(certificate))

    async def test_early_answer_is_whole_only_by_its_framing(self) -> None:
        for answer in (UNFRAMED, SIZED, CHUNKED):
            for aborts in (True, False):
                address = await self.serve_tls(answer, aborts=aborts)
                for read in self.readers:
                    with self.subTest(read.__name__, answer=answer, aborts=aborts):
                        if answer is not UNFRAMED:
                            self.assertEqual(await read(address, UPLOAD), ReadAnswer(200, b"half"))
                            continue
                        with self.assertRaises(ExchangeBrokenError):
                            await read(address, UPLOAD)

    async def serve_tls(self, answer: bytes, *, aborts: bool) -> Address:
        """Starts a server that answers a part of a request and aborts or closes the connection."""

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(BLOCKED_S)
            if aborts:
                writer.transport.abort()
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0, ssl=self.server_tls)
        self.addCleanup(server.close)
        return Address("127.0.0.1", server.sockets[0].getsockname()[1])


if __name__ == "__main__":
    unittest.main()

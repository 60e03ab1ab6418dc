"""A caller that stops reading its stream.

The engine produces faster than the caller reads, so the router must bound what it buffers and end
the request after CALLER_STALL_TIMEOUT_MS.
"""

from __future__ import annotations

import asyncio
import socket
import unittest

import msgspec

from mastickeel_router.callers.sinks import StreamSink
from mastickeel_router.demo import ACCOUNT_KEY
from mastickeel_router.dispatch import engine
from tests.fleet import Fleet

TOKENS = 30_000
BUFFER_BYTES = 8 * 1024
HELD_LIMIT_BYTES = 256 * 1024


class SlowCallerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # In asyncio's debug mode, this many events would take a minute.
        asyncio.get_running_loop().set_debug(False)
        before = engine.CALLER_STALL_TIMEOUT_MS
        engine.CALLER_STALL_TIMEOUT_MS = 300
        self.addCleanup(setattr, engine, "CALLER_STALL_TIMEOUT_MS", before)
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(engines=1, tokens=TOKENS)

    async def test_held_bytes_are_bounded_and_the_request_ends(self) -> None:
        held: list[int] = []
        piece = StreamSink.write_event

        def record_held(sink: StreamSink, event: bytes) -> object:
            waiting = piece(sink, event)
            held.append(len(sink._handler.request.connection.stream._write_buffer))
            return waiting

        StreamSink.write_event = record_held
        self.addCleanup(setattr, StreamSink, "write_event", piece)
        router = self.fleet.routers[0]
        caller = self.send_request(router.callers_port)
        self.addCleanup(caller.close)
        while not router.gate.open_requests:
            await asyncio.sleep(0.005)
        while router.gate.open_requests:
            await asyncio.sleep(0.02)
        self.assertLess(len(held), TOKENS)
        self.assertLess(max(held), HELD_LIMIT_BYTES)
        self.assertEqual(router.metrics.totals_by_name["callers.refused.caller_stalled"], 1)
        self.assertEqual((await self.fleet.chat(max_tokens=2)).status, 200)

    def send_request(self, port: int) -> socket.socket:
        body = {
            "model": "auto",
            "stream": True,
            "messages": [{"role": "user", "content": "hello"}],
        }
        content = msgspec.json.encode(body)
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        caller.connect(("127.0.0.1", port))
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\n"
            f"Authorization: Bearer {ACCOUNT_KEY}\r\nContent-Length: {len(content)}\r\n\r\n"
        )
        caller.sendall(head.encode() + content)
        return caller

"""The openai client library, unchanged, pointed at a router."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Any

import openai

from mastickeel_router.demo import ACCOUNT_KEY
from mastickeel_router.dispatch import engine as engine_module
from mastickeel_standins.engine import answer_pieces
from tests.fleet import Fleet

if TYPE_CHECKING:
    from collections.abc import Awaitable

TOKENS = 8
MESSAGES = [{"role": "user", "content": "Close Long Street"}]
WHOLE = "".join(answer_pieces("draft-small@1", "user: Close Long Street", TOKENS))


class OpenAiTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(tokens=TOKENS, piece_ms=1)
        self.client = self.make_client(ACCOUNT_KEY)

    def make_client(self, key: str) -> openai.AsyncOpenAI:
        port = self.fleet.routers[0].callers_port
        url = f"http://127.0.0.1:{port}/v1"
        client = openai.AsyncOpenAI(api_key=key, base_url=url, max_retries=0, timeout=20)
        self.addAsyncCleanup(client.close)
        return client

    def ask(self, **fields: Any) -> Awaitable[Any]:
        given = {"model": "auto", "messages": MESSAGES, **fields}
        return self.client.chat.completions.create(**given)

    async def test_lists_models(self) -> None:
        listed = [model.id async for model in self.client.models.list()]
        self.assertEqual(listed[0], "auto")
        self.assertIn("draft-small@1", listed)

    async def test_whole_answer_with_usage(self) -> None:
        answer = await self.ask()
        self.assertEqual(answer.choices[0].message.content, WHOLE)
        self.assertEqual(answer.choices[0].finish_reason, "stop")
        self.assertEqual(answer.usage.completion_tokens, TOKENS)

    async def test_streamed_answer_with_usage(self) -> None:
        stream = await self.ask(stream=True, stream_options={"include_usage": True})
        chunks = [chunk async for chunk in stream]
        text = "".join(choice.delta.content or "" for chunk in chunks for choice in chunk.choices)
        self.assertEqual(text, WHOLE)
        self.assertEqual(chunks[-1].usage.completion_tokens, TOKENS)

    async def test_each_refusal_is_its_own_error_class(self) -> None:
        keyed = {"extra_headers": {"Idempotency-Key": "one"}}
        await self.ask(**keyed)
        unknown_key = self.make_client("other").models.list()
        cases = (
            ("key", self.collect(unknown_key), openai.AuthenticationError, "unauthorized"),
            ("body", self.ask(messages=[]), openai.BadRequestError, "bad_request"),
            ("model", self.ask(model="none"), openai.NotFoundError, "model_not_found"),
            ("key reused", self.ask(max_tokens=2, **keyed), openai.UnprocessableEntityError, ""),
            ("service", self.call_service("none"), openai.NotFoundError, "not_found"),
        )
        for name, call, kind, code in cases:
            with self.subTest(name):
                with self.assertRaises(kind) as caught:
                    await call
                self.assertIn(code, caught.exception.code)
                self.assertEqual(caught.exception.body["type"], caught.exception.code)

    async def test_engines_refusals_are_error_classes_too(self) -> None:
        cases = (
            (503, openai.InternalServerError, 503),
            (500, openai.InternalServerError, 502),
            (400, openai.BadRequestError, 400),
        )
        for status, kind, answered in cases:
            with self.subTest(status=status):
                self.fault(fail_rate=1.0, fail_status=status)
                self.fleet.routers[0].endpoints.breakers._breakers_by_id.clear()
                with self.assertRaises(kind) as caught:
                    await self.ask()
                self.assertEqual(caught.exception.status_code, answered)

    async def test_account_without_the_service_is_forbidden(self) -> None:
        await self.fleet.command("deny service order-register for account demo")
        with self.assertRaises(openai.PermissionDeniedError):
            await self.call_service("order-register")

    async def test_broken_stream_raises_instead_of_ending(self) -> None:
        before = engine_module.FIRST_BYTE_TIMEOUT_MS, engine_module.PIECE_TIMEOUT_MS
        engine_module.FIRST_BYTE_TIMEOUT_MS = engine_module.PIECE_TIMEOUT_MS = 150
        self.addCleanup(setattr, engine_module, "FIRST_BYTE_TIMEOUT_MS", before[0])
        self.addCleanup(setattr, engine_module, "PIECE_TIMEOUT_MS", before[1])
        self.fault(no_end_mark=True)
        with self.assertRaises(openai.APIError):
            await self.collect(await self.ask(stream=True))

    async def test_cancelled_stream_stops_the_engine(self) -> None:
        for one in self.fleet.engines:
            one.faults.slow_factor = 50
        stream = await self.ask(stream=True)
        await anext(aiter(stream))
        await stream.close()
        while not (runs := [run for one in self.fleet.engines for run in one.runs]):
            await asyncio.sleep(0.005)
        self.assertTrue(runs[0].cancelled)
        self.assertLess(runs[0].pieces, TOKENS)

    async def collect(self, stream: Any) -> list:
        return [one async for one in stream]

    def call_service(self, service_id: str) -> Awaitable[Any]:
        client = self.client.with_options()
        client.base_url = str(client.base_url).replace("/v1", "/services")
        return client.post(f"/{service_id}/orders", cast_to=object, body={})

    def fault(self, **faults: Any) -> None:
        for one in self.fleet.engines:
            one.faults.update(faults)

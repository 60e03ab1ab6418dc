"""The unmodified openai client library, used with a router."""

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
ANSWER_TEXT = "".join(answer_pieces("draft-small@1", "user: Close Long Street", TOKENS))


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

    def create_completion(self, **fields: Any) -> Awaitable[Any]:
        arguments = {"model": "auto", "messages": MESSAGES, **fields}
        return self.client.chat.completions.create(**arguments)

    async def test_lists_models(self) -> None:
        listed = [model.id async for model in self.client.models.list()]
        self.assertEqual(listed[0], "auto")
        self.assertIn("draft-small@1", listed)

    async def test_complete_answer_has_usage(self) -> None:
        answer = await self.create_completion()
        self.assertEqual(answer.choices[0].message.content, ANSWER_TEXT)
        self.assertEqual(answer.choices[0].finish_reason, "stop")
        self.assertEqual(answer.usage.completion_tokens, TOKENS)

    async def test_streamed_answer_has_usage(self) -> None:
        stream = await self.create_completion(stream=True, stream_options={"include_usage": True})
        chunks = [chunk async for chunk in stream]
        text = "".join(choice.delta.content or "" for chunk in chunks for choice in chunk.choices)
        self.assertEqual(text, ANSWER_TEXT)
        self.assertEqual(chunks[-1].usage.completion_tokens, TOKENS)

    async def test_each_refusal_raises_its_own_error_class(self) -> None:
        keyed = {"extra_headers": {"Idempotency-Key": "one"}}
        await self.create_completion(**keyed)
        unknown_key = self.make_client("other").models.list()
        cases = (
            ("key", self.collect(unknown_key), openai.AuthenticationError, "unauthorized"),
            ("body", self.create_completion(messages=[]), openai.BadRequestError, "bad_request"),
            (
                "model",
                self.create_completion(model="none"),
                openai.NotFoundError,
                "model_not_found",
            ),
            (
                "key reused",
                self.create_completion(max_tokens=2, **keyed),
                openai.UnprocessableEntityError,
                "",
            ),
            ("service", self.call_service("none"), openai.NotFoundError, "not_found"),
        )
        for name, call, error_class, code in cases:
            with self.subTest(name):
                with self.assertRaises(error_class) as caught:
                    await call
                self.assertIn(code, caught.exception.code)
                self.assertEqual(caught.exception.body["type"], caught.exception.code)

    async def test_engine_failures_raise_error_classes(self) -> None:
        cases = (
            (503, openai.InternalServerError, 503),
            (500, openai.InternalServerError, 502),
            (400, openai.BadRequestError, 400),
        )
        for status, error_class, expected_status in cases:
            with self.subTest(status=status):
                self.set_faults(fail_rate=1.0, fail_status=status)
                self.fleet.routers[0].endpoints.breakers._breakers_by_id.clear()
                with self.assertRaises(error_class) as caught:
                    await self.create_completion()
                self.assertEqual(caught.exception.status_code, expected_status)

    async def test_account_without_the_service_is_forbidden(self) -> None:
        await self.fleet.command("deny service order-register for account demo")
        with self.assertRaises(openai.PermissionDeniedError):
            await self.call_service("order-register")

    async def test_broken_stream_raises_instead_of_ending(self) -> None:
        before = engine_module.FIRST_BYTE_TIMEOUT_MS, engine_module.PIECE_TIMEOUT_MS
        engine_module.FIRST_BYTE_TIMEOUT_MS = engine_module.PIECE_TIMEOUT_MS = 150
        self.addCleanup(setattr, engine_module, "FIRST_BYTE_TIMEOUT_MS", before[0])
        self.addCleanup(setattr, engine_module, "PIECE_TIMEOUT_MS", before[1])
        self.set_faults(no_end_mark=True)
        with self.assertRaises(openai.APIError):
            await self.collect(await self.create_completion(stream=True))

    async def test_cancelled_stream_stops_the_engine(self) -> None:
        for engine in self.fleet.engines:
            engine.faults.slow_factor = 50
        stream = await self.create_completion(stream=True)
        await anext(aiter(stream))
        await stream.close()
        while not (runs := [run for engine in self.fleet.engines for run in engine.runs]):
            await asyncio.sleep(0.005)
        self.assertTrue(runs[0].cancelled)
        self.assertLess(runs[0].pieces, TOKENS)

    async def collect(self, stream: Any) -> list:
        return [event async for event in stream]

    def call_service(self, service_id: str) -> Awaitable[Any]:
        client = self.client.with_options()
        client.base_url = str(client.base_url).replace("/v1", "/services")
        return client.post(f"/{service_id}/orders", cast_to=object, body={})

    def set_faults(self, **faults: Any) -> None:
        for engine in self.fleet.engines:
            engine.faults.update(faults)

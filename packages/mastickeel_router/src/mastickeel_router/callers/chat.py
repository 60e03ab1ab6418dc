"""Answers POST /v1/chat/completions."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from mastickeel.errors import ExecutionStatus, MastickeelError
from mastickeel_router.callers._parse import parse_chat
from mastickeel_router.callers.base import CallerHandler
from mastickeel_router.callers.sinks import REPLAYED_HEADER, StreamSink, WholeSink
from mastickeel_router.choice import run_cascade
from mastickeel_router.dispatch.idempotency import compute_fingerprint
from mastickeel_router.dispatch.intent import IntentKey, Outcome
from mastickeel_router.requests import Bill

if TYPE_CHECKING:
    from mastickeel_router.dispatch.intents import Claim
    from mastickeel_router.requests import ChatRequest

CHAT_SCOPE = "v1/chat/completions"
"""Stands for a service in the names of intents; no service has a slash in its name."""


class ChatHandler(CallerHandler):
    """Takes a chat request from admission to its bill."""

    async def post(self) -> None:
        """Answers one request, streamed or whole."""
        account = self.account()
        request = parse_chat(
            self.json_body(),
            self.request.headers,
            request_id=self.request_id,
            account=account,
            now_ms=self.state.clock.now(),
        )
        await self.answer(self._serve_keyed(request))

    async def _serve_keyed(self, request: ChatRequest) -> None:
        """Answers a request, or gives back what came of the one that had its key."""
        if not request.idempotency_key:
            await self._serve(request, None)
            return
        intents = self.state.intents
        name = IntentKey(request.account_id, CHAT_SCOPE, request.idempotency_key)
        fingerprint = compute_fingerprint(msgspec.json.encode(request.body, order="deterministic"))
        claimed = await intents.claim(name, fingerprint, request.id)
        if isinstance(claimed, Outcome):
            self.set_header(REPLAYED_HEADER, "true")
            self.set_header("Content-Type", claimed.content_type)
            self.finish(claimed.body)
            return
        try:
            await self._serve(request, claimed)
        finally:
            if not claimed.sent:
                # It was not billed, so that running it again does no harm.
                intents.tasks.start(claimed.release())
            elif not claimed.has_outcome:
                claimed.abandon()

    async def _serve(self, request: ChatRequest, claim: Claim | None) -> None:
        """Runs the request and answers with its pieces or an error."""
        sink = StreamSink(self) if request.stream else WholeSink(self)
        try:
            async with self.state.gate.admit(request):
                plan = await self.state.chooser.plan(request, self.view)
                for name, value in plan.headers.items():
                    self.set_header(name, value)
                runs = await run_cascade(plan, self.state.chat, request, sink)
                bill = Bill(
                    request.id,
                    request.account_id,
                    self.state.clock.wall(),
                    runs,
                    kind=request.kind,
                )
                # From here on the request may be billed, so that its key is not freed any more.
                if claim:
                    claim.begin_send()
                try:
                    await self.state.ledger.record(bill)
                except MastickeelError as error:
                    error.ran = ExecutionStatus.YES
                    raise
                if claim:
                    await asyncio.shield(claim.record_outcome(sink.outcome(bill)))
                await sink.finish(bill, request.include_usage)
        except MastickeelError as error:
            self.state.metrics.count(f"callers.refused.{error.code}")
            if isinstance(sink, StreamSink) and sink.started:
                await sink.fail(self.problem(error))
                return
            raise
        self.state.metrics.count("callers.answered")

"""Handles POST /v1/chat/completions."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from mastickeel.errors import ExecutionStatus, MastickeelError
from mastickeel_router.callers._parse import parse_chat
from mastickeel_router.callers.base import CallerHandler
from mastickeel_router.callers.sinks import REPLAYED_HEADER, CompleteSink, StreamSink
from mastickeel_router.choice import run_cascade
from mastickeel_router.dispatch.idempotency import compute_fingerprint
from mastickeel_router.dispatch.intent import IntentKey, IntentOutcome
from mastickeel_router.listeners.pieces import HeldPieces
from mastickeel_router.requests import Bill

if TYPE_CHECKING:
    from mastickeel_router.dispatch.intents import Claim
    from mastickeel_router.requests import ChatRequest

CHAT_SCOPE = "v1/chat/completions"
"""Used as the service in names of intents; service ids contain no slash, so none can collide."""


class ChatHandler(CallerHandler):
    """Serves chat requests, from admission to the bill."""

    async def post(self) -> None:
        """Answers a request, streamed or as one JSON object."""
        account = self.account()
        request = parse_chat(
            self.json_body(),
            self.request.headers,
            request_id=self.request_id,
            account=account,
            now_ms=self.state.clock.now(),
        )
        await self.run_cancellable(self._serve_idempotent(request))

    async def _serve_idempotent(self, request: ChatRequest) -> None:
        """Answers a request, or replays the outcome of the earlier one with its idempotency key."""
        if not request.idempotency_key:
            await self._serve(request, None)
            return
        intents = self.state.intents
        intent_key = IntentKey(request.account_id, CHAT_SCOPE, request.idempotency_key)
        fingerprint = compute_fingerprint(msgspec.json.encode(request.body, order="deterministic"))
        claimed = await intents.claim(intent_key, fingerprint, request.id)
        if isinstance(claimed, IntentOutcome):
            self.set_header(REPLAYED_HEADER, "true")
            self.set_header("Content-Type", claimed.content_type)
            self.finish(claimed.body)
            return
        try:
            await self._serve(request, claimed)
        finally:
            if not claimed.sent:
                # The request was not billed, so a retry under the same key may run it.
                intents.tasks.start(claimed.release())
            elif not claimed.has_outcome:
                claimed.abandon()

    async def _serve(self, request: ChatRequest, claim: Claim | None) -> None:
        """Serves a request; what is collected of its answer counts in the instance's memory."""
        with HeldPieces[str](self.state.held_memory) as pieces:
            sink = StreamSink(self) if request.stream else CompleteSink(self, pieces)
            await self._serve_with(sink, request, claim)

    async def _serve_with(
        self, sink: StreamSink | CompleteSink, request: ChatRequest, claim: Claim | None
    ) -> None:
        """Runs a request, records its bill and sends the answer through the sink, or an error."""
        try:
            async with self.state.gate.admit(request):
                plan = await self.state.chooser.plan(request, self.view)
                for name, value in plan.headers.items():
                    self.set_header(name, value)
                runs = await run_cascade(
                    plan, self.state.chat, request, sink, self.state.held_memory
                )
                bill = Bill(
                    request.id,
                    request.account_id,
                    self.state.clock.wall(),
                    runs,
                    kind=request.kind,
                )
                # From here on the request may be billed, so its key must not be released any more.
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
                await sink.fail(self.problem_body(error))
                return
            raise
        self.state.metrics.count("callers.answered")

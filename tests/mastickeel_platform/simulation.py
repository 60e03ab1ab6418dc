"""Simulated HTTP access to the store: answers, silences and refusals on a faked clock."""

from __future__ import annotations

import asyncio
import json
import math
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from tornado.httputil import HTTPHeaders

from mastickeel.httpmessages import (
    ExchangeTimeoutError,
    HttpAnswer,
    HttpHead,
    HttpRequest,
    Timeouts,
)
from tests.mastickeel_platform.standins import FakeStore, Request

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.addresses import Address
    from mastickeel.clock import Clock

LATENCY_MS = 4
WATCH_STEP_MS = 100
"""Interval at which a watch that waits looks for changes."""
SWEEP_MS = 100
"""Interval at which the HTTP client looks for connections whose deadline has passed."""


class SimulatedHttp:
    """HTTP client whose calls reach a store in memory after a latency, or never."""

    def __init__(self, store: FakeStore, clock: Clock) -> None:
        self.store = store
        self.silent = False
        """Whether calls are lost, also those that wait."""
        self.watches_silent = False
        """Whether watches alone are lost."""
        self.refusal_status = 0
        self.calls = 0
        self._clock = clock

    async def call(
        self,
        address: Address,
        request: HttpRequest,
        timeouts: Timeouts | None = None,
        *,
        on_head: Callable[[HttpHead], None] = lambda head: None,
    ) -> HttpAnswer:
        """Executes a call; raises a timeout when it is lost."""
        self.calls += 1
        limit_ms = timeouts.first_byte_ms if timeouts else math.inf
        limit_ms = math.ceil(limit_ms / SWEEP_MS) * SWEEP_MS
        try:
            answer = await self._clock.wait_for(self._execute(request), limit_ms)
        except TimeoutError as error:
            raise ExchangeTimeoutError(f"{request.path} did not end.") from error
        on_head(HttpHead(answer.status, answer.headers))
        return answer

    async def _execute(self, request: HttpRequest) -> HttpAnswer:
        url = urlsplit(request.path)
        await self._clock.sleep(LATENCY_MS)
        await self._hang_if_silent(url.path)
        if url.path == "/kv-watch" and not self.refusal_status:
            await self._wait_for_change(parse_qs(url.query, keep_blank_values=True))
        await self._hang_if_silent(url.path)
        received = Request(request.method, request.path, {}, request.body, asyncio.StreamReader())
        status, body = self.refusal_status, {}
        if not status:
            status, body = await self.store.execute(received, waits=False)
        headers = HTTPHeaders({"Store-Era": str(self.store.era)})
        return HttpAnswer(status, headers, json.dumps(body).encode())

    async def _wait_for_change(self, query: dict[str, Any]) -> None:
        after, left_ms = int(query["after_revision"][0]), int(query["wait_ms"][0])
        while left_ms > 0 and self.store.revision <= after:
            await self._clock.sleep(min(left_ms, WATCH_STEP_MS))
            left_ms -= WATCH_STEP_MS

    async def _hang_if_silent(self, path: str) -> None:
        if self.silent or (self.watches_silent and path == "/kv-watch"):
            await asyncio.Event().wait()

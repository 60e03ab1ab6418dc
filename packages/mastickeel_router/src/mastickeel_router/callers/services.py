"""Handles calls of plain services under /services."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote

from mastickeel.errors import (
    BadRequestError,
    ExecutionStatus,
    ForbiddenError,
    MastickeelError,
    NotFoundError,
)
from mastickeel_router.callers._parse import IDEMPOTENCY_HEADER
from mastickeel_router.callers.base import CallerHandler
from mastickeel_router.callers.sinks import REPLAYED_HEADER
from mastickeel_router.dispatch.idempotency import compute_fingerprint, run_once, run_shielded
from mastickeel_router.dispatch.intent import IntentKey, IntentOutcome
from mastickeel_router.requests import Bill, ServiceRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel_router.listeners.memory import HeldMemory

DOT_SEGMENTS = frozenset({".", ".."})
FORWARDED_HEADERS = ("Content-Type", "Accept", IDEMPOTENCY_HEADER)


def _check_path(path: str) -> None:
    """Rejects a path that the service could normalize to another one.

    The rules on which calls may be repeated match the path as sent; ``/a/../b`` would be matched as
    one call and run as another.

    Raises:
        BadRequestError: When the path has empty or dot segments.
    """
    segments = unquote(path).replace("\\", "/").split("/")
    if any(segment in DOT_SEGMENTS for segment in segments) or "" in segments[1:-1]:
        raise BadRequestError(
            f"{path} has empty or dot segments.",
            remedy="Send the path without empty or dot segments.",
        )


class HeldAnswer:
    """Memory of an answer, from its first byte until it is written and its call has ended.

    The caller may leave before the call has ended, which then runs on and holds its answer.
    """

    def __init__(self, memory: HeldMemory) -> None:
        self.share = memory.open_share(lambda: None)
        """Counts what is held."""
        self._is_running = False
        self._has_left = False

    def __enter__(self) -> None:
        self._is_running = True

    def __exit__(self, *error: object) -> None:
        self._is_running = False
        if self._has_left:
            self.share.close()

    def leave(self) -> None:
        """Records that the answer was written, or that its caller has left."""
        self._has_left = True
        if not self._is_running:
            self.share.close()


class ServiceHandler(CallerHandler):
    """Forwards calls of plain services to their endpoints."""

    async def get(self, service_id: str, path: str | None) -> None:
        """Forwards a call; handles POST, PUT, DELETE and PATCH too."""
        await self.run_cancellable(self._serve(service_id, path or "/"))

    post = put = delete = patch = get

    async def _serve(self, service_id: str, path: str) -> None:
        """Authorizes, runs and bills a call, and sends the outcome."""
        account = self.account()
        if service_id not in self.view.committed.services_by_id:
            raise NotFoundError(f"There is no service {service_id!r}.")
        if not self.view.allows_service(account.id, service_id):
            raise ForbiddenError(f"The account may not call {service_id}.")
        _check_path(path)
        method = self.request.method or "GET"
        headers = self.request.headers
        request = ServiceRequest(
            id=self.request_id,
            account_id=account.id,
            service_id=service_id,
            method=method,
            path=path,
            query=self.request.query,
            body=self.body,
            headers={name: headers[name] for name in FORWARDED_HEADERS if name in headers},
            repeatable=self.view.is_repeatable(service_id, method, path),
            arrived_ms=self.state.clock.now(),
            idempotency_key=headers.get(IDEMPOTENCY_HEADER, ""),
        )
        held = HeldAnswer(self.state.held_memory)
        try:
            self._write(await self._run(request, held))
            self.finish()
        finally:
            held.leave()

    async def _run(self, request: ServiceRequest, held: HeldAnswer) -> IntentOutcome:
        """Runs a call.

        A call that may not be repeated runs to its end even if the caller disconnects, and at most
        once per idempotency key.
        """
        state = self.state

        async def run_and_bill(check: Callable[[], None]) -> IntentOutcome:
            with held:
                return await run_counted(check)

        async def run_counted(check: Callable[[], None]) -> IntentOutcome:
            async with state.gate.admit(request):
                answer = await state.services.run(request, check, share=held.share)
                bill = Bill(
                    request.id,
                    request.account_id,
                    state.clock.wall(),
                    service_id=request.service_id,
                )
                try:
                    await state.ledger.record(bill)
                except MastickeelError as error:
                    error.ran = ExecutionStatus.YES
                    raise
            return IntentOutcome(answer.status, answer.headers.get("Content-Type", ""), answer.body)

        if request.repeatable:
            return await run_and_bill(lambda: None)
        if not request.idempotency_key:
            return await run_shielded(state.intents.tasks, run_and_bill(lambda: None))
        intent_key = IntentKey(request.account_id, request.service_id, request.idempotency_key)
        parts = (request.method, request.path, request.query)
        fingerprint = compute_fingerprint(*(part.encode() for part in parts), request.body)
        outcome, replayed = await run_once(
            state.intents, intent_key, fingerprint, request.id, run_and_bill
        )
        if replayed:
            self.set_header(REPLAYED_HEADER, "true")
        return outcome

    def _write(self, outcome: IntentOutcome) -> None:
        """Sends the service's answer to the caller."""
        self.set_status(outcome.status)
        if outcome.content_type:
            self.set_header("Content-Type", outcome.content_type)
        if outcome.status not in (204, 304) and outcome.body:
            self.write(outcome.body)

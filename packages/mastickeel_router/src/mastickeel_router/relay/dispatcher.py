"""Dispatches requests: finds the route and the client account of each, and relays the request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.errors import (
    MastickeelError,
    NotFoundError,
    UnauthorizedError,
    UnavailableError,
)
from mastickeel.logs import log
from mastickeel_router.relay.context import REQUEST_REFUSED
from mastickeel_router.relay.policy import can_end
from mastickeel_router.relay.run import (
    RequestRun,
    find_limit_ms,
    make_stopping_error,
    send_error,
)

if TYPE_CHECKING:
    from mastickeel_router.listeners import RequestHead
    from mastickeel_router.listeners.listener import Responder
    from mastickeel_router.relay.context import Context
    from mastickeel_router.relay.types import CallerRequest
    from mastickeel_router.routes import Caller, Route, RouteTable

UNCONFIRMED_RETRY_MS = 500
"""Retry time sent to callers whose route or key is unknown while the store does not answer."""


class Dispatcher:
    """Serves the requests of all routes."""

    def __init__(self, context: Context) -> None:
        """Creates the dispatcher.

        Args:
            context: Dependencies of the relay.
        """
        self._context = context
        self._open_runs: set[RequestRun] = set()

    def wants_body(self, head: RequestHead) -> bool:
        """Returns whether the body of a request is of use, by the configuration in force."""
        try:
            _look_up(self._context.table, self._context.dialect.read_request(head), head.path)
        except MastickeelError:
            return False
        return True

    async def serve(self, head: RequestHead, body: bytes | None, responder: Responder) -> None:
        """Answers one request.

        Args:
            head: First line and headers of the request.
            body: Body of the request; None if it was not kept, as no route was known for it.
            responder: Writes the answer.
        """
        context = self._context
        request_id = ""
        try:
            request = context.dialect.read_request(head)
            request_id = request.id
            route, caller = await self._admit(request, head.path)
            if body is None:
                raise UnavailableError(
                    "The route or the key was added while the request was sent.",
                    retry_after_ms=UNCONFIRMED_RETRY_MS,
                )
        except MastickeelError as error:
            self._record_refusal(request_id, head, error)
            await send_error(context.dialect, error, request_id, responder)
            return
        assert body is not None
        run = RequestRun(context, request, route, caller, body, responder)
        self._open_runs.add(run)
        try:
            await run.run()
        finally:
            self._open_runs.discard(run)

    def end_requests(self) -> None:
        """Ends the open requests, each with an answer if none has begun."""
        for run in list(self._open_runs):
            run.end()

    def refuse_late(self, head: RequestHead) -> MastickeelError | None:
        """Returns the error for a request that is being read and comes too late in a planned stop.

        Returns:
            The error, which has been recorded; None to read on.
        """
        context = self._context
        try:
            request = context.dialect.read_request(head)
            route, _ = _look_up(context.table, request, head.path)
        except MastickeelError:
            return None
        limit_ms = find_limit_ms(request, route)
        if can_end(context.planned_stop(), context.clock.now(), limit_ms):
            return None
        error = make_stopping_error(context)
        self._record_refusal(request.id, head, error)
        return error

    def _record_refusal(self, request_id: str, head: RequestHead, error: MastickeelError) -> None:
        """Logs and counts a request that is refused before it is relayed."""
        context = self._context
        # The query is not logged: it may hold personal data.
        log(
            REQUEST_REFUSED,
            request=request_id,
            path=head.path,
            code=error.code,
            detail=error.detail,
            version=context.table.version,
            store_age_ms=context.store_age_ms(),
            knowledge_age_ms=context.knowledge_age_ms(),
        )
        context.on_error_reply(error.code)

    async def _admit(self, request: CallerRequest, path: str) -> tuple[Route, Caller | None]:
        """Returns the route and the client account of a request.

        Raises:
            NotFoundError: When no route matches, by recent knowledge.
            UnauthorizedError: When the key is missing or unknown, by recent knowledge.
            UnavailableError: When the route or the key is not known, but may have been added.
        """
        table = self._context.table
        try:
            return _look_up(table, request, path)
        except (NotFoundError, UnauthorizedError) as error:
            if not await self._context.confirm_knowledge():
                raise UnavailableError(
                    f"{error.detail} It may have been added since the store was last read.",
                    retry_after_ms=UNCONFIRMED_RETRY_MS,
                ) from error
        return _look_up(table, request, path)


def _look_up(table: RouteTable, request: CallerRequest, path: str) -> tuple[Route, Caller | None]:
    """Returns the route and the client account by the configuration in force."""
    route = table.match(request.host, path)
    return route, table.authenticate(route, request.key)

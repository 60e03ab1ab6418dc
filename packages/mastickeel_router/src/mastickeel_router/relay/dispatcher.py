"""Dispatches requests: finds the route and the client account of each, and relays the request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel.logs import log
from mastickeel_router.relay.context import REQUEST_REFUSED
from mastickeel_router.relay.run import RequestRun, send_error

if TYPE_CHECKING:
    from mastickeel_router.relay.context import Context
    from mastickeel_router.relay.listener import Responder
    from mastickeel_router.relay.types import RequestHead


class Dispatcher:
    """Serves the requests of all routes."""

    def __init__(self, context: Context) -> None:
        """Creates the dispatcher.

        Args:
            context: Dependencies of the relay.
        """
        self._context = context

    async def serve(self, head: RequestHead, body: bytes, responder: Responder) -> None:
        """Answers one request.

        Args:
            head: First line and headers of the request.
            body: Body of the request.
            responder: Writes the answer.
        """
        context = self._context
        request_id = ""
        try:
            request = context.dialect.read_request(head)
            request_id = request.id
            route = context.table.match(request.host, head.path)
            caller = context.table.authenticate(route, request.key)
        except MastickeelError as error:
            # The query is not logged: it may hold personal data.
            log(
                REQUEST_REFUSED,
                request=request_id,
                path=head.path,
                code=error.code,
                detail=error.detail,
                version=context.table.version,
                store_age_ms=context.store_age_ms(),
            )
            context.on_error_reply(error.code)
            await send_error(context.dialect, error, request_id, responder)
            return
        await RequestRun(context, request, route, caller, body, responder).run()

"""Takes requests in: finds the route and the client account, and starts the run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel.logs import log
from mastickeel_router.relay.context import REQUEST_REFUSED
from mastickeel_router.relay.run import RequestRun, send_refusal

if TYPE_CHECKING:
    from mastickeel_router.relay.context import Context
    from mastickeel_router.relay.listener import Responder
    from mastickeel_router.relay.types import RequestHead


class Dispatcher:
    """Serves the requests of all routes."""

    def __init__(self, context: Context) -> None:
        """Makes the dispatcher.

        Args:
            context: What it works with.
        """
        self._context = context

    async def serve(self, head: RequestHead, body: bytes, responder: Responder) -> None:
        """Answers one request.

        Args:
            head: Its first line and headers.
            body: Its body.
            responder: Takes the answer.
        """
        context = self._context
        request_id = ""
        try:
            request = context.dialect.read_request(head)
            request_id = request.id
            route = context.table.match(request.host, head.path)
            caller = context.table.authenticate(route, request.key)
        except MastickeelError as error:
            # The query may hold what is not ours to keep.
            log(
                REQUEST_REFUSED,
                request=request_id,
                path=head.path,
                code=error.code,
                detail=error.detail,
                version=context.table.version,
            )
            context.on_error_reply(error.code)
            await send_refusal(context.dialect, error, request_id, responder)
            return
        await RequestRun(context, request, route, caller, body, responder).run()

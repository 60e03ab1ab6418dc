"""What a send tells of contents that crash endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.httpmessages import ConnectionFailedError, Timeouts
from mastickeel_router.quarantine.reports import compute_relay_fingerprint
from mastickeel_router.relay.policy import SendOutcome

if TYPE_CHECKING:
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.relay.context import Context
    from mastickeel_router.relay.policy import SendResult
    from mastickeel_router.relay.types import CallerRequest

PROBE_TIMEOUT_MS = 1_000
"""How long a connection may take: a lost packet's repeat, and a third of the time within which a
crash must be known to all instances."""


class CrashDetector:
    """One request's content, which is hashed only when there is a reason."""

    def __init__(self, context: Context, request: CallerRequest, account: str, body: bytes) -> None:
        """Makes it for a request.

        Args:
            context: Knows the crashes, and probes endpoints.
            request: The request.
            account: The caller's name.
            body: The request's body.
        """
        self._context = context
        self._request = request
        self._account = account
        self._body = body

    def check(self) -> None:
        """Lets the content pass, or refuses it.

        Raises:
            ContentRefusedError: When it has crashed too many endpoints.
        """
        if self._context.crashes.has_suspects:
            self._context.crashes.check(self._content())

    def record_send(self, endpoint: EndpointRecord, result: SendResult) -> None:
        """Learns from a send: an endpoint that broke off and refuses connections has crashed."""
        if result.outcome is SendOutcome.BROKEN:
            self._context.tasks.start(self._report_if_gone(endpoint))
            return
        ran_well = result.outcome is SendOutcome.WHOLE and result.head and result.head.status < 500
        if ran_well and self._context.crashes.has_suspects:
            self._context.crashes.record_success(self._content())

    async def _report_if_gone(self, endpoint: EndpointRecord) -> None:
        """Reports a crash when a new connection is refused."""
        try:
            connection = await self._context.client.connect(
                endpoint.address, timeouts=Timeouts(connect_ms=PROBE_TIMEOUT_MS), fresh=True
            )
        except ConnectionFailedError as error:
            # Silence may be the way there: an endpoint whose process has ended refuses.
            if not error.refused:
                return
            lifetime = f"{endpoint.id}/{endpoint.started_ms}"
            self._context.crashes.record_crash(self._content(), lifetime)
        else:
            connection.close()

    def _content(self) -> int:
        return compute_relay_fingerprint(self._account, self._request.head.target, self._body)

"""Detects contents that crash endpoints, from the results of sends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.httpmessages import BodyFraming
from mastickeel.logs import log
from mastickeel_router.quarantine.fingerprints import format_fingerprint
from mastickeel_router.quarantine.parts import list_part_keys
from mastickeel_router.quarantine.reports import compute_relay_fingerprint
from mastickeel_router.relay.policy import SendOutcome

if TYPE_CHECKING:
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.relay.context import Context
    from mastickeel_router.relay.policy import SendResult
    from mastickeel_router.relay.types import CallerRequest

MAX_BEGIN_MS = 1_000
"""Time after the first event from which a stream is no longer at its beginning, where a part of its
prompt would have crashed the endpoint."""

SEND_CRASHED = define_event(
    2385,
    "send_crashed",
    "warning",
    "The endpoint of a send crashed; one of the requests that it held may be the cause.",
)


class CrashDetector:
    """Detects whether one request's content or a part of its prompt crashes endpoints.

    The content is hashed only when needed: while contents are suspected, or to report a crash.
    """

    def __init__(
        self,
        context: Context,
        request: CallerRequest,
        account: str,
        body: bytes,
        *,
        service: str = "",
    ) -> None:
        """Creates the detector for a request.

        Args:
            context: Provides the crash reports and the paths to endpoints.
            request: The request.
            account: Name of the caller's client account; empty for none.
            body: The request's body.
            service: Name of the service that the request goes to.
        """
        self._context = context
        self._request = request
        self._account = account
        self._body = body
        part_ids = [part.id for part in request.prompt.parts] if request.prompt else []
        self._parts = list_part_keys(service, part_ids)

    def check(self) -> None:
        """Checks that neither the content nor a part of the prompt is refused.

        Raises:
            ContentRefusedError: When the content or a part has crashed too many endpoints.
        """
        self._context.crashing_parts.check(self._parts)
        if self._context.crashes.has_suspects:
            self._context.crashes.check(self._fingerprint())

    def record_send(
        self,
        endpoint: EndpointRecord,
        result: SendResult,
        streamed_ms: int | None = None,
    ) -> None:
        """Records the result of a send and probes the endpoint after a broken answer.

        An endpoint that broke off an answer and then refuses connections has crashed.

        Args:
            endpoint: The endpoint of the send.
            result: The result of the send.
            streamed_ms: Time since the first event of the answer; None before it.
        """
        if result.outcome is SendOutcome.BROKEN:
            self._context.tasks.start(self._probe_endpoint(endpoint, streamed_ms))
            return
        if result.outcome is not SendOutcome.WHOLE or result.head is None:
            return
        if result.end is None or result.end.framing is not BodyFraming.CONNECTION:
            self._record_success(result.head.status)
        elif self._is_suspected():
            # The end of the connection may have been the end of the endpoint.
            self._context.tasks.start(
                self._probe_endpoint(endpoint, streamed_ms, status=result.head.status)
            )

    def _is_suspected(self) -> bool:
        context = self._context
        return context.crashes.has_suspects or context.crashing_parts.is_suspected(self._parts)

    def _record_success(self, status: int) -> None:
        """Records that the endpoint has answered the request completely and is alive."""
        if status < 300:
            self._context.crashing_parts.record_success(self._parts)
        if status < 500 and self._context.crashes.has_suspects:
            self._context.crashes.record_success(self._fingerprint())

    async def _probe_endpoint(
        self,
        endpoint: EndpointRecord,
        streamed_ms: int | None,
        status: int | None = None,
    ) -> None:
        """Reports a crash when the endpoint's process has ended.

        Args:
            endpoint: The endpoint of the send.
            streamed_ms: Time from its first event to its end; None without one.
            status: Status of an answer that is complete if the endpoint is alive; None if the
                answer was broken off.
        """
        if not await self._context.paths.has_ended(endpoint):
            if status is not None:
                self._record_success(status)
            return
        lifetime = f"{endpoint.id}/{endpoint.started_ms}"
        fingerprint, prompt = self._fingerprint(), self._request.prompt
        log(
            SEND_CRASHED,
            request=self._request.id,
            endpoint=lifetime,
            content=format_fingerprint(fingerprint),
            prompt=prompt.summary if prompt else "",
            streamed_ms=streamed_ms,
        )
        self._context.crashes.record_crash(fingerprint, lifetime)
        if streamed_ms is None or streamed_ms < MAX_BEGIN_MS:
            self._context.crashing_parts.record_crash(self._parts, fingerprint, lifetime)

    def _fingerprint(self) -> int:
        return compute_relay_fingerprint(self._account, self._request.head.target, self._body)

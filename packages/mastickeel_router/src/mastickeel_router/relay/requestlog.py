"""Logs one request and reports its outcome.

Each line holds the inputs of the decision that the line reports, and the age of the store's data.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.logs import log
from mastickeel_router.relay.context import REQUEST_PLACED, RequestSummary

if TYPE_CHECKING:
    from mastickeel.events import Event
    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.relay.cascade import Cascade
    from mastickeel_router.relay.context import Context
    from mastickeel_router.relay.policy import SendResult
    from mastickeel_router.relay.types import CallerRequest, Progress
    from mastickeel_router.routes import Caller, Route


class RequestLog:
    """Writes the log lines of one request."""

    def __init__(
        self,
        context: Context,
        request: CallerRequest,
        route: Route,
        caller: Caller | None,
        *,
        service: str,
        cascade: Cascade,
        progress: Progress,
        deadline_ms: int,
    ) -> None:
        """Creates the log of a request.

        Args:
            context: Provides the clock and the callback for the request's summary.
            request: The request.
            route: The request's route.
            caller: The client account of the request; None for none.
            service: Name of the service that the request goes to.
            cascade: Provides the model of the next send.
            progress: Progress of the request.
            deadline_ms: Clock time at which the request times out.
        """
        self.candidate_count = 0
        """Number of endpoints that were candidates for the last send."""
        self.predicted_wait_ms = 0.0
        """Predicted first-event latency at the endpoint of the last send."""
        self.first_event_at_ms: int | None = None
        """Clock time of the accepted answer's first event; None before it."""
        self.pace_ms: float | None = None
        """Mean time per event of the last send's stream; None before enough events."""
        self._context = context
        self._request = request
        self._route = route
        self._account = caller.name if caller else ""
        self._service = service
        self._cascade = cascade
        self._progress = progress
        self._deadline_ms = deadline_ms

    def log_placement(self, endpoint: EndpointRecord) -> None:
        """Logs the endpoint of the next send and the known load of that endpoint."""
        loads, demand = self._context.loads, self._cascade.demand
        self.write(
            REQUEST_PLACED,
            endpoint=endpoint.id,
            endpoint_version=endpoint.version,
            backlog_ms=round(loads.backlog_ms([endpoint])),
            held_tokens=loads.cached_tokens(endpoint.id, demand, self._cascade.model),
            rate_limit=self._context.limits.limit_of(endpoint),
        )

    def log_end(self, event: Event, **fields: object) -> None:
        """Logs the end of the request and reports the request's summary."""
        self.write(event, **fields)
        took_ms = self._context.clock.now() - self._progress.started_ms
        first_ms = self._first_ms
        outcome = event.name.removeprefix("request_")
        self._context.on_request_end(
            RequestSummary(self._route, outcome, took_ms, took_ms if first_ms is None else first_ms)
        )

    def write(self, event: Event, **fields: object) -> None:
        """Logs an event with the state of the request."""
        context, progress, prompt = self._context, self._progress, self._request.prompt
        now = context.clock.now()
        log(
            event,
            request=self._request.id,
            route=self._route.name,
            service=self._service,
            account=self._account,
            session=self._request.session,
            model=self._cascade.model,
            confidence=self._cascade.confidence,
            sends=progress.sends,
            endpoints=progress.tried_ids,
            took_ms=now - progress.started_ms,
            first_ms=self._first_ms,
            pace_ms=None if self.pace_ms is None else round(self.pace_ms, 1),
            left_ms=self._deadline_ms - now,
            version=context.table.version,
            store_age_ms=context.store_age_ms(),
            objective_ms=self._route.objective_ms,
            choices=self.candidate_count,
            foreseen_ms=round(self.predicted_wait_ms),
            prompt=prompt.summary if prompt else "",
            **fields,
        )

    @property
    def _first_ms(self) -> int | None:
        """Time until the first event; None before it."""
        first = self.first_event_at_ms
        return None if first is None else first - self._progress.started_ms


def describe_answer_end(result: SendResult) -> dict[str, object]:
    """Returns log fields that tell on which path an answer came, how it was framed and ended."""
    end = result.end
    if end is None:
        return {"via": result.via} if result.via else {}
    return {
        "via": result.via,
        "framing": end.framing.value,
        "connection_end": end.connection.value,
        "unfinished_bytes": end.unfinished_bytes,
    }

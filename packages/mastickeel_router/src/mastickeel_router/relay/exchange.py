"""Follows one request from its arrival to its answer: route, account, endpoints, repeats."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from mastickeel.errors import EndpointError, MastickeelError, Ran, UnavailableError
from mastickeel.events import define
from mastickeel.logs import log
from mastickeel_router.placement import Demand
from mastickeel_router.placement.models import Opinion, next_size
from mastickeel_router.relay.policy import (
    Next,
    SendEnd,
    SendResult,
    Situation,
    next_step,
    wants_repeat,
)
from mastickeel_router.relay.sending import AnswerCollector, Sender
from mastickeel_router.relay.types import ANY_MODEL, Progress, Send
from mastickeel_router.routes import RouteKind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from mastickeel.clock import Clock
    from mastickeel.events import Event
    from mastickeel.httpclient import HttpClient
    from mastickeel_router.discovery import EndpointRecord, EndpointRegistry
    from mastickeel_router.placement import EndpointLoads
    from mastickeel_router.relay.budget import RepeatBudget
    from mastickeel_router.relay.listener import Responder
    from mastickeel_router.relay.types import AnswerHead, CallerRequest, Dialect, RequestHead
    from mastickeel_router.routes import Caller, Route, RouteTable

ANSWER_MARGIN_MS = 25
"""How long before the caller's own deadline the last answer leaves: the way to the caller and a
late timer."""
BUSY_RETRY_MS = 400
"""When to come back after every endpoint refused: about the work that a full queue holds."""
ABSENT_RETRY_MS = 1_000
"""When to come back while no endpoint is known: endpoints register about once a second."""
LARGEST_WORK = 3.0
"""How long the largest model takes for a token, against the engine's sheet."""
SMALLEST_WORK = 0.3
LARGEST_TOKEN_MS = 16.0
"""How long the largest model takes for a generated token, as the engines' sheets say."""
HIGHEST_URGENCY = 9
SIZE_RANK = 3
"""How much less urgent a larger model is: what is read fast goes first."""
EVENTS_FOR_PACE = 6
"""The fewest events that tell a stream's pace."""

REQUEST_SERVED = define(2340, "request_served", "info", "A request got an endpoint's answer.")
REQUEST_REFUSED = define(
    2341, "request_refused", "info", "A request was refused; it did not run. See code and sends."
)
REQUEST_FAILED = define(
    2342, "request_failed", "warning", "A request failed after it may have run. See the sends."
)
REQUEST_LEFT = define(2343, "request_left", "info", "The caller left before the answer's end.")
SEND_ENDED = define(
    2344, "send_ended", "info", "A send brought no whole answer; says why and what follows."
)


class DeadlineError(MastickeelError):
    """Raised when the time of a request is over and it may have run."""

    code = "deadline"
    status = 504
    title = "No answer came within the route's or the caller's time."
    remedy = "Ask the service whether the request ran before sending it again."
    ran = Ran.UNKNOWN


@dataclass(frozen=True)
class Observed:
    """What one send showed of an endpoint."""

    endpoint: EndpointRecord
    route: Route
    result: SendResult
    pace_ms: float | None = None
    """Time for each event after a stream's first, or for a whole answer; None when not known."""


@dataclass(frozen=True)
class Finished:
    """How a request of a route came to its end."""

    route: Route
    outcome: str
    """``served``, ``refused``, ``failed`` or ``left``."""
    took_ms: int
    first_ms: int
    """Until the first event; the whole time when there was none."""


@dataclass(frozen=True)
class Parts:
    """What the dispatcher works with."""

    clock: Clock
    draw: random.Random
    client: HttpClient
    dialect: Dialect
    table: RouteTable
    registry: EndpointRegistry
    loads: EndpointLoads
    budget: RepeatBudget
    select: Select
    """Keeps the endpoints whose version the request may run on."""
    observe: Callable[[Observed], None]
    """Told of each send."""
    finish: Callable[[Finished], None]
    """Told of each request that a route was found for."""


class Select(Protocol):
    """Keeps the endpoints whose version a request may run on."""

    def __call__(
        self,
        service: str,
        request: CallerRequest,
        records: Sequence[EndpointRecord],
        *,
        failed: bool = False,
    ) -> Sequence[EndpointRecord]:
        """Returns those of the records that may be sent the request."""


class Dispatcher:
    """Serves the requests of all routes."""

    def __init__(self, parts: Parts) -> None:
        """Makes the dispatcher.

        Args:
            parts: What it works with.
        """
        self._parts = parts

    async def serve(self, head: RequestHead, body: bytes, responder: Responder) -> None:
        """Answers one request.

        Args:
            head: Its first line and headers.
            body: Its body.
            responder: Takes the answer.
        """
        parts = self._parts
        request_id = ""
        try:
            request = parts.dialect.read_request(head)
            request_id = request.id
            route = parts.table.match(request.host, head.path)
            caller = parts.table.caller_of(route, request.key)
        except MastickeelError as error:
            log(REQUEST_REFUSED, request=request_id, target=head.target, code=error.code)
            await _refuse(parts.dialect, error, request_id, responder)
            return
        await _Run(parts, request, route, caller, body, responder).run()


async def _refuse(
    dialect: Dialect, error: MastickeelError, request_id: str, responder: Responder
) -> None:
    status, fields, body = dialect.write_refusal(error, request_id)
    await responder.whole(status, HTTPHeaders(fields), body)


class _Run:
    """One request on its way."""

    def __init__(
        self,
        parts: Parts,
        request: CallerRequest,
        route: Route,
        caller: Caller | None,
        body: bytes,
        responder: Responder,
    ) -> None:
        self._parts = parts
        self._request = request
        self._route = route
        self._caller = caller
        self._body = body
        self._responder = responder
        self._sender = Sender(parts.client, parts.dialect, parts.clock)
        self._progress = Progress(parts.clock.now(), last_event=request.last_event)
        self._first_event_ms: int | None = None
        self._sent_ms = 0
        self._foreseen_ms = 0.0
        limit = route.timeout_ms
        if request.deadline_ms is not None:
            limit = min(limit, request.deadline_ms - ANSWER_MARGIN_MS)
        self._until_ms = self._progress.started_ms + limit
        self._service = _pick_service(route, parts.draw)
        self._models = _models(route, request)
        self._size = 0
        self._confidence: int | None = None

    @property
    def _model(self) -> str:
        """The model that the next send asks for; empty for plain services."""
        return self._models[self._size] if self._models else ""

    @property
    def _left_ms(self) -> int:
        return self._until_ms - self._parts.clock.now()

    async def run(self) -> None:
        """Brings the request to its end and logs how it went."""
        parts = self._parts
        parts.budget.note_request(self._service)
        try:
            await parts.clock.wait_for(self._send_until_done(), self._left_ms)
        except TimeoutError:
            await self._give_up(self._timeout_error())
        except MastickeelError as error:
            await self._give_up(error)
        except (StreamClosedError, asyncio.CancelledError):
            self._end(REQUEST_LEFT)
            raise

    async def _send_until_done(self) -> None:
        """Sends the request until an answer can be delivered or nothing more can be done."""
        while True:
            endpoint = self._choose()
            result = await self._send(endpoint)
            situation = Situation(
                sends=self._progress.sends,
                unreached=self._progress.unreached,
                left_ms=self._left_ms,
                head_passed=self._progress.head_passed,
                may_have_run=self._progress.may_have_run,
            )
            paid = self._may_send_again(result, situation)
            step = next_step(result, self._route, situation, paid=paid)
            if result.end is not SendEnd.WHOLE or step is not Next.DELIVER:
                self._log(SEND_ENDED, endpoint=endpoint.id, reason=result.reason, then=step.value)
            if step is Next.SEND_AGAIN:
                continue
            await self._finish(step, result)
            return

    def _may_send_again(self, result: SendResult, situation: Situation) -> bool:
        """Says whether a further send is right and paid for."""
        if result.end is SendEnd.DROPPED:
            # A larger model has been paid for when the smaller one's answer was given up.
            return True
        if not wants_repeat(result, self._route, situation):
            return False
        return result.end is SendEnd.UNREACHED or self._parts.budget.take(self._service)

    def _choose(self) -> EndpointRecord:
        """Chooses the endpoint of the next send.

        Raises:
            UnavailableError: When there is none, and the request has not run.
            EndpointError: When there is none, and it may have.
        """
        parts = self._parts
        records = self._records()
        untried = [one for one in records if one.id not in self._progress.tried]
        endpoint = parts.loads.choose(untried or records, self._demand(self._size), self._model)
        if endpoint is not None:
            return endpoint
        detail = f"No endpoint of {self._service} is known."
        if self._progress.may_have_run:
            raise EndpointError(detail)
        raise UnavailableError(detail, retry_after_ms=ABSENT_RETRY_MS)

    def _records(self) -> Sequence[EndpointRecord]:
        """Returns the endpoints that the next send may go to."""
        known = self._parts.registry.usable(self._service)
        failed = self._progress.failures > 0
        return self._parts.select(self._service, self._request, known, failed=failed)

    def _demand(self, size: int) -> Demand:
        """Returns what a send for a model, by its place, asks of an endpoint."""
        prompt = self._request.prompt
        if prompt is None:
            return Demand()
        work = self._work(size)
        return Demand(prompt.tokens_in, prompt.parts, is_engine=True, work=work)

    def _work(self, size: int) -> float:
        """Estimates how long the model takes for a token from its price against the largest's."""
        configuration = self._parts.table.configuration
        service = configuration.services_by_name.get(self._service) if configuration else None
        if service is None or service.engine is None or len(self._models) < 2:
            return 1.0
        models_by_name = service.engine.models_by_name
        costs = [models_by_name[one].cost for one in self._models if one in models_by_name]
        if len(costs) < len(self._models) or not costs[-1]:
            return 1.0
        return max(SMALLEST_WORK, LARGEST_WORK * costs[size] / costs[-1])

    async def _send(self, endpoint: EndpointRecord) -> SendResult:
        """Sends the request to one endpoint and notes what that showed."""
        parts, progress = self._parts, self._progress
        progress.sends += 1
        progress.tried.append(endpoint.id)
        ran_before = progress.may_have_run
        began_ms = self._sent_ms = parts.clock.now()
        http_request = parts.dialect.write_send(self._describe(endpoint))
        answer = AnswerCollector(
            self._request,
            self._route,
            dialect=parts.dialect,
            responder=self._responder,
            progress=progress,
            judge=self._accepts,
        )
        demand = self._demand(self._size)
        self._foreseen_ms = parts.loads.foresee_ms([endpoint], demand, self._model)
        parts.loads.begin(endpoint, demand, self._model)
        try:
            result = await self._sender.send(
                http_request, endpoint, answer, route=self._route, left_ms=self._left_ms
            )
        finally:
            parts.loads.end(endpoint.id)
        if result.end is SendEnd.BROKEN or (result.head and result.head.status >= 500):
            progress.failures += 1
        if result.end is SendEnd.UNREACHED:
            progress.sends -= 1
            progress.unreached += 1
        if result.end in (SendEnd.NOT_RUN, SendEnd.UNREACHED):
            progress.may_have_run = ran_before
        self._note(endpoint, result, began_ms)
        return result

    def _describe(self, endpoint: EndpointRecord) -> Send:
        prompt, progress = self._request.prompt, self._progress
        priority = self._route.priority
        if self._caller is not None and self._caller.priority is not None:
            priority = self._caller.priority
        return Send(
            request=self._request,
            endpoint=endpoint,
            caller=self._caller,
            left_ms=self._left_ms,
            body=self._body,
            model=self._model if prompt is not None else "",
            after_event=progress.last_event,
            urgency=(
                min(priority + SIZE_RANK * self._size, HIGHEST_URGENCY)
                if prompt is not None
                else None
            ),
        )

    def _accepts(self, head: AnswerHead) -> bool:
        """Takes an answer, or gives it up for one of a larger model."""
        now = self._parts.clock.now()
        if not self._models:
            self._first_event_ms = now
            return True
        opinion = Opinion(
            confidence=head.confidence,
            size=self._size,
            sizes=len(self._models),
            waited_ms=now - self._progress.started_ms,
            objective_ms=self._route.objective_ms,
            larger_first_ms=self._foresee_largest_ms(),
            larger_rest_ms=LARGEST_TOKEN_MS * self._tokens_out,
            left_ms=self._left_ms,
        )
        loads = self._parts.loads
        loads.first_events.note(self._model, now - self._sent_ms, self._foreseen_ms)
        self._confidence = head.confidence
        larger = next_size(opinion)
        if larger is not None and self._may_drop() and self._parts.budget.take(self._service):
            self._size = larger
            return False
        self._first_event_ms = now
        return True

    @property
    def _tokens_out(self) -> int:
        """The most tokens that the answer may have."""
        return self._request.prompt.tokens_out if self._request.prompt else 0

    def _foresee_largest_ms(self) -> float:
        """Returns how long the largest model's first event would take now."""
        parts, model = self._parts, self._models[-1]
        demand = self._demand(len(self._models) - 1)
        records = self._records()
        foreseen_ms = parts.loads.foresee_ms(records, demand, model)
        return foreseen_ms + parts.loads.first_events.extra_ms(model)

    def _may_drop(self) -> bool:
        """Whether a larger model may be asked instead."""
        return self._progress.sends < self._route.attempts and self._route.may_repeat

    def _note(self, endpoint: EndpointRecord, result: SendResult, began_ms: int) -> None:
        """Tells who learns from sends."""
        breakers = self._parts.loads.breakers
        if result.end is SendEnd.WHOLE:
            breakers.note_success(endpoint.id)
        elif result.end in (SendEnd.BROKEN, SendEnd.UNREACHED):
            breakers.note_failure(endpoint.id, unreachable=result.end is SendEnd.UNREACHED)
        pace_ms = self._pace(result, began_ms)
        self._parts.observe(Observed(endpoint, self._route, result, pace_ms))

    def _pace(self, result: SendResult, began_ms: int) -> float | None:
        """Returns how long the answer took by its length; None when too little has come."""
        now = self._parts.clock.now()
        if self._route.kind is not RouteKind.STREAM:
            return float(now - began_ms) if result.end is SendEnd.WHOLE else None
        events = (self._progress.last_event or 0) - (self._request.last_event or 0)
        if self._first_event_ms is None or events < EVENTS_FOR_PACE or self._progress.sends > 1:
            return None
        return (now - self._first_event_ms) / events

    async def _finish(self, step: Next, result: SendResult) -> None:
        """Gives the caller what the last send left."""
        if step is Next.DELIVER:
            assert result.head is not None
            if not self._responder.begun:
                await self._responder.whole(result.head.status, result.head.headers, result.body)
            self._end(REQUEST_SERVED, status=result.head.status)
        elif step is Next.REFUSE:
            retry_ms = result.retry_after_ms or BUSY_RETRY_MS
            raise UnavailableError("No endpoint took the request.", retry_after_ms=retry_ms)
        else:
            raise EndpointError(f"The last endpoint: {result.reason}.")

    def _timeout_error(self) -> MastickeelError:
        """Says what a caller is told whose time is over."""
        if self._progress.may_have_run:
            return DeadlineError()
        return UnavailableError("No endpoint took the request in time.")

    async def _give_up(self, error: MastickeelError) -> None:
        """Ends the request without an endpoint's answer."""
        refused = error.ran is Ran.NO
        self._end(REQUEST_REFUSED if refused else REQUEST_FAILED, code=error.code)
        if self._responder.begun:
            self._responder.abort()
            return
        await _refuse(self._parts.dialect, error, self._request.id, self._responder)

    def _end(self, event: Event, **fields: object) -> None:
        """Notes the request's end."""
        self._log(event, **fields)
        took_ms = self._parts.clock.now() - self._progress.started_ms
        first = self._first_event_ms
        first_ms = took_ms if first is None else first - self._progress.started_ms
        outcome = event.name.removeprefix("request_")
        self._parts.finish(Finished(self._route, outcome, took_ms, first_ms))

    def _log(self, event: Event, **fields: object) -> None:
        """Writes what is known of the request with an event."""
        parts, progress = self._parts, self._progress
        configuration = parts.table.configuration
        first = self._first_event_ms
        log(
            event,
            request=self._request.id,
            route=self._route.name,
            service=self._service,
            account=self._caller.name if self._caller else "",
            model=self._model,
            confidence=self._confidence,
            sends=progress.sends,
            endpoints=progress.tried,
            took_ms=parts.clock.now() - progress.started_ms,
            first_ms=None if first is None else first - progress.started_ms,
            left_ms=self._left_ms,
            version=configuration.version if configuration else 0,
            **fields,
        )


def _pick_service(route: Route, draw: random.Random) -> str:
    """Draws one of the route's services by weight."""
    if len(route.splits) == 1:
        return route.splits[0].service
    weights = [split.weight for split in route.splits]
    return draw.choices([split.service for split in route.splits], weights)[0]


def _models(route: Route, request: CallerRequest) -> tuple[str, ...]:
    """Returns the models that may run the request, smallest first: the caller's, or the route's."""
    if request.prompt is None:
        return ()
    if request.prompt.model == ANY_MODEL and route.models:
        return route.models
    return (request.prompt.model,)

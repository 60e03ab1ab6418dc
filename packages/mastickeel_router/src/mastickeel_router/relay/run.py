"""Relays one request: chooses endpoints, sends, retries and delivers the answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from mastickeel.errors import EndpointError, ExecutionStatus, MastickeelError, UnavailableError
from mastickeel_router.quarantine.reports import ContentRefusedError
from mastickeel_router.relay.admission import AdmittedSend
from mastickeel_router.relay.cascade import Cascade
from mastickeel_router.relay.context import (
    REQUEST_FAILED,
    REQUEST_LEFT,
    REQUEST_REFUSED,
    REQUEST_SERVED,
    SEND_ENDED,
    OpenSend,
    SendObservation,
)
from mastickeel_router.relay.crashes import CrashDetector
from mastickeel_router.relay.placing import EndpointsAwayError, Placer
from mastickeel_router.relay.policy import (
    NextStep,
    RequestState,
    SendOutcome,
    SendResult,
    can_end,
    is_endpoint_absent,
    next_step,
    should_retry,
)
from mastickeel_router.relay.requestlog import RequestLog, describe_answer_end
from mastickeel_router.relay.sending import AnswerCollector, send_request
from mastickeel_router.relay.types import Progress, Send
from mastickeel_router.routes import RouteKind, home_regions, is_at_home

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from mastickeel_router.discovery import EndpointRecord
    from mastickeel_router.listeners.listener import Responder
    from mastickeel_router.relay.context import Context
    from mastickeel_router.relay.types import AnswerHead, CallerRequest, Dialect
    from mastickeel_router.routes import Caller, EngineTraits, Route

ANSWER_MARGIN_MS = 25
"""Time before the caller's own deadline by which the answer must leave: covers the network time to
the caller and a late timer."""
BUSY_RETRY_MS = 400
"""Retry time sent to callers after every endpoint refused: about the work in a full queue."""
NO_ENDPOINT_RETRY_MS = 1_000
"""Retry time sent to callers while no endpoint is known: endpoints register about once a second."""
STOP_RETRY_MS = 100
"""Retry time sent to callers while this instance stops: the other instances can serve at once."""
RETRY_JITTER = 0.4
"""Fraction by which a retry time is varied in either direction."""
RETURN_STEP_MS = 50
"""Delay of a caller's return for each step of its priority."""
MIN_PACE_EVENTS = 6
"""Minimum number of events from which a stream's pace is computed."""


class StoppingError(UnavailableError):
    """Raised when a request may not end before this instance stops, and has not been passed on."""

    code = "instance_stopping"
    title = "This instance stops before the request could end."
    remedy = "Send it again on a new connection, which leads to another instance."


class DeadlineError(MastickeelError):
    """Raised when a request that may have run reaches its deadline."""

    code = "deadline"
    status = 504
    title = "The service did not answer within the route's or the caller's time limit."
    remedy = "Ask the service whether the request ran before sending it again."
    ran = ExecutionStatus.UNKNOWN


class StoppedError(DeadlineError):
    """Raised when a request that may have run has not ended before this instance stops."""

    code = "instance_stopped"
    title = "This instance stops, and the service has not answered."


async def send_error(
    dialect: Dialect, error: MastickeelError, request_id: str, responder: Responder
) -> None:
    """Sends an error as the answer to a request."""
    status, fields, body = dialect.write_error(error, request_id)
    await responder.write_answer(status, HTTPHeaders(fields), body)


def find_limit_ms(request: CallerRequest, route: Route) -> int:
    """Returns the time that the caller and the route leave a request, from its arrival."""
    if request.timeout_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, request.timeout_ms - ANSWER_MARGIN_MS)


class RequestRun:
    """Relays one request until it is answered, refused or failed."""

    def __init__(
        self,
        context: Context,
        request: CallerRequest,
        route: Route,
        caller: Caller | None,
        body: bytes,
        responder: Responder,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._caller = caller
        self._body = body
        self._responder = responder
        self._progress = Progress(context.clock.now(), last_event=request.last_event)
        self._sent_ms = 0
        self._events_before = 0
        self._first_event_at_ms: int | None = None
        self._release_answer: Callable[[], None] = _release_nothing
        self._begin_delivery: Callable[[int, Callable[[], None]], None] | None = None
        limit = find_limit_ms(request, route)
        self._limit_detail = f"the route allows {limit} ms."
        if limit < route.timeout_ms:
            self._limit_detail = f"the caller waits for {request.timeout_ms} ms."
        self._deadline_ms = self._progress.started_ms + limit
        self._homes = home_regions(route, caller)
        self._pin = context.sessions.version_of(request.session)
        self._work: asyncio.Task[None] | None = None
        self._is_ended = False
        self._service = _choose_service(route, context.rng)
        account = caller.name if caller else ""
        self._crash_detector = CrashDetector(context, request, account, body, service=self._service)
        self._cascade = Cascade(
            request,
            route,
            traits=self._engine_traits(),
            loads=context.loads,
            priority=self._priority,
            body_bytes=len(body),
        )
        self._placer = Placer(
            context,
            service=self._service,
            list_endpoints=self._selectable_endpoints,
            tried_ids=self._progress.tried_ids,
            homes=self._homes,
        )
        self._log = RequestLog(
            context,
            request,
            route,
            caller,
            service=self._service,
            cascade=self._cascade,
            progress=self._progress,
            deadline_ms=self._deadline_ms,
        )

    @property
    def _remaining_ms(self) -> int:
        """Time left for the request, which also ends when this instance stops."""
        stop = self._context.planned_stop()
        end_ms = self._deadline_ms if stop is None else min(self._deadline_ms, stop.end_ms)
        return end_ms - self._context.clock.now()

    @property
    def _is_too_late(self) -> bool:
        """Whether the request has not been passed on and could not end before this instance."""
        now = self._context.clock.now()
        fits = can_end(self._context.planned_stop(), now, self._deadline_ms - now)
        return not fits and not self._progress.may_have_run

    async def run(self) -> None:
        """Relays the request within its deadline and logs the outcome."""
        context = self._context
        context.budget.record_request(self._service)
        self._work = asyncio.ensure_future(self._send_until_done())
        try:
            await context.clock.wait_for(self._work, self._remaining_ms)
        except TimeoutError:
            await self._end_with_error(self._timeout_error())
        except MastickeelError as error:
            await self._end_with_error(error)
        except (StreamClosedError, asyncio.CancelledError):
            if not self._is_ended:
                self._log.log_end(REQUEST_LEFT)
                raise
            await self._end_with_error(self._timeout_error())
        finally:
            # A cancelled task keeps its frames, and with them the answer, as long as it is kept.
            self._work = None
            self._release_answer()

    def end(self) -> None:
        """Ends the request with an answer of this instance, which stops."""
        self._is_ended = True
        if self._work is not None:
            self._work.cancel()

    async def _send_until_done(self) -> None:
        """Sends the request until an answer can be delivered or no retry is left."""
        while True:
            if self._is_too_late:
                raise make_stopping_error(self._context)
            self._check_content()
            endpoint = await self._choose_endpoint()
            result = await self._send(endpoint)
            state = RequestState(
                sends=self._progress.sends,
                unreached=self._progress.unreached,
                remaining_ms=self._remaining_ms,
                head_forwarded=self._progress.head_forwarded,
                may_have_run=self._progress.may_have_run,
            )
            granted = self._acquire_retry(result, state)
            step = next_step(result, self._route, state, retry_granted=granted)
            if result.outcome is not SendOutcome.WHOLE or step is not NextStep.DELIVER:
                reason = _describe_failure(result)
                self._log.write(
                    SEND_ENDED,
                    endpoint=endpoint.id,
                    reason=reason,
                    then=step.value,
                    **describe_answer_end(result),
                )
            if step is NextStep.SEND_AGAIN:
                continue
            await self._finish(step, result)
            return

    def _check_content(self) -> None:
        """Checks before each send that the content is not refused for crashing endpoints.

        Raises:
            ContentRefusedError: When the content is refused and the request has not run.
            EndpointError: When the content is refused and the request may have run.
        """
        try:
            self._crash_detector.check()
        except ContentRefusedError as error:
            if self._progress.may_have_run:
                raise EndpointError(error.detail) from error
            raise

    def _acquire_retry(self, result: SendResult, state: RequestState) -> bool:
        """Returns whether the request may be sent again, and takes the retry from the budget."""
        if result.outcome is SendOutcome.DROPPED:
            # The retry was taken from the budget when the smaller model's answer was discarded.
            return True
        if not should_retry(result, self._route, state):
            return False
        is_free = result.outcome in (SendOutcome.UNREACHED, SendOutcome.WITHHELD)
        return is_free or self._context.budget.try_acquire(self._service)

    async def _choose_endpoint(self) -> EndpointRecord:
        """Selects the endpoint of the next send, and waits if its rate limit requires it.

        Raises:
            UnavailableError: When no endpoint accepts the request, which has not run.
            EndpointError: When no endpoint accepts the request, which may have run.
        """
        try:
            return await self._placer.place(
                self._cascade.demand, self._cascade.model, self._time_left_ms
            )
        except UnavailableError as error:
            if self._progress.may_have_run:
                raise EndpointError(error.detail) from error
            if isinstance(error, EndpointsAwayError):
                error.retry_after_ms = self._spread_return(error.retry_after_ms or 0)
            else:
                error.retry_after_ms = self._jitter(error.retry_after_ms or NO_ENDPOINT_RETRY_MS)
            raise
        finally:
            self._log.candidate_count = self._placer.candidate_count

    @property
    def _time_left_ms(self) -> int:
        """Time within which the first event of the next send should arrive."""
        waited_ms = self._context.clock.now() - self._progress.started_ms
        return max(0, min(self._route.objective_ms - waited_ms, self._remaining_ms // 2))

    def _engine_traits(self) -> EngineTraits | None:
        """Returns the configured traits of the service's engines; None for a plain service."""
        configuration = self._context.table.configuration
        service = configuration.services_by_name.get(self._service) if configuration else None
        return service.engine if service else None

    def _selectable_endpoints(self) -> Sequence[EndpointRecord]:
        """Returns the endpoints that may serve the next send."""
        availability, evacuations = self._context.availability, self._context.evacuations
        known = [
            record
            for record in self._context.registry.usable(self._service)
            if not availability.is_leaving(record) and not evacuations.covers(record)
        ]
        if self._homes is not None:
            regions = self._context.regions_by_data_centre
            known = [one for one in known if is_at_home(one.data_centre, self._homes, regions)]
        if not self._route.allows_retry:
            # Its second refusal may be the first one, written once more while the request runs.
            refused_by = self._progress.refused_by
            known = [one for one in known if (one.id, one.started_ms) not in refused_by]
        failed = self._progress.failures > 0
        return self._context.select_endpoints(
            self._service, self._request, known, pin=self._pin, failed=failed
        )

    async def _send(self, endpoint: EndpointRecord) -> SendResult:
        """Sends the request to one endpoint and records the result."""
        context, progress = self._context, self._progress
        progress.sends += 1
        progress.tried_ids.append(endpoint.id)
        ran_before = progress.may_have_run
        start_ms = self._sent_ms = context.clock.now()
        self._events_before = progress.last_event or 0
        self._first_event_at_ms = None
        admitted = AdmittedSend(context, self._placer.take_admission())
        http_request = context.dialect.write_send(self._build_send(endpoint))
        self._release_answer()
        answer = AnswerCollector(
            self._request,
            self._route,
            clock=context.clock,
            memory=context.held_memory,
            dialect=context.dialect,
            responder=self._responder,
            progress=progress,
            accept_head=self._accept_answer,
            observe_head=lambda head: self._observe_head(endpoint, head, start_ms, admitted),
        )
        self._release_answer = answer.release
        self._begin_delivery = answer.begin_delivery
        demand = self._cascade.demand
        self._log.predicted_wait_ms = context.loads.predict_first_event_ms(
            [endpoint], demand, self._cascade.model
        )
        self._log.log_placement(endpoint)
        context.loads.record_start(endpoint, demand, self._cascade.model)
        send = OpenSend(
            endpoint,
            self._route,
            self._cascade.model,
            start_ms,
            lambda: self._min_pace_ms(start_ms),
        )
        context.open_sends.add(send)
        try:
            result = await send_request(
                context.paths,
                http_request,
                endpoint,
                answer,
                route=self._route,
                remaining_ms=self._remaining_ms,
                may_send=lambda: self._may_send(endpoint, admitted),
            )
            if result.via and result.head is not None:
                context.on_tunnelled_head(endpoint, result.head, result.via)
        except (StreamClosedError, asyncio.CancelledError):
            context.on_send_abandoned(send)
            raise
        finally:
            admitted.record_end()
            context.open_sends.discard(send)
            context.loads.record_end(endpoint.id)
            self._log.pace_ms = self._stream_pace_ms()
            if (rest_ms := self._streamed_ms) is not None:
                self._cascade.record_rest(rest_ms)
        if result.outcome is SendOutcome.BROKEN or (result.head and result.head.status >= 500):
            progress.failures += 1
        if result.outcome in (SendOutcome.UNREACHED, SendOutcome.WITHHELD):
            progress.sends -= 1
            progress.unreached += 1
        start = (endpoint.id, endpoint.started_ms)
        if result.outcome in (SendOutcome.UNREACHED, SendOutcome.WITHHELD) or (
            result.outcome is SendOutcome.NOT_RUN and start not in progress.refused_by
        ):
            progress.may_have_run = ran_before
        if result.outcome is SendOutcome.NOT_RUN:
            progress.refused_by.add(start)
        else:
            context.sessions.record_run(self._request.session, endpoint.version)
        self._record_result(send, result, start_ms)
        return result

    def _may_send(self, endpoint: EndpointRecord, admitted: AdmittedSend) -> bool:
        """Returns whether an endpoint still wants the request, which is sent at once then."""
        return not self._is_too_late and self._context.accepts(endpoint) and admitted.start()

    def _observe_head(
        self, endpoint: EndpointRecord, head: AnswerHead, start_ms: int, admitted: AdmittedSend
    ) -> None:
        """Records what the head of an answer says about its endpoint."""
        admitted.record_head(head)
        self._context.tolerances.record_answer(endpoint, head, start_ms)
        self._context.limits.record_answer(endpoint, head, start_ms)
        self._context.availability.record_answer(endpoint, head)

    @property
    def _priority(self) -> int:
        """Priority of the client account, or else of the route; 0 is the most urgent."""
        if self._caller is not None and self._caller.priority is not None:
            return self._caller.priority
        return self._route.priority

    def _build_send(self, endpoint: EndpointRecord) -> Send:
        prompt, progress = self._request.prompt, self._progress
        return Send(
            request=self._request,
            endpoint=endpoint,
            caller=self._caller,
            remaining_ms=self._remaining_ms,
            body=self._body,
            model=self._cascade.model if prompt is not None else "",
            after_event=progress.last_event,
            engine_priority=self._cascade.engine_priority if prompt is not None else None,
        )

    def _accept_answer(self, head: AnswerHead) -> bool:
        """Returns whether to keep the answer; False escalates to a larger model."""
        now, cascade = self._context.clock.now(), self._cascade
        first_event_ms = now - self._sent_ms
        cascade.record_first_event(first_event_ms, self._log.predicted_wait_ms)
        larger_index = cascade.choose_larger(
            head,
            self._selectable_endpoints(),
            waited_ms=now - self._progress.started_ms,
            remaining_ms=self._remaining_ms,
        )
        if (
            larger_index is not None
            and self._can_escalate()
            and self._context.budget.try_acquire(self._service)
        ):
            cascade.model_index = larger_index
            return False
        self._log.first_event_at_ms = self._first_event_at_ms = now
        return True

    def _can_escalate(self) -> bool:
        """Returns whether the route and the endpoints permit another send to a larger model."""
        if self._progress.sends >= self._route.attempts or not self._route.allows_retry:
            return False
        return self._placer.has_unlimited()

    def _record_result(self, send: OpenSend, result: SendResult, start_ms: int) -> None:
        """Reports a send to the crash detector, the circuit breakers and the context's callback."""
        endpoint = send.endpoint
        self._crash_detector.record_send(endpoint, result, self._streamed_ms)
        breakers = self._context.loads.breakers
        if result.outcome is SendOutcome.WHOLE:
            breakers.record_success(endpoint.id)
        elif not result.path_lost and (
            result.outcome is SendOutcome.BROKEN or is_endpoint_absent(result)
        ):
            breakers.record_failure(endpoint.id, unreachable=is_endpoint_absent(result))
        pace_ms = self._pace_ms(result, start_ms)
        self._context.on_send(
            SendObservation(
                endpoint,
                self._route,
                result,
                self._cascade.model,
                pace_ms,
                send.counted_pace,
                start_ms,
            )
        )

    @property
    def _streamed_ms(self) -> int | None:
        """Time since the first event of the current stream; None before it."""
        first_ms = self._first_event_at_ms
        return None if first_ms is None else self._context.clock.now() - first_ms

    def _pace_ms(self, result: SendResult, start_ms: int) -> float | None:
        """Returns the mean time per event of a stream, or the time of a plain answer.

        None when a stream had too few events or a plain answer is not complete.
        """
        if self._route.kind is RouteKind.STREAM:
            return self._stream_pace_ms()
        took_ms = self._context.clock.now() - start_ms
        return float(took_ms) if result.outcome is SendOutcome.WHOLE else None

    def _stream_pace_ms(self) -> float | None:
        """Returns the mean time per event of the current stream; None before enough events."""
        events = (self._progress.last_event or 0) - self._events_before
        if self._first_event_at_ms is None or events < MIN_PACE_EVENTS:
            return None
        return (self._context.clock.now() - self._first_event_at_ms) / events

    def _min_pace_ms(self, start_ms: int) -> float | None:
        """Returns the least pace that the current answer can still have if it ends now."""
        now = self._context.clock.now()
        if self._route.kind is not RouteKind.STREAM:
            return float(now - start_ms)
        if self._first_event_at_ms is None:
            return None
        events = (self._progress.last_event or 0) - self._events_before
        return (now - self._first_event_at_ms) / max(events + 1, MIN_PACE_EVENTS)

    async def _finish(self, step: NextStep, result: SendResult) -> None:
        """Delivers the last send's answer, or raises the error that ends the request."""
        if step is NextStep.DELIVER:
            assert result.head is not None
            if not result.is_forwarded:
                if self._begin_delivery is not None:
                    self._begin_delivery(len(result.body), self._responder.give_up)
                await self._responder.write_answer(
                    result.head.status, result.head.headers, result.body
                )
            self._log.log_end(
                REQUEST_SERVED, status=result.head.status, **describe_answer_end(result)
            )
        elif step is NextStep.REFUSE:
            retry_ms = self._jitter(BUSY_RETRY_MS)
            raise UnavailableError("No endpoint accepted the request.", retry_after_ms=retry_ms)
        else:
            raise EndpointError(f"The last endpoint failed: {_describe_failure(result)}.")

    def _jitter(self, retry_ms: int) -> int:
        """Varies a retry time, so that callers refused together do not retry together."""
        return round(retry_ms * self._context.rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER))

    def _spread_return(self, away_ms: int) -> int:
        """Delays a return, so that callers come back one after the other and urgent ones first."""
        rank = self._priority * RETURN_STEP_MS
        return round(away_ms + rank + self._context.rng.uniform(0, RETRY_JITTER * away_ms))

    def _timeout_error(self) -> MastickeelError:
        """Returns the error for a request that has reached its deadline, or this instance's end."""
        stop, now = self._context.planned_stop(), self._context.clock.now()
        is_stopped = self._is_ended or (stop is not None and now >= stop.end_ms)
        if is_stopped and self._progress.may_have_run:
            return StoppedError("The grace period of a planned stop is over.")
        if is_stopped:
            return make_stopping_error(self._context)
        if self._progress.may_have_run:
            return DeadlineError(self._limit_detail)
        return UnavailableError(
            f"No endpoint accepted the request in time: {self._limit_detail}",
            retry_after_ms=self._jitter(BUSY_RETRY_MS),
        )

    async def _end_with_error(self, error: MastickeelError) -> None:
        """Ends the request with an error; closes the connection if an answer has started."""
        refused = error.ran is ExecutionStatus.NO
        self._context.on_error_reply(error.code)
        event = REQUEST_REFUSED if refused else REQUEST_FAILED
        self._log.log_end(event, code=error.code, detail=error.detail)
        if self._responder.started:
            self._responder.abort()
            return
        await send_error(self._context.dialect, error, self._request.id, self._responder)


def make_stopping_error(context: Context) -> StoppingError:
    """Returns the error for a request that comes too late in a planned stop."""
    retry_ms = round(STOP_RETRY_MS * context.rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER))
    return StoppingError("It came late in a planned stop.", retry_after_ms=retry_ms)


def _describe_failure(result: SendResult) -> str:
    """Returns why an answer is not delivered."""
    return result.reason or f"status {result.head.status if result.head else 0}"


def _release_nothing() -> None:
    """Stands for the memory of an answer before the first send."""


def _choose_service(route: Route, rng: random.Random) -> str:
    """Returns one of the route's services, chosen at random by weight."""
    if len(route.splits) == 1:
        return route.splits[0].service
    weights = [split.weight for split in route.splits]
    return rng.choices([split.service for split in route.splits], weights)[0]

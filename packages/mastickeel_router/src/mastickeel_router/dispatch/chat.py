"""Runs chat requests on the endpoints of the chosen version."""

from __future__ import annotations

import contextlib
from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel.errors import (
    EndpointError,
    ExecutionStatus,
    MastickeelError,
    NoVersionError,
    UnavailableError,
)
from mastickeel.events import define_event
from mastickeel.httpmessages import ConnectionFailedError, ExchangeBrokenError
from mastickeel.logs import log
from mastickeel_router.dispatch.answer import AnswerAbortedError, AnswerStream
from mastickeel_router.dispatch.engine import (
    EndpointRefusedError,
    RequestRefusedError,
    Send,
    cancel_on_engine,
    read_answer,
)
from mastickeel_router.dispatch.prefixes import compute_prompt_prefix
from mastickeel_router.dispatch.retry_budget import RetryBudget
from mastickeel_router.requests import Outcome, Run, Usage

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    from contextlib import AbstractAsyncContextManager

    from mastickeel.httpclient import HttpClient
    from mastickeel.metrics import Metrics
    from mastickeel.model import Endpoint, Version, View
    from mastickeel.tasks import TaskGroup
    from mastickeel_router.dispatch.endpoints import EndpointTable
    from mastickeel_router.listeners.memory import HeldMemory
    from mastickeel_router.requests import ChatRequest, Choice, Sink

MAX_ENDPOINTS = 3
"""Endpoints that are tried for one answer."""
MAX_IDLE_RESUMES = 2
"""Consecutive resumes without a new piece, after which the endpoint counts as lost."""
BUSY_RETRY_AFTER_MS = 1_000

ENDPOINT_FAILED = define_event(
    1500,
    "endpoint_failed",
    "warning",
    "An endpoint failed a request; the error field has the reason.",
)
ANSWER_RESUMED = define_event(
    1501,
    "answer_resumed",
    "info",
    "The stream of an answer broke; it is resumed on the same endpoint.",
)
ANSWER_CONTINUED = define_event(
    1502,
    "answer_continued",
    "warning",
    "The endpoint of an answer was lost; the answer continues on another endpoint.",
)


class DeadlineError(MastickeelError):
    """Raised when a request's deadline has passed or cannot be met."""

    code = "deadline"
    status = 504
    title = "The deadline of the request cannot be met."
    remedy = "Send the request again with a later deadline, or when the load is lower."


class EndpointLostError(EndpointError):
    """Raised when an endpoint was lost after it may have run a request."""

    code = "endpoint_lost"


async def _allow_continuation(request: ChatRequest, endpoint_id: str) -> None:
    """Allows every request to continue on another endpoint."""


@contextlib.asynccontextmanager
async def _no_guard(
    request: ChatRequest, version_id: str, endpoint: Endpoint
) -> AsyncIterator[None]:
    """Allows every request to be sent."""
    yield


class ChatDispatcher:
    """Sends chat requests to engines and returns complete answers."""

    def __init__(
        self,
        client: HttpClient,
        endpoints: EndpointTable,
        view: Callable[[], View],
        on_outcome: Callable[[Outcome], None],
        *,
        metrics: Metrics,
        memory: HeldMemory,
        tasks: TaskGroup,
        on_endpoint_lost: Callable[[ChatRequest, str], Awaitable[None]] = _allow_continuation,
        guard: Callable[
            [ChatRequest, str, Endpoint], AbstractAsyncContextManager[None]
        ] = _no_guard,
    ) -> None:
        """Creates the dispatcher.

        Args:
            client: Sends the requests.
            endpoints: Chooses the endpoint of each send.
            view: Returns the configuration to check each send against.
            on_outcome: Called with the outcome of each run.
            metrics: Counts resumes and dropped events.
            memory: Counts the events that are not complete.
            tasks: Runs cancellations in the background.
            on_endpoint_lost: Called with a request and the id of the endpoint lost while running
                it, before the request is sent to another endpoint; raises to prevent that send.
            guard: Returns a context for the run of a request and version on one endpoint; raises to
                prevent the send.
        """
        self.budget = RetryBudget()
        """The budget for retries on other endpoints."""
        self._client = client
        self._clock = client.clock
        self._endpoints = endpoints
        self._view = view
        self._on_outcome = on_outcome
        self._metrics = metrics
        self._memory = memory
        self._tasks = tasks
        self._on_endpoint_lost = on_endpoint_lost
        self.guard = guard
        """Returns the context in which a request runs on one endpoint."""

    async def run(self, request: ChatRequest, choice: Choice, sink: Sink) -> tuple[Run, ...]:
        """Runs a request on the chosen version until its answer is complete.

        Args:
            request: The request to run.
            choice: The version to run the request on.
            sink: Receives the events of the answer.

        Returns:
            The runs to bill: one entry for each endpoint that produced a part of the answer.

        Raises:
            NoVersionError: When the version has been withdrawn meanwhile.
            DeadlineError: When the deadline passes before the answer is complete.
            RequestRefusedError: When the engine refuses the request as invalid.
            EndpointError: When the endpoints failed.
            UnavailableError: When no usable endpoint is left.
        """
        run = _ChatRun(self, request, choice, sink)
        try:
            return await self._run_until_deadline(run, request.deadline_ms)
        except MastickeelError as error:
            # The code that raised the error may not know of an earlier send.
            error.ran = run.ran
            raise
        finally:
            run.close()

    async def _run_until_deadline(self, run: _ChatRun, deadline_ms: int | None) -> tuple[Run, ...]:
        """Runs a request until its deadline, if the request has one."""
        if deadline_ms is None:
            return await run.run()
        remaining_ms = deadline_ms - self._clock.now()
        if remaining_ms <= 0:
            raise DeadlineError("The deadline had passed before the request was sent.")
        try:
            return await self._clock.wait_for(run.run(), remaining_ms)
        except TimeoutError as error:
            raise DeadlineError("The deadline passed before the answer was complete.") from error

    def check_version(self, request: ChatRequest, choice: Choice) -> tuple[View, Version]:
        """Returns the view and version for a send, after checking that it is allowed now.

        Raises:
            NoVersionError: When the version may not run the request now.
            UnavailableError: When the configuration may be out of date.
        """
        view = self._view()
        if not view.allows(request.account_id, choice.version_id):
            raise NoVersionError(f"{choice.version_id} is no longer allowed.")
        return view, view.committed.versions_by_id[choice.version_id]

    def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Cancels a request on an engine, in the background."""
        self._tasks.start(self._cancel(endpoint, request_id))

    async def _cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Tries the cancellation twice; an unreachable engine drops the request by itself."""
        for _ in range(2):
            try:
                await cancel_on_engine(self._client, endpoint, request_id)
            except (ConnectionFailedError, ExchangeBrokenError):
                continue
            self._metrics.count("dispatch.cancelled")
            return


class _ChatRun:
    """The run of one request, on one endpoint or several in turn."""

    def __init__(
        self, dispatcher: ChatDispatcher, request: ChatRequest, choice: Choice, sink: Sink
    ) -> None:
        self._sent_state = ExecutionStatus.NO
        self._dispatcher = dispatcher
        self._request = request
        self._choice = choice
        self._sink = sink
        self._clock = dispatcher._clock
        self._count = dispatcher._metrics.count
        self._answer = AnswerStream(
            request.id, sink, self._clock, self._count, memory=dispatcher._memory
        )
        self._endpoints = dispatcher._endpoints
        self._prefix = compute_prompt_prefix(choice.version_id, request.body)
        self._parts: list[tuple[str, int]] = []
        """The endpoint of each part of the answer, and the offset at which the part starts."""

    @property
    def ran(self) -> ExecutionStatus:
        """Whether any part of the request has run or may have run."""
        return ExecutionStatus.YES if self._answer.started else self._sent_state

    def close(self) -> None:
        """Returns the memory of an event that was not complete."""
        self._answer.close()

    async def run(self) -> tuple[Run, ...]:
        """Runs the request on one endpoint after another until the answer is complete."""
        tried_ids: frozenset[str] = frozenset()
        failure: MastickeelError | None = None
        for _ in range(MAX_ENDPOINTS):
            try:
                view, version = self._dispatcher.check_version(self._request, self._choice)
                if failure and not self._spend_retry(version):
                    break
                endpoint = self._endpoints.choose(view, version.pool, tried_ids, self._prefix)
            except UnavailableError as error:
                failure = failure or error
                break
            tried_ids |= {endpoint.id}
            try:
                return await self._run_on(endpoint, version)
            except RequestRefusedError:
                raise
            except (ConnectionFailedError, EndpointError) as error:
                log(ENDPOINT_FAILED, endpoint=endpoint.id, error=str(error), id=self._request.id)
                failure = error
            if isinstance(failure, EndpointLostError):
                await self._dispatcher._on_endpoint_lost(self._request, endpoint.id)
        raise self._final_error(failure)

    def _spend_retry(self, version: Version) -> bool:
        """Spends a retry from the budget; returns False when the budget is used up."""
        if self._dispatcher.budget.try_spend(self._request.account_id, version.pool):
            return True
        self._count("dispatch.retry_refused")
        return False

    def _final_error(self, failure: MastickeelError | None) -> MastickeelError:
        """Returns the error for the caller, which states whether the request may have run."""
        if self.ran is ExecutionStatus.NO:
            detail = failure.detail if failure else "No endpoint accepted the request."
            after_ms = failure.retry_after_ms if failure else None
            return UnavailableError(detail, retry_after_ms=after_ms or BUSY_RETRY_AFTER_MS)
        return EndpointError(failure.detail if failure else "")

    async def _run_on(self, endpoint: Endpoint, version: Version) -> tuple[Run, ...]:
        """Runs the rest of the answer on one endpoint and reports the outcome."""
        began_ms = self._clock.now()
        request = self._request
        outcome = Outcome(
            request_id=request.id,
            account_id=request.account_id,
            kind=request.kind,
            session=request.session,
            version_id=version.id,
            endpoint_id=endpoint.id,
            ok=False,
        )
        start_offset = self._answer.offset
        try:
            with self._endpoints.count_in_flight(endpoint):
                async with self._dispatcher.guard(request, version.id, endpoint):
                    await self._read_with_resumes(endpoint, version)
        except MastickeelError as error:
            if self._answer.offset > start_offset:
                self._parts.append((endpoint.id, start_offset))
            self._record_failure(endpoint, error)
            self._dispatcher._on_outcome(replace(outcome, error_code=error.code))
            raise
        self._endpoints.breakers.record_success(endpoint.id)
        self._parts.append((endpoint.id, start_offset))
        runs = self._billed_runs(version)
        now_ms = self._clock.now()
        first_ms = self._answer.first_piece_at_ms or now_ms
        self._dispatcher._on_outcome(
            replace(
                outcome,
                ok=True,
                first_event_ms=max(0, first_ms - began_ms),
                total_ms=now_ms - began_ms,
                usage=runs[-1].usage,
                cost=runs[-1].cost,
            )
        )
        self._dispatcher.budget.record_success(request.account_id, version.pool)
        return runs

    def _record_failure(self, endpoint: Endpoint, error: MastickeelError) -> None:
        """Records a failure with the endpoint's breaker, if the endpoint caused the failure."""
        if isinstance(error, RequestRefusedError):
            return
        if isinstance(error, ConnectionFailedError | EndpointError):
            unreachable = isinstance(error, ConnectionFailedError) or isinstance(
                error.__cause__, ConnectionFailedError
            )
            self._endpoints.breakers.record_failure(endpoint.id, unreachable=unreachable)

    async def _read_with_resumes(self, endpoint: Endpoint, version: Version) -> None:
        """Sends the request, and resumes it on the same endpoint while resumes bring new pieces."""
        resume = self._answer.started
        if not resume:
            self._sink.start(version.id)
        else:
            self._count("dispatch.continued")
            log(ANSWER_CONTINUED, endpoint=endpoint.id, offset=self._answer.offset)
        running = False
        idle_resumes = 0
        try:
            while True:
                sequence_before = self._answer.sequence
                send = Send(self._request, version.id, endpoint, resume)
                try:
                    running = await self._read_once(send, running)
                    return
                except AnswerAbortedError as error:
                    raise EndpointLostError(str(error), ran=ExecutionStatus.UNKNOWN) from error
                except ExchangeBrokenError as error:
                    running = True
                    idle_resumes = (
                        0 if self._answer.sequence > sequence_before else idle_resumes + 1
                    )
                    self._check_resume(error, idle_resumes)
                self._count("dispatch.resumed")
                log(ANSWER_RESUMED, endpoint=endpoint.id, offset=self._answer.offset)
                resume = True
                self._dispatcher.check_version(self._request, self._choice)
        except BaseException:
            if running or self.ran is not ExecutionStatus.NO:
                self._dispatcher.cancel(endpoint, self._request.id)
            raise

    async def _read_once(self, send: Send, running: bool) -> bool:
        """Reads the answer over one connection; returns True at its end.

        Args:
            send: The request to send.
            running: Whether an earlier send may be running on the endpoint, so that a refusal or
                failed connection means that its run was lost.
        """
        sent_before = self._sent_state

        def before_send() -> None:
            self._dispatcher.check_version(self._request, self._choice)
            self._sent_state = ExecutionStatus.UNKNOWN

        try:
            await read_answer(self._dispatcher._client, send, self._answer, before_send)
        except (ConnectionFailedError, EndpointRefusedError) as error:
            if running:
                raise EndpointLostError(error.detail, ran=ExecutionStatus.UNKNOWN) from error
            if error.ran is ExecutionStatus.NO:
                self._sent_state = sent_before
            raise
        return True

    def _check_resume(self, error: ExchangeBrokenError, idle_resumes: int) -> None:
        """Raises when resumes bring no new pieces, or the answer cannot be resumed."""
        if idle_resumes > MAX_IDLE_RESUMES:
            raise EndpointLostError(error.detail, ran=ExecutionStatus.UNKNOWN) from error
        if not self._answer.resumable:
            raise EndpointError(error.detail, ran=ExecutionStatus.UNKNOWN) from error

    def _billed_runs(self, version: Version) -> tuple[Run, ...]:
        """Returns the runs to bill: for each endpoint the prompt and the pieces it produced."""
        usage = self._answer.usage
        ends = [start for _, start in self._parts[1:]] + [usage.completion_tokens]
        runs = []
        for (endpoint_id, start), end in zip(self._parts, ends, strict=True):
            part = Usage(usage.prompt_tokens, max(0, end - start))
            cost = version.compute_cost(part.prompt_tokens, part.completion_tokens)
            runs.append(Run(version.id, endpoint_id, part, cost, continued=start > 0))
        return tuple(runs)

"""Sends calls to plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.addresses import Address
from mastickeel.errors import (
    EndpointError,
    ExecutionStatus,
    ForbiddenError,
    MastickeelError,
    OutcomeUnknownError,
    UnavailableError,
)
from mastickeel.httpclient import LimitedBody
from mastickeel.httpmessages import (
    AnswerTooLargeError,
    ConnectionFailedError,
    ExchangeBrokenError,
    HttpAnswer,
    HttpHead,
    HttpRequest,
    Timeouts,
)
from mastickeel_router.dispatch.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.httpclient import HttpClient
    from mastickeel.model import Endpoint, View
    from mastickeel_router.dispatch.endpoints import EndpointTable
    from mastickeel_router.listeners.memory import MemoryShare
    from mastickeel_router.requests import ServiceRequest

MAX_ATTEMPTS = 3
CONNECT_TIMEOUT_MS = 1_000
FIRST_BYTE_TIMEOUT_MS = 30_000
BETWEEN_BYTES_TIMEOUT_MS = 10_000
TOTAL_TIMEOUT_MS = 300_000
"""Timeout of a whole answer, so that one that arrives slowly without end is not read for ever."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
JOINED_COPIES = 2
"""Copies of an answer that exist while its parts are joined."""
BUSY_RETRY_AFTER_MS = 1_000


def _allow_send() -> None:
    """Allows every send."""


def _keep_answer() -> None:
    """Stands for the end of an exchange that has ended."""


class ServiceDispatcher:
    """Sends calls to the endpoints of plain services."""

    def __init__(
        self, client: HttpClient, endpoints: EndpointTable, view: Callable[[], View]
    ) -> None:
        """Creates the dispatcher.

        Args:
            client: Sends the calls.
            endpoints: Chooses the endpoint of each send.
            view: Returns the configuration in force.
        """
        self.budget = RetryBudget()
        """The budget for retries of repeatable calls."""
        self._client = client
        self.endpoints = endpoints
        """Chooses the endpoint of each send."""
        self._view = view

    async def run(
        self,
        request: ServiceRequest,
        before_send: Callable[[], None] = _allow_send,
        *,
        share: MemoryShare,
    ) -> HttpAnswer:
        """Calls a service; sends a call that may not be repeated at most once.

        Args:
            request: The call.
            before_send: Called just before each send; raises when the call must not be sent.
            share: Counts the memory of the answer; the caller of this method closes it.

        Returns:
            The service's answer.

        Raises:
            ForbiddenError: When the account may not call the service.
            UnavailableError: When the call did not run.
            EndpointError: When a repeatable call failed and may have run.
            OutcomeUnknownError: When a call that may not be repeated may have run.
        """
        call = _Call(self, request, before_send, share)
        try:
            return await call.run()
        except MastickeelError as error:
            if call.sent and error.ran is ExecutionStatus.NO:
                error.ran = ExecutionStatus.UNKNOWN
            raise

    def authorize(self, request: ServiceRequest) -> tuple[str, View]:
        """Returns the pool id for a call and the view that allows the call.

        Raises:
            ForbiddenError: When the account may not call the service now.
        """
        view = self._view()
        if not view.allows_service(request.account_id, request.service_id):
            raise ForbiddenError(f"The account may not call {request.service_id}.")
        return view.committed.services_by_id[request.service_id].pool, view

    async def send(
        self,
        endpoint: Endpoint,
        request: ServiceRequest,
        before_send: Callable[[], None],
        share: MemoryShare,
    ) -> HttpAnswer:
        """Sends a call over a new connection and returns the answer."""
        heads: list[HttpHead] = []
        body = LimitedBody(MAX_ANSWER_BYTES)

        def collect(chunk: bytes) -> None:
            body.append(chunk)
            share.resize(JOINED_COPIES * body.size)

        share.shrink(0)
        timeouts = Timeouts(
            CONNECT_TIMEOUT_MS, FIRST_BYTE_TIMEOUT_MS, BETWEEN_BYTES_TIMEOUT_MS, TOTAL_TIMEOUT_MS
        )
        target = f"{request.path}?{request.query}" if request.query else request.path
        headers = {**request.headers, "X-Request-Id": request.id}
        message = HttpRequest(request.method, target, headers, request.body)
        address = Address.parse(endpoint.address)
        with self.endpoints.count_in_flight(endpoint):
            connection = await self._client.connect(address, timeouts=timeouts, fresh=True)
            try:
                # The permission may have been withdrawn while connecting.
                self.authorize(request)
                before_send()
                share.on_evict = connection.close
                await connection.exchange(
                    message, on_head=heads.append, on_data=collect, timeouts=timeouts
                )
            except BaseException:
                body.drop()
                raise
            finally:
                share.on_evict = _keep_answer
                connection.close()
        answer = HttpAnswer(heads[-1].status, heads[-1].headers, body.take())
        share.shrink(len(answer.body))
        return answer


class _Call:
    """The attempts of one call."""

    def __init__(
        self,
        dispatcher: ServiceDispatcher,
        request: ServiceRequest,
        before_send: Callable[[], None],
        share: MemoryShare,
    ) -> None:
        self.sent = False
        """Whether any byte of the call may have reached an endpoint."""
        self._dispatcher = dispatcher
        self._endpoints = dispatcher.endpoints
        self._request = request
        self._before_send = before_send
        self._share = share

    async def run(self) -> HttpAnswer:
        """Tries one endpoint after another while a retry is safe and within the budget."""
        dispatcher, request = self._dispatcher, self._request
        tried_ids: frozenset[str] = frozenset()
        failure: MastickeelError | None = None
        for _ in range(MAX_ATTEMPTS):
            pool_id, view = dispatcher.authorize(request)
            if failure and not dispatcher.budget.try_spend(request.account_id, pool_id):
                break
            try:
                endpoint = self._endpoints.choose(view, pool_id, tried_ids)
            except UnavailableError as error:
                failure = failure or error
                break
            tried_ids |= {endpoint.id}
            try:
                answer = await dispatcher.send(endpoint, request, self._begin_send, self._share)
            except AnswerTooLargeError as error:
                # The call has run, and another answer would be as large.
                raise EndpointError(error.detail, ran=ExecutionStatus.YES) from error
            except (ConnectionFailedError, ExchangeBrokenError) as error:
                self._record_failure(endpoint, error)
                failure = error
            else:
                self._endpoints.breakers.record_success(endpoint.id)
                dispatcher.budget.record_success(request.account_id, pool_id)
                return answer
        raise self._final_error(failure)

    def _begin_send(self) -> None:
        """Verifies that the call may be sent, and marks it as sent."""
        self._before_send()
        self.sent = True

    def _record_failure(self, endpoint: Endpoint, error: MastickeelError) -> None:
        """Records a failure with the breaker; raises when the call may not be sent again."""
        unreachable = isinstance(error, ConnectionFailedError)
        self._endpoints.breakers.record_failure(endpoint.id, unreachable=unreachable)
        if not unreachable and not self._request.repeatable:
            raise OutcomeUnknownError(error.detail) from error

    def _final_error(self, failure: MastickeelError | None) -> MastickeelError:
        """Returns the error for the caller, which states whether the call may have run."""
        detail = failure.detail if failure else ""
        if self.sent:
            return EndpointError(detail, ran=ExecutionStatus.UNKNOWN)
        after_ms = failure.retry_after_ms if failure else None
        return UnavailableError(detail, retry_after_ms=after_ms or BUSY_RETRY_AFTER_MS)

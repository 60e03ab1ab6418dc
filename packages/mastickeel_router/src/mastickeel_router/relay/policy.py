"""Decides what follows a send: pure functions without input or output."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel.httpmessages import BodyFraming, ConnectionEnd
    from mastickeel_router.relay.types import AnswerHead
    from mastickeel_router.routes import Route

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request did not run and will not run."""
MAX_UNREACHED = 4
"""Maximum number of unreachable endpoints tried for a request; beyond it, waiting costs more than a
refusal."""
MIN_SEND_MS = 30
"""Minimum time left for a further send: the fastest plain calls take about this long."""


class SendOutcome(Enum):
    """Outcome of a send."""

    WHOLE = "whole"
    """A complete answer to this request arrived; a stream has been forwarded to its end."""
    UNREACHED = "unreached"
    """No connection could be made, so nothing was sent."""
    WITHHELD = "withheld"
    """The endpoint left or turned requests away while the connection was made; nothing was sent."""
    NOT_RUN = "not_run"
    """The request certainly did not run at the endpoint."""
    BROKEN = "broken"
    """The answer was lost or unusable; the request may have run."""
    DROPPED = "dropped"
    """The answer was discarded in favour of a larger model's answer."""


class NextStep(Enum):
    """Next step of a request after a send."""

    DELIVER = "deliver"
    """The caller gets the answer."""
    SEND_AGAIN = "send_again"
    REFUSE = "refuse"
    """The caller is told that the request did not run."""
    FAIL = "fail"
    """The caller is told that the outcome is unknown."""
    BREAK_OFF = "break_off"
    """The caller's connection is closed: the caller has a part of the answer and the rest is not
    available."""


@dataclass(frozen=True)
class AnswerEnd:
    """How an answer was framed and how it ended."""

    framing: BodyFraming
    connection: ConnectionEnd
    unfinished_bytes: int = 0
    """Size of the incomplete event at the end of a stream."""


@dataclass(frozen=True)
class SendResult:
    """Result of one send."""

    outcome: SendOutcome
    head: AnswerHead | None = None
    body: bytes = b""
    reason: str = ""
    """Reason for an incomplete answer, for the log."""
    end: AnswerEnd | None = None
    """How the answer ended; None when no head arrived."""
    via: str = ""
    """Id of the instance through which the request was sent; empty for none."""
    path_lost: bool = False
    """Whether no connection was made for want of a path, which says nothing of the endpoint."""
    is_forwarded: bool = False
    """Whether the answer was a stream that was forwarded to the caller as it arrived."""


@dataclass(frozen=True)
class RequestState:
    """State of a request after a send."""

    sends: int
    unreached: int
    """Number of endpoints to which no connection could be made."""
    remaining_ms: float
    head_forwarded: bool
    """Whether the caller has received a part of an answer."""
    may_have_run: bool
    """Whether the request may have run at an endpoint so far."""


@dataclass(frozen=True)
class PlannedStop:
    """Planned stop of this instance."""

    end_ms: int
    """Clock time at which open requests are ended."""
    enough_ms: int
    """Time within which any request may be expected to end, whatever its own limit allows."""


def can_end(stop: PlannedStop | None, now_ms: int, limit_ms: float) -> bool:
    """Returns whether a request that is passed on now ends before this instance does.

    Args:
        stop: The planned stop; None while there is none.
        now_ms: The present clock time.
        limit_ms: Time that the route and the caller leave the request.
    """
    return stop is None or stop.end_ms - now_ms >= min(limit_ms, stop.enough_ms)


def is_endpoint_absent(result: SendResult) -> bool:
    """Returns whether a send showed that the endpoint is not at its listed address."""
    if result.outcome is SendOutcome.UNREACHED:
        return True
    return (
        result.outcome is SendOutcome.NOT_RUN
        and result.head is not None
        and result.head.status == 421
    )


def is_refusal(head: AnswerHead) -> bool:
    """Returns whether an answer states that the request which it names did not run."""
    return head.not_run or head.status == 421


def classify_answer(head: AnswerHead, *, expects_stream: bool) -> SendOutcome:
    """Returns the outcome of a send whose answer arrived completely.

    Args:
        head: Status and headers of the answer.
        expects_stream: Whether the route's answers are streams.
    """
    if is_refusal(head):
        return SendOutcome.NOT_RUN if head.request_id else SendOutcome.BROKEN
    if head.encoded:
        return SendOutcome.BROKEN
    if 200 <= head.status < 300:
        genuine = head.signed and head.request_id
        return (
            SendOutcome.WHOLE
            if genuine and head.is_stream >= expects_stream
            else SendOutcome.BROKEN
        )
    if not head.request_id or head.status in NOT_RUN_STATUSES:
        # Such a status would promise the caller that the request did not run, which the endpoint
        # has not stated.
        return SendOutcome.BROKEN
    return SendOutcome.WHOLE


def should_retry(result: SendResult, route: Route, state: RequestState) -> bool:
    """Returns whether the request may be sent again, regardless of the retry budget."""
    if state.remaining_ms < MIN_SEND_MS:
        return False
    if result.outcome in (SendOutcome.UNREACHED, SendOutcome.WITHHELD):
        return state.unreached < MAX_UNREACHED
    if state.sends >= route.attempts:
        return False
    if result.outcome is SendOutcome.NOT_RUN:
        return route.allows_retry or not state.may_have_run
    if result.outcome is SendOutcome.WHOLE:
        failed = result.head is not None and result.head.status >= 500
        return (failed or not is_deliverable(result, state)) and route.allows_retry
    return route.allows_retry


def is_deliverable(result: SendResult, state: RequestState) -> bool:
    """Returns whether the caller can get the answer, which may come after a part of another one."""
    if result.outcome is not SendOutcome.WHOLE:
        return False
    return result.is_forwarded or not state.head_forwarded


def next_step(
    result: SendResult, route: Route, state: RequestState, *, retry_granted: bool
) -> NextStep:
    """Returns the next step of a request after a send.

    Args:
        result: Result of the send.
        route: The request's route.
        state: State of the request after the send.
        retry_granted: Whether a retry is wanted and the retry budget has granted it.
    """
    if retry_granted:
        return NextStep.SEND_AGAIN
    if is_deliverable(result, state):
        return NextStep.DELIVER
    if state.head_forwarded:
        return NextStep.BREAK_OFF
    return NextStep.FAIL if state.may_have_run else NextStep.REFUSE

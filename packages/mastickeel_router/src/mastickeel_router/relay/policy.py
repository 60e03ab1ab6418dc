"""What follows a send: pure decisions, without input or output."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel_router.relay.types import AnswerHead
    from mastickeel_router.routes import Route

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request did not run and never will."""
MAX_UNREACHED = 4
"""Endpoints that may be tried in vain: with more, waiting costs more than a refusal."""
MIN_SEND_MS = 30
"""With less time than this left, a further send cannot bring an answer: the fastest plain calls
take about as long."""


class SendOutcome(Enum):
    """How a send ended."""

    WHOLE = "whole"
    """A whole answer to this request arrived; streams have been passed on to their end."""
    UNREACHED = "unreached"
    """No connection could be made: nothing was sent."""
    NOT_RUN = "not_run"
    """The request surely did not run there."""
    BROKEN = "broken"
    """The answer was lost or unusable; the request may have run."""
    DROPPED = "dropped"
    """The answer was given up for one of a larger model."""


class NextStep(Enum):
    """What follows."""

    DELIVER = "deliver"
    """The answer goes to the caller."""
    SEND_AGAIN = "send_again"
    REFUSE = "refuse"
    """The caller is told that the request did not run."""
    FAIL = "fail"
    """The caller is told that the outcome is not known."""
    BREAK_OFF = "break_off"
    """The caller's connection ends: a part of the answer is with it and the rest cannot be had."""


@dataclass(frozen=True)
class SendResult:
    """What one send brought."""

    outcome: SendOutcome
    head: AnswerHead | None = None
    body: bytes = b""
    reason: str = ""
    """Why it is not whole, for the log."""


@dataclass(frozen=True)
class RequestState:
    """What is known of a request after a send."""

    sends: int
    unreached: int
    """Endpoints to which no connection could be made."""
    remaining_ms: float
    head_forwarded: bool
    """Whether the caller has a part of an answer."""
    may_have_run: bool
    """Whether any send so far may have run."""


def is_endpoint_absent(result: SendResult) -> bool:
    """Says whether a send showed that the endpoint is not where it is listed."""
    if result.outcome is SendOutcome.UNREACHED:
        return True
    return (
        result.outcome is SendOutcome.NOT_RUN
        and result.head is not None
        and result.head.status == 421
    )


def classify_answer(head: AnswerHead, *, expects_stream: bool) -> SendOutcome:
    """Says what an answer that arrived whole is worth.

    Args:
        head: Its status and headers.
        expects_stream: Whether the route's answers are streams.
    """
    if head.not_run or head.status == 421:
        return SendOutcome.NOT_RUN
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
        # Passed on, such a status would promise what nobody has said.
        return SendOutcome.BROKEN
    return SendOutcome.WHOLE


def should_retry(result: SendResult, route: Route, situation: RequestState) -> bool:
    """Says whether a further send is right, the budget of repeats aside."""
    if situation.remaining_ms < MIN_SEND_MS:
        return False
    if result.outcome is SendOutcome.UNREACHED:
        return situation.unreached < MAX_UNREACHED
    if situation.sends >= route.attempts:
        return False
    if result.outcome is SendOutcome.NOT_RUN:
        return route.allows_retry or not situation.may_have_run
    if result.outcome is SendOutcome.WHOLE:
        failed = result.head is not None and result.head.status >= 500
        return failed and route.allows_retry
    return route.allows_retry


def next_step(
    result: SendResult, route: Route, situation: RequestState, *, retry_granted: bool
) -> NextStep:
    """Says what follows a send.

    Args:
        result: What it brought.
        route: The request's route.
        situation: What is known so far.
        retry_granted: Whether a retry is wanted and the retry budget has granted it.
    """
    if retry_granted:
        return NextStep.SEND_AGAIN
    if result.outcome is SendOutcome.WHOLE:
        return NextStep.DELIVER
    if situation.head_forwarded:
        return NextStep.BREAK_OFF
    return NextStep.FAIL if situation.may_have_run else NextStep.REFUSE

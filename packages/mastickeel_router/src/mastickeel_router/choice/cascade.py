"""Runs the steps of a plan until an answer is good enough."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mastickeel.errors import ExecutionStatus, MastickeelError
from mastickeel_router.choice.ratings import TEXT_LIMIT_CHARACTERS
from mastickeel_router.sse import decode_event

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from mastickeel_router.choice.plan import Plan
    from mastickeel_router.dispatch import ChatDispatcher
    from mastickeel_router.requests import ChatRequest, Choice, Run, Sink


class BufferedSink:
    """Keeps the pieces of an answer until it has been judged."""

    def __init__(self) -> None:
        self.version_id = ""
        """The version that answered."""
        self.events: list[bytes] = []
        """Its pieces, whole events."""

    def start(self, version_id: str) -> None:
        """Begins anew on a version."""
        self.version_id = version_id
        self.events.clear()

    def piece(self, event: bytes) -> None:
        """Keeps one piece."""
        self.events.append(event)

    def text(self) -> str:
        """Returns the answer's text."""
        return "".join(_content(decode_event(event)) for event in self.events)

    async def release(self, sink: Sink) -> None:
        """Hands all pieces on."""
        sink.start(self.version_id)
        for event in self.events:
            if waiting := sink.piece(event):
                await waiting


class RecordingSink:
    """Passes the pieces on at once and keeps the beginning of the text for a rating."""

    def __init__(self, sink: Sink) -> None:
        """Makes the sink.

        Args:
            sink: Takes the pieces.
        """
        self._sink = sink
        self._parts: list[str] = []
        self._room = TEXT_LIMIT_CHARACTERS

    def start(self, version_id: str) -> None:
        """Begins anew on a version."""
        self._parts.clear()
        self._room = TEXT_LIMIT_CHARACTERS
        self._sink.start(version_id)

    def piece(self, event: bytes) -> Awaitable[None] | None:
        """Passes one piece on."""
        if self._room > 0:
            text = _content(decode_event(event))
            self._parts.append(text)
            self._room -= len(text)
        return self._sink.piece(event)

    def text(self) -> str:
        """Returns the beginning of the answer's text."""
        return "".join(self._parts)


async def run_cascade(
    plan: Plan, dispatcher: ChatDispatcher, request: ChatRequest, sink: Sink
) -> tuple[Run, ...]:
    """Runs a request step by step; only the answer that is good enough reaches the sink.

    Args:
        plan: Which versions, in what order.
        dispatcher: Runs each step.
        request: What to run.
        sink: Takes the pieces of the answer that is given.

    Returns:
        Every run, all of which go on the one bill.

    Raises:
        MastickeelError: When the last step failed; its ``ran`` speaks of all steps.
    """
    progress = CascadeProgress()
    try:
        return await _run_steps(plan, dispatcher, request, sink, progress)
    except MastickeelError as error:
        error.ran = progress.resolve_ran(error)
        raise
    finally:
        plan.finish()


class CascadeProgress:
    """What the steps of one request have come to."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        """The runs that ended."""
        self.may_have_run = False
        """Whether a step failed that may have run."""

    def resolve_ran(self, error: MastickeelError) -> ExecutionStatus:
        """Says whether the request ran, when its last step failed with an error."""
        if self.runs:
            return ExecutionStatus.YES
        return (
            ExecutionStatus.UNKNOWN
            if self.may_have_run and error.ran is ExecutionStatus.NO
            else error.ran
        )


async def _run_steps(
    plan: Plan,
    dispatcher: ChatDispatcher,
    request: ChatRequest,
    sink: Sink,
    progress: CascadeProgress,
) -> tuple[Run, ...]:
    """Runs the steps of a plan in turn."""
    choice = plan.first_step
    while choice.held:
        following = await _run_held(plan, dispatcher, request, choice, sink, progress)
        if following is None:
            return tuple(progress.runs)
        choice = following
    if not plan.reserve_submission():
        progress.runs.extend(await dispatcher.run(request, choice, sink))
        return tuple(progress.runs)
    copying = RecordingSink(sink)
    progress.runs.extend(await dispatcher.run(request, choice, copying))
    plan.submit_answer(choice, copying.text())
    return tuple(progress.runs)


async def _run_held(
    plan: Plan,
    dispatcher: ChatDispatcher,
    request: ChatRequest,
    choice: Choice,
    sink: Sink,
    progress: CascadeProgress,
) -> Choice | None:
    """Runs a held step; returns the step to take after it, or None when its answer was given."""
    held = BufferedSink()
    try:
        progress.runs.extend(await dispatcher.run(request, choice, held))
    except MastickeelError as error:
        progress.may_have_run |= error.ran is not ExecutionStatus.NO
        return plan.next_step(choice)
    text = held.text()
    following = await plan.judge(choice, text)
    if plan.reserve_submission():
        plan.submit_answer(choice, text, given=following is None)
    if following is None:
        await held.release(sink)
    return following


def _content(event: dict[str, Any]) -> str:
    """Returns the text that one event adds."""
    choices = event.get("choices", ())
    return "".join(choice.get("delta", {}).get("content") or "" for choice in choices)

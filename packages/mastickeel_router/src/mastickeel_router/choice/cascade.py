"""Runs the steps of a plan until an answer passes its judgement."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mastickeel.errors import ExecutionStatus, MastickeelError
from mastickeel_router.choice.ratings import TEXT_LIMIT_CHARACTERS
from mastickeel_router.listeners.pieces import HeldPieces
from mastickeel_router.sse import decode_event

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from mastickeel_router.choice.plan import Plan
    from mastickeel_router.dispatch import ChatDispatcher
    from mastickeel_router.listeners.memory import HeldMemory
    from mastickeel_router.requests import ChatRequest, Choice, Run, Sink


class BufferedSink:
    """Buffers the pieces of an answer until it has been judged."""

    def __init__(self, events: HeldPieces[bytes]) -> None:
        """Creates the sink.

        Args:
            events: Holds the pieces, each a complete server-sent event.
        """
        self.version_id = ""
        """Version that answers."""
        self.events = events
        """Pieces of the answer, each a complete server-sent event."""

    def start(self, version_id: str) -> None:
        """Discards earlier pieces; the answer starts over on a version."""
        self.version_id = version_id
        self.events.clear()

    def write_event(self, event: bytes) -> None:
        """Buffers one piece."""
        self.events.append(event)

    def text(self) -> str:
        """Returns the first part of the buffered answer's text, as much as a rating takes."""
        parts: list[str] = []
        remaining_characters = TEXT_LIMIT_CHARACTERS
        for event in self.events:
            if remaining_characters <= 0:
                break
            parts.append(_delta_text(decode_event(event)))
            remaining_characters -= len(parts[-1])
        return "".join(parts)

    async def release(self, sink: Sink) -> None:
        """Passes the buffered answer on to another sink."""
        sink.start(self.version_id)
        for event in self.events:
            if pending := sink.write_event(event):
                await pending


class RecordingSink:
    """Passes pieces on at once and records the first part of the text for a rating."""

    def __init__(self, sink: Sink) -> None:
        """Creates the sink.

        Args:
            sink: Receives the pieces.
        """
        self._sink = sink
        self._text_parts: list[str] = []
        self._remaining_characters = TEXT_LIMIT_CHARACTERS

    def start(self, version_id: str) -> None:
        """Discards earlier pieces; the answer starts over on a version."""
        self._text_parts.clear()
        self._remaining_characters = TEXT_LIMIT_CHARACTERS
        self._sink.start(version_id)

    def write_event(self, event: bytes) -> Awaitable[None] | None:
        """Passes one piece on; the awaitable, if any, ends when the sink accepts more."""
        if self._remaining_characters > 0:
            text = _delta_text(decode_event(event))
            self._text_parts.append(text)
            self._remaining_characters -= len(text)
        return self._sink.write_event(event)

    def text(self) -> str:
        """Returns the recorded first part of the answer's text."""
        return "".join(self._text_parts)


async def run_cascade(
    plan: Plan, dispatcher: ChatDispatcher, request: ChatRequest, sink: Sink, memory: HeldMemory
) -> tuple[Run, ...]:
    """Runs the steps of a plan in order; only the accepted answer reaches the sink.

    Args:
        plan: Plan of the request.
        dispatcher: Runs each step.
        request: The request to run.
        sink: Receives the pieces of the accepted answer.
        memory: Counts the answers that are held until they are judged.

    Returns:
        The runs of all steps, which are billed together.

    Raises:
        MastickeelError: When the last step failed; ``ran`` covers all steps.
    """
    progress = CascadeProgress()
    try:
        return await _run_steps(plan, dispatcher, request, sink, progress, memory)
    except MastickeelError as error:
        error.ran = progress.resolve_ran(error)
        raise
    finally:
        plan.finish()


class CascadeProgress:
    """Results of the steps of one request so far."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        """Completed runs."""
        self.may_have_run = False
        """Whether a failed step may have run."""

    def resolve_ran(self, error: MastickeelError) -> ExecutionStatus:
        """Returns whether any step of the request ran, given the error of the last one."""
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
    memory: HeldMemory,
) -> tuple[Run, ...]:
    """Runs the steps of a plan in order until one answer is delivered."""
    choice = plan.first_step
    while choice.held_back:
        with HeldPieces[bytes](memory) as events:
            next_choice = await _run_buffered(
                plan, dispatcher, request, choice, sink, progress, BufferedSink(events)
            )
        if next_choice is None:
            return tuple(progress.runs)
        choice = next_choice
    if not plan.reserve_submission():
        progress.runs.extend(await dispatcher.run(request, choice, sink))
        return tuple(progress.runs)
    recorder = RecordingSink(sink)
    progress.runs.extend(await dispatcher.run(request, choice, recorder))
    plan.submit_answer(choice, recorder.text())
    return tuple(progress.runs)


async def _run_buffered(
    plan: Plan,
    dispatcher: ChatDispatcher,
    request: ChatRequest,
    choice: Choice,
    sink: Sink,
    progress: CascadeProgress,
    buffer: BufferedSink,
) -> Choice | None:
    """Runs a step whose answer is held; returns the next step, or None if it was delivered."""
    try:
        progress.runs.extend(await dispatcher.run(request, choice, buffer))
    except MastickeelError as error:
        progress.may_have_run |= error.ran is not ExecutionStatus.NO
        return plan.next_step(choice)
    text = buffer.text()
    next_choice = await plan.judge(choice, text)
    if plan.reserve_submission():
        plan.submit_answer(choice, text, delivered=next_choice is None)
    if next_choice is None:
        await buffer.release(sink)
    return next_choice


def _delta_text(event: dict[str, Any]) -> str:
    """Returns the text that one event adds to the answer."""
    choices = event.get("choices", ())
    return "".join(choice.get("delta", {}).get("content") or "" for choice in choices)

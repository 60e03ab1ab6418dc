"""Generations of the engine stand-in: request, answer text and progress."""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass
from typing import Any

import msgspec

CHARACTERS_PER_TOKEN = 4
VOCABULARY_SIZE = 10_000


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    """The author's role."""
    content: str | list[dict[str, Any]] | None = None
    """The text, or a list of parts; parts without a ``text`` field are ignored."""


class StreamOptions(msgspec.Struct):
    """The options of a streamed answer."""

    include_usage: bool = False
    """Whether a chunk with the usage precedes the end marker."""


class ChatBody(msgspec.Struct):
    """The fields of a chat completion request that the stand-in reads."""

    model: str
    """The model."""
    messages: list[ChatMessage]
    """The messages of the chat."""
    stream: bool = False
    """Whether to answer piece by piece."""
    stream_options: StreamOptions | None = None
    """The options of a streamed answer."""
    max_tokens: int | None = None
    """Maximum number of pieces to generate."""
    temperature: float | None = None
    """Ignored, because answers are deterministic."""
    seed: int | None = None
    """Ignored, because answers are deterministic."""
    priority: int = 0
    """Queueing priority; lower values run earlier."""

    def prompt(self) -> str:
        """Returns the text of all messages, each prefixed with its role."""
        return "\n".join(f"{message.role}: {_text(message.content)}" for message in self.messages)


@dataclass(frozen=True)
class EngineRun:
    """Record of one run of a request on the engine."""

    request_id: str
    """The request's id."""
    model: str
    """The model that ran."""
    account: str | None
    """The client account, if the request named one."""
    started_ms: int
    """Monotonic time of the admission; 0 if the run was never admitted."""
    pieces: int
    """Number of pieces that this run generated."""
    finished: bool
    """Whether the run generated all of its pieces."""
    cancelled: bool
    """Whether the run was cancelled."""
    continued: bool
    """Whether the run continued an answer that another engine had started."""
    prompt_tokens: int
    """Number of prompt tokens."""
    completion_tokens: int
    """Number of tokens that this run generated."""


class Generation:
    """Progress of one answer, independent of the connections that read it."""

    def __init__(
        self, request_id: str, body: ChatBody, total: int, offset: int, account: str | None
    ) -> None:
        """Creates a generation that has not started.

        Args:
            request_id: The request's id.
            body: The request.
            total: Number of pieces in the whole answer.
            offset: Number of pieces that another engine has generated.
            account: The client account, if the request named one.
        """
        self.request_id = request_id
        """The request's id."""
        self.model = body.model
        """The model."""
        self.prompt = body.prompt()
        """The text of the prompt."""
        self.priority = body.priority
        """Queueing priority; lower values run earlier."""
        self.pieces = generate_pieces(body.model, self.prompt, total)
        """All pieces of the whole answer."""
        self.offset = min(offset, total)
        """Index of the first piece that this run generates."""
        self.produced = self.offset
        """Number of pieces available, including those before the offset."""
        self.account = account
        """The client account, if the request named one."""
        self.started_ms: int | None = None
        """Monotonic time of the admission; None while the generation waits."""
        self.ended = False
        """Whether no more pieces will be generated."""
        self.cancelled = False
        """Whether the generation was cancelled."""
        self.stream_faulted = False
        """Whether a fault has cut or stalled the generation's stream once."""
        self.reader_count = 0
        """Number of connections that have started to read the generation."""
        self.task: asyncio.Task[None] | None = None
        """Task that generates the pieces."""
        self._change_event = asyncio.Event()

    @property
    def prompt_tokens(self) -> int:
        """Number of prompt tokens, estimated from the prompt's length."""
        return max(1, len(self.prompt) // CHARACTERS_PER_TOKEN)

    def notify_readers(self) -> None:
        """Wakes all readers of the generation."""
        change_event, self._change_event = self._change_event, asyncio.Event()
        change_event.set()

    async def wait_for_change(self, closed: asyncio.Event) -> None:
        """Waits until the generation changes or the reader's connection is closed."""
        waiting = [
            asyncio.ensure_future(self._change_event.wait()),
            asyncio.ensure_future(closed.wait()),
        ]
        try:
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in waiting:
                task.cancel()

    def usage(self) -> dict[str, int]:
        """Returns the token usage of the answer so far, in the API's form."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.produced,
            "total_tokens": self.prompt_tokens + self.produced,
        }

    def build_run(self) -> EngineRun:
        """Returns the record of the run as of now."""
        generated = self.produced - self.offset
        return EngineRun(
            request_id=self.request_id,
            model=self.model,
            account=self.account,
            started_ms=self.started_ms or 0,
            pieces=generated,
            finished=self.ended and not self.cancelled and self.produced == len(self.pieces),
            cancelled=self.cancelled,
            continued=self.offset > 0,
            prompt_tokens=self.prompt_tokens,
            completion_tokens=generated,
        )


def generate_pieces(model: str, prompt: str, count: int) -> list[str]:
    """Returns the pieces of the stand-in's answer to a prompt.

    Args:
        model: The model.
        prompt: The text of the prompt, as ``ChatBody.prompt`` returns it.
        count: Number of pieces.

    Returns:
        Pieces of one word each; joined they form the whole answer.
    """
    return [_word(model, prompt, index) for index in range(count)]


def _word(model: str, prompt: str, index: int) -> str:
    """Returns one piece of an answer."""
    digest = hashlib.blake2b(f"{model}\0{prompt}\0{index}".encode(), digest_size=8).digest()
    word = f"w{int.from_bytes(digest, 'big') % VOCABULARY_SIZE}"
    return word if index == 0 else f" {word}"


def _text(content: str | list[dict[str, Any]] | None) -> str:
    """Returns the text of a message's content."""
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content)
    return content or ""

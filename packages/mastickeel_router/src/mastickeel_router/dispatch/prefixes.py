"""Which prompt prefixes each engine's cache is expected to hold, from the engines' cache events.

Engines name blocks by hashes of their own. Each event also carries the tokens of its blocks, so
blocks are kept here under a chained hash of the tokens, which can be computed for any prompt.
Events are hints: after a gap that the replay cannot close, a view begins again with nothing, and
prompts go by the hash of their beginning until it has filled.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

BLOCK_TOKENS = 64
MAX_TRACKED_BLOCKS = 4_096
"""Blocks remembered for one engine; the oldest go first."""
MAX_COMPARED_BLOCKS = 64
"""Blocks of a prompt that are looked for; what lies beyond adds little."""
KEY_BLOCKS = 4
"""Blocks of a prompt that decide where it goes while no cache is known."""


@dataclass(frozen=True)
class PromptPrefix:
    """The beginning of a prompt, as caches see it."""

    blocks: tuple[int, ...]
    """A chained hash for each whole block."""
    key: str
    """The same for prompts that begin alike."""


def compute_prompt_prefix(version_id: str, body: dict[str, Any]) -> PromptPrefix:
    """Computes the prefix of a chat request's prompt.

    Args:
        version_id: The version that runs it; caches are not shared between versions.
        body: The request's body.

    Returns:
        Its prefix.
    """
    lines = [
        f"{entry['role']}: {_message_text(entry.get('content'))}" for entry in body["messages"]
    ]
    text = "\n".join(lines)[: BLOCK_TOKENS * MAX_COMPARED_BLOCKS]
    tokens = [ord(character) for character in text]
    blocks = hash_blocks(version_id, None, tokens, BLOCK_TOKENS)
    start = text[: BLOCK_TOKENS * KEY_BLOCKS]
    return PromptPrefix(tuple(blocks), f"{version_id}\0{start}")


def hash_blocks(version_id: str, parent: int | None, tokens: Sequence[int], size: int) -> list[int]:
    """Returns a hash for each whole block of tokens, each made from all before it."""
    link = parent if parent is not None else xxhash.xxh3_64_intdigest(version_id.encode())
    chain = []
    for start in range(0, len(tokens) - size + 1, size):
        block = msgspec.msgpack.encode((link, tokens[start : start + size]))
        link = xxhash.xxh3_64_intdigest(block)
        chain.append(link)
    return chain


class CacheView:
    """What one engine's cache is expected to hold."""

    def __init__(self) -> None:
        self.next_sequence = 0
        """The number of the event batch that comes next."""
        self._last_event_seconds = 0.0
        self._block_hashes_by_name: dict[int, int] = {}
        self._cached_blocks: set[int] = set()

    def expected_hit_ratio(self, prefix: PromptPrefix) -> float:
        """Returns the part of a prompt's blocks that is expected to be held, 0 to 1."""
        found = 0
        for block in prefix.blocks:
            if block not in self._cached_blocks:
                break
            found += 1
        return found / len(prefix.blocks) if prefix.blocks else 0.0

    def apply(self, sequence: int, payload: bytes) -> bool:
        """Takes a batch of events.

        Args:
            sequence: Its number.
            payload: The batch as published.

        Returns:
            False when batches before it are missing; nothing was taken then.
        """
        at_seconds, events = msgspec.msgpack.decode(payload)
        if sequence < self.next_sequence:
            if at_seconds <= self._last_event_seconds:
                return True
            # A lower number at a later time: the engine has begun anew, with an empty cache.
            self.reset_to(0)
        if sequence > self.next_sequence:
            return False
        self.next_sequence = sequence + 1
        self._last_event_seconds = at_seconds
        for event in events:
            self._apply_event(event)
        return True

    def reset_to(self, sequence: int) -> None:
        """Forgets everything, since batches were lost, and goes on from a batch.

        What is noted from there on is right; only older blocks stay unknown.
        """
        self.next_sequence = sequence
        self._clear()

    def _clear(self) -> None:
        self._block_hashes_by_name.clear()
        self._cached_blocks.clear()

    def _apply_event(self, event: list[Any]) -> None:
        kind = event[0]
        if kind == "AllBlocksCleared":
            self._clear()
        elif kind == "BlockRemoved":
            for name in event[1]:
                self._cached_blocks.discard(self._block_hashes_by_name.pop(name, 0))
        elif kind == "BlockStored":
            self._record_stored_blocks(event)

    def _record_stored_blocks(self, event: list[Any]) -> None:
        """Notes blocks, unless their parent is not known any more."""
        names, parent, tokens, size = event[1:5]
        link = None if parent is None else self._block_hashes_by_name.get(parent)
        if parent is not None and link is None:
            return
        version_id = str(event[7]) if len(event) > 7 else ""
        for name, block in zip(names, hash_blocks(version_id, link, tokens, size), strict=False):
            self._block_hashes_by_name[name] = block
            self._cached_blocks.add(block)
        while len(self._block_hashes_by_name) > MAX_TRACKED_BLOCKS:
            oldest = next(iter(self._block_hashes_by_name))
            self._cached_blocks.discard(self._block_hashes_by_name.pop(oldest))


def _message_text(content: Any) -> str:
    """Returns the text of a message."""
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content if isinstance(part, dict))
    return str(content or "")

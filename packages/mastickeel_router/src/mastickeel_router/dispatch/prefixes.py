"""Tracks the prompt prefixes that each engine's cache is expected to hold, by its cache events.

Engines name blocks by hashes of their own. Since each event also carries the tokens of its blocks,
views identify blocks by a chained hash of the tokens, which can be computed for any prompt. Events
are hints: after a gap that the replay cannot close, a view starts empty, and prompts are routed by
the hash of their first blocks until the view has filled.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
import xxhash

from mastickeel.decoding import decode_msgpack

if TYPE_CHECKING:
    from collections.abc import Sequence

BLOCK_TOKENS = 64
MAX_TRACKED_BLOCKS = 4_096
"""Blocks tracked for one engine; the oldest are dropped first."""
MAX_COMPARED_BLOCKS = 64
"""Blocks of a prompt that are compared with caches; later blocks add little."""
KEY_BLOCKS = 4
"""First blocks of a prompt by which it is routed while no cache holds them."""


@dataclass(frozen=True)
class PromptPrefix:
    """The first blocks of a prompt, as hashed for comparison with caches."""

    blocks: tuple[int, ...]
    """A chained hash for each complete block."""
    key: str
    """Routing key, equal for prompts that begin alike."""


def compute_prompt_prefix(version_id: str, body: dict[str, Any]) -> PromptPrefix:
    """Computes the prefix of a chat request's prompt.

    The code points of the prompt are taken as its tokens. Blocks of an engine whose events carry
    other tokens never match, and its prompts are routed by the key.

    Args:
        version_id: The version that runs the prompt; caches are not shared between versions.
        body: The body of the chat request.

    Returns:
        The prefix of the prompt.
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
    """Returns a chained hash for each complete block of tokens.

    Args:
        version_id: The version that the blocks belong to.
        parent: The hash of the preceding block; None for the first block of a prompt.
        tokens: The tokens to hash.
        size: Tokens in a block.
    """
    chain_hash = parent if parent is not None else xxhash.xxh3_64_intdigest(version_id.encode())
    hashes = []
    for start in range(0, len(tokens) - size + 1, size):
        block = msgspec.msgpack.encode((chain_hash, tokens[start : start + size]))
        chain_hash = xxhash.xxh3_64_intdigest(block)
        hashes.append(chain_hash)
    return hashes


class CacheView:
    """Tracks the blocks that the cache of one engine is expected to hold."""

    def __init__(self) -> None:
        self.next_sequence = 0
        """Sequence number of the next event batch."""
        self._last_event_seconds = 0.0
        self._block_hashes_by_name: dict[int, int] = {}
        self._cached_blocks: set[int] = set()

    def expected_hit_ratio(self, prefix: PromptPrefix) -> float:
        """Returns the share of a prompt's blocks that the cache is expected to hold, 0 to 1."""
        matched = 0
        for block in prefix.blocks:
            if block not in self._cached_blocks:
                break
            matched += 1
        return matched / len(prefix.blocks) if prefix.blocks else 0.0

    def apply(self, sequence: int, payload: bytes) -> bool:
        """Applies a batch of events.

        Args:
            sequence: The sequence number of the batch.
            payload: The batch as published.

        Returns:
            False when earlier batches are missing; the batch was not applied then.
        """
        at_seconds, events = decode_msgpack(payload)
        if sequence < self.next_sequence:
            if at_seconds <= self._last_event_seconds:
                return True
            # A lower number with a later time means that the engine restarted with an empty cache.
            self.reset_to(0)
        if sequence > self.next_sequence:
            return False
        self.next_sequence = sequence + 1
        self._last_event_seconds = at_seconds
        for event in events:
            self._apply_event(event)
        return True

    def reset_to(self, sequence: int) -> None:
        """Clears the view after lost batches, and expects the batch with a sequence number next.

        Blocks stored from that batch on are tracked correctly; older blocks stay unknown.
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
        """Tracks stored blocks, unless their parent block is no longer known."""
        names, parent, tokens, size = event[1:5]
        parent_hash = None if parent is None else self._block_hashes_by_name.get(parent)
        if parent is not None and parent_hash is None:
            return
        version_id = str(event[7]) if len(event) > 7 else ""
        for name, block in zip(
            names, hash_blocks(version_id, parent_hash, tokens, size), strict=False
        ):
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

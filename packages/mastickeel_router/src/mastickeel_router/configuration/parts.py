"""Splits a configuration into parts that fit the store's value size limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from mastickeel.decoding import decode_json
from mastickeel.model import COLLECTION_NAMES, Configuration, Delta

if TYPE_CHECKING:
    from collections.abc import Iterable

PART_LIMIT_BYTES = 256 * 1024
"""Less than half of the largest value written to the store; only a part that consists of one larger
object exceeds this limit."""


def split_parts(configuration: Configuration) -> list[bytes]:
    """Encodes a configuration as parts, each of which is a delta.

    Args:
        configuration: The configuration to split.

    Returns:
        The parts, each under PART_LIMIT_BYTES unless a single object is larger.
    """
    parts: list[bytes] = []
    pending: dict[str, list[bytes]] = {}
    size = 0
    for kind in COLLECTION_NAMES:
        for item in getattr(configuration, f"{kind}_by_id").values():
            data = msgspec.json.encode(item)
            if size and size + len(data) > PART_LIMIT_BYTES:
                parts.append(_encode_part(pending))
                pending, size = {}, 0
            pending.setdefault(kind, []).append(data)
            size += len(data)
    return [*parts, _encode_part(pending)]


def join_parts(parts: Iterable[bytes], revision: int) -> Configuration:
    """Decodes a configuration from its parts.

    Args:
        parts: All parts of the configuration.
        revision: The revision of the configuration that was split.

    Returns:
        The configuration.

    Raises:
        msgspec.ValidationError: When a part is not an encoded delta.
    """
    configuration = Configuration()
    for part in parts:
        configuration = configuration.apply(decode_json(part, Delta), revision)
    return configuration if configuration.revision else Configuration(revision)


def _encode_part(items_by_kind: dict[str, list[bytes]]) -> bytes:
    """Encodes the objects of one part, by kind."""
    raw = {kind: [msgspec.Raw(item) for item in items] for kind, items in items_by_kind.items()}
    return msgspec.json.encode(raw)

"""A configuration as parts that the store's limit on values allows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from mastickeel.model import COLLECTION_NAMES, Configuration, Delta

if TYPE_CHECKING:
    from collections.abc import Iterable

PART_LIMIT_BYTES = 256 * 1024
"""Half of the largest value that is written, so that one large object still fits."""


def split_parts(configuration: Configuration) -> list[bytes]:
    """Writes a configuration as parts, each a delta of its own.

    Args:
        configuration: What to write.

    Returns:
        The parts, each under PART_LIMIT_BYTES unless one object alone is larger.
    """
    parts: list[bytes] = []
    pending: dict[str, list[bytes]] = {}
    size = 0
    for kind in COLLECTION_NAMES:
        for item in getattr(configuration, f"{kind}_by_id").values():
            data = msgspec.json.encode(item)
            if size and size + len(data) > PART_LIMIT_BYTES:
                parts.append(_part(pending))
                pending, size = {}, 0
            pending.setdefault(kind, []).append(data)
            size += len(data)
    return [*parts, _part(pending)]


def join_parts(parts: Iterable[bytes], revision: int) -> Configuration:
    """Reads a configuration back from its parts.

    Args:
        parts: All of them.
        revision: The revision that they were written at.

    Returns:
        The configuration.

    Raises:
        msgspec.ValidationError: When a part has another shape.
    """
    configuration = Configuration()
    for part in parts:
        configuration = configuration.apply(msgspec.json.decode(part, type=Delta), revision)
    return configuration if configuration.revision else Configuration(revision)


def _part(items_by_kind: dict[str, list[bytes]]) -> bytes:
    """Writes one part."""
    raw = {kind: [msgspec.Raw(item) for item in items] for kind, items in items_by_kind.items()}
    return msgspec.json.encode(raw)

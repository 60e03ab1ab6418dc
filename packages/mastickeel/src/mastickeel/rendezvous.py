"""Rendezvous hashing: every instance ranks the same ids in the same order for a key."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def rank(key: str, ids: Iterable[str]) -> list[str]:
    """Sorts ids by their weight for a key, highest weight first.

    Args:
        key: The key of the object to place.
        ids: The ids of the candidate places.

    Returns:
        The sorted ids; removing an id does not change the order of the others.
    """
    return sorted(
        ids, key=lambda item_id: (-xxhash.xxh3_64_intdigest(f"{key}\0{item_id}".encode()), item_id)
    )

"""A configuration that a block of commands is changing, not yet a change."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import TYPE_CHECKING, Any

from mastickeel.errors import BadRequestError, NotFoundError
from mastickeel.model import COLLECTION_NAMES, Configuration, Delta, Item, Reference

if TYPE_CHECKING:
    from mastickeel_router.operators.statements import Position

HIDDEN_VALUE = "(hidden)"
SECRET_FIELDS = frozenset({"key_hashes", "token_hash"})


@dataclass(frozen=True)
class Difference:
    """What a block changes about one field of one object."""

    kind: str
    id: str
    field: str
    before: Any
    after: Any


class Draft:
    """The objects that a block has put or dropped, over a base configuration."""

    def __init__(self, base: Configuration) -> None:
        self.base = base
        """What the block began from."""
        self._items_by_kind: dict[str, dict[str, Item | None]] = {
            kind: {} for kind in COLLECTION_NAMES
        }

    def find(self, kind: str, item_id: str) -> Any:
        """Returns an object as the block has left it; None when there is none."""
        items_by_id = self._items_by_kind[f"{kind}s"]
        if item_id in items_by_id:
            return items_by_id[item_id]
        return getattr(self.base, f"{kind}s_by_id").get(item_id)

    def get(self, kind: str, item_id: str, position: Position) -> Any:
        """Returns an object as the block has left it.

        Raises:
            NotFoundError: When there is none.
        """
        item = self.find(kind, item_id)
        if item is None:
            raise NotFoundError(
                f"{position}: there is no {kind} {item_id!r}.",
                remedy=f"List them with 'show {kind}s'; nothing was changed.",
            )
        return item

    def create(self, kind: str, item: Item, position: Position) -> None:
        """Adds an object.

        Raises:
            BadRequestError: When there is one already.
        """
        if self.find(kind, item.id) is not None:
            raise BadRequestError(
                f"{position}: {kind} {item.id!r} exists.",
                remedy=f"Use 'alter {kind}' to change it.",
            )
        self.put(kind, item)

    def put(self, kind: str, item: Item) -> None:
        """Replaces an object."""
        self._items_by_kind[f"{kind}s"][item.id] = item

    def drop(self, kind: str, item_id: str, position: Position) -> None:
        """Removes an object.

        Raises:
            NotFoundError: When there is none.
        """
        self.get(kind, item_id, position)
        self._items_by_kind[f"{kind}s"][item_id] = None

    def to_delta(self) -> Delta:
        """Returns the change that the block makes."""
        put: dict[str, Any] = {}
        dropped: list[Reference] = []
        for kind, items_by_id in self._items_by_kind.items():
            put[kind] = tuple(item for item in items_by_id.values() if item is not None)
            dropped += [Reference(kind, one) for one, item in items_by_id.items() if item is None]
        return Delta(**put, dropped=tuple(dropped))

    def list_differences(self) -> list[Difference]:
        """Returns what the block changes, field by field."""
        found: list[Difference] = []
        for kind, items_by_id in self._items_by_kind.items():
            for item_id, after in items_by_id.items():
                before = getattr(self.base, f"{kind}_by_id").get(item_id)
                found += _compare(kind.removesuffix("s"), item_id, before, after)
        return found


def _compare(kind: str, item_id: str, before: Any, after: Any) -> list[Difference]:
    """Lists the fields in which two states of an object differ."""
    present = after if after is not None else before
    if present is None:
        return []
    found = []
    for entry in fields(present):
        old, new = getattr(before, entry.name, None), getattr(after, entry.name, None)
        if old == new:
            continue
        if entry.name in SECRET_FIELDS:
            old, new = HIDDEN_VALUE, HIDDEN_VALUE
        found.append(Difference(kind, item_id, entry.name, old, new))
    return found

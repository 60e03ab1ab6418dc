"""Uncommitted configuration change that a block of commands builds up."""

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
    """Change of one field of one object, with the values before and after a block."""

    kind: str
    id: str
    field: str
    before: Any
    after: Any


class Draft:
    """Objects that a block has put or dropped, on top of a base configuration."""

    def __init__(self, base: Configuration) -> None:
        self.base = base
        """Configuration that the block applies to."""
        self._items_by_kind: dict[str, dict[str, Item | None]] = {
            kind: {} for kind in COLLECTION_NAMES
        }

    def find(self, kind: str, item_id: str) -> Any:
        """Returns an object with the block's changes so far; None when it does not exist."""
        items_by_id = self._items_by_kind[f"{kind}s"]
        if item_id in items_by_id:
            return items_by_id[item_id]
        return getattr(self.base, f"{kind}s_by_id").get(item_id)

    def get(self, kind: str, item_id: str, position: Position) -> Any:
        """Returns an object with the block's changes so far.

        Raises:
            NotFoundError: When the object does not exist.
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
            BadRequestError: When an object of that kind and id exists already.
        """
        if self.find(kind, item.id) is not None:
            raise BadRequestError(
                f"{position}: {kind} {item.id!r} exists.",
                remedy=f"Use 'alter {kind}' to change it.",
            )
        self.put(kind, item)

    def put(self, kind: str, item: Item) -> None:
        """Adds an object, or replaces the one with the same id."""
        self._items_by_kind[f"{kind}s"][item.id] = item

    def drop(self, kind: str, item_id: str, position: Position) -> None:
        """Removes an object.

        Raises:
            NotFoundError: When the object does not exist.
        """
        self.get(kind, item_id, position)
        self._items_by_kind[f"{kind}s"][item_id] = None

    def to_delta(self) -> Delta:
        """Returns the block's objects as a configuration change."""
        put: dict[str, Any] = {}
        dropped: list[Reference] = []
        for kind, items_by_id in self._items_by_kind.items():
            put[kind] = tuple(item for item in items_by_id.values() if item is not None)
            dropped += [
                Reference(kind, item_id) for item_id, item in items_by_id.items() if item is None
            ]
        return Delta(**put, dropped=tuple(dropped))

    def list_differences(self) -> list[Difference]:
        """Lists the fields that the block changes, with secrets replaced by ``HIDDEN_VALUE``."""
        differences: list[Difference] = []
        for kind, items_by_id in self._items_by_kind.items():
            for item_id, after in items_by_id.items():
                before = getattr(self.base, f"{kind}_by_id").get(item_id)
                differences += _compare_fields(kind.removesuffix("s"), item_id, before, after)
        return differences


def _compare_fields(kind: str, item_id: str, before: Any, after: Any) -> list[Difference]:
    """Lists the fields that differ between two states of an object; None stands for no object."""
    existing = after if after is not None else before
    if existing is None:
        return []
    differences = []
    for field in fields(existing):
        old, new = getattr(before, field.name, None), getattr(after, field.name, None)
        if old == new:
            continue
        if field.name in SECRET_FIELDS:
            old, new = HIDDEN_VALUE, HIDDEN_VALUE
        differences.append(Difference(kind, item_id, field.name, old, new))
    return differences

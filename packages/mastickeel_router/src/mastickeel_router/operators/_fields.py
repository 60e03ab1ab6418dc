"""Sets fields of configuration objects from the language's literals."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, get_type_hints

import msgspec

from mastickeel.errors import MastickeelError
from mastickeel.model import Account, Endpoint, Item, Operator, Pool, Rollout, Service, Version

if TYPE_CHECKING:
    from collections.abc import Sequence

    from mastickeel_router.operators.statements import Assignment

CLASSES_BY_KIND: dict[str, type[Any]] = {
    "account": Account,
    "version": Version,
    "pool": Pool,
    "service": Service,
    "operator": Operator,
    "rollout": Rollout,
    "endpoint": Endpoint,
}
FIXED_FIELDS = frozenset({"id", "endpoints", "rules", "state", "stage", "stage_since_ms", "reason"})
"""What statements of their own set, and no assignment may."""


class FieldError(MastickeelError):
    """Raised when an assignment names no field, or gives it a value that it cannot have."""

    code = "field"
    status = 400
    title = "A field cannot be set so."
    remedy = "Write what the detail says; nothing was changed."


def build_object(kind: str, item_id: str, assignments: Sequence[Assignment], **given: Any) -> Any:
    """Makes an object from its assignments.

    Args:
        kind: The kind of object.
        item_id: Its id.
        assignments: The assignments.
        **given: Fields that the statement itself sets.

    Returns:
        The object.

    Raises:
        FieldError: When a field is unknown, missing, or has a value that it cannot have.
    """
    values = {"id": item_id, **given, **_values(kind, assignments)}
    try:
        return msgspec.convert(values, CLASSES_BY_KIND[kind])
    except msgspec.ValidationError as error:
        raise FieldError(f"{kind} {item_id}: {error}.") from error


def alter_object(kind: str, item: Item | Endpoint, assignments: Sequence[Assignment]) -> Any:
    """Returns an object with some fields changed.

    Raises:
        FieldError: When a field is unknown or has a value that it cannot have.
    """
    values = {**msgspec.to_builtins(item), **_values(kind, assignments)}
    return msgspec.convert(values, CLASSES_BY_KIND[kind])


def _values(kind: str, fields: Sequence[Assignment]) -> dict[str, Any]:
    """Checks each assignment and returns the values by field."""
    types_by_field = {
        name: hint
        for name, hint in get_type_hints(CLASSES_BY_KIND[kind]).items()
        if name not in FIXED_FIELDS
    }
    values: dict[str, Any] = {}
    for entry in fields:
        if entry.field not in types_by_field:
            known = ", ".join(sorted(types_by_field))
            raise FieldError(
                f"{entry.position}: {entry.field!r} is no field of {kind}; one of {known}."
            )
        try:
            msgspec.convert(entry.value, types_by_field[entry.field])
        except msgspec.ValidationError as error:
            raise FieldError(f"{entry.position}: {entry.field}: {error}.") from error
        values[entry.field] = entry.value
    return values

"""Sets fields of configuration objects from assignments in the operators' language."""

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
"""Fields that only dedicated statements set; assignments to them are refused."""


class FieldError(MastickeelError):
    """Raised when an assignment names an unknown field or gives a field an invalid value."""

    code = "field"
    status = 400
    title = "A field assignment is invalid."
    remedy = "Correct the assignment as the detail says; nothing was changed."


def build_object(kind: str, item_id: str, assignments: Sequence[Assignment], **preset: Any) -> Any:
    """Builds a configuration object from assignments.

    Args:
        kind: The object's kind, a key of ``CLASSES_BY_KIND``.
        item_id: The object's id.
        assignments: The fields to set.
        **preset: Fields that the statement sets itself; assignments take precedence.

    Returns:
        An instance of the kind's class.

    Raises:
        FieldError: When a field is unknown or missing, or has an invalid value.
    """
    values = {"id": item_id, **preset, **_check_assignments(kind, assignments)}
    try:
        return msgspec.convert(values, CLASSES_BY_KIND[kind])
    except msgspec.ValidationError as error:
        raise FieldError(f"{kind} {item_id}: {error}.") from error


def alter_object(kind: str, item: Item | Endpoint, assignments: Sequence[Assignment]) -> Any:
    """Returns a copy of an object with the assigned fields changed.

    Raises:
        FieldError: When a field is unknown or has an invalid value.
    """
    values = {**msgspec.to_builtins(item), **_check_assignments(kind, assignments)}
    return msgspec.convert(values, CLASSES_BY_KIND[kind])


def _check_assignments(kind: str, assignments: Sequence[Assignment]) -> dict[str, Any]:
    """Checks each assignment's field name and value; returns the values by field name."""
    types_by_field = {
        name: hint
        for name, hint in get_type_hints(CLASSES_BY_KIND[kind]).items()
        if name not in FIXED_FIELDS
    }
    values: dict[str, Any] = {}
    for assignment in assignments:
        if assignment.field not in types_by_field:
            known = ", ".join(sorted(types_by_field))
            raise FieldError(
                f"{assignment.position}: {kind} has no field {assignment.field!r}; "
                f"use one of {known}."
            )
        try:
            msgspec.convert(assignment.value, types_by_field[assignment.field])
        except msgspec.ValidationError as error:
            raise FieldError(f"{assignment.position}: {assignment.field}: {error}.") from error
        values[assignment.field] = assignment.value
    return values

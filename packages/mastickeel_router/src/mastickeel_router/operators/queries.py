"""Runs the queries of the operators' language."""

from __future__ import annotations

import fnmatch
import operator
from dataclasses import fields
from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel.errors import BadRequestError, NotFoundError
from mastickeel.model import COLLECTION_NAMES
from mastickeel_router.operators._draft import SECRET_FIELDS
from mastickeel_router.operators.statements import Explain
from mastickeel_router.tables import Table

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.model import Configuration
    from mastickeel_router.operators.statements import Condition, Query, Show
    from mastickeel_router.tables import Catalogue

COMPARISONS_BY_OPERATOR: dict[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


async def run_query(query: Query, configuration: Configuration, catalogue: Catalogue) -> Table:
    """Runs one query.

    Args:
        query: The query to run.
        configuration: The configuration in force.
        catalogue: The tables and explanations that the router's parts have registered.

    Returns:
        The resulting table.

    Raises:
        NotFoundError: When the table, column or kind of explanation does not exist.
        BadRequestError: When a condition compares values of different types.
    """
    if isinstance(query, Explain):
        explainer = catalogue.explainers_by_kind.get(query.kind)
        if explainer is None:
            raise _not_found_error("explanation of", query.kind, catalogue.explainers_by_kind)
        return await explainer(query.id)
    return _select(await _load_table(query.source, configuration, catalogue), query)


async def _load_table(name: str, configuration: Configuration, catalogue: Catalogue) -> Table:
    """Returns an unfiltered table: one from the catalogue, or the objects of one kind."""
    if source := catalogue.sources_by_name.get(name):
        return await source()
    if name in COLLECTION_NAMES:
        return objects_table(list(getattr(configuration, f"{name}_by_id").values()))
    if name == "endpoints":
        return _endpoints_table(configuration)
    raise _not_found_error(
        "table", name, [*catalogue.sources_by_name, *COLLECTION_NAMES, "endpoints"]
    )


def objects_table(items: list[Any]) -> Table:
    """Returns a table of dataclass instances with a column for each field but the secret ones."""
    if not items:
        return Table(("id",), ())
    columns = tuple(field.name for field in fields(items[0]) if field.name not in SECRET_FIELDS)
    rows = tuple(
        tuple(msgspec.to_builtins(getattr(item, name)) for name in columns) for item in items
    )
    return Table(columns, rows)


def _endpoints_table(configuration: Configuration) -> Table:
    """Returns a table of the endpoints of all pools."""
    rows = tuple(
        (endpoint.id, pool.id, endpoint.address, endpoint.data_centre, endpoint.state.value)
        for pool in configuration.pools_by_id.values()
        for endpoint in pool.endpoints
    )
    return Table(("id", "pool", "address", "data_centre", "state"), rows)


def _select(table: Table, query: Show) -> Table:
    """Applies a query's conditions, order and limit to a table."""
    rows = list(table.rows)
    for condition in query.conditions:
        index = _column_index(table, condition.column)
        rows = [row for row in rows if _matches(row[index], condition)]
    if query.order_by:
        index = _column_index(table, query.order_by)
        rows.sort(key=lambda row: _sort_key(row[index]), reverse=query.descending)
    return Table(table.columns, tuple(rows[: query.limit] if query.limit else rows))


def _column_index(table: Table, name: str) -> int:
    if name not in table.columns:
        raise _not_found_error("column", name, table.columns)
    return table.columns.index(name)


def _matches(value: Any, condition: Condition) -> bool:
    """Returns whether a value meets a condition; ``=`` and ``!=`` look for a list's element."""
    expected = condition.value
    if condition.comparison == "like":
        return fnmatch.fnmatchcase(str(value), str(expected))
    if isinstance(value, list | tuple) and condition.comparison in ("=", "!="):
        return (expected in value) is (condition.comparison == "=")
    try:
        return COMPARISONS_BY_OPERATOR[condition.comparison](value, expected)
    except TypeError as error:
        raise BadRequestError(
            f"{condition.column} cannot be compared with {expected!r}.",
            remedy="Compare numbers with numbers and texts with texts.",
        ) from error


def _sort_key(value: Any) -> tuple[int, Any]:
    """Returns a key that sorts numbers first and all other values by their text."""
    return (0, value) if isinstance(value, int | float) else (1, str(value))


def _not_found_error(kind: str, name: str, known: Any) -> NotFoundError:
    options = ", ".join(sorted(known)) or "none"
    return NotFoundError(f"There is no {kind} {name!r}.", remedy=f"Use one of: {options}.")

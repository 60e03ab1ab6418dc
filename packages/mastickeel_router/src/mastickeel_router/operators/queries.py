"""Answers the queries of the operators' language."""

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
    """Answers one query.

    Args:
        query: What is asked.
        configuration: The configuration in force.
        catalogue: What the slices offer.

    Returns:
        Its table.

    Raises:
        NotFoundError: When there is no such table, column or explanation.
        BadRequestError: When a column cannot be compared so.
    """
    if isinstance(query, Explain):
        explainer = catalogue.explainers_by_kind.get(query.kind)
        if explainer is None:
            raise _unknown("explanation of", query.kind, catalogue.explainers_by_kind)
        return await explainer(query.id)
    return _select(await _table(query.source, configuration, catalogue), query)


async def _table(name: str, configuration: Configuration, catalogue: Catalogue) -> Table:
    """Returns a whole table: a slice's, or the objects of one kind."""
    if source := catalogue.sources_by_name.get(name):
        return await source()
    if name in COLLECTION_NAMES:
        return objects_table(list(getattr(configuration, f"{name}_by_id").values()))
    if name == "endpoints":
        return _endpoints_table(configuration)
    raise _unknown("table", name, [*catalogue.sources_by_name, *COLLECTION_NAMES, "endpoints"])


def objects_table(items: list[Any]) -> Table:
    """Lists dataclasses with a column for each field that is no secret."""
    if not items:
        return Table(("id",), ())
    columns = tuple(entry.name for entry in fields(items[0]) if entry.name not in SECRET_FIELDS)
    rows = tuple(
        tuple(msgspec.to_builtins(getattr(item, name)) for name in columns) for item in items
    )
    return Table(columns, rows)


def _endpoints_table(configuration: Configuration) -> Table:
    """Lists the endpoints of all pools."""
    rows = tuple(
        (one.id, pool.id, one.address, one.data_centre, one.state.value)
        for pool in configuration.pools_by_id.values()
        for one in pool.endpoints
    )
    return Table(("id", "pool", "address", "data_centre", "state"), rows)


def _select(table: Table, query: Show) -> Table:
    """Filters, orders and cuts a table as a query asks."""
    rows = list(table.rows)
    for condition in query.conditions:
        index = _column(table, condition.column)
        rows = [row for row in rows if _holds(row[index], condition)]
    if query.order_by:
        index = _column(table, query.order_by)
        rows.sort(key=lambda row: _sort_key(row[index]), reverse=query.descending)
    return Table(table.columns, tuple(rows[: query.limit] if query.limit else rows))


def _column(table: Table, name: str) -> int:
    if name not in table.columns:
        raise _unknown("column", name, table.columns)
    return table.columns.index(name)


def _holds(value: Any, condition: Condition) -> bool:
    """Says whether one value compares as a condition asks; a list holds when it contains it."""
    wanted = condition.value
    if condition.comparison == "like":
        return fnmatch.fnmatchcase(str(value), str(wanted))
    if isinstance(value, list | tuple) and condition.comparison in ("=", "!="):
        return (wanted in value) is (condition.comparison == "=")
    try:
        return COMPARISONS_BY_OPERATOR[condition.comparison](value, wanted)
    except TypeError as error:
        raise BadRequestError(
            f"{condition.column} cannot be compared with {wanted!r}.",
            remedy="Compare numbers with numbers and texts with texts.",
        ) from error


def _sort_key(value: Any) -> tuple[int, Any]:
    """Orders numbers before texts, and texts by their letters."""
    return (0, value) if isinstance(value, int | float) else (1, str(value))


def _unknown(what: str, name: str, known: Any) -> NotFoundError:
    listed = ", ".join(sorted(known)) or "none"
    return NotFoundError(f"There is no {what} {name!r}.", remedy=f"Use one of: {listed}.")

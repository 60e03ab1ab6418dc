"""Decides in which regions a request may run: those that its route and its client account name."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mastickeel_router.routes.model import Caller, Route


def home_regions(route: Route, caller: Caller | None) -> frozenset[str] | None:
    """Returns the regions in which a request may run; None if it may run anywhere."""
    homes = [frozenset(one.homes) for one in (route, caller) if one is not None and one.homes]
    return frozenset.intersection(*homes) if homes else None


def is_at_home(
    data_centre: str, homes: frozenset[str] | None, regions_by_data_centre: Mapping[str, str]
) -> bool:
    """Returns whether a data centre lies in one of the regions; not if its region is not known."""
    return homes is None or regions_by_data_centre.get(data_centre) in homes

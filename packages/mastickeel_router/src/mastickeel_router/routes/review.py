"""Reviews a routing configuration before it is sent: what is wrong, of no use, or contradictory.

Uses the checks with which a configuration is put in force, and adds what is usable but surely not
meant.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from mastickeel_router.routes.checks import list_faults
from mastickeel_router.routes.homes import home_regions
from mastickeel_router.routes.model import RouteKind

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from mastickeel_router.routes.model import Account, Route, RoutingConfiguration


class FindingKind(StrEnum):
    """Kind of a finding."""

    ERROR = "error"
    """The configuration is refused as a whole."""
    UNUSED = "unused"
    """An entry can never match, or has no effect."""
    CONTRADICTION = "contradiction"
    """Two values exclude each other, or one makes the other pointless."""
    CHANGE = "change"
    """A difference from the version in force."""


@dataclass(frozen=True)
class Finding:
    """One finding of a review."""

    kind: FindingKind
    entry: str
    """Name of the entry, with its type."""
    text: str


def review_configuration(
    configuration: RoutingConfiguration, accounts: Sequence[Account]
) -> list[Finding]:
    """Returns the findings of a configuration by itself.

    Args:
        configuration: The configuration.
        accounts: Its client accounts, in order.
    """
    errors = [
        Finding(FindingKind.ERROR, "configuration", text) for text in list_faults(configuration)
    ]
    return [
        *errors,
        *_find_unused(configuration, accounts),
        *_find_contradictions(configuration, accounts),
    ]


def compare_configurations(
    before: RoutingConfiguration, after: RoutingConfiguration
) -> list[Finding]:
    """Returns what a configuration changes of the version in force."""
    changes = list(_compare_versions(before, after))
    routes_before = {route.name: route for route in before.routes}
    routes_after = {route.name: route for route in after.routes}
    changes += _compare("route", routes_before, routes_after)
    changes += _compare("service", before.services_by_name, after.services_by_name)
    changes += _compare("account", _group_keys(before), _group_keys(after))
    changes += _compare("limits", {"callers": before.limits}, {"callers": after.limits})
    return changes


def _compare_versions(
    before: RoutingConfiguration, after: RoutingConfiguration
) -> Iterator[Finding]:
    if after.version <= before.version:
        text = f"{after.version} is not above {before.version} in force; it would be ignored"
        yield Finding(FindingKind.ERROR, "version", text)


def _find_unused(
    configuration: RoutingConfiguration, accounts: Sequence[Account]
) -> Iterator[Finding]:
    """Returns the entries that can never match or have no effect."""
    used = {
        split.service for route in configuration.routes for split in route.splits if split.weight
    }
    for name in configuration.services_by_name:
        if name not in used:
            yield Finding(FindingKind.UNUSED, f"service {name}", "no route sends requests to it")
    for route in configuration.routes:
        entry = f"route {route.name}"
        if any(char in route.path_prefix for char in "?# "):
            yield Finding(FindingKind.UNUSED, entry, "no path contains '?', '#' or a space")
        for split in route.splits:
            if not split.weight and len(route.splits) > 1:
                text = f"service {split.service} has weight 0 and gets nothing"
                yield Finding(FindingKind.UNUSED, entry, text)
        if configuration.callers_by_key == {} and not route.public:
            yield Finding(FindingKind.UNUSED, entry, "no account has a key, and it is not public")
    owner_by_key: dict[str, str] = {}
    for account in accounts:
        entry = f"account {account.caller.name}"
        if not account.keys:
            yield Finding(FindingKind.UNUSED, entry, "it has no key, so that nobody can use it")
        for key in account.keys:
            other = owner_by_key.setdefault(key, account.caller.name)
            if other != account.caller.name:
                text = f"one of its keys is also a key of account {other}, which loses it"
                yield Finding(FindingKind.UNUSED, entry, text)


def _find_contradictions(
    configuration: RoutingConfiguration, accounts: Sequence[Account]
) -> Iterator[Finding]:
    """Returns values that exclude each other."""
    limits = configuration.limits
    if limits.idle_timeout_ms < limits.header_timeout_ms:
        text = (
            f"a connection may be idle for {limits.idle_timeout_ms} ms, less than the"
            f" {limits.header_timeout_ms} ms that the headers may take"
        )
        yield Finding(FindingKind.CONTRADICTION, "limits", text)
    for route in configuration.routes:
        entry = f"route {route.name}"
        for text in _contradictions_of_route(route, configuration):
            yield Finding(FindingKind.CONTRADICTION, entry, text)
        for account in accounts:
            homes = home_regions(route, account.caller)
            if homes is not None and not homes:
                text = f"its homes exclude those of account {account.caller.name}"
                yield Finding(FindingKind.CONTRADICTION, entry, text)


def _contradictions_of_route(route: Route, configuration: RoutingConfiguration) -> Iterator[str]:
    if route.objective_ms > route.timeout_ms:
        yield (
            f"the objective of {route.objective_ms} ms is above the timeout of"
            f" {route.timeout_ms} ms"
        )
    if route.max_event_gap_ms > route.timeout_ms:
        yield f"the pause of {route.max_event_gap_ms} ms between events is above the timeout"
    if route.resumable and route.attempts == 1:
        yield "its streams may be resumed, but 1 attempt leaves none for it"
    if route.kind is not RouteKind.STREAM and (route.resumable or route.max_event_gap_ms):
        yield "it has values of a stream and is none"
    if route.models and not route.prompt_affinity:
        yield "it names models, but its requests carry no prompts"
    for split in route.splits:
        service = configuration.services_by_name.get(split.service)
        if service is None or not route.models:
            continue
        known = service.engine.models_by_name if service.engine is not None else {}
        if missing := [name for name in route.models if name not in known]:
            yield f"service {split.service} has no model {', '.join(missing)}"
        costs = [known[name].cost for name in route.models if name in known]
        if costs != sorted(costs):
            yield f"its models are not in the order of their cost at service {split.service}"


def _group_keys(configuration: RoutingConfiguration) -> dict[str, frozenset[str]]:
    """Returns the keys by account."""
    keys_by_account: dict[str, set[str]] = {}
    for key, caller in (configuration.callers_by_key or {}).items():
        keys_by_account.setdefault(caller.name, set()).add(key)
    return {name: frozenset(keys) for name, keys in keys_by_account.items()}


def _compare(kind: str, before: Mapping[str, Any], after: Mapping[str, Any]) -> Iterator[Finding]:
    """Returns the entries that were added, removed or changed."""
    for name in sorted(before.keys() | after.keys()):
        entry = f"{kind} {name}"
        if name not in after:
            yield Finding(FindingKind.CHANGE, entry, "removed")
        elif name not in before:
            yield Finding(FindingKind.CHANGE, entry, "added")
        elif before[name] != after[name]:
            text = _describe_change(before[name], after[name])
            yield Finding(FindingKind.CHANGE, entry, text)


def _describe_change(before: Any, after: Any) -> str:
    """Returns what differs between two values of one type; keys are counted, not shown."""
    if isinstance(before, frozenset):
        return f"{len(after - before)} keys added, {len(before - after)} keys removed"
    changes = [
        f"{field.name} from {getattr(before, field.name)!r} to {getattr(after, field.name)!r}"
        for field in fields(before)
        if getattr(before, field.name) != getattr(after, field.name)
    ]
    return "; ".join(changes)

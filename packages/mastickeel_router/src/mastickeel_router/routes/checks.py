"""Checks of a routing configuration: an unusable one is refused as a whole."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError

if TYPE_CHECKING:
    from collections.abc import Collection

    from mastickeel_router.routes.model import (
        CallerLimits,
        Route,
        RoutingConfiguration,
        ServiceTraits,
    )


class UnusableConfigurationError(MastickeelError):
    """Raised for a configuration that cannot be put in force."""

    code = "unusable_configuration"
    title = "The configuration cannot be put in force."
    remedy = "Correct the values in the detail; the configuration before it stays in force."


def check_configuration(configuration: RoutingConfiguration) -> None:
    """Checks what the types do not exclude.

    Raises:
        UnusableConfigurationError: Lists every fault.
    """
    if faults := list_faults(configuration):
        raise UnusableConfigurationError("; ".join(faults))


def list_faults(configuration: RoutingConfiguration) -> list[str]:
    """Returns the faults for which a configuration cannot be put in force."""
    services = configuration.services_by_name
    faults = [fault for route in configuration.routes for fault in _check_route(route, services)]
    faults += [fault for service in services.values() for fault in _check_service(service)]
    places = Counter((route.host, route.path_prefix) for route in configuration.routes)
    faults += [
        f"{host}{prefix} belongs to {count} routes"
        for (host, prefix), count in places.items()
        if count > 1
    ]
    faults += _check_limits(configuration.limits)
    if configuration.version < 0:
        faults.append(f"the version is {configuration.version}")
    return faults


def _check_route(route: Route, services: Collection[str]) -> list[str]:
    """Returns the faults of one route."""
    faults = [
        f"there is no service {split.service!r}"
        for split in route.splits
        if split.service not in services
    ]
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        faults.append(f"path prefix {route.path_prefix!r}")
    if not route.host:
        faults.append("no host")
    if any(split.weight < 0 for split in route.splits):
        faults.append("a weight under 0")
    elif not sum(split.weight for split in route.splits):
        faults.append("no weight above 0")
    if route.timeout_ms <= 0:
        faults.append(f"timeout of {route.timeout_ms} ms")
    if route.objective_ms < 0 or route.max_event_gap_ms < 0:
        faults.append("an objective under 0 ms")
    if route.attempts < 1:
        faults.append(f"{route.attempts} attempts")
    return [f"route {route.name!r}: {fault}" for fault in faults]


def _check_service(service: ServiceTraits) -> list[str]:
    """Returns the faults of one service."""
    faults = []
    if service.connections < 0:
        faults.append(f"{service.connections} connections")
    if service.warmup is not None and service.warmup.per_second <= 0:
        faults.append(f"{service.warmup.per_second} requests a second during the warm-up")
    if service.warmup is not None and service.warmup.duration_ms < 0:
        faults.append(f"a warm-up of {service.warmup.duration_ms} ms")
    if service.engine is not None:
        if service.engine.slots <= 0 or service.engine.memory_tokens <= 0:
            faults.append("an engine without slots or memory")
        faults += [
            f"model {model.name!r} costs {model.cost}"
            for model in service.engine.models_by_name.values()
            if model.cost < 0
        ]
    return [f"service {service.name!r}: {fault}" for fault in faults]


def _check_limits(limits: CallerLimits) -> list[str]:
    """Returns the faults of the limits on callers' requests."""
    values_by_name = {
        "header_bytes": limits.header_bytes,
        "body_bytes": limits.body_bytes,
        "header_timeout_ms": limits.header_timeout_ms,
        "idle_timeout_ms": limits.idle_timeout_ms,
    }
    return [f"{name} is {value}" for name, value in values_by_name.items() if value <= 0]

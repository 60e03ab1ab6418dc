"""Holds the routing configuration in force, and matches requests to its routes and accounts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.errors import NotFoundError, UnauthorizedError, UnavailableError
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel_router.routes.checks import check_configuration

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel_router.routes.model import Caller, Route, RoutingConfiguration

NOT_CONFIGURED_RETRY_MS = 500
"""Retry time sent to callers before the first configuration: about one read of the store."""

MAX_LOGGED_ACCOUNTS = 20
"""Maximum number of accounts in a log line."""

CONFIGURATION_IN_FORCE = define_event(
    2300,
    "routes_in_force",
    "info",
    "This instance has put a newer routing configuration in force.",
)
CONFIGURATION_NOT_NEWER = define_event(
    2301,
    "routes_not_newer",
    "debug",
    "A routing configuration was ignored because it is not newer than the one in force.",
)


class RouteTable:
    """Routes and API keys of the newest configuration read; older configurations are ignored."""

    def __init__(self) -> None:
        self.configuration: RoutingConfiguration | None = None
        """Configuration in force; None until the first one has been read."""
        self.on_change: list[Callable[[RoutingConfiguration], None]] = []
        """Callbacks for each newer configuration."""
        self._routes_by_host: dict[str, list[Route]] = {}

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first one."""
        return self.configuration.version if self.configuration else 0

    def install(self, configuration: RoutingConfiguration, revision: int) -> bool:
        """Puts a configuration in force if it is newer than the current one.

        Args:
            configuration: The configuration that was read.
            revision: The store's revision of the configuration, for the log.

        Returns:
            Whether the configuration was put in force.

        Raises:
            UnusableConfigurationError: When a value cannot be used; nothing of it is applied.
        """
        check_configuration(configuration)
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            log(CONFIGURATION_NOT_NEWER, version=configuration.version, in_force=current.version)
            return False
        routes_by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            routes_by_host.setdefault(route.host, []).append(route)
        for routes in routes_by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._routes_by_host = routes_by_host
        self.configuration = configuration
        log(
            CONFIGURATION_IN_FORCE,
            version=configuration.version,
            revision=revision,
            routes=len(configuration.routes),
            keys_dropped=_accounts_with_dropped_keys(current, configuration),
        )
        for notify in self.on_change:
            notify(configuration)
        return True

    def match(self, host: str, path: str) -> Route:
        """Returns the route with the longest matching path prefix.

        Args:
            host: The Host header; case is ignored, and so is the port unless a route names it.
            path: The path without its query.

        Raises:
            UnavailableError: When no configuration has been read yet.
            NotFoundError: When no route matches.
        """
        if self.configuration is None:
            raise UnavailableError(
                "No configuration has been read yet.", retry_after_ms=NOT_CONFIGURED_RETRY_MS
            )
        name = host.lower()
        routes = self._routes_by_host.get(name) or self._routes_by_host.get(name.split(":")[0], [])
        for route in routes:
            if path.startswith(route.path_prefix):
                return route
        raise NotFoundError(f"No route of host {host} matches the path {path}.")

    def authenticate(self, route: Route, key: str) -> Caller | None:
        """Returns the client account that an API key identifies.

        Args:
            route: The request's route; a public route needs no key.
            key: The request's API key; empty for none.

        Returns:
            The account; None when a public route's key is missing or unknown, or when the
            deployment has no accounts.

        Raises:
            UnauthorizedError: When the key is missing or unknown.
        """
        assert self.configuration is not None
        callers_by_key = self.configuration.callers_by_key
        if callers_by_key is None:
            return None
        caller = callers_by_key.get(key)
        if caller is None and not route.public:
            raise UnauthorizedError()
        return caller


def _accounts_with_dropped_keys(
    before: RoutingConfiguration | None, after: RoutingConfiguration
) -> list[str]:
    """Returns the names of accounts that have lost a key; requests with such a key are refused."""
    if before is None or not before.callers_by_key:
        return []
    kept = after.callers_by_key or {}
    names = {caller.name for key, caller in before.callers_by_key.items() if key not in kept}
    return sorted(names)[:MAX_LOGGED_ACCOUNTS]

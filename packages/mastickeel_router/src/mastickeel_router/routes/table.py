"""The configuration in force: only ever replaced by a newer one, and searched for each request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.errors import NotFoundError, UnauthorizedError, UnavailableError
from mastickeel.events import define_event
from mastickeel.logs import log

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel_router.routes.model import Caller, Route, RoutingConfiguration

NOT_CONFIGURED_RETRY_MS = 500
"""When to come back to an instance that has no configuration yet: about one read of the store."""

MAX_LOGGED_ACCOUNTS = 20
"""Accounts that one log line names."""

CONFIGURATION_IN_FORCE = define_event(
    2300, "routes_in_force", "info", "A newer routing configuration is in force on this instance."
)
CONFIGURATION_OLD = define_event(
    2301, "routes_not_newer", "debug", "A configuration was not newer than the one in force."
)


class RouteTable:
    """Routes and keys of the newest configuration that this instance has seen."""

    def __init__(self) -> None:
        self.configuration: RoutingConfiguration | None = None
        """What is in force; None until the first has been read."""
        self.on_change: list[Callable[[RoutingConfiguration], None]] = []
        """Called with each newer configuration."""
        self._routes_by_host: dict[str, list[Route]] = {}

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def install(self, configuration: RoutingConfiguration, revision: int) -> bool:
        """Puts a configuration in force if it is newer than the one that is.

        Args:
            configuration: As read.
            revision: The store's revision of it, for the log.

        Returns:
            Whether it is in force now.
        """
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            log(CONFIGURATION_OLD, version=configuration.version, in_force=current.version)
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
        """Finds the route with the longest prefix of a path.

        Args:
            host: The Host header; case and port are ignored.
            path: The path without its query.

        Raises:
            UnavailableError: When no configuration has been read yet.
            NotFoundError: When no route fits.
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
        raise NotFoundError(f"No route of {host} begins {path}.")

    def authenticate(self, route: Route, key: str) -> Caller | None:
        """Finds the client account of a key.

        Args:
            route: Where the request goes; a public one needs no key.
            key: The key that came with it; empty for none.

        Returns:
            The account; None for a public route, or when the deployment has no accounts.

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
    """Returns the accounts that hold a key less, for the log: their requests are refused now."""
    if before is None or not before.callers_by_key:
        return []
    kept = after.callers_by_key or {}
    names = {caller.name for key, caller in before.callers_by_key.items() if key not in kept}
    return sorted(names)[:MAX_LOGGED_ACCOUNTS]

"""Routes: the routing configuration of a deployment, and the table that matches requests to it."""

from mastickeel_router.routes.homes import home_regions, is_at_home
from mastickeel_router.routes.model import (
    Account,
    Caller,
    CallerLimits,
    EngineTraits,
    ModelTraits,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServiceTraits,
    Split,
    WarmupTraits,
)
from mastickeel_router.routes.table import RouteTable

__all__ = [
    "Account",
    "Caller",
    "CallerLimits",
    "EngineTraits",
    "ModelTraits",
    "Route",
    "RouteKind",
    "RouteTable",
    "RoutingConfiguration",
    "ServiceTraits",
    "Split",
    "WarmupTraits",
    "home_regions",
    "is_at_home",
]

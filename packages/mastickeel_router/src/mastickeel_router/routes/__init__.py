"""Routes: what a deployment's configuration says of each request, and the version in force."""

from mastickeel_router.routes.model import (
    Caller,
    CallerLimits,
    EngineTraits,
    ModelSize,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServiceTraits,
    Split,
)
from mastickeel_router.routes.table import RouteTable

__all__ = [
    "Caller",
    "CallerLimits",
    "EngineTraits",
    "ModelSize",
    "Route",
    "RouteKind",
    "RouteTable",
    "RoutingConfiguration",
    "ServiceTraits",
    "Split",
]

"""Gateway: a router without state of its own, whose routes are configured in a store."""

from mastickeel_router.gateway.deployment import Deployment
from mastickeel_router.gateway.gateway import Gateway
from mastickeel_router.gateway.settings import GatewaySettings, load, parse

__all__ = ["Deployment", "Gateway", "GatewaySettings", "load", "parse"]

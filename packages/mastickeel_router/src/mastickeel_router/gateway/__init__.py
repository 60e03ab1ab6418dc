"""Gateway: a router that serves the routes that a store configures, and keeps nothing itself."""

from mastickeel_router.gateway.deployment import Deployment
from mastickeel_router.gateway.gateway import Gateway
from mastickeel_router.gateway.settings import GatewaySettings, load, parse

__all__ = ["Deployment", "Gateway", "GatewaySettings", "load", "parse"]

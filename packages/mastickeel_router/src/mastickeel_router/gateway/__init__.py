"""Gateway: a router that serves the routes which a store configures, with nothing of its own kept."""

from mastickeel_router.gateway.deployment import Deployment
from mastickeel_router.gateway.gateway import Gateway
from mastickeel_router.gateway.settings import GatewaySettings, load, parse

__all__ = ["Deployment", "Gateway", "GatewaySettings", "load", "parse"]

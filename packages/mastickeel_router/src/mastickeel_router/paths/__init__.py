"""Paths to endpoints: directly, or through a peer while this instance is cut off from them."""

from mastickeel_router.paths.monitor import PathMonitor
from mastickeel_router.paths.paths import EndpointPaths, PathStateNotice
from mastickeel_router.paths.tunnels import TunnelListener

__all__ = ["EndpointPaths", "PathMonitor", "PathStateNotice", "TunnelListener"]

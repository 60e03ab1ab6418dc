"""Discovery: the registry of live endpoints, and the watch of the store that maintains it."""

from mastickeel_router.discovery.feeds import follow_prefix
from mastickeel_router.discovery.registry import EndpointRecord, EndpointRegistry

__all__ = ["EndpointRecord", "EndpointRegistry", "follow_prefix"]

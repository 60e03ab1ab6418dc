"""Discovery: which endpoints live, and how this instance follows the store."""

from mastickeel_router.discovery.feeds import follow_prefix
from mastickeel_router.discovery.registry import EndpointRecord, EndpointRegistry

__all__ = ["EndpointRecord", "EndpointRegistry", "follow_prefix"]

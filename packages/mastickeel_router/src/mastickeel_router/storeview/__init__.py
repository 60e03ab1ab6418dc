"""What this instance knows of the store: by its own watch, and from the other instances."""

from mastickeel_router.storeview.knowledge import FleetAccess, StoreKnowledge
from mastickeel_router.storeview.watchers import Member

__all__ = ["FleetAccess", "Member", "StoreKnowledge"]

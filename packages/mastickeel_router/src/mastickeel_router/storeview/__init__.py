"""What this instance knows of the store: by its own watch, and from the other instances."""

from mastickeel_router.storeview.knowledge import FleetAccess, StoreKnowledge

__all__ = ["FleetAccess", "StoreKnowledge"]

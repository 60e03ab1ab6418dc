"""Evacuations: operators' orders that the endpoints of a data centre get no requests."""

from mastickeel_router.evacuation.evacuations import EvacuationOrder, Evacuations

__all__ = ["EvacuationOrder", "Evacuations"]

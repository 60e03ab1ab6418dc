"""Moves models to new versions in stages, with bounded exposure and guards."""

from __future__ import annotations

from mastickeel_router.rollouts.controller import RolloutController
from mastickeel_router.rollouts.orders import EngineOrders
from mastickeel_router.rollouts.participant import RolloutParticipant
from mastickeel_router.rollouts.service import RolloutService

__all__ = ["EngineOrders", "RolloutController", "RolloutParticipant", "RolloutService"]

"""Availability: what endpoints have said in their answers about taking further requests."""

from mastickeel_router.availability.availability import (
    EndpointAvailability,
    EndpointLeavingNotice,
)

__all__ = ["EndpointAvailability", "EndpointLeavingNotice"]

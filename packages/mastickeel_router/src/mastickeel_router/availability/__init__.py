"""Availability: what endpoints have said in their answers about taking further requests."""

from mastickeel_router.availability.availability import (
    EndpointAvailability,
    EndpointAwayNotice,
    EndpointLeavingNotice,
)

__all__ = ["EndpointAvailability", "EndpointAwayNotice", "EndpointLeavingNotice"]

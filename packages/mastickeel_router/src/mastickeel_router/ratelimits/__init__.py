"""Rate limits: the requests a second that an endpoint accepts from the whole fleet."""

from mastickeel_router.ratelimits.limits import EndpointLimitNotice, EndpointLimits

__all__ = ["EndpointLimitNotice", "EndpointLimits"]

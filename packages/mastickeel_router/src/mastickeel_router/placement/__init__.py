"""Placement: selects the endpoint that serves a request."""

from mastickeel_router.placement.loads import EndpointLoads, WorkSentNotice
from mastickeel_router.placement.scoring import Candidate, Demand, score

__all__ = ["Candidate", "Demand", "EndpointLoads", "WorkSentNotice", "score"]

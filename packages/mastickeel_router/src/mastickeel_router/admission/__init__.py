"""Admission control: rate limits, cost ceilings and the request queue."""

from __future__ import annotations

from mastickeel_router.admission.capacity import ConcurrencyLimit
from mastickeel_router.admission.ceilings import Ceilings
from mastickeel_router.admission.coordinator import CeilingCoordinator
from mastickeel_router.admission.errors import (
    CeilingReachedError,
    OverloadedError,
    RateLimitedError,
)
from mastickeel_router.admission.estimates import CostEstimates
from mastickeel_router.admission.gate import AdmissionGate
from mastickeel_router.admission.limits import AccountLimits
from mastickeel_router.admission.queue import FairQueue

__all__ = [
    "AccountLimits",
    "AdmissionGate",
    "CeilingCoordinator",
    "CeilingReachedError",
    "Ceilings",
    "ConcurrencyLimit",
    "CostEstimates",
    "FairQueue",
    "OverloadedError",
    "RateLimitedError",
]

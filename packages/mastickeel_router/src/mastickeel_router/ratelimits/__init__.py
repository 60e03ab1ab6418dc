"""Rate limits: the requests a second that an endpoint accepts from the whole fleet."""

from mastickeel_router.ratelimits.admissions import (
    Admission,
    AdmissionCounter,
    AdmissionOutcome,
    AdmissionReply,
    AdmissionRequest,
    SendAdmissions,
)
from mastickeel_router.ratelimits.issuer import PermitIssuer, PermitReply, PermitRequest
from mastickeel_router.ratelimits.limits import EndpointLimitNotice, EndpointLimits
from mastickeel_router.ratelimits.permits import SendPermits
from mastickeel_router.ratelimits.warmup import EndpointWarmups

__all__ = [
    "Admission",
    "AdmissionCounter",
    "AdmissionOutcome",
    "AdmissionReply",
    "AdmissionRequest",
    "EndpointLimitNotice",
    "EndpointLimits",
    "EndpointWarmups",
    "PermitIssuer",
    "PermitReply",
    "PermitRequest",
    "SendAdmissions",
    "SendPermits",
]

"""Errors of requests that were refused before they ran."""

from __future__ import annotations

from mastickeel.errors import MastickeelError


class RateLimitedError(MastickeelError):
    """Raised when an account exceeds its fleet-wide request rate or concurrency."""

    code = "rate_limited"
    status = 429
    title = "The account exceeds its rate or concurrency limit."
    remedy = "Send fewer requests, or send again after the time in Retry-After."


class CeilingReachedError(MastickeelError):
    """Raised when the rest of an account's cost ceiling does not cover the request."""

    code = "ceiling_reached"
    status = 429
    title = "The account's cost ceiling is reached."
    remedy = "Ask an operator to raise the ceiling, or wait for the next period (Retry-After)."


class OverloadedError(MastickeelError):
    """Raised when a request cannot start in time or the queue is full."""

    code = "overloaded"
    status = 503
    title = "The endpoints are overloaded."
    remedy = "Send the request again after the time in Retry-After."

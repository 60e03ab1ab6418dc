"""The stored record of a call with an Idempotency-Key, and its answer."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass


@dataclass(frozen=True)
class IntentKey:
    """Identifies an intent: an Idempotency-Key within an account and scope."""

    account_id: str
    scope: str
    """The id of the service, or the scope of chat requests."""
    key: str
    """The Idempotency-Key as the caller sent it."""

    def path(self) -> str:
        """Returns the end of the intent's key in the key-value service."""
        digest = hashlib.sha256(self.key.encode()).hexdigest()[:40]
        return f"{self.account_id}/{self.scope}/{digest}"


@dataclass(frozen=True)
class IntentOutcome:
    """Answer to a call, as stored with the intent of the call."""

    status: int
    content_type: str
    body: bytes | None
    """None when the body was too large to store, or streamed."""


@dataclass(frozen=True)
class Intent:
    """The stored record of a call with an Idempotency-Key."""

    id: str
    """The id of the request that created the intent."""
    fingerprint: str
    """A digest of the request, which a repeated request must match."""
    at_ms: int
    """Wall-clock time of creation, in milliseconds."""
    settled: bool = False
    """Whether the record is final."""
    outcome: IntentOutcome | None = None
    """The answer; None while the call is in flight, or when the answer was lost."""

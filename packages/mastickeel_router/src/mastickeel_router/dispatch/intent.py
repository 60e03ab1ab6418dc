"""The record behind an Idempotency-Key, and the answer that it keeps."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass


@dataclass(frozen=True)
class IntentKey:
    """What a key is unique in."""

    account_id: str
    scope: str
    """The service, or what stands for chat requests."""
    key: str
    """The Idempotency-Key as the caller sent it."""

    def path(self) -> str:
        """Returns the end of the key in the key-value service."""
        digest = hashlib.sha256(self.key.encode()).hexdigest()[:40]
        return f"{self.account_id}/{self.scope}/{digest}"


@dataclass(frozen=True)
class Outcome:
    """An answer as it is kept."""

    status: int
    content_type: str
    body: bytes | None
    """None when it was too large, or streamed."""


@dataclass(frozen=True)
class Intent:
    """The record behind a key."""

    id: str
    """The id of the request that created it."""
    fingerprint: str
    """A digest of the request, which a repeat must share."""
    at_ms: int
    """Calendar time of its creation."""
    settled: bool = False
    """Whether nothing more will be recorded."""
    outcome: Outcome | None = None
    """The answer; None while the call is under way, or when it was lost."""

"""Quarantine of requests that crash the endpoints on which they run."""

from __future__ import annotations

from mastickeel_router.quarantine.guard import Quarantine, QuarantinedError

__all__ = ["Quarantine", "QuarantinedError"]

"""Limits that all kinds of quarantine share."""

from __future__ import annotations

CRASH_TTL_MS = 600_000
"""How long a crash counts, and how long a content is refused after its last crash."""
MAX_CONTENTS = 20_000
"""Contents whose state is kept."""

"""Limits that all kinds of quarantine share."""

from __future__ import annotations

CRASH_TTL_MS = 600_000
"""How long a crash counts, and how long a content is refused after its last crash."""
MIN_CRASHES_KEPT = 2
"""Crashes from which those of a content or part are kept in the store: an endpoint that crashes by
itself takes many of them with it, each once."""
MAX_CONTENTS = 20_000
"""Contents whose state is kept."""

"""The fingerprint of a request's content."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

if TYPE_CHECKING:
    from mastickeel_router.requests import ChatRequest

IGNORED_FIELDS = frozenset({"model", "stream", "stream_options", "user", "metadata", "seed"})
"""Fields that callers vary without changing what an engine works on."""
FINGERPRINT_DIGITS = 16


def compute_fingerprint(request: ChatRequest) -> int:
    """Returns the fingerprint of a request: the same for the same content and account.

    Args:
        request: The request; key order and the fields in IGNORED_FIELDS do not count.
    """
    content = {name: value for name, value in request.body.items() if name not in IGNORED_FIELDS}
    normal = msgspec.json.encode([request.account_id, content], order="deterministic")
    return xxhash.xxh3_64_intdigest(normal)


def format_fingerprint(fingerprint: int) -> str:
    """Writes a fingerprint as operators see it."""
    return f"{fingerprint:0{FINGERPRINT_DIGITS}x}"

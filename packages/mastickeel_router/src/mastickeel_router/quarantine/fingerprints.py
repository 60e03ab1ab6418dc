"""Fingerprints of request contents.

A content is what an endpoint computes on: the body of a request without the fields that do not
change the work. Requests of an account with the same content have the same fingerprint.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

if TYPE_CHECKING:
    from mastickeel_router.requests import ChatRequest

IGNORED_FIELDS = frozenset({"model", "stream", "stream_options", "user", "metadata", "seed"})
"""Request fields that do not change the work of an engine, and so are not hashed."""
FINGERPRINT_DIGITS = 16


def compute_fingerprint(request: ChatRequest) -> int:
    """Returns the fingerprint of a request, which is equal for equal content and account.

    Args:
        request: The request; the order of keys and the fields in IGNORED_FIELDS are ignored.
    """
    content = {name: value for name, value in request.body.items() if name not in IGNORED_FIELDS}
    encoded = msgspec.json.encode([request.account_id, content], order="deterministic")
    return xxhash.xxh3_64_intdigest(encoded)


def format_fingerprint(fingerprint: int) -> str:
    """Returns a fingerprint in the hexadecimal form shown to operators."""
    return f"{fingerprint:0{FINGERPRINT_DIGITS}x}"

"""Decides from the findings of several instances whether an endpoint has ended."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_REFUSED_PEERS = 2
"""Peers that must be refused by an endpoint, if as many reply: one may be cut off itself."""


class Finding(Enum):
    """What a peer finds when it connects to an endpoint."""

    REACHED = "reached"
    REFUSED = "refused"
    """Connections to the endpoint are refused, or it is no longer listed."""
    UNCERTAIN = "uncertain"
    """The peer replied and found neither; it may have lost its own path."""
    NO_REPLY = "no_reply"
    """The peer did not reply; it may have ended."""


def decide_end(
    findings: Iterable[Finding], *, is_last: bool = True, may_be_cut: bool = False
) -> bool | None:
    """Returns whether an endpoint that refuses this instance has ended; None if not known yet.

    Args:
        findings: What the peers found so far.
        is_last: Whether no further peer can be requested.
        may_be_cut: Whether this instance may have lost its paths to all endpoints.
    """
    counts = Counter(findings)
    if counts[Finding.REACHED]:
        return False
    if counts[Finding.REFUSED] >= MIN_REFUSED_PEERS:
        return True
    if not is_last:
        return None
    if counts[Finding.UNCERTAIN]:
        return False
    # Peers that have ended together with others leave the finding to those that are left.
    return bool(counts[Finding.REFUSED]) or not may_be_cut

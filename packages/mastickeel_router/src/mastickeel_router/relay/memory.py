"""Bounds the memory that the bodies of all answers under way hold on this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.httpmessages import AnswerTooLargeError
from mastickeel.logs import log

if TYPE_CHECKING:
    from collections.abc import Callable

ANSWER_EVICTED = define_event(
    2396,
    "answer_evicted",
    "warning",
    "The answers under way filled the memory for them; the largest was given up.",
)


class AnswerMemory:
    """Memory of the answers that are being collected, and of events that are not complete."""

    def __init__(self, limit_bytes: int) -> None:
        """Creates the memory without any answer.

        Args:
            limit_bytes: Maximum size of all answers together.
        """
        self.held_bytes = 0
        """Size of all answers."""
        self.evictions = 0
        """Number of answers that were given up so far."""
        self._limit_bytes = limit_bytes
        self._shares: set[MemoryShare] = set()

    def open_share(self, on_evict: Callable[[], None]) -> MemoryShare:
        """Returns the share of a new answer.

        Args:
            on_evict: Ends the answer's exchange.
        """
        share = MemoryShare(self, on_evict)
        self._shares.add(share)
        return share

    def _resize(self, share: MemoryShare, size: int) -> None:
        """Changes the size of a share; gives up the largest ones while the memory is full."""
        if share not in self._shares:
            raise AnswerTooLargeError("The memory of this answer was given to others.")
        self.held_bytes += size - share.size
        share.size = size
        while self.held_bytes > self._limit_bytes:
            largest = max(self._shares, key=lambda one: one.size)
            self.evictions += 1
            log(ANSWER_EVICTED, size=largest.size, held_bytes=self.held_bytes)
            self._close(largest)
            if largest is share:
                raise AnswerTooLargeError("The answers under way fill the memory for them.")
            largest.on_evict()

    def _close(self, share: MemoryShare) -> None:
        if share in self._shares:
            self._shares.remove(share)
            self.held_bytes -= share.size
            share.size = 0


class MemoryShare:
    """Memory of one answer."""

    def __init__(self, memory: AnswerMemory, on_evict: Callable[[], None]) -> None:
        self.size = 0
        """Size of the answer in bytes."""
        self.on_evict = on_evict
        """Ends the answer's exchange."""
        self._memory = memory

    def resize(self, size: int) -> None:
        """Changes the size of the answer.

        Raises:
            AnswerTooLargeError: When the memory is full and this answer is the largest.
        """
        self._memory._resize(self, size)

    def shrink(self, size: int) -> None:
        """Returns the memory above a size; does nothing when all of it was returned before."""
        if self.size > size:
            self._memory._resize(self, size)

    def close(self) -> None:
        """Returns the memory; does nothing when it was returned before."""
        self._memory._close(self)

"""Bounds the memory that callers and endpoints make this instance hold.

One ledger counts the connections of callers, the requests that they send and the answers under way.
When it is full, what is least useful goes first: what has held most memory for longest without
progress, then what is largest. Nothing that is being served is given up for a newcomer.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.httpmessages import AnswerTooLargeError
from mastickeel.logs import log

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mastickeel.clock import Clock

STALLED_MS = 1_000
"""Time without progress after which a share counts as stalled; shorter pauses are usual."""
MAX_SERVED_PART = 0.75
"""Part of the memory for large requests that are being served, so that small ones find room."""
MILLISECONDS_PER_SECOND = 1_000

SHARE_EVICTED = define_event(
    2396,
    "answer_evicted",
    "warning",
    "What callers and endpoints make the instance hold filled its memory; the field kind says what "
    "was given up: the largest answer, or a caller's connection.",
)


class MemoryFullError(Exception):
    """Raised when a caller's share cannot grow, because what is held is of more use."""


class Holder(StrEnum):
    """What a share of the memory holds."""

    ANSWER = "answer"
    """An endpoint's answer that is collected, or events that are not complete."""
    CALLER = "caller"
    """A caller's connection, with the request that it sends."""


class HeldMemory:
    """Memory that callers and endpoints make this instance hold."""

    def __init__(self, clock: Clock, limit_bytes: int) -> None:
        """Creates the ledger without any share.

        Args:
            clock: Times the progress of the shares.
            limit_bytes: Maximum size of all shares together.
        """
        self.held_bytes = 0
        """Size of all shares."""
        self.evictions = 0
        """Number of shares that were given up so far."""
        self.bytes_by_holder: Counter[Holder] = Counter()
        """Size of the shares by what they hold."""
        self._clock = clock
        self._limit_bytes = limit_bytes
        self._shares: set[MemoryShare] = set()

    def open_share(
        self, on_evict: Callable[[], None], holder: Holder = Holder.ANSWER
    ) -> MemoryShare:
        """Returns a new share without any memory.

        Args:
            on_evict: Ends what the share holds.
            holder: What the share holds.
        """
        share = MemoryShare(self, on_evict, holder, self._clock.now())
        self._shares.add(share)
        return share

    def can_serve(self, size: int) -> bool:
        """Returns whether a large request can be served when no other one is."""
        return size <= self._limit_bytes * MAX_SERVED_PART

    def has_room_to_serve(self, size: int) -> bool:
        """Returns whether a large request may be served beside those that are being served."""
        served = sum(
            share.size
            for share in self._shares
            if share.holder is Holder.CALLER and not share.is_waiting
        )
        return served + size <= self._limit_bytes * MAX_SERVED_PART

    def find_stalled(self, shares: Iterable[MemoryShare]) -> MemoryShare | None:
        """Returns the share that has waited for its caller for longest; None if none waits."""
        waiting = (share for share in shares if share.is_waiting and share.is_open)
        return min(waiting, key=lambda share: share.progress_ms, default=None)

    def _resize(self, share: MemoryShare, size: int) -> None:
        """Changes the size of a share; gives up the least useful ones while the memory is full."""
        if share not in self._shares:
            raise _refusal(share, "The memory of this share was given to others.")
        self._set_size(share, size)
        while self.held_bytes > self._limit_bytes:
            victim = self._choose_victim(share)
            self._give_up(victim, "memory")
            if victim is share:
                raise _refusal(share, "What is under way fills the memory for it.")
            victim.on_evict()

    def evict(self, share: MemoryShare, reason: str) -> None:
        """Gives a share up and ends what it holds.

        Args:
            share: The share.
            reason: Why, for the log.
        """
        self._give_up(share, reason)
        share.on_evict()

    def _give_up(self, share: MemoryShare, reason: str) -> None:
        """Returns the memory of a share that is given up."""
        self.evictions += 1
        log(
            SHARE_EVICTED,
            kind=share.holder.value,
            reason=reason,
            size=share.size,
            held_bytes=self.held_bytes,
            stalled_ms=self._clock.now() - share.progress_ms,
        )
        self._close(share)

    def _choose_victim(self, cause: MemoryShare) -> MemoryShare:
        """Returns the share that is given up so that another one can grow."""
        now = self._clock.now()
        waiting = [share for share in self._shares if share.is_waiting]
        if waiting:
            return max(waiting, key=lambda share: (share.stalled_s(now) * share.size, share.size))
        if cause.holder is Holder.CALLER:
            return cause
        answers = (share for share in self._shares if share.holder is Holder.ANSWER)
        return max(answers, key=lambda share: share.size)

    def _set_size(self, share: MemoryShare, size: int) -> None:
        self.held_bytes += size - share.size
        self.bytes_by_holder[share.holder] += size - share.size
        share.size = size

    def _close(self, share: MemoryShare) -> None:
        if share in self._shares:
            self._shares.remove(share)
            self._set_size(share, 0)


class MemoryShare:
    """Memory of one answer, or of one caller's connection."""

    def __init__(
        self, memory: HeldMemory, on_evict: Callable[[], None], holder: Holder, now_ms: int
    ) -> None:
        self.size = 0
        """Size of what is held, in bytes."""
        self.on_evict = on_evict
        """Ends what is held."""
        self.holder = holder
        """What is held."""
        self.is_waiting = holder is Holder.CALLER
        """Whether the share waits for its caller, so that it may be given up for others."""
        self.progress_ms = now_ms
        """Clock time of the last progress."""
        self._memory = memory

    @property
    def is_open(self) -> bool:
        """Whether the share was neither closed nor given up."""
        return self in self._memory._shares

    def stalled_s(self, now_ms: int) -> int:
        """Returns the whole seconds since the last progress; 0 up to ``STALLED_MS``."""
        idle_ms = now_ms - self.progress_ms
        return idle_ms // MILLISECONDS_PER_SECOND if idle_ms >= STALLED_MS else 0

    def record_progress(self, *, is_waiting: bool) -> None:
        """Records progress.

        Args:
            is_waiting: Whether the share waits for its caller from now on.
        """
        self.progress_ms = self._memory._clock.now()
        self.is_waiting = is_waiting

    def resize(self, size: int) -> None:
        """Changes the size of what is held.

        Raises:
            AnswerTooLargeError: When the memory is full and this answer is given up.
            MemoryFullError: When the memory is full and this caller is given up.
        """
        self._memory._resize(self, size)

    def shrink(self, size: int) -> None:
        """Returns the memory above a size; does nothing when all of it was returned before."""
        if self.size > size:
            self._memory._resize(self, size)

    def close(self) -> None:
        """Returns the memory; does nothing when it was returned before."""
        self._memory._close(self)


def _refusal(share: MemoryShare, detail: str) -> AnswerTooLargeError | MemoryFullError:
    """Returns the error for a share that cannot have the memory."""
    return AnswerTooLargeError(detail) if share.holder is Holder.ANSWER else MemoryFullError(detail)

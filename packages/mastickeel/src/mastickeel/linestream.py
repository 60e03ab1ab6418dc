"""A stream for log lines that never blocks its process and bounds their rate."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel.clock import Clock

MAX_PENDING_BYTES = 256 * 1024
"""What waits for a slow reader; about two seconds of lines at the highest rate."""
MAX_LINES_PER_SECOND = 400
"""Some ten times what an instance writes at its share of today's peak."""
BURST_LINES = 2_000
"""Lines beyond that rate that a change of many endpoints or routes may bring at once."""
DRAIN_TIMEOUT_MS = 200
"""How long the end of a process waits for the reader: a reader that lives takes milliseconds."""
DRAIN_POLL_INTERVAL_MS = 10
ROUTINE_SHARE = 0.5
"""The part of burst and buffer that routine lines may use up: the rest is for failures."""


class LineStream:
    """Writes lines to a file descriptor; those that do not fit are counted and left out."""

    def __init__(
        self, descriptor: int, clock: Clock, routine_markers: tuple[str, ...] = ()
    ) -> None:
        """Makes the stream, and sets the descriptor not to block.

        Args:
            descriptor: Where lines go.
            clock: Times the rate.
            routine_markers: Texts; a line with one of them is left out before all others.
        """
        self.dropped = 0
        """Lines left out so far."""
        self._descriptor = descriptor
        self._clock = clock
        self._routine = routine_markers
        self._pending = bytearray()
        self._allowance = float(BURST_LINES)
        self._at_ms = clock.now()
        self._told = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Takes a line, with its end.

        Returns:
            How much of it was taken: all, also when it is left out.
        """
        if not self._may_take(is_routine=any(one in text for one in self._routine)):
            self.dropped += 1
            return len(text)
        if self.dropped > self._told:
            self._pending += f'{{"event": "lines_dropped", "total": {self.dropped}}}\n'.encode()
            self._told = self.dropped
        self._pending += text.encode()
        return len(text)

    def flush(self) -> None:
        """Writes what the reader takes now; the rest waits for the next line."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads: there is nowhere to say so.
                self._pending.clear()
                return
            del self._pending[:written]

    async def drain(self) -> None:
        """Waits a little for the reader to take what is pending, as the process ends."""
        until_ms = self._clock.now() + DRAIN_TIMEOUT_MS
        self.flush()
        while self._pending and self._clock.now() < until_ms:
            await self._clock.sleep(DRAIN_POLL_INTERVAL_MS)
            self.flush()

    def _may_take(self, *, is_routine: bool) -> bool:
        """Whether the rate and the pending bytes leave room for a line."""
        now = self._clock.now()
        gained = (now - self._at_ms) / 1_000 * MAX_LINES_PER_SECOND
        self._allowance = min(float(BURST_LINES), self._allowance + gained)
        self._at_ms = now
        kept = ROUTINE_SHARE if is_routine else 0.0
        if self._allowance < 1 + kept * BURST_LINES:
            return False
        if len(self._pending) > (1 - kept) * MAX_PENDING_BYTES:
            return False
        self._allowance -= 1
        return True

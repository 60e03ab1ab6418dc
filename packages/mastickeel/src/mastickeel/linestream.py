"""An output stream for log lines that never blocks the process and limits the rate of lines."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastickeel.clock import Clock

MAX_PENDING_BYTES = 256 * 1024
"""Bytes buffered for a slow reader: about two seconds of lines at the highest rate."""
MAX_LINES_PER_SECOND = 400
"""About ten times the rate at which an instance writes at its share of the peak load."""
BURST_LINES = 2_000
"""Lines accepted at once beyond the rate, as when many endpoints or routes change."""
DRAIN_TIMEOUT_MS = 200
"""Longest wait for the reader at the end of the process; a live reader takes milliseconds."""
DRAIN_POLL_INTERVAL_MS = 10
RESERVED_SHARE = 0.5
"""Share of burst and buffer reserved for lines that are not routine, such as failures."""


class LineStream:
    """Writes lines to a file descriptor; lines that exceed the rate or buffer are dropped."""

    def __init__(
        self, descriptor: int, clock: Clock, routine_markers: tuple[str, ...] = ()
    ) -> None:
        """Creates the stream and sets the descriptor to non-blocking mode.

        Args:
            descriptor: The file descriptor that lines are written to.
            clock: The clock for the rate.
            routine_markers: A line that contains any of these texts is routine: routine lines are
                dropped before all others.
        """
        self.dropped = 0
        """Number of lines dropped so far."""
        self._descriptor = descriptor
        self._clock = clock
        self._routine_markers = routine_markers
        self._pending = bytearray()
        self._allowance = float(BURST_LINES)
        self._refilled_ms = clock.now()
        self._reported_dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Buffers a line, or drops and counts it when there is no room.

        Args:
            text: The line, with its line break.

        Returns:
            The length of the text, also when the line is dropped.
        """
        if not self._has_room(is_routine=any(marker in text for marker in self._routine_markers)):
            self.dropped += 1
            return len(text)
        if self.dropped > self._reported_dropped:
            self._pending += f'{{"event": "lines_dropped", "total": {self.dropped}}}\n'.encode()
            self._reported_dropped = self.dropped
        self._pending += text.encode()
        return len(text)

    def flush(self) -> None:
        """Writes as many buffered bytes as the reader accepts now; the rest stays buffered."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe of the log, so the error cannot be logged.
                self._pending.clear()
                return
            del self._pending[:written]

    async def drain(self) -> None:
        """Writes the buffered lines at the end of the process, for at most DRAIN_TIMEOUT_MS."""
        deadline_ms = self._clock.now() + DRAIN_TIMEOUT_MS
        self.flush()
        while self._pending and self._clock.now() < deadline_ms:
            await self._clock.sleep(DRAIN_POLL_INTERVAL_MS)
            self.flush()

    def _has_room(self, *, is_routine: bool) -> bool:
        """Takes a line from the allowance; returns False when rate or buffer has no room."""
        now = self._clock.now()
        gained = (now - self._refilled_ms) / 1_000 * MAX_LINES_PER_SECOND
        self._allowance = min(float(BURST_LINES), self._allowance + gained)
        self._refilled_ms = now
        reserved_share = RESERVED_SHARE if is_routine else 0.0
        if self._allowance < 1 + reserved_share * BURST_LINES:
            return False
        if len(self._pending) > (1 - reserved_share) * MAX_PENDING_BYTES:
            return False
        self._allowance -= 1
        return True

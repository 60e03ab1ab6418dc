"""Signals that ask a process to stop."""

from __future__ import annotations

import asyncio
import signal


def stop_requested(again: asyncio.Event | None = None) -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set.

    Args:
        again: Set by the second signal.
    """
    stop = asyncio.Event()

    def on_signal() -> None:
        if stop.is_set() and again is not None:
            again.set()
        stop.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    return stop

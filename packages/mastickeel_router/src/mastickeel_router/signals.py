"""Signals that ask a process to stop."""

from __future__ import annotations

import asyncio
import signal


def install_stop_handlers(second_signal: asyncio.Event | None = None) -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set.

    Args:
        second_signal: Set by the second signal.
    """
    stop = asyncio.Event()

    def on_signal() -> None:
        if stop.is_set() and second_signal is not None:
            second_signal.set()
        stop.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    return stop

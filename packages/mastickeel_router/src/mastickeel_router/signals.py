"""Handlers for the signals that stop a process."""

from __future__ import annotations

import asyncio
import signal


def install_stop_handlers(second_signal: asyncio.Event | None = None) -> asyncio.Event:
    """Installs handlers for SIGTERM and SIGINT and returns the event that they set.

    Args:
        second_signal: An event that a second signal sets; None to ignore it.
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

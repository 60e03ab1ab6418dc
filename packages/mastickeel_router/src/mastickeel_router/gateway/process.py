"""Runs a gateway until a stop signal arrives, and reloads its settings file when it changes."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

from mastickeel.allocator import map_large_blocks
from mastickeel.clock import Clock
from mastickeel.errors import SettingsError
from mastickeel.events import SETTINGS_REFUSED, define_event
from mastickeel.linestream import LineStream
from mastickeel.logs import configure, log
from mastickeel_router.gateway.gateway import Gateway
from mastickeel_router.gateway.settings import load
from mastickeel_router.relay.context import REQUEST_PLACED, REQUEST_SERVED
from mastickeel_router.signals import install_stop_handlers

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from mastickeel.httpclient import HttpClient
    from mastickeel_router.gateway.deployment import Deployment
    from mastickeel_router.gateway.settings import GatewaySettings

SETTINGS_CHECK_INTERVAL_MS = 1_000
"""Interval of checks for a changed settings file; the file may change without a SIGHUP."""

SETTINGS_APPLIED = define_event(
    1007,
    "settings_taken",
    "info",
    "Changed settings were applied; listeners and the store's address change at a restart.",
)


async def serve(
    path: Path, make_deployment: Callable[[HttpClient, GatewaySettings], Deployment]
) -> None:
    """Runs a gateway until SIGTERM or SIGINT, then drains and stops it.

    Args:
        path: Path of the settings file.
        make_deployment: Creates the adapter to the deployment's store and wire formats.

    Raises:
        SettingsError: The settings are invalid.
    """
    map_large_blocks()
    # Taken before the file is read, so that a change during the start is detected.
    stamp = _file_stamp(path)
    settings = load(path)
    clock = Clock()
    routine_markers = tuple(f'"{event.name}"' for event in (REQUEST_SERVED, REQUEST_PLACED))
    lines = LineStream(sys.stdout.fileno(), clock, routine_markers)
    configure(settings.logs.level, settings.instance.id, stream=lines)
    gateway = Gateway(settings, clock, lambda client: make_deployment(client, settings))
    stop = install_stop_handlers()
    reload_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload_requested.set)
    await gateway.start()
    reloading = asyncio.ensure_future(_watch_settings(path, gateway, reload_requested, stamp))
    await stop.wait()
    reloading.cancel()
    await gateway.drain()
    await gateway.stop()
    await lines.drain()


async def _watch_settings(
    path: Path, gateway: Gateway, reload_requested: asyncio.Event, last_stamp: tuple[int, int]
) -> None:
    """Reloads the settings after a signal or a change of the file; ignores invalid ones."""
    while True:
        await gateway.clock.sleep(SETTINGS_CHECK_INTERVAL_MS)
        stamp = _file_stamp(path)
        if stamp == last_stamp and not reload_requested.is_set():
            continue
        last_stamp = stamp
        reload_requested.clear()
        try:
            gateway.apply_settings(load(path))
            log(SETTINGS_APPLIED, path=str(path))
        except SettingsError as error:
            log(SETTINGS_REFUSED, faults=error.faults, kept="the settings before")


def _file_stamp(path: Path) -> tuple[int, int]:
    """Returns modification time in ns and size of a file; zeros when the file is missing."""
    try:
        status = path.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)

"""Runs a gateway until a signal asks it to stop; takes changed settings while it runs."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

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
"""How often the settings file is looked at: it may change without a signal."""

SETTINGS_APPLIED = define_event(
    1007, "settings_taken", "info", "Changed settings are in force; listeners stay as they are."
)


async def serve(
    path: Path, make_deployment: Callable[[HttpClient, GatewaySettings], Deployment]
) -> None:
    """Serves until SIGTERM or SIGINT, then drains and stops.

    Args:
        path: The settings file.
        make_deployment: Makes the adapter to the systems around the gateway.

    Raises:
        SettingsError: When the settings have faults.
    """
    # Before the file is read: what changes from now on is noticed.
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
    path: Path, gateway: Gateway, reload_requested: asyncio.Event, applied_stamp: tuple[int, int]
) -> None:
    """Takes the settings again after a signal, or when the file is not the one that was seen."""
    while True:
        await gateway.clock.sleep(SETTINGS_CHECK_INTERVAL_MS)
        stamp = _file_stamp(path)
        if stamp == applied_stamp and not reload_requested.is_set():
            continue
        applied_stamp = stamp
        reload_requested.clear()
        try:
            gateway.apply_settings(load(path))
            log(SETTINGS_APPLIED, path=str(path))
        except SettingsError as error:
            log(SETTINGS_REFUSED, faults=error.faults, kept="the settings before")


def _file_stamp(path: Path) -> tuple[int, int]:
    """Returns what changes with a file's content; zeros when it is missing."""
    try:
        status = path.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)

"""Runs a router until a signal asks it to stop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mastickeel.allocator import map_large_blocks
from mastickeel.clock import Clock
from mastickeel.logs import configure
from mastickeel_router.router import Router
from mastickeel_router.signals import install_stop_handlers

if TYPE_CHECKING:
    from mastickeel.settings import Settings


async def serve(settings: Settings) -> None:
    """Serves until SIGTERM or SIGINT, then drains and stops; a second signal ends the drain early.

    Args:
        settings: Checked settings.
    """
    map_large_blocks()
    configure(settings.logs.level, settings.instance.id)
    router = Router(settings, Clock())
    skip_drain = asyncio.Event()
    stop = install_stop_handlers(skip_drain)
    starting = asyncio.ensure_future(router.start())
    await asyncio.wait(
        {starting, asyncio.ensure_future(stop.wait())}, return_when="FIRST_COMPLETED"
    )
    if starting.done():
        await starting
        await stop.wait()
        await drain_and_close(router, skip_drain)
    else:
        starting.cancel()
    await router.stop()


async def drain_and_close(router: Router, skip_drain: asyncio.Event) -> None:
    """Waits for the open requests, then for the last bills; only the first wait can be skipped.

    Args:
        router: The router to close.
        skip_drain: Ends the wait for open requests when set.
    """
    draining = asyncio.ensure_future(router.drain())
    skipping = asyncio.ensure_future(skip_drain.wait())
    await asyncio.wait({draining, skipping}, return_when="FIRST_COMPLETED")
    skipping.cancel()
    if draining.done():
        await draining
    else:
        draining.cancel()
        await asyncio.gather(draining, return_exceptions=True)
        router.gate.refuses_requests = True
    await router.close_gracefully()

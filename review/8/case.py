"""A kill of most gateways during a release hides that its target turns bad."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[1]))

from bed_case import TROUBLE, Bed, make_configuration, make_route, run_case
from bed_clients import Clients
from bed_releases import Exposure, Release

SERVICE = "order-register"
GATEWAYS = 8
PER_SECOND = 60.0
DURATION_S = 24
KILL_S = 12.0
"""Time from the order to the kill."""
BAD_AFTER_S = 12.1
"""Time from the order after which the new version fails."""
BAD_SHARE = 0.5


async def play(bed: Bed) -> bool:
    """Plays the case; returns whether the rule held."""
    bed.store.write("op/config", make_configuration(7, [make_route("file", SERVICE)]))
    fleet = await bed.start(GATEWAYS)
    release = Release(bed, SERVICE, random.Random(1))
    await release.start_workers("v1", 4)
    await asyncio.sleep(4.0)
    clients = bed.clients = Clients(fleet, bed.record)
    load = asyncio.ensure_future(clients.run("/file/a", PER_SECOND, time.monotonic() + 32.0))
    await asyncio.sleep(2.0)
    await release.start_workers("v2", 4)
    ordered = release.order("v2", DURATION_S)
    release.turn_bad("v2", ordered + BAD_AFTER_S, BAD_SHARE)
    exposure = Exposure(bed, release, clients, "v2", ordered, DURATION_S)
    await asyncio.sleep(KILL_S)
    if TROUBLE:
        spared = bed.store.read_text("/mastickeel/duties/releases")
        bed.record(f"all gateways but {spared} are killed")
        for gateway in fleet.gateways:
            if gateway.name != spared:
                fleet.signal(gateway, signal.SIGKILL)
    await load
    return exposure.judge()


run_case(__file__, play)

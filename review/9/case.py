"""A gateway that starts within a minute after a drill acts on a release order that is replaced."""

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
PER_SECOND = 40.0
FIRST_S = 12
SECOND_S = 24
COPY_AGE_S = 2.0
BAD_AFTER_S = 12.0
"""Time from the second order after which half of the answers of its target fail."""
BAD_SHARE = 0.5


async def play(bed: Bed) -> bool:
    """Plays the case; returns whether the rule held."""
    bed.store.write("op/config", make_configuration(7, [make_route("file", SERVICE)]))
    fleet = await bed.start(3)
    rng = random.Random(1)
    release = Release(bed, SERVICE, rng)
    await release.start_workers("v1", 3)
    await asyncio.sleep(3.0)
    clients = bed.clients = Clients(fleet, bed.record)
    load = asyncio.ensure_future(clients.run("/file/a", PER_SECOND, time.monotonic() + 60.0))

    # A first release, which ends well.
    await release.start_workers("v2", 3)
    release.order("v2", FIRST_S)
    await release.wait_for("complete", FIRST_S + 2.0)
    await asyncio.sleep(2.0)

    # The drill.
    if TROUBLE:
        copy = bed.store.copy()
        await asyncio.sleep(COPY_AGE_S)
        bed.record("drill: the store goes away and comes back from a copy")
        await bed.store.drill(copy)
    else:
        await asyncio.sleep(COPY_AGE_S + 2.0)
    # Calm for longer than the contact time.
    await asyncio.sleep(4.0)

    # The next release, to a version that turns bad later, and the restart of one gateway.
    await release.start_workers("v3", 3)
    ordered = release.order("v3", SECOND_S)
    release.turn_bad("v3", ordered + BAD_AFTER_S, BAD_SHARE)
    exposure = Exposure(bed, release, clients, "v3", ordered, SECOND_S)
    await asyncio.sleep(1.0)
    fleet.signal(fleet.gateways[0], signal.SIGTERM)
    await load
    await asyncio.sleep(max(0.0, ordered + SECOND_S + 1.0 - time.monotonic()))
    return exposure.judge()


run_case(__file__, play)

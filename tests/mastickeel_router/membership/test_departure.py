"""Changes do not wait for an instance that has permanently stopped but is still on the roster."""

from __future__ import annotations

import unittest
from unittest import mock

from mastickeel_router.configuration import ChangeRefusedError
from tests.fleet import Fleet

JOIN_TIMEOUT_MS = 15_000


class DepartureTest(unittest.IsolatedAsyncioTestCase):
    """One of two instances stops without being able to remove itself from the roster.

    If the stopped instance counted, the remaining instance would be no majority and could make no
    change.
    """

    async def test_departed_half_of_the_roster_does_not_block_changes(self) -> None:
        fleet = Fleet()
        self.addAsyncCleanup(fleet.stop)
        await fleet.start(routers=2)
        first, second = fleet.routers
        while first.control.configuration.head_state.roster.ids != {"router-1", "router-2"}:
            await fleet.clock.sleep(10)
        refused = mock.AsyncMock(side_effect=ChangeRefusedError("no majority"))
        with mock.patch.object(second.control.keeper, "leave", refused):
            await second.stop()
        fleet.routers.remove(second)
        third = await fleet.clock.wait_for(fleet.add_router(3), JOIN_TIMEOUT_MS)
        self.assertIn("router-3", third.configuration.head_state.roster.ids)
        self.assertIn("revision", await fleet.command("withdraw version draft-small@1"))

"""Polls the platform's list of instances and endpoints, which may be out of date."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from mastickeel.decoding import decode_json
from mastickeel.errors import MastickeelError
from mastickeel.httpmessages import HttpRequest, Timeouts
from mastickeel_router.backoff import Backoff

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mastickeel.addresses import Address
    from mastickeel.changes import Roster
    from mastickeel.clock import Clock
    from mastickeel.httpclient import HttpClient

POLL_INTERVAL_MS = 2_000
POLLS_PER_SECOND = 10
"""Limit over the whole fleet: in a large fleet, each instance polls less often and relies on
the marks that its peers spread."""
LAG_LIMIT_MS = 120_000
"""Maximum lag of the list: an instance that joined longer ago and is not listed is gone."""
TIMEOUTS = Timeouts(connect_ms=1_000, first_byte_ms=2_000, between_bytes_ms=2_000, total_ms=10_000)
LEAVING = "leaving"


@dataclass(frozen=True)
class ListEntry:
    """Instance or endpoint in the platform's list."""

    id: str
    address: str = ""
    data_centre: str = ""
    state: str = "live"


@dataclass(frozen=True)
class InstanceList:
    """Body of the platform's response."""

    instances: tuple[ListEntry, ...] = ()


class PlatformList:
    """The platform's list as of the last poll."""

    def __init__(
        self,
        address: Address,
        *,
        client: HttpClient,
        clock: Clock,
        rng: random.Random,
        fleet_size: Callable[[], int],
        on_state: Callable[[str, bool], None],
    ) -> None:
        """Creates the poller without a list.

        Args:
            address: The address of the platform's list.
            client: Fetches the list.
            clock: Times the polls.
            rng: Source of the jitter between polls.
            fleet_size: Returns the number of instances that poll.
            on_state: Called with each id that the list reports as leaving (True), and with each
                id that the list no longer reports as leaving (False).
        """
        self._address = address
        self._client = client
        self._clock = clock
        self._rng = rng
        self._fleet_size = fleet_size
        self._on_state = on_state
        self._entries_by_id: dict[str, ListEntry] | None = None

    async def run(self) -> None:
        """Polls the list periodically, until cancelled."""
        backoff = Backoff(self._clock, self._rng)
        while True:
            try:
                await self.poll()
                backoff.reset()
                interval_ms = max(POLL_INTERVAL_MS, 1_000 * self._fleet_size() // POLLS_PER_SECOND)
                await self._clock.sleep(interval_ms * (0.8 + 0.4 * self._rng.random()))
            except (MastickeelError, msgspec.MsgspecError):
                await backoff.wait()

    async def poll(self) -> None:
        """Fetches the list and calls on_state for leaving and returned entries.

        Raises:
            MastickeelError: When the list could not be fetched.
            msgspec.MsgspecError: When the response has an unexpected format.
        """
        response = await self._client.call(
            self._address, HttpRequest("GET", "/v1/instances"), TIMEOUTS
        )
        if response.status != 200:
            raise MastickeelError(f"The platform's list returned status {response.status}.")
        listing = decode_json(response.body, InstanceList)
        before = self._entries_by_id or {}
        self._entries_by_id = {entry.id: entry for entry in listing.instances}
        for entry in listing.instances:
            is_leaving = entry.state == LEAVING
            was_leaving = entry.id in before and before[entry.id].state == LEAVING
            if is_leaving or was_leaving:
                self._on_state(entry.id, is_leaving)

    def find_gone(self, roster: Roster) -> frozenset[str]:
        """Returns the members that joined more than LAG_LIMIT_MS ago and are not in the list.

        Returns none before the first poll or if the list is empty.
        """
        if not self._entries_by_id:
            return frozenset()
        limit_ms = self._clock.wall() - LAG_LIMIT_MS
        return frozenset(
            member.id
            for member in roster.members
            if member.id not in self._entries_by_id and member.joined_ms < limit_ms
        )

"""Cost ceilings held over the fleet: an instance spends only what it has been granted.

Grants are kept in one record for each account and period in the store, so that no crash or
partition can pass the ceiling. They shrink as the ceiling nears, and what an instance does not
use for a while it hands back.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError, UnavailableError
from mastickeel.rendezvous import rank
from mastickeel_router.admission.coordinator import GrantReply, GrantRequest
from mastickeel_router.admission.errors import CeilingReachedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel.model import Account
    from mastickeel.peers import PeerLink
    from mastickeel_router.admission.coordinator import CeilingCoordinator
    from mastickeel_router.membership import Members

IDLE_RELEASE_MS = 10_000
REFUSAL_MS = 1_000
"""How long a refusal stands before the keeper is asked again."""
REQUEST_TIMEOUT_MS = 1_500
COORDINATORS_TRIED = 2
"""Members asked before this instance moves the record itself."""
SUSPECT_MS = 5_000
RETRY_MS = 2_000


class Share:
    """One instance's share of a ceiling in one period."""

    def __init__(self, account_id: str, period: str, ends_wall_ms: int) -> None:
        self.account_id = account_id
        """Whose ceiling it is."""
        self.period = period
        """The length and the number of the period."""
        self.ends_wall_ms = ends_wall_ms
        """When the period ends, calendar time."""
        self.granted = 0
        """Micros that this instance may spend."""
        self.used = 0
        """Micros that were spent."""
        self.reserved = 0
        """Micros set aside for requests that run."""
        self.last_used_ms = 0
        """When a request last took from it."""
        self.refused_until_ms = 0
        """Until when the ceiling is held to be reached."""
        self.request_number = 0
        """Counts the asks."""
        self.lock = asyncio.Lock()

    def required_grant(self, amount: int) -> int:
        """Returns what must be granted to reserve an amount more."""
        return self.used + self.reserved + amount


class Ceilings:
    """The shares that this instance holds."""

    def __init__(
        self,
        coordinator: CeilingCoordinator,
        *,
        holder: str,
        link: PeerLink,
        members: Callable[[], Members],
        clock: Clock,
    ) -> None:
        """Makes an instance's shares, which are empty.

        Args:
            coordinator: Moves the records when this instance is asked to, or nobody else can.
            holder: This run of this instance.
            link: Reaches the keepers.
            members: The fleet.
            clock: Times the periods.
        """
        self.shares_by_account: dict[str, Share] = {}
        """The shares of the present period."""
        self._keeper = coordinator
        self._holder = holder
        self._link = link
        self._members = members
        self._clock = clock
        self._suspect_until_ms: dict[str, int] = {}
        link.register_handler(GrantRequest, coordinator.on_grant_request)

    async def reserve(self, account: Account, amount: int) -> Share:
        """Sets an amount aside before a request runs.

        Args:
            account: Whose request it is.
            amount: The most that it is expected to cost, in micros.

        Returns:
            The share to settle with.

        Raises:
            CeilingReachedError: When the ceiling leaves no room.
            UnavailableError: When that cannot be found out; nothing ran.
        """
        share = self._share_of(account)
        if share.required_grant(amount) > share.granted:
            async with share.lock:
                await self._extend(share, amount)
                share.reserved += amount
        else:
            share.reserved += amount
        share.last_used_ms = self._clock.now()
        return share

    def settle(self, share: Share, reserved: int, cost: int) -> None:
        """Replaces what was set aside by what was spent, both in micros."""
        share.reserved -= reserved
        share.used += cost
        share.last_used_ms = self._clock.now()

    async def release_idle(self, idle_ms: int = IDLE_RELEASE_MS) -> None:
        """Gives back what has not been used for a while.

        Args:
            idle_ms: How long a share must have been idle.

        Raises:
            UnavailableError: When no keeper took it.
        """
        now = self._clock.now()
        for share in list(self.shares_by_account.values()):
            if share.granted > share.required_grant(0) and now - share.last_used_ms >= idle_ms:
                async with share.lock:
                    # Lowered before the ask, whose reply may be lost.
                    share.granted = share.required_grant(0)
                    await self._ask(share, share.granted)

    async def _extend(self, share: Share, amount: int) -> None:
        """Gets a further grant."""
        wanted = share.required_grant(amount)
        if wanted <= share.granted:
            return
        self._check_refused(share)
        granted = await self._ask(share, wanted)
        # What was spent meanwhile beyond its estimate is not covered by the reply.
        share.granted = granted
        if share.required_grant(amount) > granted:
            share.refused_until_ms = self._clock.now() + REFUSAL_MS
            self._check_refused(share)

    async def _ask(self, share: Share, wanted: int) -> int:
        """Asks a keeper to move this instance's part; returns the part."""
        share.request_number += 1
        ask = GrantRequest(
            share.account_id, share.period, self._holder, share.request_number, wanted
        )
        for member_id in self._keepers(share.account_id):
            try:
                return (
                    await self._link.request(member_id, ask, GrantReply, REQUEST_TIMEOUT_MS)
                ).granted
            except MastickeelError:
                self._suspect_until_ms[member_id] = self._clock.now() + SUSPECT_MS
        try:
            return (
                await self._keeper.on_grant_request(self._members().local_member.id, ask)
            ).granted
        except MastickeelError as error:
            raise UnavailableError(
                f"The ceiling of {share.account_id} cannot be checked: {error.detail}",
                retry_after_ms=RETRY_MS,
            ) from error

    def _keepers(self, account_id: str) -> list[str]:
        """Returns the members to ask before this instance does it itself."""
        members = self._members()
        myself = members.local_member.id
        ranked = rank(f"ceiling/{account_id}", [myself, *members.members_by_id])
        before = ranked[: ranked.index(myself)][:COORDINATORS_TRIED]
        now = self._clock.now()
        return [one for one in before if self._suspect_until_ms.get(one, 0) <= now]

    def _check_refused(self, share: Share) -> None:
        """Refuses without asking again at once."""
        if self._clock.now() < share.refused_until_ms:
            raise CeilingReachedError(
                retry_after_ms=max(1_000, share.ends_wall_ms - self._clock.wall())
            )

    def _share_of(self, account: Account) -> Share:
        """Returns the share of the present period."""
        length_ms = max(1, account.ceiling_period_ms)
        number = self._clock.wall() // length_ms
        period = f"{length_ms}/{number}"
        share = self.shares_by_account.get(account.id)
        if share is None or share.period != period:
            share = Share(account.id, period, (number + 1) * length_ms)
            self.shares_by_account[account.id] = share
        return share

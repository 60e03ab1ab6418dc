"""Fleet-wide cost ceilings: an instance spends only what it has been granted.

The store holds one record of grants per account and period, so no crash or partition can exceed
the ceiling. Grants shrink as the ceiling nears, and an instance releases grants that stay idle.
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
"""How long a refusal is repeated before the coordinator is asked again."""
REQUEST_TIMEOUT_MS = 1_500
COORDINATORS_TRIED = 2
"""Members tried before this instance updates the record itself."""
SUSPECT_MS = 5_000
RETRY_MS = 2_000


class Share:
    """Share of an account's ceiling that this instance holds in one period."""

    def __init__(self, account_id: str, period: str, ends_wall_ms: int) -> None:
        self.account_id = account_id
        """Account that the ceiling belongs to."""
        self.period = period
        """Length in ms and number of the period, as ``length/number``."""
        self.ends_wall_ms = ends_wall_ms
        """End of the period, wall-clock time."""
        self.granted = 0
        """Amount that this instance may spend, in micros."""
        self.used = 0
        """Amount spent, in micros."""
        self.reserved = 0
        """Amount reserved for running requests, in micros."""
        self.last_used_ms = 0
        """Time of the last reservation or settlement."""
        self.refused_until_ms = 0
        """Time until which reservations that need a larger grant are refused."""
        self.request_number = 0
        """Number of the last grant request, which orders the requests of this holder."""
        self.lock = asyncio.Lock()

    def required_grant(self, amount: int) -> int:
        """Returns the grant required to reserve a further amount, in micros."""
        return self.used + self.reserved + amount


class Ceilings:
    """Reserves request costs from the shares of the ceilings that this instance holds."""

    def __init__(
        self,
        coordinator: CeilingCoordinator,
        *,
        holder: str,
        link: PeerLink,
        members: Callable[[], Members],
        clock: Clock,
    ) -> None:
        """Creates the shares of an instance, which start empty.

        Args:
            coordinator: Updates the records for peers, and for this instance when no preferred
                coordinator answers.
            holder: Unique id of this run of the instance.
            link: Connects to the other members.
            members: Returns the fleet members.
            clock: Provides the time.
        """
        self.shares_by_account: dict[str, Share] = {}
        """Shares in the current period, by account id."""
        self._coordinator = coordinator
        self._holder = holder
        self._link = link
        self._members = members
        self._clock = clock
        self._suspect_until_ms: dict[str, int] = {}
        link.register_handler(GrantRequest, coordinator.on_grant_request)

    async def reserve(self, account: Account, amount: int) -> Share:
        """Reserves an amount before a request runs.

        Args:
            account: The account that sent the request.
            amount: The highest expected cost of the request, in micros.

        Returns:
            The share to pass to ``settle``.

        Raises:
            CeilingReachedError: If the remaining ceiling is too small; nothing ran.
            UnavailableError: If the ceiling cannot be checked; nothing ran.
        """
        share = self._current_share(account)
        if share.required_grant(amount) > share.granted:
            async with share.lock:
                await self._extend_grant(share, amount)
                share.reserved += amount
        else:
            share.reserved += amount
        share.last_used_ms = self._clock.now()
        return share

    def settle(self, share: Share, reserved: int, cost: int) -> None:
        """Replaces a reserved amount by the actual cost, both in micros."""
        share.reserved -= reserved
        share.used += cost
        share.last_used_ms = self._clock.now()

    async def release_idle(self, idle_ms: int = IDLE_RELEASE_MS) -> None:
        """Releases the unused part of the grants of idle shares.

        Args:
            idle_ms: Idle time after which a share is released.

        Raises:
            UnavailableError: If no coordinator recorded the release.
        """
        now = self._clock.now()
        for share in list(self.shares_by_account.values()):
            if share.granted > share.required_grant(0) and now - share.last_used_ms >= idle_ms:
                async with share.lock:
                    # Lowered before the request, whose reply may be lost.
                    share.granted = share.required_grant(0)
                    await self._request_grant(share, share.granted)

    async def _extend_grant(self, share: Share, amount: int) -> None:
        """Requests a larger grant if the present one does not cover the amount."""
        required = share.required_grant(amount)
        if required <= share.granted:
            return
        self._raise_if_refused(share)
        granted = await self._request_grant(share, required)
        # Requests may have cost more than estimated since the request was sent.
        share.granted = granted
        if share.required_grant(amount) > granted:
            share.refused_until_ms = self._clock.now() + REFUSAL_MS
            self._raise_if_refused(share)

    async def _request_grant(self, share: Share, wanted: int) -> int:
        """Asks a coordinator to change this instance's grant; returns the grant in micros."""
        share.request_number += 1
        request = GrantRequest(
            share.account_id, share.period, self._holder, share.request_number, wanted
        )
        for member_id in self._preferred_coordinators(share.account_id):
            try:
                return (
                    await self._link.request(member_id, request, GrantReply, REQUEST_TIMEOUT_MS)
                ).granted
            except MastickeelError:
                self._suspect_until_ms[member_id] = self._clock.now() + SUSPECT_MS
        try:
            return (
                await self._coordinator.on_grant_request(self._members().local_member.id, request)
            ).granted
        except MastickeelError as error:
            raise UnavailableError(
                f"The cost ceiling of account {share.account_id} cannot be checked: {error.detail}",
                retry_after_ms=RETRY_MS,
            ) from error

    def _preferred_coordinators(self, account_id: str) -> list[str]:
        """Returns the members to try before this instance updates the record itself."""
        members = self._members()
        own_id = members.local_member.id
        ranked = rank(f"ceiling/{account_id}", [own_id, *members.members_by_id])
        preferred = ranked[: ranked.index(own_id)][:COORDINATORS_TRIED]
        now = self._clock.now()
        return [
            member_id for member_id in preferred if self._suspect_until_ms.get(member_id, 0) <= now
        ]

    def _raise_if_refused(self, share: Share) -> None:
        """Raises CeilingReachedError while the last refusal stands."""
        if self._clock.now() < share.refused_until_ms:
            raise CeilingReachedError(
                retry_after_ms=max(1_000, share.ends_wall_ms - self._clock.wall())
            )

    def _current_share(self, account: Account) -> Share:
        """Returns the account's share in the current period."""
        length_ms = max(1, account.ceiling_period_ms)
        period_number = self._clock.wall() // length_ms
        period = f"{length_ms}/{period_number}"
        share = self.shares_by_account.get(account.id)
        if share is None or share.period != period:
            share = Share(account.id, period, (period_number + 1) * length_ms)
            self.shares_by_account[account.id] = share
        return share

"""Fleet-wide rate and concurrency limits of accounts, kept by one coordinator per account.

The coordinator of an account is the first member by rendezvous hashing. It has the account's only
token bucket and hands out tokens in batches, and it leases concurrency slots. Both expire.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel.peers import message
from mastickeel.rendezvous import rank
from mastickeel_router.admission.errors import RateLimitedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel.model import Account, View
    from mastickeel.peers import PeerLink
    from mastickeel_router.membership import Members

TOKENS_TTL_MS = 1_000
"""Lifetime of borrowed tokens, and the burst that a bucket holds, as time at the full rate."""
SLOT_LEASE_MS = 3_000
"""Lifetime of leased slots without a renewal."""
SLOT_RENEWAL_MS = 1_000
REQUEST_TIMEOUT_MS = 250
SUSPECT_MS = 5_000
RETRY_MS = 1_000


@message("admission.share")
@dataclass(frozen=True)
class ShareRequest:
    """Request to the coordinator of an account for tokens and slots."""

    account_id: str
    tokens: int
    """Number of requests that wait for a token."""
    slots_used: int
    """Number of running requests."""
    slots: int
    """Number of running and waiting requests."""


@message("admission.lent")
@dataclass(frozen=True)
class ShareReply:
    """Reply to ShareRequest: the tokens and slots granted."""

    tokens: int
    slots: int
    retry_after_ms: int
    """Time until the next token; 0 if tokens were granted."""


@message("admission.used")
@dataclass(frozen=True)
class SlotsRequest:
    """Request by a new coordinator for the number of an account's slots that an instance uses."""

    account_id: str


@message("admission.used_reply")
@dataclass(frozen=True)
class SlotsReply:
    """Reply to SlotsRequest."""

    slots: int


@dataclass
class BorrowedShare:
    """Tokens and slots that this instance has borrowed for one account."""

    tokens: int = 0
    tokens_expiry_ms: int = 0
    """Time from which the tokens are invalid."""
    slots: int = 0
    slots_expiry_ms: int = 0
    """Time from which the slots are invalid, unless their lease is renewed."""
    used: int = 0
    """Number of running requests."""
    waiting: int = 0
    """Number of requests that wait for tokens or slots."""


@dataclass
class SlotLease:
    """Slots leased to one instance."""

    slots: int
    expiry_ms: int
    """Time from which the slots may be leased to other instances."""


class AccountState:
    """Coordinator's state of one account: the token bucket and the slot leases."""

    def __init__(self, now_ms: int) -> None:
        self.tokens = 1.0
        """Tokens in the bucket; 1 at first, since the last coordinator's grants are unknown."""
        self.refilled_ms = now_ms
        """Time of the last refill."""
        self.leases_by_holder: dict[str, SlotLease] = {}
        """Slot leases, by instance id."""
        self.slots_collected = asyncio.Event()
        """Set once the other instances have been asked for the slots that they use."""

    def refill(self, rate: float, now_ms: int) -> None:
        """Adds the tokens accrued since the last refill."""
        added = (now_ms - self.refilled_ms) * rate / 1_000
        self.tokens = min(max(1.0, rate * TOKENS_TTL_MS / 1_000), self.tokens + added)
        self.refilled_ms = now_ms

    def grant_tokens(self, wanted: int) -> int:
        """Takes up to ``wanted`` whole tokens out of the bucket; returns their number."""
        granted = min(wanted, int(self.tokens))
        self.tokens -= granted
        return granted

    def lease_slots(self, holder: str, request: ShareRequest, limit: int, now_ms: int) -> int:
        """Leases slots; those in use are always granted, since they cannot be revoked."""
        leased_to_others = sum(
            lease.slots
            for holder_id, lease in self.leases_by_holder.items()
            if holder_id != holder and lease.expiry_ms > now_ms
        )
        slots = max(request.slots_used, min(request.slots, limit - leased_to_others))
        self.leases_by_holder[holder] = SlotLease(slots, now_ms + SLOT_LEASE_MS)
        return slots


class AccountLimits:
    """Enforces account limits on this instance, and coordinates the limits of some accounts."""

    def __init__(
        self,
        *,
        link: PeerLink,
        members: Callable[[], Members],
        view: Callable[[], View],
        clock: Clock,
    ) -> None:
        """Creates the limits.

        Args:
            link: Connects to the other members.
            members: Returns the fleet members.
            view: Returns the configuration with the accounts.
            clock: Times the expiry of tokens and slots.
        """
        self.shares_by_account: dict[str, BorrowedShare] = {}
        """Borrowed tokens and slots, by account id."""
        self._link = link
        self._members = members
        self._view = view
        self._clock = clock
        self._states_by_account: dict[str, AccountState] = {}
        self._locks_by_account: dict[str, asyncio.Lock] = {}
        self._suspect_until_ms: dict[str, int] = {}
        link.register_handler(ShareRequest, self.on_share_request)
        link.register_handler(SlotsRequest, self.on_slots_request)

    async def acquire(self, account: Account) -> bool:
        """Acquires a token and a slot for a request; ``release`` returns the slot.

        Args:
            account: The account that sent the request.

        Returns:
            Whether the request holds a slot to release; an account without limits uses none.

        Raises:
            RateLimitedError: If the account's limit is reached; nothing ran.
        """
        if not account.rate_per_second and not account.concurrency:
            return False
        share = self.shares_by_account.setdefault(account.id, BorrowedShare())
        if self._try_acquire(account, share):
            return True
        share.waiting += 1
        try:
            async with self._locks_by_account.setdefault(account.id, asyncio.Lock()):
                if self._try_acquire(account, share):
                    return True
                reply = await self._borrow(account, share)
                if self._try_acquire(account, share):
                    return True
        finally:
            share.waiting -= 1
        raise RateLimitedError(
            f"{account.id} may send {account.rate_per_second:g} requests per second and "
            f"{account.concurrency} at once (0 means no limit).",
            retry_after_ms=reply.retry_after_ms or RETRY_MS,
        )

    def release(self, account: Account) -> None:
        """Releases the slot of a request."""
        if share := self.shares_by_account.get(account.id):
            share.used = max(0, share.used - 1)

    async def run_slot_renewal(self) -> None:
        """Renews this instance's slot leases periodically until cancelled."""
        while True:
            await self._clock.sleep(SLOT_RENEWAL_MS)
            accounts = self._view().committed.accounts_by_id
            for account_id, share in list(self.shares_by_account.items()):
                account = accounts.get(account_id)
                if account and account.concurrency and (share.used or share.slots):
                    await self._borrow(account, share)

    async def on_share_request(self, sender: str, request: ShareRequest) -> ShareReply:
        """Grants tokens and leases slots of an account to an instance.

        Args:
            sender: The instance that borrows.
            request: The tokens and slots requested.

        Returns:
            The tokens and slots granted.
        """
        account = self._view().committed.accounts_by_id.get(request.account_id)
        if account is None:
            return ShareReply(0, 0, RETRY_MS)
        state = await self._account_state(account)
        now = self._clock.now()
        tokens, retry_ms = request.tokens, 0
        if rate := account.rate_per_second:
            state.refill(rate, now)
            tokens = state.grant_tokens(request.tokens)
            retry_ms = 0 if tokens else int((1 - state.tokens) * 1_000 / rate) + 1
        slots = request.slots
        if account.concurrency:
            slots = state.lease_slots(sender, request, account.concurrency, now)
        return ShareReply(tokens, slots, retry_ms)

    async def on_slots_request(self, sender: str, request: SlotsRequest) -> SlotsReply:
        """Returns how many slots this instance uses, for a new coordinator."""
        share = self.shares_by_account.get(request.account_id)
        return SlotsReply(share.used if share else 0)

    def _try_acquire(self, account: Account, share: BorrowedShare) -> bool:
        """Takes a borrowed token and slot, or neither; returns whether both were available."""
        now = self._clock.now()
        if account.rate_per_second and (share.tokens < 1 or now >= share.tokens_expiry_ms):
            return False
        if account.concurrency and (share.used >= share.slots or now >= share.slots_expiry_ms):
            return False
        share.tokens -= 1 if account.rate_per_second else 0
        share.used += 1
        return True

    async def _borrow(self, account: Account, share: BorrowedShare) -> ShareReply:
        """Requests the tokens and slots that the waiting requests need."""
        now = self._clock.now()
        usable_tokens = share.tokens if now < share.tokens_expiry_ms else 0
        request = ShareRequest(
            account.id,
            max(0, share.waiting - usable_tokens),
            share.used,
            share.used + share.waiting,
        )
        reply = await self._request_share(request)
        if reply.tokens:
            share.tokens = usable_tokens + reply.tokens
            share.tokens_expiry_ms = now + TOKENS_TTL_MS
        share.slots = reply.slots
        share.slots_expiry_ms = now + SLOT_LEASE_MS
        return reply

    async def _request_share(self, request: ShareRequest) -> ShareReply:
        """Sends a request to the highest-ranked member that answers, possibly this instance."""
        members = self._members()
        own_id = members.local_member.id
        now = self._clock.now()
        for member_id in rank(request.account_id, [own_id, *members.members_by_id]):
            if member_id == own_id:
                return await self.on_share_request(own_id, request)
            if self._suspect_until_ms.get(member_id, 0) > now:
                continue
            try:
                return await self._link.request(member_id, request, ShareReply, REQUEST_TIMEOUT_MS)
            except MastickeelError:
                self._suspect_until_ms[member_id] = self._clock.now() + SUSPECT_MS
        return ShareReply(0, request.slots_used, RETRY_MS)

    async def _account_state(self, account: Account) -> AccountState:
        """Returns the state of an account; a new coordinator first collects the slots in use."""
        state = self._states_by_account.get(account.id)
        if state is not None:
            await state.slots_collected.wait()
            return state
        state = self._states_by_account[account.id] = AccountState(self._clock.now())
        try:
            if account.concurrency:
                await self._collect_slots(account.id, state)
        finally:
            state.slots_collected.set()
        return state

    async def _collect_slots(self, account_id: str, state: AccountState) -> None:
        """Asks every member for the slots that it uses and records them as leases."""

        async def query_member(member_id: str) -> None:
            request = SlotsRequest(account_id)
            try:
                reply = await self._link.request(
                    member_id, request, SlotsReply, REQUEST_TIMEOUT_MS // 2
                )
            except MastickeelError:
                return
            state.leases_by_holder[member_id] = SlotLease(
                reply.slots, self._clock.now() + SLOT_LEASE_MS
            )

        await asyncio.gather(*map(query_member, list(self._members().members_by_id)))

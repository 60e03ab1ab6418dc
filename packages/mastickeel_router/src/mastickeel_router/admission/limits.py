"""Rate and concurrency of each account, held over the fleet by a keeper that lends out shares.

The keeper of an account is the first member by rendezvous hashing. It has the account's only
bucket of tokens and lends lots of them, and it lends slots for requests at once. Both have an end.
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
"""How long lent tokens may be used, and how much of the rate a bucket holds."""
SLOT_LEASE_MS = 3_000
"""How long lent slots stand without being renewed."""
SLOT_RENEWAL_MS = 1_000
REQUEST_TIMEOUT_MS = 250
SUSPECT_MS = 5_000
RETRY_MS = 1_000


@message("admission.share")
@dataclass(frozen=True)
class ShareRequest:
    """Asks the keeper of an account for tokens and slots."""

    account_id: str
    tokens: int
    """How many requests wait to be let in."""
    slots_used: int
    """Requests that run."""
    slots: int
    """Requests that run or wait."""


@message("admission.lent")
@dataclass(frozen=True)
class ShareReply:
    """The keeper's reply."""

    tokens: int
    slots: int
    retry_after_ms: int
    """When there will be a token; 0 when there was one."""


@message("admission.used")
@dataclass(frozen=True)
class SlotsRequest:
    """Asked by a new keeper: how many slots of an account an instance uses."""

    account_id: str


@message("admission.used_reply")
@dataclass(frozen=True)
class SlotsReply:
    """The reply to SlotsAsk."""

    slots: int


@dataclass
class BorrowedShare:
    """What this instance has borrowed for one account."""

    tokens: int = 0
    tokens_until_ms: int = 0
    slots: int = 0
    slots_until_ms: int = 0
    used: int = 0
    """Requests that run."""
    waiting: int = 0
    """Requests that wait for a share."""


@dataclass
class SlotLease:
    """Slots lent to one instance."""

    slots: int
    until_ms: int


class AccountState:
    """What the keeper knows of one account."""

    def __init__(self, now_ms: int) -> None:
        self.tokens = 1.0
        """A new keeper begins with one token: it does not know what the last one lent."""
        self.refilled_ms = now_ms
        """When the bucket was last filled."""
        self.leases_by_holder: dict[str, SlotLease] = {}
        """Slots, by instance."""
        self.slots_collected = asyncio.Event()
        """Set once the instances have told which slots they use."""

    def refill(self, rate: float, now_ms: int) -> None:
        """Adds what the rate has brought since the last time."""
        gained = (now_ms - self.refilled_ms) * rate / 1_000
        self.tokens = min(max(1.0, rate * TOKENS_TTL_MS / 1_000), self.tokens + gained)
        self.refilled_ms = now_ms

    def grant_tokens(self, wanted: int) -> int:
        """Takes whole tokens out of the bucket."""
        lent = min(wanted, int(self.tokens))
        self.tokens -= lent
        return lent

    def lease_slots(self, holder: str, request: ShareRequest, limit: int, now_ms: int) -> int:
        """Lends slots; those in use are always granted, since they cannot be called back."""
        others = sum(
            lent.slots
            for name, lent in self.leases_by_holder.items()
            if name != holder and lent.until_ms > now_ms
        )
        slots = max(request.slots_used, min(request.slots, limit - others))
        self.leases_by_holder[holder] = SlotLease(slots, now_ms + SLOT_LEASE_MS)
        return slots


class AccountLimits:
    """Both sides: what this instance borrows, and what it lends as a keeper."""

    def __init__(
        self,
        *,
        link: PeerLink,
        members: Callable[[], Members],
        view: Callable[[], View],
        clock: Clock,
    ) -> None:
        """Makes the limits.

        Args:
            link: Reaches the peers.
            members: The fleet.
            view: Gives the accounts.
            clock: Times shares.
        """
        self.shares_by_account: dict[str, BorrowedShare] = {}
        """What is borrowed."""
        self._link = link
        self._members = members
        self._view = view
        self._clock = clock
        self._kept_by_account: dict[str, AccountState] = {}
        self._locks_by_account: dict[str, asyncio.Lock] = {}
        self._suspect_until_ms: dict[str, int] = {}
        link.register_handler(ShareRequest, self.on_share_request)
        link.register_handler(SlotsRequest, self.on_slots_request)

    async def acquire(self, account: Account) -> bool:
        """Takes a token and a slot for a request; ``release`` gives the slot back.

        Args:
            account: Whose request it is.

        Returns:
            Whether there is a slot to give back: an account without limits has none.

        Raises:
            RateLimitedError: When the fleet has none for the account; nothing ran.
        """
        if not account.rate_per_second and not account.concurrency:
            return False
        holding = self.shares_by_account.setdefault(account.id, BorrowedShare())
        if self._take(account, holding):
            return True
        holding.waiting += 1
        try:
            async with self._locks_by_account.setdefault(account.id, asyncio.Lock()):
                if self._take(account, holding):
                    return True
                lent = await self._borrow(account, holding)
                if self._take(account, holding):
                    return True
        finally:
            holding.waiting -= 1
        raise RateLimitedError(
            f"{account.id} may send {account.rate_per_second:g} requests a second and "
            f"{account.concurrency} at once (0 is no limit).",
            retry_after_ms=lent.retry_after_ms or RETRY_MS,
        )

    def release(self, account: Account) -> None:
        """Gives the slot of a request back."""
        if holding := self.shares_by_account.get(account.id):
            holding.used = max(0, holding.used - 1)

    async def run_slot_renewal(self) -> None:
        """Renews the slots that are in use, for as long as the instance runs."""
        while True:
            await self._clock.sleep(SLOT_RENEWAL_MS)
            accounts = self._view().committed.accounts_by_id
            for account_id, holding in list(self.shares_by_account.items()):
                account = accounts.get(account_id)
                if account and account.concurrency and (holding.used or holding.slots):
                    await self._borrow(account, holding)

    async def on_share_request(self, sender: str, request: ShareRequest) -> ShareReply:
        """Lends tokens and slots of an account.

        Args:
            sender: The borrower.
            request: What it asks for.

        Returns:
            What it gets.
        """
        account = self._view().committed.accounts_by_id.get(request.account_id)
        if account is None:
            return ShareReply(0, 0, RETRY_MS)
        kept = await self._keep(account)
        now = self._clock.now()
        tokens, retry_ms = request.tokens, 0
        if rate := account.rate_per_second:
            kept.refill(rate, now)
            tokens = kept.grant_tokens(request.tokens)
            retry_ms = 0 if tokens else int((1 - kept.tokens) * 1_000 / rate) + 1
        slots = request.slots
        if account.concurrency:
            slots = kept.lease_slots(sender, request, account.concurrency, now)
        return ShareReply(tokens, slots, retry_ms)

    async def on_slots_request(self, sender: str, request: SlotsRequest) -> SlotsReply:
        """Tells a new keeper how many slots this instance uses."""
        holding = self.shares_by_account.get(request.account_id)
        return SlotsReply(holding.used if holding else 0)

    def _take(self, account: Account, holding: BorrowedShare) -> bool:
        """Takes a token and a slot from what is borrowed, or neither."""
        now = self._clock.now()
        if account.rate_per_second and (holding.tokens < 1 or now >= holding.tokens_until_ms):
            return False
        if account.concurrency and (holding.used >= holding.slots or now >= holding.slots_until_ms):
            return False
        holding.tokens -= 1 if account.rate_per_second else 0
        holding.used += 1
        return True

    async def _borrow(self, account: Account, holding: BorrowedShare) -> ShareReply:
        """Asks the keeper for what the waiting requests need."""
        now = self._clock.now()
        kept_tokens = holding.tokens if now < holding.tokens_until_ms else 0
        ask = ShareRequest(
            account.id,
            max(0, holding.waiting - kept_tokens),
            holding.used,
            holding.used + holding.waiting,
        )
        lent = await self._ask_keeper(ask)
        if lent.tokens:
            holding.tokens = kept_tokens + lent.tokens
            holding.tokens_until_ms = now + TOKENS_TTL_MS
        holding.slots = lent.slots
        holding.slots_until_ms = now + SLOT_LEASE_MS
        return lent

    async def _ask_keeper(self, ask: ShareRequest) -> ShareReply:
        """Asks the first member by rank that answers, which may be this instance."""
        members = self._members()
        myself = members.local_member.id
        now = self._clock.now()
        for member_id in rank(ask.account_id, [myself, *members.members_by_id]):
            if member_id == myself:
                return await self.on_share_request(myself, ask)
            if self._suspect_until_ms.get(member_id, 0) > now:
                continue
            try:
                return await self._link.request(member_id, ask, ShareReply, REQUEST_TIMEOUT_MS)
            except MastickeelError:
                self._suspect_until_ms[member_id] = self._clock.now() + SUSPECT_MS
        return ShareReply(0, ask.slots_used, RETRY_MS)

    async def _keep(self, account: Account) -> AccountState:
        """Returns what is kept of an account; a new keeper first asks who uses slots."""
        kept = self._kept_by_account.get(account.id)
        if kept is not None:
            await kept.slots_collected.wait()
            return kept
        kept = self._kept_by_account[account.id] = AccountState(self._clock.now())
        try:
            if account.concurrency:
                await self._ask_all(account.id, kept)
        finally:
            kept.slots_collected.set()
        return kept

    async def _ask_all(self, account_id: str, kept: AccountState) -> None:
        """Learns from every member which slots are in use."""

        async def ask(member_id: str) -> None:
            question = SlotsRequest(account_id)
            try:
                used = await self._link.request(
                    member_id, question, SlotsReply, REQUEST_TIMEOUT_MS // 2
                )
            except MastickeelError:
                return
            kept.leases_by_holder[member_id] = SlotLease(
                used.slots, self._clock.now() + SLOT_LEASE_MS
            )

        await asyncio.gather(*map(ask, list(self._members().members_by_id)))

"""Keeps each session on its version: by a signed token, or by a record found from any instance.

A record lies on two instances of the region, placed by rendezvous hashing. The first accepts one
version for a session and no other, so that two first requests at two instances get the same.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import xxhash
from itsdangerous import BadData, URLSafeSerializer

from mastickeel.errors import MastickeelError
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel.peers import message

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mastickeel.metrics import Metrics
    from mastickeel.peers import PeerLink
    from mastickeel_router.requests import ChatRequest

TOKEN_HEADER = "X-Mastickeel-Session"
MOVED_HEADER = "X-Mastickeel-Session-Moved"
TOKEN_SALT = "mastickeel.session"
RECORDS_LIMIT = 20_000
REQUEST_TIMEOUT_MS = 300
EXTRA_REPLICAS = 2
"""Copies that the first keeper of a record leaves on others: one may be paused and one be lost at
the same time."""
REPLICAS = 2
SEARCH_DEPTH = 4
"""How far down the ranking a record is looked for, as instances come and go."""

SESSION_MOVED = define_event(
    1402, "session_moved", "warning", "A session's version may no longer answer it; it moved."
)
RECORD_UNREACHABLE = define_event(
    1403, "session_record_unreachable", "warning", "No instance that keeps the record answered."
)


@dataclass(frozen=True)
class Pin:
    """The version that a session keeps."""

    account_id: str
    session_id: str
    model: str
    """What the session's requests name; a session has one version for each."""
    version_id: str

    @property
    def key(self) -> str:
        """What the record is found by."""
        return record_key(self.account_id, self.session_id, self.model)


@message("choice.pin_offered")
@dataclass(frozen=True)
class PinOfferRequest:
    """Offers a version for a session; the reply is the version that holds."""

    key: str
    version_id: str
    replaces: str
    """The version that may no longer answer the session; empty for a new session."""


@message("choice.pin_wanted")
@dataclass(frozen=True)
class PinLookupRequest:
    """Asks for a session's version."""

    key: str


@message("choice.pin_copied")
@dataclass(frozen=True)
class PinCopyRequest:
    """Gives a record to another instance to keep."""

    key: str
    version_id: str


@message("choice.pin_held")
@dataclass(frozen=True)
class PinReply:
    """The version that a session has; empty when there is no record."""

    version_id: str


class Sessions:
    """The sessions that this instance has served, and the records that it keeps for others."""

    def __init__(
        self,
        link: PeerLink,
        metrics: Metrics,
        secret: str,
        rank_instances: Callable[[str], Sequence[str]],
    ) -> None:
        """Makes the sessions.

        Args:
            link: The peers.
            metrics: Counts moves and records that could not be reached.
            secret: Signs the tokens; the same on every instance.
            rank_instances: Ranks the instances of the region, this one among them, for a key.
        """
        self._link = link
        self._metrics = metrics
        self._tokens = URLSafeSerializer(secret, salt=TOKEN_SALT)
        self._ranked = rank_instances
        self._versions_by_key: OrderedDict[str, str] = OrderedDict()
        self._keepers_by_key: dict[str, tuple[str, ...]] = {}
        link.register_handler(PinOfferRequest, self._on_pin_offered)
        link.register_handler(PinLookupRequest, self._on_pin_wanted)
        link.register_handler(PinCopyRequest, self._on_pin_copied)

    def find_pin(self, request: ChatRequest) -> Pin | None:
        """Returns the pin that the request's token or this instance's memory gives."""
        if pin := self._read_token(request):
            if pin.model == request.model:
                return pin
            request = replace(request, session=pin.session_id)
        pin = _pin_of(request, "")
        version_id = self._versions_by_key.get(pin.key)
        if not version_id:
            return None
        self._refresh(pin.key, version_id)
        return replace(pin, version_id=version_id)

    async def assign_version(
        self, request: ChatRequest, version_id: str, before: Pin | None
    ) -> Pin:
        """Gives a session a version, unless it has another that holds already.

        Args:
            request: A request of the session.
            version_id: The version to give it.
            before: The pin that may no longer be used; None for a new session.

        Returns:
            The pin that holds.
        """
        if token := self._read_token(request):
            request = replace(request, session=token.session_id)
        pin = _pin_of(request, version_id)
        offered = PinOfferRequest(pin.key, version_id, before.version_id if before else "")
        held = await self._offer(offered)
        self._remember(pin.key, held)
        return replace(pin, version_id=held)

    def forget(self, version_ids: set[str]) -> None:
        """Drops what this instance remembers, but does not keep, of versions that were withdrawn.

        The next request asks the keepers, so that a version that comes back later does not take
        up again the sessions that have moved on at other instances.
        """
        stale = [
            key
            for key, version_id in self._versions_by_key.items()
            if version_id in version_ids
            and self._link.instance_id not in self._ranked(key)[:REPLICAS]
        ]
        for key in stale:
            del self._versions_by_key[key]
            self._keepers_by_key.pop(key, None)

    def build_headers(self, pin: Pin, moved_from: str = "") -> dict[str, str]:
        """Returns what the answer tells the caller of its session.

        Args:
            pin: The session's pin.
            moved_from: The version that it had before, when it has moved.
        """
        content = [pin.account_id, pin.session_id, pin.model, pin.version_id]
        headers = {TOKEN_HEADER: str(self._tokens.dumps(content))}
        if moved_from:
            headers[MOVED_HEADER] = f"{moved_from} {pin.version_id}"
            self._metrics.count("choice.sessions_moved")
            log(SESSION_MOVED, session=pin.session_id, old=moved_from, new=pin.version_id)
        return headers

    async def transfer_records(self) -> None:
        """Gives every record to the instances that keep it once this one is gone."""
        for key, version_id in list(self._versions_by_key.items()):
            heirs = [
                one for one in self._ranked(key)[:SEARCH_DEPTH] if one != self._link.instance_id
            ]
            for peer_id in heirs[:REPLICAS]:
                self._link.send_notice(peer_id, PinCopyRequest(key, version_id))
            await asyncio.sleep(0)

    async def _offer(self, offered: PinOfferRequest) -> str:
        """Offers a version to the first keeper that answers."""
        for keeper in self._ranked(offered.key)[:REPLICAS]:
            if keeper == self._link.instance_id:
                return (await self._on_pin_offered(keeper, offered)).version_id
            try:
                held = await self._link.request(keeper, offered, PinReply, REQUEST_TIMEOUT_MS)
            except MastickeelError:
                continue
            return held.version_id
        self._metrics.count("choice.session_records_unreachable")
        log(RECORD_UNREACHABLE, key=offered.key)
        return offered.version_id

    async def _on_pin_offered(self, sender: str, offered: PinOfferRequest) -> PinReply:
        """Accepts an offer, or answers with the version that the session has already."""
        held = self._versions_by_key.get(offered.key) or await self._search(offered.key)
        now_held = self._versions_by_key.get(offered.key, held)
        if now_held and now_held != offered.replaces:
            self._remember(offered.key, now_held)
            return PinReply(now_held)
        self._remember(offered.key, offered.version_id)
        await self._copy(offered.key, offered.version_id)
        return PinReply(offered.version_id)

    async def _on_pin_wanted(self, sender: str, wanted: PinLookupRequest) -> PinReply:
        """Gives a record."""
        return PinReply(self._versions_by_key.get(wanted.key, ""))

    async def _on_pin_copied(self, sender: str, copied: PinCopyRequest) -> PinReply:
        """Keeps a record for another instance."""
        self._remember(copied.key, copied.version_id)
        return PinReply(copied.version_id)

    async def _search(self, key: str) -> str:
        """Looks for a record on the instances that kept it before this one did."""
        others = [one for one in self._ranked(key)[:SEARCH_DEPTH] if one != self._link.instance_id]
        asked = (
            self._link.request(one, PinLookupRequest(key), PinReply, REQUEST_TIMEOUT_MS)
            for one in others
        )
        answers = await asyncio.gather(*asked, return_exceptions=True)
        found = [one.version_id for one in answers if isinstance(one, PinReply) and one.version_id]
        if found:
            await self._copy(key, found[0])
        return found[0] if found else ""

    async def _copy(self, key: str, version_id: str) -> None:
        """Leaves further copies, on the next instances that take them."""
        left = 0
        for keeper in self._ranked(key)[:SEARCH_DEPTH]:
            if keeper == self._link.instance_id:
                continue
            try:
                await self._link.request(
                    keeper, PinCopyRequest(key, version_id), PinReply, REQUEST_TIMEOUT_MS
                )
            except MastickeelError:
                continue
            left += 1
            if left == EXTRA_REPLICAS:
                return

    def _refresh(self, key: str, version_id: str) -> None:
        """Gives a record in use to instances that have come to keep it since it was last given."""
        keepers = tuple(self._ranked(key)[:REPLICAS])
        known = self._keepers_by_key.get(key, ())
        for keeper in keepers:
            if keeper not in known and keeper != self._link.instance_id:
                self._link.send_notice(keeper, PinCopyRequest(key, version_id))
        self._keepers_by_key[key] = keepers

    def _remember(self, key: str, version_id: str) -> None:
        self._versions_by_key[key] = version_id
        self._versions_by_key.move_to_end(key)
        while len(self._versions_by_key) > RECORDS_LIMIT:
            oldest, _ = self._versions_by_key.popitem(last=False)
            self._keepers_by_key.pop(oldest, None)

    def _read_token(self, request: ChatRequest) -> Pin | None:
        """Returns the pin of a token that this fleet signed for the account; None for an id."""
        try:
            content = self._tokens.loads(request.session)
        except BadData:
            return None
        if not isinstance(content, list) or len(content) != 4:
            return None
        pin = Pin(*(str(part) for part in content))
        return pin if pin.account_id == request.account_id else None


def record_key(account_id: str, session_id: str, model: str) -> str:
    """Returns what a session's record is found by."""
    return xxhash.xxh3_128_hexdigest(f"{account_id}\0{session_id}\0{model}".encode())


def _pin_of(request: ChatRequest, version_id: str) -> Pin:
    return Pin(request.account_id, request.session, request.model, version_id)

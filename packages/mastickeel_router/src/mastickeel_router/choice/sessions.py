"""Keeps each session on one version, by a signed token or by a record that any instance can find.

A record is held by two instances of the region, selected by rendezvous hashing. The first of them
accepts a single version per session, so that two first requests at two instances get the same one.
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
"""Replicas of a record that the accepting holder places on other instances, as one instance may be
paused and another lost at the same time."""
RECORD_HOLDERS = 2
"""Number of highest-ranked instances that hold a record and accept versions for a session."""
SEARCH_DEPTH = 4
"""Number of ranked instances searched for a record, as the ranking changes with the members."""

SESSION_MOVED = define_event(
    1402,
    "session_moved",
    "warning",
    "A session's version may no longer be used; the session moved to another version.",
)
RECORD_UNREACHABLE = define_event(
    1403,
    "session_record_unreachable",
    "warning",
    "No instance that holds the session's record replied.",
)


@dataclass(frozen=True)
class Pin:
    """The version that a session is pinned to."""

    account_id: str
    session_id: str
    model: str
    """Name that the session's requests ask for; a session has one version per name."""
    version_id: str

    @property
    def key(self) -> str:
        """Key of the session's record."""
        return record_key(self.account_id, self.session_id, self.model)


@message("choice.pin_offered")
@dataclass(frozen=True)
class PinOfferRequest:
    """Proposes a version for a session; the reply names the version the session is pinned to."""

    key: str
    version_id: str
    replaces: str
    """The version that the session may no longer use; empty for a new session."""


@message("choice.pin_wanted")
@dataclass(frozen=True)
class PinLookupRequest:
    """Requests the version that a session is pinned to."""

    key: str


@message("choice.pin_copied")
@dataclass(frozen=True)
class PinCopyRequest:
    """Places a replica of a record on another instance."""

    key: str
    version_id: str


@message("choice.pin_held")
@dataclass(frozen=True)
class PinReply:
    """The version that a session is pinned to; empty when the replying instance has no record."""

    version_id: str


class Sessions:
    """Session records: those of served requests and the replicas held for other instances."""

    def __init__(
        self,
        link: PeerLink,
        metrics: Metrics,
        secret: str,
        rank_instances: Callable[[str], Sequence[str]],
    ) -> None:
        """Creates the records and registers the message handlers.

        Args:
            link: Connection to the peers.
            metrics: Counts moved sessions and unreachable records.
            secret: Signs the session tokens; the same on every instance.
            rank_instances: Ranks the region's instances, including this one, for a key.
        """
        self._link = link
        self._metrics = metrics
        self._tokens = URLSafeSerializer(secret, salt=TOKEN_SALT)
        self._rank_instances = rank_instances
        self._versions_by_key: OrderedDict[str, str] = OrderedDict()
        self._holders_by_key: dict[str, tuple[str, ...]] = {}
        link.register_handler(PinOfferRequest, self._on_offer)
        link.register_handler(PinLookupRequest, self._on_lookup)
        link.register_handler(PinCopyRequest, self._on_copy)

    def find_pin(self, request: ChatRequest) -> Pin | None:
        """Returns the pin from the request's token or a local record; None when neither exists."""
        if pin := self._read_token(request):
            if pin.model == request.model:
                return pin
            request = replace(request, session=pin.session_id)
        pin = _make_pin(request, "")
        version_id = self._versions_by_key.get(pin.key)
        if not version_id:
            return None
        self._replicate_to_new_holders(pin.key, version_id)
        return replace(pin, version_id=version_id)

    async def assign_version(
        self, request: ChatRequest, version_id: str, previous: Pin | None
    ) -> Pin:
        """Pins a session to a version, unless it is pinned to another one already.

        Args:
            request: A request of the session.
            version_id: The version to pin the session to.
            previous: The pin that may no longer be used; None for a new session.

        Returns:
            The pin in force.
        """
        if token_pin := self._read_token(request):
            request = replace(request, session=token_pin.session_id)
        pin = _make_pin(request, version_id)
        offer = PinOfferRequest(pin.key, version_id, previous.version_id if previous else "")
        pinned_id = await self._request_pin(offer)
        self._store(pin.key, pinned_id)
        return replace(pin, version_id=pinned_id)

    def drop_records(self, version_ids: set[str]) -> None:
        """Drops records on withdrawn versions, other than the replicas that this instance holds.

        The next request of such a session asks the holders of its record. Otherwise a version that
        is restored later would regain sessions that have moved on at other instances.
        """
        stale = [
            key
            for key, version_id in self._versions_by_key.items()
            if version_id in version_ids
            and self._link.instance_id not in self._rank_instances(key)[:RECORD_HOLDERS]
        ]
        for key in stale:
            del self._versions_by_key[key]
            self._holders_by_key.pop(key, None)

    def build_headers(self, pin: Pin, moved_from: str = "") -> dict[str, str]:
        """Returns the HTTP headers on the session, and reports a move to metrics and log.

        Args:
            pin: The session's pin.
            moved_from: The session's previous version when it has moved; otherwise empty.
        """
        content = [pin.account_id, pin.session_id, pin.model, pin.version_id]
        headers = {TOKEN_HEADER: str(self._tokens.dumps(content))}
        if moved_from:
            headers[MOVED_HEADER] = f"{moved_from} {pin.version_id}"
            self._metrics.count("choice.sessions_moved")
            log(SESSION_MOVED, session=pin.session_id, old=moved_from, new=pin.version_id)
        return headers

    async def transfer_records(self) -> None:
        """Sends every record to the instances that will hold it once this one has left."""
        for key, version_id in list(self._versions_by_key.items()):
            receivers = [
                instance_id
                for instance_id in self._rank_instances(key)[:SEARCH_DEPTH]
                if instance_id != self._link.instance_id
            ]
            for peer_id in receivers[:RECORD_HOLDERS]:
                self._link.send_notice(peer_id, PinCopyRequest(key, version_id))
            await asyncio.sleep(0)

    async def _request_pin(self, offer: PinOfferRequest) -> str:
        """Proposes a version to the first holder that replies; returns the version in force."""
        for holder in self._rank_instances(offer.key)[:RECORD_HOLDERS]:
            if holder == self._link.instance_id:
                return (await self._on_offer(holder, offer)).version_id
            try:
                reply = await self._link.request(holder, offer, PinReply, REQUEST_TIMEOUT_MS)
            except MastickeelError:
                continue
            return reply.version_id
        self._metrics.count("choice.session_records_unreachable")
        log(RECORD_UNREACHABLE, key=offer.key)
        return offer.version_id

    async def _on_offer(self, sender: str, offer: PinOfferRequest) -> PinReply:
        """Accepts a proposed version, unless the session is pinned to another one already."""
        found_id = self._versions_by_key.get(offer.key) or await self._find_version(offer.key)
        pinned_id = self._versions_by_key.get(offer.key, found_id)
        if pinned_id and pinned_id != offer.replaces:
            self._store(offer.key, pinned_id)
            return PinReply(pinned_id)
        self._store(offer.key, offer.version_id)
        await self._replicate(offer.key, offer.version_id)
        return PinReply(offer.version_id)

    async def _on_lookup(self, sender: str, lookup: PinLookupRequest) -> PinReply:
        """Replies with the local record of a session."""
        return PinReply(self._versions_by_key.get(lookup.key, ""))

    async def _on_copy(self, sender: str, copy: PinCopyRequest) -> PinReply:
        """Stores a replica of a record."""
        self._store(copy.key, copy.version_id)
        return PinReply(copy.version_id)

    async def _find_version(self, key: str) -> str:
        """Searches the ranked peers, some of them former holders, for a session's version."""
        peer_ids = [
            instance_id
            for instance_id in self._rank_instances(key)[:SEARCH_DEPTH]
            if instance_id != self._link.instance_id
        ]
        lookups = (
            self._link.request(peer_id, PinLookupRequest(key), PinReply, REQUEST_TIMEOUT_MS)
            for peer_id in peer_ids
        )
        replies = await asyncio.gather(*lookups, return_exceptions=True)
        found = [
            reply.version_id
            for reply in replies
            if isinstance(reply, PinReply) and reply.version_id
        ]
        if found:
            await self._replicate(key, found[0])
        return found[0] if found else ""

    async def _replicate(self, key: str, version_id: str) -> None:
        """Places EXTRA_REPLICAS replicas on the next ranked instances that accept them."""
        copies = 0
        for holder in self._rank_instances(key)[:SEARCH_DEPTH]:
            if holder == self._link.instance_id:
                continue
            try:
                await self._link.request(
                    holder, PinCopyRequest(key, version_id), PinReply, REQUEST_TIMEOUT_MS
                )
            except MastickeelError:
                continue
            copies += 1
            if copies == EXTRA_REPLICAS:
                return

    def _replicate_to_new_holders(self, key: str, version_id: str) -> None:
        """Sends a record in use to instances that have become holders since the last time."""
        holders = tuple(self._rank_instances(key)[:RECORD_HOLDERS])
        known_holders = self._holders_by_key.get(key, ())
        for holder in holders:
            if holder not in known_holders and holder != self._link.instance_id:
                self._link.send_notice(holder, PinCopyRequest(key, version_id))
        self._holders_by_key[key] = holders

    def _store(self, key: str, version_id: str) -> None:
        self._versions_by_key[key] = version_id
        self._versions_by_key.move_to_end(key)
        while len(self._versions_by_key) > RECORDS_LIMIT:
            oldest, _ = self._versions_by_key.popitem(last=False)
            self._holders_by_key.pop(oldest, None)

    def _read_token(self, request: ChatRequest) -> Pin | None:
        """Returns the pin of a token signed by this fleet for the account; None for a plain id."""
        try:
            content = self._tokens.loads(request.session)
        except BadData:
            return None
        if not isinstance(content, list) or len(content) != 4:
            return None
        pin = Pin(*(str(part) for part in content))
        return pin if pin.account_id == request.account_id else None


def record_key(account_id: str, session_id: str, model: str) -> str:
    """Returns the key of a session's record."""
    return xxhash.xxh3_128_hexdigest(f"{account_id}\0{session_id}\0{model}".encode())


def _make_pin(request: ChatRequest, version_id: str) -> Pin:
    return Pin(request.account_id, request.session, request.model, version_id)

"""Spreads tallies of ratings: one instance reads the log, and all exchange tallies with peers."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.errors import MastickeelError
from mastickeel.peers import message
from mastickeel_router.choice.learning import (
    Subject,
    Tally,
    delivered_subject,
    pack_position,
    unpack_position,
)
from mastickeel_router.choice.ratings import parse_rating_id

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel.model import Configuration
    from mastickeel.peers import PeerLink
    from mastickeel_router.choice.learning import Learner
    from mastickeel_router.choice.ratings import RatingClient, RatingEntry, RatingPage

READ_INTERVAL_MS = 1_000
SHARE_INTERVAL_MS = 5_000
PAGE_ENTRIES = 64
OTHER_KINDS = "other"
"""Kind under which the kinds of an account beyond its limit are counted together."""


@message("choice.tallies_wanted")
@dataclass(frozen=True)
class TalliesRequest:
    """Requests tallies that changed after a position."""

    after: int


@message("choice.tallies")
@dataclass(frozen=True)
class TalliesReply:
    """Tallies in order of their last change."""

    subjects: tuple[Subject, ...]
    tallies: tuple[Tally, ...]
    cursor: int
    """Position up to which the sender has counted all ratings; 0 when more pages follow."""


class RatingSharing:
    """Pulls newer tallies from random peers, at a rate that does not depend on the fleet's size."""

    def __init__(self, learner: Learner, link: PeerLink, clock: Clock, rng: random.Random) -> None:
        """Creates the exchange.

        Args:
            learner: Holds the tallies to share.
            link: Connection to the peers.
            clock: Times the rounds.
            rng: Selects the peers.
        """
        self._learner = learner
        self._link = link
        self._clock = clock
        self._rng = rng
        self._next_position = 0
        link.register_handler(TalliesRequest, self._on_request)

    async def run(self) -> None:
        """Pulls pages until cancelled; a new instance pauses only once it has all tallies."""
        while True:
            is_complete = await self.run_round()
            if is_complete or self._learner.cursor:
                await self._clock.sleep(SHARE_INTERVAL_MS)

    async def run_round(self) -> bool:
        """Requests one page from a random peer and merges it.

        Returns:
            False when more pages follow; True otherwise, also without peers or a reply.
        """
        peers = self._link.peer_ids
        if not peers:
            return True
        peer_id = self._rng.choice(sorted(peers))
        after = max(self._next_position, self._learner.cursor)
        try:
            page = await self._link.request(peer_id, TalliesRequest(after), TalliesReply)
        except MastickeelError:
            return True
        self._learner.merge(zip(page.subjects, page.tallies, strict=False))
        if page.cursor or not page.tallies:
            self._learner.advance_cursor(page.cursor)
            self._next_position = 0
            return True
        self._next_position = page.tallies[-1].at
        return False

    async def _on_request(self, sender: str, request: TalliesRequest) -> TalliesReply:
        """Replies with one page of tallies."""
        entries = self._learner.entries_after(request.after, PAGE_ENTRIES)
        is_last = len(entries) < PAGE_ENTRIES
        cursor = self._learner.cursor if is_last else 0
        return TalliesReply(
            tuple(subject for subject, _ in entries), tuple(tally for _, tally in entries), cursor
        )


class RatingReader:
    """Reads the ratings log, on the one instance that holds the rollout duty."""

    def __init__(
        self,
        learner: Learner,
        client: RatingClient,
        clock: Clock,
        configuration: Callable[[], Configuration],
    ) -> None:
        """Creates the reader.

        Args:
            learner: Counts the ratings.
            client: Fetches pages of the log.
            clock: Times the reads.
            configuration: Returns the configuration in force, with its accounts and versions.
        """
        self.on_rating: Callable[[RatingEntry], None] = lambda _: None
        """Called with each rating read, in the order of the log."""
        self._learner = learner
        self._client = client
        self._clock = clock
        self._configuration = configuration

    async def run(self) -> None:
        """Reads the log at an interval until cancelled."""
        while True:
            with contextlib.suppress(MastickeelError):
                await self.read()
            await self._clock.sleep(READ_INTERVAL_MS)

    async def read(self) -> None:
        """Reads and counts one page, from the log's start when the service has restarted the log.

        Raises:
            RatingUnavailableError: When the service gave no usable reply.
        """
        epoch, cursor = unpack_position(self._learner.cursor)
        page = await self._client.fetch_page(cursor)
        if page.cursor < cursor:
            epoch, cursor = epoch + 1, 0
            page = await self._client.fetch_page(0)
        self.record_page(page, epoch, cursor)

    def record_page(self, page: RatingPage, epoch: int, cursor: int) -> None:
        """Counts the ratings of a page of the log.

        Args:
            page: The page.
            epoch: Number of times that the service has restarted its log.
            cursor: The service's cursor at the start of the page.
        """
        for index, entry in enumerate(page.ratings):
            position = pack_position(epoch, min(cursor + index + 1, page.cursor))
            if entry is not None and self._is_configured(entry):
                self._record(entry, position)
                self.on_rating(entry)
        self._learner.advance_cursor(pack_position(epoch, page.cursor))

    def _is_configured(self, entry: RatingEntry) -> bool:
        """Returns whether account and version are configured, as the service may send others."""
        configuration = self._configuration()
        return (
            entry.account in configuration.accounts_by_id
            and entry.version in configuration.versions_by_id
        )

    def _record(self, entry: RatingEntry, position: int) -> None:
        """Counts a rating for its version and, if the answer was delivered, for its kind."""
        learner, account_id = self._learner, entry.account
        step = parse_rating_id(entry.request_id)
        kind = entry.kind if learner.can_track_kind(account_id, entry.kind) else OTHER_KINDS
        subject = Subject(account_id, kind, entry.version, step.number > 0)
        learner.record_rating(subject, entry.passed, position)
        if step.delivered:
            learner.record_rating(delivered_subject(account_id, kind), entry.passed, position)

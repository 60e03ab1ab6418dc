"""Spreads what is known of the ratings: one instance reads the log, all take it from each other."""

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
"""What is counted together when an account sends more kinds than are counted apart."""


@message("choice.tallies_wanted")
@dataclass(frozen=True)
class TalliesRequest:
    """Asks for figures that have changed after a position."""

    after: int


@message("choice.tallies")
@dataclass(frozen=True)
class TalliesReply:
    """Figures in order of their last change."""

    subjects: tuple[Subject, ...]
    tallies: tuple[Tally, ...]
    cursor: int
    """The position up to which the sender is complete; 0 when more figures follow."""


class RatingSharing:
    """Takes newer figures from random peers at a steady rate, whatever the size of the fleet."""

    def __init__(self, learner: Learner, link: PeerLink, clock: Clock, rng: random.Random) -> None:
        """Makes the exchange.

        Args:
            learner: What is shared.
            link: The peers.
            clock: Times the rounds.
            rng: Picks the peers.
        """
        self._learner = learner
        self._link = link
        self._clock = clock
        self._draw = rng
        self._after = 0
        link.register_handler(TalliesRequest, self._on_tallies_wanted)

    async def run(self) -> None:
        """Takes figures round after round; a new instance without any asks page after page."""
        while True:
            is_complete = await self.run_round()
            if is_complete or self._learner.cursor:
                await self._clock.sleep(SHARE_INTERVAL_MS)

    async def run_round(self) -> bool:
        """Asks one random peer for one page.

        Returns:
            Whether nothing is left to ask for at once.
        """
        peers = self._link.peer_ids
        if not peers:
            return True
        peer = self._draw.choice(sorted(peers))
        after = max(self._after, self._learner.cursor)
        try:
            page = await self._link.request(peer, TalliesRequest(after), TalliesReply)
        except MastickeelError:
            return True
        self._learner.merge(zip(page.subjects, page.tallies, strict=False))
        if page.cursor or not page.tallies:
            self._learner.advance_cursor(page.cursor)
            self._after = 0
            return True
        self._after = page.tallies[-1].at
        return False

    async def _on_tallies_wanted(self, sender: str, wanted: TalliesRequest) -> TalliesReply:
        """Gives one page."""
        entries = self._learner.entries_after(wanted.after, PAGE_ENTRIES)
        is_last = len(entries) < PAGE_ENTRIES
        cursor = self._learner.cursor if is_last else 0
        return TalliesReply(
            tuple(subject for subject, _ in entries), tuple(tally for _, tally in entries), cursor
        )


class RatingReader:
    """Reads the log of ratings, on the one instance that holds the duty."""

    def __init__(
        self,
        learner: Learner,
        client: RatingClient,
        clock: Clock,
        configuration: Callable[[], Configuration],
    ) -> None:
        """Makes the reader.

        Args:
            learner: Counts the ratings.
            client: Reads the log.
            clock: Times the reads.
            configuration: Which accounts and versions there are.
        """
        self.on_rating: Callable[[RatingEntry], None] = lambda _: None
        """Told each new rating, in the order of the log."""
        self._learner = learner
        self._client = client
        self._clock = clock
        self._configuration = configuration

    async def run(self) -> None:
        """Reads on until cancelled."""
        while True:
            with contextlib.suppress(MastickeelError):
                await self.read()
            await self._clock.sleep(READ_INTERVAL_MS)

    async def read(self) -> None:
        """Reads once.

        Raises:
            RatingUnavailableError: When the service gave no usable answer.
        """
        epoch, cursor = unpack_position(self._learner.cursor)
        page = await self._client.fetch_page(cursor)
        if page.cursor < cursor:
            epoch, cursor = epoch + 1, 0
            page = await self._client.fetch_page(0)
        self.record_page(page, epoch, cursor)

    def record_page(self, page: RatingPage, epoch: int, cursor: int) -> None:
        """Counts a page of the log.

        Args:
            page: What was read.
            epoch: How often the log has begun anew.
            cursor: Where the page begins.
        """
        for index, entry in enumerate(page.ratings):
            at = pack_position(epoch, min(cursor + index + 1, page.cursor))
            if entry is not None and self._is_known(entry):
                self._fold(entry, at)
                self.on_rating(entry)
        self._learner.advance_cursor(pack_position(epoch, page.cursor))

    def _is_known(self, entry: RatingEntry) -> bool:
        """Says whether the account and the version exist; the service may be wrong."""
        configuration = self._configuration()
        return (
            entry.account in configuration.accounts_by_id
            and entry.version in configuration.versions_by_id
        )

    def _fold(self, entry: RatingEntry, at: int) -> None:
        """Counts a rating for its version and, if the caller was given the answer, for its kind."""
        learner, account_id = self._learner, entry.account
        step = parse_rating_id(entry.request_id)
        kind = entry.kind if learner.can_track_kind(account_id, entry.kind) else OTHER_KINDS
        subject = Subject(account_id, kind, entry.version, step.number > 0)
        learner.record_rating(subject, entry.passed, at)
        if step.delivered:
            learner.record_rating(delivered_subject(account_id, kind), entry.passed, at)

"""Choice of the instances of a data centre that watch the store for the others.

The choice follows from the list of members alone, so that instances agree on it without messages.
An instance whose list differs watches too often or relies on another one; neither is an error.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

MIN_WATCHERS = 3
"""Least number of instances of the fleet that watch the store, if it has so many."""
MEMBERS_PER_WATCHER = 20
"""Members of a data centre that learn of changes from one watcher; bounds what it sends."""
STAGGER_MS = 50
"""Time that each instance gives those before it in the ranking to watch in place of lost ones."""


@dataclass(frozen=True)
class Member:
    """An instance that exchanges changes of the store with its peers."""

    id: str
    data_centre: str
    link_mbps: float = 0.0
    """Bandwidth of the instance's network link in Mbit/s; 0 when not known."""


@dataclass(frozen=True)
class Ranking:
    """Members of a data centre in the order in which they are to watch."""

    ids: tuple[str, ...]
    watcher_count: int
    """Number of them that are to watch."""

    @property
    def watchers(self) -> tuple[str, ...]:
        """The members that are to watch while all of them work."""
        return self.ids[: self.watcher_count]


def rank_watchers(members: Iterable[Member], data_centre: str) -> Ranking:
    """Returns a data centre's members in the order in which they are to watch.

    Those with the fastest links come first, as a watcher sends each change to its data centre.
    """
    members = tuple(members)
    data_centre_count = len({member.data_centre for member in members} | {data_centre})
    links_by_id = {
        member.id: member.link_mbps for member in members if member.data_centre == data_centre
    }
    ranked = rank(f"watch/{data_centre}", list(links_by_id))
    ids = tuple(sorted(ranked, key=lambda member_id: -links_by_id[member_id]))
    watcher_count = max(
        math.ceil(MIN_WATCHERS / data_centre_count), math.ceil(len(ids) / MEMBERS_PER_WATCHER)
    )
    return Ranking(ids, watcher_count)


def choose_watcher(own_id: str, ranking: Ranking, suspected: Collection[str]) -> str | None:
    """Returns the instance from which this one learns of changes; None if there is none.

    The followers of a data centre are spread over its watchers.

    Args:
        own_id: This instance.
        ranking: The members of the data centre.
        suspected: Members that did not reply or do not hear the store.
    """
    usable = [one for one in ranking.ids if one != own_id and one not in suspected]
    return rank(own_id, usable[: ranking.watcher_count])[0] if usable else None


def is_watcher(
    own_id: str,
    ranking: Ranking,
    suspected: Collection[str],
    *,
    unheard_ms: int,
    patience_ms: int,
) -> bool:
    """Returns whether this instance has to watch the store by itself.

    It does so as one of the first of its data centre, or when it has not heard from any watcher in
    time: those first in the ranking begin, so that the others hear from them.

    Args:
        own_id: This instance.
        ranking: The members of the data centre.
        suspected: Members that did not reply or do not hear the store.
        unheard_ms: Time since a watcher was last heard.
        patience_ms: Time after which the first one begins.
    """
    usable = [one for one in ranking.ids if one == own_id or one not in suspected]
    position = usable.index(own_id)
    return position < ranking.watcher_count or unheard_ms > patience_ms + position * STAGGER_MS

"""What is known of the other instances, and what has still to be told on."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel_router.membership.messages import EndpointMark, MemberState, MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

ITEMS_PER_MESSAGE = 4
"""Bounds the bytes of a probe, whatever happens in the fleet."""
RETRANSMIT_FACTOR = 3
"""Each item is told so often, times the logarithm of the fleet's size."""


class GossipTable:
    """Beliefs about instances, with the rule of which belief wins."""

    def __init__(self, local_state: MemberState) -> None:
        """Makes a board that knows of this instance only.

        Args:
            local_state: What is true of this instance.
        """
        self.local_state = local_state
        """What this instance says of itself."""
        self.states_by_id: dict[str, MemberState] = {}
        """What is believed of the others."""
        self.on_change: Callable[[MemberState, MemberState | None], None] = lambda new, old: None
        """Told each belief that changed, and what it was before."""
        self._tellings_by_key: dict[str, tuple[int, MemberState | EndpointMark]] = {}

    def update_local_state(self, **changes: object) -> None:
        """Changes what this instance says of itself, under a new incarnation.

        Args:
            **changes: Fields of News.
        """
        incarnation = self.local_state.incarnation + 1
        self.local_state = replace(self.local_state, incarnation=incarnation, **changes)  # type: ignore[arg-type]
        self.enqueue(self.local_state)

    def merge(self, news: MemberState) -> bool:
        """Takes a belief from a peer or from this instance's own probes.

        Args:
            news: The belief.

        Returns:
            Whether it is new here.
        """
        if news.id == self.local_state.id:
            self._contradict(news)
            return False
        known = self.states_by_id.get(news.id)
        if not news.supersedes(known):
            if (
                known
                and news.standing is MemberStatus.SUSPECT
                and known.standing is MemberStatus.ALIVE
            ):
                self.enqueue(known)
            return False
        if known and not news.address:
            news = replace(
                news, address=known.address, data_centre=known.data_centre, region=known.region
            )
        self.states_by_id[news.id] = news
        if known or news.standing is not MemberStatus.ALIVE:
            self.enqueue(news)
        self.on_change(news, known)
        return True

    def enqueue(self, item: MemberState | EndpointMark) -> None:
        """Lets the next probes carry an item, an instance's address only when it is alive."""
        if isinstance(item, MemberState) and item.standing is not MemberStatus.ALIVE:
            item = replace(item, address="", data_centre="", region="")
        self._tellings_by_key[_key(item)] = (0, item)

    def next_items(self) -> tuple[tuple[MemberState, ...], tuple[EndpointMark, ...]]:
        """Returns what the next probe carries: what was told least often goes first."""
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.states_by_id) + 2))
        chosen = sorted(self._tellings_by_key.items(), key=lambda entry: entry[1][0])
        chosen = chosen[:ITEMS_PER_MESSAGE]
        for key, (times, item) in chosen:
            if times + 1 >= limit:
                del self._tellings_by_key[key]
            else:
                self._tellings_by_key[key] = (times + 1, item)
        items = [item for _, (_, item) in chosen]
        news = tuple(item for item in items if isinstance(item, MemberState))
        return news, tuple(item for item in items if isinstance(item, EndpointMark))

    def remove(self, ids: Iterable[str]) -> None:
        """Drops what is believed of instances that are long gone."""
        for instance_id in ids:
            self.states_by_id.pop(instance_id, None)

    def _contradict(self, news: MemberState) -> None:
        """Answers a wrong belief about this instance with a newer incarnation.

        That it is leaving is believed, whoever says so: the platform may know it first.
        """
        mine = self.local_state
        if news.process not in ("", mine.process) or news.standing is MemberStatus.ALIVE:
            return
        if news.standing is MemberStatus.LEAVING and mine.standing < MemberStatus.LEAVING:
            self.local_state = replace(mine, standing=MemberStatus.LEAVING)
        elif news.incarnation >= mine.incarnation and mine.standing < MemberStatus.LEAVING:
            self.local_state = replace(mine, incarnation=news.incarnation + 1)
        self.enqueue(self.local_state)


def _key(item: MemberState | EndpointMark) -> str:
    """Returns under which key an item replaces an older one."""
    return f"{type(item).__name__} {item.id}"


__all__ = ["GossipTable", "MemberStatus"]

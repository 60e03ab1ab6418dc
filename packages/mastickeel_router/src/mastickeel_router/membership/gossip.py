"""Gossip about instances: the merged member states, and the items still to be sent to peers."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel_router.membership.messages import EndpointMark, MemberState, MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

ITEMS_PER_MESSAGE = 4
"""Limits the size of a probe, independent of the number of pending items."""
RETRANSMIT_FACTOR = 3
"""Each item is sent this many times the logarithm of the fleet size."""


class GossipTable:
    """Merges member states by precedence, and queues changed items for the next probes."""

    def __init__(self, local_state: MemberState) -> None:
        """Creates a table that contains only this instance.

        Args:
            local_state: The state of this instance.
        """
        self.local_state = local_state
        """The state that this instance reports of itself."""
        self.states_by_id: dict[str, MemberState] = {}
        """The merged state of each other instance."""
        self.on_change: Callable[[MemberState, MemberState | None], None] = lambda new, old: None
        """Called with each changed state and the previous one, which is None for a new instance."""
        self._pending_by_key: dict[str, tuple[int, MemberState | EndpointMark]] = {}

    def update_local_state(self, **changes: object) -> None:
        """Changes the state of this instance under a new incarnation, and queues it.

        Args:
            **changes: New values for fields of MemberState.
        """
        incarnation = self.local_state.incarnation + 1
        self.local_state = replace(self.local_state, incarnation=incarnation, **changes)  # type: ignore[arg-type]
        self.enqueue(self.local_state)

    def merge(self, state: MemberState) -> bool:
        """Merges a member state received from a peer or derived from this instance's probes.

        Args:
            state: The member state; a wrong state of this instance itself is refuted.

        Returns:
            Whether the state superseded the known one.
        """
        if state.id == self.local_state.id:
            self._refute(state)
            return False
        known = self.states_by_id.get(state.id)
        if not state.supersedes(known):
            if (
                known
                and state.standing is MemberStatus.SUSPECT
                and known.standing is MemberStatus.ALIVE
            ):
                self.enqueue(known)
            return False
        if known and not state.address:
            state = replace(
                state, address=known.address, data_centre=known.data_centre, region=known.region
            )
        self.states_by_id[state.id] = state
        if known or state.standing is not MemberStatus.ALIVE:
            self.enqueue(state)
        self.on_change(state, known)
        return True

    def enqueue(self, item: MemberState | EndpointMark) -> None:
        """Queues an item for the next probes; only states of live instances keep their address."""
        if isinstance(item, MemberState) and item.standing is not MemberStatus.ALIVE:
            item = replace(item, address="", data_centre="", region="")
        self._pending_by_key[_key(item)] = (0, item)

    def next_items(self) -> tuple[tuple[MemberState, ...], tuple[EndpointMark, ...]]:
        """Returns the items for the next probe, those sent least often first."""
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.states_by_id) + 2))
        chosen = sorted(self._pending_by_key.items(), key=lambda entry: entry[1][0])
        chosen = chosen[:ITEMS_PER_MESSAGE]
        for key, (sent_count, item) in chosen:
            if sent_count + 1 >= limit:
                del self._pending_by_key[key]
            else:
                self._pending_by_key[key] = (sent_count + 1, item)
        items = [item for _, (_, item) in chosen]
        states = tuple(item for item in items if isinstance(item, MemberState))
        return states, tuple(item for item in items if isinstance(item, EndpointMark))

    def remove(self, ids: Iterable[str]) -> None:
        """Removes the states of instances."""
        for instance_id in ids:
            self.states_by_id.pop(instance_id, None)

    def _refute(self, state: MemberState) -> None:
        """Refutes a wrong state of this instance with a newer incarnation.

        A report that this instance is leaving is accepted from any source, since the platform may
        know of it first.
        """
        local = self.local_state
        if state.process not in ("", local.process) or state.standing is MemberStatus.ALIVE:
            return
        if state.standing is MemberStatus.LEAVING and local.standing < MemberStatus.LEAVING:
            self.local_state = replace(local, standing=MemberStatus.LEAVING)
        elif state.incarnation >= local.incarnation and local.standing < MemberStatus.LEAVING:
            self.local_state = replace(local, incarnation=state.incarnation + 1)
        self.enqueue(self.local_state)


def _key(item: MemberState | EndpointMark) -> str:
    """Returns the key under which an item replaces an older item."""
    return f"{type(item).__name__} {item.id}"


__all__ = ["GossipTable", "MemberStatus"]

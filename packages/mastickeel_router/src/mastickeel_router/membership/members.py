"""The instances of the fleet, as known from leases, probes, the roster and the platform's list.

Leases and probes are two independent paths: an instance is not gone while one of them works, unless
the platform's list or the instance itself reports its departure.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from mastickeel.addresses import Address
from mastickeel.changes import Roster, RosterMember
from mastickeel.decoding import decode_json
from mastickeel.errors import StoreError
from mastickeel.events import define_event
from mastickeel.logs import log
from mastickeel_router.backoff import Backoff
from mastickeel_router.membership.gossip import GossipTable
from mastickeel_router.membership.marks import LeavingMarks
from mastickeel_router.membership.member import Member
from mastickeel_router.membership.messages import (
    MemberState,
    MemberStatus,
    ProbeReply,
    ProbeRequest,
)
from mastickeel_router.membership.probes import NEIGHBOUR_COUNT, Prober
from mastickeel_router.membership.registration import Registration

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from mastickeel._kvtypes import KeyValue
    from mastickeel.clock import Clock
    from mastickeel.keyvalue import KeyValueClient
    from mastickeel.peers import PeerLink

DEPARTURE_TIMEOUT_MS = 1_000

MEMBER_JOINED = define_event(1810, "member_joined", "info", "An instance joined the fleet.")
MEMBER_GONE = define_event(
    1811,
    "member_gone",
    "warning",
    "An instance left, both its lease and its probes failed, or the platform lists it no longer.",
)
MEMBER_UNREADABLE = define_event(
    1814, "member_unreadable", "warning", "An instance's registration is malformed and is ignored."
)
MAX_LOGGED_ERROR = 300
"""Maximum length of an error's text in a log record, as it may quote the value."""


def is_gone_on_two_paths(leased: bool, reachable: bool) -> bool:
    """Returns whether a member is gone: its lease has expired and no peer reaches it."""
    return not leased and not reachable


class Members:
    """The table of known instances, merged from leases, probes, the roster and the platform."""

    def __init__(
        self,
        local_member: Member,
        *,
        store: KeyValueClient,
        prefix: str,
        link: PeerLink,
        clock: Clock,
        rng: random.Random,
        gone_rule: Callable[[bool, bool], bool] = is_gone_on_two_paths,
    ) -> None:
        """Creates the table.

        Args:
            local_member: The record of this instance.
            store: The key-value service.
            prefix: The prefix of all keys of this deployment.
            link: Connects to the members and carries probes.
            clock: Times renewals and probes.
            rng: Source of the jitter of renewals and probes.
            gone_rule: Decides whether a member is gone, from whether it holds a lease and whether
                it is reachable.
        """
        self.local_member = local_member
        """The record of this instance."""
        self.members_by_id: dict[str, Member] = {}
        """All other known instances that are not gone."""
        self.marks = LeavingMarks(clock)
        """The leaving marks of endpoints."""
        self.gossip = GossipTable(_initial_state(local_member, clock.wall()))
        """The member states exchanged with peers."""
        self.departed_processes: set[str] = set()
        """Processes that announced that they have permanently stopped admitting work."""
        self.find_gone_by_platform: Callable[[Roster], frozenset[str]] = lambda roster: frozenset()
        """Returns the members of a roster that are gone according to the platform's list."""
        self._store = store
        self._prefix = f"{prefix}/members/"
        self._link = link
        self._clock = clock
        self._rng = rng
        self._gone_rule = gone_rule
        self._leased_by_id: dict[str, Member] = {}
        self._roster = Roster()
        self.prober = Prober(
            self.gossip,
            self.marks,
            link=link,
            clock=clock,
            rng=rng,
            candidates=self._processes_by_id,
        )
        """The prober of this instance."""
        self.registration = Registration(
            store=store,
            prefix=self._prefix,
            clock=clock,
            rng=rng,
            local_member=lambda: self.local_member,
            fleet_size=lambda: len(self.members_by_id) + 1,
        )
        """The registration of this instance under a lease."""
        self.marks.on_new_mark = self.gossip.enqueue
        self.gossip.on_change = self._on_member_state

    def live(self) -> tuple[Member, ...]:
        """Returns the other instances that accept new work, ordered by id."""
        members = sorted(self.members_by_id.values(), key=lambda member: member.id)
        unreachable = self.prober.unreachable
        return tuple(
            member for member in members if not member.leaving and member.id not in unreachable
        )

    def is_live(self, instance_id: str) -> bool:
        """Returns whether an instance is believed to be running."""
        if instance_id == self.local_member.id:
            return True
        return instance_id in self.members_by_id and instance_id not in self.prober.unreachable

    def is_gone(self, instance_id: str) -> bool:
        """Returns whether an instance is gone, so that it may be removed from the roster.

        An instance is gone if the platform's list no longer contains it, if its process announced
        its departure, or if the gone rule holds for its lease and reachability.
        """
        if instance_id in self.find_gone_by_platform(self._roster):
            return True
        processes_by_id = {member.id: member.process for member in self._roster.members}
        if processes_by_id.get(instance_id) in self.departed_processes:
            return True
        reachable = instance_id not in self.prober.unreachable
        return self._gone_rule(instance_id in self._leased_by_id, reachable)

    def is_leaving(self, endpoint_id: str) -> bool:
        """Returns whether any source reported that an endpoint is leaving."""
        return self.marks.is_leaving(endpoint_id)

    def set_leaving(self, target_id: str, leaving: bool) -> None:
        """Marks an endpoint or instance as leaving and spreads the mark to peers.

        Args:
            target_id: The id of the endpoint or instance.
            leaving: Whether the target is leaving; False revokes the mark of an endpoint and is
                ignored for an instance.
        """
        processes_by_id = {
            **self._processes_by_id(),
            self.local_member.id: self.local_member.process,
        }
        if target_id in processes_by_id:
            if leaving:
                state = MemberState(
                    target_id, 0, MemberStatus.LEAVING, process=processes_by_id[target_id]
                )
                self.gossip.merge(state)
            return
        self.marks.set_leaving(target_id, leaving)

    def registered(self) -> tuple[RosterMember, ...]:
        """Returns roster entries for the instances that hold a lease and are not leaving."""
        now = self._clock.wall()
        leased = [
            member
            for member in self._leased_by_id.values()
            if member.process not in self.departed_processes
        ]
        return tuple(to_roster_member(member, now) for member in leased if not member.leaving)

    def set_roster(self, roster: Roster) -> None:
        """Sets the roster in force, whose members stay known when their leases expire."""
        self._roster = roster
        self._refresh()

    async def run_registration(self) -> None:
        """Keeps this instance registered under a lease, until cancelled."""
        await self.registration.run()

    async def run_probes(self) -> None:
        """Probes peers and refreshes the table after each round, until cancelled."""
        await self.prober.run(self._refresh)

    async def run_watch(self) -> None:
        """Watches the registrations of the other instances, until cancelled."""
        backoff = Backoff(self._clock, self._rng)
        while True:
            try:
                found = await self._store.range(self._prefix, prefix=True)
                members = [_decode(item) for item in found.items]
                self._leased_by_id = {member.id: member for member in members if member}
                self._refresh()
                backoff.reset()
                async for batch in self._store.watch(self._prefix, found.revision + 1):
                    for item in batch.puts:
                        if member := _decode(item):
                            self._leased_by_id[member.id] = member
                    for key in batch.deletes:
                        self._leased_by_id.pop(key.removeprefix(self._prefix), None)
                    if batch.puts or batch.deletes:
                        self._refresh()
            except StoreError:
                await backoff.wait()

    async def announce_leaving(self) -> None:
        """Announces to the peers and in the store that this instance accepts no new work.

        Raises:
            StoreError: When the store did not answer; the peers have been notified nevertheless.
        """
        self.local_member = replace(self.local_member, leaving=True)
        self.gossip.update_local_state(standing=MemberStatus.LEAVING)
        self._notify_neighbours()
        await self.registration.write()

    async def deregister(self) -> None:
        """Announces that this instance has stopped, and revokes its lease.

        Raises:
            StoreError: When the store did not answer; the lease then expires by itself.
        """
        self.gossip.update_local_state(standing=MemberStatus.DEPARTED)
        await self._notify_neighbours_and_wait()
        await self.registration.revoke()

    async def _notify_neighbours_and_wait(self) -> None:
        """Notifies a few peers and waits for replies, since a departure cannot be sent again."""
        probe = ProbeRequest((self.gossip.local_state,), (), self.marks.digest)
        requests = (
            self._link.request(member.id, probe, ProbeReply, DEPARTURE_TIMEOUT_MS)
            for member in self.live()[: 2 * NEIGHBOUR_COUNT]
        )
        await asyncio.gather(*requests, return_exceptions=True)

    def _notify_neighbours(self) -> None:
        """Sends a few peers this instance's state immediately, without waiting for replies."""
        for member in self.live()[: 2 * NEIGHBOUR_COUNT]:
            self._link.send_notice(
                member.id, ProbeRequest((self.gossip.local_state,), (), self.marks.digest)
            )

    def _on_member_state(self, state: MemberState, known: MemberState | None) -> None:
        """Handles a changed state of another instance."""
        self.prober.on_member_state(state)
        if state.standing is MemberStatus.DEPARTED:
            self.departed_processes.add(state.process)
        self._refresh()

    def _processes_by_id(self) -> dict[str, str]:
        """Returns the process of each other instance that is known or on the roster."""
        processes_by_id = {member.id: member.process for member in self._roster.members}
        processes_by_id.update(
            {member.id: member.process for member in self._leased_by_id.values()}
        )
        processes_by_id.update(
            {member.id: member.process for member in self.members_by_id.values()}
        )
        processes_by_id.pop(self.local_member.id, None)
        return processes_by_id

    def _known_members(self) -> Iterator[Member]:
        """Yields the instances from every source; later entries take precedence."""
        for roster_member in self._roster.members:
            yield Member(
                roster_member.id,
                roster_member.address,
                roster_member.data_centre,
                roster_member.region,
                False,
                roster_member.process,
            )
        yield from self._leased_by_id.values()
        for state in self.gossip.states_by_id.values():
            if state.address and state.standing is not MemberStatus.SUSPECT:
                yield Member(
                    state.id, state.address, state.data_centre, state.region, False, state.process
                )

    def _refresh(self) -> None:
        """Recomputes the table, updates the connections, and logs joined and gone members."""
        before = self.members_by_id
        found: dict[str, Member] = {}
        for member in self._known_members():
            if member.id == self.local_member.id or member.process in self.departed_processes:
                continue
            leaving = member.leaving or self._is_reported_leaving(member)
            found[member.id] = replace(member, leaving=leaving)
        self.members_by_id = {
            member_id: member for member_id, member in found.items() if not self.is_gone(member_id)
        }
        self._connect(found)
        for member_id in self.members_by_id.keys() - before.keys():
            log(MEMBER_JOINED, member=member_id)
        for member_id in before.keys() - self.members_by_id.keys():
            log(MEMBER_GONE, member=member_id)

    def _is_reported_leaving(self, member: Member) -> bool:
        state = self.gossip.states_by_id.get(member.id)
        is_same_process = state is not None and state.process in ("", member.process)
        return is_same_process and state is not None and state.standing >= MemberStatus.LEAVING

    def _connect(self, found: dict[str, Member]) -> None:
        """Connects the link to the found members, and disconnects peers also not on the roster."""
        for member in found.values():
            self._link.connect(member.id, Address.parse(member.address))
        kept = found.keys() | self._roster.ids
        for peer_id in self._link.peer_ids:
            if peer_id not in kept:
                self._link.disconnect(peer_id)


def to_roster_member(member: Member, at_ms: int) -> RosterMember:
    """Returns the roster entry of a member.

    Args:
        member: The member.
        at_ms: The joining time, in ms of calendar time.
    """
    return RosterMember(
        member.id, member.address, member.data_centre, member.region, at_ms, member.process
    )


def _initial_state(member: Member, incarnation: int) -> MemberState:
    """Returns the state that an instance reports of itself when it starts."""
    return MemberState(
        member.id,
        incarnation,
        MemberStatus.ALIVE,
        member.address,
        member.data_centre,
        member.region,
        member.process,
    )


def _decode(item: KeyValue) -> Member | None:
    """Returns a registered member; None if its entry cannot be decoded or has no usable address."""
    try:
        member: Member = decode_json(item.value, Member)
        Address.parse(member.address)
    except ValueError as error:
        log(MEMBER_UNREADABLE, key=item.key, error=str(error)[:MAX_LOGGED_ERROR])
        return None
    return member

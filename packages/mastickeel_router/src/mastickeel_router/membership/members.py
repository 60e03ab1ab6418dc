"""The instances of the fleet, as this one knows them from two paths: leases and probes."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from mastickeel.addresses import Address
from mastickeel.changes import Roster, RosterMember
from mastickeel.errors import StoreError
from mastickeel.events import define
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

    from mastickeel.clock import Clock
    from mastickeel.keyvalue import KeyValueClient
    from mastickeel.peers import PeerLink

DEPARTURE_TIMEOUT_MS = 1_000

MEMBER_JOINED = define(1810, "member_joined", "info", "An instance is in the fleet.")
MEMBER_GONE = define(1811, "member_gone", "warning", "An instance left, or two paths lost it.")


def is_gone_on_two_paths(leased: bool, reachable: bool) -> bool:
    """Says whether a member counts as gone: its lease has lapsed and no peer reaches it."""
    return not leased and not reachable


class Members:
    """What this instance knows of the fleet."""

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
        """Makes the table.

        Args:
            local_member: This instance.
            store: The key-value service.
            prefix: What all keys of this deployment begin with.
            link: Told where each member listens.
            clock: Times renewals and probes.
            rng: Spreads them.
            gone_rule: From whether a member holds a lease and is reachable, whether it is gone.
        """
        self.local_member = local_member
        """This instance."""
        self.members_by_id: dict[str, Member] = {}
        """Every known instance but this one."""
        self.marks = LeavingMarks(clock)
        """What is known of leaving endpoints."""
        self.gossip = GossipTable(_news_of(local_member, clock.wall()))
        """What is believed of instances."""
        self.departed_processes: set[str] = set()
        """Processes that said that they have stopped admitting for good."""
        self.find_gone_by_platform: Callable[[Roster], frozenset[str]] = lambda roster: frozenset()
        """The members that the platform's list says are gone."""
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
            candidates=self._processes,
        )
        """Probes the peers."""
        self.registration = Registration(
            store=store,
            prefix=self._prefix,
            clock=clock,
            rng=rng,
            local_member=lambda: self.local_member,
            fleet_size=lambda: len(self.members_by_id) + 1,
        )
        """Holds this instance's lease."""
        self.marks.on_new_mark = self.gossip.enqueue
        self.gossip.on_change = self._on_belief

    def live(self) -> tuple[Member, ...]:
        """Returns the other instances that take work, in a stable order."""
        members = sorted(self.members_by_id.values(), key=lambda member: member.id)
        unreachable = self.prober.unreachable
        return tuple(one for one in members if not one.leaving and one.id not in unreachable)

    def is_live(self, instance_id: str) -> bool:
        """Says whether an instance is believed to run."""
        if instance_id == self.local_member.id:
            return True
        return instance_id in self.members_by_id and instance_id not in self.prober.unreachable

    def is_gone(self, instance_id: str) -> bool:
        """Says whether an instance may be taken off the roster."""
        if instance_id in self.find_gone_by_platform(self._roster):
            return True
        listed = {one.id: one.process for one in self._roster.members}
        if listed.get(instance_id) in self.departed_processes:
            return True
        reachable = instance_id not in self.prober.unreachable
        return self._gone_rule(instance_id in self._leased_by_id, reachable)

    def is_leaving(self, endpoint_id: str) -> bool:
        """Says whether an endpoint is known to be leaving, from any source."""
        return self.marks.is_leaving(endpoint_id)

    def set_leaving(self, listed_id: str, leaving: bool) -> None:
        """Takes a leaving mark of an endpoint or instance and tells it on.

        Args:
            listed_id: The endpoint or instance.
            leaving: Whether it is leaving; False takes the mark of an endpoint back.
        """
        processes = {**self._processes(), self.local_member.id: self.local_member.process}
        if listed_id in processes:
            if leaving:
                news = MemberState(listed_id, 0, MemberStatus.LEAVING, process=processes[listed_id])
                self.gossip.merge(news)
            return
        self.marks.set_leaving(listed_id, leaving)

    def registered(self) -> tuple[RosterMember, ...]:
        """Returns the instances that hold a lease now, as they go on the roster."""
        now = self._clock.wall()
        leased = [
            one for one in self._leased_by_id.values() if one.process not in self.departed_processes
        ]
        return tuple(to_roster_member(one, now) for one in leased if not one.leaving)

    def set_roster(self, roster: Roster) -> None:
        """Takes the roster in force: its members stay known while their leases lapse."""
        self._roster = roster
        self._refresh()

    async def run_registration(self) -> None:
        """Holds this instance's key under a lease, for as long as it runs."""
        await self.registration.run()

    async def run_probes(self) -> None:
        """Probes peers and looks who is gone, for as long as it runs."""
        await self.prober.run(self._refresh)

    async def run_watch(self) -> None:
        """Follows the other instances' keys, for as long as it runs."""
        backoff = Backoff(self._clock, self._rng)
        while True:
            try:
                found = await self._store.range(self._prefix, prefix=True)
                members = [_decode(item.value) for item in found.items]
                self._leased_by_id = {member.id: member for member in members}
                self._refresh()
                backoff.reset()
                async for batch in self._store.watch(self._prefix, found.revision + 1):
                    for item in batch.puts:
                        member = _decode(item.value)
                        self._leased_by_id[member.id] = member
                    for key in batch.deletes:
                        self._leased_by_id.pop(key.removeprefix(self._prefix), None)
                    if batch.puts or batch.deletes:
                        self._refresh()
            except StoreError:
                await backoff.wait()

    async def announce_leaving(self) -> None:
        """Tells the others that this instance takes no new work.

        Raises:
            StoreError: When the store did not answer; the peers have been told all the same.
        """
        self.local_member = replace(self.local_member, leaving=True)
        self.gossip.update_local_state(standing=MemberStatus.LEAVING)
        self._tell_neighbours()
        await self.registration.write()

    async def deregister(self) -> None:
        """Says that this instance has stopped, and ends its lease.

        Raises:
            StoreError: When the store did not answer; the lease lapses by itself.
        """
        self.gossip.update_local_state(standing=MemberStatus.DEPARTED)
        await self._inform_neighbours()
        await self.registration.revoke()

    async def _inform_neighbours(self) -> None:
        """Tells a few peers, and waits until they have it: a departure cannot be told again."""
        told = ProbeRequest((self.gossip.local_state,), (), self.marks.digest)
        asks = (
            self._link.ask(member.id, told, ProbeReply, DEPARTURE_TIMEOUT_MS)
            for member in self.live()[: 2 * NEIGHBOUR_COUNT]
        )
        await asyncio.gather(*asks, return_exceptions=True)

    def _tell_neighbours(self) -> None:
        """Tells a few peers at once, without waiting for the next probes."""
        for member in self.live()[: 2 * NEIGHBOUR_COUNT]:
            self._link.tell(
                member.id, ProbeRequest((self.gossip.local_state,), (), self.marks.digest)
            )

    def _on_belief(self, news: MemberState, known: MemberState | None) -> None:
        """Takes what peers say of an instance."""
        self.prober.on_member_state(news)
        if news.standing is MemberStatus.DEPARTED:
            self.departed_processes.add(news.process)
        self._refresh()

    def _processes(self) -> dict[str, str]:
        """Returns the process of each instance that is known or on the roster."""
        processes = {one.id: one.process for one in self._roster.members}
        processes.update({one.id: one.process for one in self._leased_by_id.values()})
        processes.update({one.id: one.process for one in self.members_by_id.values()})
        processes.pop(self.local_member.id, None)
        return processes

    def _known(self) -> Iterator[Member]:
        """Yields the instances from every source; later ones know better."""
        for listed in self._roster.members:
            yield Member(
                listed.id, listed.address, listed.data_centre, listed.region, False, listed.process
            )
        yield from self._leased_by_id.values()
        for news in self.gossip.states_by_id.values():
            if news.address and news.standing is not MemberStatus.SUSPECT:
                yield Member(
                    news.id, news.address, news.data_centre, news.region, False, news.process
                )

    def _refresh(self) -> None:
        """Works out the table anew, and logs what changed."""
        before = self.members_by_id
        found: dict[str, Member] = {}
        for member in self._known():
            if member.id == self.local_member.id or member.process in self.departed_processes:
                continue
            leaving = member.leaving or self._is_told_leaving(member)
            found[member.id] = replace(member, leaving=leaving)
        self.members_by_id = {one: member for one, member in found.items() if not self.is_gone(one)}
        self._connect(found)
        for one in self.members_by_id.keys() - before.keys():
            log(MEMBER_JOINED, member=one)
        for one in before.keys() - self.members_by_id.keys():
            log(MEMBER_GONE, member=one)

    def _is_told_leaving(self, member: Member) -> bool:
        news = self.gossip.states_by_id.get(member.id)
        same = news is not None and news.process in ("", member.process)
        return same and news is not None and news.standing >= MemberStatus.LEAVING

    def _connect(self, found: dict[str, Member]) -> None:
        """Lets the link know where members listen; those on the roster stay known to it."""
        for member in found.values():
            self._link.connect(member.id, Address.parse(member.address))
        kept = found.keys() | self._roster.ids
        for peer_id in self._link.peer_ids:
            if peer_id not in kept:
                self._link.disconnect(peer_id)


def to_roster_member(member: Member, at_ms: int) -> RosterMember:
    """Returns a member as it goes on the roster."""
    return RosterMember(
        member.id, member.address, member.data_centre, member.region, at_ms, member.process
    )


def _news_of(member: Member, incarnation: int) -> MemberState:
    """Returns what an instance says of itself when it starts."""
    return MemberState(
        member.id,
        incarnation,
        MemberStatus.ALIVE,
        member.address,
        member.data_centre,
        member.region,
        member.process,
    )


def _decode(data: bytes) -> Member:
    return msgspec.json.decode(data, type=Member)

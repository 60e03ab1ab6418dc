"""Store clients and peer links of a few instances over loopback, without the rest of a router."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mastickeel.addresses import Address
from mastickeel.clock import Clock
from mastickeel.httpclient import HttpClient
from mastickeel.keyvalue import KeyValueClient
from mastickeel.metrics import Metrics
from mastickeel.peers import PeerLink
from mastickeel_router.membership import Member
from mastickeel_standins.keyvalue import KeyValueStandin

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel_router.membership import Members

CALLS_PER_SECOND = 100_000.0


class KnownMembers:
    """The fleet as one instance knows it, set by a test."""

    def __init__(self, local_member: Member) -> None:
        self.local_member = local_member
        self.members_by_id: dict[str, Member] = {}

    def live(self) -> tuple[Member, ...]:
        """Returns the other members that accept work."""
        members = sorted(self.members_by_id.values(), key=lambda member: member.id)
        return tuple(member for member in members if not member.leaving)


@dataclass
class Node:
    """One instance with its members, link and store client."""

    members: KnownMembers
    link: PeerLink
    store: KeyValueClient
    http: HttpClient
    metrics: Metrics = field(default_factory=Metrics)
    is_dead: bool = False

    @property
    def id(self) -> str:
        """The instance's id."""
        return self.members.local_member.id

    def get_members(self) -> Members:
        """Returns the members, for parts that take a function for them."""
        return self.members  # type: ignore[return-value]


@dataclass
class Nodes:
    """Instances that know each other and share one key-value service."""

    clock: Clock = field(default_factory=Clock)
    store: KeyValueStandin = field(default_factory=KeyValueStandin)
    nodes_by_id: dict[str, Node] = field(default_factory=dict)
    partitioned_ids: set[str] = field(default_factory=set)
    """Instances whose messages to and from others are lost."""

    async def start(self, count: int, data_centres: int = 3) -> None:
        """Starts the service and the instances, and adds each instance to all others as a peer."""
        await self.store.start()
        self.store.faults.cut_for = lambda agent: agent in self.store_partitioned_ids
        for number in range(count):
            await self._start_node(f"node-{number}", f"dc-{number % data_centres}")
        for node in self.nodes_by_id.values():
            for other in self.nodes_by_id.values():
                if other is not node:
                    self.add_peer(node, other)

    store_partitioned_ids: set[str] = field(default_factory=set)
    """Instances that get no answer from the service."""

    def add_peer(self, node: Node, other: Node) -> None:
        """Adds another instance to an instance's members and link."""
        node.members.members_by_id[other.id] = other.members.local_member
        node.link.connect(other.id, Address("127.0.0.1", other.link.port))

    async def kill(self, node: Node, remove_from_peers: bool = True) -> None:
        """Closes an instance's connections and, if asked, removes it from the others' members."""
        node.is_dead = True
        await node.link.close()
        await node.http.close()
        if remove_from_peers:
            for other in self.nodes_by_id.values():
                other.members.members_by_id.pop(node.id, None)

    async def stop(self) -> None:
        """Stops all instances and the service."""
        for node in self.nodes_by_id.values():
            if not node.is_dead:
                await node.link.close()
                await node.http.close()
        with contextlib.suppress(Exception):
            await self.store.stop()

    async def _start_node(self, node_id: str, data_centre: str) -> None:
        metrics = Metrics()
        http = HttpClient(self.clock)
        address = Address("127.0.0.1", self.store.port)
        store = KeyValueClient(
            http,
            [address],
            clock=self.clock,
            timeout_ms=500,
            calls_per_second=CALLS_PER_SECOND,
            name=node_id,
        )
        link = PeerLink(node_id, clock=self.clock, metrics=metrics)
        link.allow = self._make_message_filter()
        await link.bind(Address("127.0.0.1", 0))
        member = Member(node_id, f"127.0.0.1:{link.port}", data_centre, "region-1")
        self.nodes_by_id[node_id] = Node(KnownMembers(member), link, store, http, metrics)

    def _make_message_filter(self) -> Callable[[str, str], bool]:
        return lambda sender, receiver: not self.partitioned_ids & {sender, receiver}

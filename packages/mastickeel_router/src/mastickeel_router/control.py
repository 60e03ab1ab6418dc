"""The control plane of an instance: configuration and membership."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.addresses import Address
from mastickeel.errors import MastickeelError, NotFoundError
from mastickeel.tasks import TaskGroup
from mastickeel_router.configuration import (
    AbsentMembers,
    AuditReader,
    ConfigurationPeers,
    ConfigurationState,
    ConfigurationWatcher,
    ConfigurationWriter,
    FreshnessRenewal,
    Proposer,
    RosterReconciler,
    RosterReplacement,
    SnapshotWriter,
    StageRecovery,
)
from mastickeel_router.duties import Duty
from mastickeel_router.membership import (
    Member,
    Members,
    PlatformList,
    is_gone_on_two_paths,
    to_roster_member,
)
from mastickeel_router.tables import Table

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel.httpclient import HttpClient
    from mastickeel.keyvalue import KeyValueClient
    from mastickeel.peers import PeerLink

PROCESS_ID_BITS = 64
LEAVE_TIMEOUT_MS = 5_000


@dataclass(frozen=True)
class InstanceIdentity:
    """Id and location of an instance."""

    id: str
    data_centre: str
    region: str


class ControlPlane:
    """The control plane of one instance: configuration, freshness, roster and membership."""

    def __init__(
        self,
        identity: InstanceIdentity,
        *,
        store: KeyValueClient,
        prefix: str,
        link: PeerLink,
        clock: Clock,
        rng: random.Random,
        gone_rule: Callable[[bool, bool], bool] = is_gone_on_two_paths,
    ) -> None:
        """Creates the control plane, which does nothing until ``start``.

        Args:
            identity: This instance.
            store: The key-value service.
            prefix: Prefix of all keys of this deployment.
            link: Link to the other instances; must be bound before ``start``.
            clock: Times leases, probes and timeouts.
            rng: Source of random numbers.
            gone_rule: Returns whether a member is gone, given whether the member holds a lease and
                whether it is reachable.
        """
        self.identity = identity
        """Id and location of this instance."""
        self.tasks = TaskGroup()
        """The background tasks of the control plane."""
        self.on_local_leaving: list[Callable[[], None]] = []
        """Called when the platform lists this instance as leaving."""
        self._store = store
        self._prefix = prefix
        self._link = link
        self._clock = clock
        self._rng = rng
        self._gone_rule = gone_rule
        process = f"{rng.getrandbits(PROCESS_ID_BITS):016x}"
        self.configuration = ConfigurationState(store, prefix, clock, identity.id, process)
        """The configuration in force on this instance."""
        self._peers = ConfigurationPeers(self.configuration, link)
        self.proposer = Proposer(
            self.configuration,
            self._peers,
            store=store,
            prefix=prefix,
            clock=clock,
            absent_members=self._absent_members,
        )
        """Stages proposals and decides them with the roster's acknowledgements."""
        self.writer = ConfigurationWriter(self.proposer, clock)
        """Commits configuration changes."""
        self.roster_replacement = RosterReplacement(self.configuration, store, prefix, clock)
        """Replaces the roster without its acknowledgement, as an operator's last resort."""
        self.audit = AuditReader(store, prefix)
        """Reads the audit records that instances no longer hold in memory."""
        self.members: Members
        """The other instances; set by ``start``."""
        self.roster_reconciler: RosterReconciler
        """Keeps the roster in line with the membership; set by ``start``."""
        self.freshness_renewal: FreshnessRenewal
        """Renews the proof that the configuration is current; set by ``start``."""

    async def start(
        self, host: str, client: HttpClient, platform_list_address: Address | None = None
    ) -> None:
        """Loads the configuration and joins the fleet.

        Args:
            host: IP address at which peers reach this instance.
            client: HTTP client for the platform's list.
            platform_list_address: Address of the platform's list; None if there is none.
        """
        self._make_membership(str(Address(host, self._link.port)))
        self._make_background_loops()
        loops: list[tuple[str, Callable[[], object]]] = [
            ("configuration", self._watcher.run),
            ("members", self.members.run_watch),
            ("registration", self.members.run_registration),
            ("probes", self.members.run_probes),
            ("roster", self.roster_reconciler.run),
            ("store proofs", self.freshness_renewal.run_store_reads),
            ("peer proofs", self.freshness_renewal.run_peer_renewal),
            ("stage recovery", self._recovery.run),
            ("snapshots", self._snapshots.run),
        ]
        if platform_list_address:
            platform_list = self._make_platform_list(platform_list_address, client)
            self.members.find_gone_by_platform = platform_list.find_gone
            loops.append(("platform list", platform_list.run))
        for name, work in loops:
            self.tasks.start_supervised(self._clock, name, work)  # type: ignore[arg-type]
        await self.configuration.loaded.wait()
        await self.roster_reconciler.joined.wait()

    def apply_listed_state(self, listed_id: str, leaving: bool) -> None:
        """Applies the platform list's state of an endpoint or instance, this instance included.

        Args:
            listed_id: The endpoint or instance.
            leaving: Whether the list has it as leaving.
        """
        self.members.set_leaving(listed_id, leaving)
        if leaving and listed_id == self.identity.id:
            for callback in self.on_local_leaving:
                callback()

    async def leave_fleet(self) -> None:
        """Stops admission and leaves the roster and the registry.

        Errors and timeouts are ignored: the other instances detect the departure themselves.
        """
        self.configuration.stopped = True
        with contextlib.suppress(MastickeelError, TimeoutError):
            if self.roster_reconciler.joined.is_set() and self.freshness_renewal.is_store_reachable:
                await self._clock.wait_for(self.roster_reconciler.leave(), LEAVE_TIMEOUT_MS)
        with contextlib.suppress(MastickeelError, TimeoutError):
            await self._clock.wait_for(self.members.deregister(), LEAVE_TIMEOUT_MS)
        await asyncio.sleep(0)

    async def stop(self) -> None:
        """Stops the background tasks without notifying the fleet."""
        self.configuration.stopped = True
        await self.tasks.stop()

    async def roster_table(self) -> Table:
        """Returns the roster members, whose acknowledgement a change needs, with their health."""
        roster_members = self.configuration.head_state.roster.members
        rows = tuple(
            (
                member.id,
                member.data_centre,
                member.address,
                self._clock.wall() - member.joined_ms,
                self.members.is_live(member.id),
                self.members.is_gone(member.id),
            )
            for member in roster_members
        )
        return Table(("id", "data_centre", "address", "member_for_ms", "live", "gone"), rows)

    async def replace_roster(self, instance_ids: str, author: str) -> str:
        """Replaces the roster by instances that hold a lease now; an operator's last resort.

        Args:
            instance_ids: Ids of the new members, separated by commas.
            author: The operator, for the audit.

        Returns:
            A summary of the new roster.

        Raises:
            NotFoundError: When one of the instances holds no lease.
            ChangeConflictError: When the configuration changed meanwhile.
            StoreError: When the store did not answer.
        """
        members_by_id = {member.id: member for member in self.members.registered()}
        ids = [item.strip() for item in instance_ids.split(",")]
        if unknown := [member_id for member_id in ids if member_id not in members_by_id]:
            raise NotFoundError(f"No lease is held by {', '.join(unknown)}.")
        roster = await self.roster_replacement.replace_roster(
            [members_by_id[member_id] for member_id in ids], author
        )
        return f"The roster is {', '.join(sorted(roster.ids))}."

    def _absent_members(self) -> AbsentMembers:
        """Returns the members whose acknowledgement is not needed."""
        gone = self.members.find_gone_by_platform(self.configuration.head_state.roster)
        return AbsentMembers(gone, frozenset(self.members.departed_processes))

    def _make_membership(self, address: str) -> None:
        """Creates the members and the roster reconciler, which need this instance's address."""
        identity, state = self.identity, self.configuration
        state.address = address
        local_member = Member(
            identity.id, address, identity.data_centre, identity.region, process=state.process
        )
        self.members = Members(
            local_member,
            store=self._store,
            prefix=self._prefix,
            link=self._link,
            clock=self._clock,
            rng=self._rng,
            gone_rule=self._gone_rule,
        )
        state.listeners.append(lambda head: self.members.set_roster(head.roster))
        self.roster_reconciler = RosterReconciler(
            state,
            self.proposer,
            local_member=to_roster_member(local_member, self._clock.wall()),
            clock=self._clock,
            rng=self._rng,
            registered=self.members.registered,
            is_gone=self.members.is_gone,
            is_live=self.members.is_live,
            absent_members=self._absent_members,
        )

    def _make_background_loops(self) -> None:
        """Creates the parts that only run in the background."""
        state, clock, rng = self.configuration, self._clock, self._rng
        is_live = self.members.is_live
        self._watcher = ConfigurationWatcher(
            state, store=self._store, prefix=self._prefix, clock=clock, rng=rng
        )
        self.freshness_renewal = FreshnessRenewal(
            state, self._peers, link=self._link, clock=clock, rng=rng, is_live=is_live
        )
        self._recovery = StageRecovery(state, self.proposer, clock=clock, is_live=is_live)
        duty = Duty(
            "snapshots",
            instance_id=self.identity.id,
            store=self._store,
            prefix=self._prefix,
            clock=clock,
            is_candidate=self.roster_reconciler.is_first_ranked,
        )
        self._snapshots = SnapshotWriter(
            state, store=self._store, prefix=self._prefix, clock=clock, duty=duty
        )

    def _make_platform_list(self, address: Address, client: HttpClient) -> PlatformList:
        return PlatformList(
            address,
            client=client,
            clock=self._clock,
            rng=self._rng,
            fleet_size=lambda: len(self.members.members_by_id) + 1,
            on_state=self.apply_listed_state,
        )

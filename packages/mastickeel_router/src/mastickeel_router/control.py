"""The control part of an instance: configuration and membership put together."""

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
    """Who an instance is and where it stands."""

    id: str
    data_centre: str
    region: str


class ControlPlane:
    """Configuration, freshness, roster and membership of one instance."""

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
        """Makes the parts, which do nothing until ``start``.

        Args:
            identity: Who this instance is.
            store: The key-value service.
            prefix: What all keys of this deployment begin with.
            link: To the other instances; bound before ``start``.
            clock: Times everything.
            rng: Random numbers.
            gone_rule: From whether a member holds a lease and is reachable, whether it is gone.
        """
        self.identity = identity
        """Who this instance is."""
        self.tasks = TaskGroup()
        """The background tasks of the control part."""
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
        """What is in force here."""
        self._peers = ConfigurationPeers(self.configuration, link)
        self.proposer = Proposer(
            self.configuration,
            self._peers,
            store=store,
            prefix=prefix,
            clock=clock,
            absent_members=self._absent_members,
        )
        """Takes proposals from stage to decision."""
        self.writer = ConfigurationWriter(self.proposer, clock)
        """Makes changes."""
        self.roster_replacement = RosterReplacement(self.configuration, store, prefix, clock)
        """The operator's last resort."""
        self.audit = AuditReader(store, prefix)
        """What the instances no longer hold in memory."""
        self.members: Members
        """The other instances; there from ``start`` on."""
        self.roster_reconciler: RosterReconciler
        """Keeps the roster; there from ``start`` on."""
        self.freshness_renewal: FreshnessRenewal
        """Keeps the proof of freshness young; there from ``start`` on."""

    async def start(
        self, host: str, client: HttpClient, platform_list_address: Address | None = None
    ) -> None:
        """Loads the configuration and joins the fleet.

        Args:
            host: The IP number that peers reach this instance by.
            client: Fetches the platform's list.
            platform_list_address: Where that list is, if there is one.
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
        """Takes what the platform's list says of an endpoint or instance, this one included.

        Args:
            listed_id: The endpoint or instance.
            leaving: Whether it is listed as leaving.
        """
        self.members.set_leaving(listed_id, leaving)
        if leaving and listed_id == self.identity.id:
            for callback in self.on_local_leaving:
                callback()

    async def leave_fleet(self) -> None:
        """Stops admitting, and tells the fleet; where that fails, the others find out."""
        self.configuration.stopped = True
        with contextlib.suppress(MastickeelError, TimeoutError):
            if self.roster_reconciler.joined.is_set() and self.freshness_renewal.is_store_reachable:
                await self._clock.wait_for(self.roster_reconciler.leave(), LEAVE_TIMEOUT_MS)
        with contextlib.suppress(MastickeelError, TimeoutError):
            await self._clock.wait_for(self.members.deregister(), LEAVE_TIMEOUT_MS)
        await asyncio.sleep(0)

    async def stop(self) -> None:
        """Ends the background tasks, without a word to anyone."""
        self.configuration.stopped = True
        await self.tasks.stop()

    async def roster_table(self) -> Table:
        """Returns whose acknowledgement a change needs, and how each is doing."""
        roster_members = self.configuration.head_state.roster.members
        rows = tuple(
            (
                one.id,
                one.data_centre,
                one.address,
                self._clock.wall() - one.joined_ms,
                self.members.is_live(one.id),
                self.members.is_gone(one.id),
            )
            for one in roster_members
        )
        return Table(("id", "data_centre", "address", "member_for_ms", "live", "gone"), rows)

    async def replace_roster(self, instance_ids: str, author: str) -> str:
        """Replaces the roster by instances that hold a lease now; an operator's last resort.

        Args:
            instance_ids: Their ids, with commas between them.
            author: The operator, for the audit.

        Returns:
            What was done.

        Raises:
            NotFoundError: When one of them holds no lease.
            ChangeConflictError: When the configuration moved on meanwhile.
            StoreError: When the store did not answer.
        """
        registered = {one.id: one for one in self.members.registered()}
        ids = [one.strip() for one in instance_ids.split(",")]
        if unknown := [one for one in ids if one not in registered]:
            raise NotFoundError(f"No lease is held by {', '.join(unknown)}.")
        roster = await self.roster_replacement.replace_roster(
            [registered[one] for one in ids], author
        )
        return f"The roster is {', '.join(sorted(roster.ids))}."

    def _absent_members(self) -> AbsentMembers:
        """Returns who need not acknowledge."""
        gone = self.members.find_gone_by_platform(self.configuration.head_state.roster)
        return AbsentMembers(gone, frozenset(self.members.departed_processes))

    def _make_membership(self, address: str) -> None:
        """Makes what needs this instance's own address."""
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
        state.listeners.append(lambda standing: self.members.set_roster(standing.roster))
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
        """Makes what runs in the background."""
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

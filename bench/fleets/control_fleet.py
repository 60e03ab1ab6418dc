"""The control parts of a fleet in one process, on a fake clock, with every fault at hand."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.addresses import Address
from mastickeel.clock import FakeClock
from mastickeel.errors import UnavailableError
from mastickeel.httpclient import HttpClient
from mastickeel.metrics import Metrics
from mastickeel.model import Account, Delta, Version, VersionState
from mastickeel_router.control import ControlPlane, InstanceIdentity
from mastickeel_router.membership import is_gone_on_two_paths
from mastickeel_standins.direct import DirectLink, DirectNetwork, DirectStore, PausableClock
from mastickeel_standins.keyvalue import KeyValueStandin

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

PREFIX = "/mastickeel"
DATA_CENTRES = 3
STEP_MS = 50
VERSIONS = ("small@1", "small@2", "large@1")


@dataclass
class Node:
    """One instance."""

    control: ControlPlane
    clock: PausableClock
    link: DirectLink
    store: DirectStore
    started: asyncio.Future[None]


class ControlFleet:
    """What a test or history steers and looks at."""

    def __init__(
        self, seed: int = 1, judge: Callable[[bool, bool], bool] = is_gone_on_two_paths
    ) -> None:
        """Makes an empty fleet.

        Args:
            seed: Draws latencies and everything random in the instances.
            judge: From whether a member holds a lease and is reachable, whether it is gone.
        """
        self._judge = judge
        asyncio.get_running_loop().set_debug(False)
        self.draw = random.Random(seed)
        """The random numbers of the run."""
        self.clock = FakeClock()
        """Moves only by ``advance``."""
        self.store = KeyValueStandin(self.clock)
        """The key-value service; its faults are at ``store.faults``."""
        self.network = DirectNetwork(self.clock, self.draw, lambda: self.draw.uniform(0.5, 3.0))
        """The links between instances; its cuts are at ``network.allow``."""
        self.nodes_by_id: dict[str, Node] = {}
        """The instances that run or are paused."""
        self.crashed: list[Node] = []
        """The instances that were killed."""

    async def add(self, instance_id: str, *, wait: bool = True, port: int = 0) -> Node:
        """Starts an instance.

        Args:
            instance_id: Its id; its data centre follows from the number in it.
            wait: Whether to move the clock until it has joined.
            port: Where it listens for peers; 0 for a new place.
        """
        clock = PausableClock(self.clock)
        link = DirectLink(instance_id, self.network, clock=clock, metrics=Metrics())
        await link.bind(Address("127.0.0.1", port))
        store = DirectStore(
            self.store,
            clock=clock,
            name=instance_id,
            latency_ms=lambda: self.draw.uniform(0.5, 2.0),
        )
        number = int(instance_id.rpartition("-")[2])
        place = InstanceIdentity(instance_id, f"dc-{number % DATA_CENTRES}", "region-1")
        draw = random.Random(self.draw.getrandbits(32))
        control = ControlPlane(
            place,
            store=store,
            prefix=PREFIX,
            link=link,
            clock=clock,
            rng=draw,
            gone_rule=self._judge,
        )
        starting = asyncio.ensure_future(control.start("127.0.0.1", HttpClient(clock)))
        node = Node(control, clock, link, store, starting)
        self.nodes_by_id[instance_id] = node
        if wait:
            await self.until(starting)
        return node

    async def start(self, size: int, delta: Delta | None = None) -> None:
        """Starts instances ``i-1`` and so on, and makes a first change."""
        for number in range(1, size + 1):
            await self.add(f"i-{number}")
        await self.advance(1_000)
        await self.commit("i-1", delta or first_delta(), base=0)
        await self.advance(300)

    async def commit(self, instance_id: str, delta: Delta, *, base: int, text: str = "") -> int:
        """Makes a change through an instance, moving the clock until it is decided."""
        revision: int = await self.until(self.committing(instance_id, delta, base=base, text=text))
        return revision

    async def committing(self, instance_id: str, delta: Delta, *, base: int, text: str = "") -> int:
        """Makes a change through an instance; returns its revision."""
        writer = self.nodes_by_id[instance_id].control.writer
        change = await writer.commit(delta, base=base, author="operator", text=text)
        return change.revision

    async def until(self, work: Coroutine[Any, Any, Any] | asyncio.Future[Any]) -> Any:
        """Moves the clock until something is done, and returns its result."""
        task = asyncio.ensure_future(work)
        for _ in range(2_000):
            if task.done():
                break
            await self.advance(STEP_MS)
        return task.result()

    async def advance(self, milliseconds: int) -> None:
        """Moves the clock."""
        await self.clock.advance(milliseconds)

    async def kill(self, instance_id: str) -> None:
        """Ends an instance without a word, as a crash does."""
        node = self.nodes_by_id.pop(instance_id)
        node.started.cancel()
        node.store.closed = True
        node.clock.resume()
        await node.control.stop()
        await node.link.close()
        self.crashed.append(node)

    async def leave(self, instance_id: str) -> None:
        """Ends an instance as a graceful stop does."""
        node = self.nodes_by_id.pop(instance_id)
        await self.until(node.control.leave_fleet())
        await self.advance(STEP_MS)
        node.store.closed = True
        await node.control.stop()
        await node.link.close()

    async def stop(self) -> None:
        """Ends everything."""
        for instance_id in list(self.nodes_by_id):
            await self.kill(instance_id)
        self.network.close()
        self.store.leases.stop()

    def admits(self, instance_id: str, version_id: str, account_id: str = "town") -> bool | None:
        """Says whether an instance would send work to a version now; None while it is paused."""
        node = self.nodes_by_id[instance_id]
        if node.clock.paused:
            return None
        try:
            return node.control.configuration.fresh_view().allows(account_id, version_id)
        except UnavailableError:
            return False

    def is_fresh(self, instance_id: str) -> bool:
        """Says whether an instance would admit anything now."""
        try:
            self.nodes_by_id[instance_id].control.configuration.fresh_view()
        except UnavailableError:
            return False
        return True

    def revisions(self) -> dict[str, int]:
        """Returns the revision in force on each instance."""
        return {one: node.control.configuration.revision for one, node in self.nodes_by_id.items()}

    def cut_store(self, *instance_ids: str) -> None:
        """Cuts instances from the store; without any, ends the cut."""
        cut = set(instance_ids)
        self.store.faults.cut_for = cut.__contains__ if cut else None

    def cut_peers(self, *instance_ids: str) -> None:
        """Cuts instances from all others; without any, ends the cut."""
        cut = set(instance_ids)
        self.network.allow = lambda sender, receiver: (sender in cut) == (receiver in cut)


def first_delta() -> Delta:
    """Returns one account that may use three versions."""
    versions = tuple(Version(one, one.partition("@")[0], "pool") for one in VERSIONS)
    return Delta(accounts=(Account("town", allowed=VERSIONS),), versions=versions)


def withdraw(version_id: str) -> Delta:
    """Returns the withdrawal of a version."""
    model = version_id.partition("@")[0]
    return Delta(versions=(Version(version_id, model, "pool", VersionState.WITHDRAWN),))


def restore(version_id: str) -> Delta:
    """Returns the end of a withdrawal."""
    return Delta(versions=(Version(version_id, version_id.partition("@")[0], "pool"),))

"""Fleets of instances that follow a store, in memory, on a faked clock and a simulated network.

``python -m tests.mastickeel_router.storeview.simulation`` measures fleets of several sizes.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel._kvtypes import KeyValue, RangeResult, WatchBatch
from mastickeel.addresses import Address
from mastickeel.clock import Clock, FakeClock
from mastickeel.errors import StoreEraChangedError, StoreUnavailableError
from mastickeel.peermessages import encode_content
from mastickeel.peers import Envelope, PeerTimeoutError
from mastickeel.storeera import StoreEra
from mastickeel.tasks import TaskGroup
from mastickeel_router.discovery import EndpointRecord, EndpointRegistry
from mastickeel_router.discovery.feeds import WatchHandler, combine_handlers
from mastickeel_router.storeview import FleetAccess, Member, StoreKnowledge
from tests.mastickeel_router.storeview.configurations import ROUTES, encode, make_routes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Sequence

LATENCY_MS = 4
LINK_MS = 2
ANSWER_ITEM_BYTES = 150
"""Bytes of an item in the store's answers beside its value."""
WATCH_WAIT_MS = 2_000
WATCH_TIMEOUT_MS = 2_400
CALL_TIMEOUT_MS = 1_500
MEMBERS_PREFIX = "instances/"
ENDPOINTS_PREFIX = "endpoints/"
SERVICE = "register"
CHANGE_KEY = "routes/all"
START_MS = 5_000
IDLE_MS = 20_000
CHANGES = 5
SIZES = (
    ((3, 3, 3), 2_000),
    ((20, 19, 19), 3_000),
    ((39, 39, 39, 39, 39), 4_000),
    ((88, 88, 87, 87), 4_000),
)
"""Instances in each data centre, and the time within which a change has to be in force."""

LARGE_SIZES = (((3, 3, 3), 2_000), ((27, 25, 25), 3_000), ((88, 88, 87, 87), 4_000))
LINK_MBPS = (100.0, 5.0, 10.0, 5.0, 20.0, 5.0)
"""Bandwidths of the links of a fleet on small machines."""
SETTLE_MS = 5_000


@dataclass
class Access:
    """How the store serves one instance."""

    silent: bool = False
    """Whether calls are left unanswered, also those that wait."""
    watches_silent: bool = False
    refuses: bool = False


class SharedStore:
    """Contents of the store."""

    def __init__(self) -> None:
        self.revision = 10
        self.era = 1
        self.items_by_key: dict[str, KeyValue] = {}
        self.history: list[tuple[int, str, KeyValue | None]] = []
        self._changed: list[asyncio.Future[None]] = []

    def put(self, key: str, value: bytes) -> int:
        self.revision += 1
        created = self.items_by_key[key].create_revision if key in self.items_by_key else 0
        item = KeyValue(key, value, self.revision, created or self.revision, 0)
        self.items_by_key[key] = item
        self._record(key, item)
        return self.revision

    def delete(self, key: str) -> None:
        self.revision += 1
        del self.items_by_key[key]
        self._record(key, None)

    def restore(self, items_by_key: dict[str, KeyValue], revision: int) -> None:
        """Comes back from an older copy; revisions are given out again."""
        self.items_by_key, self.revision = dict(items_by_key), revision
        self.history = [change for change in self.history if change[0] <= revision]
        self.era += 1
        self._wake_watches()

    def changes_after(self, revision: int) -> list[tuple[int, str, KeyValue | None]]:
        count = 0
        for change in reversed(self.history):
            if change[0] <= revision:
                break
            count += 1
        return self.history[len(self.history) - count :]

    def next_change(self) -> asyncio.Future[None]:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._changed.append(future)
        return future

    def _record(self, key: str, item: KeyValue | None) -> None:
        self.history.append((self.revision, key, item))
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, []
        for future in changed:
            if not future.done():
                future.set_result(None)


class FrozenClock(Clock):
    """Clock of an instance that may be frozen: its sleeps end only once it has thawed."""

    def __init__(self, clock: FakeClock) -> None:
        self._clock = clock
        self.running = asyncio.Event()
        self.running.set()

    def now(self) -> int:
        return self._clock.now()

    def wall(self) -> int:
        return self._clock.wall()

    async def sleep(self, milliseconds: float) -> None:
        await self._clock.sleep(milliseconds)
        await self.running.wait()


class StoreClient:
    """One instance's client of the store; counts the calls."""

    def __init__(self, shared: SharedStore, clock: FrozenClock, world: FakeClock) -> None:
        self.era = StoreEra()
        self.access = Access()
        self.calls: Counter[str] = Counter()
        self.is_receiving = False
        self.downlink = Wire(world)
        """Carries the answers; replaced by that of the instance's link."""
        self._shared = shared
        self._clock = clock
        self._world = world
        self._cut = asyncio.Event()

    def cut_watch(self) -> None:
        """Cuts the watch that waits, as the store may do at any time."""
        self._cut.set()

    async def range(self, key: str, *, prefix: bool = False) -> RangeResult:
        async def read() -> RangeResult:
            return RangeResult(tuple(self._shared.items_by_key.values()), self._shared.revision)

        return await self._call("range", read, CALL_TIMEOUT_MS)

    async def watch(
        self, prefix: str, revision: int, *, probe_timeout_ms: int | None = None
    ) -> AsyncIterator[WatchBatch]:
        after, era = revision - 1, self.era.number

        async def wait(wait_ms: int) -> tuple[list[Any], int]:
            if wait_ms and self._shared.revision <= after:
                timer = asyncio.ensure_future(self._world.sleep(wait_ms))
                self._cut = asyncio.Event()
                cut = asyncio.ensure_future(self._cut.wait())
                await asyncio.wait(
                    [timer, cut, self._shared.next_change()], return_when=asyncio.FIRST_COMPLETED
                )
                timer.cancel()
                cut.cancel()
                if self._cut.is_set():
                    raise StoreUnavailableError("the watch was cut")
            return self._shared.changes_after(after), self._shared.revision

        wait_ms, timeout_ms = WATCH_WAIT_MS, float(WATCH_TIMEOUT_MS)
        if probe_timeout_ms is not None:
            wait_ms, timeout_ms = 0, float(min(probe_timeout_ms, CALL_TIMEOUT_MS))
        while True:
            changes, until = await self._call(
                "watch", lambda wait_ms=wait_ms: wait(wait_ms), timeout_ms
            )
            if self.era.number != era:
                raise StoreEraChangedError(f"The watch began in era {era}.")
            for number, key, item in changes:
                if item is None:
                    yield WatchBatch(number, deletes=(key,))
                else:
                    yield WatchBatch(number, puts=(item,))
            after = until
            yield WatchBatch(until)
            wait_ms, timeout_ms = WATCH_WAIT_MS, float(WATCH_TIMEOUT_MS)

    async def _call(
        self, kind: str, execute: Callable[[], Awaitable[Any]], timeout_ms: float
    ) -> Any:
        """Executes a call; raises a store error when it is refused, or lost until its timeout."""
        self.calls[kind] += 1

        async def answer() -> Any:
            await self._world.sleep(LATENCY_MS)
            await self._hang_if_silent(kind)
            if self.access.refuses:
                raise StoreUnavailableError("refused")
            result = await execute()
            await self._hang_if_silent(kind)
            self.era.observe(self._shared.era)
            return result

        try:
            result = await self._world.wait_for(answer(), timeout_ms)
            # The client's timeouts are for each wait, and not for the whole answer.
            self.is_receiving = kind == "watch"
            await self._world.sleep(self.downlink.reserve_ms(_measure_answer(result)))
        except TimeoutError as error:
            raise StoreUnavailableError(f"{kind} did not end") from error
        finally:
            self.is_receiving = False
            # A frozen instance reads an answer only once it has thawed.
            await self._clock.running.wait()
        return result

    async def _hang_if_silent(self, kind: str) -> None:
        if self.access.silent or (self.access.watches_silent and kind == "watch"):
            await asyncio.Event().wait()


def _measure_answer(result: Any) -> int:
    """Returns the bytes of the store's answer, whose values are text in base64."""
    items = result.items if isinstance(result, RangeResult) else [one[2] for one in result[0]]
    return sum(ANSWER_ITEM_BYTES + 4 * len(item.value) // 3 for item in items if item is not None)


class Wire:
    """One direction of a network link, on which what is sent waits in turn."""

    def __init__(self, clock: FakeClock) -> None:
        self.mbps = 0.0
        """Bandwidth; 0 without a bound."""
        self.carried_bytes = 0
        self._clock = clock
        self._free_ms = 0.0

    def reserve_ms(self, size: int) -> float:
        """Returns the time until the last byte of a message has passed, and keeps it for that."""
        self.carried_bytes += size
        now = self._clock.now()
        if not self.mbps:
            return 0.0
        self._free_ms = max(now, self._free_ms) + size * 8 / (self.mbps * 1_000)
        return self._free_ms - now


class Network:
    """Links between instances."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.links_by_id: dict[str, Link] = {}
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.silent_connections: set[tuple[str, str]] = set()
        """Sender and receiver of each open connection that has gone silent for good."""


class Link:
    """Stands in for an instance's ``PeerLink``."""

    def __init__(self, network: Network, instance_id: str, clock: FrozenClock) -> None:
        self.instance_id = instance_id
        self.peer_ids: tuple[str, ...] = ()
        self.sent_bytes = 0
        self.sent: Counter[str] = Counter()
        self.clock = clock
        self.uplink, self.downlink = Wire(network.clock), Wire(network.clock)
        self._network = network
        self._handlers_by_type: dict[type[Any], Callable[[str, Any], Awaitable[Any]]] = {}
        self._tasks = TaskGroup()
        network.links_by_id[instance_id] = self

    def register_handler(self, kind: type[Any], handler: Any) -> None:
        self._handlers_by_type[kind] = handler

    def multicast(self, peer_ids: Iterable[str], content: Any) -> None:
        for peer in peer_ids:
            self._tasks.start(self._deliver(peer, content))

    def reconnect(self, peer: str) -> None:
        self._network.silent_connections.discard((self.instance_id, peer))

    async def request(self, peer: str, content: Any, reply_type: Any, timeout_ms: float) -> Any:
        try:
            reply = await self._network.clock.wait_for(self._deliver(peer, content), timeout_ms)
        except TimeoutError as error:
            raise PeerTimeoutError(peer) from error
        finally:
            await self.clock.running.wait()
        return reply

    async def stop(self) -> None:
        await self._tasks.stop()

    async def _deliver(self, peer: str, content: Any) -> Any:
        receiver = self._network.links_by_id.get(peer)
        await self._send(receiver, content)
        is_silent = (self.instance_id, peer) in self._network.silent_connections
        if receiver is None or is_silent or self._network.is_cut(self.instance_id, peer):
            await asyncio.Event().wait()
        assert receiver is not None
        await receiver.clock.running.wait()
        reply = await receiver._handlers_by_type[type(content)](self.instance_id, content)
        if reply is not None:
            await receiver._send(self, reply)
        return reply

    async def _send(self, receiver: Link | None, content: Any) -> None:
        """Counts a message, and returns once all of it has arrived."""
        self.sent[type(content).__name__] += 1
        kind, body = encode_content(content)
        envelope = Envelope(1, kind, self.instance_id, 1_000, 0, body)
        size = len(msgspec.msgpack.encode(envelope))
        self.sent_bytes += size
        delay_ms = self.uplink.reserve_ms(size)
        if receiver is not None:
            delay_ms = max(delay_ms, receiver.downlink.reserve_ms(size))
        await self._network.clock.sleep(LINK_MS + delay_ms)


def follow_endpoints(registry: EndpointRegistry) -> WatchHandler:
    """Returns the handler of the endpoints' keys; the value of a key is of no account."""

    def read(item: KeyValue) -> EndpointRecord:
        return EndpointRecord(item.key, SERVICE, Address("127.0.0.1", 1), "dc-0", "v1")

    return WatchHandler(
        lambda items, revision: registry.replace([read(item) for item in items], revision),
        lambda item: registry.put(read(item), item.mod_revision),
        registry.remove,
        registry.begin_outage,
        registry.end_outage,
        registry.begin_era,
    )


class SimulatedInstance:
    """An instance: its knowledge of the store, and the members that it knows by it."""

    def __init__(
        self, fleet: SimulatedFleet, number: int, data_centre: str, link_mbps: float = 0.0
    ) -> None:
        self.id = f"edge-{number:03d}"
        self.data_centre = data_centre
        self.clock = FrozenClock(fleet.clock)
        self.link = Link(fleet.network, self.id, self.clock)
        self.link.uplink.mbps = self.link.downlink.mbps = link_mbps
        self.store = StoreClient(fleet.store, self.clock, fleet.clock)
        self.store.downlink = self.link.downlink
        self.member = Member(self.id, data_centre, link_mbps)
        self.value = b""
        self.loaded_ms: int | None = None
        self.values: list[bytes] = []
        self.outages = 0
        self.endpoints = EndpointRegistry(self.clock)
        self._members_by_id: dict[str, Member] = {}
        self._fleet = fleet
        self._tasks = TaskGroup()
        self.knowledge: Any = StoreKnowledge(
            self.store,
            combine_handlers(
                {
                    ENDPOINTS_PREFIX: follow_endpoints(self.endpoints),
                    "": WatchHandler(
                        self._apply_all, self._apply, self._remove, on_outage=self._count_outage
                    ),
                }
            ),
            clock=self.clock,
            rng=random.Random(number),
            tasks=self._tasks,
            max_age_ms=fleet.max_age_ms,
            fleet=FleetAccess(
                self.link,  # type: ignore[arg-type]
                self.member,
                lambda: self._members_by_id.values(),
            ),
        )

    @property
    def is_watching(self) -> bool:
        return not self.knowledge._follower.is_paused

    def start(self) -> None:
        for name, work in self.knowledge.work_by_name().items():
            self._tasks.start_supervised(self.clock, name, work)
        self._tasks.start(self._register())

    async def stop(self) -> None:
        self.clock.running.set()
        self._fleet.network.links_by_id.pop(self.id, None)
        await self._tasks.stop()
        await self.link.stop()

    def freeze(self) -> None:
        self.clock.running.clear()

    def thaw(self) -> None:
        self.clock.running.set()

    async def _register(self) -> None:
        await self._fleet.clock.sleep(2 * LATENCY_MS)
        traits = f"{self.data_centre} {self.member.link_mbps}"
        self._fleet.store.put(f"{MEMBERS_PREFIX}{self.id}", traits.encode())

    def _apply_all(self, items: tuple[KeyValue, ...], revision: int) -> None:
        if self.loaded_ms is None:
            self.loaded_ms = self.clock.now()
        self._members_by_id.clear()
        for item in items:
            self._apply(item)

    def _apply(self, item: KeyValue) -> None:
        if item.key == CHANGE_KEY:
            self.value = item.value
            self.values.append(item.value)
        elif item.key.startswith(MEMBERS_PREFIX):
            peer = item.key.removeprefix(MEMBERS_PREFIX)
            if peer != self.id:
                data_centre, link_mbps = item.value.decode().split()
                self._members_by_id[peer] = Member(peer, data_centre, float(link_mbps))
        self.link.peer_ids = tuple(self._members_by_id)

    def _remove(self, key: str, revision: int) -> None:
        self._members_by_id.pop(key.removeprefix(MEMBERS_PREFIX), None)
        self.link.peer_ids = tuple(self._members_by_id)

    def _count_outage(self) -> None:
        self.outages += 1


class SimulatedFleet:
    """Instances in data centres, with one store."""

    def __init__(
        self,
        data_centres: Iterable[int],
        *,
        max_age_ms: int = 2_000,
        link_mbps: Sequence[float] = (0.0,),
    ) -> None:
        """Creates instances that have not started.

        Args:
            data_centres: Number of instances in each data centre.
            max_age_ms: Time within which a change has to be in force.
            link_mbps: Bandwidths of the links, in turn over the instances of a data centre; 0 for
                no bound.
        """
        self.clock = FakeClock()
        self.store = SharedStore()
        self.store.put(CHANGE_KEY, b"0")
        self.network = Network(self.clock)
        self.max_age_ms = max_age_ms
        self.instances: list[SimulatedInstance] = []
        for position, count in enumerate(data_centres):
            for place in range(count):
                number = len(self.instances)
                mbps = link_mbps[place % len(link_mbps)]
                self.instances.append(SimulatedInstance(self, number, f"dc-{position}", mbps))

    async def start(self) -> None:
        for instance in self.instances:
            instance.start()
        await self.clock.advance(self.max_age_ms)

    async def stop(self) -> None:
        for instance in self.instances:
            await instance.stop()

    def count_calls(self) -> int:
        return sum(instance.store.calls.total() for instance in self.instances)

    def list_watchers(self) -> list[SimulatedInstance]:
        return [instance for instance in self.instances if instance.is_watching]

    async def change(self, value: bytes, *, limit_ms: int, step_ms: int = 20) -> dict[str, int]:
        """Writes a change; returns by id how long it took to be in force, within the limit."""
        self.store.put(CHANGE_KEY, value)
        begin_ms = self.clock.now()
        in_force_ms: dict[str, int] = {}
        while self.clock.now() < begin_ms + limit_ms and len(in_force_ms) < len(self.instances):
            await self.clock.advance(step_ms)
            for instance in self.instances:
                if instance.value == value:
                    in_force_ms.setdefault(instance.id, self.clock.now() - begin_ms)
        return in_force_ms


async def measure(data_centres: Sequence[int], max_age_ms: int) -> str:
    """Returns a line with the calls and bytes of a fleet that starts, idles and gets changes."""
    fleet = SimulatedFleet(data_centres, max_age_ms=max_age_ms)
    await fleet.start()
    await fleet.clock.advance(START_MS - max_age_ms)
    start_calls = fleet.count_calls()
    watchers = {one.id for one in fleet.list_watchers()}
    before = {one.id: one.link.sent_bytes for one in fleet.instances}
    await fleet.clock.advance(IDLE_MS)
    idle_calls = fleet.count_calls() - start_calls
    sent = {one.id: one.link.sent_bytes - before[one.id] for one in fleet.instances}
    times: list[int] = []
    for number in range(CHANGES):
        value = str(number).encode()
        times += (await fleet.change(value, limit_ms=max_age_ms)).values()
    change_calls = fleet.count_calls() - start_calls - idle_calls
    times.sort()
    count = len(fleet.instances)
    await fleet.stop()
    followers = [number for one, number in sent.items() if one not in watchers] or [0]
    return (
        f"{count} instances, {len(watchers)} watchers:"
        f" {start_calls / count:.2f} calls an instance in the first {START_MS / 1_000:g} s,"
        f" {idle_calls * 1_000 / IDLE_MS:.2f} calls/s idle,"
        f" {change_calls / CHANGES:.1f} calls a change;"
        f" sent B/s: watcher at most {max(sent[one] for one in watchers) * 1_000 // IDLE_MS},"
        f" follower at most {max(followers) * 1_000 // IDLE_MS};"
        f" in force after {times[len(times) // 2]} ms (median),"
        f" {times[len(times) * 99 // 100]} (99 in 100), {times[-1]} (most),"
        f" {count * CHANGES - len(times)} not in time"
    )


async def measure_large(data_centres: Sequence[int], max_age_ms: int) -> str:
    """Returns a line with the bytes of a large configuration and of changes of one of its routes.

    Bytes are those on the links of the instances, also from the store.
    """
    fleet = SimulatedFleet(data_centres, max_age_ms=max_age_ms, link_mbps=LINK_MBPS)
    await fleet.start()
    await fleet.clock.advance(START_MS)
    routes = make_routes(ROUTES, seed=1)
    parts = []
    for version in range(CHANGES):
        routes[version] = routes[version] | {"service": "service-9"}
        before = {one.id: _list_bytes(one) for one in fleet.instances}
        value = encode(version, routes)
        times = sorted((await fleet.change(value, limit_ms=max_age_ms)).values())
        await fleet.clock.advance(SETTLE_MS)
        received, sent = zip(
            *(
                [now - then for now, then in zip(_list_bytes(one), before[one.id], strict=True)]
                for one in fleet.instances
            ),
            strict=True,
        )
        if version in (0, CHANGES - 1):
            parts.append(
                f"{'large value' if version == 0 else 'one route'}: received"
                f" {sorted(received)[len(received) // 2]} B (half), {max(received)} (most),"
                f" sent {max(sent)} (most), in all {sum(received) / 1e6:.2f} MB, in force at"
                f" {len(times)} after {times[-1] if times else 0} ms"
            )
    await fleet.stop()
    size = len(encode(CHANGES, routes))
    return f"{len(fleet.instances)} instances, {size} B; " + "; ".join(parts)


def _list_bytes(instance: SimulatedInstance) -> tuple[int, int]:
    """Returns the bytes that an instance has received and sent."""
    return instance.link.downlink.carried_bytes, instance.link.uplink.carried_bytes


def main() -> None:
    """Measures fleets of several sizes."""
    for data_centres, max_age_ms in SIZES:
        print(asyncio.run(measure(data_centres, max_age_ms)), flush=True)
    for data_centres, max_age_ms in LARGE_SIZES:
        print(asyncio.run(measure_large(data_centres, max_age_ms)), flush=True)


if __name__ == "__main__":
    main()

"""A stand-in for the key-value service, true to the published etcd v3 JSON gateway."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from mastickeel.clock import Clock
from mastickeel_standins._faults import FaultsHandler, KeyValueFaults
from mastickeel_standins._http import LOOPBACK, Listener
from mastickeel_standins._kvhandlers import (
    KEEP_ALIVE_PATH,
    SERVICE_VERSION,
    TXN_PATH,
    VERSION_PATH,
    WATCH_PATH,
    CallHandler,
    CountsHandler,
    VersionHandler,
)
from mastickeel_standins._kvjson import MEMBER_ID, RAFT_TERM, build_header, build_message, read_int
from mastickeel_standins._kvlease import Leases
from mastickeel_standins._kvstate import (
    RESOURCE_EXHAUSTED,
    UNAVAILABLE,
    KeyValueError,
    KeyValueState,
)
from mastickeel_standins._kvtxn import (
    check_key,
    check_put,
    execute_delete,
    execute_put,
    execute_range,
    execute_txn,
)
from mastickeel_standins._kvwatch import Watches
from mastickeel_standins._rate import RateLimit

if TYPE_CHECKING:
    from collections.abc import Callable


class KeyValueStandin:
    """The key-value service: one member, in memory, with faults that can be switched."""

    def __init__(
        self,
        clock: Clock | None = None,
        writes_per_second: int = 0,
        reads_per_second: int = 0,
    ) -> None:
        """Makes the service without binding its port.

        Args:
            clock: Lets leases lapse and times the faults; the machine's own when absent.
            writes_per_second: The limit on mutating calls; 0 for none.
            reads_per_second: The limit on all other calls; 0 for none.
        """
        self.clock = clock or Clock()
        """The clock that leases lapse by."""
        self.faults = KeyValueFaults()
        """The faults to switch."""
        self.calls_by_path: Counter[str] = Counter()
        """How many calls came in, also those refused or cut off, by path."""
        self.reads = 0
        """How many of them could change nothing; a waiting watch is one."""
        self.writes = 0
        """How many of them could change something."""
        self.state = KeyValueState()
        """Keys, history and leases, for tests to look at."""
        self.watches = Watches(self.state, self.clock)
        """The open watches."""
        self.leases = Leases(self.state, self.clock, self.watches.notify)
        """The timers of the leases."""
        self.write_limit = RateLimit(self.clock, writes_per_second)
        """The limit on mutating calls."""
        self.read_limit = RateLimit(self.clock, reads_per_second)
        """The limit on all other calls."""
        self._methods_by_path = self._make_calls()
        self._listener = Listener(self._routes())
        self.faults.listeners.append(self._on_fault_change)

    @property
    def calls(self) -> int:
        """How many calls came in."""
        return self.calls_by_path.total()

    @property
    def port(self) -> int:
        """The bound port."""
        return self._listener.port

    @property
    def url(self) -> str:
        """The base URL."""
        return f"http://{LOOPBACK}:{self.port}"

    @property
    def progress_interval_ms(self) -> int:
        """How long a watch is idle before it is told of the progress."""
        return self.watches.progress_interval_ms

    @progress_interval_ms.setter
    def progress_interval_ms(self, interval_ms: int) -> None:
        self.watches.progress_interval_ms = interval_ms

    async def start(self, port: int = 0, host: str = LOOPBACK) -> None:
        """Binds the port and answers from then on.

        Args:
            port: The port, or 0 for a free one.
            host: A loopback address.
        """
        await self._listener.start(port, host)

    async def stop(self) -> None:
        """Ends watches and timers and closes the port; the keys stay."""
        self.leases.stop()
        for watch in list(self.watches.open_watches):
            self.watches.close(watch)
        await self._listener.stop()

    def is_cut(self, agent: str) -> bool:
        """Returns whether a caller's connections are closed without a reply.

        Args:
            agent: The caller's User-Agent.
        """
        faults = self.faults
        return faults.outage or (faults.cut_for is not None and faults.cut_for(agent))

    def admit(self, path: str, is_mutating: bool) -> None:
        """Counts a call and refuses it when a fault or the limit says so.

        Args:
            path: The call's path.
            is_mutating: Whether it can change something.

        Raises:
            KeyValueError: When it is refused.
        """
        self.calls_by_path[path] += 1
        self.writes += int(is_mutating)
        self.reads += int(not is_mutating)
        if self.faults.refuse:
            raise KeyValueError(UNAVAILABLE, "etcdserver: no leader")
        limit = self.write_limit if is_mutating else self.read_limit
        if not limit.try_acquire():
            raise KeyValueError(RESOURCE_EXHAUSTED, "etcdserver: too many requests")

    def execute(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Carries out one call other than a watch.

        Args:
            path: The call's path.
            body: Its request.

        Returns:
            The response.

        Raises:
            KeyValueError: When the request is at fault; nothing is changed then.
        """
        self.leases.expire_due()
        part = self._methods_by_path[path](body)
        if self.state.commit():
            self.watches.notify()
        response = {"header": build_header(self.state.revision), **part}
        return {"result": response} if path == KEEP_ALIVE_PATH else response

    def consume_answer_loss(self, path: str, raw: bytes, is_mutating: bool) -> bool:
        """Returns whether the answer of a call that was carried out is to be lost.

        Args:
            path: The call's path.
            raw: Its body.
            is_mutating: Whether it could change something.
        """
        if is_mutating and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return True
        when = self.faults.lose_answer_when
        return when is not None and when(path, raw)

    def get_counts(self) -> dict[str, Any]:
        """Returns the counters as GET /control/counts gives them."""
        by_path = dict(self.calls_by_path)
        return {
            "calls": self.calls,
            "reads": self.reads,
            "writes": self.writes,
            "calls_by_path": by_path,
            "open_watches": len(self.watches.open_watches),
        }

    def _make_calls(self) -> dict[str, Callable[[dict[str, Any]], dict[str, Any]]]:
        """Returns what carries out each path."""
        state, leases = self.state, self.leases
        return {
            "/v3/kv/range": lambda body: execute_range(state, body),
            "/v3/kv/put": self._put,
            "/v3/kv/deleterange": self._delete,
            TXN_PATH: lambda body: execute_txn(state, body),
            "/v3/kv/compaction": self._compact,
            "/v3/lease/grant": leases.grant,
            "/v3/lease/revoke": leases.revoke,
            "/v3/kv/lease/revoke": leases.revoke,
            KEEP_ALIVE_PATH: leases.keep_alive,
            "/v3/lease/timetolive": leases.time_to_live,
            "/v3/kv/lease/timetolive": leases.time_to_live,
            "/v3/lease/leases": leases.list_all,
            "/v3/kv/lease/leases": leases.list_all,
            "/v3/maintenance/status": self._status,
        }

    def _routes(self) -> list[tuple[Any, ...]]:
        """Returns the server's routes."""
        settings = {"service": self}
        paths = [*self._methods_by_path, WATCH_PATH]
        return [
            *((path, CallHandler, settings) for path in paths),
            (VERSION_PATH, VersionHandler, settings),
            ("/control/faults", FaultsHandler, {"faults": self.faults}),
            ("/control/counts", CountsHandler, settings),
        ]

    def _on_fault_change(self) -> None:
        """Lets the open watches feel a change of the faults."""
        if self.faults.silent_watches:
            self.watches.silence_all()
        self.watches.wake_all()

    def _put(self, body: dict[str, Any]) -> dict[str, Any]:
        """Writes a key."""
        check_put(self.state, body)
        return execute_put(self.state, body)

    def _delete(self, body: dict[str, Any]) -> dict[str, Any]:
        """Deletes keys."""
        check_key(self.state, body)
        return execute_delete(self.state, body)

    def _compact(self, body: dict[str, Any]) -> dict[str, Any]:
        """Forgets the history before a revision."""
        self.state.compact(read_int(body, "revision"))
        return {}

    def _status(self, body: dict[str, Any]) -> dict[str, Any]:
        """Tells the member's state."""
        index = self.state.revision
        return build_message(
            version=SERVICE_VERSION,
            leader=MEMBER_ID,
            raftIndex=index,
            raftTerm=RAFT_TERM,
            raftAppliedIndex=index,
        )

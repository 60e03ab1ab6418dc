"""Stand-in for the key-value service that serves the etcd v3 JSON gateway API."""

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
    """Key-value service with one in-memory member and switchable faults."""

    def __init__(
        self,
        clock: Clock | None = None,
        writes_per_second: int = 0,
        reads_per_second: int = 0,
    ) -> None:
        """Creates the service without binding its port.

        Args:
            clock: Times the leases and the faults; the system clock when None.
            writes_per_second: Limit on mutating calls; 0 for no limit.
            reads_per_second: Limit on all other calls; 0 for no limit.
        """
        self.clock = clock or Clock()
        """Source of time for leases and faults."""
        self.faults = KeyValueFaults()
        """Switchable faults."""
        self.calls_by_path: Counter[str] = Counter()
        """Number of received calls by path, including refused and dropped ones."""
        self.reads = 0
        """Number of received calls that cannot change a key or lease; watches are included."""
        self.writes = 0
        """Number of received calls that can change a key or lease."""
        self.state = KeyValueState()
        """Keys, history and leases, for tests to inspect."""
        self.watches = Watches(self.state, self.clock)
        """Open watches."""
        self.leases = Leases(self.state, self.clock, self.watches.notify)
        """Lease operations and expiry timers."""
        self.write_limit = RateLimit(self.clock, writes_per_second)
        """Rate limit on mutating calls."""
        self.read_limit = RateLimit(self.clock, reads_per_second)
        """Rate limit on all other calls."""
        self._methods_by_path = self._make_methods()
        self._listener = Listener(self._routes())
        self.faults.listeners.append(self._on_fault_change)

    @property
    def calls(self) -> int:
        """Number of received calls."""
        return self.calls_by_path.total()

    @property
    def port(self) -> int:
        """The TCP port; 0 before ``start``."""
        return self._listener.port

    @property
    def url(self) -> str:
        """Base URL of the service."""
        return f"http://{LOOPBACK}:{self.port}"

    @property
    def progress_interval_ms(self) -> int:
        """Idle time after which a watch receives a progress notification, in milliseconds."""
        return self.watches.progress_interval_ms

    @progress_interval_ms.setter
    def progress_interval_ms(self, interval_ms: int) -> None:
        self.watches.progress_interval_ms = interval_ms

    async def start(self, port: int = 0, host: str = LOOPBACK) -> None:
        """Binds the port and starts serving.

        Args:
            port: The port; 0 chooses a free port.
            host: A loopback address.
        """
        await self._listener.start(port, host)

    async def stop(self) -> None:
        """Ends the watches and lease timers and closes the port; the keys stay."""
        self.leases.stop()
        for watch in list(self.watches.open_watches):
            self.watches.close(watch)
        await self._listener.stop()

    def is_cut(self, agent: str) -> bool:
        """Returns whether a fault closes a caller's connections without a reply.

        Args:
            agent: The caller's User-Agent.
        """
        faults = self.faults
        return faults.outage or (faults.cut_for is not None and faults.cut_for(agent))

    def admit(self, path: str, is_mutating: bool) -> None:
        """Counts a call and checks it against the faults and the rate limit.

        Args:
            path: The call's path.
            is_mutating: Whether the call can change a key or lease.

        Raises:
            KeyValueError: If the call is refused.
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
        """Executes a call other than a watch and commits its changes.

        Args:
            path: The call's path.
            body: The decoded request.

        Returns:
            The response body.

        Raises:
            KeyValueError: If the request is invalid; it has then changed no key or lease.
        """
        self.leases.expire_due()
        fields = self._methods_by_path[path](body)
        if self.state.commit():
            self.watches.notify()
        response = {"header": build_header(self.state.revision), **fields}
        return {"result": response} if path == KEEP_ALIVE_PATH else response

    def consume_answer_loss(self, path: str, raw: bytes, is_mutating: bool) -> bool:
        """Returns whether a fault loses the reply to an executed call; counts it off the fault.

        Args:
            path: The call's path.
            raw: The undecoded request body.
            is_mutating: Whether the call can change a key or lease.
        """
        if is_mutating and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return True
        predicate = self.faults.lose_answer_when
        return predicate is not None and predicate(path, raw)

    def get_counts(self) -> dict[str, Any]:
        """Returns the call counters in the form of GET /control/counts."""
        by_path = dict(self.calls_by_path)
        return {
            "calls": self.calls,
            "reads": self.reads,
            "writes": self.writes,
            "calls_by_path": by_path,
            "open_watches": len(self.watches.open_watches),
        }

    def _make_methods(self) -> dict[str, Callable[[dict[str, Any]], dict[str, Any]]]:
        """Returns the method that executes the calls of each path."""
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
        """Returns Tornado's routes of the service."""
        settings = {"service": self}
        paths = [*self._methods_by_path, WATCH_PATH]
        return [
            *((path, CallHandler, settings) for path in paths),
            (VERSION_PATH, VersionHandler, settings),
            ("/control/faults", FaultsHandler, {"faults": self.faults}),
            ("/control/counts", CountsHandler, settings),
        ]

    def _on_fault_change(self) -> None:
        """Applies changed faults to the open watches."""
        if self.faults.silent_watches:
            self.watches.silence_all()
        self.watches.wake_all()

    def _put(self, body: dict[str, Any]) -> dict[str, Any]:
        """Executes a PutRequest."""
        check_put(self.state, body)
        return execute_put(self.state, body)

    def _delete(self, body: dict[str, Any]) -> dict[str, Any]:
        """Executes a DeleteRangeRequest."""
        check_key(self.state, body)
        return execute_delete(self.state, body)

    def _compact(self, body: dict[str, Any]) -> dict[str, Any]:
        """Executes a CompactionRequest."""
        self.state.compact(read_int(body, "revision"))
        return {}

    def _status(self, body: dict[str, Any]) -> dict[str, Any]:
        """Returns the member's status."""
        index = self.state.revision
        return build_message(
            version=SERVICE_VERSION,
            leader=MEMBER_ID,
            raftIndex=index,
            raftTerm=RAFT_TERM,
            raftAppliedIndex=index,
        )

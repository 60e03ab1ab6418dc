"""Stand-in for the platform's list of instances, which lags behind the actual state."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from mastickeel.clock import Clock
from mastickeel_standins._faults import Faults, FaultsHandler
from mastickeel_standins._http import LOOPBACK, JsonHandler, Listener

if TYPE_CHECKING:
    from collections.abc import Mapping

DEFAULT_LAG_MS = 5_000
STATES = ("live", "leaving")


@dataclass(frozen=True)
class ListedInstance:
    """Entry of the list: an instance or an endpoint."""

    id: str
    address: str
    data_centre: str
    state: str = "live"


class InstanceListStandin:
    """HTTP service that lists the entries as they were a fixed time ago."""

    def __init__(self, clock: Clock | None = None, lag_ms: int = DEFAULT_LAG_MS) -> None:
        """Creates an empty list without binding its port.

        Args:
            clock: Times the changes of the list; the system clock when None.
            lag_ms: Age of the returned list, in milliseconds.
        """
        self.clock = clock or Clock()
        """Source of time."""
        self.lag_ms = lag_ms
        """Age of the returned list, in milliseconds."""
        self.faults = Faults()
        """Switchable faults."""
        self.calls = 0
        """Number of requests for the list."""
        self._history: list[tuple[int, Mapping[str, ListedInstance]]] = []
        settings = {"service": self}
        self._listener = Listener(
            [
                ("/v1/instances", InstancesHandler, settings),
                ("/control/instances", ChangeHandler, settings),
                ("/control/faults", FaultsHandler, {"faults": self.faults}),
            ]
        )

    @property
    def port(self) -> int:
        """The TCP port; 0 before ``start``."""
        return self._listener.port

    @property
    def url(self) -> str:
        """Base URL of the service."""
        return f"http://{LOOPBACK}:{self.port}"

    async def start(self, port: int = 0, host: str = LOOPBACK) -> None:
        """Binds the port and starts serving.

        Args:
            port: The port; 0 chooses a free port.
            host: A loopback address.
        """
        await self._listener.start(port, host)

    async def stop(self) -> None:
        """Closes the port; the list stays."""
        await self._listener.stop()

    def put(
        self,
        id: str,  # noqa: A002
        address: str,
        data_centre: str,
        state: str = "live",
    ) -> None:
        """Adds or replaces an entry; the list shows the change after the lag.

        Args:
            id: The entry's id.
            address: The entry's host and port.
            data_centre: The entry's data centre.
            state: "live" or "leaving".

        Raises:
            ValueError: If the state is unknown.
        """
        if state not in STATES:
            raise ValueError(f"{state!r} is no state; there are {', '.join(STATES)}.")
        entry = ListedInstance(id, address, data_centre, state)
        self._history.append((self.clock.now(), {**self._get_current_entries(), id: entry}))

    def remove(self, id: str) -> None:  # noqa: A002
        """Removes an entry; the list shows the entry until the lag has passed.

        Args:
            id: The entry's id; an unknown id has no effect.
        """
        entries = {key: entry for key, entry in self._get_current_entries().items() if key != id}
        self._history.append((self.clock.now(), entries))

    def build_list(self) -> dict[str, Any]:
        """Returns the lagging list in the form of GET /v1/instances."""
        as_of_ms = self.clock.now() - self.lag_ms
        visible = [entries for at_ms, entries in self._history if at_ms <= as_of_ms]
        latest = visible[-1] if visible else {}
        instances = [asdict(latest[entry_id]) for entry_id in sorted(latest)]
        return {"instances": instances, "as_of_ms": self.clock.wall() - self.lag_ms}

    def _get_current_entries(self) -> Mapping[str, ListedInstance]:
        """Returns the current entries by id."""
        return self._history[-1][1] if self._history else {}


class InstancesHandler(JsonHandler):
    """GET /v1/instances: the lagging list, subject to the faults."""

    def initialize(self, service: InstanceListStandin) -> None:
        """Stores the service whose list is sent."""
        self.service = service

    async def get(self) -> None:
        """Sends the list unless a fault fails the call."""
        service, faults = self.service, self.service.faults
        service.calls += 1
        if faults.delay_ms:
            await service.clock.sleep(faults.delay_ms)
        if faults.outage:
            self.drop()
        elif faults.refuse:
            self.reply({"error": "The list is not available."}, 503)
        else:
            self.reply(service.build_list())


class ChangeHandler(JsonHandler):
    """POST /control/instances: applies {"put": {entry}} or {"remove": id}."""

    def initialize(self, service: InstanceListStandin) -> None:
        """Stores the service whose list the route changes."""
        self.service = service

    def post(self) -> None:
        """Adds the entry under "put" and removes the one whose id is under "remove"."""
        try:
            body = self.json_body()
            if "put" in body:
                self.service.put(**body["put"])
            if "remove" in body:
                self.service.remove(body["remove"])
        except (TypeError, ValueError) as error:
            self.reply({"error": str(error)}, 400)
            return
        self.reply({})

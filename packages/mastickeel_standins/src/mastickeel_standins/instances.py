"""A stand-in for the platform's list of instances, which lags behind the truth."""

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
    """One entry of the list: an instance or an endpoint."""

    id: str
    address: str
    data_centre: str
    state: str = "live"


class InstanceListStandin:
    """The list as it was a while ago, over HTTP."""

    def __init__(self, clock: Clock | None = None, lag_ms: int = DEFAULT_LAG_MS) -> None:
        """Makes an empty list without binding its port.

        Args:
            clock: Tells how old the truth is; the machine's own when absent.
            lag_ms: How far the list lags behind.
        """
        self.clock = clock or Clock()
        """The clock that the list lags by."""
        self.lag_ms = lag_ms
        """How far the list lags behind."""
        self.faults = Faults()
        """The faults to switch."""
        self.calls = 0
        """How many times the list was asked for."""
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
        """The bound port."""
        return self._listener.port

    @property
    def url(self) -> str:
        """The base URL."""
        return f"http://{LOOPBACK}:{self.port}"

    async def start(self, port: int = 0, host: str = LOOPBACK) -> None:
        """Binds the port and answers from then on.

        Args:
            port: The port, or 0 for a free one.
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
        """Adds an entry or replaces it; the list shows it after the lag.

        Args:
            id: The entry's id.
            address: Its host and port.
            data_centre: Where it is.
            state: "live" or "leaving".

        Raises:
            ValueError: When there is no such state.
        """
        if state not in STATES:
            raise ValueError(f"{state!r} is no state; there are {', '.join(STATES)}.")
        entry = ListedInstance(id, address, data_centre, state)
        self._history.append((self.clock.now(), {**self._get_current_entries(), id: entry}))

    def remove(self, id: str) -> None:  # noqa: A002
        """Takes an entry off; the list shows it until the lag is over.

        Args:
            id: The entry's id; one that is not listed changes nothing.
        """
        truth = {key: entry for key, entry in self._get_current_entries().items() if key != id}
        self._history.append((self.clock.now(), truth))

    def build_list(self) -> dict[str, Any]:
        """Returns the list as GET /v1/instances gives it: the truth as it was."""
        as_of_ms = self.clock.now() - self.lag_ms
        known = [truth for at_ms, truth in self._history if at_ms <= as_of_ms]
        entries = known[-1] if known else {}
        instances = [asdict(entries[each]) for each in sorted(entries)]
        return {"instances": instances, "as_of_ms": self.clock.wall() - self.lag_ms}

    def _get_current_entries(self) -> Mapping[str, ListedInstance]:
        """Returns the truth as it is now."""
        return self._history[-1][1] if self._history else {}


class InstancesHandler(JsonHandler):
    """GET /v1/instances, through the faults."""

    def initialize(self, service: InstanceListStandin) -> None:
        """Takes the list to show."""
        self.service = service

    async def get(self) -> None:
        """Answers with the list."""
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
    """POST /control/instances: {"put": {entry}} or {"remove": id}."""

    def initialize(self, service: InstanceListStandin) -> None:
        """Takes the list to change."""
        self.service = service

    def post(self) -> None:
        """Puts or removes one entry, or both."""
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

"""The endpoints that may be given work, each as one lifetime under its id."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mastickeel.addresses import Address
    from mastickeel.clock import Clock

OUTAGE_GRACE_MS = 2_500
"""How long an entry that lapsed with an outage of the store is still believed after its return:
the two seconds in which living endpoints register again, and a watch's delay."""

ENDPOINT_FOUND = define_event(2320, "endpoint_found", "info", "An endpoint registered itself.")
ENDPOINT_CHANGED = define_event(2321, "endpoint_changed", "info", "An endpoint's entry changed.")
ENDPOINT_GONE = define_event(
    2322, "endpoint_gone", "info", "An endpoint's entry is gone from the store."
)
ENDPOINT_KEPT = define_event(
    2323,
    "endpoint_kept",
    "warning",
    "An entry lapsed with an outage; the endpoint is used for a little longer.",
)


@dataclass(frozen=True)
class EndpointRecord:
    """What an endpoint says of itself."""

    id: str
    service: str
    address: Address
    data_centre: str
    version: str
    """The version of its software or weights."""
    draining: bool = False
    slots: int = 1
    started_ms: int = 0
    """Unix time of its start; another one under the same id is another lifetime."""
    warmup_ms: int = 0
    """How much longer it works slowly after its start."""


class EndpointRegistry:
    """Endpoints by id, as the store's entries tell."""

    def __init__(self, clock: Clock) -> None:
        """Makes an empty registry.

        Args:
            clock: Times how long lapsed entries are kept.
        """
        self.loaded = False
        """Whether the entries have been read whole once."""
        self.on_lifetime_end: list[Callable[[str], None]] = []
        """Called with the id of each endpoint whose earlier lifetime has ended."""
        self._clock = clock
        self._records_by_id: dict[str, EndpointRecord] = {}
        self._ids_by_service: dict[str, dict[str, None]] = defaultdict(dict)
        self._lapsed_ms_by_id: dict[str, int] = {}
        self._outage = False
        self._grace_until_ms = 0

    def replace(self, records: Iterable[EndpointRecord], revision: int) -> None:
        """Takes all entries at once; those that are missing are gone."""
        records_by_id = {record.id: record for record in records}
        for endpoint_id in list(self._records_by_id):
            if endpoint_id not in records_by_id:
                self.remove(endpoint_id, revision)
        for record in records_by_id.values():
            self.put(record, revision)
        self.loaded = True

    def put(self, record: EndpointRecord, revision: int) -> None:
        """Takes one entry."""
        known = self._records_by_id.get(record.id)
        self._lapsed_ms_by_id.pop(record.id, None)
        if known == record:
            return
        self._records_by_id[record.id] = record
        if known is not None and known.service != record.service:
            self._ids_by_service[known.service].pop(record.id, None)
        self._ids_by_service[record.service][record.id] = None
        if known is not None and known.started_ms != record.started_ms:
            self._end_lifetime(record.id)
        log(
            ENDPOINT_FOUND if known is None else ENDPOINT_CHANGED,
            endpoint=record.id,
            service=record.service,
            address=str(record.address),
            version=record.version,
            draining=record.draining,
            revision=revision,
        )

    def remove(self, endpoint_id: str, revision: int) -> None:
        """Notes that an entry is gone; kept for a little when an outage may be the reason."""
        record = self._records_by_id.get(endpoint_id)
        if record is None:
            return
        now = self._clock.now()
        if not record.draining and (self._outage or now < self._grace_until_ms):
            if endpoint_id not in self._lapsed_ms_by_id:
                self._lapsed_ms_by_id[endpoint_id] = now
                log(ENDPOINT_KEPT, endpoint=endpoint_id, revision=revision)
            return
        self._forget(record, revision)

    def begin_outage(self) -> None:
        """Notes that the store does not answer: entries may lapse without reason."""
        self._outage = True

    def end_outage(self) -> None:
        """Notes that the store answers again: living endpoints soon have entries."""
        self._outage = False
        self._grace_until_ms = self._clock.now() + OUTAGE_GRACE_MS

    def usable(self, service: str) -> list[EndpointRecord]:
        """Returns the endpoints of a service that may be given work."""
        self._drop_lapsed()
        records = (self._records_by_id[one] for one in self._ids_by_service.get(service, ()))
        return [record for record in records if not record.draining]

    def get(self, endpoint_id: str) -> EndpointRecord | None:
        """Returns what is known of an endpoint, draining or not."""
        return self._records_by_id.get(endpoint_id)

    def all(self) -> list[EndpointRecord]:
        """Returns every endpoint with an entry."""
        return list(self._records_by_id.values())

    def _drop_lapsed(self) -> None:
        """Forgets the lapsed entries whose endpoints have not come back in time."""
        if not self._lapsed_ms_by_id or self._outage:
            return
        if self._clock.now() < self._grace_until_ms:
            return
        for endpoint_id in list(self._lapsed_ms_by_id):
            self._forget(self._records_by_id[endpoint_id], 0)

    def _forget(self, record: EndpointRecord, revision: int) -> None:
        self._lapsed_ms_by_id.pop(record.id, None)
        del self._records_by_id[record.id]
        self._ids_by_service[record.service].pop(record.id, None)
        self._end_lifetime(record.id)
        log(ENDPOINT_GONE, endpoint=record.id, service=record.service, revision=revision)

    def _end_lifetime(self, endpoint_id: str) -> None:
        for notify in self.on_lifetime_end:
            notify(endpoint_id)

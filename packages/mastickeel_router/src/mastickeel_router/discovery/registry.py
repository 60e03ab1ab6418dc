"""Registry of the live endpoints, built from their entries in the store."""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.events import define_event
from mastickeel.logs import log

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from mastickeel.addresses import Address
    from mastickeel.clock import Clock
    from mastickeel_router.discovery.feeds import OutageEnd

OUTAGE_GRACE_MS = 2_500
"""Time after an outage of the store for which entries that expired because of it are kept: the two
seconds in which live endpoints register again, and the delay of a watch."""
SUSPECTED_OUTAGE_GRACE_MS = 1_700
"""Grace time after a single failed call, which may have been no outage: below the two seconds after
which no request may be sent to an endpoint that has left."""

RECENTLY_ENDED_MS = 60_000
"""Time for which other instances are told of an end: above the age of a copy of the store."""
MAX_ENDED = 4_096
"""Maximum number of endpoints that are gone whose starts are remembered."""

ENDPOINT_FOUND = define_event(2320, "endpoint_found", "info", "An endpoint registered itself.")
ENDPOINT_CHANGED = define_event(2321, "endpoint_changed", "info", "An endpoint's entry changed.")
ENDPOINT_REMOVED = define_event(
    2322, "endpoint_gone", "info", "An endpoint's entry is gone from the store."
)
ENDPOINT_KEPT = define_event(
    2323,
    "endpoint_kept",
    "warning",
    "An entry expired during an outage of the store; the endpoint stays in use for a short time.",
)


@dataclass(frozen=True)
class EndpointRecord:
    """Entry that an endpoint registers in the store."""

    id: str
    service: str
    address: Address
    data_centre: str
    version: str
    """Version of the endpoint's software or model weights."""
    draining: bool = False
    slots: int = 1
    started_ms: int = 0
    """Unix time of the endpoint's start; a changed value under the same id means a restart."""
    warmup_ms: int = 0
    """Time left until the endpoint reaches full speed after its start."""


@dataclass(frozen=True)
class _Ended:
    """End of one start of an endpoint."""

    started_ms: int
    at_ms: int
    """Clock time at which the endpoint was removed."""


class EndpointRegistry:
    """Endpoints by id, according to their entries in the store."""

    def __init__(self, clock: Clock) -> None:
        """Creates an empty registry.

        Args:
            clock: Times how long expired entries are kept.
        """
        self.loaded = False
        """Whether all entries have been read once."""
        self.on_lifetime_end: list[Callable[[str], None]] = []
        """Callbacks with the id of each endpoint that was removed or restarted."""
        self.on_entry: list[Callable[[EndpointRecord], None]] = []
        """Callbacks with each entry that is new or has changed."""
        self._clock = clock
        self._records_by_id: dict[str, EndpointRecord] = {}
        self._ids_by_service: dict[str, dict[str, None]] = defaultdict(dict)
        self._expired_ms_by_id: dict[str, int] = {}
        self._ended_by_id: OrderedDict[str, _Ended] = OrderedDict()
        self._outage = False
        self._list_is_older = False
        self._grace_deadline_ms = 0

    def replace(
        self,
        records: Iterable[EndpointRecord],
        revision: int,
        written_since: Collection[str] = (),
    ) -> None:
        """Replaces all entries; removes the endpoints without an entry in `records`.

        Args:
            records: All entries.
            revision: Revision of the list.
            written_since: Ids of endpoints whose entries were written after the store came back
                from an older copy.
        """
        records_by_id = {
            record.id: record
            for record in records
            if not self._list_is_older
            or record.id in written_since
            or not self._is_outdated(record)
        }
        self._list_is_older = False
        for endpoint_id in list(self._records_by_id):
            if endpoint_id not in records_by_id:
                self.remove(endpoint_id, revision)
        for record in records_by_id.values():
            self.put(record, revision)
        self.loaded = True

    def put(self, record: EndpointRecord, revision: int) -> None:
        """Adds or updates one entry."""
        known = self._records_by_id.get(record.id)
        self._expired_ms_by_id.pop(record.id, None)
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
        for notify in self.on_entry:
            notify(record)

    def remove(self, endpoint_id: str, revision: int) -> None:
        """Removes an entry; keeps it for the grace time if an outage may have let it expire."""
        record = self._records_by_id.get(endpoint_id)
        if record is None:
            return
        now = self._clock.now()
        if not record.draining and (self._outage or now < self._grace_deadline_ms):
            if endpoint_id not in self._expired_ms_by_id:
                self._expired_ms_by_id[endpoint_id] = now
                log(ENDPOINT_KEPT, endpoint=endpoint_id, revision=revision)
            return
        self._remove_record(record, revision)

    def begin_outage(self) -> None:
        """Records that the store does not answer, so that entries of live endpoints may expire."""
        self._outage = True

    def end_outage(self, end: OutageEnd) -> None:
        """Records that the store answers again; expired entries have a grace time from then on.

        Args:
            end: End of the outage, which may have become known later.
        """
        self._outage = False
        grace_ms = OUTAGE_GRACE_MS if end.is_certain else SUSPECTED_OUTAGE_GRACE_MS
        self._grace_deadline_ms = max(self._grace_deadline_ms, end.at_ms + grace_ms)

    def begin_era(self) -> None:
        """Records that the next list comes from an older copy of the store.

        What it says of an endpoint that was draining or gone since does not count, and endpoints
        that it lacks have the grace time to register again.
        """
        self._list_is_older = True
        self._grace_deadline_ms = self._clock.now() + OUTAGE_GRACE_MS

    def usable(self, service: str) -> list[EndpointRecord]:
        """Returns the endpoints of a service that accept requests: all but draining ones."""
        self._remove_expired()
        records = (
            self._records_by_id[endpoint_id]
            for endpoint_id in self._ids_by_service.get(service, ())
        )
        return [record for record in records if not record.draining]

    def get(self, endpoint_id: str) -> EndpointRecord | None:
        """Returns the entry of an endpoint, draining or not; None when there is none."""
        return self._records_by_id.get(endpoint_id)

    def all(self) -> list[EndpointRecord]:
        """Returns every endpoint with an entry."""
        return list(self._records_by_id.values())

    def _remove_expired(self) -> None:
        """Removes the expired entries of endpoints that did not register again in time."""
        if not self._expired_ms_by_id or self._outage:
            return
        if self._clock.now() < self._grace_deadline_ms:
            return
        for endpoint_id in list(self._expired_ms_by_id):
            self._remove_record(self._records_by_id[endpoint_id], 0)

    def list_ended(self) -> dict[str, int]:
        """Returns the starts of the endpoints that are draining or were removed recently, by id."""
        oldest_ms = self._clock.now() - RECENTLY_ENDED_MS
        ended = {
            endpoint_id: ended.started_ms
            for endpoint_id, ended in self._ended_by_id.items()
            if ended.at_ms >= oldest_ms
        }
        draining = (record for record in self._records_by_id.values() if record.draining)
        return ended | {record.id: record.started_ms for record in draining}

    def record_ended(self, starts_by_id: Mapping[str, int]) -> None:
        """Removes endpoints that another instance knows to be draining or gone.

        An endpoint that writes its entry after that is used again.
        """
        for endpoint_id, started_ms in starts_by_id.items():
            self._record_end(endpoint_id, started_ms)
            record = self._records_by_id.get(endpoint_id)
            if record is not None and record.started_ms <= started_ms:
                self._remove_record(record, 0)

    def _record_end(self, endpoint_id: str, started_ms: int) -> None:
        self._ended_by_id[endpoint_id] = _Ended(started_ms, self._clock.now())
        self._ended_by_id.move_to_end(endpoint_id)
        if len(self._ended_by_id) > MAX_ENDED:
            self._ended_by_id.popitem(last=False)

    def _is_outdated(self, record: EndpointRecord) -> bool:
        """Returns whether an endpoint was draining, gone or restarted after it wrote an entry."""
        ended = self._ended_by_id.get(record.id)
        if ended is not None and ended.started_ms >= record.started_ms:
            return True
        known = self._records_by_id.get(record.id)
        if known is None:
            return False
        is_same = known.started_ms == record.started_ms
        return known.started_ms > record.started_ms or (is_same and known.draining)

    def _remove_record(self, record: EndpointRecord, revision: int) -> None:
        self._expired_ms_by_id.pop(record.id, None)
        del self._records_by_id[record.id]
        self._record_end(record.id, record.started_ms)
        self._ids_by_service[record.service].pop(record.id, None)
        self._end_lifetime(record.id)
        log(ENDPOINT_REMOVED, endpoint=record.id, service=record.service, revision=revision)

    def _end_lifetime(self, endpoint_id: str) -> None:
        for notify in self.on_lifetime_end:
            notify(endpoint_id)

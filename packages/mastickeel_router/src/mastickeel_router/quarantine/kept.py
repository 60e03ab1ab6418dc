"""Keeps crashes in the store, so that they outlive a kill of all instances."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec

from mastickeel.decoding import decode_json
from mastickeel.errors import StoreError
from mastickeel.events import define_event
from mastickeel.keyvalue import Delete, Put
from mastickeel.logs import log
from mastickeel_router.discovery.feeds import WatchHandler
from mastickeel_router.quarantine.limits import CRASH_TTL_MS
from mastickeel_router.quarantine.parts import MIN_CONTENTS, PartCrashReport
from mastickeel_router.quarantine.reports import ContentCrashReport  # noqa: TC001 - for msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from mastickeel._kvtypes import KeyValue
    from mastickeel.clock import Clock
    from mastickeel.storeport import Store
    from mastickeel_router.quarantine.parts import PartSuspicions
    from mastickeel_router.quarantine.reports import CrashReports

WRITE_INTERVAL_MS = 250
"""Interval at which an instance compares what it knows with the store."""
TURN_MS = 1_000
"""Time that each instance gives those before it to write a record."""
WRITERS = 3
"""Number of instances that write a record, one after the other if need be."""
RETRY_MS = 1_000
"""Time until the next attempt after the store has failed."""
MAX_RECORDS_WRITTEN = 16
"""Maximum number of records that are written at a time."""

CRASHES_KEPT = define_event(
    2430, "crashes_kept", "info", "This instance has written crashes to the store."
)
CRASHES_NOT_KEPT = define_event(
    2431,
    "crashes_not_kept",
    "warning",
    "The store did not take a record of crashes; it is written again.",
)
CRASHES_RECALLED = define_event(
    2432, "crashes_recalled", "info", "This instance has read crashes from the store."
)
CRASHES_UNREADABLE = define_event(
    2433, "crashes_unreadable", "warning", "A record of crashes in the store is malformed."
)


@dataclass(frozen=True)
class KeptCrashes:
    """Crashes of one content, or of one part of prompts."""

    written_wall_ms: int
    """Wall-clock time from which the ages of the reports count, in Unix ms."""
    contents: tuple[ContentCrashReport, ...] = ()
    parts: tuple[PartCrashReport, ...] = ()

    @property
    def newest_lifetime(self) -> str:
        """Lifetime of the endpoint that crashed last."""
        ages_ms = {report.lifetime: report.age_ms for report in self.contents}
        ages_ms |= {report.lifetime: report.age_ms for report in self.parts}
        return min(ages_ms, key=ages_ms.__getitem__, default="")

    @property
    def summary(self) -> tuple[frozenset[str], int, bool]:
        """What the refusals depend on: a record with another summary is written anew."""
        lifetimes = {report.lifetime for report in self.contents}
        lifetimes.update(report.lifetime for report in self.parts)
        contents = {content for report in self.parts for content in report.contents}
        return (
            frozenset(lifetimes),
            max((report.trials for report in self.contents), default=0),
            len(contents) >= MIN_CONTENTS,
        )


class CrashRecords:
    """Writes the crashes that this instance knows to the store, and reads those of others."""

    def __init__(
        self,
        store: Store,
        contents: CrashReports,
        parts: PartSuspicions,
        *,
        prefix: str,
        clock: Clock,
        rank_of: Callable[[str], int],
    ) -> None:
        """Creates the records without reading any.

        Args:
            store: The store.
            contents: Crashes of contents.
            parts: Crashes of parts of prompts.
            prefix: Prefix of the fleet's keys.
            clock: Times the turns of the instances and the ages of crashes.
            rank_of: Returns this instance's rank among all for a key: the first one writes.
        """
        self.keys_prefix = f"{prefix}/crashes/"
        """Prefix of the keys of records."""
        self._store = store
        self._contents = contents
        self._parts = parts
        self._clock = clock
        self._rank_of = rank_of
        self._has_listed = False
        self._stored_by_key: dict[str, KeptCrashes | None] = {}
        """The records in the store; None for one that is malformed."""
        self._differs_since_ms: dict[str, int] = {}

    def handler(self) -> WatchHandler:
        """Returns the handler of the records' keys."""

        def on_list(items: tuple[KeyValue, ...], revision: int) -> None:
            self._stored_by_key.clear()
            self._has_listed = True
            for item in items:
                self._read(item)

        def on_delete(key: str, revision: int) -> None:
            self._stored_by_key.pop(key, None)

        return WatchHandler(on_list, self._read, on_delete)

    async def run(self) -> None:
        """Writes what the store lacks, and removes what no longer counts, until cancelled."""
        while True:
            await self._clock.sleep(WRITE_INTERVAL_MS)
            if self._has_listed:
                await self._write_changes()

    def _read(self, item: KeyValue) -> None:
        """Applies a record of the store."""
        try:
            record = decode_json(item.value, KeptCrashes)
        except msgspec.MsgspecError as error:
            self._stored_by_key[item.key] = None
            log(CRASHES_UNREADABLE, key=item.key, error=str(error))
            return
        self._stored_by_key[item.key] = record
        since_ms = max(0, self._clock.wall() - record.written_wall_ms)
        log(CRASHES_RECALLED, key=item.key, age_ms=since_ms, crashes=len(record.summary[0]))
        for content in record.contents:
            if content.age_ms + since_ms < CRASH_TTL_MS:
                self._contents.apply_crash_report(
                    replace(content, age_ms=content.age_ms + since_ms)
                )
        for part in record.parts:
            if part.age_ms + since_ms < CRASH_TTL_MS:
                self._parts.apply_crash_report(replace(part, age_ms=part.age_ms + since_ms))

    def _list_known(self) -> dict[str, KeptCrashes]:
        """Returns the records of what this instance knows, by key."""
        now = self._clock.wall()
        known = {
            f"{self.keys_prefix}content-{name}": KeptCrashes(now, contents=reports)
            for name, reports in self._contents.list_kept().items()
        }
        for name, reports in self._parts.list_kept().items():
            known[f"{self.keys_prefix}part-{name}"] = KeptCrashes(now, parts=reports)
        return known

    async def _write_changes(self) -> None:
        """Writes the records whose turn it is at this instance."""
        known = self._list_known()
        if not known and not self._stored_by_key:
            self._differs_since_ms.clear()
            return
        due = self._list_due(known)
        if not due:
            return
        try:
            lease = await self._store.grant(CRASH_TTL_MS // 1_000)
            for key in due:
                await self._write(key, known.get(key), lease)
        except StoreError as error:
            log(CRASHES_NOT_KEPT, keys=due, error=str(error))
            await self._clock.sleep(RETRY_MS)

    def _list_due(self, known: Mapping[str, KeptCrashes]) -> list[str]:
        """Returns the keys whose records differ from the store's for as long as this turn takes."""
        now = self._clock.now()
        changed = [key for key, record in known.items() if self._differs(key, record)]
        obsolete = [key for key, record in self._stored_by_key.items() if self._is_obsolete(record)]
        self._differs_since_ms = {
            key: self._differs_since_ms.get(key, now) for key in (*changed, *obsolete)
        }
        due = []
        for key, since_ms in self._differs_since_ms.items():
            rank = self._rank_of(key)
            writers = WRITERS if self._has_newer_crash(key, known.get(key)) else 1
            if rank < writers and now - since_ms >= rank * TURN_MS:
                due.append(key)
        return due[:MAX_RECORDS_WRITTEN]

    def _has_newer_crash(self, key: str, record: KeptCrashes | None) -> bool:
        """Returns whether a record has a newer crash than the store's.

        Only then others than the first instance write it: two instances that differ in earlier
        crashes would replace each other's record by turns.
        """
        stored = self._stored_by_key.get(key)
        if record is None or stored is None:
            return record is not None
        return record.newest_lifetime not in stored.summary[0]

    def _differs(self, key: str, record: KeptCrashes) -> bool:
        """Returns whether the store has no record of the same crashes."""
        stored = self._stored_by_key.get(key)
        return stored is None or stored.summary != record.summary

    def _is_obsolete(self, record: KeptCrashes | None) -> bool:
        """Returns whether no crash of a record counts any more, or whether it is malformed."""
        if record is None:
            return True
        parts = [part for report in record.parts for part in report.parts]
        contents = (report.content for report in record.contents)
        return not (
            self._parts.is_suspected(parts) or any(map(self._contents.is_suspected, contents))
        )

    async def _write(self, key: str, record: KeptCrashes | None, lease: int) -> None:
        """Writes a record, or removes one whose crashes no longer count."""
        change = Delete(key) if record is None else Put(key, msgspec.json.encode(record), lease)
        await self._store.txn((), (change,))
        if record is None:
            self._stored_by_key.pop(key, None)
        else:
            self._stored_by_key[key] = record
        log(CRASHES_KEPT, key=key, crashes=len(record.summary[0]) if record else 0)

"""Follows a key prefix of the store: lists the keys, then watches them; retries after errors."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastickeel.errors import StoreCompactedError, StoreError
from mastickeel.events import STORE_DOWN, STORE_UP, define_event
from mastickeel.logs import log
from mastickeel_router.backoff import Backoff

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mastickeel._kvtypes import KeyValue, RangeResult, WatchBatch
    from mastickeel.clock import Clock
    from mastickeel.storeport import WatchableStore

FIRST_BACKOFF_MS = 100
MAX_BACKOFF_MS = 800
"""Less than half of the two seconds within which a change must be in force after an outage."""
WATCH_BATCH_INTERVAL_MS = 200
"""Time without a poll after one that returned changes; the changes of this time arrive together
with the next poll. A tenth of the shortest time within which a change must be in force, two
seconds."""

PROBE_TIMEOUT_MS = 400
"""Timeout of the first watch that returns at once; doubles with each that is not answered."""
MAX_DOUBLINGS = 4
LATE_MS = 2_250
"""Time after which a watch without an answer is late: above the time that it waits for changes."""
REOPEN_AFTER_MS = 100
"""Time that a watch has to answer before it may be given up."""

HISTORY_LOST = define_event(
    2310,
    "store_history_lost",
    "warning",
    "A watch's revision was compacted; the key prefix is listed again.",
)
READ_FAILED = define_event(
    2311,
    "store_read_failed",
    "info",
    "A list or a watch failed after the time in the record; it is repeated after the delay there.",
)


@dataclass(frozen=True)
class OutageEnd:
    """End of an outage of the store."""

    at_ms: int
    """Clock time at which the store answered again."""
    is_certain: bool = True
    """Whether more than one call failed: the store may cut a single watch without an outage."""


@dataclass(frozen=True)
class WatchHandler:
    """Callbacks for the keys of a prefix and their changes."""

    on_list: Callable[[tuple[KeyValue, ...], int], None]
    """Called with all keys of the prefix and a revision; the list is at least as new as that
    revision."""
    on_put: Callable[[KeyValue], None]
    on_delete: Callable[[str, int], None]
    """Called with a key and the revision of its deletion."""
    on_outage: Callable[[], None] = lambda: None
    """Called when the store stops answering."""
    on_recovery: Callable[[OutageEnd], None] = lambda end: None
    """Called when the store answers again, or has answered others since the time given."""
    on_new_era: Callable[[], None] = lambda: None
    """Called before a list that may be older than what was read before, as the store has come back
    from an older copy."""
    on_answer: Callable[[int], None] = lambda revision: None
    """Called with the revision up to which all changes have been passed on, when the store has
    answered."""


def combine_handlers(handlers_by_prefix: dict[str, WatchHandler]) -> WatchHandler:
    """Combines several handlers into one, so that one watch serves them all.

    Args:
        handlers_by_prefix: The handler of each key prefix; no prefix may begin another.
    """

    def handler_for(key: str) -> WatchHandler | None:
        for prefix, handler in handlers_by_prefix.items():
            if key.startswith(prefix):
                return handler
        return None

    def on_list(items: tuple[KeyValue, ...], revision: int) -> None:
        for prefix, handler in handlers_by_prefix.items():
            handler.on_list(tuple(item for item in items if item.key.startswith(prefix)), revision)

    def on_put(item: KeyValue) -> None:
        if handler := handler_for(item.key):
            handler.on_put(item)

    def on_delete(key: str, revision: int) -> None:
        if handler := handler_for(key):
            handler.on_delete(key, revision)

    def on_outage() -> None:
        for handler in handlers_by_prefix.values():
            handler.on_outage()

    def on_recovery(end: OutageEnd) -> None:
        for handler in handlers_by_prefix.values():
            handler.on_recovery(end)

    def on_new_era() -> None:
        for handler in handlers_by_prefix.values():
            handler.on_new_era()

    return WatchHandler(on_list, on_put, on_delete, on_outage, on_recovery, on_new_era)


async def follow_prefix(
    store: WatchableStore, prefix: str, handler: WatchHandler, *, clock: Clock, rng: random.Random
) -> None:
    """Follows all keys with a prefix until cancelled.

    Args:
        store: The store.
        prefix: Prefix of the keys.
        handler: Receives the keys and the changes.
        clock: Times the backoff after failures.
        rng: Adds jitter to the backoff, so that the fleet does not retry at once.
    """
    await StoreFollower(store, prefix, handler, clock, rng).run()


class StoreFollower:
    """Lists and watches one key prefix, and remembers the revision read so far.

    A watch that was given up may have been lost alone, or with its connection, or with the store.
    Until one is answered again, watches that return at once and, while these are lost, lists take
    turns, so that the return of the store does not wait for the timeout of a long call.
    """

    def __init__(
        self,
        store: WatchableStore,
        prefix: str,
        handler: WatchHandler,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Creates the follower; see ``follow_prefix`` for the arguments."""
        self.revision: int | None = None
        """Newest revision that has been read; None to list the prefix first."""
        self._backoff = Backoff(clock, rng, first_ms=FIRST_BACKOFF_MS, max_ms=MAX_BACKOFF_MS)
        self._store = store
        self._prefix = prefix
        self._handler = handler
        self._clock = clock
        self._down = False
        self._was_silent = False
        self._era: int | None = None
        self._call_began_ms = clock.now()
        self._unanswered_watches = 0
        self._must_list = False
        self._is_watching = False
        self._reading: asyncio.Task[None] | None = None
        self._is_reopening = False
        self._resumed_ms: int | None = None
        self._resumed = asyncio.Event()
        self._resumed.set()
        # The keys are listed again in a new era.
        store.era.on_change.append(lambda era: self._resumed.set())

    @property
    def is_paused(self) -> bool:
        """Whether no further call is made, as the changes arrive in another way."""
        return not self._resumed.is_set()

    @property
    def is_late(self) -> bool:
        """Whether the store has failed, or does not answer the watch in time."""
        if self.is_paused:
            return False
        return self._down or self._clock.now() - self._call_began_ms > LATE_MS

    def pause(self) -> None:
        """Makes no further call once the present one has ended."""
        self._resumed.clear()

    def resume(self, revision: int) -> None:
        """Follows the prefix again; the first watch shows at once whether the store answers.

        Args:
            revision: Revision up to which all changes have become known meanwhile.
        """
        if not self.is_paused:
            return
        if self.revision is not None and self._era == self._store.era.number:
            self.revision = max(self.revision, revision)
        self._unanswered_watches = max(1, self._unanswered_watches)
        self._resumed_ms = self._clock.now()
        self._resumed.set()
        self.reopen()

    def reopen(self) -> None:
        """Gives a watch up that may have been lost; the next call shows it at once.

        One whose answer is arriving is not lost, however long that takes.
        """
        if (
            self._reading is not None
            and not self._store.is_receiving
            and not self._reading.done()
            and self._is_watching
            and self._clock.now() - self._call_began_ms >= REOPEN_AFTER_MS
        ):
            self._is_reopening = True
            self._reading.cancel()

    async def run(self) -> None:
        """Follows the prefix until cancelled."""
        this_task = asyncio.current_task()
        assert this_task is not None
        while True:
            await self._wait_while_paused()
            self._is_reopening = False
            self._reading = asyncio.ensure_future(self._read())
            try:
                await self._reading
            except asyncio.CancelledError:
                if not self._is_reopening or this_task.cancelling():
                    raise
                self._unanswered_watches += 1
            except StoreCompactedError as error:
                log(HISTORY_LOST, prefix=self._prefix, revision=self.revision, error=str(error))
                self.revision = None
            except StoreError as error:
                await self._wait_after_failure(error)
            except Exception:
                # A handler failed and has missed a change; the next run lists all keys again.
                self.revision = None
                raise

    async def _wait_while_paused(self) -> None:
        """Waits while other ways bring the changes; returns at once before the first list."""
        if not self.is_paused or self.revision is None or self._era != self._store.era.number:
            return
        self._end_outage()
        await self._resumed.wait()

    async def _read(self) -> None:
        """Lists the prefix if necessary, then watches it until the watch ends."""
        self._call_began_ms = self._clock.now()
        self._is_watching = False
        if self._era != self._store.era.number:
            self.revision = None
        if self.revision is None or self._must_list:
            self._must_list = False
            await self._list()
            if self.is_paused:
                return
            self._call_began_ms = self._clock.now()
        assert self.revision is not None
        probe_timeout_ms = None
        if self._unanswered_watches:
            probe_timeout_ms = PROBE_TIMEOUT_MS << min(self._unanswered_watches - 1, MAX_DOUBLINGS)
        self._is_watching = True
        has_changes = False
        async for batch in self._store.watch(
            self._prefix, self.revision + 1, probe_timeout_ms=probe_timeout_ms
        ):
            self._unanswered_watches = 0
            self._record_answer()
            self._apply(batch)
            self.revision = max(self.revision, batch.revision)
            if batch.puts or batch.deletes:
                has_changes = True
                continue
            self._handler.on_answer(batch.revision)
            if self.is_paused:
                return
            self._call_began_ms = self._clock.now()
            if has_changes:
                has_changes = False
                await self._clock.sleep(WATCH_BATCH_INTERVAL_MS)
                self._call_began_ms = self._clock.now()

    async def _list(self) -> None:
        """Reads all keys of the prefix."""
        era = self._store.era
        listed: RangeResult = await self._store.range(self._prefix, prefix=True)
        self._record_answer()
        if self._era is not None and self._era != era.number:
            self._handler.on_new_era()
        self._era = era.number
        self._handler.on_list(listed.items, listed.revision)
        self.revision = listed.revision

    async def _wait_after_failure(self, error: StoreError) -> None:
        """Records that the store did not answer, and waits before the next call.

        The delay counts from the begin of the call, as one that was lost has waited already.
        """
        duration_ms = self._clock.now() - self._call_began_ms
        self._was_silent |= duration_ms > (LATE_MS if self._is_watching else PROBE_TIMEOUT_MS)
        if self._is_watching:
            self._is_watching = False
            self._unanswered_watches += 1
            self._must_list = duration_ms >= PROBE_TIMEOUT_MS
        delay_ms = max(0.0, self._backoff.next_delay_ms() - duration_ms)
        log(
            READ_FAILED,
            revision=self.revision,
            duration_ms=duration_ms,
            delay_ms=round(delay_ms),
            error=error.detail,
        )
        if not self._down and not self._may_be_slow(duration_ms):
            self._down = True
            log(STORE_DOWN, prefix=self._prefix, revision=self.revision, error=str(error))
            self._handler.on_outage()
        await self._clock.sleep(delay_ms)

    def _may_be_slow(self, duration_ms: int) -> bool:
        """Returns whether calls that were not answered since a pause do not show an outage yet.

        Their timeouts are short, and the silence may be due to this instance. A call that failed
        at once was refused.
        """
        if self._resumed_ms is None or duration_ms < REOPEN_AFTER_MS:
            return False
        return self._clock.now() - self._resumed_ms < LATE_MS

    def _record_answer(self) -> None:
        if self._down:
            log(STORE_UP, prefix=self._prefix, revision=self.revision)
        self._end_outage()
        self._backoff.reset()
        self._resumed_ms = None

    def _end_outage(self) -> None:
        if self._down:
            self._down = False
            is_certain = self._was_silent or self._backoff.failures > 1
            self._was_silent = False
            self._handler.on_recovery(OutageEnd(self._clock.now(), is_certain))

    def _apply(self, batch: WatchBatch) -> None:
        for item in batch.puts:
            self._handler.on_put(item)
        for key in batch.deletes:
            self._handler.on_delete(key, batch.revision)

"""Watches of the key-value stand-in: collecting results and streaming them to callers."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from mastickeel_standins._kvjson import (
    build_header,
    build_key_value,
    build_message,
    read_bytes,
    read_int,
)
from mastickeel_standins._kvstate import INVALID_ARGUMENT, KeyValueError

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock
    from mastickeel_standins._http import JsonHandler
    from mastickeel_standins._kvstate import Change, KeyValueState

DEFAULT_PROGRESS_INTERVAL_MS = 10_000


@dataclass(eq=False)
class Watch:
    """State of a watch."""

    key: bytes
    range_end: bytes
    watch_id: int
    next_revision: int
    wants_prev_kv: bool
    wants_progress: bool
    filters: frozenset[Any]
    user_agent: str
    is_silent: bool = False
    """Whether a fault stops all further results."""
    is_closed: bool = False
    """Whether the caller has disconnected or the stand-in is stopping."""
    is_canceled: bool = False
    """Whether its next revision was compacted; the stream stays open, as in the real service."""
    pending: deque[dict[str, Any]] = field(default_factory=deque)
    """Results to send."""
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    """Set when there are results to send or a state change to handle."""


class Watches:
    """Open watches of one store."""

    def __init__(self, state: KeyValueState, clock: Clock) -> None:
        """Creates an empty set of watches.

        Args:
            state: The store.
            clock: Times the progress notifications.
        """
        self.progress_interval_ms = DEFAULT_PROGRESS_INTERVAL_MS
        """Idle time after which a watch receives a progress notification, in milliseconds."""
        self.open_watches: set[Watch] = set()
        """Watches that are open."""
        self._state = state
        self._clock = clock

    def create(self, body: dict[str, Any], agent: str, is_silent: bool) -> Watch:
        """Opens a watch.

        Args:
            body: A WatchRequest.
            agent: The caller's User-Agent.
            is_silent: Whether the watch delivers no results.

        Returns:
            The watch, with its first results pending.

        Raises:
            KeyValueError: If the request is not a create request.
        """
        request = body.get("create_request")
        if not isinstance(request, dict):
            raise KeyValueError(INVALID_ARGUMENT, "the stand-in takes only a create_request")
        watch = Watch(
            key=read_bytes(request, "key") or b"\0",
            range_end=read_bytes(request, "range_end"),
            watch_id=read_int(request, "watch_id"),
            next_revision=read_int(request, "start_revision") or self._state.revision + 1,
            wants_prev_kv=bool(request.get("prev_kv")),
            wants_progress=bool(request.get("progress_notify")),
            filters=frozenset(request.get("filters") or ()),
            user_agent=agent,
            is_silent=is_silent,
        )
        self._add(watch, created=True)
        self._collect(watch)
        self.open_watches.add(watch)
        return watch

    def notify(self) -> None:
        """Collects the committed changes for every open watch."""
        for watch in self.open_watches:
            self._collect(watch)

    def wake_all(self) -> None:
        """Wakes every open watch to check the faults again."""
        for watch in self.open_watches:
            watch.wake.set()

    def silence_all(self) -> None:
        """Silences every open watch for good and drops its pending results."""
        for watch in self.open_watches:
            watch.is_silent = True
            watch.pending.clear()

    def close(self, watch: Watch) -> None:
        """Closes a watch.

        Args:
            watch: The watch.
        """
        watch.is_closed = True
        watch.wake.set()
        self.open_watches.discard(watch)

    async def stream(
        self, watch: Watch, handler: JsonHandler, is_cut: Callable[[str], bool]
    ) -> None:
        """Sends a watch's results until the watch is closed or a fault cuts its connection.

        Args:
            watch: The watch.
            handler: Handler of the call that opened the watch.
            is_cut: Returns whether a fault closes the connections of a User-Agent.
        """
        try:
            await handler.flush()
            while not watch.is_closed:
                watch.wake.clear()
                if is_cut(watch.user_agent):
                    handler.drop()
                    return
                if not await _send_pending(watch, handler):
                    return
                await self._wait(watch)
        finally:
            self.close(watch)

    async def _wait(self, watch: Watch) -> None:
        """Waits until the watch is woken or, if it is idle, due for a progress notification."""
        if watch.is_silent or watch.is_canceled or not watch.wants_progress:
            await watch.wake.wait()
            return
        try:
            await self._clock.wait_for(watch.wake.wait(), self.progress_interval_ms)
        except TimeoutError:
            self._add(watch)

    def _collect(self, watch: Watch) -> None:
        """Adds a result with the changes since the watch's last one, or cancels the watch.

        A watch whose next revision has been compacted is cancelled.
        """
        if watch.is_canceled:
            return
        compacted = self._state.compacted_revision
        if watch.next_revision < compacted:
            watch.is_canceled = True
            self._add(watch, compact_revision=compacted, canceled=True)
            return
        changes = self._state.changes_since(watch.next_revision, watch.key, watch.range_end)
        watch.next_revision = max(watch.next_revision, self._state.revision + 1)
        events = [_build_event(watch, change) for change in changes if _passes(watch, change)]
        if events:
            self._add(watch, events=events)

    def _add(self, watch: Watch, **fields: Any) -> None:
        """Adds a result to a watch's pending results unless the watch is silent."""
        if watch.is_silent:
            return
        header = build_header(self._state.revision)
        result = build_message(header=header, watch_id=watch.watch_id, **fields)
        watch.pending.append({"result": result})
        watch.wake.set()


async def _send_pending(watch: Watch, handler: JsonHandler) -> bool:
    """Sends the pending results; returns False if the caller has disconnected."""
    while watch.pending:
        if not await handler.send_line(watch.pending.popleft()):
            return False
    return True


def _passes(watch: Watch, change: Change) -> bool:
    """Returns whether a change passes a watch's filters."""
    names = {"NODELETE", 1} if change.after.version == 0 else {"NOPUT", 0}
    return not names & watch.filters


def _build_event(watch: Watch, change: Change) -> dict[str, Any]:
    """Returns the event of a change; the type of a put is zero-valued and so left out."""
    before = change.before if watch.wants_prev_kv else None
    event = build_message(
        type="DELETE" if change.after.version == 0 else "",
        kv=build_key_value(change.after),
    )
    if before is not None:
        event["prev_kv"] = build_key_value(before)
    return event

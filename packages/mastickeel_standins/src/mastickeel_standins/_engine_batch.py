"""Continuous batching in the engine stand-in: who generates now and who waits."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mastickeel.clock import Clock

    from ._engine_generation import Generation


class Batch:
    """Runs at most some generations at once; the others wait by priority, then arrival."""

    def __init__(
        self,
        clock: Clock,
        size: int,
        generate: Callable[[Generation], Awaitable[None]],
        on_change: Callable[[], None],
        on_end: Callable[[Generation], None],
    ) -> None:
        """Makes an empty batch.

        Args:
            clock: The clock.
            size: How many generate at once.
            generate: Produces the pieces of one generation.
            on_change: Called when the numbers of running and waiting have changed.
            on_end: Called once for each generation that ran, when it has ended.
        """
        self.running: list[Generation] = []
        """Those that generate now."""
        self._clock = clock
        self._size = size
        self._generate = generate
        self._on_change = on_change
        self._on_end = on_end
        self._arrival_numbers = itertools.count()
        self._waiting: list[tuple[int, int, Generation]] = []

    @property
    def waiting(self) -> list[Generation]:
        """Those that wait, in the order in which they will be admitted."""
        return [generation for _, _, generation in sorted(self._waiting)]

    def submit(self, generation: Generation) -> None:
        """Puts a generation in the queue."""
        entry = (generation.priority, next(self._arrival_numbers), generation)
        heapq.heappush(self._waiting, entry)
        self._admit()

    def cancel(self, generation: Generation) -> None:
        """Ends a generation before its time."""
        if generation.ended:
            return
        generation.cancelled = True
        self._end(generation)
        self._admit()

    def crash(self) -> None:
        """Ends everything at once, admitting nothing more."""
        waiting = [generation for _, _, generation in self._waiting]
        self._waiting.clear()
        for generation in [*self.running, *waiting]:
            self._end(generation)
        self._on_change()

    def _admit(self) -> None:
        """Starts as many of the waiting as there is room for."""
        while self._waiting and len(self.running) < self._size:
            _, _, generation = heapq.heappop(self._waiting)
            generation.started_ms = self._clock.now()
            self.running.append(generation)
            generation.task = asyncio.ensure_future(self._run(generation))
        self._on_change()

    async def _run(self, generation: Generation) -> None:
        """Generates, then makes room."""
        await self._generate(generation)
        if generation.ended:
            return
        self._end(generation)
        self._admit()

    def _end(self, generation: Generation) -> None:
        """Marks a generation as ended and tells those concerned."""
        self._waiting = [entry for entry in self._waiting if entry[2] is not generation]
        heapq.heapify(self._waiting)
        generation.ended = True
        if generation in self.running:
            self.running.remove(generation)
            self._on_end(generation)
        if generation.task is not None and generation.task is not asyncio.current_task():
            generation.task.cancel()
        generation.notify_readers()

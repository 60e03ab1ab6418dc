"""Continuous batching in the engine stand-in: admission of queued generations."""

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
    """Runs a limited number of generations at once; the rest queue by priority, then arrival."""

    def __init__(
        self,
        clock: Clock,
        size: int,
        generate: Callable[[Generation], Awaitable[None]],
        on_change: Callable[[], None],
        on_end: Callable[[Generation], None],
    ) -> None:
        """Creates an empty batch.

        Args:
            clock: Source of start times.
            size: Maximum number of generations that run at once.
            generate: Produces the pieces of one generation.
            on_change: Called when the number of running or waiting generations has changed.
            on_end: Called once for each generation that ran, when it has ended.
        """
        self.running: list[Generation] = []
        """Running generations."""
        self._clock = clock
        self._size = size
        self._generate = generate
        self._on_change = on_change
        self._on_end = on_end
        self._arrival_numbers = itertools.count()
        self._waiting: list[tuple[int, int, Generation]] = []

    @property
    def waiting(self) -> list[Generation]:
        """Waiting generations in the order of their admission."""
        return [generation for _, _, generation in sorted(self._waiting)]

    def submit(self, generation: Generation) -> None:
        """Queues a generation and admits it if the batch has a free slot."""
        entry = (generation.priority, next(self._arrival_numbers), generation)
        heapq.heappush(self._waiting, entry)
        self._admit()

    def cancel(self, generation: Generation) -> None:
        """Cancels a generation that has not ended and admits the next one."""
        if generation.ended:
            return
        generation.cancelled = True
        self._end(generation)
        self._admit()

    def crash(self) -> None:
        """Ends all running and waiting generations without admitting any."""
        waiting = [generation for _, _, generation in self._waiting]
        self._waiting.clear()
        for generation in [*self.running, *waiting]:
            self._end(generation)
        self._on_change()

    def _admit(self) -> None:
        """Starts waiting generations until the batch is full."""
        while self._waiting and len(self.running) < self._size:
            _, _, generation = heapq.heappop(self._waiting)
            generation.started_ms = self._clock.now()
            self.running.append(generation)
            generation.task = asyncio.ensure_future(self._run(generation))
        self._on_change()

    async def _run(self, generation: Generation) -> None:
        """Runs a generation to its end and admits the next one."""
        await self._generate(generation)
        if generation.ended:
            return
        self._end(generation)
        self._admit()

    def _end(self, generation: Generation) -> None:
        """Marks a generation as ended, cancels its task and notifies its readers."""
        self._waiting = [entry for entry in self._waiting if entry[2] is not generation]
        heapq.heapify(self._waiting)
        generation.ended = True
        if generation in self.running:
            self.running.remove(generation)
            self._on_end(generation)
        if generation.task is not None and generation.task is not asyncio.current_task():
            generation.task.cancel()
        generation.notify_readers()

"""Background tasks that belong to one owner and are cancelled when the owner stops."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mastickeel import events
from mastickeel.logs import log

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from mastickeel.clock import Clock

RESTART_DELAY_MS = 1_000


class TaskGroup:
    """The background tasks of one owner."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task and keeps a reference to it until it ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_end)
        return task

    def start_supervised(
        self, clock: Clock, name: str, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Starts a task that is restarted after a delay whenever it raises an error.

        Args:
            clock: The clock for the delay.
            name: The name of the task in logs.
            work: Creates the coroutine of each run.
        """
        self.start(_supervise(clock, name, work))

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_end(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log(events.TASK_FAILED, task=task.get_name(), error=repr(error))


async def _supervise(
    clock: Clock, name: str, work: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Runs a coroutine until one run returns, with a delay after each error."""
    while True:
        try:
            await work()
        except Exception as error:
            log(events.TASK_FAILED, task=name, error=repr(error))
            await clock.sleep(RESTART_DELAY_MS)
        else:
            return

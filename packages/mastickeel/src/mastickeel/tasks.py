"""Background tasks that belong to one owner and end with it."""

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
    """The tasks of one owner."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task that is kept until it ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    def start_supervised(
        self, clock: Clock, name: str, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Runs work again and again, after a pause, when it breaks.

        Args:
            clock: Times the pause.
            name: What logs call it.
            work: Makes the coroutine.
        """
        self.start(_supervise(clock, name, work))

    async def stop(self) -> None:
        """Cancels every task and waits for their ends."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log(events.TASK_FAILED, task=task.get_name(), error=repr(error))


async def _supervise(
    clock: Clock, name: str, work: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Runs work until it returns, again after each error."""
    while True:
        try:
            await work()
        except Exception as error:
            log(events.TASK_FAILED, task=name, error=repr(error))
            await clock.sleep(RESTART_DELAY_MS)
        else:
            return

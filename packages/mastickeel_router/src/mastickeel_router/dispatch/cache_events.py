"""Follows the engines' cache events over ZeroMQ, with replay of what was missed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import zmq
import zmq.asyncio

from mastickeel_router.dispatch.prefixes import CacheView

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mastickeel.clock import Clock
    from mastickeel.metrics import Metrics
    from mastickeel.model import Endpoint

REFRESH_INTERVAL_MS = 1_000
REPLAY_TIMEOUT_MS = 1_000
MAX_REPLAY_BATCHES = 2_000
RECEIVE_QUEUE_SIZE = 1_000
SEQUENCE_BYTES = 8
END_SEQUENCE = b"\xff" * SEQUENCE_BYTES


class CacheEvents:
    """One subscription for each endpoint of interest, and the view that it feeds."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Makes it; nothing is followed before ``follow``.

        Args:
            clock: Times the replay.
            metrics: Counts gaps.
        """
        self.views_by_id: dict[str, CacheView] = {}
        """What each endpoint's cache is expected to hold."""
        self._clock = clock
        self._metrics = metrics
        self._tasks_by_id: dict[str, asyncio.Task[None]] = {}

    async def follow(self, endpoints: Callable[[], Sequence[Endpoint]]) -> None:
        """Keeps one task for each endpoint that publishes events, until cancelled.

        Args:
            endpoints: Gives the endpoints of interest.
        """
        context = zmq.asyncio.Context()
        try:
            while True:
                self._update_subscriptions(
                    context, [one for one in endpoints() if one.events_address]
                )
                await self._clock.sleep(REFRESH_INTERVAL_MS)
        finally:
            tasks = list(self._tasks_by_id.values())
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            context.destroy(linger=0)

    def _update_subscriptions(self, context: zmq.asyncio.Context, wanted: list[Endpoint]) -> None:
        """Starts and ends subscriptions."""
        wanted_by_id = {one.id: one for one in wanted}
        for endpoint_id in set(self._tasks_by_id) - set(wanted_by_id):
            self._tasks_by_id.pop(endpoint_id).cancel()
            self.views_by_id.pop(endpoint_id, None)
        for endpoint_id, endpoint in wanted_by_id.items():
            if endpoint_id not in self._tasks_by_id:
                view = self.views_by_id[endpoint_id] = CacheView()
                task = asyncio.ensure_future(self._follow_endpoint(context, endpoint, view))
                self._tasks_by_id[endpoint_id] = task

    async def _follow_endpoint(
        self, context: zmq.asyncio.Context, endpoint: Endpoint, view: CacheView
    ) -> None:
        """Takes one endpoint's batches as they come."""
        socket = context.socket(zmq.SUB)
        socket.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_SIZE)
        socket.subscribe(b"")
        socket.connect(f"tcp://{endpoint.events_address}")
        try:
            await self._replay(context, endpoint, view)
            while True:
                parts = await socket.recv_multipart()
                if len(parts) != 3:
                    continue
                sequence = int.from_bytes(parts[1], "big")
                if view.apply(sequence, parts[2]):
                    continue
                self._metrics.count("dispatch.cache_event_gaps")
                await self._replay(context, endpoint, view)
                if not view.apply(sequence, parts[2]):
                    view.reset_to(sequence)
                    view.apply(sequence, parts[2])
                    self._metrics.count("dispatch.cache_views_dropped")
        finally:
            socket.close(linger=0)

    async def _replay(
        self, context: zmq.asyncio.Context, endpoint: Endpoint, view: CacheView
    ) -> None:
        """Asks for what is missing; what cannot be had is left missing."""
        if not endpoint.replay_address:
            return
        socket = context.socket(zmq.DEALER)
        socket.connect(f"tcp://{endpoint.replay_address}")
        try:
            start = view.next_sequence.to_bytes(SEQUENCE_BYTES, "big")
            await socket.send_multipart([b"", start])
            for _ in range(MAX_REPLAY_BATCHES):
                receiving = socket.recv_multipart()
                parts = await self._clock.wait_for(receiving, REPLAY_TIMEOUT_MS)
                if len(parts) != 3 or parts[1] == END_SEQUENCE:
                    return
                if not view.apply(int.from_bytes(parts[1], "big"), parts[2]):
                    return
        except TimeoutError:
            return
        finally:
            socket.close(linger=0)

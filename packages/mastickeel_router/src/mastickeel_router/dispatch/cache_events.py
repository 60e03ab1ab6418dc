"""Subscribes to the engines' cache events over ZeroMQ and replays missed batches."""

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
MAX_BATCH_BYTES = 1024 * 1024
RECEIVE_QUEUE_SIZE = 1_000
SEQUENCE_BYTES = 8
END_SEQUENCE = b"\xff" * SEQUENCE_BYTES


class CacheEvents:
    """Maintains a subscription and a cache view for each followed endpoint."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Creates an object without subscriptions; ``follow`` starts them.

        Args:
            clock: Times refreshes and replays.
            metrics: Counts gaps in the events and views dropped because of them.
        """
        self.views_by_id: dict[str, CacheView] = {}
        """Expected cache content of each endpoint."""
        self._clock = clock
        self._metrics = metrics
        self._tasks_by_id: dict[str, asyncio.Task[None]] = {}

    async def follow(self, endpoints: Callable[[], Sequence[Endpoint]]) -> None:
        """Runs a subscription for each endpoint that publishes events, until cancelled.

        Args:
            endpoints: Returns the endpoints to follow.
        """
        context = zmq.asyncio.Context()
        try:
            while True:
                self._update_subscriptions(
                    context, [endpoint for endpoint in endpoints() if endpoint.events_address]
                )
                await self._clock.sleep(REFRESH_INTERVAL_MS)
        finally:
            tasks = list(self._tasks_by_id.values())
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            context.destroy(linger=0)

    def _update_subscriptions(
        self, context: zmq.asyncio.Context, endpoints: list[Endpoint]
    ) -> None:
        """Starts subscriptions of new endpoints and ends those of removed ones."""
        endpoints_by_id = {endpoint.id: endpoint for endpoint in endpoints}
        for endpoint_id in set(self._tasks_by_id) - set(endpoints_by_id):
            self._tasks_by_id.pop(endpoint_id).cancel()
            self.views_by_id.pop(endpoint_id, None)
        for endpoint_id, endpoint in endpoints_by_id.items():
            if endpoint_id not in self._tasks_by_id:
                view = self.views_by_id[endpoint_id] = CacheView()
                task = asyncio.ensure_future(self._follow_endpoint(context, endpoint, view))
                self._tasks_by_id[endpoint_id] = task

    async def _follow_endpoint(
        self, context: zmq.asyncio.Context, endpoint: Endpoint, view: CacheView
    ) -> None:
        """Applies the event batches of one endpoint to its view, until cancelled."""
        socket = context.socket(zmq.SUB)
        socket.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_SIZE)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_BATCH_BYTES)
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
        """Requests missing batches and applies them up to the first one not available."""
        if not endpoint.replay_address:
            return
        socket = context.socket(zmq.DEALER)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_BATCH_BYTES)
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

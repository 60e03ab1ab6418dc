"""Prefix cache of the engine stand-in and the publisher of its events."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter, OrderedDict, deque
from typing import TYPE_CHECKING, Any

import msgspec
import zmq
import zmq.asyncio

if TYPE_CHECKING:
    from collections.abc import Callable

    from mastickeel.clock import Clock

    from ._engine_faults import EngineFaults

BLOCK_CHARACTERS = 64
REPLAY_BATCHES = 10_000
SEQUENCE_BYTES = 8
END_SEQUENCE = (-1).to_bytes(SEQUENCE_BYTES, "big", signed=True)
MILLISECONDS_PER_SECOND = 1_000

Event = list[Any]


class PrefixCache:
    """Cache of prompt blocks that evicts the least recently used block first."""

    def __init__(self, limit: int, publish: Callable[[list[Event]], None]) -> None:
        """Creates an empty cache.

        Args:
            limit: Capacity in blocks.
            publish: Called with each batch of events.
        """
        self.hits_by_model: Counter[str] = Counter()
        """Number of blocks found in the cache, by model."""
        self.queries_by_model: Counter[str] = Counter()
        """Number of blocks looked up, by model."""
        self._limit = limit
        self._publish = publish
        self._blocks: OrderedDict[int, None] = OrderedDict()

    @property
    def usage(self) -> float:
        """Fraction of the cache's capacity in use, 0 to 1."""
        return len(self._blocks) / self._limit if self._limit else 0.0

    def look_up_and_store(self, model: str, prompt: str) -> float:
        """Looks up a prompt's blocks and stores those that were missing.

        Args:
            model: The model; blocks are not shared between models.
            prompt: The text of the prompt.

        Returns:
            The fraction of the prompt's whole blocks that were cached already, 0 to 1.
        """
        hashes = compute_block_hashes(model, prompt)
        hits = self._count_hits(hashes)
        self.queries_by_model[model] += len(hashes)
        self.hits_by_model[model] += hits
        self._store(model, prompt, hashes, hits)
        return hits / len(hashes) if hashes else 0.0

    def clear(self) -> None:
        """Drops all blocks and publishes that."""
        self._blocks.clear()
        self._publish([["AllBlocksCleared"]])

    def _count_hits(self, hashes: list[int]) -> int:
        """Returns the number of leading blocks that are cached."""
        for index, block in enumerate(hashes):
            if block not in self._blocks:
                return index
        return len(hashes)

    def _store(self, model: str, prompt: str, hashes: list[int], hits: int) -> None:
        """Stores a prompt's blocks and publishes the stored and the evicted blocks."""
        for block in hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        events: list[Event] = []
        new = hashes[hits:]
        if new:
            parent = hashes[hits - 1] if hits else None
            stored_text = prompt[hits * BLOCK_CHARACTERS : len(hashes) * BLOCK_CHARACTERS]
            tokens = [ord(character) for character in stored_text]
            events.append(
                ["BlockStored", new, parent, tokens, BLOCK_CHARACTERS, None, "GPU", model]
            )
        evicted = self._evict()
        if evicted:
            events.append(["BlockRemoved", evicted, "GPU"])
        if events:
            self._publish(events)

    def _evict(self) -> list[int]:
        """Evicts the least recently used blocks over the limit and returns their hashes."""
        excess = max(0, len(self._blocks) - self._limit)
        return [self._blocks.popitem(last=False)[0] for _ in range(excess)]


class EventPublisher:
    """Publishes cache events over ZeroMQ as vLLM does, and replays recent batches."""

    def __init__(self, clock: Clock, faults: EngineFaults, topic: str) -> None:
        """Creates a publisher that sends nothing until ``start``.

        Args:
            clock: Source of time.
            faults: The engine's faults.
            topic: Topic of every message.
        """
        self.events_port = 0
        """Port of the PUB socket; 0 without a socket."""
        self.replay_port = 0
        """Port of the ROUTER socket; 0 without a socket."""
        self._clock = clock
        self._faults = faults
        self._topic = topic.encode()
        self._sequence = 0
        self._replay_batches: deque[tuple[int, bytes]] = deque(maxlen=REPLAY_BATCHES)
        self._context: zmq.asyncio.Context | None = None
        self._publisher: zmq.asyncio.Socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, host: str, events_port: int | None, replay_port: int | None) -> None:
        """Binds the sockets whose ports are given.

        Args:
            host: The loopback address.
            events_port: Port of the PUB socket; 0 chooses a free port, None binds no socket.
            replay_port: Port of the ROUTER socket; 0 chooses a free port, None binds no socket.
        """
        if events_port is None and replay_port is None:
            return
        self._context = zmq.asyncio.Context()
        if events_port is not None:
            self._publisher = self._context.socket(zmq.PUB)
            self.events_port = _bind(self._publisher, host, events_port)
        if replay_port is not None:
            router = self._context.socket(zmq.ROUTER)
            self.replay_port = _bind(router, host, replay_port)
            self._start_task(self._answer_replays(router))

    async def stop(self) -> None:
        """Cancels pending sends and closes the sockets."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._context is not None:
            self._context.destroy(linger=0)
        self._context = None
        self._publisher = None

    def reset(self) -> None:
        """Restarts at sequence number 0 with an empty replay buffer, as after a restart."""
        self._sequence = 0
        self._replay_batches.clear()

    def publish(self, events: list[Event]) -> None:
        """Publishes a batch of events unless a fault drops it; dropped batches can be replayed."""
        sequence = self._sequence
        self._sequence += 1
        seconds = self._clock.wall() / MILLISECONDS_PER_SECOND
        payload = msgspec.msgpack.encode([seconds, events])
        self._replay_batches.append((sequence, payload))
        drop_interval = self._faults.drop_every_event
        dropped = drop_interval > 0 and (sequence + 1) % drop_interval == 0
        if self._publisher is not None and not dropped:
            self._start_task(self._send(self._publisher, sequence, payload))

    async def _send(self, publisher: zmq.asyncio.Socket, sequence: int, payload: bytes) -> None:
        """Sends one batch, after the delay of a fault if there is one."""
        if self._faults.event_delay_ms > 0:
            await self._clock.sleep(self._faults.event_delay_ms)
        await publisher.send_multipart([self._topic, _encode_sequence(sequence), payload])

    async def _answer_replays(self, router: zmq.asyncio.Socket) -> None:
        """Answers each replay request with the batches from its start number and an end marker."""
        while True:
            caller, _, start = await router.recv_multipart()
            first = int.from_bytes(start, "big")
            for sequence, payload in list(self._replay_batches):
                if sequence >= first:
                    parts = [caller, b"", _encode_sequence(sequence), payload]
                    await router.send_multipart(parts)
            await router.send_multipart([caller, b"", END_SEQUENCE, b""])

    def _start_task(self, coroutine: Any) -> None:
        """Runs a coroutine in the background until it ends or ``stop`` cancels it."""
        task: asyncio.Task[None] = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def compute_block_hashes(model: str, prompt: str) -> list[int]:
    """Returns the chained hashes of a prompt's whole blocks.

    Args:
        model: The model, which seeds the chain so that models share no blocks.
        prompt: The text of the prompt.

    Returns:
        One hash per block, which depends on the block and all blocks before it.
    """
    hashes: list[int] = []
    chain_digest = model.encode()
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS].encode()
        chain_digest = hashlib.blake2b(chain_digest + b"\0" + block, digest_size=8).digest()
        hashes.append(int.from_bytes(chain_digest, "big"))
    return hashes


def _bind(bound_socket: zmq.asyncio.Socket, host: str, port: int) -> int:
    """Binds a socket and returns its port."""
    if port == 0:
        return int(bound_socket.bind_to_random_port(f"tcp://{host}"))
    bound_socket.bind(f"tcp://{host}:{port}")
    return port


def _encode_sequence(sequence: int) -> bytes:
    """Returns the wire form of a sequence number."""
    return sequence.to_bytes(SEQUENCE_BYTES, "big")

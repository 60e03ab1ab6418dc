"""The prefix cache of the engine stand-in, and the publication of its events."""

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
    """The blocks of prompts that are held, the least recently used leaving first."""

    def __init__(self, limit: int, publish: Callable[[list[Event]], None]) -> None:
        """Makes an empty cache.

        Args:
            limit: The most blocks to hold.
            publish: Called with each batch of events.
        """
        self.hits_by_model: Counter[str] = Counter()
        """Blocks that were found, by model."""
        self.queries_by_model: Counter[str] = Counter()
        """Blocks that were looked for, by model."""
        self._limit = limit
        self._publish = publish
        self._blocks: OrderedDict[int, None] = OrderedDict()

    @property
    def usage(self) -> float:
        """The part of the cache that is in use, 0 to 1."""
        return len(self._blocks) / self._limit if self._limit else 0.0

    def look_up_and_store(self, model: str, prompt: str) -> float:
        """Looks a prompt up and then holds it.

        Args:
            model: The model; blocks are not shared between models.
            prompt: The text of the prompt.

        Returns:
            The part of the prompt's whole blocks that was held before, 0 to 1.
        """
        hashes = compute_block_hashes(model, prompt)
        hits = self._count_hits(hashes)
        self.queries_by_model[model] += len(hashes)
        self.hits_by_model[model] += hits
        self._store(model, prompt, hashes, hits)
        return hits / len(hashes) if hashes else 0.0

    def clear(self) -> None:
        """Drops all blocks."""
        self._blocks.clear()
        self._publish([["AllBlocksCleared"]])

    def _count_hits(self, hashes: list[int]) -> int:
        """Returns how many blocks from the start are held."""
        for index, block in enumerate(hashes):
            if block not in self._blocks:
                return index
        return len(hashes)

    def _store(self, model: str, prompt: str, hashes: list[int], hits: int) -> None:
        """Holds the blocks of a prompt, and publishes what came and what went."""
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
        """Drops the least recently used blocks over the limit."""
        excess = max(0, len(self._blocks) - self._limit)
        return [self._blocks.popitem(last=False)[0] for _ in range(excess)]


class EventPublisher:
    """Publishes cache events over ZeroMQ as vLLM does, with a replay of the latest."""

    def __init__(self, clock: Clock, faults: EngineFaults, topic: str) -> None:
        """Makes a publisher; it sends nothing until ``start``.

        Args:
            clock: The clock.
            faults: The faults to show.
            topic: The topic of each message.
        """
        self.events_port = 0
        """The port of the PUB socket; 0 when there is none."""
        self.replay_port = 0
        """The port of the ROUTER socket; 0 when there is none."""
        self._clock = clock
        self._faults = faults
        self._topic = topic.encode()
        self._sequence = 0
        self._replay_batches: deque[tuple[int, bytes]] = deque(maxlen=REPLAY_BATCHES)
        self._context: zmq.asyncio.Context | None = None
        self._publisher: zmq.asyncio.Socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, host: str, events_port: int | None, replay_port: int | None) -> None:
        """Binds the sockets that are asked for.

        Args:
            host: The loopback address.
            events_port: The port of the PUB socket; 0 takes a free one, None makes no socket.
            replay_port: The port of the ROUTER socket, likewise.
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
        """Closes the sockets."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._context is not None:
            self._context.destroy(linger=0)
        self._context = None
        self._publisher = None

    def reset(self) -> None:
        """Begins again at sequence 0 with nothing to replay, as after a restart."""
        self._sequence = 0
        self._replay_batches.clear()

    def publish(self, events: list[Event]) -> None:
        """Publishes a batch of events, or loses it when a fault says so."""
        sequence = self._sequence
        self._sequence += 1
        seconds = self._clock.wall() / MILLISECONDS_PER_SECOND
        payload = msgspec.msgpack.encode([seconds, events])
        self._replay_batches.append((sequence, payload))
        every = self._faults.drop_every_event
        dropped = every > 0 and (sequence + 1) % every == 0
        if self._publisher is not None and not dropped:
            self._start_task(self._send(self._publisher, sequence, payload))

    async def _send(self, publisher: zmq.asyncio.Socket, sequence: int, payload: bytes) -> None:
        """Sends one batch, late when a fault says so."""
        if self._faults.event_delay_ms > 0:
            await self._clock.sleep(self._faults.event_delay_ms)
        await publisher.send_multipart([self._topic, _encode_sequence(sequence), payload])

    async def _answer_replays(self, router: zmq.asyncio.Socket) -> None:
        """Answers each start sequence with the kept batches from there, then an end mark."""
        while True:
            caller, _, start = await router.recv_multipart()
            first = int.from_bytes(start, "big")
            for sequence, payload in list(self._replay_batches):
                if sequence >= first:
                    parts = [caller, b"", _encode_sequence(sequence), payload]
                    await router.send_multipart(parts)
            await router.send_multipart([caller, b"", END_SEQUENCE, b""])

    def _start_task(self, work: Any) -> None:
        """Runs something beside, until ``stop``."""
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def compute_block_hashes(model: str, prompt: str) -> list[int]:
    """Returns the chained hashes of the whole blocks of a prompt.

    Args:
        model: The model, which the chain begins with.
        prompt: The text of the prompt.

    Returns:
        One hash a block; each depends on all before it.
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
    """Returns a sequence number as it is sent."""
    return sequence.to_bytes(SEQUENCE_BYTES, "big")

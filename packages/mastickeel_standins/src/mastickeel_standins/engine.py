"""Stand-in for a model engine that serves vLLM's OpenAI-compatible HTTP API."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections import Counter
from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel.clock import Clock

from ._engine_batch import Batch
from ._engine_cache import EventPublisher, PrefixCache
from ._engine_faults import EngineFaults
from ._engine_generation import ChatBody, EngineRun, Generation, generate_pieces
from ._engine_http import StandinServer
from ._engine_metrics import LaggedMetrics
from ._engine_orders import Orders
from ._engine_routes import handle_request
from ._engine_stream import write_full_answer, write_stream

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Mapping

    from ._engine_http import Exchange

__all__ = ["ChatBody", "EngineFaults", "EngineRun", "EngineStandin", "generate_pieces"]

RETENTION_MS = 30_000
CACHE_BLOCKS = 4096
ACCOUNT_HEADER = "X-Account"
REQUEST_ID_HEADER = "X-Request-Id"
RESUME_HEADER = "X-Resume-From"
CANCEL_HEADER = "X-Cancel-On-Close"


class EngineStandin:
    """Model engine with deterministic made-up answers, continuous batching, orders and faults."""

    def __init__(
        self,
        endpoint_id: str,
        *,
        clock: Clock | None = None,
        models: tuple[str, ...] = (),
        seed: int = 0,
        tokens: Callable[[str, int], int] | int = 8,
        piece_ms: Callable[[str, int], float] | float = 0,
        first_piece_ms: Callable[[str, int], float] | float = 0,
        batch: int = 8,
        checks_fencing: bool = True,
        load_lag_ms: int = 1000,
        load_ms: Callable[[str], float] | float = 0,
        keep_ms: float = RETENTION_MS,
        cache_blocks: int = CACHE_BLOCKS,
    ) -> None:
        """Creates an engine that listens after ``start``.

        Args:
            endpoint_id: The endpoint's id.
            clock: Source of time; the system clock when None.
            models: Models that are loaded at the start and after a crash.
            seed: Seed of the random faults.
            tokens: Number of pieces in an answer, or a function of the model and the prompt's
                length in characters.
            piece_ms: Time to generate one piece, in milliseconds, or a function as for ``tokens``.
            first_piece_ms: Time before the first piece when no prompt block is cached, in
                milliseconds, or a function as for ``tokens``.
            batch: Maximum number of requests that generate at once.
            checks_fencing: Whether orders with an outdated fencing token are refused.
            load_lag_ms: Age of the metrics page, in milliseconds.
            load_ms: Time to load a model, in milliseconds, or a function of the model.
            keep_ms: How long a generation is kept after its last reader has ended, in milliseconds.
            cache_blocks: Capacity of the prefix cache in prompt blocks.
        """
        self.endpoint_id = endpoint_id
        """The endpoint's id."""
        self.clock = clock or Clock()
        """Source of time."""
        self.faults = EngineFaults()
        """Faults, which a test may change at any time."""
        self.runs: list[EngineRun] = []
        """Ended runs in the order in which they ended."""
        self.runs_by_model: Counter[str] = Counter()
        """Number of ended runs by model."""
        self.crashes = 0
        """Number of crashes."""
        self.orders = Orders(self.clock, models, checks_fencing, self._sleep_for_load)
        """Loaded models and received orders."""
        self.events = EventPublisher(self.clock, self.faults, f"kv@{endpoint_id}")
        """Publisher of cache events, with its ports."""
        self._rng = random.Random(seed)
        self._tokens = tokens
        self._piece_ms = piece_ms
        self._first_piece_ms = first_piece_ms
        self._load_ms = load_ms
        self._retention_ms = keep_ms
        self._cache_blocks = cache_blocks
        self._load_lag_ms = load_lag_ms
        self._generations_by_id: dict[str, Generation] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._batch = Batch(
            self.clock, batch, self._generate, self._sample_metrics, self._record_run
        )
        self._server = StandinServer(self._handle)
        self._reset_cache_and_metrics()

    @property
    def port(self) -> int:
        """The TCP port; 0 before ``start``."""
        return self._server.port

    @property
    def running_by_id(self) -> dict[str, EngineRun]:
        """Records of the runs in progress, by request id."""
        return {generation.request_id: generation.build_run() for generation in self._batch.running}

    async def start(
        self,
        port: int = 0,
        host: str = "127.0.0.1",
        *,
        events_port: int | None = None,
        replay_port: int | None = None,
    ) -> None:
        """Starts listening for HTTP requests and, if asked for, publishing cache events.

        Args:
            port: The HTTP port; 0 chooses a free port.
            host: The loopback address.
            events_port: Port on which cache events are published; 0 chooses a free port, None
                publishes no events.
            replay_port: Port that replays cache events; 0 chooses a free port, None offers no
                replay.
        """
        self.events.start(host, events_port, replay_port)
        self._server.start(port, host)

    async def stop(self) -> None:
        """Stops the engine and records the runs in progress as unfinished."""
        self._batch.crash()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._server.stop()
        await self.events.stop()

    def crash(self) -> None:
        """Closes all connections and drops all state; restarts after ``faults.restart_ms``."""
        self.crashes += 1
        self._server.suspend()
        self._batch.crash()
        self._generations_by_id.clear()
        self.orders.reset()
        self.events.reset()
        self._reset_cache_and_metrics()
        self._start_task(self._restart())

    def render_metrics(self) -> str:
        """Returns the metrics page as it was ``load_lag_ms`` ago."""
        return self._metrics.render()

    def clear_cache(self) -> None:
        """Drops all blocks from the prefix cache."""
        self._cache.clear()

    def cancel(self, request_id: str) -> bool:
        """Cancels a running or queued request.

        Args:
            request_id: The request's id.

        Returns:
            Whether a request with this id had not ended yet.
        """
        generation = self._generations_by_id.get(request_id)
        if generation is None or generation.ended:
            return False
        self._batch.cancel(generation)
        return True

    async def complete_chat(self, exchange: Exchange) -> None:
        """Answers a chat completion request.

        Args:
            exchange: The caller's connection.
        """
        if self._rng.random() < self.faults.fail_rate:
            await exchange.error(self.faults.fail_status, "made to fail", "internal_error")
            return
        try:
            body = msgspec.json.decode(exchange.request.body, type=ChatBody)
            resume = exchange.header(RESUME_HEADER)
            start = None if resume is None else max(0, int(resume))
        except ValueError as error:
            await exchange.error(400, str(error))
            return
        request_id = exchange.header(REQUEST_ID_HEADER) or uuid.uuid4().hex
        generation = self._generations_by_id.get(request_id) if start is not None else None
        if generation is None:
            if body.model not in self.orders.models:
                await exchange.error(404, f"The model `{body.model}` does not exist.", "NotFound")
                return
            generation = self._start_generation(request_id, body, start or 0, exchange)
        await self._write_answer(
            exchange, generation, body, min(start or 0, len(generation.pieces))
        )

    def _start_generation(
        self, request_id: str, body: ChatBody, offset: int, exchange: Exchange
    ) -> Generation:
        """Queues a new generation and stores it under its request id."""
        length = len(body.prompt())
        total = self._tokens if isinstance(self._tokens, int) else self._tokens(body.model, length)
        if body.max_tokens is not None:
            total = min(total, body.max_tokens)
        account = exchange.header(ACCOUNT_HEADER)
        generation = Generation(request_id, body, total, offset, account)
        self._generations_by_id[request_id] = generation
        self._batch.submit(generation)
        return generation

    async def _write_answer(
        self, exchange: Exchange, generation: Generation, body: ChatBody, start: int
    ) -> None:
        """Writes a generation to the caller and schedules its expiry.

        The generation is cancelled at once if the caller disconnected and asked for that.
        """
        generation.reader_count += 1
        if body.stream:
            options = body.stream_options
            usage = options is not None and options.include_usage
            await write_stream(exchange, generation, start, self.faults, usage)
        else:
            await write_full_answer(exchange, generation, start)
        if exchange.closed.is_set() and exchange.header(CANCEL_HEADER) == "1":
            self._batch.cancel(generation)
        self._start_task(self._expire_generation(generation, generation.reader_count))

    async def _expire_generation(self, generation: Generation, reader_count: int) -> None:
        """Cancels and drops a generation unless a new reader came within the retention time."""
        await self.clock.sleep(self._retention_ms)
        if generation.reader_count != reader_count:
            return
        self._batch.cancel(generation)
        if self._generations_by_id.get(generation.request_id) is generation:
            del self._generations_by_id[generation.request_id]

    async def _generate(self, generation: Generation) -> None:
        """Produces the pieces of a generation, or crashes if a fault asks for that."""
        crash_on = self.faults.crash_on
        if crash_on is not None and crash_on in generation.prompt:
            self.crash()
            return
        hit_ratio = self._cache.look_up_and_store(generation.model, generation.prompt)
        self._sample_metrics()
        await self._sleep_for_step(self._first_piece_ms, generation, 1 - hit_ratio)
        while generation.produced < len(generation.pieces):
            await self._sleep_for_step(self._piece_ms, generation, 1)
            generation.produced += 1
            generation.notify_readers()

    async def _sleep_for_step(
        self,
        duration_ms: Callable[[str, int], float] | float,
        generation: Generation,
        fraction: float,
    ) -> None:
        """Sleeps for a fraction of a generation step's duration."""
        if not isinstance(duration_ms, (int, float)):
            duration_ms = duration_ms(generation.model, len(generation.prompt))
        await self.clock.sleep(duration_ms * fraction * self.faults.slow_factor)

    async def _sleep_for_load(self, model: str) -> None:
        """Sleeps for the duration of loading a model."""
        load_ms = self._load_ms
        await self.clock.sleep(load_ms if isinstance(load_ms, (int, float)) else load_ms(model))

    async def _restart(self) -> None:
        """Listens again after the restart time of a crash."""
        await self.clock.sleep(self.faults.restart_ms)
        self._server.resume()

    async def _handle(self, exchange: Exchange) -> None:
        """Handles one HTTP request."""
        await handle_request(self, exchange)

    def _reset_cache_and_metrics(self) -> None:
        """Replaces the prefix cache and the metrics history with empty ones."""
        self._cache = PrefixCache(self._cache_blocks, self.events.publish)
        self._metrics = LaggedMetrics(self.clock, self._load_lag_ms)
        self._sample_metrics()

    def _record_run(self, generation: Generation) -> None:
        """Adds an ended run to the records."""
        self.runs.append(generation.build_run())
        self.runs_by_model[generation.model] += 1

    def _sample_metrics(self) -> None:
        """Adds the current counts to the metrics history."""
        running = Counter(generation.model for generation in self._batch.running)
        waiting = Counter(generation.model for generation in self._batch.waiting)
        models = dict.fromkeys([*self.orders.models, *running, *waiting])
        counts: list[tuple[str, Mapping[str, float]]] = [
            ("vllm:num_requests_running", running),
            ("vllm:num_requests_waiting", waiting),
            ("vllm:kv_cache_usage_perc", dict.fromkeys(models, self._cache.usage)),
            ("vllm:prefix_cache_hits_total", self._cache.hits_by_model),
            ("vllm:prefix_cache_queries_total", self._cache.queries_by_model),
        ]
        self._metrics.add_sample(
            {
                metric: {model: float(values.get(model, 0)) for model in models}
                for metric, values in counts
            }
        )

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine in the background until it ends or ``stop`` cancels it."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

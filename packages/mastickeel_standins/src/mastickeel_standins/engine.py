"""A stand-in for a model engine, with the OpenAI-compatible surface that vLLM publishes."""

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
    """A model engine that gives made-up answers, with continuous batching, orders and faults."""

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
        """Makes an engine; it listens after ``start``.

        Args:
            endpoint_id: The name of the endpoint.
            clock: The clock; the real one when None.
            models: The models that are loaded from the start and after a crash.
            seed: The seed of the random faults.
            tokens: Pieces of an answer, or a function of the model and the prompt's length.
            piece_ms: Time a piece, or a function of the model and the prompt's length.
            first_piece_ms: Time until generating begins without cache hits, likewise.
            batch: How many requests generate at once.
            checks_fencing: Whether orders with a fencing number that is too low are refused.
            load_lag_ms: How old the metrics page is.
            load_ms: Time to load a model, or a function of the model.
            keep_ms: How long a generation is kept after its connection is lost.
            cache_blocks: The most prompt blocks that the prefix cache holds.
        """
        self.endpoint_id = endpoint_id
        """The name of the endpoint."""
        self.clock = clock or Clock()
        """The clock."""
        self.faults = EngineFaults()
        """The faults, which may be changed at any time."""
        self.runs: list[EngineRun] = []
        """The runs that have ended, in the order in which they ended."""
        self.runs_by_model: Counter[str] = Counter()
        """How many runs have ended, by model."""
        self.crashes = 0
        """How often the engine has crashed."""
        self.orders = Orders(self.clock, models, checks_fencing, self._sleep_for_load)
        """The loaded models and the orders."""
        self.events = EventPublisher(self.clock, self.faults, f"kv@{endpoint_id}")
        """The publisher of cache events, with its ports."""
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
        """The port, known after the start."""
        return self._server.port

    @property
    def running_by_id(self) -> dict[str, EngineRun]:
        """The runs in progress as they stand, by request id."""
        return {one.request_id: one.record() for one in self._batch.running}

    async def start(
        self,
        port: int = 0,
        host: str = "127.0.0.1",
        *,
        events_port: int | None = None,
        replay_port: int | None = None,
    ) -> None:
        """Listens.

        Args:
            port: The port; 0 takes a free one.
            host: The loopback address.
            events_port: The port of the cache events; 0 takes a free one, None publishes none.
            replay_port: The port of their replay, likewise.
        """
        self.events.start(host, events_port, replay_port)
        self._server.start(port, host)

    async def stop(self) -> None:
        """Stops everything; runs in progress are recorded as unfinished."""
        self._batch.crash()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._server.stop()
        await self.events.stop()

    def crash(self) -> None:
        """Closes all connections, loses all state, and is back after ``faults.restart_ms``."""
        self.crashes += 1
        self._server.suspend()
        self._batch.crash()
        self._generations_by_id.clear()
        self.orders.reset()
        self.events.reset()
        self._reset_cache_and_metrics()
        self._start_task(self._restart())

    def render_metrics(self) -> str:
        """Returns the metrics page, as old as the lag says."""
        return self._metrics.render()

    def clear_cache(self) -> None:
        """Empties the prefix cache."""
        self._cache.clear()

    def cancel(self, request_id: str) -> bool:
        """Cancels a request.

        Args:
            request_id: The request id.

        Returns:
            Whether there was such a request that had not ended.
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
        """Starts a generation and keeps it under its request id."""
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
        """Writes a generation to a caller, and sees to it when the caller has gone."""
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

    async def _expire_generation(self, generation: Generation, views: int) -> None:
        """Cancels and drops a generation that nobody has come back for."""
        await self.clock.sleep(self._retention_ms)
        if generation.reader_count != views:
            return
        self._batch.cancel(generation)
        if self._generations_by_id.get(generation.request_id) is generation:
            del self._generations_by_id[generation.request_id]

    async def _generate(self, generation: Generation) -> None:
        """Produces the pieces of a generation."""
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
        self, cost: Callable[[str, int], float] | float, generation: Generation, fraction: float
    ) -> None:
        """Takes the time that a step of a generation takes."""
        if not isinstance(cost, (int, float)):
            cost = cost(generation.model, len(generation.prompt))
        await self.clock.sleep(cost * fraction * self.faults.slow_factor)

    async def _sleep_for_load(self, model: str) -> None:
        """Takes the time that loading a model takes."""
        cost = self._load_ms
        await self.clock.sleep(cost if isinstance(cost, (int, float)) else cost(model))

    async def _restart(self) -> None:
        """Comes back after a crash."""
        await self.clock.sleep(self.faults.restart_ms)
        self._server.resume()

    async def _handle(self, exchange: Exchange) -> None:
        """Answers a request."""
        await handle_request(self, exchange)

    def _reset_cache_and_metrics(self) -> None:
        """Makes the cache and the metrics anew."""
        self._cache = PrefixCache(self._cache_blocks, self.events.publish)
        self._metrics = LaggedMetrics(self.clock, self._load_lag_ms)
        self._sample_metrics()

    def _record_run(self, generation: Generation) -> None:
        """Records a run that has ended."""
        self.runs.append(generation.record())
        self.runs_by_model[generation.model] += 1

    def _sample_metrics(self) -> None:
        """Keeps the present numbers for the metrics page."""
        running = Counter(one.model for one in self._batch.running)
        waiting = Counter(one.model for one in self._batch.waiting)
        names = dict.fromkeys([*self.orders.models, *running, *waiting])
        counts: list[tuple[str, Mapping[str, float]]] = [
            ("vllm:num_requests_running", running),
            ("vllm:num_requests_waiting", waiting),
            ("vllm:kv_cache_usage_perc", dict.fromkeys(names, self._cache.usage)),
            ("vllm:prefix_cache_hits_total", self._cache.hits_by_model),
            ("vllm:prefix_cache_queries_total", self._cache.queries_by_model),
        ]
        self._metrics.add_sample(
            {key: {name: float(values.get(name, 0)) for name in names} for key, values in counts}
        )

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs something beside, until ``stop``."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

"""A stand-in for the store of model weights, whose rate all readers share."""

from __future__ import annotations

import asyncio
import math
from collections import Counter

from mastickeel.clock import Clock
from mastickeel_standins._faults import Faults, FaultsHandler
from mastickeel_standins._http import LOOPBACK, JsonHandler, Listener

DEFAULT_BYTES_PER_SECOND = 1_000_000_000
DEFAULT_MAX_READERS = 16
MILLISECONDS_PER_SECOND = 1_000
BYTES_TOLERANCE = 1e-3


class WeightStoreStandin:
    """Weights by model and version; reading takes the time that the shared rate implies."""

    def __init__(
        self,
        clock: Clock | None = None,
        bytes_per_second: float = DEFAULT_BYTES_PER_SECOND,
        max_readers: int = DEFAULT_MAX_READERS,
        default_bytes: int = 0,
    ) -> None:
        """Makes an empty store without binding its port.

        Args:
            clock: Times the reads; the machine's own when absent.
            bytes_per_second: The rate that all readers share equally.
            max_readers: How many may read at once; more are refused.
            default_bytes: The size of versions that were not put; 0 when there are none such.
        """
        self.clock = clock or Clock()
        """The clock that reads are timed by."""
        self.bytes_per_second = bytes_per_second
        """The rate that all readers share."""
        self.max_readers = max_readers
        """How many may read at once."""
        self.default_bytes = default_bytes
        """The size of versions that were not put."""
        self.faults = Faults()
        """The faults to switch."""
        self.readers = 0
        """How many read at the moment."""
        self.reads_by_version: Counter[str] = Counter()
        """How many reads were begun, by "model/version"."""
        self.bytes_by_version: dict[str, int] = {}
        """The size of each "model/version" that was put."""
        self._bytes_per_reader = 0.0
        self._updated_ms = self.clock.now()
        self._changed = asyncio.Event()
        settings = {"service": self}
        self._listener = Listener(
            [
                ("/weights/([^/]+)/([^/]+)", WeightsHandler, settings),
                ("/control/weights", PutWeightsHandler, settings),
                ("/control/counts", CountsHandler, settings),
                ("/control/faults", FaultsHandler, {"faults": self.faults}),
            ]
        )

    @property
    def port(self) -> int:
        """The bound port."""
        return self._listener.port

    @property
    def url(self) -> str:
        """The base URL."""
        return f"http://{LOOPBACK}:{self.port}"

    async def start(self, port: int = 0, host: str = LOOPBACK) -> None:
        """Binds the port and answers from then on.

        Args:
            port: The port, or 0 for a free one.
            host: A loopback address.
        """
        await self._listener.start(port, host)

    async def stop(self) -> None:
        """Closes the port; the weights stay."""
        await self._listener.stop()

    def put(self, model: str, version: str, size: int) -> None:
        """Adds a version.

        Args:
            model: The model.
            version: Its version.
            size: Its size in bytes.
        """
        self.bytes_by_version[f"{model}/{version}"] = size

    def retry_after_s(self) -> int:
        """Returns when a refused reader may come back: a default read's time, at least a second."""
        largest = max([self.default_bytes, *self.bytes_by_version.values()])
        return max(1, math.ceil(largest / self.bytes_per_second))

    async def read(self, size: int) -> None:
        """Reads, for as long as the rate shared with the other readers takes.

        Args:
            size: How many bytes.
        """
        self._update_progress()
        end = self._bytes_per_reader + size
        self._change_reader_count(1)
        try:
            while end - self._bytes_per_reader > BYTES_TOLERANCE:
                await self._wait_for_bytes(end - self._bytes_per_reader)
                self._update_progress()
        finally:
            self._update_progress()
            self._change_reader_count(-1)

    def _update_progress(self) -> None:
        """Counts what each reader has been given since the last time."""
        now = self.clock.now()
        passed_s = (now - self._updated_ms) / MILLISECONDS_PER_SECOND
        self._updated_ms = now
        if self.readers:
            self._bytes_per_reader += passed_s * self.bytes_per_second / self.readers

    def _change_reader_count(self, readers: int) -> None:
        """Changes the number of readers and lets the others reckon anew."""
        self.readers += readers
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait_for_bytes(self, size: float) -> None:
        """Waits for so many bytes, or until the number of readers changes."""
        time_ms = size * self.readers / self.bytes_per_second * MILLISECONDS_PER_SECOND
        try:
            await self.clock.wait_for(self._changed.wait(), math.ceil(time_ms))
        except TimeoutError:
            return


class WeightsHandler(JsonHandler):
    """GET /weights/<model>/<version>, through the faults."""

    def initialize(self, service: WeightStoreStandin) -> None:
        """Takes the store to read."""
        self.service = service
        self._reading: asyncio.Task[None] | None = None

    def on_connection_close(self) -> None:
        """Ends the read when its reader goes."""
        if self._reading is not None:
            self._reading.cancel()

    async def get(self, model: str, version: str) -> None:
        """Answers when the read is over."""
        service, faults = self.service, self.service.faults
        if faults.delay_ms:
            await service.clock.sleep(faults.delay_ms)
        if faults.outage:
            self.drop()
            return
        if faults.refuse:
            self.reply({"error": "The store is not available."}, 503)
            return
        await self._read(model, version)

    async def _read(self, model: str, version: str) -> None:
        """Reads and answers, or says why not."""
        service = self.service
        name = f"{model}/{version}"
        size = service.bytes_by_version.get(name, service.default_bytes)
        if not size:
            self.reply({"error": f"There are no weights for {name}."}, 404)
            return
        if service.readers >= service.max_readers:
            self.set_header("Retry-After", str(service.retry_after_s()))
            self.reply({"error": "Too many are reading."}, 429)
            return
        service.reads_by_version[name] += 1
        self._reading = asyncio.ensure_future(service.read(size))
        await asyncio.wait({self._reading})
        if self._reading.cancelled() or service.faults.outage:
            self.drop()
            return
        self.reply({"model": model, "version": version, "bytes": size})


class PutWeightsHandler(JsonHandler):
    """POST /control/weights: {"model", "version", "bytes"}."""

    def initialize(self, service: WeightStoreStandin) -> None:
        """Takes the store to add to."""
        self.service = service

    def post(self) -> None:
        """Adds a version."""
        try:
            body = self.json_body()
            self.service.put(str(body["model"]), str(body["version"]), int(body["bytes"]))
        except (KeyError, TypeError, ValueError) as error:
            self.reply({"error": f"model, version and bytes are needed: {error}"}, 400)
            return
        self.reply({})


class CountsHandler(JsonHandler):
    """GET /control/counts: the counters."""

    def initialize(self, service: WeightStoreStandin) -> None:
        """Takes the store whose counters to show."""
        self.service = service

    def get(self) -> None:
        """Answers with the counters."""
        service = self.service
        self.reply({"readers": service.readers, "reads_by_version": dict(service.reads_by_version)})

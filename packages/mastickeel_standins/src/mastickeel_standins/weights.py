"""Stand-in for the store of model weights, whose bandwidth all readers share."""

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
    """Weight store whose reads last as long as the shared bandwidth implies."""

    def __init__(
        self,
        clock: Clock | None = None,
        bytes_per_second: float = DEFAULT_BYTES_PER_SECOND,
        max_readers: int = DEFAULT_MAX_READERS,
        default_bytes: int = 0,
    ) -> None:
        """Creates an empty store without binding its port.

        Args:
            clock: Times the reads; the system clock when None.
            bytes_per_second: Bandwidth that all readers share equally.
            max_readers: Maximum number of concurrent readers; further readers are refused.
            default_bytes: Size of versions that were not added; 0 if such versions do not exist.
        """
        self.clock = clock or Clock()
        """Source of time for the reads."""
        self.bytes_per_second = bytes_per_second
        """Bandwidth that all readers share equally."""
        self.max_readers = max_readers
        """Maximum number of concurrent readers."""
        self.default_bytes = default_bytes
        """Size of versions that were not added, in bytes."""
        self.faults = Faults()
        """Switchable faults."""
        self.readers = 0
        """Number of current readers."""
        self.reads_by_version: Counter[str] = Counter()
        """Number of started reads by "model/version"."""
        self.bytes_by_version: dict[str, int] = {}
        """Size in bytes of each added "model/version"."""
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
        """The TCP port; 0 before ``start``."""
        return self._listener.port

    @property
    def url(self) -> str:
        """Base URL of the store."""
        return f"http://{LOOPBACK}:{self.port}"

    async def start(self, port: int = 0, host: str = LOOPBACK) -> None:
        """Binds the port and starts serving.

        Args:
            port: The port; 0 chooses a free port.
            host: A loopback address.
        """
        await self._listener.start(port, host)

    async def stop(self) -> None:
        """Closes the port; the weights stay."""
        await self._listener.stop()

    def put(self, model: str, version: str, size: int) -> None:
        """Adds the weights of a version.

        Args:
            model: The model.
            version: The model's version.
            size: Size of the weights in bytes.
        """
        self.bytes_by_version[f"{model}/{version}"] = size

    def retry_after_s(self) -> int:
        """Returns the retry delay of a refused reader in seconds.

        This is the time that the largest version takes a sole reader, and at least 1 s.
        """
        largest_bytes = max([self.default_bytes, *self.bytes_by_version.values()])
        return max(1, math.ceil(largest_bytes / self.bytes_per_second))

    async def read(self, size: int) -> None:
        """Waits for as long as reading takes at the bandwidth shared with the other readers.

        Args:
            size: Number of bytes to read.
        """
        self._update_progress()
        end_bytes = self._bytes_per_reader + size
        self._change_reader_count(1)
        try:
            while end_bytes - self._bytes_per_reader > BYTES_TOLERANCE:
                await self._wait_for_bytes(end_bytes - self._bytes_per_reader)
                self._update_progress()
        finally:
            self._update_progress()
            self._change_reader_count(-1)

    def _update_progress(self) -> None:
        """Adds the bytes that each reader has received since the last update."""
        now = self.clock.now()
        elapsed_s = (now - self._updated_ms) / MILLISECONDS_PER_SECOND
        self._updated_ms = now
        if self.readers:
            self._bytes_per_reader += elapsed_s * self.bytes_per_second / self.readers

    def _change_reader_count(self, difference: int) -> None:
        """Changes the number of readers by a difference and wakes the waiting readers."""
        self.readers += difference
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait_for_bytes(self, size: float) -> None:
        """Waits until a number of bytes is read or the number of readers changes."""
        duration_ms = size * self.readers / self.bytes_per_second * MILLISECONDS_PER_SECOND
        try:
            await self.clock.wait_for(self._changed.wait(), math.ceil(duration_ms))
        except TimeoutError:
            return


class WeightsHandler(JsonHandler):
    """GET /weights/<model>/<version>: reads a version's weights, subject to the faults."""

    def initialize(self, service: WeightStoreStandin) -> None:
        """Stores the weight store that the route reads."""
        self.service = service
        self._reading: asyncio.Task[None] | None = None

    def on_connection_close(self) -> None:
        """Cancels the read when the reader disconnects."""
        if self._reading is not None:
            self._reading.cancel()

    async def get(self, model: str, version: str) -> None:
        """Reads the weights unless a fault fails the call."""
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
        """Reads the weights and replies, or replies with an error."""
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
    """POST /control/weights: adds the weights of {"model", "version", "bytes"}."""

    def initialize(self, service: WeightStoreStandin) -> None:
        """Stores the weight store that the route changes."""
        self.service = service

    def post(self) -> None:
        """Adds the weights that the body names."""
        try:
            body = self.json_body()
            self.service.put(str(body["model"]), str(body["version"]), int(body["bytes"]))
        except (KeyError, TypeError, ValueError) as error:
            self.reply({"error": f"model, version and bytes are needed: {error}"}, 400)
            return
        self.reply({})


class CountsHandler(JsonHandler):
    """GET /control/counts: the read counters."""

    def initialize(self, service: WeightStoreStandin) -> None:
        """Stores the weight store whose counters are sent."""
        self.service = service

    def get(self) -> None:
        """Sends the read counters."""
        service = self.service
        self.reply({"readers": service.readers, "reads_by_version": dict(service.reads_by_version)})

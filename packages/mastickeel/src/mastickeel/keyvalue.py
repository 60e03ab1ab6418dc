"""Client of the platform's key-value service, which it reaches over the etcd v3 JSON gateway."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import msgspec

from mastickeel._etcdjson import (
    decode_answer,
    decode_key_value,
    decode_watch_batch,
    encode_bytes,
    encode_compare,
    encode_step,
    encode_text,
    prefix_end,
    read_revision,
)
from mastickeel._kvtypes import (
    Compare,
    Delete,
    Get,
    KeyValue,
    Put,
    RangeResult,
    TxnResult,
    WatchBatch,
)
from mastickeel.decoding import decode_json
from mastickeel.errors import (
    StoreBudgetError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from mastickeel.httpclient import RESPONSE_LIMIT_BYTES
from mastickeel.httpmessages import (
    ConnectionFailedError,
    ExchangeBrokenError,
    HttpHead,
    HttpRequest,
    Timeouts,
)
from mastickeel.storeera import StoreEra

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from mastickeel.addresses import Address
    from mastickeel.clock import Clock
    from mastickeel.httpclient import HttpClient

WATCH_SILENCE_TIMEOUT_MS = 30_000
"""A watch without any message for this long, progress notices included, is ended."""
MAX_BUFFERED_WATCH_MESSAGES = 1_000
MAX_WATCH_MESSAGE_BYTES = 16 * 1024 * 1024
BURST_SECONDS = 2.0


class CallBudget:
    """A token bucket that limits an instance's calls to its share."""

    def __init__(self, clock: Clock, per_second: float) -> None:
        self._clock = clock
        self._per_second = per_second
        self._tokens = per_second * BURST_SECONDS
        self._refilled_ms = clock.now()

    def try_acquire(self) -> bool:
        """Takes one call from the budget; returns False when none is left."""
        now = self._clock.now()
        gained = (now - self._refilled_ms) / 1_000 * self._per_second
        self._tokens = min(self._per_second * BURST_SECONDS, self._tokens + gained)
        self._refilled_ms = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class KeyValueClient:
    """Client of the key-value service with a budget of calls."""

    def __init__(
        self,
        client: HttpClient,
        addresses: Sequence[Address],
        *,
        clock: Clock,
        timeout_ms: int = 2_000,
        calls_per_second: float = 20.0,
        name: str = "mastickeel",
    ) -> None:
        """Creates the client.

        Args:
            client: The HTTP client that sends the requests.
            addresses: The addresses of the service; after a failure the next address is used.
            clock: The clock for the budget.
            timeout_ms: The timeout of each phase of a call, in milliseconds.
            calls_per_second: The budget.
            name: Sent as User-Agent, so that the service's log names the caller.
        """
        self.calls = 0
        """Number of calls made so far; a watch counts as one."""
        self.era = StoreEra()
        """The service's era, which it does not name."""
        self.budget = CallBudget(clock, calls_per_second)
        """The budget of calls."""
        self._client = client
        self._addresses = list(addresses)
        self._address_index = 0
        self._timeouts = Timeouts(
            connect_ms=timeout_ms, first_byte_ms=timeout_ms, between_bytes_ms=timeout_ms
        )
        self._headers = {"Content-Type": "application/json", "User-Agent": name}

    async def get(self, key: str) -> KeyValue | None:
        """Reads one key; returns None when the key does not exist."""
        result = await self.range(key)
        return result.items[0] if result.items else None

    async def range(
        self, key: str, *, prefix: bool = False, limit: int = 0, start: str = "", revision: int = 0
    ) -> RangeResult:
        """Reads keys in ascending order.

        Args:
            key: The key, or the prefix.
            prefix: Whether to read all keys that begin with ``key``.
            limit: The maximum number of keys to read; 0 for all.
            start: With ``prefix``, the first key to read.
            revision: The store revision to read at; 0 for the newest.

        Returns:
            The keys found.

        Raises:
            StoreError: When the read fails.
        """
        body: dict[str, Any] = {"key": encode_text(start or key)}
        if prefix:
            body["range_end"] = encode_bytes(prefix_end(key.encode()))
        if limit:
            body["limit"] = str(limit)
        if revision:
            body["revision"] = str(revision)
        answer = await self._call("/v3/kv/range", body, reads_only=True)
        items = tuple(decode_key_value(entry) for entry in answer.get("kvs", ()))
        return RangeResult(items, read_revision(answer), bool(answer.get("more", False)))

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes one key and returns the store's revision."""
        return (await self.txn((), (Put(key, value, lease),))).revision

    async def txn(
        self,
        compares: Sequence[Compare],
        success: Sequence[Put | Delete | Get],
        failure: Sequence[Put | Delete | Get] = (),
    ) -> TxnResult:
        """Runs a transaction.

        Args:
            compares: The conditions of the transaction.
            success: Steps that run when all conditions hold.
            failure: Steps that run when a condition does not hold.

        Returns:
            The branch that ran, and the keys read by its Get steps.

        Raises:
            StoreUnavailableError: When the transaction certainly had no effect.
            StoreOutcomeUnknownError: When the transaction may have taken effect; read back.
        """
        body = {
            "compare": [encode_compare(entry) for entry in compares],
            "success": [encode_step(entry) for entry in success],
            "failure": [encode_step(entry) for entry in failure],
        }
        reads_only = all(isinstance(entry, Get) for entry in (*success, *failure))
        answer = await self._call("/v3/kv/txn", body, reads_only=reads_only)
        found = [
            decode_key_value(entry)
            for response in answer.get("responses", ())
            for entry in response.get("response_range", {}).get("kvs", ())
        ]
        return TxnResult(bool(answer.get("succeeded", False)), read_revision(answer), tuple(found))

    async def compact(self, revision: int) -> None:
        """Lets the store discard revisions older than the given revision."""
        await self._call("/v3/kv/compaction", {"revision": str(revision)})

    async def grant(self, ttl_seconds: int) -> int:
        """Creates a lease and returns its id."""
        answer = await self._call("/v3/lease/grant", {"TTL": str(ttl_seconds), "ID": "0"})
        return int(answer["ID"])

    async def keep_alive(self, lease: int) -> bool:
        """Renews a lease; returns False when the lease has lapsed."""
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease)}, reads_only=True)
        return int(answer.get("result", answer).get("TTL", 0)) > 0

    async def revoke(self, lease: int) -> None:
        """Revokes a lease and deletes its keys."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(self, prefix: str, revision: int) -> AsyncIterator[WatchBatch]:
        """Watches all keys with a prefix from a revision on.

        Args:
            prefix: The prefix of the keys.
            revision: The first store revision to report.

        Yields:
            Batches of events in order, and progress notices.

        Raises:
            StoreCompactedError: When the store has compacted the revision.
            StoreUnavailableError: When the watch ends or is silent for too long; read the keys
                and watch again.
        """
        queue: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()
        reading = asyncio.ensure_future(self._read_watch(prefix, revision, queue))
        reading.add_done_callback(lambda _: queue.put_nowait(None))
        try:
            while (message := await queue.get()) is not None:
                if batch := decode_watch_batch(message.get("result", message)):
                    yield batch
        finally:
            reading.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await reading
        if not reading.cancelled() and (error := reading.exception()):
            raise StoreUnavailableError(f"The watch on {prefix} ended: {error}") from error
        raise StoreUnavailableError(f"The watch on {prefix} ended.")

    async def _read_watch(
        self, prefix: str, revision: int, queue: asyncio.Queue[dict[str, Any] | None]
    ) -> None:
        """Reads the messages of a watch into a queue until the connection ends."""
        self._spend_call()
        create = {
            "key": encode_text(prefix),
            "range_end": encode_bytes(prefix_end(prefix.encode())),
            "start_revision": str(revision),
            "progress_notify": True,
        }
        body = msgspec.json.encode({"create_request": create})
        pending = bytearray()

        def on_data(chunk: bytes) -> None:
            pending.extend(chunk)
            if b"\n" not in chunk:
                if len(pending) > MAX_WATCH_MESSAGE_BYTES:
                    raise StoreUnavailableError("A message of a watch is too large.")
                return
            *lines, rest = bytes(pending).split(b"\n")
            pending[:] = rest
            for line in filter(bytes.strip, lines):
                if queue.qsize() >= MAX_BUFFERED_WATCH_MESSAGES:
                    raise StoreUnavailableError("The reader of a watch is too far behind.")
                queue.put_nowait(decode_json(line))

        timeouts = replace(self._timeouts, between_bytes_ms=WATCH_SILENCE_TIMEOUT_MS)
        connection = await self._client.connect(
            self._current_address(), timeouts=timeouts, fresh=True
        )
        request = HttpRequest("POST", "/v3/watch", self._headers, body)
        try:
            await connection.exchange(
                request, on_head=_check_head, on_data=on_data, timeouts=timeouts
            )
        except ExchangeBrokenError:
            self._switch_address()
            raise
        finally:
            connection.close()

    async def _call(
        self, path: str, body: dict[str, Any], *, reads_only: bool = False
    ) -> dict[str, Any]:
        """Sends a call within the budget and decodes its answer."""
        self._spend_call()
        request = HttpRequest("POST", path, self._headers, msgspec.json.encode(body))
        try:
            answer = await self._client.call(
                self._current_address(),
                request,
                self._timeouts,
                limit_bytes=RESPONSE_LIMIT_BYTES,
            )
        except ConnectionFailedError as error:
            self._switch_address()
            raise StoreUnavailableError(str(error)) from error
        except ExchangeBrokenError as error:
            self._switch_address()
            error_type = StoreUnavailableError if reads_only else StoreOutcomeUnknownError
            raise error_type(str(error)) from error
        return decode_answer(path, answer.status, answer.body)

    def _spend_call(self) -> None:
        """Takes one call from the budget, or raises an error when none is left."""
        if not self.budget.try_acquire():
            raise StoreBudgetError()
        self.calls += 1

    def _current_address(self) -> Address:
        return self._addresses[self._address_index % len(self._addresses)]

    def _switch_address(self) -> None:
        self._address_index += 1


def _check_head(head: HttpHead) -> None:
    """Raises an error when the store refused a watch."""
    if head.status != 200:
        raise StoreUnavailableError(f"The watch was refused with status {head.status}.")


__all__ = [
    "CallBudget",
    "Compare",
    "Delete",
    "Get",
    "KeyValue",
    "KeyValueClient",
    "Put",
    "RangeResult",
    "TxnResult",
    "WatchBatch",
    "prefix_end",
]

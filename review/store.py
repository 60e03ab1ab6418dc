"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import socket
import struct
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.http import read_request

PAGE_ITEMS = 500
MAX_WAIT_S = 30.0


class Store:
    """Keeps keys, leases and history in memory and serves the store's calls."""

    def __init__(self, *, answer_ms: float = 4.0) -> None:
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.port = 0
        self.is_down = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._answer_s = answer_ms / 1_000
        self._lease_ends: dict[int, float] = {}
        self._lease_ttls: dict[int, float] = {}
        self._next_lease = 1
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> int:
        """Starts serving on a free loopback port and returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._tasks.add(asyncio.ensure_future(self._expire_leases()))
        return self.port

    async def stop(self) -> None:
        """Stops serving."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def fail(self, for_s: float) -> None:
        """Resets all channels, and each one on which a call arrives, for some time."""
        self.is_down = True
        for writer in list(self._writers):
            _reset(writer)
        await asyncio.sleep(for_s)
        self.is_down = False

    async def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Writes a key, as the operator or a worker does; returns the revision of the write."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._put(key, data, lease)
        await self._notify()
        return self.revision

    async def remove(self, key: str) -> None:
        """Removes a key."""
        self._remove(key)
        await self._notify()

    def read(self, key: str) -> Any:
        """Returns the decoded value of a key; None if there is none."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def _put(self, key: str, data: bytes, lease: int) -> None:
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "deleted": True})

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [one for one, end in self._lease_ends.items() if end <= now]:
                await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self._lease_ends.pop(lease, None)
        self._lease_ttls.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)
        await self._notify()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if self.is_down:
                    _reset(writer)
                    return
                await asyncio.sleep(self._answer_s)
                answer = await self.execute(request.method, request.target, request.body)
                if answer is None:
                    # A channel on which a response is lost returns nothing further.
                    await reader.read()
                    return
                status, body = answer
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def execute(
        self, method: str, target: str, data: bytes
    ) -> tuple[int, dict[str, Any]] | None:
        """Executes a call; returns status and body of its answer, None for an answer that is lost."""
        url = urlsplit(target)
        pairs = parse_qs(url.query, keep_blank_values=True).items()
        query = {name: values[0] for name, values in pairs}
        body = json.loads(data) if data else {}
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"store_revision": self.revision}) if item else (404, {})
        if url.path == "/kv-range":
            after = query.get("after_revision", "")
            keys = sorted(
                key for key in self.items if key.startswith(query["path_prefix"]) and key > after
            )
            page = [self.items[key] for key in keys[:PAGE_ITEMS]]
            more = len(keys) > PAGE_ITEMS
            return 200, {"items": page, "more_pages": more, "store_revision": self.revision}
        if url.path == "/kv-watch":
            return await self._watch(query)
        if url.path == "/kv-txn":
            return await self._txn(body)
        if url.path == "/kv-lease":
            lease, ttl_s = self._next_lease, max(1_000, body["ttl_ms"]) / 1_000
            self._next_lease += 1
            self._lease_ttls[lease] = ttl_s
            self._lease_ends[lease] = time.monotonic() + ttl_s
            return 200, {"lease": lease, "ttl_ms": round(ttl_s * 1_000)}
        lease = int(url.path.rsplit("/", 1)[1])
        if lease not in self._lease_ends:
            return 404, {}
        if url.path.startswith("/kv-lease-end/"):
            await self._end_lease(lease)
            return 200, {}
        self._lease_ends[lease] = time.monotonic() + self._lease_ttls[lease]
        return 200, {"ttl_ms": round(self._lease_ttls[lease] * 1_000)}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, prefix = int(query["after_revision"]), query["path_prefix"]
        end = time.monotonic() + min(MAX_WAIT_S, int(query["wait_ms"]) / 1_000)
        while True:
            if after > self.revision:
                return 410, {}
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            async with self._changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)

    async def _txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        rows = body["expected_revision"]
        if any(
            self.items.get(row["key"], {}).get("revision", 0) != row["revision"] for row in rows
        ):
            found = [self.items[row["key"]] for row in rows if row["key"] in self.items]
            return 412, {"items": found}
        if any(put["lease"] and put["lease"] not in self._lease_ends for put in body["puts"]):
            return 404, {}
        for put in body["puts"]:
            self._put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["remove"]:
            self._remove(key)
        await self._notify()
        return 200, {"revision": self.revision}


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a channel with a reset."""
    with contextlib.suppress(Exception):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

"""Stand-in of the platform's metadata store, after the page PROTOCOL and letter 5."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from bed_http import Message, Server, read_message, write_message

ANSWER_S = 0.004
PAGE_ITEMS = 500
AWAY_S = 1.0
"""Time for which the store is away in a drill."""
REWRITE_S = 1.0
"""Time after a drill in which the operator and the workers have written again."""


class Store(Server):
    """Keys with revisions, leases, watches and transactions."""

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.era = 1
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, int]] = {}
        self.outside: dict[str, Any] = {}
        """What the operator and the workers want to be in the store, by key."""
        self.on_status: list[Any] = []
        """Callbacks with key and value of each write under status/."""
        self._next_lease = 100
        self._changed = asyncio.Event()

    # What the operator and the workers do.

    def write(self, key: str, value: Any) -> int:
        """Writes a key for the operator or a worker; returns the revision."""
        self.outside[key] = value
        return self._put(key, json.dumps(value).encode(), 0)

    def remove(self, key: str) -> None:
        """Removes a key for the operator or a worker."""
        self.outside.pop(key, None)
        if key in self.items:
            self._delete(key)

    def read(self, key: str) -> Any:
        """Returns the JSON of a key; None without one."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def read_text(self, key: str) -> str:
        """Returns the text of a key; empty without one."""
        item = self.items.get(key)
        return "" if item is None else base64.b64decode(item["value"]).decode()

    # Drills.

    def copy(self) -> tuple[Any, ...]:
        """Returns a copy of the store as it is now."""
        now = time.monotonic()
        leases = {lease: (end - now, ttl) for lease, (end, ttl) in self.leases.items()}
        return self.revision, dict(self.items), list(self.history), leases, self._next_lease

    async def drill(self, copy: tuple[Any, ...]) -> None:
        """Goes away for a moment and comes back from a copy; the outside then writes again."""
        self.stop()
        await asyncio.sleep(AWAY_S)
        now = time.monotonic()
        self.revision, self.items, self.history, leases, self._next_lease = copy
        self.leases = {lease: (now + left, ttl) for lease, (left, ttl) in leases.items()}
        self.era += 1
        await self.listen()
        wanted = dict(self.outside)
        for key, value in wanted.items():
            await asyncio.sleep(REWRITE_S / len(wanted))
            if self.outside.get(key) == value:
                self._put(key, json.dumps(value).encode(), 0)

    # The calls.

    async def run_leases(self) -> None:
        """Ends leases at their time."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [one for one, (end, _) in self.leases.items() if end < now]:
                self._end_lease(lease)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one channel."""
        while (request := await read_message(reader)) is not None:
            await asyncio.sleep(ANSWER_S)
            status, body = await self._execute(request)
            headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
            data = json.dumps(body).encode()
            writer.write(write_message(f"HTTP/1.1 {status} X", headers, data))
            await writer.drain()

    async def _execute(self, request: Message) -> tuple[int, Any]:
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        body = json.loads(request.body) if request.body else {}
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"store_revision": self.revision}) if item else (404, {})
        if url.path == "/kv-range":
            return 200, self._range(query)
        if url.path == "/kv-watch":
            return await self._watch(query)
        if url.path == "/kv-txn":
            return self._txn(body)
        if url.path == "/kv-lease":
            self._next_lease += 1
            ttl_ms = max(1_000, min(600_000, int(body["ttl_ms"])))
            self.leases[self._next_lease] = (time.monotonic() + ttl_ms / 1_000, ttl_ms)
            return 200, {"lease": self._next_lease, "ttl_ms": ttl_ms}
        lease = int(url.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if url.path.startswith("/kv-lease-end/"):
            self._end_lease(lease)
            return 200, {}
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl_ms / 1_000, ttl_ms)
        return 200, {"ttl_ms": ttl_ms}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query["path_prefix"], query.get("after_revision", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return {"items": page, "more_pages": more, "store_revision": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after, prefix = int(query["after_revision"]), query["path_prefix"]
        deadline = time.monotonic() + int(query["wait_ms"]) / 1_000
        while True:
            if after > self.revision:
                return 410, {}
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _txn(self, body: dict[str, Any]) -> tuple[int, Any]:
        conditions = body["expected_revision"]
        puts, removals = body["puts"], body["remove"]
        keys = [put["key"] for put in puts] + removals
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        if any(
            self.items.get(one["key"], {}).get("revision", 0) != one["revision"]
            for one in conditions
        ):
            found = [self.items[one["key"]] for one in conditions if one["key"] in self.items]
            return 412, {"items": found}
        if any(put["lease"] and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self._put(put["key"], base64.b64decode(put["value"]), put["lease"])
            if put["key"].startswith("status/"):
                for notify in self.on_status:
                    notify(put["key"], self.read(put["key"]))
        for key in removals:
            if key in self.items:
                self._delete(key)
        return 200, {"revision": self.revision}

    def _put(self, key: str, data: bytes, lease: int) -> int:
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        value = base64.b64encode(data).decode()
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._record(item)
        return self.revision

    def _delete(self, key: str) -> None:
        self.revision += 1
        del self.items[key]
        self._record({"key": key, "revision": self.revision, "deleted": True})

    def _record(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self._delete(key)
